"""Waits between attempts to reach the discovery service: exponential backoff with full jitter and a floor."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

# Ceiling of the first wait, and the ceiling that doubling ends at, for a single instance.
FIRST_CEILING_S = 0.1
LONGEST_CEILING_S = 1.0
# The same for each instance of the fleet, where that is more: the requests of all instances together must fit
# into what the discovery service can answer, or no instance is answered.
FIRST_CEILING_PER_INSTANCE_S = 0.05
LONGEST_CEILING_PER_INSTANCE_S = 0.2
# Share of the ceiling that is the shortest wait, so that a run of short waits never becomes a busy loop.
DEFAULT_FLOOR_SHARE = 1 / 4


class CeilingLimits(NamedTuple):
    """Upper bounds in seconds of the first and of the longest ceiling, whatever the size of the fleet."""

    first_s: float = math.inf
    longest_s: float = math.inf


UNLIMITED = CeilingLimits()


class ReconnectBackoff:
    """Random waits below a ceiling that doubles with each wait until it is reset.

    Each wait is uniform between `floor_share` of the ceiling and the ceiling.
    """

    __slots__ = ("_ceiling_s", "_first_ceiling_s", "_floor_share", "_longest_ceiling_s")

    def __init__(
        self,
        instance_count: int = 1,
        limits: CeilingLimits = UNLIMITED,
        floor_share: float = DEFAULT_FLOOR_SHARE,
    ) -> None:
        first_s = max(FIRST_CEILING_S, FIRST_CEILING_PER_INSTANCE_S * instance_count)
        longest_s = max(LONGEST_CEILING_S, LONGEST_CEILING_PER_INSTANCE_S * instance_count)
        self._first_ceiling_s = min(first_s, limits.first_s)
        self._longest_ceiling_s = min(longest_s, limits.longest_s)
        self._floor_share = floor_share
        self._ceiling_s = self._first_ceiling_s

    def next_wait_s(self) -> float:
        """The next wait in seconds; the ceiling doubles for the one after it."""
        wait_s = random.uniform(self._ceiling_s * self._floor_share, self._ceiling_s)
        self._ceiling_s = min(self._longest_ceiling_s, self._ceiling_s * 2)
        return wait_s

    def reset(self) -> None:
        """Start again from the first ceiling, after a success or a change of address."""
        self._ceiling_s = self._first_ceiling_s

"""Exponential backoff with jitter, for requests to the discovery service and for configuration reloads.

Each wait is drawn at random between a floor and a ceiling, so that the instances of a fleet that lose the
service at the same time do not all reconnect at the same time. The ceiling doubles with each wait:

- The initial and the maximum ceiling grow with the number of instances, since the service has to answer the
  requests of all of them: if these exceed its capacity, no instance is answered.
- `CeilingLimits` are upper bounds of both. They apply to the endpoint watch, which has to receive a change
  in a limited time in a fleet of any size.
- The floor is a share of the ceiling. It prevents a run of short random waits from becoming a busy loop.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

# The ceiling of the first wait after a reset is INITIAL_CEILING_S, or INITIAL_CEILING_PER_INSTANCE_S for each
# instance of the fleet if that is more. The same applies to the maximum ceiling, at which the doubling stops.
INITIAL_CEILING_S = 0.1
MAX_CEILING_S = 1.0
INITIAL_CEILING_PER_INSTANCE_S = 0.05
MAX_CEILING_PER_INSTANCE_S = 0.2
# Shortest wait, as a share of the ceiling.
DEFAULT_FLOOR_SHARE = 1 / 4


class CeilingLimits(NamedTuple):
    """Upper bounds of the initial and of the maximum ceiling, in seconds, for a fleet of any size."""

    initial_s: float = math.inf
    maximum_s: float = math.inf


UNLIMITED = CeilingLimits()


class ReconnectBackoff:
    """Sequence of randomized waits below a ceiling, which doubles with each wait up to a maximum.

    Each wait is uniformly distributed between `floor_share` times the ceiling and the ceiling.
    """

    __slots__ = ("_ceiling_s", "_floor_share", "_initial_ceiling_s", "_max_ceiling_s")

    def __init__(
        self,
        instance_count: int = 1,
        limits: CeilingLimits = UNLIMITED,
        floor_share: float = DEFAULT_FLOOR_SHARE,
    ) -> None:
        initial_s = max(INITIAL_CEILING_S, INITIAL_CEILING_PER_INSTANCE_S * instance_count)
        maximum_s = max(MAX_CEILING_S, MAX_CEILING_PER_INSTANCE_S * instance_count)
        self._initial_ceiling_s = min(initial_s, limits.initial_s)
        self._max_ceiling_s = min(maximum_s, limits.maximum_s)
        self._floor_share = floor_share
        self._ceiling_s = self._initial_ceiling_s

    def next_wait_s(self) -> float:
        """Return the next wait in seconds and double the ceiling for the one after it, up to the maximum."""
        wait_s = random.uniform(self._ceiling_s * self._floor_share, self._ceiling_s)
        self._ceiling_s = min(self._max_ceiling_s, self._ceiling_s * 2)
        return wait_s

    def reset(self) -> None:
        """Return to the initial ceiling, after a success or a change of address."""
        self._ceiling_s = self._initial_ceiling_s

"""Conversion of wall clock times, which stay valid across a restart, to the policy's monotonic clock."""

from __future__ import annotations

import time


def monotonic_us() -> int:
    """Return the time of the policy's clock in microseconds; all processes of a machine share this clock."""
    return time.monotonic_ns() // 1000


def monotonic_at_us(wall_s: float) -> int:
    """Return the time of the policy's clock, in microseconds, for a wall clock time in seconds."""
    return monotonic_us() + int((wall_s - time.time()) * 1e6)

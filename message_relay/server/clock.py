"""The clocks of the process.

Times that are stored across a restart are wall clock times. The wall clock may be stepped while the process
runs; spans of time must not change with it. Therefore it is read once, and advanced by the monotonic clock.
"""

from __future__ import annotations

import time

WALL_CLOCK_AHEAD_S = time.time() - time.monotonic()  # of the monotonic clock, when the process started


def now_s() -> float:
    """Return the wall clock time in seconds, without the steps of the clock since the process started."""
    return WALL_CLOCK_AHEAD_S + time.monotonic()


def monotonic_us() -> int:
    """Return the time of the policy's clock in microseconds; all processes of a machine share this clock."""
    return time.monotonic_ns() // 1000


def monotonic_at_us(wall_s: float) -> int:
    """Return the time of the policy's clock, in microseconds, for a time of `now_s`."""
    return monotonic_us() + int((wall_s - now_s()) * 1e6)

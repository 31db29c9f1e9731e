"""The clocks: the policy's monotonic microseconds, and wall time, which outlasts a restart."""

from __future__ import annotations

import time


def monotonic_us() -> int:
    """Microseconds on the clock that is given to the policy; processes on one machine share it."""
    return time.monotonic_ns() // 1000


def monotonic_at_us(wall_s: float) -> int:
    """The same moment on the monotonic clock, for a time in wall seconds."""
    return monotonic_us() + int((wall_s - time.time()) * 1e6)

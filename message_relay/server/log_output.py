"""Logging to standard error with a limit on the lines per second."""

from __future__ import annotations

import logging
import time
from collections import Counter

MAX_LINES_PER_S = 50  # more could block the event loop
# Of one module, so that the lines of a frequent event do not displace all others.
MAX_LINES_PER_S_AND_MODULE = 20


class LogThrottle:
    """Limits the lines of one frequent event, before the cost of a log record."""

    def __init__(self, lines_per_s: int = MAX_LINES_PER_S_AND_MODULE) -> None:
        self._lines_per_s = lines_per_s
        self._current_second = 0
        self._lines = 0

    def permits_line(self) -> bool:
        """Return whether a line may be logged now, and count it."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines = second, 0
        self._lines += 1
        return self._lines <= self._lines_per_s


class RateLimitedFilter(logging.Filter):
    """Drops the log lines of a second that exceed a limit, of all modules together or of one of them."""

    def __init__(self, lines_per_s: int, lines_per_s_and_module: int) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._lines_per_s_and_module = lines_per_s_and_module
        self._current_second = 0
        self._lines_by_module: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is written."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_by_module.clear()
        if self._lines_by_module[record.name] >= self._lines_per_s_and_module:
            return False
        if self._lines_by_module.total() >= self._lines_per_s:
            return False
        self._lines_by_module[record.name] += 1
        return True


def configure_logging() -> None:
    """Write log lines of level INFO and above to standard error, as plain text."""
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitedFilter(MAX_LINES_PER_S, MAX_LINES_PER_S_AND_MODULE))
    line_format = "%(asctime)s %(levelname)s %(message)s"
    logging.basicConfig(level=logging.INFO, handlers=[handler], format=line_format)

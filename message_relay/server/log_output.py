"""Log lines on standard error, at most so many a second."""

from __future__ import annotations

import logging
import time

MAX_LINES_PER_S = 50  # a flood of lines would stall the event loop


class RateLimitedFilter(logging.Filter):
    """Drops the lines of a second beyond a limit."""

    def __init__(self, lines_per_s: int) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= self._lines_per_s


def configure_logging() -> None:
    """Log everything from INFO on, in the human form."""
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitedFilter(MAX_LINES_PER_S))
    line = "%(asctime)s %(levelname)s %(message)s"
    logging.basicConfig(level=logging.INFO, handlers=[handler], format=line)

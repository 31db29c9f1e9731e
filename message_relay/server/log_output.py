"""Logging to standard error with a limit on the lines per second."""

from __future__ import annotations

import logging
import time

MAX_LINES_PER_S = 50  # more could block the event loop


class RateLimitedFilter(logging.Filter):
    """Drops the log lines of a second that exceed a limit."""

    def __init__(self, lines_per_s: int) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._current_second = 0
        self._line_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is written."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._line_count = second, 0
        self._line_count += 1
        return self._line_count <= self._lines_per_s


def configure_logging() -> None:
    """Write log lines of level INFO and above to standard error, as plain text."""
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitedFilter(MAX_LINES_PER_S))
    line_format = "%(asctime)s %(levelname)s %(message)s"
    logging.basicConfig(level=logging.INFO, handlers=[handler], format=line_format)

"""Replies to clients, as bytes of the RESP2 protocol."""

from __future__ import annotations

MAX_ERROR_TEXT_BYTES = 200  # an error reply stays one short line even if its text quotes a long value
US_PER_MS = 1000

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
FAILED = b"-ERR failed\r\n"
INTERNAL_ERROR = b"-ERR internal error\r\n"


def busy(retry_after_us: int) -> bytes:
    """Return the reply to a message that is rejected for now.

    It contains the time to wait before resubmitting, in ms rounded up, if `retry_after_us` is above 0.
    """
    if retry_after_us <= 0:
        return b"-BUSY\r\n"
    retry_after_ms = -(-retry_after_us // US_PER_MS)
    return b"-BUSY %d\r\n" % retry_after_ms


def error(text: str) -> bytes:
    """Return an error reply; the text is converted to a single line of ASCII and truncated."""
    line = " ".join(text.split()).encode("ascii", "replace")
    return b"-ERR %s\r\n" % line[:MAX_ERROR_TEXT_BYTES]


def bulk_string(data: bytes) -> bytes:
    """Return the data as a RESP2 bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)

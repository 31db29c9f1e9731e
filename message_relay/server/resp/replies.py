"""The replies to clients, as they go out."""

from __future__ import annotations

MAX_ERROR_TEXT_BYTES = 200  # an error must stay one short line, whatever its text holds
US_PER_MS = 1000

OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
FAILED = b"-ERR failed\r\n"
INTERNAL_ERROR = b"-ERR internal error\r\n"


def busy(retry_after_us: int) -> bytes:
    """Return the reply to a message that is rejected for now, with the wait in ms (rounded up) if any."""
    if retry_after_us <= 0:
        return b"-BUSY\r\n"
    retry_after_ms = -(-retry_after_us // US_PER_MS)
    return b"-BUSY %d\r\n" % retry_after_ms


def error(text: str) -> bytes:
    """Return an error reply with the text made one line of ASCII."""
    line = " ".join(text.split()).encode("ascii", "replace")
    return b"-ERR %s\r\n" % line[:MAX_ERROR_TEXT_BYTES]


def bulk_string(data: bytes) -> bytes:
    """Return the data as a RESP2 bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)

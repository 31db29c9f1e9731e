"""Incremental reader of requests: RESP2 arrays of bulk strings.

The common RESP libraries allocate an array as soon as its length is announced. This reader checks every
length against a limit first.
"""

from __future__ import annotations

from typing import Any

from message_relay.server.resp.errors import RespError

MAX_BULK_STRING_BYTES = 64 * 1024  # the largest message body
MAX_ARGUMENTS = 16  # of one request, the command name included; the longest command has 5
# Total size of the bulk strings of one request: a message body and the other arguments.
MAX_REQUEST_BYTES = MAX_BULK_STRING_BYTES + 4096
MAX_LENGTH_LINE_BYTES = 16  # of a line such as "*5" or "$12", CRLF included; valid ones are shorter
LINE_END = b"\r\n"
ARRAY_PREFIX = b"*"
BULK_STRING_PREFIX = b"$"


class ProtocolError(RespError):
    """The framing is invalid, so the start of the next request cannot be determined."""


class RequestReader:
    """Buffers bytes as they arrive and returns complete requests."""

    __slots__ = ("argument_bytes", "arguments", "buffer", "missing_arguments", "position", "total_bytes")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position = 0  # index in the buffer; the bytes before it have been parsed
        self.arguments: list[bytes] = []  # complete arguments of the current request
        self.missing_arguments = 0  # number of its arguments that are not complete
        # Length of the argument that is being read, -1 until its length line is complete.
        self.argument_bytes = -1
        self.total_bytes = 0  # sum of the announced argument lengths of the current request

    @property
    def mid_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self.missing_arguments > 0 or self.position < len(self.buffer)

    def export_state(self) -> list[Any]:
        """Return the buffered bytes and the current request, with which another process can continue."""
        return [
            bytes(self.buffer[self.position :]),
            self.arguments,
            self.missing_arguments,
            self.argument_bytes,
            self.total_bytes,
        ]

    def import_state(self, values: list[Any]) -> None:
        """Continue with the state that another process exported."""
        buffer, self.arguments, self.missing_arguments, self.argument_bytes, self.total_bytes = values
        self.buffer = bytearray(buffer)
        self.position = 0

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        if self.position == len(self.buffer):
            self.buffer = bytearray(data)
        else:
            del self.buffer[: self.position]
            self.buffer += data
        self.position = 0

    def next_request(self) -> list[bytes] | None:
        """Return the arguments of the next complete request, or None if there is none yet.

        The first argument is the command name. Raises ProtocolError if the framing is invalid or a limit is
        exceeded.
        """
        if not self.missing_arguments:
            count = self._read_length(ARRAY_PREFIX, MAX_ARGUMENTS)
            if count < 0:
                return None
            if count == 0:
                return []
            self.missing_arguments = count
            self.arguments = []
            self.total_bytes = 0
        while self.missing_arguments:
            if not self._read_argument():
                return None
        arguments, self.arguments = self.arguments, []
        return arguments

    def _read_argument(self) -> bool:
        """Read one bulk string; return False if it is not complete yet."""
        if self.argument_bytes < 0 and not self._begin_argument():
            return False
        end = self.position + self.argument_bytes
        next_position = end + len(LINE_END)
        if len(self.buffer) < next_position:
            return False
        if self.buffer[end:next_position] != LINE_END:
            raise ProtocolError(
                "bulk string is not terminated by CRLF at its announced length "
                f"of {self.argument_bytes} bytes"
            )
        self.arguments.append(bytes(self.buffer[self.position : end]))
        self.position = next_position
        self.argument_bytes = -1
        self.missing_arguments -= 1
        return True

    def _begin_argument(self) -> bool:
        """Read the length line of a bulk string; return False if it is not complete yet."""
        self.argument_bytes = self._read_length(BULK_STRING_PREFIX, MAX_BULK_STRING_BYTES)
        if self.argument_bytes < 0:
            return False
        self.total_bytes += self.argument_bytes
        if self.total_bytes > MAX_REQUEST_BYTES:
            raise ProtocolError(
                f"request too large, expected at most {MAX_REQUEST_BYTES} bytes of bulk strings, "
                f"got {self.total_bytes}"
            )
        return True

    def _read_length(self, prefix: bytes, maximum: int) -> int:
        """Return the number in a line such as "*5" or "$12", or -1 if the line is not complete yet."""
        buffer, start = self.buffer, self.position
        if start == len(buffer):
            return -1
        if buffer[start] != prefix[0]:
            raise ProtocolError(f"expected '{prefix.decode()}', got {chr(buffer[start])!r}")
        end = buffer.find(LINE_END, start, start + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(buffer) - start >= MAX_LENGTH_LINE_BYTES:
                raise ProtocolError(
                    f"length line is not terminated by CRLF within {MAX_LENGTH_LINE_BYTES} bytes"
                )
            return -1
        digits = bytes(buffer[start + 1 : end])
        if not digits.isdigit():
            raise ProtocolError(f"expected a length in decimal digits, got {digits!r}")
        length = int(digits)
        if length > maximum:
            raise ProtocolError(f"expected a length of at most {maximum}, got {length}")
        self.position = end + len(LINE_END)
        return length

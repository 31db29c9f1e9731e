"""Incremental reader of requests: RESP2 arrays of bulk strings.

This is own code because every length must be checked before memory is allocated for it. The common RESP
readers allocate an array as soon as its length is announced.
"""

from __future__ import annotations

from typing import Any

from message_relay.server.resp.errors import RespError

MAX_BULK_STRING_BYTES = 64 * 1024  # the largest message body
MAX_ARGUMENTS = 16  # of one request, its name included; the longest command has five
MAX_REQUEST_BYTES = (
    MAX_BULK_STRING_BYTES + 4096
)  # the bulk strings of one request together: a body and the rest
MAX_LENGTH_LINE_BYTES = 16  # a line with a length, as in "*5" or "$12"; the limits above need far less
LINE_END = b"\r\n"
ARRAY_MARK = b"*"
BULK_STRING_MARK = b"$"


class ProtocolError(RespError):
    """The framing is broken, so that the start of the next request cannot be found any more."""


class RequestReader:
    """Takes bytes as they arrive and returns complete requests."""

    __slots__ = ("argument_bytes", "arguments", "buffer", "missing_arguments", "position", "total_bytes")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position = 0  # in the buffer: all bytes before it have been consumed
        self.arguments: list[bytes] = []  # of the request that is being read
        self.missing_arguments = 0
        self.argument_bytes = -1  # length of the argument that is being read, -1 before its length line
        self.total_bytes = 0  # announced lengths of the current request's arguments

    @property
    def mid_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self.missing_arguments > 0 or self.position < len(self.buffer)

    def export_state(self) -> list[Any]:
        """Return what was read and not yet returned as a request, for another process to continue with."""
        return [
            bytes(self.buffer[self.position :]),
            self.arguments,
            self.missing_arguments,
            self.argument_bytes,
            self.total_bytes,
        ]

    def import_state(self, values: list[Any]) -> None:
        """Continue from what another process exported."""
        buffer, self.arguments, self.missing_arguments, self.argument_bytes, self.total_bytes = values
        self.buffer = bytearray(buffer)
        self.position = 0

    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        if self.position == len(self.buffer):
            self.buffer = bytearray(data)
        else:
            del self.buffer[: self.position]
            self.buffer += data
        self.position = 0

    def next_request(self) -> list[bytes] | None:
        """Return the arguments of the next complete request, its name first, or None while there is none.

        Raises ProtocolError when the bytes are no request or exceed a limit.
        """
        if not self.missing_arguments:
            count = self._read_length(ARRAY_MARK, MAX_ARGUMENTS)
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
        """Read one bulk string; False while it is not complete."""
        if self.argument_bytes < 0 and not self._begin_argument():
            return False
        end = self.position + self.argument_bytes
        next_position = end + len(LINE_END)
        if len(self.buffer) < next_position:
            return False
        if self.buffer[end:next_position] != LINE_END:
            raise ProtocolError("an item is not as long as it says")
        self.arguments.append(bytes(self.buffer[self.position : end]))
        self.position = next_position
        self.argument_bytes = -1
        self.missing_arguments -= 1
        return True

    def _begin_argument(self) -> bool:
        """Read the length of a bulk string; False while its line is not complete."""
        self.argument_bytes = self._read_length(BULK_STRING_MARK, MAX_BULK_STRING_BYTES)
        if self.argument_bytes < 0:
            return False
        self.total_bytes += self.argument_bytes
        if self.total_bytes > MAX_REQUEST_BYTES:
            raise ProtocolError("request too large")
        return True

    def _read_length(self, mark: bytes, maximum: int) -> int:
        """Return the number of a line like "*5" or "$12", or -1 while the line is not complete."""
        buffer, start = self.buffer, self.position
        if start == len(buffer):
            return -1
        if buffer[start] != mark[0]:
            raise ProtocolError(f"expected '{mark.decode()}'")
        end = buffer.find(LINE_END, start, start + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(buffer) - start >= MAX_LENGTH_LINE_BYTES:
                raise ProtocolError("a length without end")
            return -1
        digits = bytes(buffer[start + 1 : end])
        if not digits.isdigit():
            raise ProtocolError("invalid length")
        length = int(digits)
        if length > maximum:
            raise ProtocolError(f"length over {maximum}")
        self.position = end + len(LINE_END)
        return length

"""Incremental reader of requests: RESP2 arrays of bulk strings.

The common RESP libraries allocate an array as soon as its length is announced. This reader checks every
length against a limit first.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from message_relay.server.resp.errors import RespError

MAX_BULK_STRING_BYTES = 64 * 1024  # the largest message body
MAX_ARGUMENTS = 16  # of one request, the command name included; the longest command has 5
# Total size of the bulk strings of one request but the last, which is the body of a submitted message.
MAX_HEAD_BYTES = 4096
MAX_REQUEST_BYTES = MAX_BULK_STRING_BYTES + MAX_HEAD_BYTES
MAX_LENGTH_LINE_BYTES = 16  # of a line such as "*5" or "$12", CRLF included; valid ones are shorter
# Total size of the complete arguments that are kept of a discarded request; it names a message with ease.
MAX_KEPT_HEAD_BYTES = 512
MIN_READ_BYTES = 4096  # several small requests; bytes that are read before they can be handled use memory
MAX_READ_BYTES = 1 << 16
LINE_END = b"\r\n"
ARRAY_PREFIX = b"*"
BULK_STRING_PREFIX = b"$"


class ProtocolError(RespError):
    """The framing is invalid, so the start of the next request cannot be determined."""


class RawRequest(NamedTuple):
    """A complete request.

    arguments: the first is the command name; discarded: arguments were skipped, they are empty here.
    """

    arguments: list[bytes]
    discarded: bool


class RequestReader:
    """Buffers bytes as they arrive and returns complete requests."""

    __slots__ = (
        "argument_bytes",
        "arguments",
        "buffer",
        "discarding",
        "missing_arguments",
        "position",
        "total_bytes",
    )

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position = 0  # index in the buffer; the bytes before it have been parsed
        self.arguments: list[bytes] = []  # complete arguments of the current request
        self.missing_arguments = 0  # number of its arguments that are not complete
        # Length of the argument that is being read, -1 until its length line is complete; without the bytes
        # that were skipped already.
        self.argument_bytes = -1
        self.total_bytes = 0  # sum of the announced argument lengths of the current request
        self.discarding = False  # the remaining arguments of the current request are skipped

    @property
    def mid_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self.missing_arguments > 0 or self.position < len(self.buffer)

    @property
    def held_bytes(self) -> int:
        """Bytes in memory of requests that are not complete, or complete but not returned yet."""
        return len(self.buffer) + sum(map(len, self.arguments))

    @property
    def wanted_bytes(self) -> int:
        """Number of bytes to receive next: the rest of the current argument, if that is long."""
        return min(MAX_READ_BYTES, max(MIN_READ_BYTES, self.argument_bytes - len(self.buffer)))

    def export_state(self) -> list[Any]:
        """Return the buffered bytes and the current request, with which another process can continue.

        A request that is being discarded cannot be continued.
        """
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

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes to the buffer."""
        self.buffer += data

    def discard(self) -> None:
        """Skip the rest of the request that is being read and free its memory.

        It is returned when it is complete, with `discarded` set; the framing of the next request is kept.
        """
        self.discarding = True
        if sum(map(len, self.arguments)) > MAX_KEPT_HEAD_BYTES:
            self.arguments = [b""] * len(self.arguments)
        self._skip()
        self.release_parsed()

    def release_parsed(self) -> None:
        """Free the memory of the bytes that have been parsed."""
        if self.position:
            self.buffer = self.buffer[self.position :]
            self.position = 0

    def next_request(self) -> RawRequest | None:
        """Return the next complete request, or None if there is none yet.

        Raises ProtocolError if the framing is invalid or a limit is exceeded.
        """
        if not self.missing_arguments:
            count = self._read_length(ARRAY_PREFIX, MAX_ARGUMENTS)
            if count < 0:
                return None
            if count == 0:
                return RawRequest([], False)
            self.missing_arguments = count
            self.arguments = []
            self.total_bytes = 0
        while self.missing_arguments:
            if not self._read_argument():
                return None
        request = RawRequest(self.arguments, self.discarding)
        self.arguments, self.discarding = [], False
        return request

    def _read_argument(self) -> bool:
        """Read one bulk string; return False if it is not complete yet."""
        if self.argument_bytes < 0 and not self._begin_argument():
            return False
        if self.discarding:
            self._skip()
        end = self.position + self.argument_bytes
        next_position = end + len(LINE_END)
        if len(self.buffer) < next_position:
            return False
        if self.buffer[end:next_position] != LINE_END:
            raise ProtocolError("bulk string is not terminated by CRLF at its announced length")
        self.arguments.append(bytes(memoryview(self.buffer)[self.position : end]))
        self.position = next_position
        self.argument_bytes = -1
        self.missing_arguments -= 1
        return True

    def _skip(self) -> None:
        """Skip the bytes of the current argument that have arrived."""
        skipped_bytes = max(0, min(self.argument_bytes, len(self.buffer) - self.position))
        self.position += skipped_bytes
        self.argument_bytes -= skipped_bytes

    def _begin_argument(self) -> bool:
        """Read the length line of a bulk string; return False if it is not complete yet."""
        self.argument_bytes = self._read_length(BULK_STRING_PREFIX, MAX_BULK_STRING_BYTES)
        if self.argument_bytes < 0:
            return False
        self.total_bytes += self.argument_bytes
        last = self.missing_arguments == 1
        limit = MAX_REQUEST_BYTES if last else MAX_HEAD_BYTES
        if self.total_bytes > limit:
            part = "bulk strings" if last else "bulk strings before the last"
            raise ProtocolError(
                f"request too large, expected at most {limit} bytes of {part}, got {self.total_bytes}"
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

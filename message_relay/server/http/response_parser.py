"""Parser of one HTTP/1.1 response, based on httptools (llhttp), that reports to a `ResponseHandler`."""

from __future__ import annotations

import re

import httptools

from message_relay.server.http.response_handler import ResponseHandler

MIN_FINAL_STATUS = 200  # lower statuses are informational: a final response follows them
# Endless headers or informational responses would keep the call in flight: a response that exceeds one of
# these limits is treated as malformed.
MAX_HEADER_BYTES = 1 << 15  # bytes received before the headers of the final response are complete
MAX_INFORMATIONAL_RESPONSES = 16
# The headers that are used; the others are not stored, as a response may have thousands of them.
STORED_HEADERS = frozenset(
    {"content-length", "retry-after", "slots-taken", "transfer-encoding", "x-server-load"}
)
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: [^\r\n]*)?\r?\n")
END_OF_HEADERS = b"\r\n\r\n"


class ResponseParser:
    """Parser of one response, which may be preceded by informational (1xx) responses.

    Bytes that follow the response, such as a second copy, are only recorded in `trailing_bytes`. The
    `on_...` methods are the callbacks of httptools. `parser` and this object refer to each other: the owner
    deletes `parser` after the response, so that both are freed without the garbage collector.
    """

    __slots__ = (
        "_header_bytes",
        "_informational_responses",
        "_start_reported",
        "_unparsed_status_line",
        "complete",
        "handler",
        "headers",
        "headers_complete",
        "keep_alive",
        "parser",
        "status",
        "trailing_bytes",
    )

    def __init__(self, handler: ResponseHandler) -> None:
        self.handler = handler
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0  # of the final response, 0 until its status line is complete
        self.headers: dict[str, str] = {}
        self.headers_complete = False
        self.complete = False
        self.keep_alive = False  # the complete response permits another request on the connection
        self.trailing_bytes = False  # bytes followed the complete response
        self._start_reported = False
        self._informational_responses = 0
        self._header_bytes = 0
        self._unparsed_status_line = b""

    @property
    def delimited(self) -> bool:
        """Whether the headers state the end of the body; without this, the body ends with the connection."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers

    def feed(self, data: bytes) -> bool:
        """Parse received bytes and report progress; return False if the response is malformed."""
        if not self.status and len(self._unparsed_status_line) <= MAX_HEADER_BYTES:
            self._parse_status_line(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # After the end of the response, the error is in bytes that follow it: the response is valid.
            self.trailing_bytes = self.trailing_bytes or self.complete
            return self.complete
        if not self.headers_complete:
            self._header_bytes += len(data)
        if not self._start_reported and not self.complete:
            self._start_reported = True
            self.handler.response_started()
        within_limits = self._informational_responses <= MAX_INFORMATIONAL_RESPONSES
        return within_limits and self._header_bytes <= MAX_HEADER_BYTES

    def _parse_status_line(self, data: bytes) -> None:
        """Report the final status when its status line is complete.

        httptools reports a status when its digits have arrived, although the line may still be cut off.
        """
        self._unparsed_status_line += data
        while not self.status and (line := STATUS_LINE.match(self._unparsed_status_line)):
            status = int(line[1])
            if status >= MIN_FINAL_STATUS:
                self._report_status(status)
                return
            end = self._unparsed_status_line.find(END_OF_HEADERS)
            if end < 0:
                return
            self._unparsed_status_line = self._unparsed_status_line[end + len(END_OF_HEADERS) :]

    def _report_status(self, status: int) -> None:
        self.status = status
        self._unparsed_status_line = b""
        self.handler.status_received(status)

    def on_message_begin(self) -> None:
        """Discard the headers of a previous response, unless this one follows the final response."""
        self.trailing_bytes = self.complete
        if not self.trailing_bytes:
            self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of this response if it is used."""
        lower_name = name.decode("latin-1").lower()
        if lower_name in STORED_HEADERS and not self.trailing_bytes:
            self.headers[lower_name] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Report the headers of the final response; ignore those of other responses."""
        if self.trailing_bytes or self.parser.get_status_code() < MIN_FINAL_STATUS:
            return
        if not self.status:
            self._report_status(self.parser.get_status_code())
        self.headers_complete = True
        self.handler.headers_received(self.status, self.headers)

    def on_body(self, data: bytes) -> None:
        """Report a part of the body of the final response."""
        if self.headers_complete and not self.trailing_bytes:
            self.handler.body_received(data)

    def on_message_complete(self) -> None:
        """Record the end of an informational response or of the final response."""
        if self.trailing_bytes:
            return
        if not self.headers_complete:
            self._informational_responses += 1
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

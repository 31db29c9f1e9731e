"""Parses one HTTP/1.1 response with httptools (llhttp) and reports it to a `ResponseHandler`."""

from __future__ import annotations

import re

import httptools

from message_relay.server.http.response_handler import ResponseHandler

FIRST_FINAL_STATUS = 200  # statuses below it are informational: a final response follows them
# A response without an end to its headers or its informational responses would keep the call in flight.
MAX_HEADER_BYTES = 1 << 15  # of a response before its headers are complete
MAX_INFORMATIONAL_RESPONSES = 16
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: [^\r\n]*)?\r?\n")
END_OF_HEADERS = b"\r\n\r\n"


class ResponseParser:
    """The parser of one response; of what follows the response it notes only that it is there.

    The `on_...` methods are the callbacks of httptools. `parser` and this object refer to each other: who
    is done with the response deletes `parser`, so that neither waits for the garbage collector.
    """

    __slots__ = (
        "_header_bytes",
        "_informational_responses",
        "_started",
        "_unparsed_status_line",
        "complete",
        "handler",
        "headers",
        "headers_complete",
        "keep_alive",
        "parser",
        "status",
        "trailing_bytes",
        "trailing_response",
    )

    def __init__(self, handler: ResponseHandler) -> None:
        self.handler = handler
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0  # of the final response, 0: its status line is not complete yet
        self.headers: dict[str, str] = {}
        self.headers_complete = False
        self.complete = False
        self.keep_alive = False  # by its headers, the connection may be used for another request
        self.trailing_bytes = False  # something followed the complete response
        self.trailing_response = False  # and it was another response
        self._started = False
        self._informational_responses = 0
        self._header_bytes = 0
        self._unparsed_status_line = b""

    @property
    def delimited(self) -> bool:
        """Whether the headers say where the body ends; otherwise it ends with the connection."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers

    def feed(self, data: bytes) -> bool:
        """Parse what arrived and report it; return False if the response is malformed."""
        if not self.status and len(self._unparsed_status_line) <= MAX_HEADER_BYTES:
            self._parse_status_line(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.trailing_bytes = self.trailing_bytes or self.complete
            return self.complete
        if not self.headers_complete:
            self._header_bytes += len(data)
        if not self._started and not self.complete:
            self._started = True
            self.handler.response_started()
        within_limits = self._informational_responses <= MAX_INFORMATIONAL_RESPONSES
        return within_limits and self._header_bytes <= MAX_HEADER_BYTES

    def _parse_status_line(self, data: bytes) -> None:
        """Report the final status once its line is complete.

        httptools gives a status out as soon as its digits have arrived, when the line may still break off.
        """
        self._unparsed_status_line += data
        while not self.status and (line := STATUS_LINE.match(self._unparsed_status_line)):
            status = int(line[1])
            if status >= FIRST_FINAL_STATUS:
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
        """Start a response: the next informational one, the final one, or one that trails it."""
        self.trailing_bytes = self.complete
        if not self.trailing_bytes:
            self.headers = {}

    def on_status(self, _: bytes) -> None:
        """Note whether what trails the response is another response."""
        self.trailing_response = self.trailing_bytes

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of this response."""
        if not self.trailing_bytes:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Report the headers of the final response."""
        if self.trailing_bytes or self.parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        if not self.status:
            self._report_status(self.parser.get_status_code())
        self.headers_complete = True
        self.handler.headers_received(self.status, self.headers)

    def on_body(self, data: bytes) -> None:
        """Report a part of the body."""
        if self.headers_complete and not self.trailing_bytes:
            self.handler.body_received(data)

    def on_message_complete(self) -> None:
        """Note the end of an informational response or of the final one."""
        if self.trailing_bytes:
            return
        if not self.headers_complete:
            self._informational_responses += 1
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

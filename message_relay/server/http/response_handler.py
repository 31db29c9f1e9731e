"""Callbacks for the progress of a request and its response."""

from __future__ import annotations


class ResponseHandler:
    """Base class of the receivers of one request's progress and response; its methods do nothing.

    Each method is called synchronously, in the event loop callback that read or wrote the socket. Of
    `response_complete`, `connection_lost` and `response_malformed`, one is called at most, as the last call.
    """

    __slots__ = ()

    def request_written(self) -> None:
        """Handle the write of the last byte of the request to the socket."""

    def response_started(self) -> None:
        """Handle the first part of a response; not called if the complete response arrives at once."""

    def status_received(self, status: int) -> None:
        """Handle the status of the final response, when its status line is complete.

        It is not called for the informational (1xx) responses that precede the final one.
        """

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """Handle the complete headers of the final response.

        Only those of `response_parser.STORED_HEADERS` are passed; their names are in lower case.
        """

    def body_received(self, data: bytes) -> None:
        """Handle a part of the body."""

    def response_complete(self) -> None:
        """Handle the end of the complete response.

        Further bytes may have followed it, such as a second copy: the connection is closed already then.
        """

    def connection_lost(self, request_written: bool) -> None:
        """Handle the loss of the connection before the response was complete.

        request_written: whether the last byte of the request was written; if not, the server has not executed
        the request.
        """

    def response_malformed(self) -> None:
        """Handle a response that cannot be parsed; the connection is closed already."""
        self.connection_lost(True)

"""The callbacks through which a request's sender learns what became of it."""

from __future__ import annotations


class ResponseHandler:
    """Receives the progress of one request and its response; the methods here ignore everything.

    Every method is called synchronously from the event loop callback that read or wrote the socket.
    """

    __slots__ = ()

    def request_written(self) -> None:
        """The request's last byte was written to the socket."""

    def response_started(self) -> None:
        """A first part of the response has arrived, but not all of it."""

    def status_received(self, status: int) -> None:
        """The status line of the final response has arrived completely.

        It is not called for the informational (1xx) responses ahead of the final one.
        """

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """All headers have arrived; their names are in lower case."""

    def body_received(self, data: bytes) -> None:
        """A part of the body has arrived."""

    def response_complete(self, trailing_bytes: bool) -> None:
        """The response is complete.

        trailing_bytes: bytes that are not another response followed directly behind it.
        """

    def connection_lost(self, request_written: bool) -> None:
        """The connection broke or ended before the response was complete.

        request_written: the request's last byte had been written.
        """

    def response_malformed(self) -> None:
        """The response cannot be parsed; the connection is closed."""
        self.connection_lost(True)

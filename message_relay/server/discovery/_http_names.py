"""The HTTP client under its final names, until the rename in `message_relay.server.http` is joined.

To be deleted then: `connection.py`, `endpoint_watch.py` and `final_notifier.py` import the same names from
`message_relay.server.http`.
"""

from __future__ import annotations

from message_relay.server.http.connection import Connection, Exchange, Headers


class ResponseHandler(Exchange):
    """Receives the parts of one response under their final names."""

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """All headers have arrived."""

    def body_received(self, data: bytes) -> None:
        """A part of the body has arrived."""

    def response_complete(self, trailing_bytes: bool) -> None:
        """The response is complete; trailing_bytes: other data followed it."""

    def connection_lost(self, request_written: bool) -> None:
        """The connection broke or ended before the response was complete."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Old name of headers_received."""
        self.headers_received(status, headers)

    def data(self, data: bytes) -> None:
        """Old name of body_received."""
        self.body_received(data)

    def end(self, noise: bool) -> None:
        """Old name of response_complete."""
        self.response_complete(noise)

    def lost(self, written: bool) -> None:
        """Old name of connection_lost."""
        self.connection_lost(written)


class HttpConnection(Connection):
    """The HTTP connection under its final method names."""

    def is_stale(self) -> bool:
        """Whether the peer has ended this idle connection, or has sent unrequested data on it."""
        return self.stale()

    def send_request(
        self, method: str, target: str, headers: Headers, body: bytes, handler: ResponseHandler
    ) -> None:
        """Send one request; its response goes to the handler."""
        self.request(method, target, headers, body, handler)

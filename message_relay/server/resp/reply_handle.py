"""Handle through which the parts of the server send the reply to one request."""

from __future__ import annotations

from typing import Protocol


class ReplyingConnection(Protocol):
    """Connection on which replies are sent, as far as a handle uses it."""

    @property
    def failed(self) -> bool:
        """Whether the connection broke or was reset."""

    def check_connected(self) -> bool:
        """Return whether replies can be sent; close the connection if it was reset."""

    def client_stopped_sending(self) -> bool:
        """Return whether the client has closed the connection or its sending side."""

    def flush(self) -> None:
        """Send the available replies up to the first that is pending."""


class ReplyHandle:
    """Handle through which the reply to one request is sent, in the order of the requests."""

    __slots__ = ("connection", "text", "waited_s")

    def __init__(self, connection: ReplyingConnection, waited_s: float = 0.0) -> None:
        self.connection = connection
        self.waited_s = (
            waited_s  # time for which the request may have waited until it was handled, in seconds
        )
        self.text = b""

    @property
    def client_connected(self) -> bool:
        """Whether the connection is open and was not reset, so that the reply can be sent."""
        return self.connection.check_connected()

    @property
    def connection_failed(self) -> bool:
        """Whether the connection broke or was reset, before the reply was sent or because of it."""
        return not self.connection.check_connected() and self.connection.failed

    @property
    def client_stopped_sending(self) -> bool:
        """Whether the client has closed the connection, or at least its sending side."""
        return self.connection.client_stopped_sending()

    def send(self, text: bytes) -> None:
        """Send the reply as soon as all earlier ones are sent; calls after the first have no effect."""
        if not self.text:
            self.text = text
            self.connection.flush()

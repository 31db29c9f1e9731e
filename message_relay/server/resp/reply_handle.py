"""Handle through which the parts of the server send the reply to one request."""

from __future__ import annotations

from typing import Protocol


class ReplyingConnection(Protocol):
    """Connection on which replies are sent, as far as a handle uses it."""

    closed: bool

    def flush(self) -> None:
        """Send the available replies up to the first that is pending."""


class ReplyHandle:
    """Handle through which the reply to one request is sent, in the order of the requests."""

    __slots__ = ("connection", "text")

    def __init__(self, connection: ReplyingConnection) -> None:
        self.connection = connection
        self.text = b""

    @property
    def client_connected(self) -> bool:
        """Whether the connection is still open, so that the reply can be sent."""
        return not self.connection.closed

    def send(self, text: bytes) -> None:
        """Send the reply as soon as all earlier ones are sent; calls after the first have no effect."""
        if not self.text:
            self.text = text
            self.connection.flush()

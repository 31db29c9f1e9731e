"""Interface of the server that a client connection belongs to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from message_relay.server.resp.commands import SubmitRequest
from message_relay.server.resp.read_control import ReadControl
from message_relay.server.resp.reply_handle import ReplyHandle
from message_relay.server.resp.unfinished_requests import UnfinishedRequests

if TYPE_CHECKING:
    from message_relay.server.resp.connection import ClientConnection


class ConnectionOwner(Protocol):
    """Server that a connection belongs to, as far as the connection uses it."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Event loop that serves the connection."""

    @property
    def paused(self) -> bool:
        """Whether reading from connections is suspended."""

    @property
    def receive_buffer(self) -> memoryview:
        """Buffer for the data of one receive; it is used again at the next one, of any connection."""

    @property
    def unfinished_requests(self) -> UnfinishedRequests:
        """Memory that the unfinished requests of all connections hold."""

    @property
    def suspended_reading(self) -> set[ReadControl]:
        """Flow controls of the connections on which requests wait to be handled."""

    @property
    def refuse(self) -> Callable[[ReplyHandle], None]:
        """Callback that refuses a request whose content was discarded."""

    @property
    def submit(self) -> Callable[[SubmitRequest, ReplyHandle], None]:
        """Callback that accepts a submitted message; it raises InvalidRequestError for an invalid one."""

    @property
    def unready_reason(self) -> Callable[[], str]:
        """Callback that returns why the instance is not ready for clients, an empty string if it is ready."""

    def connection_active(self, connection: ClientConnection) -> None:
        """Record that the connection has an open request."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """Record that the connection has no open request."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""

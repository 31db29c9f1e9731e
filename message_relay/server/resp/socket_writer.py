"""Buffered writer for a non-blocking socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from message_relay.server.resp.socket_state import TRANSIENT_ERRORS

MAX_UNSENT_BYTES = 1 << 16  # buffered replies of a client that does not read them


def _ignore_event() -> None:
    """Do nothing; the callbacks of a closed writer."""


class SocketWriter:
    """Sends bytes immediately if possible and buffers the rest until the socket is writable again."""

    __slots__ = ("loop", "on_failure", "on_writable", "sock", "unsent")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_writable: Callable[[], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.on_writable = on_writable  # called when the socket is writable again, to call write()
        self.on_failure = on_failure  # called if sending fails or the buffer exceeds MAX_UNSENT_BYTES
        self.unsent = b""

    def write(self) -> None:
        """Send as many of the unsent bytes as the socket accepts."""
        try:
            sent_bytes = self.sock.send(self.unsent)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                self.on_failure()
                return
            sent_bytes = 0
        self.unsent = self.unsent[sent_bytes:]
        if len(self.unsent) > MAX_UNSENT_BYTES:
            self.on_failure()
        elif self.unsent:
            self.loop.add_writer(self.sock, self._on_writable)

    def close(self) -> None:
        """Discard the unsent bytes and the callbacks, which refer to their owner in a cycle.

        The caller closes the socket.
        """
        self.loop.remove_writer(self.sock)
        self.unsent = b""
        self.on_writable = self.on_failure = _ignore_event

    def _on_writable(self) -> None:
        self.loop.remove_writer(self.sock)
        self.on_writable()

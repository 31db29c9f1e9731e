"""The RESP2 server that clients submit messages to."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import socket
from collections.abc import Callable
from typing import Any

from message_relay.server.resp.commands import SubmitRequest
from message_relay.server.resp.connection import ClientConnection, ReplyHandle
from message_relay.server.resp.connection_table import ConnectionTable

LISTEN_BACKLOG = 512
MAX_ACCEPTS_PER_TURN = 16  # connections accepted in one loop turn: the usual clients wait for the turn's end
ACCEPT_PAUSE_S = 0.05  # accepting pauses for this when no descriptor can be freed
SWEEP_INTERVAL_S = 0.25
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
log = logging.getLogger(__name__)


class ClientServer:
    """Accepts clients and passes what they submit to `submit`.

    It accepts connections itself. asyncio's server would accept its whole backlog in one turn, before
    anything can be closed, and would pause for a second when descriptors run out.
    """

    def __init__(
        self,
        submit: Callable[[SubmitRequest, ReplyHandle], None],
        max_connections: int,
        unready_reason: Callable[[], str],
    ) -> None:
        self.submit = submit
        self.unready_reason = unready_reason  # why a PING gets an error, empty if it gets a PONG
        self.table = ConnectionTable(max_connections)
        self.loop = asyncio.get_event_loop()
        self.listening_socket: socket.socket | None = None
        self.accept_timer: asyncio.TimerHandle | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.paused = False  # nothing is accepted or read while another process may take over

    @property
    def connections(self) -> dict[ClientConnection, None]:
        """The open connections, the oldest first."""
        return self.table.connections

    @property
    def idle(self) -> dict[ClientConnection, None]:
        """The connections that have sent a valid request and have none open, the longest idle first."""
        return self.table.idle

    @property
    def listening(self) -> bool:
        """Whether there is a listening socket."""
        return self.listening_socket is not None

    async def listen(self, host: str, port: int, fd: int = -1) -> int:
        """Listen at the address, or on the listening socket `fd` if it is given; return the port.

        Raises OSError if the address cannot be bound.
        """
        self.loop = asyncio.get_running_loop()
        if fd >= 0:
            self.listening_socket = socket.socket(fileno=fd)
        else:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self.listening_socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG, family=family)
        self.listening_socket.setblocking(False)
        self._start_accepting()
        self._sweep_periodically()
        return int(self.listening_socket.getsockname()[1])

    def pause(self) -> None:
        """Accept and read nothing more for now: what arrives waits in the kernel."""
        self.paused = True
        if self.listening_socket is not None:
            self.loop.remove_reader(self.listening_socket)
        for connection in self.connections:
            connection.pause()

    def resume(self) -> None:
        """Accept and read again after pause()."""
        self.paused = False
        self._start_accepting()
        for connection in list(self.connections):
            connection.resume()

    def adopt(self, fd: int, state: list[Any]) -> None:
        """Continue a connection of another process, from its descriptor and exported state."""
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        connection = ClientConnection(self, sock)
        self.table.add(connection)
        connection.import_state(state)

    def accept_pending(self) -> None:
        """Accept the connections that wait in the backlog: closing the listening socket would reset them."""
        while self.listening_socket is not None and not self.paused:
            count_before = len(self.connections)
            self._on_acceptable()
            if len(self.connections) <= count_before:
                return

    def read_pending(self) -> None:
        """Read what clients have sent by now, before the end."""
        if self.paused:
            return
        for connection in list(self.connections):
            connection.read_pending()

    def stop_listening(self) -> None:
        """Close the listening socket; open connections stay."""
        if self.listening_socket is not None:
            self.loop.remove_reader(self.listening_socket)
            self.listening_socket.close()
            self.listening_socket = None

    def close_idle_connections(self) -> None:
        """Close the connections that are between requests: one with a request open would lose its reply."""
        if self.paused:
            return
        for connection in list(self.connections):
            connection.close_when_idle()

    def close(self) -> None:
        """Close the listening socket and all connections at once."""
        self.stop_listening()
        for timer in (self.accept_timer, self.sweep_timer):
            if timer is not None:
                timer.cancel()
        for connection in list(self.connections):
            connection.close()

    def connection_active(self, connection: ClientConnection) -> None:
        """Note that the connection has a request open."""
        self.table.mark_active(connection)

    def connection_idle(self, connection: ClientConnection) -> None:
        """Note that the connection has no request open any more."""
        self.table.mark_idle(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Note that the connection is closed."""
        self.table.remove(connection)

    def _start_accepting(self) -> None:
        if self.listening_socket is not None and not self.paused:
            self.loop.add_reader(self.listening_socket, self._on_acceptable)

    def _pause_accepting(self) -> None:
        """Leave new connections in the backlog for a moment, as no descriptor can be freed."""
        if self.listening_socket is not None:
            self.loop.remove_reader(self.listening_socket)
            self.accept_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._start_accepting)

    def _on_acceptable(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.listening_socket is None:
                return
            if self.table.full and not self._make_room():
                self._pause_accepting()
                return
            try:
                sock, _ = self.listening_socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.error("cannot accept a connection: error=%r", str(error))
                if error.errno not in OUT_OF_RESOURCES or not self._make_room():
                    self._pause_accepting()
                    return
            else:
                self._add_accepted(sock)

    def _add_accepted(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.table.add(ClientConnection(self, sock))

    def _make_room(self) -> bool:
        return self.table.make_room(self.loop.time())

    def _sweep_periodically(self) -> None:
        if not self.paused:  # the connections may belong to another process by now
            self.table.sweep(self.loop.time())
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_periodically)

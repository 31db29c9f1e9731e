"""RESP2 server to which clients submit messages."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import socket
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from message_relay.server.log_output import LogThrottle
from message_relay.server.resp.close_reason import CloseReason
from message_relay.server.resp.commands import SubmitRequest
from message_relay.server.resp.connection import (
    ACKNOWLEDGEMENT_CHECK_INTERVAL_S,
    ACKNOWLEDGEMENT_TIMEOUT_S,
    ClientConnection,
)
from message_relay.server.resp.connection_table import ConnectionTable
from message_relay.server.resp.read_control import ReadControl
from message_relay.server.resp.reader import MAX_READ_BYTES
from message_relay.server.resp.reply_handle import ReplyHandle
from message_relay.server.resp.unfinished_requests import UnfinishedRequests

LISTEN_BACKLOG = 512
# Connections accepted in one iteration of the event loop; open connections are served after it.
MAX_ACCEPTS_PER_ITERATION = 16
ACCEPT_PAUSE_S = 0.05  # of accepting, after a failure or when no connection can be closed for a new one
SWEEP_INTERVAL_S = 0.25  # between checks for overdue and silent connections
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
log = logging.getLogger(__name__)


class ClientServer:
    """Accepts client connections and passes the submitted messages to `submit`.

    It does not use asyncio's server, which accepts the complete backlog in one iteration of the event loop,
    before any connection can be closed, and stops accepting for a second when descriptors run out.
    """

    def __init__(
        self,
        *,
        submit: Callable[[SubmitRequest, ReplyHandle], None],
        refuse: Callable[[ReplyHandle], None],
        unready_reason: Callable[[], str],
        max_connections: int,
        max_buffer_bytes: int,
    ) -> None:
        self.submit = submit
        self.refuse = refuse  # refuses a request whose content was discarded
        self.receive_buffer = memoryview(bytearray(MAX_READ_BYTES))
        self.suspended_reading: set[ReadControl] = set()  # of connections on which requests wait
        self.unfinished_requests = UnfinishedRequests(max_buffer_bytes)
        # Returns the text of the error reply to a PING, empty if the reply is PONG.
        self.unready_reason = unready_reason
        self.table = ConnectionTable(max_connections)
        self.loop = asyncio.get_event_loop()
        self.listening_socket: socket.socket | None = None
        self.accept_timer: asyncio.TimerHandle | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None
        self._log_throttle = LogThrottle()
        self.close_counts: Counter[CloseReason] = Counter()
        self.paused = False  # no accepting or reading while another process may take over the connections

    @property
    def connections(self) -> dict[ClientConnection, None]:
        """Open connections, oldest first."""
        return self.table.connections

    @property
    def idle(self) -> dict[ClientConnection, None]:
        """Connections that have sent a valid request and have no open one, longest idle first."""
        return self.table.idle

    @property
    def listening(self) -> bool:
        """Whether there is a listening socket."""
        return self.listening_socket is not None

    async def listen(self, host: str, port: int, fd: int = -1) -> int:
        """Listen at the address, or on the listening socket `fd` if it is not negative; return the port.

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
        """Stop accepting and reading until resume(); new connections and data wait in the kernel."""
        self.paused = True
        if self.listening_socket is not None:
            self.loop.remove_reader(self.listening_socket)
        for connection in self.connections:
            connection.pause()

    def resume(self) -> None:
        """Continue accepting and reading after pause()."""
        self.paused = False
        self._start_accepting()
        for connection in list(self.connections):
            connection.resume()

    def import_connection(self, fd: int, state: list[Any]) -> None:
        """Continue a connection of another process, given its descriptor and the exported state."""
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        connection = ClientConnection(self, sock)
        self.table.add(connection)
        connection.import_state(state)

    def accept_pending(self) -> None:
        """Accept the connections in the backlog, since closing the listening socket would reset them.

        Stops after a pass that does not raise the number of open connections.
        """
        while self.listening_socket is not None and not self.paused:
            count_before = len(self.connections)
            self._on_acceptable()
            if len(self.connections) <= count_before:
                return

    def read_pending(self) -> None:
        """Read the data that clients have sent; called before the process exits."""
        if self.paused:
            return
        for connection in list(self.connections):
            connection.read_pending()

    def wait_for_acknowledgements(self) -> None:
        """Block until the clients have received the replies that a close would drop, or a short time is over.

        Called before the process exits, when nothing else is left to do.
        """
        end_s = self.loop.time() + ACKNOWLEDGEMENT_TIMEOUT_S
        while self.loop.time() < end_s and any(
            connection.close_would_drop_replies() for connection in self.connections
        ):
            time.sleep(ACKNOWLEDGEMENT_CHECK_INTERVAL_S)

    def stop_listening(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self.listening_socket is not None:
            self.loop.remove_reader(self.listening_socket)
            self.listening_socket.close()
            self.listening_socket = None

    def close_idle_connections(self) -> None:
        """Close the connections without an open request; the others would lose their replies."""
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
            connection.close(CloseReason.PROCESS_EXIT)

    def connection_active(self, connection: ClientConnection) -> None:
        """Record that the connection has an open request."""
        self.table.mark_active(connection)

    def connection_idle(self, connection: ClientConnection) -> None:
        """Record that the connection has no open request."""
        self.table.mark_idle(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection and count the reason."""
        self.table.remove(connection)
        reason = connection.close_reason
        self.close_counts[reason] += 1
        if not reason.expected and self._log_throttle.permits_line():
            log.info(
                "client connection closed: reason=%s age_s=%.2f buffered_bytes=%d open_requests=%d",
                reason.value,
                self.loop.time() - connection.connected_at_s,
                connection.reader.held_bytes,
                len(connection.pending_replies),
            )

    def _start_accepting(self) -> None:
        if self.listening_socket is not None and not self.paused:
            self.loop.add_reader(self.listening_socket, self._on_acceptable)

    def _pause_accepting(self) -> None:
        """Leave new connections in the backlog for ACCEPT_PAUSE_S."""
        if self.listening_socket is not None:
            self.loop.remove_reader(self.listening_socket)
            self.accept_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._start_accepting)

    def _on_acceptable(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if self.listening_socket is None:
                return
            if self.table.full and not self._evict_connection():
                self._pause_accepting()
                return
            try:
                sock, _ = self.listening_socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.error("accepting a connection failed: error=%r", str(error))
                if error.errno not in OUT_OF_RESOURCES or not self._evict_connection():
                    self._pause_accepting()
                    return
            else:
                self._add_accepted(sock)

    def _add_accepted(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.table.add(ClientConnection(self, sock))

    def _evict_connection(self) -> bool:
        return self.table.evict_connection(self.loop.time())

    def _sweep_periodically(self) -> None:
        if not self.paused:  # while paused, the connections may belong to another process
            self.table.sweep(self.loop.time())
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_periodically)

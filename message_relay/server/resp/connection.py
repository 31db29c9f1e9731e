"""One client's connection: reads requests, dispatches them and sends the replies in order."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from message_relay.server.resp import replies
from message_relay.server.resp.commands import (
    InvalidRequestError,
    PingRequest,
    QuitRequest,
    Request,
    SubmitRequest,
    parse_request,
)
from message_relay.server.resp.reader import ProtocolError, RequestReader
from message_relay.server.resp.socket_writer import SocketWriter

READ_BYTES = 1 << 16
MAX_PIPELINED_REQUESTS = 32  # that may be open or read at once on one connection; clients send one at a time
MAX_INVALID_REQUESTS = 3  # on one connection, which is closed with the last
INVALID_REQUEST_PAUSE_S = (
    0.1  # reading pauses for this after the first invalid request, then for twice as long
)
REQUEST_TIMEOUT_S = 2.0  # a request must be complete within this, the first one from the connect on
IDLE_TIMEOUT_S = 3.0  # a connection that has sent a valid request is kept for this with no request open
SILENT_CONNECTION_S = (
    0.25  # one that has sent nothing for this since the connect is closed first to make room
)
FINAL_READS = 3  # of READ_BYTES each, at the end: the longest request is complete after two
log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """What a connection needs of the server that it belongs to."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that serves the connection."""

    @property
    def paused(self) -> bool:
        """Whether nothing may be read for now."""

    @property
    def submit(self) -> Callable[[SubmitRequest, ReplyHandle], None]:
        """Takes a submitted message; raises InvalidRequestError."""

    @property
    def unready_reason(self) -> Callable[[], str]:
        """Returns why the instance is not ready for clients, empty if it is."""

    def connection_active(self, connection: ClientConnection) -> None:
        """Note that the connection has a request open."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """Note that the connection has no request open any more."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Note that the connection is closed."""


class ReplyHandle:
    """The place of one reply; replies leave in the order of their requests."""

    __slots__ = ("connection", "text")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.text = b""

    @property
    def client_connected(self) -> bool:
        """Whether the client can still receive the reply."""
        return not self.connection.closed

    def send(self, text: bytes) -> None:
        """Send the reply once its turn has come; only the first call counts."""
        if not self.text:
            self.text = text
            self.connection.flush()


class ClientConnection:
    """One client's connection, on a non-blocking socket."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self.owner = owner
        self.sock = sock
        self.loop = owner.loop
        self.reader = RequestReader()
        self.writer = SocketWriter(self.loop, sock, on_writable=self.flush, on_failure=self.close)
        self.pending_replies: deque[ReplyHandle] = deque()
        self.closing = False  # nothing more is read, the replies that are pending are still sent
        self.closed = False
        self.has_sent_valid_request = False
        self.invalid_requests = 0
        self.connected_at_s = self.loop.time()
        self.close_at_s = (
            self.connected_at_s + REQUEST_TIMEOUT_S
        )  # unless a complete request has come by then
        self.read_pause: asyncio.TimerHandle | None = None
        self.loop.add_reader(sock, self._on_readable)

    def _on_readable(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        if not data:  # a client that has shut down its sending side still gets the replies that it waits for
            self._stop_reading()
            self.flush()
            return
        if self.has_sent_valid_request and not self.reader.mid_request:
            self.close_at_s = self.loop.time() + REQUEST_TIMEOUT_S
        self.reader.feed(data)
        self._handle_complete_requests()

    def _handle_complete_requests(self) -> None:
        """Handle the requests that are complete; the buffer and the number of open requests are bounded."""
        handled = 0
        try:
            while not self.closing and self.read_pause is None:
                arguments = self.reader.next_request()
                if arguments is None:
                    return
                handled += 1
                if handled > MAX_PIPELINED_REQUESTS or len(self.pending_replies) >= MAX_PIPELINED_REQUESTS:
                    raise ProtocolError("too many requests at once")
                self._handle(arguments)
        except ProtocolError as error:
            self._stop_reading()
            self._add_reply().send(replies.error(f"Protocol error: {error}"))

    def _handle(self, arguments: list[bytes]) -> None:
        reply = self._add_reply()
        try:
            self._execute(parse_request(arguments), reply)
        except InvalidRequestError as error:
            self._reject(reply, error)
            return
        self.has_sent_valid_request = True
        if not self.pending_replies and not self.closing:
            self.owner.connection_idle(self)

    def _execute(self, request: Request, reply: ReplyHandle) -> None:
        match request:
            case SubmitRequest():
                self.owner.submit(request, reply)
            case PingRequest(text):
                reply.send(_reply_to_ping(text, self.owner.unready_reason()))
            case QuitRequest():
                self._stop_reading()
                reply.send(replies.OK)

    def _reject(self, reply: ReplyHandle, error: InvalidRequestError) -> None:
        """Reject an invalid request and pause reading, or close the connection after the last one allowed.

        A client that repeats its request as soon as it is rejected must not take the turns of the others.
        """
        log.warning("request rejected: reason=%r", str(error))
        self.invalid_requests += 1
        if self.invalid_requests >= MAX_INVALID_REQUESTS:
            self._stop_reading()
        else:
            self.loop.remove_reader(self.sock)
            pause_s = INVALID_REQUEST_PAUSE_S * 2 ** (self.invalid_requests - 1)
            self.read_pause = self.loop.call_later(pause_s, self._end_read_pause)
        reply.send(replies.error(str(error)))

    def _end_read_pause(self) -> None:
        self.read_pause = None
        if not self.closing and not self.owner.paused:
            self.loop.add_reader(self.sock, self._on_readable)
            self._handle_complete_requests()

    def _stop_reading(self) -> None:
        self.closing = True
        if not self.closed:
            self.loop.remove_reader(self.sock)

    def _add_reply(self) -> ReplyHandle:
        self.owner.connection_active(self)
        reply = ReplyHandle(self)
        self.pending_replies.append(reply)
        return reply

    def flush(self) -> None:
        """Send the replies whose turn it is; a connection that is closing closes after the last."""
        while self.pending_replies and self.pending_replies[0].text:
            self.writer.unsent += self.pending_replies.popleft().text
        if self.closed:
            return
        if self.writer.unsent:
            self.writer.write()
        if self.pending_replies:
            return
        if self.has_sent_valid_request and not self.closing:
            self.owner.connection_idle(self)
        self._restart_timeout(self.loop.time())
        if self.closing and not self.writer.unsent:
            self.close()

    def _restart_timeout(self, now_s: float) -> None:
        self.close_at_s = now_s + (IDLE_TIMEOUT_S if self.has_sent_valid_request else REQUEST_TIMEOUT_S)

    @property
    def transferable(self) -> bool:
        """Whether another process can continue it: it waits for no reply and is not closing."""
        return not self.closing and not self.pending_replies

    def export_state(self) -> list[Any]:
        """Return what another process needs to continue the connection."""
        return [
            self.reader.export_state(),
            self.writer.unsent,
            self.has_sent_valid_request,
            self.invalid_requests,
        ]

    def import_state(self, values: list[Any]) -> None:
        """Continue a connection from what another process exported."""
        reader_state, self.writer.unsent, self.has_sent_valid_request, self.invalid_requests = values
        self.reader.import_state(reader_state)
        self._restart_timeout(self.connected_at_s)
        if self.has_sent_valid_request:
            self.owner.connection_idle(self)
        self.loop.call_soon(self._continue_transferred)

    def _continue_transferred(self) -> None:
        """Handle requests that the other process has read completely and not handled."""
        if not self.closed:
            self._handle_complete_requests()
            self.flush()

    def pause(self) -> None:
        """Read nothing more for now."""
        self.loop.remove_reader(self.sock)

    def resume(self) -> None:
        """Read again after pause()."""
        if self._accepts_requests:
            self.loop.add_reader(self.sock, self._on_readable)

    @property
    def between_requests(self) -> bool:
        """Whether no request is open or half read and no reply is unsent."""
        return not self.pending_replies and not self.writer.unsent and not self.reader.mid_request

    def close_if_overdue(self, now_s: float) -> None:
        """Close it if no request has been open for too long, or if one did not become complete in time."""
        if now_s < self.close_at_s or self.pending_replies:
            return
        if self.reader.mid_request and not self.closing:
            self._stop_reading()
            self._add_reply().send(replies.error("the request did not become whole in time"))
        else:
            self.close_if_nothing_unread()

    def close_if_nothing_unread(self) -> bool:
        """Close it unless the client has sent what is still unread; return whether it was closed."""
        if self._accepts_requests and has_unread_data(self.sock):
            return False
        self.close()
        return True

    def close_when_idle(self) -> None:
        """Close it if nothing is pending or unread; a connection that is new is about to send a request."""
        if not self.between_requests:
            return
        if not self.has_sent_valid_request and self.loop.time() - self.connected_at_s < SILENT_CONNECTION_S:
            return
        if self._accepts_requests and has_unread_data(self.sock):
            self._on_readable()
        else:
            self.close()

    def read_pending(self) -> None:
        """Read what has arrived by now: nothing will be read after this."""
        for _ in range(FINAL_READS):
            if not self._accepts_requests or not has_unread_data(self.sock):
                return
            self._on_readable()

    @property
    def _accepts_requests(self) -> bool:
        return not self.closing and self.read_pause is None

    def close(self) -> None:
        """Close it at once; replies that are pending are lost."""
        if self.closed:
            return
        self.closed = self.closing = True
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        if self.read_pause is not None:
            self.read_pause.cancel()
        self.sock.close()
        self.owner.connection_closed(self)


def has_unread_data(sock: socket.socket) -> bool:
    """Return whether the kernel holds data of the peer that was not read yet."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def _reply_to_ping(text: bytes | None, unready_reason: str) -> bytes:
    if unready_reason:
        return replies.error(unready_reason)
    return replies.PONG if text is None else replies.bulk_string(text)

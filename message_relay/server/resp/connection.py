"""Connection of one client: reads requests, executes them and sends the replies in order.

A request is open from the time it is handled until its reply is passed to the socket writer. A client may
send many requests at once: up to MAX_PIPELINED_REQUESTS are open, the others wait to be handled or read.
"""

from __future__ import annotations

import logging
import socket
from typing import Any

from message_relay.server.resp import replies
from message_relay.server.resp.close_reason import CloseReason
from message_relay.server.resp.commands import InvalidRequestError
from message_relay.server.resp.connection_owner import ConnectionOwner
from message_relay.server.resp.execution import execute
from message_relay.server.resp.read_control import ReadControl
from message_relay.server.resp.reader import ProtocolError, RawRequest
from message_relay.server.resp.receiver import Received, RequestReceiver
from message_relay.server.resp.reply_handle import ReplyHandle
from message_relay.server.resp.socket_state import (
    has_unread_data,
    peer_stopped_sending,
    unacknowledged_bytes,
    was_reset,
)
from message_relay.server.resp.socket_writer import MAX_UNSENT_BYTES, SocketWriter

# Requests of one connection that may be open at once, or handled in one iteration of the event loop.
MAX_PIPELINED_REQUESTS = 32
# Requests of all connections with waiting requests that are handled in one iteration; at least one of each.
MAX_REQUESTS_PER_ITERATION = 64
MAX_INVALID_REQUESTS = 3  # of one connection, which reads nothing after the last
INVALID_REQUEST_PAUSE_S = 0.1  # of reading, after the first invalid request; doubled after each further one
REQUEST_TIMEOUT_S = 2.0  # from the first to the last byte of a request; from the connect for the first one
IDLE_TIMEOUT_S = 3.0  # without an open request, for a connection that has sent a valid one
# A connection without a valid request that is older than this is silent: it is closed first at the limit.
SILENT_CONNECTION_AGE_S = 0.25
# A close over unread data resets the connection, and replies that are not acknowledged are lost with it: it
# waits for them so long at most.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.2
ACKNOWLEDGEMENT_CHECK_INTERVAL_S = 0.01
# Reads of each connection before the process exits, of 4 KiB or the rest of a long argument: more than the
# longest request.
MAX_FINAL_READS = 48
log = logging.getLogger(__name__)


class ClientConnection:
    """Connection of one client, on a non-blocking socket."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self.owner = owner
        self.sock = sock
        self.loop = owner.loop
        self.receiver = RequestReceiver(self.loop, sock)
        self.reader = self.receiver.reader
        self.writer = SocketWriter(self.loop, sock, on_writable=self.flush, on_failure=self._writing_failed)
        self.pending_replies: list[ReplyHandle] = []  # few; an empty deque is ten times as large
        self.closing = False  # nothing more is read; pending replies are still sent
        self.close_reason = CloseReason.CLIENT_CLOSED  # why it is closing
        # Set when nothing more is received: the connection closes after the requests that were received.
        self.final_reason: CloseReason | None = None
        self._close_by_s = 0.0  # latest time for a close that waits for the client to receive its replies
        self.closed = False
        self.has_sent_valid_request = False
        self.invalid_requests = 0
        self.connected_at_s = self.loop.time()
        # Time from which close_if_overdue() closes the connection. It is postponed when all replies are sent,
        # and when a client that has sent a valid request begins another.
        self.close_at_s = self.connected_at_s + REQUEST_TIMEOUT_S
        self.reading = ReadControl(self.loop, sock, self._on_readable, owner.suspended_reading)

    def _on_readable(self) -> None:
        if not self._may_handle_request():
            self._suspend_reading()
        elif self._receive():
            self._handle_complete_requests()

    def _receive(self) -> bool:
        """Receive data into the reader; return whether any arrived."""
        mid_request = self.reader.mid_request
        received = self.receiver.receive(self.owner.receive_buffer)
        if received is Received.FAILURE:
            self.close(CloseReason.CONNECTION_ERROR)
        elif received is Received.END:  # the client still gets the pending replies
            self._stop_reading(CloseReason.CLIENT_CLOSED)
            self.flush()
        elif received is Received.DATA and self.has_sent_valid_request and not mid_request:
            self.close_at_s = self.loop.time() + REQUEST_TIMEOUT_S
        return received is Received.DATA

    def _handle_complete_requests(self) -> None:
        """Handle the complete requests in the buffer, but no more than may be handled now.

        Reading is suspended while further ones wait, which bounds the buffer. Invalid framing is answered
        with a protocol error and closes the connection.
        """
        all_handled = self._handle_some_requests()
        self._update_held_bytes()
        if not all_handled:
            self._suspend_reading()
        elif self.final_reason is not None:
            self._stop_reading(self.final_reason)
            self.flush()
        else:
            self.receiver.all_handled()
            self.reading.resume()

    def _handle_some_requests(self) -> bool:
        """Handle requests while that is permitted; return whether no complete one is left."""
        for _ in range(self._requests_per_iteration()):
            if not self._may_handle_request():
                return False
            if not self._handle_next_request():
                return True
        return False

    def _requests_per_iteration(self) -> int:
        """Return how many requests may be handled in this iteration of the event loop.

        Connections on which requests wait share an iteration, so that it stays short for the other clients.
        """
        share = MAX_REQUESTS_PER_ITERATION // (len(self.owner.suspended_reading) + 1)
        return max(1, min(MAX_PIPELINED_REQUESTS, share))

    def _update_held_bytes(self) -> None:
        """Free the memory of handled requests, and count what an unfinished one holds."""
        self.reader.release_parsed()
        counted = not self.closed and not self.reader.discarding
        self.owner.unfinished_requests.update(self, self.reader.held_bytes if counted else 0)

    def discard_request(self) -> None:
        """Free the memory of the unfinished request; it is refused when it is complete."""
        self.reader.discard()

    def refuse_unfinished_request(self) -> None:
        """Refuse the request that is being received now, and close the connection after the reply."""
        self._stop_reading(CloseReason.HANDED_OVER)
        self.owner.refuse(self._add_reply())

    def _may_handle_request(self) -> bool:
        """Return whether the next request may be handled before a reply is sent."""
        replies_outstanding = len(self.pending_replies) >= MAX_PIPELINED_REQUESTS or self.writer.unsent
        return self._accepts_requests and not self.owner.paused and not replies_outstanding

    def _handle_next_request(self) -> bool:
        """Handle the next request in the buffer; return False if it is not complete."""
        try:
            request = self.reader.next_request()
        except ProtocolError as error:
            self._stop_reading(CloseReason.PROTOCOL_ERROR)
            self._add_reply().send(replies.error(f"Protocol error: {error}"))
            return True
        if request is not None:
            self.owner.unfinished_requests.remove(self)
            self._handle(request)
        return request is not None

    def _suspend_reading(self) -> None:
        """Suspend reading until the requests in the buffer are handled."""
        if self._accepts_requests:  # otherwise nothing is read, or the end of a pause continues
            self.receiver.reading_suspended()
            self.reading.suspend()
            self._schedule_continuation()

    def _schedule_continuation(self) -> None:
        """Continue with the requests in the buffer in the next iteration, if one may be handled by now."""
        if self._may_handle_request():
            self.reading.continue_soon(self._continue)

    def _continue(self) -> None:
        if self._may_handle_request():
            self._handle_complete_requests()

    def _handle(self, request: RawRequest) -> None:
        reply = self._add_reply()
        try:
            keeps_open = self._execute(request, reply)
        except InvalidRequestError as error:
            self._reject(reply, error)
            return
        except Exception:  # without a reply, the replies behind it would never be sent
            log.exception("executing a request failed")
            reply.send(replies.INTERNAL_ERROR)
            return
        if not request.discarded:
            self.has_sent_valid_request = True
        if not keeps_open:
            self._stop_receiving(CloseReason.QUIT)
            reply.send(replies.OK)
        elif not self.pending_replies and not self.closing:
            self.owner.connection_idle(self)

    def _execute(self, request: RawRequest, reply: ReplyHandle) -> bool:
        return execute(request, reply, self.owner)

    def _reject(self, reply: ReplyHandle, error: InvalidRequestError) -> None:
        """Send an error reply and pause reading; after MAX_INVALID_REQUESTS nothing more is received.

        Without the pause, a client that repeats an invalid request immediately would delay the other clients.
        The requests behind it that were received already are answered all the same.
        """
        log.warning("request rejected: reason=%r", str(error))
        self.invalid_requests += 1
        if self.invalid_requests >= MAX_INVALID_REQUESTS:
            self._stop_receiving(CloseReason.INVALID_REQUESTS)
        else:
            pause_s = INVALID_REQUEST_PAUSE_S * 2 ** (self.invalid_requests - 1)
            self.reading.pause_for(pause_s, self._end_read_pause)
        reply.send(replies.error(str(error)))

    def _end_read_pause(self) -> None:
        if not self.closing and not self.owner.paused:
            self.resume()

    def _stop_receiving(self, reason: CloseReason) -> None:
        """Receive nothing more, and close the connection once the requests in the buffer are answered."""
        if self.final_reason is None:
            self.final_reason = reason
        self.reading.stop()

    def _stop_reading(self, reason: CloseReason) -> None:
        """Handle no further request, and close the connection after the pending replies."""
        self.closing = True
        self.close_reason = reason
        if not self.closed:
            self.reading.stop()

    def _add_reply(self) -> ReplyHandle:
        self.owner.connection_active(self)
        reply = ReplyHandle(self, self.receiver.waited_s())
        self.pending_replies.append(reply)
        return reply

    def flush(self) -> None:
        """Send the available replies up to the first that is pending.

        A connection that is closing is closed after its last reply.
        """
        while self.pending_replies and self.pending_replies[0].text:
            self.writer.unsent += self.pending_replies.pop(0).text
        if self.closed:
            return
        if self.writer.unsent:
            self.writer.write()
        if self.closed:
            return
        if self.reading.suspended:
            self._schedule_continuation()
        if self.pending_replies:
            return
        if self.has_sent_valid_request and not self.closing:
            self.owner.connection_idle(self)
        self._restart_timeout(self.loop.time())
        if self.closing and not self.writer.unsent and self.check_connected():
            self._close_after_replies()

    def _close_after_replies(self) -> None:
        """Close the connection once the client has received its replies, or after a short time."""
        now_s = self.loop.time()
        self._close_by_s = self._close_by_s or now_s + ACKNOWLEDGEMENT_TIMEOUT_S
        if self.close_would_drop_replies() and now_s < self._close_by_s:
            self.loop.call_later(ACKNOWLEDGEMENT_CHECK_INTERVAL_S, self.flush)
        else:
            self.close(self.close_reason)

    def close_would_drop_replies(self) -> bool:
        """Return whether a close now would reset the connection before its replies are received."""
        return not self.closed and unacknowledged_bytes(self.sock) > 0 and has_unread_data(self.sock)

    def check_connected(self) -> bool:
        """Return whether replies can be sent; close the connection if it was reset."""
        if not self.closed and was_reset(self.sock):
            self.close(CloseReason.CONNECTION_ERROR)
        return not self.closed

    @property
    def failed(self) -> bool:
        """Whether the connection broke or was reset; its last replies have probably not been received."""
        return self.closed and self.close_reason is CloseReason.CONNECTION_ERROR

    def client_stopped_sending(self) -> bool:
        """Return whether the client has closed the connection or its sending side."""
        return self.closed or peer_stopped_sending(self.sock)

    def _writing_failed(self) -> None:
        unread = len(self.writer.unsent) > MAX_UNSENT_BYTES
        self.close(CloseReason.REPLIES_NOT_READ if unread else CloseReason.CONNECTION_ERROR)

    def _restart_timeout(self, now_s: float) -> None:
        self.close_at_s = now_s + (IDLE_TIMEOUT_S if self.has_sent_valid_request else REQUEST_TIMEOUT_S)

    @property
    def transferable(self) -> bool:
        """Whether another process can continue the connection.

        It cannot if a request is open or being discarded, or if the connection is closing.
        """
        return not self.closing and not self.pending_replies and not self.reader.discarding

    def export_state(self) -> list[Any]:
        """Return the state that another process needs to continue the connection."""
        return [
            self.reader.export_state(),
            self.writer.unsent,
            self.has_sent_valid_request,
            self.invalid_requests,
        ]

    def import_state(self, values: list[Any]) -> None:
        """Continue the connection with the state that another process exported."""
        reader_state, self.writer.unsent, self.has_sent_valid_request, self.invalid_requests = values
        self.reader.import_state(reader_state)
        self._restart_timeout(self.connected_at_s)
        if self.has_sent_valid_request:
            self.owner.connection_idle(self)
        self.loop.call_soon(self._continue_transferred)

    def _continue_transferred(self) -> None:
        """Handle the requests that the other process has read completely but not handled."""
        if not self.closed:
            self._handle_complete_requests()
            self.flush()

    def pause(self) -> None:
        """Stop reading until resume()."""
        self.reading.stop()

    def resume(self) -> None:
        """Continue after pause(), except while closing or pausing after an invalid request.

        The requests in the buffer are handled first.
        """
        self._suspend_reading()

    @property
    def between_requests(self) -> bool:
        """Whether no request is open or partially read and all replies are sent."""
        return not self.pending_replies and not self.writer.unsent and not self.reader.mid_request

    def close_if_overdue(self, now_s: float) -> None:
        """Close the connection if its timeout has passed and no request is open.

        A client that has not read its replies in that time does not wait for them any more. If a request is
        partially read, an error reply is sent first. Otherwise the connection stays open while requests or
        data wait.
        """
        if now_s < self.close_at_s or self.pending_replies:
            return
        if self.writer.unsent:
            self.close(CloseReason.REPLIES_NOT_READ)
        elif self._requests_wait:
            return
        elif self.reader.mid_request and not self.closing:
            self._stop_reading(CloseReason.REQUEST_TIMEOUT)
            self._add_reply().send(replies.error("request timed out before it was complete"))
        else:
            reason = CloseReason.IDLE if self.has_sent_valid_request else CloseReason.SILENT
            self.close_if_nothing_unread(reason)

    def close_if_nothing_unread(self, reason: CloseReason) -> bool:
        """Close the connection unless data of the client waits; return whether it was closed.

        The data may wait to be read, or to be handled.
        """
        if self._requests_wait or (self._accepts_requests and has_unread_data(self.sock)):
            return False
        self.close(reason)
        return True

    def close_when_idle(self) -> None:
        """Close the connection if no request is open or partially read and all replies are sent.

        If data waits to be read, it is read instead. A new connection without a valid request stays open
        because its first request is probably on its way.
        """
        if not self.between_requests:
            return
        if (
            not self.has_sent_valid_request
            and self.loop.time() - self.connected_at_s < SILENT_CONNECTION_AGE_S
        ):
            return
        if self._accepts_requests and has_unread_data(self.sock):
            self._on_readable()
        else:
            self.close(CloseReason.IDLE)

    def read_pending(self) -> None:
        """Handle the requests that have arrived; called before the process exits, when nothing more is read.

        Those that wait in the buffer are handled too, however many are open.
        """
        self._handle_all_requests()
        for _ in range(MAX_FINAL_READS):
            if self.closing or self.final_reason is not None:
                return
            if not has_unread_data(self.sock) or not self._receive():
                return
            self._handle_all_requests()

    def _handle_all_requests(self) -> None:
        """Handle the requests in the buffer, without the pause after an invalid one."""
        while not self.closing and self._handle_next_request():
            pass
        self.reading.cancel_pause()
        self._update_held_bytes()

    @property
    def _requests_wait(self) -> bool:
        """Whether received requests wait to be handled, for an iteration of the event loop or a pause."""
        waiting = self.reading.suspended or self.reading.pause_timer is not None
        return waiting and self.reader.mid_request and not self.closing

    @property
    def _accepts_requests(self) -> bool:
        return not self.closing and self.reading.pause_timer is None

    def close(self, reason: CloseReason) -> None:
        """Close the connection at once and discard the pending replies."""
        if self.closed:
            return
        self.closed = self.closing = True
        self.close_reason = reason
        self.reading.close()
        self.writer.close()
        self.pending_replies.clear()
        self.sock.close()
        self.owner.unfinished_requests.remove(self)
        self.owner.connection_closed(self)

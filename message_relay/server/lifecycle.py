"""The lifecycle of the process: start, serving, quiescing, handover and shutdown."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from message_relay.model import ShutdownScheduled
from message_relay.server import clock
from message_relay.server.admin_console import CommandRejectedError
from message_relay.server.endpoint_calls import EndpointCallClient
from message_relay.server.event_queue import EventQueue
from message_relay.server.journal import Journal
from message_relay.server.resp.server import ClientServer
from message_relay.server.submission import Submissions

# Periods of a graceful shutdown, each measured from SIGTERM; SIGKILL follows 3.7 s after SIGTERM. Idle client
# connections are closed from the end of ACCEPT_PERIOD_S on, also after quiesce.
ACCEPT_PERIOD_S = 0.5  # new connections are accepted
CALL_PERIOD_S = 3.2  # calls may be in flight
SHUTDOWN_PERIOD_S = 3.4  # then the process exits, even if work is left
QUIESCED_ACCEPT_PERIOD_S = 2.0  # new messages are accepted this long after quiesce, then they are rejected
CLOSE_INTERVAL_S = 0.02  # between passes that close idle connections and check whether the process is done
log = logging.getLogger(__name__)


class Lifecycle:
    """The state of this process, and its transitions: quiesce, resume, shutdown, drain and exit."""

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        events: EventQueue,
        journal: Journal,
        clients: ClientServer,
        calls: EndpointCallClient,
        submissions: Submissions,
    ) -> None:
        self.serving = False  # this process owns the journal and accepts clients
        self.handed_over = False  # another process serves
        self.closed: asyncio.Future[None] = loop.create_future()  # completed when the process is to exit
        # After a handover: returns whether every outcome has been reported to the new process.
        self.reports_sent: Callable[[], bool] = lambda: True
        self.run_tick: Callable[[], None] = lambda: None
        self._loop = loop
        self._events = events
        self._journal = journal
        self._clients = clients
        self._calls = calls
        self._submissions = submissions
        self._shutting_down = False
        self._quiesced_at_s: float | None = None
        self._close_timer: asyncio.TimerHandle | None = None

    def unready_reason(self) -> str:
        """Return why clients must not be directed to this process, empty if it is ready for them."""
        if self._events.paused:
            return "handed over" if self.handed_over else "handing over"
        if self._shutting_down:
            return "ending"
        if self._quiesced_at_s is not None:
            return "quiesced"
        return "" if self.serving else "starting"

    def handover_blocked_reason(self) -> str:
        """Return why this process may not hand over to another one, empty if it may."""
        if self._shutting_down:
            return "ending"
        return "" if self.serving else "starting"

    def require_serving(self) -> None:
        """Raise CommandRejectedError unless this process serves; commands then belong to another process."""
        if self._events.paused or not self.serving:
            raise CommandRejectedError(self.unready_reason())

    # Quiescing

    def quiesce(self) -> None:
        """Report the process as unready and close idle client connections after ACCEPT_PERIOD_S.

        Clients that connect later are still accepted; their messages are rejected once
        QUIESCED_ACCEPT_PERIOD_S has passed. Does nothing if the process is quiesced or shutting down already.
        Raises CommandRejectedError if the process does not serve.
        """
        self.require_serving()
        if self._shutting_down or self._quiesced_at_s is not None:
            return
        log.info("quiesced")
        self._quiesced_at_s = self._loop.time()
        self._close_timer = self._loop.call_later(ACCEPT_PERIOD_S, self._close_connections)

    def resume(self) -> None:
        """Undo quiesce(). Raises CommandRejectedError if the process does not serve or is shutting down."""
        self.require_serving()
        if self._shutting_down:
            raise CommandRejectedError("ending")
        if self._quiesced_at_s is not None:
            log.info("resumed")
        self._quiesced_at_s = None
        self._cancel_close_timer()

    def quiesced_accept_period_over(self) -> bool:
        """Return whether the process was quiesced more than QUIESCED_ACCEPT_PERIOD_S ago."""
        if self._quiesced_at_s is None:
            return False
        return self._loop.time() > self._quiesced_at_s + QUIESCED_ACCEPT_PERIOD_S

    def _close_connections(self) -> None:
        """Close idle connections now and at each CLOSE_INTERVAL_S; exit if a shutdown is complete."""
        self._clients.close_idle_connections()
        self._close_timer = self._loop.call_later(CLOSE_INTERVAL_S, self._close_connections)
        self.exit_if_done()

    def _cancel_close_timer(self) -> None:
        if self._close_timer is not None:
            self._close_timer.cancel()

    # Shutdown

    def shut_down(self) -> None:
        """Shut down gracefully within SHUTDOWN_PERIOD_S.

        Clients that connect during ACCEPT_PERIOD_S are still served. Messages without a final answer stay in
        the journal, from which the next process restores them. Does nothing if a shutdown has begun already.
        """
        if self._shutting_down:
            return
        if self._events.paused and not self.handed_over:  # a handover is in progress: wait for its end
            self._loop.call_later(CLOSE_INTERVAL_S, self.shut_down)
            return
        self._shutting_down = True
        self._cancel_close_timer()
        self._loop.call_later(SHUTDOWN_PERIOD_S, self._exit)
        if self.handed_over:
            return  # drain_after_handover() exits after the last call
        if not self.serving:
            self._exit()  # this process has no clients and no messages yet
            return
        self._events.add(ShutdownScheduled(clock.monotonic_us() + int(CALL_PERIOD_S * 1e6)))
        self._loop.call_later(ACCEPT_PERIOD_S, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._clients.accept_pending()
        self._clients.stop_listening()
        self._close_connections()

    def exit_if_done(self) -> None:
        """Exit if a shutdown has begun and neither messages, calls nor clients are left."""
        # Messages without a call count too: they may be sent while a call can still end within CALL_PERIOD_S.
        work_left = (
            self._calls.in_flight or self._journal.messages or self._events or self._submissions.pending
        )
        clients_left = self._clients.connections or self._clients.listening
        if self._shutting_down and not work_left and not clients_left:
            self._exit()

    def drain_after_handover(self) -> None:
        """Finish the calls that are in flight after a handover, then exit.

        Idle client connections are closed at each CLOSE_INTERVAL_S. The process exits once no call and no
        connection is left and all outcomes have been reported to the new process.
        """
        for connection in list(self._clients.connections):
            connection.close_when_idle()
        if self._calls.in_flight or self._clients.connections or not self.reports_sent():
            self._loop.call_later(CLOSE_INTERVAL_S, self.drain_after_handover)
        else:
            self._exit()

    def _exit(self) -> None:
        """Answer the complete requests that have arrived, then complete ``closed``."""
        if self.closed.done():
            return
        self._clients.read_pending()
        if self._submissions.pending:  # a complete request is answered before its connection is closed
            self.run_tick()
        self._clients.wait_for_acknowledgements()
        self.closed.set_result(None)

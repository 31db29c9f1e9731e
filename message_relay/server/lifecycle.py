"""The life of the process: it starts, serves, is quiesced and resumed, hands over or shuts down."""

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

# A graceful shutdown, in seconds from SIGTERM: new clients are accepted until the first, calls may last until
# the second, and the process ends at the third: SIGKILL follows 3.7 s after SIGTERM.
ACCEPT_CLIENTS_S, FINISH_CALLS_S, EXIT_S = 0.5, 3.2, 3.4
# Quiesced: clients that still come are served for so long, and rejected from then on.
QUIESCED_ACCEPT_S = 2.0
CLOSE_INTERVAL_S = 0.02  # between two passes over connections that can be closed
log = logging.getLogger(__name__)


class Lifecycle:
    """Whether this process serves, and its orderly end."""

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
        self.closed: asyncio.Future[None] = loop.create_future()
        self.reports_sent: Callable[[], bool] = lambda: True  # whether the new process knows all outcomes
        self.run_tick: Callable[[], None] = lambda: None
        self._loop = loop
        self._events = events
        self._journal = journal
        self._clients = clients
        self._calls = calls
        self._submissions = submissions
        self._shutting_down = False
        self._quiesced_at_s: float | None = None
        self._closing_connections: asyncio.TimerHandle | None = None

    @property
    def shutting_down(self) -> bool:
        """Whether the process has been told to end."""
        return self._shutting_down

    def unready_reason(self) -> str:
        """Why this process is not to be sent clients, empty if it is."""
        if self._events.paused:
            return "handed over" if self.handed_over else "handing over"
        if self._shutting_down:
            return "ending"
        if self._quiesced_at_s is not None:
            return "quiesced"
        return "" if self.serving else "starting"

    def handover_blocked_reason(self) -> str:
        """Why this process may not hand over, empty if it may."""
        if self._shutting_down:
            return "ending"
        return "" if self.serving else "starting"

    def require_serving(self) -> None:
        """CommandRejectedError if operators' commands are for another process."""
        if self._events.paused or not self.serving:
            raise CommandRejectedError(self.unready_reason())

    # Quiescing

    def quiesce(self) -> None:
        """Send clients away: no more are asked for, those that still come are served for a while."""
        self.require_serving()
        if self._shutting_down or self._quiesced_at_s is not None:
            return
        log.info("quiesced")
        self._quiesced_at_s = self._loop.time()
        self._closing_connections = self._loop.call_later(ACCEPT_CLIENTS_S, self._close_connections)

    def resume(self) -> None:
        """The end of quiescing."""
        self.require_serving()
        if self._shutting_down:
            raise CommandRejectedError("ending")
        if self._quiesced_at_s is not None:
            log.info("resumed")
        self._quiesced_at_s = None
        self._stop_closing_connections()

    def rejects_clients(self) -> bool:
        """Whether the process has been quiesced for so long that nothing new is accepted."""
        if self._quiesced_at_s is None:
            return False
        return self._loop.time() > self._quiesced_at_s + QUIESCED_ACCEPT_S

    def _close_connections(self) -> None:
        """Close connections between requests, again and again while the process is being emptied."""
        self._clients.close_idle_connections()
        self._closing_connections = self._loop.call_later(CLOSE_INTERVAL_S, self._close_connections)
        self.exit_if_done()

    def _stop_closing_connections(self) -> None:
        if self._closing_connections is not None:
            self._closing_connections.cancel()

    # Shutdown

    def shut_down(self) -> None:
        """End gracefully: clients that still come are served, what is not done stays in the journal."""
        if self._shutting_down:
            return
        if self._events.paused and not self.handed_over:  # it is known in a moment which process is to end
            self._loop.call_later(CLOSE_INTERVAL_S, self.shut_down)
            return
        self._shutting_down = True
        self._stop_closing_connections()
        self._loop.call_later(EXIT_S, self._exit)
        if self.handed_over:
            return  # it ends with its last call anyway
        if not self.serving:
            self._exit()  # it owns nothing yet
            return
        self._events.add(ShutdownScheduled(clock.monotonic_us() + int(FINISH_CALLS_S * 1e6)))
        self._loop.call_later(ACCEPT_CLIENTS_S, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._clients.accept_pending()
        self._clients.stop_listening()
        self._close_connections()

    def exit_if_done(self) -> None:
        """In a shutdown, end as soon as nothing is left to do."""
        # What still waits for its turn may be sent until the last call must have begun.
        waiting = self._calls.in_flight or self._journal.messages or self._events or self._submissions.pending
        clients = self._clients.connections or self._clients.listening
        if self._shutting_down and not waiting and not clients:
            self._exit()

    def drain_after_handover(self) -> None:
        """After a handover: end once the calls in flight are over and reported."""
        for connection in list(self._clients.connections):
            connection.close_when_idle()
        if self._calls.in_flight or self._clients.connections or not self.reports_sent():
            self._loop.call_later(CLOSE_INTERVAL_S, self.drain_after_handover)
        else:
            self._exit()

    def _exit(self) -> None:
        if self.closed.done():
            return
        self._clients.read_pending()
        if self._submissions.pending:  # a request that is complete gets its answer before its connection ends
            self.run_tick()
        self.closed.set_result(None)

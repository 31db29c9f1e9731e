"""Export of the server's state by the old process of a hot restart, and import by the new one."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Protocol

from message_relay.model import AttemptResult, EndpointListForm, ShutdownScheduled, StateImported
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy_snapshot import capture
from message_relay.server import clock
from message_relay.server.attempt_runner import AttemptRunner
from message_relay.server.discovery.endpoint_watch import EndpointListChange, EndpointWatch
from message_relay.server.discovery.final_notifier import FinalNotifier
from message_relay.server.endpoint_calls import AttemptOutcome, CallAttempt, EndpointCallClient
from message_relay.server.endpoint_directory import EndpointDirectory
from message_relay.server.event_queue import EventQueue
from message_relay.server.final_answers import FinalAnswers
from message_relay.server.hot_restart.frames import AttemptEndedReport, LoadReport, Report, RetryAfterReport
from message_relay.server.hot_restart.snapshot import (
    CallInFlight,
    HandoverState,
    RetryAfterWait,
    ServerSnapshot,
    TransferredClient,
)
from message_relay.server.journal import Journal
from message_relay.server.lifecycle import Lifecycle
from message_relay.server.policy_runner import PolicyRunner
from message_relay.server.resp.close_reason import CloseReason
from message_relay.server.resp.connection import ClientConnection
from message_relay.server.resp.server import ClientServer
from message_relay.server.retry_after import RetryAfterScope, RetryAfterTable

UNKNOWN_ENDPOINT = -1
log = logging.getLogger(__name__)


class ServerParts(Protocol):
    """The parts of a server whose state a hot restart reads or changes."""

    policy: DeliveryPolicy
    journal: Journal
    events: EventQueue
    policy_runner: PolicyRunner
    clients: ClientServer
    calls: EndpointCallClient
    attempts: AttemptRunner
    answers: FinalAnswers
    directory: EndpointDirectory
    retry_after: RetryAfterTable
    watch: EndpointWatch
    notifier: FinalNotifier
    lifecycle: Lifecycle

    def apply_list(self, change: EndpointListChange, form: EndpointListForm) -> None:
        """Apply an endpoint list or a change of it."""


class ReportingObserver:
    """Observes the calls in flight during a handover: reports their outcomes, permits no further attempt.

    The same outcomes are stored in `deferred_actions`, which are run if this process serves on.
    """

    def __init__(self, attempts: AttemptRunner, report: Callable[[Report], None]) -> None:
        self.deferred_actions: list[Callable[[], None]] = []
        self._attempts = attempts
        self._report = report

    def may_write(self, endpoint: int) -> bool:
        """Return False: no further call is written."""
        return False

    def call_written(self, message_count: int) -> None:
        """Count a call whose last byte was written after the handover began."""
        self._attempts.call_written(message_count)

    def record_starting_attempts(self, attempts: list[CallAttempt]) -> bool:
        """Return False: no further attempt is started."""
        return False

    def attempt_ended(
        self, attempt: CallAttempt, endpoint: int, outcome: AttemptOutcome, latency_us: int
    ) -> None:
        """Report the outcome of an attempt to the new process."""
        self.deferred_actions.append(
            lambda: self._attempts.attempt_ended(attempt, endpoint, outcome, latency_us)
        )
        self._report(
            AttemptEndedReport(
                attempt.message_number,
                attempt.attempt,
                endpoint,
                attempt.started,
                attempt.on_new_connection,
                latency_us,
                outcome,
            )
        )

    def retry_after_received(self, endpoint: int, retry_after_us: int) -> None:
        """Report a Retry-After to the new process."""
        self.deferred_actions.append(lambda: self._attempts.retry_after_received(endpoint, retry_after_us))
        self._report(RetryAfterReport(endpoint, retry_after_us))

    def load_report_received(self, endpoint: int, values: dict[str, float]) -> None:
        """Pass a load report on to the new process."""
        self.deferred_actions.append(lambda: self._attempts.load_report_received(endpoint, values))
        self._report(LoadReport(endpoint, values))

    def health_check_ended(self, endpoint: int, result: AttemptResult, latency_us: int) -> None:
        """Ignore the result: health checks are not handed over."""


class StateTransfer:
    """Exports and imports the server's state in a hot restart.

    Implements HandoverSource for the old process, and the part of HandoverTarget that receives reports.
    """

    def __init__(self, server: ServerParts) -> None:
        self.journal = server.journal
        self._server = server
        self._observer: ReportingObserver | None = None
        self._transferred_connections: list[ClientConnection] = []  # sent to the new process
        # In the new process: the attempts that the old one has in flight, as (message number, attempt), with
        # their endpoints, and this process's endpoint numbers by those of the old one.
        self._endpoints_by_attempt: dict[tuple[int, int], int] = {}
        self._endpoint_numbers: dict[int, int] = {}

    # As the old process

    def handover_blocked_reason(self) -> str:
        """Return the reason that blocks a handover, empty if there is none."""
        return self._server.lifecycle.handover_blocked_reason()

    def export_state(self, report: Callable[[Report], None]) -> HandoverState:
        """Stop serving, release the journal lock and return the state.

        From then on, this process accepts no connection, reads no request, starts no attempt and writes no
        record. The outcomes of calls in flight are passed to `report`.
        """
        server = self._server
        server.clients.pause()
        # Requests that were read are answered, but the policy starts no further attempt.
        server.events.add_without_tick(ShutdownScheduled(clock.monotonic_us()))
        server.policy_runner.run()
        server.calls.abandon_unstarted()
        server.policy_runner.run()
        server.events.paused = True
        self._observer = ReportingObserver(server.attempts, report)
        server.calls.observer = self._observer
        connections = server.clients.connections
        self._transferred_connections = [connection for connection in connections if connection.transferable]
        listener = server.clients.listening_socket
        handover = HandoverState(
            self._snapshot(),
            listener.fileno() if listener is not None else None,
            [
                TransferredClient(connection.sock.fileno(), connection.export_state())
                for connection in self._transferred_connections
            ],
        )
        server.journal.close()
        return handover

    def _snapshot(self) -> ServerSnapshot:
        server = self._server
        policy, uids = capture(server.policy.state), server.directory.uids
        return ServerSnapshot(
            policy=policy,
            list_revision=server.watch.revision,
            targets=list(server.directory.targets.values()),
            endpoint_uids={number: uids.get(number, "") for number in server.policy.state.endpoints},
            waits=[RetryAfterWait(scope, until_us) for scope, until_us in server.retry_after.export_waits()],
            calls=[CallInFlight(call.endpoint, call.attempts) for call in policy.calls],
        )

    def defer_notice_records(self, numbers: list[int]) -> bool:
        """During a handover, defer the record that discovery accepted these final answers.

        It is then written only if this process serves on. Returns whether the record is deferred.
        """
        if not self._server.events.paused:
            return False
        if self._observer is not None:
            self._observer.deferred_actions.append(
                lambda: self._server.answers.record_notices_accepted(numbers)
            )
        return True

    def resume_serving(self) -> None:
        """Serve on after a handover that failed; this process holds the journal lock again.

        Outcomes that arrived since the export are processed now.
        """
        server = self._server
        server.events.paused = False
        server.calls.observer = server.attempts
        if self._observer is not None:
            for action in self._observer.deferred_actions:
                action()
        server.clients.resume()
        server.events.add(ShutdownScheduled(math.inf))

    def finish_handover(self) -> None:
        """Drain after the new process became the owner: finish the calls in flight, then exit."""
        server = self._server
        server.lifecycle.handed_over, server.lifecycle.serving = True, False
        if self._observer is not None:
            self._observer.deferred_actions.clear()
        server.answers.cancel_all_deadline_timers()
        server.journal.drop_messages()
        server.watch.stop()
        server.notifier.stop()
        server.clients.stop_listening()
        for connection in self._transferred_connections:
            connection.close(CloseReason.HANDED_OVER)
        for connection in list(server.clients.connections):
            if connection.reader.discarding:
                connection.refuse_unfinished_request()
        server.lifecycle.drain_after_handover()

    # As the new process

    def import_state(self, state: ServerSnapshot) -> frozenset[int]:
        """Import the old process's state and return the numbers of the messages that it includes.

        Messages of the journal that are not included have to be restored by the caller.
        """
        server = self._server
        if state.list_revision > server.watch.revision:  # the old process has a newer list
            server.watch.revision = state.list_revision
            change = EndpointListChange(state.list_revision, True, state.targets)
            server.apply_list(change, EndpointListForm.COMPLETE)
        self._map_endpoints(state.endpoint_uids)
        for wait in state.waits:
            endpoint = self._endpoint_numbers.get(wait.scope.endpoint, wait.scope.endpoint)
            server.retry_after.import_wait(RetryAfterScope(wait.scope.destination, endpoint), wait.until_us)
        for number, attempts in state.policy.attempts.items():
            if number in server.journal.messages:
                server.attempts.next_attempts[number] = attempts
        for call in state.calls:
            for attempt in call.attempts:
                self._endpoints_by_attempt[attempt] = self._endpoint_numbers[call.endpoint]
        server.events.add_without_tick(StateImported(state.policy, self._endpoint_numbers))
        return frozenset(state.policy.attempts)

    def _map_endpoints(self, uids: dict[int, str]) -> None:
        directory = self._server.directory
        for number, uid in uids.items():
            if uid in directory.numbers:
                self._endpoint_numbers[number] = directory.numbers[uid]
            else:  # not in the current list, but a call to it may still be in flight
                self._endpoint_numbers[number] = directory.reserve_number()

    def report_received(self, report: Report) -> None:
        """Process a report about a call that the old process has in flight."""
        attempts = self._server.attempts
        if isinstance(report, AttemptEndedReport):
            self._attempt_ended(report)
            return
        endpoint = self._endpoint_numbers.get(report.endpoint, UNKNOWN_ENDPOINT)
        if isinstance(report, RetryAfterReport):
            attempts.retry_after_received(endpoint, report.retry_after_us)
        else:
            attempts.load_report_received(endpoint, report.values)

    def reports_ended(self) -> None:
        """Treat attempts without a report as possibly applied, because the old process disconnected.

        Each ends as cancelled after its start.
        """
        if self._endpoints_by_attempt:
            log.warning(
                "hot restart: attempts without reported outcome possibly applied, count=%d",
                len(self._endpoints_by_attempt),
            )
        for number, attempt in list(self._endpoints_by_attempt):
            outcome = AttemptOutcome(AttemptResult.CANCELLED)
            self._attempt_ended(AttemptEndedReport(number, attempt, 0, True, False, 0, outcome))

    def _attempt_ended(self, report: AttemptEndedReport) -> None:
        endpoint = self._endpoints_by_attempt.pop((report.message_number, report.attempt), None)
        if endpoint is None:
            return
        attempt = CallAttempt(
            report.message_number,
            report.attempt,
            message_id="",
            idempotency_key="",
            body=b"",
            timeout_us=0,
            on_new_connection=report.on_new_connection,
            started=report.started,
            ended=True,
        )
        self._server.attempts.attempt_ended(attempt, endpoint, report.outcome, report.latency_us)

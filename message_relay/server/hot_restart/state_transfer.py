"""The server's state in a hot restart: exported by the old process, imported by the new one."""

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
from message_relay.server.resp.connection import ClientConnection
from message_relay.server.resp.server import ClientServer
from message_relay.server.retry_after import RetryAfterScope, RetryAfterTable

UNKNOWN_ENDPOINT = -1
log = logging.getLogger(__name__)


class ServerParts(Protocol):
    """The parts of a server that a hot restart concerns."""

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
        """Take over an endpoint list."""


class ReportingObserver:
    """Observes the calls of a process that hands over: reports outcomes, begins nothing.

    What it reports is kept in ``deferred``, in case the new process never owns.
    """

    def __init__(self, attempts: AttemptRunner, report: Callable[[Report], None]) -> None:
        self.deferred: list[Callable[[], None]] = []
        self._attempts = attempts
        self._report = report

    def may_write(self, endpoint: int) -> bool:
        """Nothing more is written."""
        return False

    def call_written(self, message_count: int) -> None:
        """Count a call that was being written."""
        self._attempts.call_written(message_count)

    def attempts_starting(self, attempts: list[CallAttempt]) -> bool:
        """Nothing more is started."""
        return False

    def attempt_ended(
        self, attempt: CallAttempt, endpoint: int, outcome: AttemptOutcome, latency_us: int
    ) -> None:
        """Report the outcome."""
        self.deferred.append(lambda: self._attempts.attempt_ended(attempt, endpoint, outcome, latency_us))
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

    def retry_after_received(self, endpoint: int, wait_us: int) -> None:
        """Report a Retry-After."""
        self.deferred.append(lambda: self._attempts.retry_after_received(endpoint, wait_us))
        self._report(RetryAfterReport(endpoint, wait_us))

    def load_report_received(self, endpoint: int, values: dict[str, float]) -> None:
        """Report a load report."""
        self.deferred.append(lambda: self._attempts.load_report_received(endpoint, values))
        self._report(LoadReport(endpoint, values))

    def health_check_ended(self, endpoint: int, result: AttemptResult, latency_us: int) -> None:
        """Health checks are not handed over."""


class StateTransfer:
    """Both sides of a hot restart, as far as they concern the server's state.

    See HandoverSource and HandoverTarget.
    """

    def __init__(self, server: ServerParts) -> None:
        self.journal = server.journal
        self._server = server
        self._observer: ReportingObserver | None = None
        self._moving: list[ClientConnection] = []  # connections that go to the new process
        # Of the new process: the old one's calls in flight, as (message number, attempt), and its endpoints.
        self._imported_calls: dict[tuple[int, int], int] = {}
        self._endpoint_numbers: dict[int, int] = {}

    # As the old process

    def handover_blocked_reason(self) -> str:
        """Why this process may not hand over, empty if it may."""
        return self._server.lifecycle.handover_blocked_reason()

    def export_state(self, report: Callable[[Report], None]) -> HandoverState:
        """Stop serving: nothing is accepted, read, begun or recorded from here on.

        Outcomes of calls in flight are reported. The journal's lock is free afterwards.
        """
        server = self._server
        server.clients.pause()
        # What has come in is answered, but no call begins.
        server.events.add_without_tick(ShutdownScheduled(clock.monotonic_us()))
        server.policy_runner.run()
        server.calls.abandon_unstarted()
        server.policy_runner.run()
        server.events.paused = True
        self._observer = ReportingObserver(server.attempts, report)
        server.calls.observer = self._observer
        connections = server.clients.connections
        self._moving = [connection for connection in connections if connection.transferable]
        listener = server.clients.listening_socket
        handed_over = HandoverState(
            self._snapshot(),
            listener.fileno() if listener is not None else None,
            [
                TransferredClient(connection.sock.fileno(), connection.export_state())
                for connection in self._moving
            ],
        )
        server.journal.close()
        return handed_over

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

    def defer_finals(self, numbers: list[int]) -> bool:
        """While it is open which process owns, notices are recorded by this one only if it goes on."""
        if not self._server.events.paused:
            return False
        if self._observer is not None:
            self._observer.deferred.append(lambda: self._server.answers.record_notified(numbers))
        return True

    def resume_serving(self) -> None:
        """The new process has gone without owning: go on."""
        server = self._server
        server.events.paused = False
        server.calls.observer = server.attempts
        if self._observer is not None:
            for action in self._observer.deferred:
                action()
        server.clients.resume()
        server.events.add(ShutdownScheduled(math.inf))

    def finish_handover(self) -> None:
        """The new process owns: only the calls in flight are finished here."""
        server = self._server
        server.lifecycle.handed_over, server.lifecycle.serving = True, False
        if self._observer is not None:
            self._observer.deferred.clear()
        server.answers.stop_all_deadlines()
        server.journal.drop_messages()
        server.watch.stop()
        server.notifier.stop()
        server.clients.stop_listening()
        for connection in self._moving:
            connection.close()
        server.lifecycle.drain_after_handover()

    # As the new process

    def import_state(self, state: ServerSnapshot) -> frozenset[int]:
        """Go on with what the old process knew. Returns the numbers of the messages that it tells of."""
        server = self._server
        if state.list_revision > server.watch.revision:  # its list is the newer one
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
                self._imported_calls[attempt] = self._endpoint_numbers[call.endpoint]
        server.events.add_without_tick(StateImported(state.policy, self._endpoint_numbers))
        return frozenset(state.policy.attempts)

    def _map_endpoints(self, uids: dict[int, str]) -> None:
        directory = self._server.directory
        for number, uid in uids.items():
            if uid in directory.numbers:
                self._endpoint_numbers[number] = directory.numbers[uid]
            else:  # listed no more: a call may still be in flight there
                self._endpoint_numbers[number] = directory.reserve_number()

    def report_received(self, report: Report) -> None:
        """What has come of a call of the old process."""
        attempts = self._server.attempts
        if isinstance(report, AttemptEndedReport):
            self._attempt_ended(report)
            return
        endpoint = self._endpoint_numbers.get(report.endpoint, UNKNOWN_ENDPOINT)
        if isinstance(report, RetryAfterReport):
            attempts.retry_after_received(endpoint, report.wait_us)
        else:
            attempts.load_report_received(endpoint, report.values)

    def reports_ended(self) -> None:
        """The old process has gone: the attempts that it has not reported may have been applied."""
        if self._imported_calls:
            log.warning("attempts of the old process possibly applied: count=%d", len(self._imported_calls))
        for number, attempt in list(self._imported_calls):
            outcome = AttemptOutcome(AttemptResult.CANCELLED)
            self._attempt_ended(AttemptEndedReport(number, attempt, 0, True, False, 0, outcome))

    def _attempt_ended(self, report: AttemptEndedReport) -> None:
        endpoint = self._imported_calls.pop((report.message_number, report.attempt), None)
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

"""Attempts: the policy's sends become calls, and the outcomes of calls become events."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    EndpointState,
    HealthCheckEnded,
    Idempotency,
    LoadReportReceived,
    SendAttempt,
    Settings,
)
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.server import clock
from message_relay.server.endpoint_calls import AttemptOutcome, CallAttempt, EndpointCallClient
from message_relay.server.endpoint_directory import EndpointDirectory
from message_relay.server.event_queue import EventQueue
from message_relay.server.final_answers import FinalAnswers, record_best_effort
from message_relay.server.journal import Journal
from message_relay.server.metrics import Metrics
from message_relay.server.retry_after import RetryAfterTable

NOT_APPLIED = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_ATTEMPTED)
DEADLINE_MARGIN_TICKS = 2  # a batch member's time-out ends so many ticks before its deadline
log = logging.getLogger(__name__)


class AttemptRunner:
    """Sends attempts and observes their calls (see CallObserver)."""

    def __init__(
        self,
        *,
        settings: Settings,
        policy: DeliveryPolicy,
        journal: Journal,
        events: EventQueue,
        answers: FinalAnswers,
        metrics: Metrics,
        retry_after: RetryAfterTable,
    ) -> None:
        self.calls: EndpointCallClient
        self.directory: EndpointDirectory
        self.next_attempts: dict[int, int] = {}  # numbers of the next attempts, as the policy counts
        self.on_idle: Callable[[], None] = lambda: None  # after each outcome: this may have been the last
        self._settings = settings
        self._policy = policy
        self._journal = journal
        self._events = events
        self._answers = answers
        self._metrics = metrics
        self._retry_after = retry_after

    # Sending

    def send(self, action: SendAttempt, batches: dict[int, list[CallAttempt]]) -> None:
        """Start an attempt. Attempts of endpoints that take batches are gathered in ``batches``."""
        message = self._journal.messages.get(action.message)
        attempt = self.next_attempts.get(action.message, message.attempts if message else 0)
        self.next_attempts[action.message] = attempt + 1
        if message is None or message.final_status:
            result, ended = AttemptResult.NOT_ATTEMPTED, message is None
            self._events.add(AttemptEnded(action.message, attempt, action.endpoint, result, 0, ended))
            return
        call_attempt = CallAttempt(
            message.number,
            attempt,
            message.id,
            message.idempotency_key,
            message.body,
            action.timeout_us,
            action.new_connection_timeout_us,
            action.require_new_connection,
            self.directory.zone(action.endpoint),
        )
        if self.directory.batch_size(action.endpoint) > 1:
            batches.setdefault(action.endpoint, []).append(call_attempt)
        else:
            self._call(action.endpoint, [call_attempt])

    def send_batches(self, batches: dict[int, list[CallAttempt]]) -> None:
        """Start the calls that were gathered in a tick."""
        for endpoint, attempts in batches.items():
            size = self.directory.batch_size(endpoint)
            for start in range(0, len(attempts), size):
                self._call(endpoint, attempts[start : start + size])

    def _call(self, endpoint: int, attempts: list[CallAttempt]) -> None:
        attempts = self._lead_with_longest(attempts)
        try:
            self.calls.send(endpoint, attempts)
        except Exception:  # its slots and messages must not hang on it
            log.exception("call failed: endpoint=%d", endpoint)
            for attempt in attempts:
                if not attempt.ended:
                    attempt.ended = True
                    result = AttemptResult.RESET if attempt.started else AttemptResult.NOT_ATTEMPTED
                    self.attempt_ended(attempt, endpoint, AttemptOutcome(result), 0)

    def _lead_with_longest(self, attempts: list[CallAttempt]) -> list[CallAttempt]:
        """A batch is one call, waited for as long as its first message may wait: led by one whose time is up
        sooner, it would count as given up while the others are still waited for.
        """
        messages, deadline_margin_us = (
            self._journal.messages,
            DEADLINE_MARGIN_TICKS * self._settings.tick_interval_us,
        )
        attempts = sorted(attempts, key=lambda attempt: -messages[attempt.message_number].deadline_s)
        longest_us = max(attempt.timeout_us for attempt in attempts)
        longest_new_us = max(attempt.new_connection_timeout_us for attempt in attempts)
        for attempt in attempts:
            deadline_us = clock.monotonic_at_us(messages[attempt.message_number].deadline_s)
            left_us = deadline_us - clock.monotonic_us() - deadline_margin_us
            attempt.timeout_us = max(attempt.timeout_us, min(longest_us, left_us))
            new_us = max(attempt.new_connection_timeout_us, min(longest_new_us, left_us))
            attempt.new_connection_timeout_us = new_us
        return attempts

    def cancel(self, message_number: int, attempt: int) -> None:
        """Stop waiting for an attempt."""
        self.calls.cancel(message_number, attempt)

    # What the calls ask and report (CallObserver)

    def may_write(self, endpoint: int) -> bool:
        """What came while a connection was being made holds for the call that waits for it."""
        entry = self.directory.entries.get(endpoint)
        if entry is None or entry.state is not EndpointState.READY:
            return False
        cordoned = self.directory.uids.get(endpoint) in self._journal.cordoned
        return not cordoned and self._retry_after.is_over(entry)

    def call_written(self, message_count: int) -> None:
        """A call was written to its last byte."""
        self._metrics.record_attempts_written(message_count)

    def attempts_starting(self, attempts: list[CallAttempt]) -> bool:
        """Record the attempts just before they are written; False if they must not be."""
        numbers = [attempt.message_number for attempt in attempts]
        if any(number not in self._journal.messages or self._repeats_too_late(number) for number in numbers):
            return False
        try:
            self._journal.record_attempt(numbers, time.time(), attempts[0].zone)
        except OSError as error:
            log.error("journal: attempt not recorded, error=%s", error)
            return False
        return True

    def _repeats_too_late(self, number: int) -> bool:
        """Its connection came up so late that its key may not be recognized any more."""
        message = self._journal.messages[number]
        message_class = self._settings.classes[message.message_class]
        keyed = message_class.idempotency is Idempotency.KEYED
        applied_at_s = message.possibly_applied_at_s if keyed else 0.0
        window_s = (message_class.key_window_us - self._policy.state.deadline_margin_us) / 1e6
        return bool(applied_at_s) and time.time() >= applied_at_s + window_s

    def attempt_ended(
        self, attempt: CallAttempt, endpoint: int, outcome: AttemptOutcome, latency_us: int
    ) -> None:
        """Record what the outcome proves and pass it to the policy."""
        number = attempt.message_number
        message = self._journal.messages.get(number)
        message_ended = outcome.message_ended or message is None
        if message and not message.final_status and outcome.result is AttemptResult.OK:
            self._metrics.record_delivered(message.message_class)
        if outcome.message_ended and message:
            record_best_effort(self._journal.record_completed, [number])
            self._answers.stop_deadline(number)
        elif message and attempt.started and outcome.result in NOT_APPLIED:
            record_best_effort(self._record_not_applied, [number])
        if message_ended:
            self.next_attempts.pop(number, None)
        self._events.add(
            AttemptEnded(
                message=number,
                attempt=attempt.attempt,
                endpoint=endpoint,
                result=outcome.result,
                latency_us=max(1, latency_us),
                message_ended=message_ended,
                retry_after_us=outcome.retry_after_us,
                new_connection=attempt.on_new_connection if attempt.started else None,
                malformed=outcome.malformed,
            )
        )
        self.on_idle()

    def _record_not_applied(self, numbers: list[int]) -> None:
        for number in numbers:
            self._journal.record_not_applied(number)

    def retry_after_received(self, endpoint: int, wait_us: int) -> None:
        """Heed a Retry-After at once, before any outcome."""
        entry = self.directory.entries.get(endpoint)
        if entry is not None:  # one that was removed: the policy heeds it for the destination
            self._retry_after.record(entry, wait_us)

    def load_report_received(self, endpoint: int, values: dict[str, float]) -> None:
        """Pass a load report on if it is complete."""
        fields = self._settings.load_report_fields
        if all(field in values for field in fields):
            self._events.add(LoadReportReceived(endpoint, tuple(values[field] for field in fields)))

    def health_check_ended(self, endpoint: int, result: AttemptResult, latency_us: int) -> None:
        """Pass on how a health check ended."""
        self._events.add(HealthCheckEnded(endpoint, result, latency_us))

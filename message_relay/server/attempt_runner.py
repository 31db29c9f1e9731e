"""Attempts: calls are started for the policy's SendAttempt actions, and their outcomes become events."""

from __future__ import annotations

import logging
from collections.abc import Callable

from message_relay.model import (
    RESULTS_NOT_APPLIED,
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
from message_relay.server.log_output import LogThrottle
from message_relay.server.metrics import Metrics
from message_relay.server.retry_after import RetryAfterTable

BATCH_DEADLINE_MARGIN_TICKS = 2  # between the extended time-out of a batched message and its deadline
log = logging.getLogger(__name__)


class AttemptRunner:
    """Starts attempts and observes their calls (see CallObserver)."""

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
        # The number of each message's next attempt, counted as in the policy, by message number.
        self.next_attempts: dict[int, int] = {}
        self.on_attempt_ended: Callable[[], None] = lambda: None  # called after each outcome
        self._settings = settings
        self._policy = policy
        self._journal = journal
        self._events = events
        self._answers = answers
        self._metrics = metrics
        self._retry_after = retry_after
        self._log_throttle = LogThrottle()

    # Sending

    def send(self, action: SendAttempt, batches: dict[int, list[CallAttempt]]) -> None:
        """Start an attempt, or add it to ``batches`` if its endpoint accepts several messages in a call.

        The attempt of a message that has ended is reported as NOT_ATTEMPTED instead.
        """
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
            self._start_call(action.endpoint, [call_attempt])

    def send_batches(self, batches: dict[int, list[CallAttempt]]) -> None:
        """Start calls for the attempts that were collected in a tick, at most a batch of messages in each."""
        for endpoint, attempts in batches.items():
            batch_size_limit = self.directory.batch_size(endpoint)
            for start in range(0, len(attempts), batch_size_limit):
                self._start_call(endpoint, attempts[start : start + batch_size_limit])

    def _start_call(self, endpoint: int, attempts: list[CallAttempt]) -> None:
        attempts = self._prepare_batch(attempts)
        try:
            self.calls.send(endpoint, attempts)
        except Exception:  # without outcomes, its slot would stay in use and its messages in flight
            log.exception("starting a call failed: endpoint=%d", endpoint)
            for attempt in attempts:
                if not attempt.ended:
                    attempt.ended = True
                    result = AttemptResult.RESET if attempt.started else AttemptResult.NOT_ATTEMPTED
                    self.attempt_ended(attempt, endpoint, AttemptOutcome(result), 0)

    def _prepare_batch(self, attempts: list[CallAttempt]) -> list[CallAttempt]:
        """Return the attempts of one call, the latest deadline first, with their time-outs extended.

        Each time-out is extended to the longest one, but not beyond its message's deadline less a margin. The
        latest deadline comes first, since the receiving side regards a batch as ended with the deadline of
        its first message: in an incident the oldest message was first, and a complete response that arrived
        0.01 to 0.4 s after its deadline, with all messages as done, counted for none of them.
        """
        messages, batch_margin_us = (
            self._journal.messages,
            BATCH_DEADLINE_MARGIN_TICKS * self._settings.tick_interval_us,
        )
        attempts = sorted(attempts, key=lambda attempt: -messages[attempt.message_number].deadline_s)
        longest_timeout_us = max(attempt.timeout_us for attempt in attempts)
        longest_new_connection_timeout_us = max(attempt.new_connection_timeout_us for attempt in attempts)
        for attempt in attempts:
            deadline_us = clock.monotonic_at_us(messages[attempt.message_number].deadline_s)
            remaining_us = deadline_us - clock.monotonic_us() - batch_margin_us
            attempt.timeout_us = max(attempt.timeout_us, min(longest_timeout_us, remaining_us))
            new_connection_us = max(
                attempt.new_connection_timeout_us, min(longest_new_connection_timeout_us, remaining_us)
            )
            attempt.new_connection_timeout_us = new_connection_us
        return attempts

    def cancel(self, message_number: int, attempt: int) -> None:
        """Stop waiting for the response to an attempt."""
        self.calls.cancel(message_number, attempt)

    # Callbacks of the calls (CallObserver)

    def may_write(self, endpoint: int) -> bool:
        """Return whether a call may be written: the endpoint is ready, not cordoned and has no Retry-After.

        This may have changed since the policy chose the endpoint, while the connection was established.
        """
        entry = self.directory.entries.get(endpoint)
        if entry is None or entry.state is not EndpointState.READY:
            return False
        cordoned = self.directory.uids.get(endpoint) in self._journal.cordoned
        return not cordoned and self._retry_after.has_expired(entry)

    def call_written(self, message_count: int) -> None:
        """Count the messages of a call that was written completely."""
        self._metrics.record_attempts_written(message_count)

    def record_starting_attempts(self, attempts: list[CallAttempt]) -> bool:
        """Record the attempts just before they are written; return False if they must not be written.

        That is the case if a message is completed, if the window of its idempotency key has passed, or if the
        journal cannot record the attempts.
        """
        numbers = [attempt.message_number for attempt in attempts]
        if any(
            number not in self._journal.messages or self._key_window_expired(number) for number in numbers
        ):
            return False
        try:
            self._journal.record_attempt(numbers, clock.now_s(), attempts[0].zone)
        except OSError as error:
            log.error("attempts not recorded in the journal: messages=%d error=%s", len(numbers), error)
            return False
        return True

    def _key_window_expired(self, number: int) -> bool:
        """Return whether the key window of a possibly applied attempt has passed, less the deadline margin.

        The destination may not recognize the key after that and could apply a retry a second time. This is
        checked when the retry is about to be written, as its connection may have been established late.
        """
        message = self._journal.messages[number]
        message_class = self._settings.classes[message.message_class]
        keyed = message_class.idempotency is Idempotency.KEYED
        applied_at_s = message.possibly_applied_at_s if keyed else 0.0
        window_s = (message_class.key_window_us - self._policy.state.deadline_margin_us) / 1e6
        return bool(applied_at_s) and clock.now_s() >= applied_at_s + window_s

    def attempt_ended(
        self, attempt: CallAttempt, endpoint: int, outcome: AttemptOutcome, latency_us: int
    ) -> None:
        """Report the outcome of an attempt to the policy and update the journal.

        The journal records an outcome that completes the message or proves that the attempt was not applied.
        """
        number = attempt.message_number
        message = self._journal.messages.get(number)
        message_ended = outcome.message_ended or message is None
        if outcome.result is not AttemptResult.OK:
            self._log_failure(attempt, endpoint, outcome.result)
        if message and not message.final_status and outcome.result is AttemptResult.OK:
            self._metrics.record_delivered(message.message_class)
        if outcome.message_ended and message:
            record_best_effort(self._journal.record_completed, [number])
            self._answers.cancel_deadline_timer(number)
        elif message and attempt.started and outcome.result in RESULTS_NOT_APPLIED:
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
        self.on_attempt_ended()

    def _log_failure(self, attempt: CallAttempt, endpoint: int, result: AttemptResult) -> None:
        if not self._log_throttle.permits_line():
            return
        log.info(
            "attempt failed: message=%s attempt=%d endpoint=%s result=%s",
            attempt.message_id,
            attempt.attempt,
            self.directory.uids.get(endpoint, ""),
            result.name.lower(),
        )

    def _record_not_applied(self, numbers: list[int]) -> None:
        for number in numbers:
            self._journal.record_not_applied(number)

    def retry_after_received(self, endpoint: int, retry_after_us: int) -> None:
        """Record a Retry-After as soon as it is received, before the outcome of its attempt."""
        entry = self.directory.entries.get(endpoint)
        if entry is not None:  # for a removed endpoint, the policy alone honors it, for the destination
            self._retry_after.record(entry, retry_after_us)

    def load_report_received(self, endpoint: int, values: dict[str, float]) -> None:
        """Pass a load report on to the policy if it has every configured field."""
        fields = self._settings.load_report_fields
        if all(field in values for field in fields):
            self._events.add(LoadReportReceived(endpoint, tuple(values[field] for field in fields)))

    def health_check_ended(self, endpoint: int, result: AttemptResult, latency_us: int) -> None:
        """Report the result of a health check to the policy."""
        self._events.add(HealthCheckEnded(endpoint, result, latency_us))

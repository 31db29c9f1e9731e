"""One call in flight to an endpoint: what its response means for each of its attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from message_relay.model import AttemptResult
from message_relay.server.endpoint_calls.attempt import AttemptOutcome, CallAttempt, CallObserver
from message_relay.server.endpoint_calls.responses import (
    STATUS_OK,
    US_PER_S,
    outcome_of_status,
    parse_batch_outcomes,
    parse_load_report,
    parse_retry_after_us,
)
from message_relay.server.http.connection import HttpConnection
from message_relay.server.http.response_handler import ResponseHandler

# A response that has started must be complete within this: one that never ends would hold its slot.
RESPONSE_TAIL_TIMEOUT_S = 0.5
MAX_RESPONSE_BODY_BYTES = 64 * 1024  # the limit that the protocol sets


class CallOwner(Protocol):
    """What a call needs of the client that started it."""

    loop: asyncio.AbstractEventLoop
    observer: CallObserver
    in_flight: set[EndpointCall]

    def release(self, call: EndpointCall) -> None:
        """End the call; its connection, if still usable, becomes idle."""
        ...


class EndpointCall(ResponseHandler):
    """A call with one message, with a batch of them, or, without any, a health check."""

    __slots__ = (
        "_health_check_reported",
        "_owner",
        "attempts",
        "body",
        "body_bytes_received",
        "connection",
        "deadline_s",
        "endpoint",
        "headers",
        "health_check",
        "started_at_s",
        "status",
        "timers",
    )

    def __init__(
        self, owner: CallOwner, endpoint: int, attempts: list[CallAttempt], health_check: bool = False
    ) -> None:
        self._owner = owner
        self.endpoint = endpoint
        self.attempts = attempts
        self.health_check = health_check
        self._health_check_reported = False
        self.started_at_s = owner.loop.time()
        self.deadline_s = self.started_at_s  # on the loop's clock: when the last attempt times out
        self.connection: HttpConnection | None = None
        self.timers: list[asyncio.TimerHandle] = []
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()  # kept for batches alone
        self.body_bytes_received = 0

    @property
    def batch(self) -> bool:
        """Whether the call carries more than one message."""
        return len(self.attempts) > 1

    @property
    def latency_us(self) -> int:
        """How long the call has been in flight."""
        return int((self._owner.loop.time() - self.started_at_s) * US_PER_S)

    def start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after a delay, unless the call is over by then."""
        self.timers.append(self._owner.loop.call_later(max(0.0, delay_s), action))

    # What becomes of the request (ResponseHandler)

    def request_written(self) -> None:
        """Report that the call was written."""
        if not self.health_check:
            self._owner.observer.call_written(len(self.attempts))

    def response_started(self) -> None:
        """Limit the time for the rest of the response."""
        self.start_timer(RESPONSE_TAIL_TIMEOUT_S, self._give_up_incomplete)

    def status_received(self, status: int) -> None:
        """End a call with one message on a 200: whatever follows, the message was applied."""
        if status == STATUS_OK and not self.health_check and not self.batch:
            self.end_all(AttemptOutcome(AttemptResult.OK, message_ended=True))

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """Report Retry-After and the load report at once."""
        self.status = status
        self.headers = headers
        if wait_us := parse_retry_after_us(headers):
            self._owner.observer.retry_after_received(self.endpoint, wait_us)
        if load_report := parse_load_report(headers):
            self._owner.observer.load_report_received(self.endpoint, load_report)

    def body_received(self, data: bytes) -> None:
        """Keep the body of a batch's response; close the connection on one that is too long."""
        self.body_bytes_received += len(data)
        if self.batch and self.body_bytes_received <= MAX_RESPONSE_BODY_BYTES:
            self.body += data
        elif self.body_bytes_received > MAX_RESPONSE_BODY_BYTES and self.connection is not None:
            # It may announce gigabytes and keep sending.
            self._owner.loop.call_soon(self._give_up_incomplete)
            self.connection.close()

    def response_complete(self, trailing_bytes: bool) -> None:
        """End all attempts by the response.

        Only a complete, well-formed response proves that the call was not executed, or that the message has
        ended. If its length is stated too short, the rest of it looks like trailing bytes, so a response with
        these proves nothing.
        """
        if self.health_check:
            healthy = self.status == STATUS_OK
            self.report_health_check(AttemptResult.OK if healthy else AttemptResult.REJECTED)
        elif self.status == STATUS_OK and self.batch:
            self._end_batch()
        elif trailing_bytes:
            self.end_all(self._malformed_outcome())
        else:
            self.end_all(outcome_of_status(self.status, self.headers))
        self._owner.release(self)

    def response_malformed(self) -> None:
        """End all attempts as failed: the messages may have been applied."""
        if self.health_check:
            self.report_health_check(AttemptResult.ERROR)
        self.end_all(self._malformed_outcome())
        self._owner.release(self)

    def connection_lost(self, request_written: bool) -> None:
        """End all attempts; they were certainly not executed if the request was not written completely."""
        if self.health_check:
            self.report_health_check(AttemptResult.RESET)
        self.end_all(AttemptOutcome(AttemptResult.RESET if request_written else AttemptResult.CONNECT_FAILED))
        self._owner.release(self)

    def _give_up_incomplete(self) -> None:
        if self not in self._owner.in_flight:
            return
        if self.connection is not None:
            self.connection.close()
        self.response_malformed()

    # How the call and its attempts end

    def time_out(self) -> None:
        """Stop waiting; the connection is closed, or a late response would meet the next call on it."""
        connection = self.connection
        written = connection is not None and connection.handler is self and connection.request_written
        if self.health_check:
            self.report_health_check(AttemptResult.TIMEOUT)
        self.abandon()
        self.end_all(AttemptOutcome(AttemptResult.TIMEOUT if written else AttemptResult.CONNECT_FAILED))

    def abandon(self) -> None:
        """Close the connection and release the call without an outcome."""
        if self.connection is not None:
            self.connection.close()
        self._owner.release(self)

    def end_all(self, outcome: AttemptOutcome) -> None:
        """Report the outcome for each attempt that has not ended yet."""
        for attempt in self.attempts:
            self.end_attempt(attempt, outcome)

    def end_attempt(self, attempt: CallAttempt, outcome: AttemptOutcome) -> None:
        """Report the attempt's outcome, once."""
        if not attempt.ended:
            attempt.ended = True
            self._owner.observer.attempt_ended(attempt, self.endpoint, outcome, self.latency_us)

    def report_health_check(self, result: AttemptResult) -> None:
        """Report the health check's result, once."""
        if self.health_check and not self._health_check_reported:
            self._health_check_reported = True
            self._owner.observer.health_check_ended(self.endpoint, result, self.latency_us)

    def _end_batch(self) -> None:
        outcomes = parse_batch_outcomes(bytes(self.body), parse_retry_after_us(self.headers))
        missing = self._malformed_outcome()  # what the response leaves out may have been applied
        for attempt in self.attempts:
            self.end_attempt(attempt, outcomes.get(attempt.message_id, missing))

    def _malformed_outcome(self) -> AttemptOutcome:
        wait_us = parse_retry_after_us(self.headers)
        return AttemptOutcome(AttemptResult.ERROR, retry_after_us=wait_us, malformed=True)

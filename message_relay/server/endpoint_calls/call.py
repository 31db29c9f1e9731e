"""One call in flight to an endpoint; maps the response or the failure to an outcome for each attempt."""

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

# Time from the first byte of a response to its end. A response that never ends would occupy a slot of the
# endpoint.
RESPONSE_TAIL_TIMEOUT_S = 0.5
MAX_RESPONSE_BODY_BYTES = 64 * 1024  # limit of the protocol


class CallOwner(Protocol):
    """Interface of the client that started the call."""

    loop: asyncio.AbstractEventLoop
    observer: CallObserver
    in_flight: set[EndpointCall]

    def release(self, call: EndpointCall) -> None:
        """Remove the call from those in flight and return its connection to the pool, unless it is closed."""
        ...


class EndpointCall(ResponseHandler):
    """A call that carries one message, a batch of messages or, without messages, a health check.

    The outcome of an attempt is reported as soon as it is certain. The call itself stays in flight until its
    response is complete or its connection is closed. It is then released: a connection that is still open is
    offered to the idle pool.
    """

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
        "sent",
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
        self.deadline_s = self.started_at_s  # time of the loop's clock at which the last attempt times out
        self.connection: HttpConnection | None = None
        # The last byte of the request was written: the endpoint may execute it, whatever happens to the
        # connection afterwards.
        self.sent = False
        self.timers: list[asyncio.TimerHandle] = []
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()  # body of a batch's response; empty for other calls
        self.body_bytes_received = 0

    @property
    def batch(self) -> bool:
        """Whether the call carries more than one message."""
        return len(self.attempts) > 1

    @property
    def latency_us(self) -> int:
        """Time since the start of the call, in microseconds."""
        return int((self._owner.loop.time() - self.started_at_s) * US_PER_S)

    def start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` after the delay; the timer is cancelled when the call is released."""
        self.timers.append(self._owner.loop.call_later(max(0.0, delay_s), action))

    # Progress of the request and its response (ResponseHandler)

    def request_written(self) -> None:
        """Report to the observer that the request was written, unless it is a health check."""
        self.sent = True
        if not self.health_check:
            self._owner.observer.call_written(len(self.attempts))

    def response_started(self) -> None:
        """Start the time-out for the rest of the response."""
        self.start_timer(RESPONSE_TAIL_TIMEOUT_S, self._abort_incomplete_response)

    def status_received(self, status: int) -> None:
        """End the attempt of a single message as OK on status 200, which proves that it was applied."""
        if status == STATUS_OK and not self.health_check and not self.batch:
            self.end_all(AttemptOutcome(AttemptResult.OK, message_ended=True))

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """Report Retry-After and the load report to the observer before the body arrives."""
        self.status = status
        self.headers = headers
        if retry_after_us := parse_retry_after_us(headers):
            self._owner.observer.retry_after_received(self.endpoint, retry_after_us)
        if load_report := parse_load_report(headers):
            self._owner.observer.load_report_received(self.endpoint, load_report)

    def body_received(self, data: bytes) -> None:
        """Store the body of a batch's response; abort a response whose body is too long."""
        self.body_bytes_received += len(data)
        if self.batch and self.body_bytes_received <= MAX_RESPONSE_BODY_BYTES:
            self.body += data
        elif self.body_bytes_received > MAX_RESPONSE_BODY_BYTES and self.connection is not None:
            # The endpoint may announce gigabytes and send them without end.
            self._owner.loop.call_soon(self._abort_incomplete_response)
            self.connection.close()

    def response_complete(self) -> None:
        """Report the outcome that the response states for each attempt and release the call.

        Only a complete, well-formed response proves that a message was not applied or needs no further
        attempt. Bytes that follow it do not belong to it and change nothing.
        """
        if self.health_check:
            healthy = self.status == STATUS_OK
            self.report_health_check(AttemptResult.OK if healthy else AttemptResult.REJECTED)
        elif self.status == STATUS_OK and self.batch:
            self._end_batch()
        else:
            self.end_all(outcome_of_status(self.status, self.headers))
        self._owner.release(self)

    def response_malformed(self) -> None:
        """End all attempts with ERROR, since the messages may have been applied, and release the call."""
        if self.health_check:
            self.report_health_check(AttemptResult.ERROR)
        self.end_all(self._malformed_outcome())
        self._owner.release(self)

    def connection_lost(self, request_written: bool) -> None:
        """End all attempts with RESET, or CONNECT_FAILED if the request was not written to its last byte.

        An endpoint executes no incomplete request, so CONNECT_FAILED proves that no message was applied.
        """
        if self.health_check:
            self.report_health_check(AttemptResult.RESET)
        self.end_all(AttemptOutcome(AttemptResult.RESET if request_written else AttemptResult.CONNECT_FAILED))
        self._owner.release(self)

    def _abort_incomplete_response(self) -> None:
        if self not in self._owner.in_flight:
            return
        if self.connection is not None:
            self.connection.close()
        self.response_malformed()

    # End of the call and of its attempts

    def time_out(self) -> None:
        """End all attempts with TIMEOUT, or CONNECT_FAILED if the request was not written to its last byte.

        The connection is closed: a late response on it would be taken for the response to the next call. It
        may be closed already, by an endless response that is about to be aborted.
        """
        if self.health_check:
            self.report_health_check(AttemptResult.TIMEOUT)
        self.abandon()
        self.end_all(AttemptOutcome(AttemptResult.TIMEOUT if self.sent else AttemptResult.CONNECT_FAILED))

    def abandon(self) -> None:
        """Close the connection and release the call without reporting an outcome."""
        if self.connection is not None:
            self.connection.close()
        self._owner.release(self)

    def end_all(self, outcome: AttemptOutcome) -> None:
        """Report the outcome for each attempt whose outcome was not reported yet."""
        for attempt in self.attempts:
            self.end_attempt(attempt, outcome)

    def end_attempt(self, attempt: CallAttempt, outcome: AttemptOutcome) -> None:
        """Report the outcome of the attempt, unless one was reported before."""
        if not attempt.ended:
            attempt.ended = True
            self._owner.observer.attempt_ended(attempt, self.endpoint, outcome, self.latency_us)

    def report_health_check(self, result: AttemptResult) -> None:
        """Report the result if this call is a health check and none was reported before."""
        if self.health_check and not self._health_check_reported:
            self._health_check_reported = True
            self._owner.observer.health_check_ended(self.endpoint, result, self.latency_us)

    def _end_batch(self) -> None:
        outcomes = parse_batch_outcomes(bytes(self.body), parse_retry_after_us(self.headers))
        # A message that is missing from the response may have been applied.
        default_outcome = self._malformed_outcome()
        for attempt in self.attempts:
            self.end_attempt(attempt, outcomes.get(attempt.message_id, default_outcome))

    def _malformed_outcome(self) -> AttemptOutcome:
        retry_after_us = parse_retry_after_us(self.headers)
        return AttemptOutcome(AttemptResult.ERROR, retry_after_us=retry_after_us, malformed=True)

"""Types of the interface of `EndpointCallClient`: attempts, their outcomes, and the observer of calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from message_relay.model import AttemptResult


@dataclass(slots=True)
class CallAttempt:
    """One attempt to deliver one message; a call carries one attempt, or several in a batch."""

    message_number: int
    attempt: int  # number of the attempt for this message
    message_id: str
    idempotency_key: str
    body: bytes
    timeout_us: int  # from the start of the call, which includes connecting
    new_connection_timeout_us: int = 0  # replaces timeout_us on a new connection; 0: timeout_us applies
    require_new_connection: bool = False  # the call must not use an idle connection of the pool
    zone: int = -1  # zone of the endpoint
    on_new_connection: bool = False  # the call uses a new connection; valid once `started` is set
    started: bool = False  # the first byte of the request may have been written
    ended: bool = False  # the outcome was reported


class AttemptOutcome(NamedTuple):
    """Outcome of an attempt, reported once; the package docstring describes the results."""

    result: AttemptResult
    message_ended: bool = False  # the message needs no further attempt and no final answer
    retry_after_us: int = 0  # Retry-After of the response, 0: missing
    malformed: bool = False  # the result is ERROR because the response was malformed or incomplete


class CallObserver(Protocol):
    """Observer of the calls of `EndpointCallClient`, which permits requests and receives outcomes.

    Each method is called synchronously, in the event loop callback that detected the event.
    """

    def may_write(self, endpoint: int) -> bool:
        """Return whether a request may be sent to the endpoint now.

        The endpoint must be ready and not cordoned, and no Retry-After may be in force for it.
        """
        ...

    def call_written(self, message_count: int) -> None:
        """Record that the last byte of a request with this number of messages was written."""
        ...

    def record_starting_attempts(self, attempts: list[CallAttempt]) -> bool:
        """Record the attempts before their request is sent; return False if it must not be sent."""
        ...

    def attempt_ended(
        self, attempt: CallAttempt, endpoint: int, outcome: AttemptOutcome, latency_us: int
    ) -> None:
        """Process the outcome of an attempt; called once per attempt, with the latency of the call."""
        ...

    def retry_after_received(self, endpoint: int, retry_after_us: int) -> None:
        """Process a Retry-After; called when the headers have arrived, before the outcome is known."""
        ...

    def load_report_received(self, endpoint: int, values: dict[str, float]) -> None:
        """Process a load report, given as its values by field name."""
        ...

    def health_check_ended(self, endpoint: int, result: AttemptResult, latency_us: int) -> None:
        """Process the result of a health check; called once per health check."""
        ...

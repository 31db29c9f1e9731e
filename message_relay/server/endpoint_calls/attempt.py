"""What the client of the endpoints and its user exchange: attempts, their outcomes, and the observer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from message_relay.model import AttemptResult


@dataclass(slots=True)
class CallAttempt:
    """One message's part in a call."""

    message_number: int
    attempt: int
    message_id: str
    idempotency_key: str
    body: bytes
    timeout_us: int
    new_connection_timeout_us: int = 0  # used instead of timeout_us on a new connection, 0: the same
    require_new_connection: bool = False  # a reused connection will not do
    zone: int = -1  # the endpoint's
    on_new_connection: bool = False  # the call was given a new connection; valid once `started`
    started: bool = False  # its first byte may have been written
    ended: bool = False  # its outcome was reported


class AttemptOutcome(NamedTuple):
    """How an attempt ended."""

    result: AttemptResult
    message_ended: bool = False  # nothing more is to be done for the message
    retry_after_us: int = 0  # as the endpoint asked for, 0: it did not
    malformed: bool = False  # a response arrived, but it could not be understood


class CallObserver(Protocol):
    """What the client of the endpoints asks its user and reports to it.

    All methods are called synchronously from the event loop callback in which the event was found.
    """

    def may_write(self, endpoint: int) -> bool:
        """Whether a request may be written: the endpoint is ready, not cordoned, and no Retry-After runs."""
        ...

    def call_written(self, message_count: int) -> None:
        """Take note that a call with so many messages was written to its last byte."""
        ...

    def attempts_starting(self, attempts: list[CallAttempt]) -> bool:
        """Take note that these attempts are about to be written; False: they must not be."""
        ...

    def attempt_ended(
        self, attempt: CallAttempt, endpoint: int, outcome: AttemptOutcome, latency_us: int
    ) -> None:
        """Take note of an attempt's outcome, which is reported once."""
        ...

    def retry_after_received(self, endpoint: int, wait_us: int) -> None:
        """Take note of a Retry-After as soon as the headers arrived, before any outcome."""
        ...

    def load_report_received(self, endpoint: int, values: dict[str, float]) -> None:
        """Take note of a load report's values by their names."""
        ...

    def health_check_ended(self, endpoint: int, result: AttemptResult, latency_us: int) -> None:
        """Take note of a health check's result."""
        ...

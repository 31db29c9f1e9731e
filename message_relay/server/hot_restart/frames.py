"""The frames of the hot restart protocol: lists of values, the first of which names the kind.

The names and the order of the values are those of version 3 and stay as they are.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from message_relay.model import AttemptResult
from message_relay.server.endpoint_calls import AttemptOutcome
from message_relay.server.hot_restart.snapshot import VERSION, ServerSnapshot

RESULT_NAMES = {
    AttemptResult.OK: "ok",
    AttemptResult.ERROR: "error",
    AttemptResult.REJECTED: "full",
    AttemptResult.TIMEOUT: "timeout",
    AttemptResult.CONNECT_FAILED: "connect_failed",
    AttemptResult.RESET: "reset",
    AttemptResult.CANCELLED: "cancelled",
    AttemptResult.NOT_ATTEMPTED: "moot",
}
RESULTS = {name: result for result, name in RESULT_NAMES.items()}


class HandoverRequested(NamedTuple):
    """The new process asks for everything."""

    version: int = VERSION

    def encode(self) -> list[Any]:
        """The values that are sent."""
        return ["take", self.version]


class HandoverRejected(NamedTuple):
    """The old process keeps serving."""

    reason: str

    def encode(self) -> list[Any]:
        """The values that are sent."""
        return ["no", self.reason]


class StateHandedOver(NamedTuple):
    """The old process's state; the listening socket comes with it."""

    state: ServerSnapshot
    descriptor_count: int  # of all frames together

    def encode(self) -> list[Any]:
        """The values that are sent."""
        return ["state", self.state.to_wire(), self.descriptor_count]


class ClientsHandedOver(NamedTuple):
    """Some clients' connections: what was read from each; their descriptors come with it."""

    states: list[list[Any]]

    def encode(self) -> list[Any]:
        """The values that are sent."""
        return ["clients", self.states]


class HandoverComplete:
    """Everything has been handed over."""

    __slots__ = ()

    def encode(self) -> list[Any]:
        """The values that are sent."""
        return ["end"]


class OwnershipTaken:
    """The new process holds the lock."""

    __slots__ = ()

    def encode(self) -> list[Any]:
        """The values that are sent."""
        return ["owned"]


class AttemptEndedReport(NamedTuple):
    """An attempt of the old process has ended."""

    message_number: int
    attempt: int
    endpoint: int  # the old process's number
    started: bool
    on_new_connection: bool
    latency_us: int
    outcome: AttemptOutcome

    def encode(self) -> list[Any]:
        """The values that are sent."""
        outcome = self.outcome
        return [
            "ended",
            self.message_number,
            self.attempt,
            self.endpoint,
            self.started,
            self.on_new_connection,
            self.latency_us,
            RESULT_NAMES[outcome.result],
            outcome.message_ended,
            outcome.retry_after_us,
            outcome.malformed,
        ]

    @classmethod
    def decode(cls, values: list[Any]) -> AttemptEndedReport:
        """The reverse, without the name of the kind."""
        number, attempt, endpoint, started, new, latency_us, result, ended, retry_after_us, malformed = values
        outcome = AttemptOutcome(RESULTS[result], ended, retry_after_us, malformed)
        return cls(number, attempt, endpoint, started, new, latency_us, outcome)


class RetryAfterReport(NamedTuple):
    """An endpoint of the old process gave a Retry-After."""

    endpoint: int
    wait_us: int

    def encode(self) -> list[Any]:
        """The values that are sent."""
        return ["wait", self.endpoint, self.wait_us]


class LoadReport(NamedTuple):
    """An endpoint of the old process sent a load report."""

    endpoint: int
    values: dict[str, float]

    def encode(self) -> list[Any]:
        """The values that are sent."""
        return ["load", self.endpoint, self.values]


class UnknownFrame(NamedTuple):
    """A frame of a kind that this build does not know; it is ignored."""

    kind: Any

    def encode(self) -> list[Any]:
        """The values that were received."""
        return [self.kind]


Report = AttemptEndedReport | RetryAfterReport | LoadReport
Frame = (
    HandoverRequested
    | HandoverRejected
    | StateHandedOver
    | ClientsHandedOver
    | HandoverComplete
    | OwnershipTaken
    | Report
    | UnknownFrame
)


_DECODERS: dict[str, Callable[[list[Any]], Frame]] = {
    "take": lambda values: HandoverRequested(values[0]),
    "no": lambda values: HandoverRejected(values[0]),
    "state": lambda values: StateHandedOver(ServerSnapshot.from_wire(values[0]), values[1]),
    "clients": lambda values: ClientsHandedOver(values[0]),
    "end": lambda values: HandoverComplete(),
    "owned": lambda values: OwnershipTaken(),
    "ended": AttemptEndedReport.decode,
    "wait": lambda values: RetryAfterReport(values[0], values[1]),
    "load": lambda values: LoadReport(values[0], values[1]),
}


def decode(values: list[Any]) -> Frame:
    """A frame from its values. LookupError, TypeError or ValueError if they are not those of its kind."""
    kind, *rest = values
    decoder = _DECODERS.get(kind)
    return decoder(rest) if decoder else UnknownFrame(kind)

"""The frames of the hot restart protocol: lists of values, of which the first is the frame name.

The names and the order of the values are fixed in version 3 of the protocol.
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
    """The new process requests a handover. The old process holds the journal lock."""

    version: int = VERSION

    def encode(self) -> list[Any]:
        """Return the values to send, with the frame name first."""
        return ["take", self.version]


class HandoverRejected(NamedTuple):
    """The old process rejects the request: it keeps the journal lock and serves on."""

    reason: str

    def encode(self) -> list[Any]:
        """Return the values to send, with the frame name first."""
        return ["no", self.reason]


class StateHandedOver(NamedTuple):
    """The old process's state; the listening socket is sent with this frame.

    The old process stopped serving and released the journal lock before it sends this frame.
    """

    state: ServerSnapshot
    descriptor_count: int  # in all frames of the handover together

    def encode(self) -> list[Any]:
        """Return the values to send, with the frame name first."""
        return ["state", self.state.to_wire(), self.descriptor_count]


class ClientsHandedOver(NamedTuple):
    """The exported states of some client connections; their sockets are sent with this frame."""

    states: list[list[Any]]

    def encode(self) -> list[Any]:
        """Return the values to send, with the frame name first."""
        return ["clients", self.states]


class HandoverComplete:
    """The last frame of the handover: the new process can acquire the journal lock now."""

    __slots__ = ()

    def encode(self) -> list[Any]:
        """Return the values to send, with the frame name first."""
        return ["end"]


class OwnershipTaken:
    """The new process holds the journal lock and serves from now on; the old process drains."""

    __slots__ = ()

    def encode(self) -> list[Any]:
        """Return the values to send, with the frame name first."""
        return ["owned"]


class AttemptEndedReport(NamedTuple):
    """An attempt that the old process had in flight has ended."""

    message_number: int
    attempt: int
    endpoint: int  # number that the old process uses
    started: bool
    on_new_connection: bool
    latency_us: int
    outcome: AttemptOutcome

    def encode(self) -> list[Any]:
        """Return the values to send, with the frame name first."""
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
        """Build the frame from its values without the frame name."""
        number, attempt, endpoint, started, new, latency_us, result, ended, retry_after_us, malformed = values
        outcome = AttemptOutcome(RESULTS[result], ended, retry_after_us, malformed)
        return cls(number, attempt, endpoint, started, new, latency_us, outcome)


class RetryAfterReport(NamedTuple):
    """An endpoint sent a Retry-After to the old process, which uses this endpoint number."""

    endpoint: int
    retry_after_us: int

    def encode(self) -> list[Any]:
        """Return the values to send, with the frame name first."""
        return ["wait", self.endpoint, self.retry_after_us]


class LoadReport(NamedTuple):
    """An endpoint sent a load report to the old process, which uses this endpoint number."""

    endpoint: int
    values: dict[str, float]

    def encode(self) -> list[Any]:
        """Return the values to send, with the frame name first."""
        return ["load", self.endpoint, self.values]


class UnknownFrame(NamedTuple):
    """A frame with a name that this build does not define; it is ignored."""

    frame_name: Any

    def encode(self) -> list[Any]:
        """Return the frame name that was received, without its values."""
        return [self.frame_name]


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
    """Return the frame that has these values, the frame name first.

    Raises `LookupError`, `TypeError` or `ValueError` if the values do not match the frame name.
    """
    frame_name, *rest = values
    decoder = _DECODERS.get(frame_name)
    return decoder(rest) if decoder else UnknownFrame(frame_name)

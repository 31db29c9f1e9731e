"""Events: what the server tells the policy, in the order in which it came.

Times are microseconds on the clock that is given to ``DeliveryPolicy.handle``. Endpoints, destinations and
messages are opaque integers: equal integers mean the same one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from message_relay.model.enums import AttemptResult, EndpointListForm, EndpointState

if TYPE_CHECKING:
    from message_relay.policy_snapshot import PolicySnapshot


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of the endpoint list."""

    endpoint: int
    destination: int
    state: EndpointState
    rate_limit_per_s: float = 0.0  # calls of all instances together, where rate limits are advertised
    type_index: int = 0
    zone: int = 0


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """The endpoint list or a change of it. A cached list belongs into the first tick."""

    form: EndpointListForm
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageSubmitted:
    """A message that needs one final answer before its deadline."""

    message: int
    message_class: int
    destination: int
    deadline_us: int
    tenant: int = 0
    order_key: int = 0
    resubmitted: bool = False  # the client comes back with it after a rejection
    restored: bool = False  # accepted before a restart: it is attempted, not rejected for want of capacity
    # Of a message that is restored, or whose idempotency key is known from an earlier one:
    attempts: int = 0
    possibly_applied_at_us: int = -1  # start of the first attempt that may have been applied, -1 if none
    possibly_applied_zone: int = -1  # zone of that attempt's endpoint, -1 if unknown


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun: the attempt cannot be taken back from the client any more."""

    message: int
    attempt: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of one SendAttempt; each has exactly one."""

    message: int
    attempt: int
    endpoint: int
    result: AttemptResult
    latency_us: int
    message_ended: bool = False  # nothing more is owed for the message
    retry_after_us: int = 0  # with REJECTED: the Retry-After, 0 if there was none
    new_connection: bool | None = None  # it went out on a new connection; None: unknown
    malformed: bool = False  # with ERROR: a response came that cannot be read


@dataclass(frozen=True, slots=True)
class LoadReportReceived:
    """An endpoint's load report, late and noisy: the values of Settings.load_report_fields."""

    endpoint: int
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The outcome of a health check."""

    endpoint: int
    result: AttemptResult
    latency_us: int


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """Nobody wants the message any more; outcomes of its attempts still follow."""

    message: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of the policy has run down."""

    token: int


@dataclass(frozen=True, slots=True)
class EndpointCordoned:
    """Operators keep new attempts from an endpoint; cordoned=False puts it back, with a slow start."""

    endpoint: int
    cordoned: bool = True


@dataclass(frozen=True, slots=True)
class ShutdownScheduled:
    """A planned restart: no attempt may last beyond the deadline. Infinity takes it back."""

    deadline_us: float


@dataclass(frozen=True, slots=True)
class StateImported:
    """A hot restart: what the old process knew, on the same clock.

    Its attempts in flight are this policy's own until their outcomes come. ``endpoints`` maps the old
    process's endpoint numbers to those of this one.
    """

    snapshot: PolicySnapshot
    endpoints: dict[int, int]


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A note from another instance."""

    peer: int
    data: bytes


Event = (
    EndpointListReceived
    | MessageSubmitted
    | ResponseStarted
    | AttemptEnded
    | LoadReportReceived
    | HealthCheckEnded
    | MessageWithdrawn
    | TimerFired
    | EndpointCordoned
    | ShutdownScheduled
    | StateImported
    | GossipReceived
)

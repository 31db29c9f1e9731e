"""Events: input of the policy, passed to a tick in the order in which the caller received them.

Fields ending in ``_us`` are microseconds; points in time (``_at_us``, ``deadline_us``) are on the clock that
is passed to ``DeliveryPolicy.handle``. Endpoints, destinations and messages are opaque numbers: equal numbers
mean the same object.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from message_relay.model.enums import AttemptResult, EndpointListForm, EndpointState

if TYPE_CHECKING:
    from message_relay.policy_snapshot import PolicySnapshot


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list."""

    endpoint: int
    destination: int  # the destination that the endpoint belongs to
    state: EndpointState
    # Advertised limit of all instances together, in calls per second; 0: none. The policy uses it only if
    # Settings.rate_limits_advertised is set.
    rate_limit_per_s: float = 0.0
    type_index: int = 0  # index of the destination's type in Settings.destination_types
    zone: int = 0  # index of the zone, as in Settings.zone_costs


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """The endpoint list, or a change to it. A cached list must be passed in the first tick."""

    form: EndpointListForm  # how the entries change the list
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageSubmitted:
    """A client submitted a message, or a restart restored it; it needs one final answer by its deadline."""

    message: int
    message_class: int  # index in Settings.classes
    destination: int
    deadline_us: int
    tenant: int = 0  # index in Settings.tenants; a number beyond the last tenant has no quota
    order_key: int = 0  # used if MessageClass.ordered is set; 0: none
    # The client submits the message again after a rejection. Reported only if Settings.clients_mark_retries
    # is set.
    resubmitted: bool = False
    # Accepted before a restart: the policy does not reject the message at admission for overload.
    restored: bool = False
    # The next three are set for a restored message. The last two are also set if an earlier message had the
    # same idempotency key.
    attempts: int = 0  # attempts that were started before the restart
    possibly_applied_at_us: int = -1  # start of the first attempt that may have been applied, -1 if none
    possibly_applied_zone: int = -1  # zone of that attempt's endpoint, -1 if unknown


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The client has received the beginning of a streamed response.

    The policy does not attempt the message again and does not end it at its deadline. Only the simulator
    adapter reports this event.
    """

    message: int
    attempt: int  # number of the attempt, from 0
    endpoint: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Outcome of an attempt; exactly one is reported for each SendAttempt."""

    message: int
    attempt: int  # number of the attempt, from 0
    endpoint: int
    result: AttemptResult
    latency_us: int  # time from the start of the attempt to its outcome
    message_ended: bool = False  # the message needs no further attempt and no final answer: it is closed
    retry_after_us: int = 0  # Retry-After of the response, 0 if it had none
    new_connection: bool | None = None  # whether the attempt used a new connection; None: unknown
    malformed: bool = False  # with ERROR: a response came, but it cannot be read


@dataclass(frozen=True, slots=True)
class LoadReportReceived:
    """Load report of an endpoint; its values are delayed and noisy."""

    endpoint: int
    values: tuple[float, ...]  # in the order of Settings.load_report_fields


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """Outcome of a CheckEndpointHealth. DeliveryPolicy ignores it."""

    endpoint: int
    result: AttemptResult
    latency_us: int


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The message needs no final answer from the policy any more, e.g. since its client disconnected.

    The policy closes it without an action; the outcomes of its attempts in flight are still reported.
    """

    message: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The delay of a SetTimer has elapsed. The event only causes a tick; DeliveryPolicy ignores its token."""

    token: int  # the token of the SetTimer


@dataclass(frozen=True, slots=True)
class EndpointCordoned:
    """An operator has cordoned or uncordoned an endpoint.

    A cordoned endpoint gets no new calls. An endpoint that is uncordoned begins a slow start, since operators
    restart the endpoints that they cordon.
    """

    endpoint: int
    cordoned: bool = True  # False: uncordoned


@dataclass(frozen=True, slots=True)
class ShutdownScheduled:
    """A shutdown is planned: the policy starts no attempt that might not end by the deadline."""

    deadline_us: float  # infinity: the shutdown is cancelled


@dataclass(frozen=True, slots=True)
class StateImported:
    """The state that the policy of the old process handed over in a hot restart.

    Times in the snapshot are on the clock of this policy. Attempts that were in flight in the old process
    count as in flight here, until an AttemptEnded reports their outcome.
    """

    snapshot: PolicySnapshot
    endpoints: dict[int, int]  # endpoint numbers of the old process -> those of this one


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Data that another instance sent by SendGossip. DeliveryPolicy ignores it."""

    peer: int  # index of the sending instance
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

"""What the policy knows of messages, calls, endpoints, endpoint groups and destinations: data, no decisions.

Times are microseconds, rates are a second. An endpoint group is what shares one rate limit: a destination, or
one endpoint of it where the destination type says that its endpoints are independent. The objects refer to
one another: they are compared by identity and have no repr of their own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from message_relay.model import EndpointState, MessageClass, MessageSubmitted

INITIAL_SLOT_OCCUPANCY_US = 1e5


@dataclass(slots=True, eq=False, repr=False)
class TokenBucket:
    """Tokens that accrue at a rate that is given with each use."""

    tokens: float = 1.0
    updated_at_us: int = 0

    def refill(self, now_us: int, rate_per_s: float, capacity: float = 1.0) -> float:
        """Add what has accrued. Returns the tokens before they are cut to the capacity."""
        tokens, elapsed_us = self.tokens, now_us - self.updated_at_us
        if elapsed_us > 0:
            tokens += rate_per_s * elapsed_us / 1e6
            self.updated_at_us = now_us
        self.tokens = tokens if tokens < capacity else capacity
        return tokens

    def wait_us(self, rate_per_s: float) -> int:
        """Microseconds until there is a whole token."""
        return int((1 - self.tokens) / rate_per_s * 1e6) + 1


@dataclass(slots=True, eq=False, repr=False)
class CircuitBreaker:
    """Whether calls may go to an endpoint, and how many.

    In a large fleet all endpoints of a group share one: outages mostly take all of them, and so few calls go
    there that one endpoint's own would never gather the evidence.
    """

    failure_rate: float = 0.0
    open: bool = False  # half-open attempts only
    half_open_call: Call | None = None
    half_open_at_us: int = 0
    half_open_interval_us: int = 0  # between two half-open attempts
    slow_start_since_us: int = -1  # -1 when warm
    target_rate_per_s: float = 0.0  # this instance's part of the rate that a slow start leads to
    bucket: TokenBucket = field(default_factory=TokenBucket)


@dataclass(slots=True, eq=False, repr=False)
class Endpoint:
    """One endpoint and what its calls showed."""

    id: int
    group: EndpointGroup
    zone: int
    tie_breaker: float  # by chance: instances that rank alike would pile onto one endpoint
    circuit: CircuitBreaker
    state: EndpointState = EndpointState.READY
    cordoned: bool = False  # by the operators
    in_flight: dict[int, Call] = field(default_factory=dict)  # by identity, oldest first
    idle_since_us: list[int] = field(default_factory=list)  # when each idle connection came free
    failure_rate: float = 0.0
    ambiguous_failure_rate: float = 0.0  # share of failures after which the message may have been applied
    ambiguous_failure_at_us: int = 0
    last_success_at_us: int = 0
    last_failure_at_us: int = 0
    connection_limit: float = math.inf  # connections that it accepted when it accepted no more
    connection_limit_at_us: int = 0


@dataclass(slots=True, eq=False, repr=False)
class RecoveryBudget:
    """The calls that a group may get from its first failure on until an answer shows that it is back."""

    since_us: int = -1  # -1: it is not limited
    failures: int = 0
    rate_per_s: float = 0.0  # this instance's part of the traffic when it began
    bucket: TokenBucket = field(default_factory=lambda: TokenBucket(0.0))


@dataclass(slots=True, eq=False, repr=False)
class EndpointGroup:
    """What shares one rate limit."""

    destination: Destination
    shared_circuit: CircuitBreaker | None
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    advertised_rate_per_s: float = 0.0  # this instance's part, 0 if none is known
    rate_limit_per_s: float = 0.0  # calls are paced to it, 0: they are not
    last_rejected_rate_per_s: float = 0.0
    bucket: TokenBucket = field(default_factory=TokenBucket)
    retry_after_until_us: int = 0
    rate_cut_until_us: int = 0  # one overload cuts the rate once until then
    rejection_rate: float = 0.0  # share of calls rejected for overload
    concurrency_window: float = 1.0
    in_flight: int = 0
    consecutive_rejections: int = 0
    latency_mean_us: float = 0.0
    latency_deviation_us: float = 0.0
    slot_occupancy_us: float = INITIAL_SLOT_OCCUPANCY_US  # of calls, also of failed ones
    slot_occupancy_at_us: int = 0
    success_rate_per_s: float = 0.0
    last_success_at_us: int = 0
    recovery: RecoveryBudget = field(default_factory=RecoveryBudget)

    def endpoints_in_use(self) -> int:
        """Endpoints that are ready and whose circuit is closed."""
        return sum(
            1 for e in self.endpoints.values() if e.state is EndpointState.READY and not e.circuit.open
        )


@dataclass(slots=True, eq=False, repr=False)
class Destination:
    """Where messages go: its endpoint groups and the messages that wait for it."""

    number: int
    type_index: int = 0
    groups: list[EndpointGroup] = field(default_factory=list)
    queue: list[Message] = field(default_factory=list)
    in_flight: int = 0
    arrivals: int = 0


@dataclass(slots=True, eq=False, repr=False)
class Call:
    """One call in flight; a batched one carries several messages."""

    endpoint: Endpoint
    sent_at_us: int
    endpoint_was_idle: bool  # no other call was in flight to the endpoint when it was sent
    open_attempts: int = 0
    outcome_recorded: bool = False  # it was entered into the statistics
    connection_idle_us: int = -1  # how long its connection had been idle, -1 for a new one
    require_new_connection: bool = False
    connection_limit_reached: bool = False  # rejected because the endpoint accepts no further connections


@dataclass(slots=True, eq=False, repr=False)
class Message:
    """A message that needs a final answer, or whose attempts are still in flight."""

    id: int
    message_class: MessageClass
    sequence: int
    order_key: int
    deadline_us: int
    submitted_at_us: int
    destination: Destination
    ready_at_us: int  # no attempt before
    attempts: int = 0
    in_flight: int = 0
    possibly_applied_at_us: int = -1
    possibly_applied_zone: int = -1
    last_endpoint: Endpoint | None = None
    closed: bool = False
    streaming: bool = False
    fast_retry: bool = False
    weight: float = 1.0
    restored: bool = False

    @classmethod
    def submitted(
        cls,
        event: MessageSubmitted,
        message_class: MessageClass,
        destination: Destination,
        sequence: int,
        now_us: int,
    ) -> Message:
        """A message as it was submitted."""
        return cls(
            id=event.message,
            message_class=message_class,
            sequence=sequence,
            order_key=event.order_key if message_class.ordered else 0,
            deadline_us=event.deadline_us,
            submitted_at_us=event.deadline_us - message_class.deadline_us,
            destination=destination,
            ready_at_us=now_us,
            attempts=event.attempts,
            possibly_applied_at_us=event.possibly_applied_at_us,
            possibly_applied_zone=event.possibly_applied_zone,
            restored=event.restored,
        )

    @property
    def restored_unattempted(self) -> bool:
        """Accepted before a restart and never attempted: it goes before what is new."""
        return self.restored and self.attempts == 0


@dataclass(slots=True, eq=False, repr=False)
class TenantQuota:
    """The instance's part of a tenant's quota."""

    rate_per_s: float
    bucket: TokenBucket


@dataclass(slots=True, eq=False, repr=False)
class ConnectionRates:
    """Shares of calls, on new connections and on reused ones."""

    new: float = 0.0
    reused: float = 0.0


@dataclass(slots=True, eq=False, repr=False)
class CallStatistics:
    """What the calls to all endpoints showed."""

    idle_reuse_limit_us: int  # idle connections are reused up to this age
    rejection_rates: list[float]  # by destination type
    lost_call_rate: float  # share of calls that are never answered though others are
    lost_idle_calls: int = 0  # calls lost on idle connections
    slot_occupancy_us: float = INITIAL_SLOT_OCCUPANCY_US
    connection_setup_us: float = 0.0  # what the first call on a new connection takes longer
    connection_setup_deviation_us: float = 0.0
    unanswered_rates: ConnectionRates = field(default_factory=ConnectionRates)
    reset_rates: ConnectionRates = field(default_factory=ConnectionRates)

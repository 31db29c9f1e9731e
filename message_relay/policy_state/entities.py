"""Messages, calls, endpoints, endpoint groups and destinations as the policy stores them.

Fields ending in ``_us`` are microseconds, fields ending in ``_per_s`` are rates per second. Points in time
are on the clock of ``DeliveryPolicy.handle``. A rate without a unit (``failure_rate``) is a share from 0 to 1
of recent calls, an exponentially weighted moving average (EWMA).

The rate limits, budgets and target rates stored here are those of this instance: its part of the limit that
all instances share.

The objects refer to one another. Therefore they are compared by identity, and no repr is generated for them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from message_relay.model import EndpointState, MessageClass, MessageSubmitted

INITIAL_SLOT_OCCUPANCY_US = 1e5  # assumed until the first call has ended
# Failure rate of a circuit that a Retry-After opened, because the destination stated that it is shut down.
SHUT_DOWN_FAILURE_RATE = 1.0


@dataclass(slots=True, eq=False, repr=False)
class TokenBucket:
    """Token bucket without a fixed rate: the caller passes the rate each time."""

    tokens: float = 1.0
    # Time up to which tokens were added; if it is in the future, none accrue until then.
    updated_at_us: int = 0

    def refill(self, now_us: int, rate_per_s: float, capacity: float = 1.0) -> float:
        """Add the tokens accrued since the last update, and return their number before it is capped."""
        tokens, elapsed_us = self.tokens, now_us - self.updated_at_us
        if elapsed_us > 0:
            tokens += rate_per_s * elapsed_us / 1e6
            self.updated_at_us = now_us
        self.tokens = tokens if tokens < capacity else capacity
        return tokens

    def wait_us(self, rate_per_s: float) -> int:
        """Return the microseconds from the last update until the bucket holds one token."""
        return int((1 - self.tokens) / rate_per_s * 1e6) + 1


@dataclass(slots=True, eq=False, repr=False)
class CircuitBreaker:
    """Circuit breaker of an endpoint, and the slow start that follows after it has closed.

    In a large fleet all endpoints of a group share one circuit breaker: most outages affect all of them, and
    a single endpoint gets too few calls of one instance to detect an outage from them alone.
    """

    failure_rate: float = 0.0  # share of failed calls
    open: bool = False  # only half-open attempts are sent
    half_open_call: Call | None = None  # the half-open attempt in flight
    half_open_at_us: int = 0  # no half-open attempt is sent before this time
    half_open_interval_us: int = 0  # upper bound of the randomized time between two half-open attempts
    slow_start_since_us: int = -1  # start of the slow start, -1 if there is none
    target_rate_per_s: float = 0.0  # rate of calls at the end of the slow start
    # Calls that the slow start allows now; in a large fleet also half-open attempts.
    bucket: TokenBucket = field(default_factory=TokenBucket)

    @property
    def opened_by_shutdown(self) -> bool:
        """Whether it is open since the destination stated that it is shut down."""
        return self.open and self.failure_rate >= SHUT_DOWN_FAILURE_RATE


@dataclass(slots=True, eq=False, repr=False)
class Endpoint:
    """An endpoint, its connections and the outcomes of its calls."""

    id: int  # the number that events and actions use for it
    group: EndpointGroup
    zone: int  # index of the zone
    # Random number from 0 to 1, the last criterion of the ranking. Without it, instances that rank endpoints
    # equally would all choose the same one.
    tie_breaker: float
    circuit: CircuitBreaker  # in a large fleet the same as EndpointGroup.shared_circuit
    state: EndpointState = EndpointState.READY  # according to the endpoint list
    cordoned: bool = False  # an operator excluded it from new calls
    in_flight: dict[int, Call] = field(default_factory=dict)  # by id(call), oldest call first
    # For each idle connection the time at which it became idle, oldest first.
    idle_connections_since_us: list[int] = field(default_factory=list)
    failure_rate: float = 0.0  # share of failed calls, used to rank endpoints
    # Share of calls that failed after the message may have been applied, as of ambiguous_failure_at_us. Its
    # decay since then is computed by outlier_detection.ambiguous_failure_rate.
    ambiguous_failure_rate: float = 0.0
    ambiguous_failure_at_us: int = 0  # last change of ambiguous_failure_rate
    last_success_at_us: int = 0  # 0: none
    last_failure_at_us: int = 0  # last failure other than a rejection, 0: none
    # Upper bound of calls in flight: the number of connections that were open when the endpoint accepted no
    # further one. It is raised again step by step. Infinity: no limit was observed.
    connection_limit: float = math.inf
    connection_limit_at_us: int = 0  # last change of connection_limit


@dataclass(slots=True, eq=False, repr=False)
class RecoveryBudget:
    """Limit on the calls to a group of which no endpoint responds, until a call to it succeeds.

    Used in small fleets only (``policy.recovery_budget``).
    """

    limited_since_us: int = -1  # start of the limit, -1 if there is none
    failures: int = 0  # failures since then
    initial_traffic_per_s: float = 0.0  # traffic share of the instance when the limit began
    bucket: TokenBucket = field(default_factory=lambda: TokenBucket(0.0))  # calls that are allowed now


@dataclass(slots=True, eq=False, repr=False)
class EndpointGroup:
    """Endpoints that share one rate limit, one Retry-After and one concurrency window.

    A group consists of all endpoints of a destination, or of a single one if
    DestinationType.independent_endpoints is set.
    """

    destination: Destination
    shared_circuit: CircuitBreaker | None  # in a large fleet: the circuit breaker of all its endpoints
    endpoints: dict[int, Endpoint] = field(default_factory=dict)  # by Endpoint.id
    advertised_rate_per_s: float = 0.0  # limit from the endpoint list or a load report, 0 if there is none
    rate_limit_per_s: float = 0.0  # rate of the token bucket, 0: calls are not rate limited
    last_rejected_rate_per_s: float = 0.0  # rate at the last rejection; near it the rate limit grows slowly
    bucket: TokenBucket = field(default_factory=TokenBucket)  # calls that the rate limit allows now
    retry_after_until_us: int = 0  # no call is sent before this time
    # End of the last Retry-After by which the destination stated that it is shut down, 0: none.
    shut_down_until_us: int = 0
    # The rate limit is not cut again before this time: rejections until then belong to the last overload.
    rate_cut_blocked_until_us: int = 0
    rejection_rate: float = 0.0  # share of calls rejected because of overload
    concurrency_window: float = 1.0  # upper bound of calls in flight, rounded down
    in_flight: int = 0  # calls in flight
    # Overloads since the last success, from which the backoff follows if there is no Retry-After.
    consecutive_overloads: int = 0
    latency_mean_us: float = 0.0  # of successful calls, 0 until there was one
    latency_deviation_us: float = 0.0  # mean deviation from latency_mean_us
    # Mean time for which a call uses a slot; failed calls count, rejected ones do not.
    slot_occupancy_us: float = INITIAL_SLOT_OCCUPANCY_US
    slot_occupancy_at_us: int = 0  # last change of slot_occupancy_us
    success_rate_per_s: float = 0.0  # recent successful calls per second
    last_success_at_us: int = 0  # 0: none
    recovery: RecoveryBudget = field(default_factory=RecoveryBudget)

    def count_ready_closed_circuits(self) -> int:
        """Return the number of endpoints that are ready and whose circuit is closed."""
        return sum(
            1 for e in self.endpoints.values() if e.state is EndpointState.READY and not e.circuit.open
        )


@dataclass(slots=True, eq=False, repr=False)
class Destination:
    """Receiver of messages: its endpoint groups and the messages that wait to be sent to it."""

    id: int  # the number that events use for it
    type_index: int = 0  # index in Settings.destination_types
    groups: list[EndpointGroup] = field(default_factory=list)
    queue: list[Message] = field(default_factory=list)  # open messages without an attempt in flight
    in_flight: int = 0  # calls in flight
    submitted_messages: int = 0  # messages submitted so far, from which its traffic is estimated


@dataclass(slots=True, eq=False, repr=False)
class Call:
    """A call in flight. It carries one attempt, or one for each message of a batch."""

    endpoint: Endpoint
    sent_at_us: int
    endpoint_was_idle: bool  # no other call to the endpoint was in flight when it was sent
    open_attempts: int = 0  # attempts of the call whose outcome was not reported yet
    outcome_recorded: bool = False  # its outcome was entered into the statistics
    connection_idle_us: int = -1  # how long its connection had been idle, -1 for a new one
    require_new_connection: bool = False  # it must not use an idle connection
    connection_limit_reached: bool = False  # rejected because the endpoint accepts no further connections

    @property
    def precedes_shutdown(self) -> bool:
        """Whether it was sent before its destination stated that it is shut down.

        No call is sent during that Retry-After, so one sent before its end was sent before its start.
        """
        return self.sent_at_us < self.endpoint.group.shut_down_until_us


@dataclass(slots=True, eq=False, repr=False)
class Message:
    """A message that needs a final answer, or whose attempts are still in flight."""

    id: int  # the number that events and actions use for it
    message_class: MessageClass
    sequence: int  # position in the order of submission
    order_key: int  # 0: none
    deadline_us: int
    # Nominal time of submission, from which the latency objective counts: deadline_us less the time that the
    # class allows until the deadline. A message with another lifetime was submitted at another time.
    submitted_at_us: int
    destination: Destination
    next_attempt_at_us: int  # no attempt starts before this time (backoff)
    attempts: int = 0  # attempts started, those before a restart included
    in_flight: int = 0  # attempts in flight
    possibly_applied_at_us: int = -1  # start of the first attempt that may have been applied, -1 if none
    possibly_applied_zone: int = -1  # zone of that attempt's endpoint, -1 if unknown
    last_endpoint: Endpoint | None = None  # endpoint of the last attempt
    closed: bool = False  # no final answer is needed any more; only outcomes of attempts are awaited
    response_started: bool = False  # the client receives a response: no further attempt, no expiry
    # Its first attempt failed fast: the next one needs no token of the recovery budget and, in a large fleet,
    # none of an open circuit.
    fast_retry_allowed: bool = False
    weight: float = 1.0  # class weight, reduced if the tenant is over its quota
    restored: bool = False  # accepted before a restart

    @classmethod
    def submitted(
        cls,
        event: MessageSubmitted,
        message_class: MessageClass,
        destination: Destination,
        sequence: int,
        now_us: int,
    ) -> Message:
        """Return the message that the event introduces; its weight is set by the caller."""
        return cls(
            id=event.message,
            message_class=message_class,
            sequence=sequence,
            order_key=event.order_key if message_class.ordered else 0,
            deadline_us=event.deadline_us,
            submitted_at_us=event.deadline_us - message_class.deadline_us,
            destination=destination,
            next_attempt_at_us=now_us,
            attempts=event.attempts,
            possibly_applied_at_us=event.possibly_applied_at_us,
            possibly_applied_zone=event.possibly_applied_zone,
            restored=event.restored,
        )

    @property
    def restored_unattempted(self) -> bool:
        """Whether it was accepted before a restart and never attempted: it is sent before newer messages."""
        return self.restored and self.attempts == 0


@dataclass(slots=True, eq=False, repr=False)
class TenantQuota:
    """Part of a tenant's quota that applies to this instance."""

    rate_per_s: float  # messages per second
    bucket: TokenBucket  # messages that the quota allows now


@dataclass(slots=True, eq=False, repr=False)
class ConnectionRates:
    """Share of calls with one kind of outcome, separately for new and for reused connections."""

    new: float = 0.0
    reused: float = 0.0


@dataclass(slots=True, eq=False, repr=False)
class CallStatistics:
    """Statistics over the calls to all endpoints."""

    idle_reuse_limit_us: int  # longest idle time after which a connection is still reused
    rejection_rate_by_type: list[float]  # share of calls rejected because of overload, by destination type
    lost_call_rate: float  # share of calls without a response from an endpoint that responds to other calls
    calls_lost_on_reuse: int = 0  # calls lost on reused connections since idle_reuse_limit_us was last raised
    # Mean time for which a call uses a slot; failed calls count, rejected ones do not.
    slot_occupancy_us: float = INITIAL_SLOT_OCCUPANCY_US
    connection_setup_us: float = 0.0  # mean extra latency of the first call on a connection, 0: not measured
    connection_setup_deviation_us: float = 0.0  # mean deviation from connection_setup_us
    timeout_rates: ConnectionRates = field(default_factory=ConnectionRates)  # calls that timed out
    reset_rates: ConnectionRates = field(default_factory=ConnectionRates)  # calls whose connection was reset

"""The state that the policy decides on: data and no decisions. Times are microseconds, rates are a second.

An endpoint group is what shares one rate limit: a destination, or one endpoint of it where the kind of
destination says that its endpoints are independent.
The objects refer to one another: they are compared by identity and have no repr of their own.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field

from message_relay.model import (
    Action,
    EndpointEntry,
    EndpointState,
    LogMessage,
    MessageClass,
    MessageSubmitted,
    SetTimer,
    Settings,
)

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
    probe_interval_us: int = 0  # between two half-open attempts
    slow_start_since_us: int = -1  # -1 when warm
    warm_rate_per_s: float = 0.0  # this instance's part of the rate once it is warm
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
    connection_limit: float = math.inf  # connections that its table took when it was full
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
    kind: int = 0
    groups: list[EndpointGroup] = field(default_factory=list)
    queue: list[Message] = field(default_factory=list)
    in_flight: int = 0
    arrivals: int = 0


@dataclass(slots=True, eq=False, repr=False)
class Call:
    """One call in flight; a batched one carries several messages."""

    endpoint: Endpoint
    sent_at_us: int
    only_call: bool  # no other call was in flight to the endpoint when it was sent
    open_attempts: int = 0
    judged: bool = False
    connection_idle_us: int = -1  # how long its connection had been idle, -1 for a new one
    require_new_connection: bool = False
    connection_table_full: bool = False  # rejected by a full table of connections


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
    def restored_untried(self) -> bool:
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
    rejection_rates: list[float]  # by kind of destination
    lost_call_rate: float  # share of calls that are never answered though others are
    lost_idle_calls: int = 0  # calls lost on idle connections
    slot_occupancy_us: float = INITIAL_SLOT_OCCUPANCY_US
    connection_setup_us: float = 0.0  # what the first call on a new connection takes longer
    connection_setup_deviation_us: float = 0.0
    unanswered_rates: ConnectionRates = field(default_factory=ConnectionRates)
    reset_rates: ConnectionRates = field(default_factory=ConnectionRates)


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds that the policy derives from the settings."""

    large_fleet: bool  # so many small instances that one's own calls say little
    max_attempts: int  # of one message, the first included
    destination_limit: int  # calls in flight to one destination
    margin_us: int  # kept free before a deadline
    min_lost_call_rate: float  # least share of calls taken as lost


class PolicyState:
    """Everything that one policy knows; its mechanisms share it."""

    def __init__(self, settings: Settings, seed: int, limits: Limits) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.turn_interval_us = settings.turn_interval_us
        self.large_fleet = limits.large_fleet
        self.max_attempts = limits.max_attempts
        self.destination_limit = limits.destination_limit
        self.margin_us = limits.margin_us
        self.min_lost_call_rate = limits.min_lost_call_rate
        self.now_us = 0
        self.started_at_us = -1
        self.shutdown_at_us: float = math.inf  # no call may last beyond it
        self.actions: list[Action] = []  # of this turn
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.messages: dict[int, Message] = {}
        self.calls: dict[tuple[int, int], tuple[Call, Message]] = {}  # by message and attempt
        self.in_flight = self.sequence = 0
        self.expiries: list[tuple[float, int]] = []
        self.timers: list[int] = []
        self.order_queues: dict[int, list[Message]] = {}  # by order key
        self.order_pauses: dict[int, int] = {}
        shares = [tenant.quota_per_s / settings.instance_count for tenant in settings.tenants]
        self.quotas = [TenantQuota(rate, TokenBucket()) for rate in shares]
        self.capacity_full = False
        self.unreturned_rejections = 0  # since one came back
        self.statistics = CallStatistics(
            settings.connection_idle_us, [0.0] * len(settings.kinds), limits.min_lost_call_rate
        )

    def log(self, text: str) -> None:
        """Have the server log a line."""
        self.actions.append(LogMessage(text))

    def wake(self, at_us: float) -> None:
        """Have a turn at that time, if none is due before."""
        at = max(int(at_us), self.now_us + self.turn_interval_us)
        if not self.timers or at < self.timers[0]:
            heapq.heappush(self.timers, at)
            self.actions.append(SetTimer(at - self.now_us, 0))

    def destination(self, number: int) -> Destination:
        """The destination of that number, new if nothing was known of it."""
        destination = self.destinations.get(number)
        if destination is None:
            destination = self.destinations[number] = Destination(number)
        return destination

    def schedule_expiry(self, at_us: float, message: Message) -> None:
        """Look at the message again at that time."""
        heapq.heappush(self.expiries, (at_us, message.id))

    def count_in_flight(self, call: Call, change: int) -> None:
        """One call more or less is in flight."""
        group = call.endpoint.group
        self.in_flight += change
        group.in_flight += change
        group.destination.in_flight += change

    def add_group(self, destination: Destination) -> EndpointGroup:
        """A new endpoint group of a destination."""
        group = EndpointGroup(destination, CircuitBreaker() if self.large_fleet else None)
        destination.groups.append(group)
        return group

    def add_endpoint(self, entry: EndpointEntry) -> Endpoint:
        """A new endpoint, in the group that its destination's kind says."""
        destination = self.destination(entry.destination)
        destination.kind = min(entry.kind, len(self.settings.kinds) - 1)
        if not destination.groups or self.settings.kinds[destination.kind].independent_endpoints:
            self.add_group(destination)
        group = destination.groups[-1]
        circuit = group.shared_circuit or CircuitBreaker()
        endpoint = Endpoint(entry.endpoint, group, entry.zone, self.random.random(), circuit)
        group.endpoints[endpoint.id] = self.endpoints[endpoint.id] = endpoint
        return endpoint

    def forget_if_unused(self, endpoint: Endpoint) -> None:
        """Drop an endpoint that was removed, once no call is in flight there: replacements would pile up."""
        if endpoint.state is not EndpointState.REMOVED or endpoint.in_flight:
            return
        group, groups = endpoint.group, endpoint.group.destination.groups
        if self.endpoints.get(endpoint.id) is endpoint:
            del self.endpoints[endpoint.id]
        group.endpoints.pop(endpoint.id, None)
        if not group.endpoints and len(groups) > 1 and group in groups:
            groups.remove(group)

    def add_message(self, message: Message) -> None:
        """A message is open and waits."""
        self.messages[message.id] = message
        message.destination.queue.append(message)
        if message.order_key:
            self.order_queues.setdefault(message.order_key, []).append(message)

    def start_attempt(self, message: Message, call: Call) -> None:
        """The message's next attempt is part of that call."""
        message.destination.queue.remove(message)
        self.calls[(message.id, message.attempts)] = (call, message)
        call.open_attempts += 1
        message.attempts += 1
        message.in_flight += 1
        message.last_endpoint = call.endpoint

    def close_message(self, message: Message) -> None:
        """Nothing more is owed for the message; it is forgotten with its last attempt."""
        if not message.closed:
            message.closed = True
            if message in message.destination.queue:
                message.destination.queue.remove(message)
        if message.in_flight:
            return
        self.messages.pop(message.id, None)
        queue = self.order_queues.get(message.order_key, []) if message.order_key else []
        if message in queue:
            queue.remove(message)
            if not queue:
                del self.order_queues[message.order_key]

"""Settings of one relay instance: message classes, destination types, tenants, limits.

Fields ending in ``_us`` are microseconds, fields ending in ``_per_s`` are rates per second. A constructor
raises ValueError with the name of the field, the expected range and the value if a value is out of range.

A field that is said to be unused is accepted from the configuration, but does not affect DeliveryPolicy.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from message_relay.model.enums import Idempotency, KeyScope


def _require(condition: bool, field: str, expected: str, value: object) -> None:
    if not condition:
        raise ValueError(f"{field}: must be {expected}, not {value!r:.100}")


def _require_non_negative_times(settings: MessageClass | Settings, prefix: str) -> None:
    for field in fields(settings):
        if field.name.endswith("_us"):
            value = getattr(settings, field.name)
            _require(value >= 0, f"{prefix}{field.name}", "0 or more microseconds", value)


@dataclass(frozen=True, slots=True)
class MessageClass:
    """Delivery requirements that the messages of one class share.

    The policy first sends the messages whose weight would fall most while they wait. A message has its full
    weight until its latency objective, a falling one from then on (see
    Settings.late_weight_decays_exponentially), and none from its deadline on.
    """

    name: str
    latency_objective_us: int  # time from submission to delivery that a message should not exceed
    deadline_us: int  # time from submission until the message must have its final answer
    idempotency: Idempotency = Idempotency.IDEMPOTENT  # whether an attempt may be repeated
    priority_weight: float = 1.0  # full weight of a message, relative to the other classes
    late_weight_share: float = 0.0  # share of the full weight that is left at the deadline, 0 to 1
    key_scope: KeyScope = KeyScope.ALL  # KEYED only: endpoints that recognize an idempotency key
    key_window_us: int = 0  # KEYED only: time for which endpoints recognize a key after its first delivery
    ordered: bool = False  # deliver messages with the same order key one at a time, in order of submission

    def __post_init__(self) -> None:
        prefix = f"classes.{self.name}."
        _require_non_negative_times(self, prefix)
        _require(
            self.latency_objective_us > 0,
            prefix + "latency_objective_us",
            "above 0",
            self.latency_objective_us,
        )
        _require(
            self.deadline_us >= self.latency_objective_us,
            prefix + "deadline_us",
            "at least latency_objective_us",
            self.deadline_us,
        )
        _require(
            isinstance(self.idempotency, Idempotency),
            prefix + "idempotency",
            "an Idempotency",
            self.idempotency,
        )
        _require(self.priority_weight >= 0, prefix + "priority_weight", "0 or more", self.priority_weight)
        _require(
            0 <= self.late_weight_share <= 1,
            prefix + "late_weight_share",
            "from 0 to 1",
            self.late_weight_share,
        )
        _require(
            isinstance(self.key_scope, KeyScope), prefix + "key_scope", "all, zone or cell", self.key_scope
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer with a quota. Messages over the quota are accepted, but with a lower weight."""

    name: str
    share: float  # share of the capacity of the fleet, 0 to 1; unused
    quota_per_s: float  # messages per second, at all instances together; each grants an equal part of it

    def __post_init__(self) -> None:
        _require(0 <= self.share <= 1, f"tenants.{self.name}.share", "from 0 to 1", self.share)
        _require(self.quota_per_s >= 0, f"tenants.{self.name}.quota_per_s", "0 or more", self.quota_per_s)


@dataclass(frozen=True, slots=True)
class DestinationType:
    """Properties that the destinations of one type share."""

    name: str
    # Each endpoint has a separate rate limit, Retry-After and outages: it is an endpoint group by itself.
    # False: all endpoints of a destination form one group.
    independent_endpoints: bool = False
    max_batch_size: int = 1  # upper bound of messages in one call to an endpoint; 1: no batches

    def __post_init__(self) -> None:
        _require(
            self.max_batch_size >= 1,
            f"destination_types.{self.name}.max_batch_size",
            "1 or more",
            self.max_batch_size,
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one instance."""

    classes: tuple[MessageClass, ...]  # MessageSubmitted.message_class is an index in it
    call_slots: int  # upper bound of calls in flight, over all destinations
    max_open_messages: int  # upper bound of messages without a final answer, waiting or in flight
    # EndpointEntry.type_index is an index in it.
    destination_types: tuple[DestinationType, ...] = (DestinationType("any"),)
    tenants: tuple[Tenant, ...] = ()  # MessageSubmitted.tenant is an index in it
    instance_count: int = 1  # number of instances among which the traffic is distributed
    instance_index: int = 0  # number of this instance, from 0; unused
    max_attempts: int = 3  # upper bound of attempts of a message, the first included
    hedging_allowed: bool = False  # two attempts of a message may be in flight at once; unused
    health_checks_allowed: bool = False  # CheckEndpointHealth may be used; unused
    cancellation_allowed: bool = False  # CancelAttempt may be used; unused
    gossip_allowed: bool = False  # SendGossip may be used; unused
    tick_interval_us: int = 1000  # minimum time between two ticks
    max_retry_after_us: int = 0  # longest Retry-After that clients honor; 0: no Retry-After is given to them
    clients_mark_retries: bool = False  # clients mark resubmissions: MessageSubmitted.resubmitted is reported
    connection_idle_timeout_us: int = 10_000_000  # idle time after which endpoints close a connection
    connect_timeout_us: int = 1_000_000  # time-out for establishing a connection, and for a health check
    drain_grace_us: int = 0  # time for which an endpoint still accepts calls once it is draining; unused
    slow_start_share: float = 0.1  # share of its capacity that a recovering destination has at first
    slow_start_us: int = 10_000_000  # time until it has its full capacity
    # A recovering destination fails again if it gets more than overload_factor times its present capacity for
    # overload_window_us.
    overload_factor: float = 2.0
    overload_window_us: int = 1_000_000
    # After an ambiguous failure, time before another message with the same order key is first attempted.
    order_key_pause_us: int = 0
    answer_slack_us: int = 0  # unused
    # The caller receives the endpoint list only while it has a subscription (SubscribeEndpointList).
    endpoint_list_requires_subscription: bool = False
    rate_limits_advertised: bool = False  # EndpointEntry.rate_limit_per_s is a limit; False: it is ignored
    load_report_fields: tuple[str, ...] = ()  # names of LoadReportReceived.values, in the same order
    over_quota_weight: float = 1.0  # multiplies the weight of messages over a tenant's quota, 0 to 1
    # Weight of a message after its latency objective. True: it halves per further objective, down to
    # late_weight_share. False: it falls linearly to late_weight_share at the deadline.
    late_weight_decays_exponentially: bool = False
    # Relative cost of a call to an endpoint of each zone, by zone index; 0 for zones beyond the last. Among
    # otherwise equal endpoints the policy prefers the cheaper one.
    zone_costs: tuple[float, ...] = ()
    # Cost of a call that is rejected over a rate limit, as a share of a message's weight. If it is not 0,
    # token buckets allow shorter bursts.
    rejected_call_cost: float = 0.0

    def __post_init__(self) -> None:
        _require_non_negative_times(self, "")
        _require(len(self.classes) > 0, "classes", "at least one class", self.classes)
        _require(
            len(self.destination_types) > 0,
            "destination_types",
            "at least one destination type",
            self.destination_types,
        )
        at_least_one = (
            "call_slots",
            "max_open_messages",
            "instance_count",
            "max_attempts",
            "tick_interval_us",
        )
        for name in at_least_one:
            value = getattr(self, name)
            _require(value >= 1, name, "1 or more", value)
        index_valid = 0 <= self.instance_index < self.instance_count
        _require(
            index_valid, "instance_index", "at least 0 and less than instance_count", self.instance_index
        )
        _require(
            0 < self.slow_start_share <= 1, "slow_start_share", "above 0 and at most 1", self.slow_start_share
        )
        _require(self.overload_factor > 0, "overload_factor", "above 0", self.overload_factor)
        _require(0 <= self.over_quota_weight <= 1, "over_quota_weight", "from 0 to 1", self.over_quota_weight)

"""Settings of one relay instance: message classes, destination types, tenants, limits.

Times ending in ``_us`` are microseconds, rates ending in ``_per_s`` are a second. A value out of its range
raises ``ValueError`` with the name of the field and what is allowed.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from message_relay.model.enums import Idempotency, KeyScope


def _require(condition: bool, field: str, allowed: str) -> None:
    if not condition:
        raise ValueError(f"{field}: must be {allowed}")


def _require_times(owner: MessageClass | Settings, prefix: str) -> None:
    for field in fields(owner):
        if field.name.endswith("_us"):
            _require(getattr(owner, field.name) >= 0, f"{prefix}{field.name}", "0 or more microseconds")


@dataclass(frozen=True, slots=True)
class MessageClass:
    """What the messages of one class are worth, and how often one may be delivered."""

    name: str
    latency_objective_us: int  # delivered within this time, a message has its full weight
    deadline_us: int  # and within this time, a part of it
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    priority_weight: float = 1.0
    late_weight_share: float = 0.0  # share of the weight that is left at the deadline
    key_scope: KeyScope = KeyScope.ALL  # of a KEYED class
    key_window_us: int = 0  # of a KEYED class: how long the endpoints remember a key
    ordered: bool = False  # messages with the same order key are delivered one at a time

    def __post_init__(self) -> None:
        prefix = f"classes.{self.name}."
        _require_times(self, prefix)
        _require(self.latency_objective_us > 0, prefix + "latency_objective_us", "above 0")
        _require(
            self.deadline_us >= self.latency_objective_us,
            prefix + "deadline_us",
            "at least latency_objective_us",
        )
        _require(isinstance(self.idempotency, Idempotency), prefix + "idempotency", "an Idempotency")
        _require(self.priority_weight >= 0, prefix + "priority_weight", "0 or more")
        _require(0 <= self.late_weight_share <= 1, prefix + "late_weight_share", "from 0 to 1")
        _require(isinstance(self.key_scope, KeyScope), prefix + "key_scope", "all, zone or cell")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer; its traffic within the quota counts in full."""

    name: str
    share: float  # of what the fleet can deliver
    quota_per_s: float  # messages of all instances together

    def __post_init__(self) -> None:
        _require(0 <= self.share <= 1, f"tenants.{self.name}.share", "from 0 to 1")
        _require(self.quota_per_s >= 0, f"tenants.{self.name}.quota_per_s", "0 or more")


@dataclass(frozen=True, slots=True)
class DestinationType:
    """What destinations of one type have in common."""

    name: str
    independent_endpoints: bool = False  # each endpoint has a rate limit, Retry-After and outages of its own
    max_batch_size: int = 1  # messages of one tick to one endpoint that may travel as one call

    def __post_init__(self) -> None:
        _require(self.max_batch_size >= 1, f"destination_types.{self.name}.max_batch_size", "1 or more")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one instance."""

    classes: tuple[MessageClass, ...]
    call_slots: int  # calls that may be in flight at once
    max_open_messages: int  # messages that may be open at once, sent or not
    destination_types: tuple[DestinationType, ...] = (DestinationType("any"),)
    tenants: tuple[Tenant, ...] = ()
    instance_count: int = 1  # instances that share the traffic
    instance_index: int = 0
    max_attempts: int = 3
    hedging_allowed: bool = False  # two attempts of one message may be in flight at once
    health_checks_allowed: bool = False
    cancellation_allowed: bool = False
    gossip_allowed: bool = False
    tick_interval_us: int = 1000  # least time between two ticks
    max_retry_after_us: int = 0  # longest Retry-After that clients heed; 0: they get none
    clients_mark_retries: bool = False  # MessageSubmitted.resubmitted is filled in
    connection_idle_timeout_us: int = 10_000_000  # endpoints close a connection that was idle for so long
    connect_timeout_us: int = 1_000_000
    drain_grace_us: int = 0  # an endpoint accepts calls for so long after it began to drain
    slow_start_share: float = 0.1  # share of its capacity that a recovering destination has at first
    slow_start_us: int = 10_000_000  # after this time it has all of it
    overload_factor: float = 2.0  # more than this multiple of its present capacity,
    overload_window_us: int = 1_000_000  # for this long, takes a recovering destination down again
    order_key_pause_us: int = 0  # between an ambiguous failure and the next message of an order key
    answer_slack_us: int = 0
    endpoint_list_requires_subscription: bool = False  # the list comes only to those that subscribe to it
    rate_limits_advertised: bool = False  # EndpointEntry.rate_limit_per_s means something
    load_report_fields: tuple[str, ...] = ()  # names of LoadReportReceived.values, in order
    over_quota_weight: float = 1.0  # multiplies the weight of traffic over a tenant's quota
    late_weight_decays_exponentially: bool = False  # it halves with each further objective, not evenly
    zone_costs: tuple[float, ...] = ()
    rejected_call_cost: float = 0.0  # of a call over a limit, as a share of a message's weight

    def __post_init__(self) -> None:
        _require_times(self, "")
        _require(len(self.classes) > 0, "classes", "at least one class")
        _require(len(self.destination_types) > 0, "destination_types", "at least one destination type")
        at_least_one = (
            "call_slots",
            "max_open_messages",
            "instance_count",
            "max_attempts",
            "tick_interval_us",
        )
        for name in at_least_one:
            _require(getattr(self, name) >= 1, name, "1 or more")
        index_known = 0 <= self.instance_index < self.instance_count
        _require(index_known, "instance_index", "from 0 to under instance_count")
        _require(0 < self.slow_start_share <= 1, "slow_start_share", "above 0 and at most 1")
        _require(self.overload_factor > 0, "overload_factor", "above 0")
        _require(0 <= self.over_quota_weight <= 1, "over_quota_weight", "from 0 to 1")

"""The snapshot of a policy, as typed data and as the map that goes over the wire."""

from __future__ import annotations

from typing import Any, NamedTuple

from message_relay.policy_snapshot.values import Values
from message_relay.policy_state import CallStatistics, ConnectionRates, TenantQuota, TokenBucket


class InstanceSnapshot(NamedTuple):
    """What concerns the whole instance: counters, quotas and call statistics."""

    sequence: int
    rejections_since_resubmission: int
    capacity_full: bool
    quotas: list[TenantQuota]
    started_at_us: int
    statistics: CallStatistics

    def instance_values(self) -> Values:
        """In the order of the wire: the counters."""
        quotas = [[q.rate_per_s, q.bucket.tokens, q.bucket.updated_at_us] for q in self.quotas]
        return [self.sequence, self.rejections_since_resubmission, self.capacity_full, quotas]

    def statistics_values(self) -> Values:
        """In the order of the wire: the statistics."""
        s = self.statistics
        return [
            self.started_at_us,
            s.idle_reuse_limit_us,
            s.rejection_rates,
            s.lost_idle_calls,
            s.slot_occupancy_us,
            s.lost_call_rate,
            s.connection_setup_us,
            s.connection_setup_deviation_us,
            [s.unanswered_rates.new, s.unanswered_rates.reused],
            [s.reset_rates.new, s.reset_rates.reused],
        ]

    @classmethod
    def from_values(cls, instance: Values, statistics: Values) -> InstanceSnapshot:
        """The reverse of the two."""
        sequence, rejections_since_resubmission, capacity_full, quotas = instance
        started_at_us, reuse_us, rejections, lost_idle, occupancy, lost, setup, deviation, silent, reset = (
            statistics
        )
        return cls(
            sequence,
            rejections_since_resubmission,
            capacity_full,
            [TenantQuota(rate, TokenBucket(tokens, at_us)) for rate, tokens, at_us in quotas],
            started_at_us,
            CallStatistics(
                idle_reuse_limit_us=reuse_us,
                rejection_rates=rejections,
                lost_idle_calls=lost_idle,
                slot_occupancy_us=occupancy,
                lost_call_rate=lost,
                connection_setup_us=setup,
                connection_setup_deviation_us=deviation,
                unanswered_rates=ConnectionRates(*silent),
                reset_rates=ConnectionRates(*reset),
            ),
        )


class GroupSnapshot(NamedTuple):
    """An endpoint group: its endpoints' numbers and its values."""

    endpoints: list[int]
    values: Values


class DestinationSnapshot(NamedTuple):
    """A destination and its groups."""

    number: int
    type_index: int
    arrivals: int
    groups: list[GroupSnapshot]


class EndpointSnapshot(NamedTuple):
    """An endpoint and its circuit breaker."""

    id: int
    destination: int
    zone: int
    values: Values
    circuit: Values


class MessageSnapshot(NamedTuple):
    """A message; last_endpoint is -1 if it was never attempted."""

    id: int
    message_class: int
    destination: int
    deadline_us: int
    last_endpoint: int
    values: Values


class CallSnapshot(NamedTuple):
    """A call in flight with its attempts, each as (message, attempt)."""

    endpoint: int
    half_open: bool
    values: Values
    attempts: list[tuple[int, int]]


class PolicySnapshot(NamedTuple):
    """All that the policy of a new process needs to go on as if it were this one."""

    attempts: dict[int, int]  # by message
    instance: InstanceSnapshot
    destinations: list[DestinationSnapshot]
    endpoints: list[EndpointSnapshot]
    messages: list[MessageSnapshot]
    calls: list[CallSnapshot]

    def to_wire(self) -> dict[str, Any]:
        """The map that goes to the new process."""
        return {
            "tries": self.attempts,
            "courier": self.instance.instance_values(),
            "health": self.instance.statistics_values(),
            "dests": [
                [d.number, d.type_index, d.arrivals, [[g.endpoints, g.values] for g in d.groups]]
                for d in self.destinations
            ],
            "endpoints": [[e.id, e.destination, e.zone, e.values, e.circuit] for e in self.endpoints],
            "messages": [
                [m.id, m.message_class, m.destination, m.deadline_us, m.last_endpoint, m.values]
                for m in self.messages
            ],
            "calls": [[c.endpoint, c.half_open, c.values, c.attempts] for c in self.calls],
        }

    @classmethod
    def from_wire(cls, wire: dict[str, Any]) -> PolicySnapshot:
        """The reverse. LookupError, TypeError or ValueError if something lacks or is of another form."""
        return cls(
            attempts=wire["tries"],
            instance=InstanceSnapshot.from_values(wire["courier"], wire["health"]),
            destinations=[
                DestinationSnapshot(number, type_index, arrivals, [GroupSnapshot(*group) for group in groups])
                for number, type_index, arrivals, groups in wire["dests"]
            ],
            endpoints=[EndpointSnapshot(*values) for values in wire["endpoints"]],
            messages=[MessageSnapshot(*values) for values in wire["messages"]],
            calls=[
                CallSnapshot(
                    endpoint, half_open, values, [(message, attempt) for message, attempt in attempts]
                )
                for endpoint, half_open, values, attempts in wire["calls"]
            ],
        )

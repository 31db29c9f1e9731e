"""Snapshot of a policy, as typed data and as the map that is sent to the new process."""

from __future__ import annotations

from typing import Any, NamedTuple

from message_relay.policy_snapshot.values import Values
from message_relay.policy_state import CallStatistics, ConnectionRates, TenantQuota, TokenBucket


class InstanceSnapshot(NamedTuple):
    """State of the instance that belongs to no destination or message. Fields as in PolicyState."""

    last_sequence: int
    rejections_since_resubmission: int
    capacity_reached_logged: bool
    quotas: list[TenantQuota]
    started_at_us: int
    statistics: CallStatistics

    def instance_values(self) -> Values:
        """Return all values but the start time and the statistics, in the order in which they are sent."""
        quotas = [
            [quota.rate_per_s, quota.bucket.tokens, quota.bucket.updated_at_us] for quota in self.quotas
        ]
        return [self.last_sequence, self.rejections_since_resubmission, self.capacity_reached_logged, quotas]

    def statistics_values(self) -> Values:
        """Return the start time and the statistics, in the order in which they are sent."""
        statistics = self.statistics
        return [
            self.started_at_us,
            statistics.idle_reuse_limit_us,
            statistics.rejection_rate_by_type,
            statistics.calls_lost_on_reuse,
            statistics.slot_occupancy_us,
            statistics.lost_call_rate,
            statistics.connection_setup_us,
            statistics.connection_setup_deviation_us,
            [statistics.timeout_rates.new, statistics.timeout_rates.reused],
            [statistics.reset_rates.new, statistics.reset_rates.reused],
        ]

    @classmethod
    def from_values(cls, instance: Values, statistics: Values) -> InstanceSnapshot:
        """Return the snapshot from the lists that instance_values and statistics_values returned."""
        last_sequence, rejections_since_resubmission, capacity_reached_logged, quotas = instance
        (
            started_at_us,
            idle_reuse_limit_us,
            rejection_rate_by_type,
            calls_lost_on_reuse,
            slot_occupancy_us,
            lost_call_rate,
            connection_setup_us,
            connection_setup_deviation_us,
            timeout_rates,
            reset_rates,
        ) = statistics
        return cls(
            last_sequence,
            rejections_since_resubmission,
            capacity_reached_logged,
            [TenantQuota(rate, TokenBucket(tokens, at_us)) for rate, tokens, at_us in quotas],
            started_at_us,
            CallStatistics(
                idle_reuse_limit_us=idle_reuse_limit_us,
                rejection_rate_by_type=rejection_rate_by_type,
                calls_lost_on_reuse=calls_lost_on_reuse,
                slot_occupancy_us=slot_occupancy_us,
                lost_call_rate=lost_call_rate,
                connection_setup_us=connection_setup_us,
                connection_setup_deviation_us=connection_setup_deviation_us,
                timeout_rates=ConnectionRates(*timeout_rates),
                reset_rates=ConnectionRates(*reset_rates),
            ),
        )


class GroupSnapshot(NamedTuple):
    """An endpoint group."""

    endpoints: list[int]  # numbers of its endpoints
    values: Values  # group_values


class DestinationSnapshot(NamedTuple):
    """A destination with its endpoint groups. Fields as in Destination."""

    id: int
    type_index: int
    submitted_messages: int
    groups: list[GroupSnapshot]


class EndpointSnapshot(NamedTuple):
    """An endpoint with its circuit breaker."""

    id: int
    destination: int  # number of the destination
    zone: int
    values: Values  # endpoint_values
    circuit: Values  # circuit_values


class MessageSnapshot(NamedTuple):
    """A message that is open or has attempts in flight."""

    id: int
    message_class: int  # index in Settings.classes
    destination: int  # number of the destination
    deadline_us: int
    last_endpoint: int  # number of the endpoint of the last attempt, -1 if there was none
    values: Values  # message_values


class CallSnapshot(NamedTuple):
    """A call in flight."""

    endpoint: int  # number of the endpoint
    half_open: bool  # it is the half-open attempt of its circuit breaker
    values: Values  # call_values
    attempts: list[tuple[int, int]]  # number of the message, number of the attempt


class PolicySnapshot(NamedTuple):
    """State of a policy, from which the policy of another process continues.

    Order pauses, idle connections and the state of the random number generator are not included. Endpoint
    numbers are those of the process that captured the snapshot.
    """

    attempts: dict[int, int]  # number of attempts started, by message
    instance: InstanceSnapshot
    destinations: list[DestinationSnapshot]
    endpoints: list[EndpointSnapshot]
    messages: list[MessageSnapshot]
    calls: list[CallSnapshot]

    def to_wire(self) -> dict[str, Any]:
        """Return the map that is sent to the new process."""
        return {
            "tries": self.attempts,
            "courier": self.instance.instance_values(),
            "health": self.instance.statistics_values(),
            "dests": [
                [
                    destination.id,
                    destination.type_index,
                    destination.submitted_messages,
                    [[group.endpoints, group.values] for group in destination.groups],
                ]
                for destination in self.destinations
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
        """Return the snapshot from the map that to_wire returned.

        Raises LookupError, TypeError or ValueError if a part is missing or has another form.
        """
        return cls(
            attempts=wire["tries"],
            instance=InstanceSnapshot.from_values(wire["courier"], wire["health"]),
            destinations=[
                DestinationSnapshot(
                    number, type_index, submitted_messages, [GroupSnapshot(*group) for group in groups]
                )
                for number, type_index, submitted_messages, groups in wire["dests"]
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

"""The policy's state for a hot restart, as typed data and as the values that go over the wire.

The wire form is a map of lists whose values stand in a fixed order (version 3 of the hot restart): an earlier
build writes and reads the same. Times stay on the clock that both processes share.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from message_relay.model import EndpointEntry, EndpointState, MessageSubmitted
from message_relay.policy_state import (
    Call,
    CallStatistics,
    CircuitBreaker,
    ConnectionRates,
    Endpoint,
    EndpointGroup,
    Message,
    PolicyState,
    TenantQuota,
    TokenBucket,
)

Values = list[Any]  # as they come from the wire


class InstanceSnapshot(NamedTuple):
    """What concerns the whole instance: counters, quotas and call statistics."""

    sequence: int
    unreturned_rejections: int
    capacity_full: bool
    quotas: list[TenantQuota]
    started_at_us: int
    statistics: CallStatistics

    def instance_values(self) -> Values:
        """In the order of the wire: the counters."""
        quotas = [[q.rate_per_s, q.bucket.tokens, q.bucket.updated_at_us] for q in self.quotas]
        return [self.sequence, self.unreturned_rejections, self.capacity_full, quotas]

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
        sequence, unreturned_rejections, capacity_full, quotas = instance
        started_at_us, reuse_us, rejections, lost_idle, occupancy, lost, setup, deviation, silent, reset = (
            statistics
        )
        return cls(
            sequence,
            unreturned_rejections,
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


def _group_values(group: EndpointGroup) -> Values:
    recovery = group.recovery
    return [
        group.advertised_rate_per_s,
        group.rate_limit_per_s,
        group.last_rejected_rate_per_s,
        group.bucket.tokens,
        group.bucket.updated_at_us,
        group.retry_after_until_us,
        group.rate_cut_until_us,
        group.rejection_rate,
        group.concurrency_window,
        group.consecutive_rejections,
        group.latency_mean_us,
        group.latency_deviation_us,
        group.slot_occupancy_us,
        group.slot_occupancy_at_us,
        group.success_rate_per_s,
        group.last_success_at_us,
        recovery.since_us,
        recovery.failures,
        recovery.rate_per_s,
        recovery.bucket.tokens,
        recovery.bucket.updated_at_us,
    ]


def _restore_group(group: EndpointGroup, values: Values) -> None:
    recovery = group.recovery
    (
        group.advertised_rate_per_s,
        group.rate_limit_per_s,
        group.last_rejected_rate_per_s,
        group.bucket.tokens,
        group.bucket.updated_at_us,
        group.retry_after_until_us,
        group.rate_cut_until_us,
        group.rejection_rate,
        group.concurrency_window,
        group.consecutive_rejections,
        group.latency_mean_us,
        group.latency_deviation_us,
        group.slot_occupancy_us,
        group.slot_occupancy_at_us,
        group.success_rate_per_s,
        group.last_success_at_us,
        recovery.since_us,
        recovery.failures,
        recovery.rate_per_s,
        recovery.bucket.tokens,
        recovery.bucket.updated_at_us,
    ) = values


def _endpoint_values(endpoint: Endpoint) -> Values:
    return [
        endpoint.cordoned,
        endpoint.failure_rate,
        endpoint.ambiguous_failure_rate,
        endpoint.ambiguous_failure_at_us,
        endpoint.last_success_at_us,
        endpoint.last_failure_at_us,
        endpoint.connection_limit,
        endpoint.connection_limit_at_us,
    ]


def _restore_endpoint(endpoint: Endpoint, values: Values) -> None:
    (
        endpoint.cordoned,
        endpoint.failure_rate,
        endpoint.ambiguous_failure_rate,
        endpoint.ambiguous_failure_at_us,
        endpoint.last_success_at_us,
        endpoint.last_failure_at_us,
        endpoint.connection_limit,
        endpoint.connection_limit_at_us,
    ) = values


def _circuit_values(circuit: CircuitBreaker) -> Values:
    return [
        circuit.failure_rate,
        circuit.open,
        circuit.half_open_at_us,
        circuit.probe_interval_us,
        circuit.slow_start_since_us,
        circuit.warm_rate_per_s,
        circuit.bucket.tokens,
        circuit.bucket.updated_at_us,
    ]


def _restore_circuit(circuit: CircuitBreaker, values: Values) -> None:
    (
        circuit.failure_rate,
        circuit.open,
        circuit.half_open_at_us,
        circuit.probe_interval_us,
        circuit.slow_start_since_us,
        circuit.warm_rate_per_s,
        circuit.bucket.tokens,
        circuit.bucket.updated_at_us,
    ) = values


def _call_values(call: Call) -> Values:
    return [
        call.sent_at_us,
        call.judged,
        call.connection_idle_us,
        call.only_call,
        call.require_new_connection,
        call.connection_table_full,
    ]


def _message_values(message: Message) -> Values:
    return [
        message.sequence,
        message.order_key,
        message.attempts,
        message.possibly_applied_at_us,
        message.possibly_applied_zone,
        message.ready_at_us,
        message.closed,
        message.streaming,
        message.fast_retry,
        message.weight,
        message.restored,
    ]


def _restore_message(message: Message, values: Values) -> None:
    (
        message.sequence,
        message.order_key,
        message.attempts,
        message.possibly_applied_at_us,
        message.possibly_applied_zone,
        message.ready_at_us,
        message.closed,
        message.streaming,
        message.fast_retry,
        message.weight,
        message.restored,
    ) = values


class GroupSnapshot(NamedTuple):
    """An endpoint group: its endpoints' numbers and its values."""

    endpoints: list[int]
    values: Values


class DestinationSnapshot(NamedTuple):
    """A destination and its groups."""

    number: int
    kind: int
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
                [d.number, d.kind, d.arrivals, [[g.endpoints, g.values] for g in d.groups]]
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
                DestinationSnapshot(number, kind, arrivals, [GroupSnapshot(*group) for group in groups])
                for number, kind, arrivals, groups in wire["dests"]
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


def capture(state: PolicyState) -> PolicySnapshot:
    """The state as it is now."""
    calls: dict[int, tuple[Call, list[tuple[int, int]]]] = {}
    for attempt, (call, _) in state.calls.items():
        calls.setdefault(id(call), (call, []))[1].append(attempt)
    return PolicySnapshot(
        attempts={message.id: message.attempts for message in state.messages.values()},
        instance=InstanceSnapshot(
            state.sequence,
            state.unreturned_rejections,
            state.capacity_full,
            state.quotas,
            state.started_at_us,
            state.statistics,
        ),
        destinations=[
            DestinationSnapshot(
                destination.number,
                destination.kind,
                destination.arrivals,
                [GroupSnapshot(list(group.endpoints), _group_values(group)) for group in destination.groups],
            )
            for destination in state.destinations.values()
        ],
        endpoints=[
            EndpointSnapshot(
                endpoint.id,
                endpoint.group.destination.number,
                endpoint.zone,
                _endpoint_values(endpoint),
                _circuit_values(endpoint.circuit),
            )
            for endpoint in state.endpoints.values()
        ],
        messages=[
            MessageSnapshot(
                message.id,
                state.settings.classes.index(message.message_class),
                message.destination.number,
                message.deadline_us,
                message.last_endpoint.id if message.last_endpoint else -1,
                _message_values(message),
            )
            for message in state.messages.values()
        ],
        calls=[
            CallSnapshot(
                call.endpoint.id, call.endpoint.circuit.half_open_call is call, _call_values(call), attempts
            )
            for call, attempts in calls.values()
        ],
    )


def restore(state: PolicyState, snapshot: PolicySnapshot, endpoints: dict[int, int]) -> None:
    """Go on with what another process began. ``endpoints`` maps its endpoint numbers to those of this one."""
    _restore_instance(state, snapshot.instance)
    kinds = {d.number: min(d.kind, len(state.settings.kinds) - 1) for d in snapshot.destinations}
    _restore_endpoints(state, snapshot, endpoints, kinds)
    for destination in snapshot.destinations:
        _restore_destination(state, destination, endpoints, kinds[destination.number])
    for message in snapshot.messages:
        _restore_one_message(state, message, endpoints)
    for call in snapshot.calls:
        _restore_call(state, call, endpoints)
    for open_message in state.messages.values():
        if not open_message.closed and not open_message.in_flight:
            open_message.destination.queue.append(open_message)


def _restore_instance(state: PolicyState, instance: InstanceSnapshot) -> None:
    state.sequence = instance.sequence
    state.unreturned_rejections = instance.unreturned_rejections
    state.capacity_full = instance.capacity_full
    state.quotas = instance.quotas
    state.started_at_us = instance.started_at_us
    state.statistics = instance.statistics


def _restore_endpoints(
    state: PolicyState, snapshot: PolicySnapshot, endpoints: dict[int, int], kinds: dict[int, int]
) -> None:
    busy = {call.endpoint for call in snapshot.calls}
    for own in snapshot.endpoints:
        endpoint = state.endpoints.get(endpoints[own.id])
        if endpoint is None and own.id in busy:  # listed no more, but a call is still in flight there
            kind, removed = kinds[own.destination], EndpointState.REMOVED
            entry = EndpointEntry(endpoints[own.id], own.destination, removed, 0.0, kind, own.zone)
            endpoint = state.add_endpoint(entry)
            endpoint.state = removed
        if endpoint is not None:
            _restore_endpoint(endpoint, own.values)
            _restore_circuit(endpoint.circuit, own.circuit)


def _restore_destination(
    state: PolicyState, own: DestinationSnapshot, endpoints: dict[int, int], kind: int
) -> None:
    destination = state.destination(own.number)
    destination.kind, destination.arrivals = kind, own.arrivals
    for group in own.groups:
        numbers = [endpoints.get(number, 0) for number in group.endpoints]
        known = [state.endpoints[number] for number in numbers if number in state.endpoints]
        if not destination.groups:  # its Retry-After holds for endpoints that are yet to come
            state.add_group(destination)
        if known or not state.settings.kinds[kind].independent_endpoints:
            _restore_group(known[0].group if known else destination.groups[0], group.values)


def _restore_one_message(state: PolicyState, own: MessageSnapshot, endpoints: dict[int, int]) -> None:
    message_class = state.settings.classes[own.message_class]
    event = MessageSubmitted(own.id, own.message_class, own.destination, own.deadline_us)
    destination = state.destinations[own.destination]
    message = Message.submitted(event, message_class, destination, 0, state.now_us)
    state.messages[own.id] = message
    _restore_message(message, own.values)
    message.last_endpoint = state.endpoints.get(endpoints.get(own.last_endpoint, 0))
    if message.order_key:
        state.order_queues.setdefault(message.order_key, []).append(message)
    if not message.closed:
        state.schedule_expiry(message.deadline_us - state.margin_us, message)


def _restore_call(state: PolicyState, own: CallSnapshot, endpoints: dict[int, int]) -> None:
    endpoint = state.endpoints[endpoints[own.endpoint]]
    sent_at_us, judged, idle_us, only_call, require_new_connection, table_full = own.values
    call = Call(
        endpoint,
        sent_at_us,
        only_call,
        len(own.attempts),
        judged,
        idle_us,
        require_new_connection,
        table_full,
    )
    endpoint.in_flight[id(call)] = call
    if own.half_open:
        endpoint.circuit.half_open_call = call
    state.count_in_flight(call, 1)
    for number, attempt in own.attempts:
        message = state.messages[number]
        state.calls[(number, attempt)] = (call, message)
        message.in_flight += 1

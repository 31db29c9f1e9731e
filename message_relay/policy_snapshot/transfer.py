"""A policy's state into a snapshot, and back into the policy of another process."""

from __future__ import annotations

from message_relay.model import EndpointEntry, EndpointState, MessageSubmitted
from message_relay.policy_snapshot.snapshots import (
    CallSnapshot,
    DestinationSnapshot,
    EndpointSnapshot,
    GroupSnapshot,
    InstanceSnapshot,
    MessageSnapshot,
    PolicySnapshot,
)
from message_relay.policy_snapshot.values import (
    call_values,
    circuit_values,
    endpoint_values,
    group_values,
    message_values,
    restore_circuit,
    restore_endpoint,
    restore_group,
    restore_message,
)
from message_relay.policy_state import Call, Destination, Endpoint, Message, PolicyState


def capture(state: PolicyState) -> PolicySnapshot:
    """The state as it is now."""
    return PolicySnapshot(
        attempts={message.id: message.attempts for message in state.messages.values()},
        instance=InstanceSnapshot(
            state.sequence,
            state.rejections_since_resubmission,
            state.capacity_full,
            state.quotas,
            state.started_at_us,
            state.statistics,
        ),
        destinations=[_capture_destination(destination) for destination in state.destinations.values()],
        endpoints=[_capture_endpoint(endpoint) for endpoint in state.endpoints.values()],
        messages=[_capture_message(state, message) for message in state.messages.values()],
        calls=_capture_calls(state),
    )


def _capture_destination(destination: Destination) -> DestinationSnapshot:
    groups = [GroupSnapshot(list(group.endpoints), group_values(group)) for group in destination.groups]
    return DestinationSnapshot(destination.number, destination.type_index, destination.arrivals, groups)


def _capture_endpoint(endpoint: Endpoint) -> EndpointSnapshot:
    destination, circuit = endpoint.group.destination.number, circuit_values(endpoint.circuit)
    return EndpointSnapshot(endpoint.id, destination, endpoint.zone, endpoint_values(endpoint), circuit)


def _capture_message(state: PolicyState, message: Message) -> MessageSnapshot:
    return MessageSnapshot(
        message.id,
        state.settings.classes.index(message.message_class),
        message.destination.number,
        message.deadline_us,
        message.last_endpoint.id if message.last_endpoint else -1,
        message_values(message),
    )


def _capture_calls(state: PolicyState) -> list[CallSnapshot]:
    attempts: dict[int, list[tuple[int, int]]] = {}  # by the call's identity
    calls: dict[int, Call] = {}
    for attempt, (call, _) in state.calls.items():
        calls[id(call)] = call
        attempts.setdefault(id(call), []).append(attempt)
    return [
        CallSnapshot(
            call.endpoint.id,
            call.endpoint.circuit.half_open_call is call,
            call_values(call),
            attempts[identity],
        )
        for identity, call in calls.items()
    ]


def restore(state: PolicyState, snapshot: PolicySnapshot, endpoints: dict[int, int]) -> None:
    """Go on with what another process began. ``endpoints`` maps its endpoint numbers to those of this one."""
    _restore_instance(state, snapshot.instance)
    type_indexes = {
        d.number: min(d.type_index, len(state.settings.destination_types) - 1) for d in snapshot.destinations
    }
    _restore_endpoints(state, snapshot, endpoints, type_indexes)
    for destination in snapshot.destinations:
        _restore_destination(state, destination, endpoints, type_indexes[destination.number])
    for message in snapshot.messages:
        _restore_one_message(state, message, endpoints)
    for call in snapshot.calls:
        _restore_call(state, call, endpoints)
    for open_message in state.messages.values():
        if not open_message.closed and not open_message.in_flight:
            open_message.destination.queue.append(open_message)


def _restore_instance(state: PolicyState, instance: InstanceSnapshot) -> None:
    state.sequence = instance.sequence
    state.rejections_since_resubmission = instance.rejections_since_resubmission
    state.capacity_full = instance.capacity_full
    state.quotas = instance.quotas
    state.started_at_us = instance.started_at_us
    state.statistics = instance.statistics


def _restore_endpoints(
    state: PolicyState, snapshot: PolicySnapshot, endpoints: dict[int, int], type_indexes: dict[int, int]
) -> None:
    busy = {call.endpoint for call in snapshot.calls}
    for own in snapshot.endpoints:
        endpoint = state.endpoints.get(endpoints[own.id])
        if endpoint is None and own.id in busy:  # listed no more, but a call is still in flight there
            type_index, removed = type_indexes[own.destination], EndpointState.REMOVED
            entry = EndpointEntry(endpoints[own.id], own.destination, removed, 0.0, type_index, own.zone)
            endpoint = state.add_endpoint(entry)
            endpoint.state = removed
        if endpoint is not None:
            restore_endpoint(endpoint, own.values)
            restore_circuit(endpoint.circuit, own.circuit)


def _restore_destination(
    state: PolicyState, own: DestinationSnapshot, endpoints: dict[int, int], type_index: int
) -> None:
    destination = state.destination(own.number)
    destination.type_index, destination.arrivals = type_index, own.arrivals
    for group in own.groups:
        numbers = [endpoints.get(number, 0) for number in group.endpoints]
        known = [state.endpoints[number] for number in numbers if number in state.endpoints]
        if not destination.groups:  # its Retry-After holds for endpoints that are yet to come
            state.add_group(destination)
        if known or not state.settings.destination_types[type_index].independent_endpoints:
            restore_group(known[0].group if known else destination.groups[0], group.values)


def _restore_one_message(state: PolicyState, own: MessageSnapshot, endpoints: dict[int, int]) -> None:
    message_class = state.settings.classes[own.message_class]
    event = MessageSubmitted(own.id, own.message_class, own.destination, own.deadline_us)
    destination = state.destinations[own.destination]
    message = Message.submitted(event, message_class, destination, 0, state.now_us)
    state.messages[own.id] = message
    restore_message(message, own.values)
    message.last_endpoint = state.endpoints.get(endpoints.get(own.last_endpoint, 0))
    if message.order_key:
        state.order_queues.setdefault(message.order_key, []).append(message)
    if not message.closed:
        state.schedule_expiry(message.deadline_us - state.deadline_margin_us, message)


def _restore_call(state: PolicyState, own: CallSnapshot, endpoints: dict[int, int]) -> None:
    endpoint = state.endpoints[endpoints[own.endpoint]]
    (
        sent_at_us,
        outcome_recorded,
        idle_us,
        endpoint_was_idle,
        require_new_connection,
        connection_limit_reached,
    ) = own.values
    call = Call(
        endpoint,
        sent_at_us,
        endpoint_was_idle,
        len(own.attempts),
        outcome_recorded,
        idle_us,
        require_new_connection,
        connection_limit_reached,
    )
    endpoint.in_flight[id(call)] = call
    if own.half_open:
        endpoint.circuit.half_open_call = call
    state.count_in_flight(call, 1)
    for number, attempt in own.attempts:
        message = state.messages[number]
        state.calls[(number, attempt)] = (call, message)
        message.in_flight += 1

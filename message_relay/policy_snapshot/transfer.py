"""Capture of a policy's state in a snapshot, and its restoration in the policy of another process."""

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
    Values,
    call_values,
    circuit_values,
    endpoint_values,
    group_values,
    message_values,
    set_circuit_values,
    set_endpoint_values,
    set_group_values,
    set_message_values,
)
from message_relay.policy_state import Call, Destination, Endpoint, EndpointGroup, Message, PolicyState


def capture(state: PolicyState) -> PolicySnapshot:
    """Return a snapshot of the state. Its quotas and statistics are the objects of the state, not copies."""
    return PolicySnapshot(
        attempts={message.id: message.attempts for message in state.messages.values()},
        instance=InstanceSnapshot(
            state.last_sequence,
            state.rejections_since_resubmission,
            state.capacity_reached_logged,
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
    return DestinationSnapshot(destination.id, destination.type_index, destination.submitted_messages, groups)


def _capture_endpoint(endpoint: Endpoint) -> EndpointSnapshot:
    destination, circuit = endpoint.group.destination.id, circuit_values(endpoint.circuit)
    return EndpointSnapshot(endpoint.id, destination, endpoint.zone, endpoint_values(endpoint), circuit)


def _capture_message(state: PolicyState, message: Message) -> MessageSnapshot:
    return MessageSnapshot(
        message.id,
        state.settings.classes.index(message.message_class),
        message.destination.id,
        message.deadline_us,
        message.last_endpoint.id if message.last_endpoint else -1,
        message_values(message),
    )


def _capture_calls(state: PolicyState) -> list[CallSnapshot]:
    attempts: dict[int, list[tuple[int, int]]] = {}  # by id(call)
    calls: dict[int, Call] = {}  # by id(call)
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
    """Add the state of a snapshot to the state of a policy to which the endpoint list was already applied.

    ``endpoints`` maps the endpoint numbers of the snapshot to those of this process.
    """
    _restore_instance(state, snapshot.instance)
    type_indexes = {
        d.id: min(d.type_index, len(state.settings.destination_types) - 1) for d in snapshot.destinations
    }
    _restore_endpoints(state, snapshot, endpoints, type_indexes)
    for destination in snapshot.destinations:
        _restore_destination(state, destination, endpoints, type_indexes[destination.id])
    for message in snapshot.messages:
        _restore_message(state, message, endpoints)
    for call in snapshot.calls:
        _restore_call(state, call, endpoints)
    for open_message in state.messages.values():
        if not open_message.closed and not open_message.in_flight:
            open_message.destination.queue.append(open_message)


def _restore_instance(state: PolicyState, instance: InstanceSnapshot) -> None:
    state.last_sequence = instance.last_sequence
    state.rejections_since_resubmission = instance.rejections_since_resubmission
    state.capacity_reached_logged = instance.capacity_reached_logged
    state.quotas = instance.quotas
    state.started_at_us = instance.started_at_us
    state.statistics = instance.statistics


def _restore_endpoints(
    state: PolicyState, snapshot: PolicySnapshot, endpoints: dict[int, int], type_indexes: dict[int, int]
) -> None:
    endpoints_with_calls = {call.endpoint for call in snapshot.calls}
    for captured in snapshot.endpoints:
        endpoint = state.endpoints.get(endpoints[captured.id])
        # An endpoint that is not listed any more is restored only while a call to it is in flight.
        if endpoint is None and captured.id in endpoints_with_calls:
            type_index, removed = type_indexes[captured.destination], EndpointState.REMOVED
            entry = EndpointEntry(
                endpoints[captured.id], captured.destination, removed, 0.0, type_index, captured.zone
            )
            endpoint = state.add_endpoint(entry)
            endpoint.state = removed
        if endpoint is not None:
            set_endpoint_values(endpoint, captured.values)
            set_circuit_values(endpoint.circuit, captured.circuit)


def _restore_destination(
    state: PolicyState, captured: DestinationSnapshot, endpoints: dict[int, int], type_index: int
) -> None:
    """Restore a destination, and the groups of which an endpoint is present.

    A group of all endpoints of a destination is restored without any endpoint too: its Retry-After applies to
    endpoints that are listed later.
    """
    destination = state.destination(captured.id)
    destination.type_index, destination.submitted_messages = type_index, captured.submitted_messages
    for group in captured.groups:
        numbers = [endpoints.get(number, 0) for number in group.endpoints]
        present = [state.endpoints[number] for number in numbers if number in state.endpoints]
        if not destination.groups:
            state.add_group(destination)
        if present or not state.settings.destination_types[type_index].independent_endpoints:
            _restore_group(present[0].group if present else destination.groups[0], group.values)


def _restore_group(group: EndpointGroup, values: Values) -> None:
    """Restore a group whose circuits were restored already.

    A circuit that a shutdown opened shows that the Retry-After in force states that shutdown.
    """
    set_group_values(group, values)
    if any(endpoint.circuit.opened_by_shutdown for endpoint in group.endpoints.values()):
        group.shut_down_until_us = group.retry_after_until_us


def _restore_message(state: PolicyState, captured: MessageSnapshot, endpoints: dict[int, int]) -> None:
    message_class = state.settings.classes[captured.message_class]
    event = MessageSubmitted(captured.id, captured.message_class, captured.destination, captured.deadline_us)
    destination = state.destinations[captured.destination]
    message = Message.submitted(event, message_class, destination, 0, state.now_us)
    state.messages[captured.id] = message
    set_message_values(message, captured.values)
    message.last_endpoint = state.endpoints.get(endpoints.get(captured.last_endpoint, 0))
    if message.order_key:
        state.order_queues.setdefault(message.order_key, []).append(message)
    if not message.closed:
        state.schedule_expiry(message.deadline_us - state.deadline_margin_us, message)


def _restore_call(state: PolicyState, captured: CallSnapshot, endpoints: dict[int, int]) -> None:
    endpoint = state.endpoints[endpoints[captured.endpoint]]
    (
        sent_at_us,
        outcome_recorded,
        connection_idle_us,
        endpoint_was_idle,
        require_new_connection,
        connection_limit_reached,
    ) = captured.values
    call = Call(
        endpoint,
        sent_at_us,
        endpoint_was_idle,
        len(captured.attempts),
        outcome_recorded,
        connection_idle_us,
        require_new_connection,
        connection_limit_reached,
    )
    endpoint.in_flight[id(call)] = call
    if captured.half_open:
        endpoint.circuit.half_open_call = call
    state.change_calls_in_flight(call, 1)
    for number, attempt in captured.attempts:
        message = state.messages[number]
        state.calls[(number, attempt)] = (call, message)
        message.in_flight += 1

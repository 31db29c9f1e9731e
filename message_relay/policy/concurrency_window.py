"""Concurrency limits: calls in flight to an endpoint group, and connections to an endpoint.

The window of a group starts at one call, grows by one with each success, shrinks by one with a single lost
call and halves on overload or on a time-out without a later success (additive increase, multiplicative
decrease). The connection limit of an endpoint is set when it rejects a new connection and raised later, one
connection at a time.
"""

from message_relay.policy_state import Destination, Endpoint, EndpointGroup, PolicyState

CONNECTION_LIMIT_RETRY_US = 2_000_000  # interval after which one connection above the limit is allowed


def grow(state: PolicyState, group: EndpointGroup) -> None:
    """Widen the group's window by one call after a success."""
    group.concurrency_window = min(state.max_calls_per_destination, group.concurrency_window + 1)


def shrink(group: EndpointGroup) -> None:
    """Narrow the group's window by one call after a single lost call."""
    group.concurrency_window = max(1.0, group.concurrency_window - 1)


def halve(group: EndpointGroup) -> None:
    """Halve the group's window, which remains at least one call."""
    group.concurrency_window = max(1.0, group.concurrency_window / 2)


def record_connection_limit(state: PolicyState, endpoint: Endpoint) -> None:
    """Set the endpoint's connection limit to the present number of its reused and idle connections."""
    reused = sum(call.connection_idle_us >= 0 for call in endpoint.in_flight.values())
    endpoint.connection_limit = max(1, reused + len(endpoint.idle_connections_since_us))
    endpoint.connection_limit_at_us = state.now_us


def raise_connection_limit(state: PolicyState, endpoint: Endpoint) -> None:
    """Allow one more connection after a success, at most once in each CONNECTION_LIMIT_RETRY_US."""
    if state.now_us - endpoint.connection_limit_at_us > CONNECTION_LIMIT_RETRY_US:
        endpoint.connection_limit += 1
        endpoint.connection_limit_at_us = state.now_us


def slots_exhausted(state: PolicyState, destination: Destination) -> bool:
    """Return whether the slots of the instance, or those for this destination, are all in use."""
    return (
        state.in_flight >= state.settings.call_slots
        or destination.in_flight >= state.max_calls_per_destination
    )


def is_full(group: EndpointGroup) -> bool:
    """Return whether as many calls to the group are in flight as its window allows."""
    return group.in_flight >= int(group.concurrency_window)

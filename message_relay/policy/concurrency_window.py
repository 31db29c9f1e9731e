"""Windows: calls in flight to a group, and connections to an endpoint, that were seen to be taken."""

from message_relay.policy_state import Destination, Endpoint, EndpointGroup, PolicyState

CONNECTION_LIMIT_RETRY_US = 2_000_000  # one more connection than the limit is tried after this


def grow(state: PolicyState, group: EndpointGroup) -> None:
    """A call succeeded."""
    group.concurrency_window = min(state.max_calls_per_destination, group.concurrency_window + 1)


def shrink(group: EndpointGroup) -> None:
    """A single call was lost."""
    group.concurrency_window = max(1.0, group.concurrency_window - 1)


def halve(group: EndpointGroup) -> None:
    """The group shows that it has too much to do."""
    group.concurrency_window = max(1.0, group.concurrency_window / 2)


def record_connection_limit(state: PolicyState, endpoint: Endpoint) -> None:
    """The endpoint took no more connections than it has now."""
    reused = sum(call.connection_idle_us >= 0 for call in endpoint.in_flight.values())
    endpoint.connection_limit = max(1, reused + len(endpoint.idle_since_us))
    endpoint.connection_limit_at_us = state.now_us


def raise_connection_limit(state: PolicyState, endpoint: Endpoint) -> None:
    """A call succeeded: allow one more connection, some time after the limit was reached."""
    if state.now_us - endpoint.connection_limit_at_us > CONNECTION_LIMIT_RETRY_US:
        endpoint.connection_limit += 1
        endpoint.connection_limit_at_us = state.now_us


def slots_exhausted(state: PolicyState, destination: Destination) -> bool:
    """Whether no slot is left for one more call to the destination."""
    return (
        state.in_flight >= state.settings.call_slots
        or destination.in_flight >= state.max_calls_per_destination
    )


def is_full(group: EndpointGroup) -> bool:
    """Whether the group's window leaves no place for one more call."""
    return group.in_flight >= int(group.concurrency_window)

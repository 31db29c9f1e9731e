"""Membership: endpoints are added, updated and removed according to the endpoint list.

A complete or cached list replaces the earlier one; a delta changes the listed entries only. An endpoint that
was removed stays in the state until its calls have ended, but gets no new ones.
"""

from message_relay.model import EndpointEntry, EndpointListForm, EndpointListReceived, EndpointState
from message_relay.policy import rate_limiter
from message_relay.policy_state import PolicyState


def apply_list(state: PolicyState, event: EndpointListReceived) -> None:
    """Apply a complete, cached or delta endpoint list."""
    listed = {entry.endpoint for entry in event.entries}
    for entry in event.entries:
        _apply_entry(state, entry)
    for number, endpoint in list(state.endpoints.items()):
        if event.form is not EndpointListForm.DELTA and number not in listed:
            endpoint.state = EndpointState.REMOVED
        state.remove_if_unused(endpoint)


def _apply_entry(state: PolicyState, entry: EndpointEntry) -> None:
    endpoint = state.endpoints.get(entry.endpoint)
    if endpoint is not None and endpoint.group.destination.id != entry.destination:
        endpoint.state = EndpointState.REMOVED  # it changed its destination: its statistics no longer apply
        endpoint.group.endpoints.pop(endpoint.id)
        endpoint = None
    if endpoint is None:
        if entry.state is EndpointState.REMOVED:
            return
        endpoint = state.add_endpoint(entry)
    endpoint.state = entry.state
    if state.settings.rate_limits_advertised and entry.rate_limit_per_s > 0:
        rate_limiter.record_listed_limit(state, endpoint.group, entry.rate_limit_per_s)

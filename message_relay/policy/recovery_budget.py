"""The recovery budget: what a failing group may get from a small fleet while nobody knows that it is back.

Where the calls that open the circuits of all instances are more than a recovering destination bears, each
keeps to its part from when all endpoints have failed on, until an answer shows that it was no outage.
"""

import math

from message_relay.model import EndpointState
from message_relay.policy.circuit_breaker import FAILURES_TO_OPEN, MAX_FAILURE_RATE_AFTER_CLOSING
from message_relay.policy.slow_start import MAX_TRANSIENT_FAULT_US, traffic_share_per_s
from message_relay.policy_state import EndpointGroup, PolicyState

MIN_RATE_PER_S = 0.001


def record_failure(state: PolicyState, group: EndpointGroup, shut_down: bool = False) -> None:
    """A failure there, or a Retry-After so long that only a destination that was shut down gives it."""
    if (
        state.large_fleet
        or (_is_responding(state, group) and not shut_down)
        or _detection_fits_budget(state, group)
    ):
        return
    recovery = group.recovery
    if recovery.since_us < 0:
        recovery.failures, recovery.since_us = 0, state.now_us
        recovery.rate_per_s = traffic_share_per_s(state, group)
        recovery.bucket.tokens, recovery.bucket.updated_at_us = state.random.random(), state.now_us
    if shut_down:  # nothing is saved up until the Retry-After ends: it ends for all at once
        recovery.bucket.tokens = min(recovery.bucket.tokens, state.random.random())
        recovery.bucket.updated_at_us = max(state.now_us, group.retry_after_until_us)
    recovery.failures += 1 + shut_down


def _is_responding(state: PolicyState, group: EndpointGroup) -> bool:
    return any(
        state.now_us - endpoint.last_success_at_us < MAX_TRANSIENT_FAULT_US
        or endpoint.last_failure_at_us <= endpoint.last_success_at_us
        for endpoint in group.endpoints.values()
        if endpoint.state is EndpointState.READY
    )


def _detection_fits_budget(state: PolicyState, group: EndpointGroup) -> bool:
    """Whether the calls by which all other instances learn of the outage fit into the budget."""
    settings = state.settings
    allowed_factor = settings.instance_count * settings.slow_start_share * settings.overload_factor
    budget = allowed_factor * traffic_share_per_s(state, group) * settings.overload_window_us / 1e6
    tolerated_calls = budget + 2 * math.sqrt(budget) + 2  # what is over the budget is taken for chance
    return (settings.instance_count - 1) * FAILURES_TO_OPEN * len(group.endpoints) <= tolerated_calls


def record_success(state: PolicyState, group: EndpointGroup) -> None:
    """The first answer ends the limit. After an outage each endpoint in use starts slowly then, with
    nothing saved up: the call that was answered was its part.
    """
    if group.recovery.since_us < 0:
        return
    group.recovery.since_us = -1
    for endpoint in group.endpoints.values() if group.recovery.failures > 1 else ():
        circuit = endpoint.circuit
        circuit.target_rate_per_s = traffic_share_per_s(state, group)
        if not circuit.open or circuit.failure_rate >= 1.0:  # 1: closed by a Retry-After
            circuit.open, circuit.half_open_interval_us = False, 0
            circuit.failure_rate = min(circuit.failure_rate, MAX_FAILURE_RATE_AFTER_CLOSING)
            circuit.slow_start_since_us = circuit.bucket.updated_at_us = state.now_us
            circuit.bucket.tokens = 0.0


def wait_us(state: PolicyState, group: EndpointGroup) -> int:
    """Microseconds until a group that is limited may get the next call, 0 if it may now."""
    recovery, settings = group.recovery, state.settings
    if recovery.since_us < 0:
        return 0
    # All of the budget: that calls go there while it is down costs nothing, and the rest is chance's.
    allowed_factor = min(1.0, settings.overload_factor * settings.slow_start_share)
    rate = max(MIN_RATE_PER_S, allowed_factor * max(recovery.rate_per_s, traffic_share_per_s(state, group)))
    tokens = recovery.bucket.refill(state.now_us, rate)
    return 0 if tokens >= 1.0 else recovery.bucket.wait_us(rate)

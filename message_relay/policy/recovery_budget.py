"""Recovery budget: a token bucket for the calls to a group from its complete failure until the next success.

Every instance needs several failed calls to open its circuits. If those calls of all instances together
exceed the load that a recovering destination can take, each instance is limited to its share of that load.
The limit starts when all endpoints of the group have failed, or when a long Retry-After shows that the
destination was shut down. The first success ends it; after an outage a slow start follows. Large fleets do
not use it, since their circuits open after one or two failures.
"""

import math

from message_relay.model import EndpointState
from message_relay.policy.circuit_breaker import FAILURES_TO_OPEN, MAX_FAILURE_RATE_AFTER_CLOSING
from message_relay.policy.slow_start import MAX_TRANSIENT_FAULT_US, traffic_share_per_s
from message_relay.policy_state import EndpointGroup, PolicyState

MIN_RATE_PER_S = 0.001


def record_failure(state: PolicyState, group: EndpointGroup, shut_down: bool = False) -> None:
    """Start the limit after a failure, if it is needed and not in force, and count the failure.

    ``shut_down`` is true if a long Retry-After shows that the destination was shut down.
    """
    if (
        state.large_fleet
        or (_is_responding(state, group) and not shut_down)
        or _detection_fits_budget(state, group)
    ):
        return
    recovery = group.recovery
    if recovery.limited_since_us < 0:
        recovery.failures, recovery.limited_since_us = 0, state.now_us
        recovery.initial_traffic_per_s = traffic_share_per_s(state, group)
        recovery.bucket.tokens, recovery.bucket.updated_at_us = state.random.random(), state.now_us
    if shut_down:  # no tokens accrue until the Retry-After ends, since it ends for all instances at once
        recovery.bucket.tokens = min(recovery.bucket.tokens, state.random.random())
        recovery.bucket.updated_at_us = max(state.now_us, group.retry_after_until_us)
    recovery.failures += 1 + shut_down


def _is_responding(state: PolicyState, group: EndpointGroup) -> bool:
    """Return whether a ready endpoint had a success recently, or no failure since its last success."""
    return any(
        state.now_us - endpoint.last_success_at_us < MAX_TRANSIENT_FAULT_US
        or endpoint.last_failure_at_us <= endpoint.last_success_at_us
        for endpoint in group.endpoints.values()
        if endpoint.state is EndpointState.READY
    )


def _detection_fits_budget(state: PolicyState, group: EndpointGroup) -> bool:
    """Return whether the failed calls with which all other instances open their circuits fit the budget.

    The budget is the number of calls that a recovering destination can take within the overload window.
    """
    settings = state.settings
    allowed_factor = settings.instance_count * settings.slow_start_share * settings.overload_factor
    budget = allowed_factor * traffic_share_per_s(state, group) * settings.overload_window_us / 1e6
    tolerated_calls = budget + 2 * math.sqrt(budget) + 2  # the added terms allow for random variation
    return (settings.instance_count - 1) * FAILURES_TO_OPEN * len(group.endpoints) <= tolerated_calls


def record_success(state: PolicyState, group: EndpointGroup) -> None:
    """End the limit with the first success, and start a slow start after more than one failure.

    The slow start begins with empty buckets, since the call that succeeded has used this instance's share.
    Circuits that failed calls opened stay open: those endpoints need a half-open attempt.
    """
    if group.recovery.limited_since_us < 0:
        return
    group.recovery.limited_since_us = -1
    for endpoint in group.endpoints.values() if group.recovery.failures > 1 else ():
        circuit = endpoint.circuit
        circuit.target_rate_per_s = traffic_share_per_s(state, group)
        if not circuit.open or circuit.opened_by_shutdown:
            circuit.open, circuit.half_open_interval_us = False, 0
            circuit.failure_rate = min(circuit.failure_rate, MAX_FAILURE_RATE_AFTER_CLOSING)
            circuit.slow_start_since_us = circuit.bucket.updated_at_us = state.now_us
            circuit.bucket.tokens = 0.0


def wait_us(state: PolicyState, group: EndpointGroup) -> int:
    """Return the microseconds until the group may get the next call, 0 if it may now."""
    recovery, settings = group.recovery, state.settings
    if recovery.limited_since_us < 0:
        return 0
    # The full overload factor, without the margin of the slow start: calls to a destination that is still
    # down do no harm, and random variation above the budget is tolerated.
    allowed_factor = min(1.0, settings.overload_factor * settings.slow_start_share)
    rate = max(
        MIN_RATE_PER_S,
        allowed_factor * max(recovery.initial_traffic_per_s, traffic_share_per_s(state, group)),
    )
    tokens = recovery.bucket.refill(state.now_us, rate)
    return 0 if tokens >= 1.0 else recovery.bucket.wait_us(rate)

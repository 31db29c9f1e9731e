"""Slow start: the rate of calls to a recovering endpoint rises linearly to a target rate.

The capacity of a recovering destination grows from ``slow_start_share`` to 1 within ``slow_start_us``, and
more than ``overload_factor`` times that capacity takes it down again. Calls stay below that load by a margin.
The target rate is the advertised rate or, if there is none, a multiple of the success rate. In a large fleet
it is the instance's share of the traffic, since the minimum target rates of all instances would add up, and
new messages add tokens directly, so that the calls of the fleet follow its total traffic.
"""

from message_relay.policy_state import CircuitBreaker, Endpoint, EndpointGroup, PolicyState

# A fault that lasted no longer than this between two successes is transient and needs no slow start.
MAX_TRANSIENT_FAULT_US = 1_000_000
# Share of the overload factor that is used. The rest is a margin for random variation of the arrivals, summed
# over the fleet.
OVERLOAD_FACTOR_SHARE = 0.8
ASSUMED_HEADROOM_FACTOR = 2.0  # assumed capacity, as a multiple of the success rate, if none is advertised
MIN_TARGET_RATE_PER_S = 0.5
MIN_RATE_PER_S = 0.05
MIN_RATE_LARGE_FLEET_PER_S = 0.001


def traffic_share_per_s(state: PolicyState, group: EndpointGroup) -> float:
    """Return the instance's share of the calls to the group, in calls a second.

    It is the instance's part of the advertised rate or, if there is none, the mean rate of new messages since
    the start. The shares of all instances sum to the total traffic.
    """
    min_observed_us = state.settings.slow_start_us if state.large_fleet else MAX_TRANSIENT_FAULT_US
    observed_us = max(state.now_us - state.started_at_us, min_observed_us, 1)
    return group.advertised_rate_per_s or group.destination.submitted_messages / observed_us * 1e6


def update_target_rate(state: PolicyState, endpoint: Endpoint) -> None:
    """Update the target rate of a slow start.

    A group that fails repeatedly has few successes, so the highest estimate so far is kept, with a lower
    bound. In a large fleet the lower bounds of hundreds of instances would add up: there the target is the
    instance's share of the traffic, whose sum follows the total.
    """
    group, circuit = endpoint.group, endpoint.circuit
    if state.large_fleet:
        circuit.target_rate_per_s = traffic_share_per_s(state, group)
    else:
        estimated_rate = group.advertised_rate_per_s or group.success_rate_per_s * ASSUMED_HEADROOM_FACTOR
        circuit.target_rate_per_s = max(circuit.target_rate_per_s, estimated_rate, MIN_TARGET_RATE_PER_S)


def reset_for_slow_start(state: PolicyState, endpoint: Endpoint) -> None:
    """Reset the statistics of an uncordoned, probably restarted endpoint and begin a slow start."""
    update_target_rate(state, endpoint)
    circuit = endpoint.circuit
    circuit.open, circuit.failure_rate, circuit.half_open_interval_us = False, 0.0, 0
    circuit.slow_start_since_us = circuit.bucket.updated_at_us = state.now_us
    circuit.bucket.tokens = state.random.random() if state.large_fleet else 1.0
    endpoint.failure_rate = 0.0
    endpoint.idle_connections_since_us.clear()
    state.log(f"endpoint uncordoned: slow start, endpoint={endpoint.id}")


def target_rate_share(state: PolicyState, circuit: CircuitBreaker) -> float:
    """Return the share of its target rate that a recovering endpoint may get now, up to 1.

    With an open circuit it is the share at the beginning of a slow start.
    """
    initial_share, duration_us = state.settings.slow_start_share, max(1, state.settings.slow_start_us)
    since_us = state.now_us if circuit.open else circuit.slow_start_since_us
    capacity_share = initial_share + (1 - initial_share) * (state.now_us - since_us) / duration_us
    return min(1.0, OVERLOAD_FACTOR_SHARE * state.settings.overload_factor * capacity_share)


def is_complete(state: PolicyState, circuit: CircuitBreaker) -> bool:
    """Return whether a slow start is in progress and has reached its duration or the target rate."""
    if circuit.slow_start_since_us < 0:
        return False
    elapsed_us = state.now_us - circuit.slow_start_since_us
    return elapsed_us >= state.settings.slow_start_us or target_rate_share(state, circuit) >= 1


def credit_new_message(state: PolicyState, group: EndpointGroup) -> None:
    """In a large fleet, add a part of a token to a recovering group's bucket for a new message.

    The calls of all instances then follow the total traffic. No tokens accrue during a Retry-After, since all
    instances would use them when it ends.
    """
    circuit = group.shared_circuit
    if circuit is None or state.now_us < group.retry_after_until_us:
        return
    if circuit.open or circuit.slow_start_since_us >= 0:
        credit = target_rate_share(state, circuit) / len(group.destination.groups)
        circuit.bucket.tokens = min(1.0, circuit.bucket.tokens + credit)


def wait_us(state: PolicyState, endpoint: Endpoint) -> int:
    """Return the microseconds until an endpoint in slow start may get its next call, 0 if it may now."""
    circuit, group = endpoint.circuit, endpoint.group
    sharing_endpoints = 1 if state.large_fleet else group.count_ready_closed_circuits()
    min_rate = MIN_RATE_LARGE_FLEET_PER_S if state.large_fleet else MIN_RATE_PER_S
    # An instance that starts during an outage measures no traffic. If a rate is advertised later, it exceeds
    # the target rate that was set then.
    target_rate = max(circuit.target_rate_per_s, group.advertised_rate_per_s)
    rate = max(target_rate_share(state, circuit) * target_rate / sharing_endpoints, min_rate)
    circuit.bucket.refill(state.now_us, rate)
    return 0 if circuit.bucket.tokens >= 1.0 else circuit.bucket.wait_us(rate)

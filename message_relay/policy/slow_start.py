"""Slow start: a recovering endpoint gets a growing share of its usual calls."""

from message_relay.policy_state import CircuitBreaker, Endpoint, EndpointGroup, PolicyState

MAX_TRANSIENT_FAULT_US = (
    1_000_000  # trouble that lasted no longer, with answers before and after, was no outage
)
OVERLOAD_FACTOR_SHARE = 0.8  # of the overload factor is used: the rest is for chance
ASSUMED_HEADROOM_FACTOR = (
    2.0  # a capacity that is not advertised is taken for this multiple of the traffic seen
)
MIN_TARGET_RATE_PER_S = 0.5
MIN_RATE_PER_S = 0.05
MIN_RATE_LARGE_FLEET_PER_S = 0.001


def traffic_share_per_s(state: PolicyState, group: EndpointGroup) -> float:
    """Calls a second that this instance usually sends there: of all instances, they sum to the total."""
    min_observed_us = state.settings.slow_start_us if state.large_fleet else MAX_TRANSIENT_FAULT_US
    observed_us = max(state.now_us - state.started_at_us, min_observed_us, 1)
    return group.advertised_rate_per_s or group.destination.arrivals / observed_us * 1e6


def update_target_rate(state: PolicyState, endpoint: Endpoint) -> None:
    """Update the target rate, which the slow start leads to.

    A group that fails over and over shows few successes: its target rate is the best one seen. But the floors
    of hundreds of instances add up: there it is the own traffic, whose sum follows the total.
    """
    group, circuit = endpoint.group, endpoint.circuit
    if state.large_fleet:
        circuit.target_rate_per_s = traffic_share_per_s(state, group)
    else:
        estimated_rate = group.advertised_rate_per_s or group.success_rate_per_s * ASSUMED_HEADROOM_FACTOR
        circuit.target_rate_per_s = max(circuit.target_rate_per_s, estimated_rate, MIN_TARGET_RATE_PER_S)


def reset_for_slow_start(state: PolicyState, endpoint: Endpoint) -> None:
    """The endpoint is put back after a restart: nothing known of it holds, and it starts slowly."""
    update_target_rate(state, endpoint)
    circuit = endpoint.circuit
    circuit.open, circuit.failure_rate, circuit.half_open_interval_us = False, 0.0, 0
    circuit.slow_start_since_us = circuit.bucket.updated_at_us = state.now_us
    circuit.bucket.tokens = state.random.random() if state.large_fleet else 1.0
    endpoint.failure_rate = 0.0
    endpoint.idle_since_us.clear()
    state.log(f"endpoint put back: slow start, endpoint={endpoint.id}")


def traffic_factor(state: PolicyState, circuit: CircuitBreaker) -> float:
    """Share of its usual calls that a recovering endpoint may get now."""
    initial_share, duration_us = state.settings.slow_start_share, max(1, state.settings.slow_start_us)
    since_us = state.now_us if circuit.open else circuit.slow_start_since_us
    capacity_share = initial_share + (1 - initial_share) * (state.now_us - since_us) / duration_us
    return min(1.0, OVERLOAD_FACTOR_SHARE * state.settings.overload_factor * capacity_share)


def is_complete(state: PolicyState, circuit: CircuitBreaker) -> bool:
    """Whether a slow start has come to its end."""
    if circuit.slow_start_since_us < 0:
        return False
    elapsed_us = state.now_us - circuit.slow_start_since_us
    return elapsed_us >= state.settings.slow_start_us or traffic_factor(state, circuit) >= 1


def credit_new_message(state: PolicyState, group: EndpointGroup) -> None:
    """In a large fleet a recovering group gets a share of the new messages: summed over the fleet it follows
    the total. None is saved up during a Retry-After: all instances would use it in the same moment.
    """
    circuit = group.shared_circuit
    if circuit is None or state.now_us < group.retry_after_until_us:
        return
    if circuit.open or circuit.slow_start_since_us >= 0:
        credit = traffic_factor(state, circuit) / len(group.destination.groups)
        circuit.bucket.tokens = min(1.0, circuit.bucket.tokens + credit)


def wait_us(state: PolicyState, endpoint: Endpoint) -> int:
    """Microseconds until an endpoint in slow start may get its next call, 0 if it may now."""
    circuit, group = endpoint.circuit, endpoint.group
    sharing_endpoints = 1 if state.large_fleet else group.endpoints_in_use()
    min_rate = MIN_RATE_LARGE_FLEET_PER_S if state.large_fleet else MIN_RATE_PER_S
    # The target rate may be older than the limit: after a restart in an outage no traffic is known.
    target_rate = max(circuit.target_rate_per_s, group.advertised_rate_per_s)
    rate = max(traffic_factor(state, circuit) * target_rate / sharing_endpoints, min_rate)
    circuit.bucket.refill(state.now_us, rate)
    return 0 if circuit.bucket.tokens >= 1.0 else circuit.bucket.wait_us(rate)

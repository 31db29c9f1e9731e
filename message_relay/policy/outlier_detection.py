"""Outlier detection: passive health checks by the outcome of each call.

Each outcome updates the statistics of the endpoint, its group and its connections. A failure raises the
failure rates, which rank endpoints and open circuits, unless other evidence explains it: a time-out while
later calls succeed is a lost call, a reset of a reused connection is a stale connection, and a rejection of a
new connection while reused ones work is the connection limit. A time-out counts less, the more calls are lost
in general. In a large fleet few calls go to one endpoint: the failure rate that opens a circuit is that of
the group.

A destination that shuts down may finish the calls that it has accepted. Their outcomes show nothing about its
recovery: they neither close a circuit nor end the recovery budget.
"""

from message_relay.model import AttemptEnded, AttemptResult
from message_relay.policy import (
    circuit_breaker,
    concurrency_window,
    connection_reuse,
    rate_limiter,
    recovery_budget,
    timeouts,
)
from message_relay.policy.circuit_breaker import FAILURE_EWMA_WEIGHT
from message_relay.policy.slow_start import MAX_TRANSIENT_FAULT_US
from message_relay.policy_state import SHUT_DOWN_FAILURE_RATE, Call, Endpoint, EndpointGroup, PolicyState

# Time in which the ambiguous failure rate decays to 0, as a share of the slow start's duration.
AMBIGUOUS_DECAY_SHARE = 0.6
LOST_CALL_FACTOR = 4.0  # if the share of lost calls reaches 1 / LOST_CALL_FACTOR, time-outs are no evidence
# An endpoint with a success this recent is not down: a failed connection is due to its connection limit.
RECENT_SUCCESS_US = 1_000_000
# A longer Retry-After means that the destination was shut down, a shorter one that a rate limit was exceeded.
MIN_SHUTDOWN_RETRY_AFTER_US = 2_500_000
SUCCESS_RATE_DECAY_US = 4e6
SUCCESS_RATE_STEP = 0.25  # calls a second that each success adds: one call in SUCCESS_RATE_DECAY_US


def record_call_outcome(state: PolicyState, call: Call, event: AttemptEnded) -> None:
    """Update all statistics, limits and the circuit breaker with the outcome of a call."""
    connection_reuse.record(state, event.result, call)
    if event.result is AttemptResult.OK:
        connection_reuse.record_success(state, call)
        _record_success(state, call, timeouts.latency_without_setup_us(state, call, event.latency_us))
        if not call.precedes_shutdown:
            _record_recovery(state, call.endpoint)
        return
    call.connection_limit_reached = _connection_limit_reached(state, call, event)
    if call.connection_limit_reached:
        concurrency_window.record_connection_limit(state, call.endpoint)
    elif _is_failure(state, call, event):
        _record_failure(state, call, event.result)


def _connection_limit_reached(state: PolicyState, call: Call, event: AttemptEnded) -> bool:
    """Return whether a rejection is due to the endpoint's connection limit, not to a rate limit.

    That is the case if a call on a new connection was rejected without a Retry-After, while other calls to
    the endpoint were in flight and one had succeeded within MAX_TRANSIENT_FAULT_US. Never in a large fleet.
    """
    if event.result is not AttemptResult.REJECTED or event.retry_after_us or state.large_fleet:
        return False
    responds = state.now_us - call.endpoint.last_success_at_us < MAX_TRANSIENT_FAULT_US
    return call.connection_idle_us < 0 and responds and not call.endpoint_was_idle


def _is_failure(state: PolicyState, call: Call, event: AttemptEnded) -> bool:
    """Return whether an unsuccessful call counts as a failure of the endpoint.

    The rate limit, the concurrency window and the share of lost calls are updated first.
    """
    endpoint, group = call.endpoint, call.endpoint.group
    since_success_us = state.now_us - endpoint.last_success_at_us
    if event.result is AttemptResult.RESET:
        # A reused connection was stale if the endpoint had a success within this time.
        return call.connection_idle_us < 0 or since_success_us >= MAX_TRANSIENT_FAULT_US
    if event.result is AttemptResult.REJECTED:
        rate_limiter.record_rejection(state, group)
        rate_limiter.record_overload(state, group, event.retry_after_us)
        if event.retry_after_us > MIN_SHUTDOWN_RETRY_AFTER_US:
            _record_shutdown(state, endpoint)
            return False
        return since_success_us >= RECENT_SUCCESS_US
    if event.result is AttemptResult.TIMEOUT:
        if endpoint.last_success_at_us > call.sent_at_us:
            # Another call succeeded since this one was sent: a lost call, which must not limit the group
            # to the recovery budget.
            concurrency_window.shrink(group)
            timeouts.record_lost_call(state)
            return False
        concurrency_window.halve(group)
    elif event.result is AttemptResult.CONNECT_FAILED:
        endpoint.idle_connections_since_us.clear()
        return since_success_us >= RECENT_SUCCESS_US or not endpoint.in_flight
    return True


def _record_shutdown(state: PolicyState, endpoint: Endpoint) -> None:
    """Open all circuits of the group after a Retry-After that shows that the destination was shut down."""
    group = endpoint.group
    group.shut_down_until_us = group.retry_after_until_us
    recovery_budget.record_failure(state, group, shut_down=True)
    for other in group.endpoints.values():
        if other is endpoint or not other.circuit.open:
            other.failure_rate = other.circuit.failure_rate = SHUT_DOWN_FAILURE_RATE
            circuit_breaker.open_circuit(state, other, "shut_down")


def _record_failure(state: PolicyState, call: Call, result: AttemptResult) -> None:
    endpoint, circuit = call.endpoint, call.endpoint.circuit
    if result in (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET):
        rate = ambiguous_failure_rate(state, endpoint)
        endpoint.ambiguous_failure_rate = rate + FAILURE_EWMA_WEIGHT * (1 - rate)
        endpoint.ambiguous_failure_at_us = state.now_us
    if result is not AttemptResult.REJECTED:
        endpoint.last_failure_at_us = state.now_us
        recovery_budget.record_failure(state, endpoint.group)
    # Where many calls are lost in general, one time-out is weak evidence against its endpoint.
    timed_out = result is AttemptResult.TIMEOUT
    expected_loss = min(1.0, LOST_CALL_FACTOR * state.statistics.lost_call_rate) if timed_out else 0.0
    endpoint.failure_rate += FAILURE_EWMA_WEIGHT * (1 - endpoint.failure_rate) * (1 - expected_loss)
    circuit.failure_rate += FAILURE_EWMA_WEIGHT * (1 - circuit.failure_rate) * (1 - expected_loss)
    if not call.precedes_shutdown:
        circuit_breaker.record_failure(state, endpoint, result, call)


def _record_success(state: PolicyState, call: Call, latency_us: int) -> None:
    """Update the latencies, rates and limits after a success."""
    endpoint, group = call.endpoint, call.endpoint.group
    concurrency_window.raise_connection_limit(state, endpoint)
    endpoint.ambiguous_failure_rate = ambiguous_failure_rate(state, endpoint) * (1 - FAILURE_EWMA_WEIGHT)
    endpoint.ambiguous_failure_at_us = state.now_us
    if latency_us:
        timeouts.record_latency(state, group, latency_us)
    _update_success_rate(state, group)
    rate_limiter.record_success(state, group)
    concurrency_window.grow(state, group)
    rate_limiter.grow(state, group)


def _record_recovery(state: PolicyState, endpoint: Endpoint) -> None:
    """Lower the failure rates, end the recovery budget and close the circuit after a success."""
    transient_fault = state.now_us - endpoint.last_success_at_us < MAX_TRANSIENT_FAULT_US
    endpoint.last_success_at_us = state.now_us
    endpoint.failure_rate *= 1 - FAILURE_EWMA_WEIGHT
    endpoint.circuit.failure_rate *= 1 - FAILURE_EWMA_WEIGHT
    recovery_budget.record_success(state, endpoint.group)
    circuit_breaker.record_success(state, endpoint, transient_fault)


def _update_success_rate(state: PolicyState, group: EndpointGroup) -> None:
    decay = max(0.0, 1 - (state.now_us - group.last_success_at_us) / SUCCESS_RATE_DECAY_US)
    group.success_rate_per_s = group.success_rate_per_s * decay + SUCCESS_RATE_STEP
    group.last_success_at_us = state.now_us


def ambiguous_failure_rate(state: PolicyState, endpoint: Endpoint) -> float:
    """Return the share of calls that failed ambiguously: the message may have been applied.

    It decays linearly to 0 with the time since the last success or ambiguous failure.
    """
    decay_us = max(1.0, AMBIGUOUS_DECAY_SHARE * state.settings.slow_start_us)
    since_us = state.now_us - endpoint.ambiguous_failure_at_us
    return endpoint.ambiguous_failure_rate * max(0.0, 1 - since_us / decay_us)

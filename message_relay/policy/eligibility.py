"""Eligibility: which endpoints may get a call now, and which messages may be attempted there.

An endpoint admits a call if it is ready and not cordoned, and if its connection limit, Retry-After, recovery
budget, circuit breaker, slow start and rate limit all allow one. A message may be attempted there if it has
time and attempts left, if a repetition is safe for its class, and if its order key allows it. Where a
condition depends on time alone, a tick is scheduled for the time at which it may be met.
"""

import math

from message_relay.model import EndpointState, Idempotency, KeyScope
from message_relay.policy import (
    circuit_breaker,
    outlier_detection,
    rate_limiter,
    recovery_budget,
    retry,
    slow_start,
    timeouts,
)
from message_relay.policy_state import Endpoint, Message, PolicyState

# Share of ambiguous failures at an endpoint above which non-idempotent messages are deferred.
MAX_AMBIGUOUS_FAILURE_RATE = 0.15
AMBIGUOUS_FAILURE_WAIT_US = 250_000
MIN_ROUND_TRIPS_TO_WAIT = 4  # with less time until the deadline, a message is no longer deferred


def endpoint_admits(state: PolicyState, endpoint: Endpoint, fast_retry_ready: bool = False) -> bool:
    """Return whether the endpoint may get a call, apart from slots and concurrency windows.

    ``fast_retry_ready`` is true if a message whose first attempt failed fast is ready for its retry. The
    retry needs no token of the recovery budget and, in a large fleet, none of an open circuit.
    """
    group, now, circuit = endpoint.group, state.now_us, endpoint.circuit
    out_of_service = endpoint.cordoned or endpoint.state is not EndpointState.READY
    if out_of_service or len(endpoint.in_flight) >= endpoint.connection_limit:
        return False
    if now < group.retry_after_until_us:
        state.schedule_tick(group.retry_after_until_us)
        return False
    in_recovery = group.recovery.limited_since_us >= 0
    if in_recovery and (wait_us := recovery_budget.wait_us(state, group)) and not fast_retry_ready:
        state.schedule_tick(now + wait_us)
        return False
    if circuit.open and not circuit_breaker.half_open_attempt_allowed(state, circuit, fast_retry_ready):
        return False
    if circuit.slow_start_since_us >= 0 and (wait_us := slow_start.wait_us(state, endpoint)):
        state.schedule_tick(now + wait_us)
        return False
    if group.rate_limit_per_s and rate_limiter.tokens(state, group) < 1.0:
        state.schedule_tick(
            max(now, group.bucket.updated_at_us) + group.bucket.wait_us(group.rate_limit_per_s)
        )
        return False
    return True


def attempt_allowed(state: PolicyState, message: Message, endpoint: Endpoint) -> bool:
    """Return whether the message may be attempted at an endpoint that admits calls."""
    group, circuit = endpoint.group, endpoint.circuit
    remaining_us = min(message.deadline_us, state.shutdown_at_us) - state.now_us - state.deadline_margin_us
    if state.shutdown_at_us < math.inf and remaining_us < timeouts.response_timeout_us(state, group):
        return False  # the shutdown could cut the call off
    if message.closed or message.in_flight or message.attempts >= state.max_attempts or remaining_us <= 0:
        return False
    if state.now_us < message.next_attempt_at_us:
        state.schedule_tick(message.next_attempt_at_us)
        return False
    no_half_open_token = state.large_fleet and circuit.open and circuit.bucket.tokens < 1.0
    if not message.fast_retry_allowed and (no_half_open_token or recovery_budget.wait_us(state, group)):
        return False
    if message.possibly_applied_at_us >= 0 and not _repeat_allowed(state, message, endpoint):
        return False
    if message.order_key and not _order_allows(state, message):
        return False
    return not _deferred_by_ambiguous_failures(state, message, endpoint, remaining_us)


def _repeat_allowed(state: PolicyState, message: Message, endpoint: Endpoint) -> bool:
    """Return whether a possibly applied message may be attempted again at the endpoint.

    Endpoints have no cell here: with KeyScope.CELL, all endpoints of the destination are taken as one cell.
    """
    message_class = message.message_class
    if message_class.idempotency is not Idempotency.KEYED:
        return message_class.idempotency is Idempotency.IDEMPOTENT
    in_scope = message_class.key_scope is not KeyScope.ZONE or endpoint.zone == message.possibly_applied_zone
    return in_scope and state.now_us < retry.last_start_us(state, message)


def _order_allows(state: PolicyState, message: Message) -> bool:
    """Return whether the message is the first of its order key and is not held back by a pause.

    Earlier messages of the key precede it while they are open or have an attempt in flight. An ambiguous
    failure starts a pause for the messages of the key that were not attempted yet.
    """
    pause_until_us = state.order_pauses.get(message.order_key, 0)
    paused = message.attempts == 0 and state.now_us < pause_until_us
    if paused:
        state.schedule_tick(pause_until_us)
    return not paused and state.order_queues[message.order_key][0] is message


def _deferred_by_ambiguous_failures(
    state: PolicyState, message: Message, endpoint: Endpoint, remaining_us: float
) -> bool:
    """Return whether a non-idempotent message is deferred because calls to the endpoint fail ambiguously.

    It could not be retried after such a failure. Near its deadline it is attempted nevertheless.
    """
    if message.message_class.idempotency is not Idempotency.NON_IDEMPOTENT:
        return False
    rate_acceptable = outlier_detection.ambiguous_failure_rate(state, endpoint) <= MAX_AMBIGUOUS_FAILURE_RATE
    if rate_acceptable or remaining_us <= MIN_ROUND_TRIPS_TO_WAIT * endpoint.group.latency_mean_us:
        return False
    state.schedule_tick(state.now_us + AMBIGUOUS_FAILURE_WAIT_US)
    return True

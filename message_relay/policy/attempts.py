"""Dispatch of calls and handling of their outcomes.

While call slots are free, the most urgent message of any destination is sent. When an attempt ends, its
outcome updates the statistics of the endpoint and its group, and the message is retried with full jitter,
finished with a final answer, or closed without one. A call may carry a batch: its outcome is recorded once,
with the first attempt whose result is conclusive for the call.
"""

from message_relay import model
from message_relay.model import RESULTS_NOT_APPLIED, AttemptResult
from message_relay.policy import (
    connection_reuse,
    final_answer,
    outlier_detection,
    retry,
    selection,
    timeouts,
)
from message_relay.policy.slow_start import MAX_TRANSIENT_FAULT_US
from message_relay.policy_state import Call, Endpoint, Message, PolicyState

# A message whose first attempt failed within this time is retried without a token of the recovery budget or,
# in a large fleet, of the open circuit.
FAST_FAILURE_US = 200_000
# Added to each Retry-After, which arrives truncated to milliseconds: no call is sent just before its end.
RETRY_AFTER_ROUNDING_US = 1_000


def dispatch(state: PolicyState) -> None:
    """Send the queued messages that may be sent, the most urgent first, while slots are free.

    A destination whose calls may carry batches gets at most one call in each tick.
    """
    waiting = (destination for destination in state.destinations.values() if destination.queue)
    selected = {d.id: candidate for d in waiting if (candidate := selection.select(state, d))}
    while selected and state.in_flight < state.settings.call_slots:
        number = min(selected, key=lambda n: selected[n].order)
        candidate = selected.pop(number)
        _send_call(state, candidate.message, candidate.endpoint)
        destination = state.destinations[number]
        unbatched = state.settings.destination_types[destination.type_index].max_batch_size == 1
        if destination.queue and unbatched and (next_candidate := selection.select(state, destination)):
            selected[number] = next_candidate


def _send_call(state: PolicyState, message: Message, endpoint: Endpoint) -> None:
    group, circuit = endpoint.group, endpoint.circuit
    call = Call(endpoint, state.now_us, endpoint_was_idle=not endpoint.in_flight)
    state.change_calls_in_flight(call, 1)
    endpoint.in_flight[id(call)] = call
    non_idempotent = message.message_class.idempotency is model.Idempotency.NON_IDEMPOTENT
    call.require_new_connection = non_idempotent and connection_reuse.reused_connections_reset_more_often(
        state
    )
    _take_idle_connection(state, call)
    if group.rate_limit_per_s:
        group.bucket.tokens -= 1.0
    if circuit.open:
        circuit.half_open_call = call
    if circuit.slow_start_since_us >= 0 or (circuit.open and state.large_fleet):
        circuit.bucket.tokens -= 1.0
    group.recovery.bucket.tokens -= 1.0
    for member in (message, *selection.batch_companions(state, message, endpoint)):
        _start_attempt(state, member, call)


def _take_idle_connection(state: PolicyState, call: Call) -> None:
    """Record how long the connection that the call reuses has been idle, and count it as idle no more.

    It is the endpoint's connection that became idle last, as in the pool of the server. If even that one was
    idle for longer than the reuse limit, the call uses a new connection, and all idle ones are closed before,
    unless the endpoint has closed them at the idle timeout.
    """
    endpoint, now = call.endpoint, state.now_us
    oldest_reusable_us = now - state.statistics.idle_reuse_limit_us
    if endpoint.idle_connections_since_us and not call.require_new_connection:
        newest_us = endpoint.idle_connections_since_us[-1]
        if newest_us > oldest_reusable_us:
            call.connection_idle_us = now - newest_us
        elif newest_us > now - state.settings.connection_idle_timeout_us:
            state.actions.append(model.CloseIdleConnections(endpoint.id))
    endpoint.idle_connections_since_us = [
        since_us for since_us in endpoint.idle_connections_since_us if since_us > oldest_reusable_us
    ]
    if not call.require_new_connection:
        endpoint.idle_connections_since_us = endpoint.idle_connections_since_us[:-1]


def _start_attempt(state: PolicyState, message: Message, call: Call) -> None:
    reused_timeout_us, new_timeout_us = timeouts.attempt_timeouts_us(state, message, call)
    state.start_attempt(message, call)
    timeout_us = new_timeout_us if call.connection_idle_us < 0 else reused_timeout_us
    action = model.SendAttempt(
        message.id, call.endpoint.id, timeout_us, new_timeout_us, call.require_new_connection
    )
    state.actions.append(action)


def record_outcome(state: PolicyState, event: model.AttemptEnded) -> None:
    """Record the outcome of an ended attempt, then retry, finish or close its message.

    An unknown attempt is ignored.
    """
    call, message = state.calls.pop((event.message, event.attempt), (None, None))
    if call is None or message is None:
        return
    call.open_attempts -= 1
    message.in_flight -= 1
    _release_connection(state, call, event)
    group = call.endpoint.group
    if event.retry_after_us:  # honored for each attempt of a call, since the values may differ within a batch
        until_us = state.now_us + event.retry_after_us + RETRY_AFTER_ROUNDING_US
        group.retry_after_until_us = max(group.retry_after_until_us, until_us)
    _record_call_outcome(state, call, event)
    state.remove_if_unused(call.endpoint)
    ambiguous = event.result in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
    if ambiguous and message.order_key and state.settings.order_key_pause_us:
        state.pause_order_key(message.order_key)
    if message.closed or event.message_ended or message.response_started:
        state.close_message(message)
        return
    if event.result not in RESULTS_NOT_APPLIED and message.possibly_applied_at_us < 0:
        message.possibly_applied_at_us, message.possibly_applied_zone = call.sent_at_us, call.endpoint.zone
    if not message.in_flight:
        _retry_or_finish(state, message, call, event)


def _release_connection(state: PolicyState, call: Call, event: model.AttemptEnded) -> None:
    endpoint = call.endpoint
    if event.new_connection is not None and event.new_connection != (call.connection_idle_us < 0):
        call.connection_idle_us = -1 if event.new_connection else 0
        if event.new_connection:  # the server had no idle connection, although one is recorded here
            endpoint.idle_connections_since_us.clear()
    if call.open_attempts:
        return
    state.change_calls_in_flight(call, -1)
    endpoint.in_flight.pop(id(call), None)
    if event.result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED):
        if state.statistics.idle_reuse_limit_us or endpoint.group.destination.queue:
            endpoint.idle_connections_since_us.append(state.now_us)
        else:
            state.actions.append(model.CloseIdleConnections(endpoint.id))


def _record_call_outcome(state: PolicyState, call: Call, event: model.AttemptEnded) -> None:
    endpoint, group, circuit = call.endpoint, call.endpoint.group, call.endpoint.circuit
    if not call.outcome_recorded and not _is_inconclusive(call, event):
        call.outcome_recorded = True
        if event.result is not AttemptResult.REJECTED:
            timeouts.record_slot_occupancy(state, group, event.latency_us)
        # A malformed response counts as a failure of the endpoint only if it had no success within this time.
        if not event.malformed or state.now_us - endpoint.last_success_at_us > MAX_TRANSIENT_FAULT_US:
            outlier_detection.record_call_outcome(state, call, event)
    if call.open_attempts:
        return
    if circuit.half_open_call is call:
        circuit.half_open_call = None
    # Nothing was sent: the tokens are returned.
    if not call.outcome_recorded and event.result is AttemptResult.NOT_ATTEMPTED:
        group.bucket.tokens += 1.0
        circuit.bucket.tokens = min(1.0, circuit.bucket.tokens + 1.0)
        group.recovery.bucket.tokens += 1.0


def _is_inconclusive(call: Call, event: model.AttemptEnded) -> bool:
    """Return whether the attempt's result shows nothing about its call.

    A cancelled attempt and one that was not made are inconclusive. So is a time-out or a failed connection
    while other attempts of the batch are open: the deadline of the message came before the end of the call.
    """
    if event.result in (AttemptResult.CANCELLED, AttemptResult.NOT_ATTEMPTED):
        return True
    return call.open_attempts > 0 and event.result in (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED)


def _retry_or_finish(state: PolicyState, message: Message, call: Call, event: model.AttemptEnded) -> None:
    not_attempted = event.result is AttemptResult.NOT_ATTEMPTED
    wait_us = 0 if not_attempted else retry.backoff_us(state, message.attempts - 1)
    last_start_us = retry.last_start_us(state, message)
    overloaded = event.result is AttemptResult.REJECTED and not call.connection_limit_reached
    if overloaded and not retry.retries_after_rejection(state, message):
        final_answer.finish(state, message, event.retry_after_us)
    elif message.attempts >= state.max_attempts or state.now_us + wait_us >= last_start_us:
        final_answer.finish(state, message)
    else:
        if last_start_us < message.deadline_us - state.deadline_margin_us:
            state.schedule_expiry(last_start_us, message)
        message.next_attempt_at_us = state.now_us + wait_us
        message.fast_retry_allowed = message.attempts == 1 and event.latency_us < FAST_FAILURE_US
        message.destination.queue.append(message)

"""Admission control and load shedding.

A new message is queued, or gets its final answer at once if no attempt is possible. When the number of open
messages nears its limit, messages of the lowest weight are removed from the longest queue. In a large fleet,
new messages are also rejected unsent: if the queue is too long for the rate limit or, with no rate limit, at
random with the destination's share of rejected calls. An instance there sends too few calls to estimate a
rate, but the random rejections of all instances add up to the required share.
"""

import functools

from message_relay.model import MessageSubmitted
from message_relay.policy import final_answer, rate_limiter, retry, selection, slow_start
from message_relay.policy_state import Destination, Message, PolicyState

# Longest queueing delay at the rate limit, as a share of the time until the message's deadline.
MAX_QUEUE_DELAY_SHARE = 0.5
MAX_REJECTION_PROBABILITY = 0.9  # the calls that remain show when the destination accepts calls again
MESSAGE_HEADROOM = 2  # open messages below the limit that shedding keeps available for new ones
CAPACITY_FREE_SHARE = 0.8  # hysteresis: capacity is logged as available only below this share of the limit


def submit(state: PolicyState, event: MessageSubmitted) -> None:
    """Queue a new message, or send its final answer if it is rejected or has no attempt left."""
    if event.message in state.messages:
        return
    state.last_sequence += 1
    if event.resubmitted:
        state.rejections_since_resubmission = 0
    message_class, destination = (
        state.settings.classes[event.message_class],
        state.destination(event.destination),
    )
    message = Message.submitted(event, message_class, destination, state.last_sequence, state.now_us)
    destination.submitted_messages += 1
    for group in destination.groups:
        slow_start.credit_new_message(state, group)
    message.weight = message_class.priority_weight * _tenant_weight_factor(state, event.tenant)
    state.add_message(message)
    _log_capacity(state)
    if _is_rejected(state, message) or retry.has_no_attempt_left(state, message):
        final_answer.finish(state, message, state.settings.max_retry_after_us)
    else:
        state.schedule_expiry(retry.last_start_us(state, message), message)


def _tenant_weight_factor(state: PolicyState, tenant: int) -> float:
    """Return the factor of a message's weight: 1 within its tenant's quota, less above it."""
    if tenant >= len(state.quotas):
        return 1.0
    quota = state.quotas[tenant]
    quota.bucket.refill(state.now_us, quota.rate_per_s, max(1.0, quota.rate_per_s))
    if quota.bucket.tokens < 1.0:
        return state.settings.over_quota_weight
    quota.bucket.tokens -= 1.0
    return 1.0


def _log_capacity(state: PolicyState) -> None:
    capacity_reached = len(state.messages) >= state.settings.max_open_messages - 1
    capacity_available = len(state.messages) < state.settings.max_open_messages * CAPACITY_FREE_SHARE
    if capacity_reached != state.capacity_reached_logged and (capacity_reached or capacity_available):
        state.capacity_reached_logged = capacity_reached
        slots = f"in_flight={state.in_flight} slots={state.settings.call_slots}"
        state.log(f"{'capacity reached' if capacity_reached else 'capacity available'}, {slots}")


def _is_rejected(state: PolicyState, message: Message) -> bool:
    if not state.large_fleet or message.restored:
        return False
    probability = _rejection_probability(state, message.destination, message.deadline_us - state.now_us)
    return bool(probability) and state.random.random() < probability


def _rejection_probability(state: PolicyState, destination: Destination, remaining_us: int) -> float:
    """Return the probability with which a new message is rejected unsent.

    If all groups have a rate limit, it is 1 or 0, by the queueing delay. Otherwise it is the share of calls
    that the groups reject. A destination that counts rejected calls against its limit rejects nearly all
    calls once the fleet exceeds the limit, and resubmitted messages keep the load above it. One instance
    sends too few calls to estimate a rate, but the random rejections of all instances add up to the required
    share.
    """
    groups = destination.groups
    if groups and all(group.rate_limit_per_s for group in groups):
        rate = sum(group.rate_limit_per_s for group in groups)
        backlog = len(destination.queue) - sum(rate_limiter.tokens(state, group) for group in groups)
        return float(backlog / rate * 1e6 > MAX_QUEUE_DELAY_SHARE * remaining_us)
    # For groups without calls so far: that of the destination type, squared so that a low one counts little.
    type_rejection_rate = state.statistics.rejection_rate_by_type[destination.type_index] ** 2
    rejection_rates_of_groups = [
        group.rejection_rate if group.rejection_rate or group.last_success_at_us else type_rejection_rate
        for group in groups
        if not group.rate_limit_per_s
    ]
    return min(MAX_REJECTION_PROBABILITY, sum(rejection_rates_of_groups) / max(1, len(groups)))


def shed_load(state: PolicyState) -> None:
    """End queued messages while fewer than MESSAGE_HEADROOM further ones could be accepted.

    They are taken from the longest queue: a failing destination must not use up the capacity for messages
    that could be sent at once.
    """
    while len(state.messages) > max(1, state.settings.max_open_messages - MESSAGE_HEADROOM):
        destination = max(state.destinations.values(), key=lambda d: len(d.queue))
        if len(destination.queue) <= 1:
            return
        lowest = min(destination.queue, key=functools.partial(_shedding_rank, state))
        final_answer.finish(state, lowest)


def _shedding_rank(state: PolicyState, message: Message) -> tuple[bool, bool, float, int]:
    """Return a sort key; the message with the lowest one is shed first.

    Messages that were possibly applied go last, before them the restored and unattempted ones. Among the
    others the one of the lowest present weight goes first, and of equal ones the newest.
    """
    weight = selection.weight_at(state, message, state.now_us)
    return message.possibly_applied_at_us >= 0, message.restored_unattempted, weight, -message.sequence


def capacity_retry_after_us(state: PolicyState) -> int:
    """Return a Retry-After in microseconds with jitter, for a message that exceeds the capacity."""
    return int(state.settings.max_retry_after_us * state.random.uniform(0.5, 1))

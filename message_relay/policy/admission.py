"""Admission: new messages are taken in, or rejected at once where they could not be delivered."""

import functools

from message_relay.model import MessageSubmitted
from message_relay.policy import final_answer, rate_limiter, retry, selection, slow_start
from message_relay.policy_state import Destination, Message, PolicyState

MAX_QUEUE_DELAY_SHARE = 0.5  # what would wait for its rate over this part of its time is rejected
MAX_REJECTION_PROBABILITY = 0.9  # at most this share of new messages is rejected unsent
MESSAGE_HEADROOM = 2  # places kept free for new messages
CAPACITY_FREE_SHARE = 0.8  # the log says that there is capacity again below this


def submit(state: PolicyState, event: MessageSubmitted) -> None:
    """Queue a new message, or give it its final answer."""
    if event.message in state.messages:
        return
    state.sequence += 1
    if event.resubmitted:
        state.rejections_since_resubmission = 0
    message_class, destination = (
        state.settings.classes[event.message_class],
        state.destination(event.destination),
    )
    message = Message.submitted(event, message_class, destination, state.sequence, state.now_us)
    destination.arrivals += 1
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
    """What a message counts for: traffic over its tenant's quota is worth little."""
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
    if capacity_reached != state.capacity_full and (capacity_reached or capacity_available):
        state.capacity_full = capacity_reached
        slots = f"in_flight={state.in_flight} slots={state.settings.call_slots}"
        state.log(f"{'capacity reached' if capacity_reached else 'capacity is free'}, {slots}")


def _is_rejected(state: PolicyState, message: Message) -> bool:
    if not state.large_fleet or message.restored:
        return False
    probability = _rejection_probability(state, message.destination, message.deadline_us - state.now_us)
    return bool(probability) and state.random.random() < probability


def _rejection_probability(state: PolicyState, destination: Destination, remaining_us: int) -> float:
    """Share of a destination's new messages that is rejected unsent: as many as of its calls are.

    Where rejected calls use up the limit too, a destination of many instances rejects nearly all once calls
    pass its limit, and what clients resubmit keeps it there. One instance sees too few to pace itself, but a
    share by chance adds up.
    """
    groups = destination.groups
    if groups and all(group.rate_limit_per_s for group in groups):
        rate = sum(group.rate_limit_per_s for group in groups)
        backlog = len(destination.queue) - sum(rate_limiter.tokens(state, group) for group in groups)
        return float(backlog / rate * 1e6 > MAX_QUEUE_DELAY_SHARE * remaining_us)
    type_rejection_rate = (
        state.statistics.rejection_rates[destination.type_index] ** 2
    )  # to groups that had no calls yet
    rejection_rates_of_groups = [
        group.rejection_rate if group.rejection_rate or group.last_success_at_us else type_rejection_rate
        for group in groups
        if not group.rate_limit_per_s
    ]
    return min(MAX_REJECTION_PROBABILITY, sum(rejection_rates_of_groups) / max(1, len(groups)))


def shed_load(state: PolicyState) -> None:
    """Give back what waits for a destination at fault before it keeps out what could be sent at once."""
    while len(state.messages) > max(1, state.settings.max_open_messages - MESSAGE_HEADROOM):
        destination = max(state.destinations.values(), key=lambda d: len(d.queue))
        if len(destination.queue) <= 1:
            return
        lowest = min(destination.queue, key=functools.partial(_shedding_rank, state))
        final_answer.finish(state, lowest)


def _shedding_rank(state: PolicyState, message: Message) -> tuple[bool, bool, float, int]:
    """The least goes first: never attempted, of little weight now, the newest."""
    weight = selection.weight_at(state, message, state.now_us)
    return message.possibly_applied_at_us >= 0, message.restored_unattempted, weight, -message.sequence


def capacity_retry_after_us(state: PolicyState) -> int:
    """A Retry-After for a message that there is no capacity for: spread by chance."""
    return int(state.settings.max_retry_after_us * state.random.uniform(0.5, 1))

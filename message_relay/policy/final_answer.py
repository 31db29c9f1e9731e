"""Final answers of messages that are not delivered, each sent once and no later than the deadline.

A message is rejected, so that the client may resubmit it, only if a second delivery is safe: it is
idempotent, no attempt was possibly applied, or its key is recognized by all endpoints. Otherwise it fails.
"""

import heapq

from message_relay.model import FailMessage, Idempotency, KeyScope, RejectMessage
from message_relay.policy import retry
from message_relay.policy_state import Message, PolicyState


def finish(state: PolicyState, message: Message, retry_after_us: int = 0) -> None:
    """Close a message: reject it if its resubmission is safe, otherwise fail it.

    A rejection carries the given Retry-After in microseconds, at most the maximum that clients honor. It
    counts towards the rejections without a resubmission only if the client has time left to resubmit.
    """
    remaining_us, retry_after_limit_us = message.deadline_us - state.now_us, state.settings.max_retry_after_us
    if not _resubmission_is_safe(message):
        state.actions.append(FailMessage(message.id))
    else:
        if remaining_us > max(retry_after_limit_us, message.message_class.latency_objective_us):
            state.rejections_since_resubmission += 1
        # Without a given Retry-After: half the maximum, if more than the maximum remains until the deadline.
        if not retry_after_us and remaining_us > retry_after_limit_us:
            retry_after_us = retry_after_limit_us // 2
        state.actions.append(RejectMessage(message.id, min(retry_after_us, retry_after_limit_us)))
    state.close_message(message)


def _resubmission_is_safe(message: Message) -> bool:
    message_class = message.message_class
    not_applied = message.possibly_applied_at_us < 0 and not message.in_flight
    keyed = message_class.idempotency is Idempotency.KEYED and message_class.key_scope is KeyScope.ALL
    return message_class.idempotency is Idempotency.IDEMPOTENT or not_applied or keyed


def expire(state: PolicyState) -> None:
    """Finish the messages whose deadline or last possible start has passed."""
    while state.expiries and state.expiries[0][0] <= state.now_us:
        message = state.messages.get(heapq.heappop(state.expiries)[1])
        if message is None or message.closed or message.response_started:
            continue
        if message.in_flight and state.now_us < message.deadline_us:
            # The attempt in flight ends by the deadline, with a success or a time-out.
            state.schedule_expiry(message.deadline_us, message)
        elif message.in_flight or state.now_us >= retry.last_start_us(state, message):
            finish(state, message)

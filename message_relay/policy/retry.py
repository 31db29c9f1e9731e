"""Retries: whether and when a message may be attempted again.

Retries follow "Retries (Agents SDK design)", with exponential backoff and full jitter: a failed call is
retried after random(0, min(cap, base * 2**attempt)), a few times at most, and an overload rejection ends the
message. A message that was possibly applied is repeated only if its class allows it and within its key
window.
"""

import math

from message_relay.model import Idempotency, KeyScope
from message_relay.policy_state import Message, PolicyState

BACKOFF_BASE_US = 100_000  # upper bound of the first wait (the design's default)
BACKOFF_CAP_US = 3_000_000  # upper bound of every wait (the design's default)
MAX_BACKOFF_EXPONENT = 30
REJECTIONS_WITHOUT_RESUBMISSION = 20  # after this number, clients are assumed not to resubmit


def backoff_us(state: PolicyState, attempt: int) -> int:
    """Return a backoff in microseconds with full jitter, after the attempt of that number (from 0)."""
    ceiling_us = min(BACKOFF_CAP_US, BACKOFF_BASE_US * 2 ** min(attempt, MAX_BACKOFF_EXPONENT))
    return int(state.random.uniform(0, ceiling_us))


def last_start_us(state: PolicyState, message: Message) -> float:
    """Return the time at which an attempt may start at the latest, in microseconds.

    It is the deadline margin before the deadline or, for a message that was possibly applied, before the end
    of the time in which its class allows a repetition, if that is earlier.
    """
    latest_us: float = message.deadline_us
    if message.possibly_applied_at_us >= 0:
        latest_us = min(latest_us, message.possibly_applied_at_us + _repeat_window_us(message))
    return latest_us - state.deadline_margin_us


def _repeat_window_us(message: Message) -> float:
    if message.message_class.idempotency is Idempotency.IDEMPOTENT:
        return math.inf
    return (
        message.message_class.key_window_us if message.message_class.idempotency is Idempotency.KEYED else 0
    )


def has_no_attempt_left(state: PolicyState, message: Message) -> bool:
    """Return whether a newly submitted message has no attempt left and needs its final answer at once.

    That can be a restored message, or one whose idempotency key was used by an earlier message: the attempts
    made for it count.
    """
    possibly_applied, message_class = message.possibly_applied_at_us >= 0, message.message_class
    keyed = message_class.idempotency is Idempotency.KEYED
    if (
        possibly_applied
        and keyed
        and message_class.key_scope is not KeyScope.ALL
        and message.possibly_applied_zone < 0
    ):
        return True  # the endpoints that would recognize the key are unknown
    too_late = possibly_applied and state.now_us >= last_start_us(state, message)
    return message.attempts >= state.max_attempts or too_late


def retries_after_rejection(state: PolicyState, message: Message) -> bool:
    """Return whether the message is retried after an overload rejection, which otherwise ends it.

    That is so if clients mark resubmissions and none followed the last REJECTIONS_WITHOUT_RESUBMISSION
    rejections: rejected messages are then lost.
    """
    clients_do_not_resubmit = state.rejections_since_resubmission >= REJECTIONS_WITHOUT_RESUBMISSION
    return (
        state.settings.clients_mark_retries
        and clients_do_not_resubmit
        and message.attempts < state.max_attempts
    )

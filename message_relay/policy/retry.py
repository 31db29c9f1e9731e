"""Whether and when a message may be attempted again.

The ordinary path is the full-jitter retry of "Retries (Agents SDK design)": a failed call is retried after
random(0, min(cap, base * 2**attempt)), a few times at most; an overload rejection ends the message.
"""

import math

from message_relay.model import Idempotency, KeyScope
from message_relay.policy_state import Message, PolicyState

BACKOFF_BASE_US = 100_000  # first ceiling of the wait (the design's default)
BACKOFF_CAP_US = 3_000_000  # highest ceiling (the design's default)
MAX_BACKOFF_EXPONENT = 30
REJECTIONS_WITHOUT_RESUBMISSION = 20  # after so many, clients are assumed not to resubmit


def backoff_us(state: PolicyState, attempt: int) -> int:
    """A wait with full jitter, after the attempt of that number (from 0)."""
    ceiling_us = min(BACKOFF_CAP_US, BACKOFF_BASE_US * 2 ** min(attempt, MAX_BACKOFF_EXPONENT))
    return int(state.random.uniform(0, ceiling_us))


def last_start_us(state: PolicyState, message: Message) -> float:
    """Until when an attempt may begin: in time and, if it may have been applied, as the class says."""
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
    """Whether a message that was just taken in has no attempt left: its final answer is due at once."""
    possibly_applied, message_class = message.possibly_applied_at_us >= 0, message.message_class
    keyed = message_class.idempotency is Idempotency.KEYED
    if (
        possibly_applied
        and keyed
        and message_class.key_scope is not KeyScope.ALL
        and message.possibly_applied_zone < 0
    ):
        return True  # nobody knows which endpoints would recognize the key
    too_late = possibly_applied and state.now_us >= last_start_us(state, message)
    return message.attempts >= state.max_attempts or too_late


def retries_after_rejection(state: PolicyState, message: Message) -> bool:
    """Whether the message waits here after an overload rejection, which otherwise ends it.

    Where clients mark what they resubmit and many rejections brought nobody back, a rejection is a loss.
    """
    clients_do_not_resubmit = state.rejections_since_resubmission >= REJECTIONS_WITHOUT_RESUBMISSION
    return (
        state.settings.clients_mark_retries
        and clients_do_not_resubmit
        and message.attempts < state.max_attempts
    )

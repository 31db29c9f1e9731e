"""Pace: a group that rejects calls for overload, or tells its limit, gets calls at a rate."""

import math

from message_relay.policy import concurrency_window, retry
from message_relay.policy.slow_start import ASSUMED_HEADROOM_FACTOR
from message_relay.policy_state import EndpointGroup, PolicyState

REJECTION_EWMA_WEIGHT = 0.5  # weight of the newest call in the share of rejected ones, of a group
TYPE_REJECTION_EWMA_WEIGHT = 1 / 16  # and of a destination type
BURST_CAPACITY_S = 0.8  # capacity of a bucket, in seconds of its rate
COSTLY_BURST_CAPACITY_S = 0.4  # the same where a rejected call has a cost
OVERLOAD_DECREASE_FACTOR = 0.75  # on overload the rate shrinks to this share, once a round trip
INCREASE_SHARE = 0.1  # and a success adds this share of the advertised (or first learned) rate
NEAR_REJECTED_RATE_SHARE = 0.9  # share of the rate that was rejected last from which the rate grows slowly
REJECTION_EXPIRY_US = 5_000_000  # time after a rejection in which the slow growth returns to full speed
MIN_INCREASE_FACTOR = 0.1
SCARCE_REMAINING_SHARE = 0.1  # with less than this of a limit left for all, this instance keeps to its part
MIN_SHARE_OF_ADVERTISED_RATE = 0.4  # the rate does not fall further than to this part of the advertised one
MIN_RATE_PER_S = 0.2  # lower bound of the rate, outside of large fleets
MIN_MEASURED_RATE_PER_S = 0.5  # lower bound of a first rate that is derived from measured successes


def tokens(state: PolicyState, group: EndpointGroup) -> float:
    """Calls that the group's rate allows now; 1 where it has none."""
    rate, bucket = group.rate_limit_per_s, group.bucket
    if not rate:
        return 1.0
    if state.now_us > bucket.updated_at_us:
        burst_s = COSTLY_BURST_CAPACITY_S if state.settings.rejected_call_cost else BURST_CAPACITY_S
        bucket.refill(state.now_us, rate, max(1.0, rate * burst_s))
    return bucket.tokens


def record_listed_limit(state: PolicyState, group: EndpointGroup, rate_limit_per_s: float) -> None:
    """The endpoint list gives a rate limit, of all instances together."""
    instance_limit = rate_limit_per_s / state.settings.instance_count
    if abs(instance_limit - group.advertised_rate_per_s) > 1e-6 * instance_limit:
        group.advertised_rate_per_s = instance_limit
        _set_rate_limit(state, group, instance_limit)


def record_reported_limit(
    state: PolicyState, group: EndpointGroup, limit_per_s: float, remaining_share: float
) -> None:
    """A load report tells the limit of all instances together: the pace keeps its ratio to this one's part.

    Rejections alone tell late of a limit that fell, and not at all of one that rose. ``remaining_share`` is
    the share of the limit that is left just now, below 0 if unknown.
    """
    instance_limit, previous_limit = limit_per_s / state.settings.instance_count, group.advertised_rate_per_s
    if previous_limit:
        group.rate_limit_per_s = group.rate_limit_per_s * instance_limit / previous_limit
        group.last_rejected_rate_per_s = group.last_rejected_rate_per_s * instance_limit / previous_limit
    else:
        _set_rate_limit(state, group, instance_limit)
        group.bucket.tokens, group.bucket.updated_at_us = (
            0.0,
            state.now_us,
        )  # the call that told it was a part
    group.advertised_rate_per_s = instance_limit
    if 0 <= remaining_share < SCARCE_REMAINING_SHARE:  # more than its part is taken from the others
        group.rate_limit_per_s = min(group.rate_limit_per_s, instance_limit)


def _set_rate_limit(state: PolicyState, group: EndpointGroup, instance_limit: float) -> None:
    # In a large fleet an equal part of a rate is a call in many seconds, and who needs it is chance: paced
    # only from a rejection on, until no more come and nothing waits.
    group.rate_limit_per_s = group.last_rejected_rate_per_s = 0.0 if state.large_fleet else instance_limit


def record_overload(state: PolicyState, group: EndpointGroup, retry_after_us: int) -> None:
    """A call was rejected for overload: cut the rate, halve the window, heed the wait or back off."""
    if state.now_us >= group.rate_cut_until_us:
        round_trip_us = max(int(group.latency_mean_us), 2 * state.settings.tick_interval_us)
        group.rate_cut_until_us = state.now_us + round_trip_us
        concurrency_window.halve(group)
        _decrease_rate(state, group)
        group.consecutive_rejections += 1
    wait_us = retry_after_us or retry.backoff_us(state, group.consecutive_rejections)
    group.retry_after_until_us = max(group.retry_after_until_us, state.now_us + wait_us)
    tokens(state, group)
    group.bucket.tokens = min(group.bucket.tokens, 1.0)
    group.bucket.updated_at_us = max(state.now_us, group.retry_after_until_us)


def _decrease_rate(state: PolicyState, group: EndpointGroup) -> None:
    rate, success_rate = group.rate_limit_per_s, group.success_rate_per_s
    group.last_rejected_rate_per_s = rate or success_rate * ASSUMED_HEADROOM_FACTOR
    if rate:
        min_rate = 0.0 if state.large_fleet else MIN_RATE_PER_S
        min_advertised = group.advertised_rate_per_s * MIN_SHARE_OF_ADVERTISED_RATE
        group.rate_limit_per_s = max(rate * OVERLOAD_DECREASE_FACTOR, min_advertised, min_rate)
    elif state.large_fleet:
        group.rate_limit_per_s = group.last_rejected_rate_per_s = group.advertised_rate_per_s
        group.bucket.tokens, group.bucket.updated_at_us = state.random.random(), state.now_us
    elif group.last_success_at_us:  # before any success the wait and a window of one will do
        group.rate_limit_per_s = max(MIN_MEASURED_RATE_PER_S, success_rate * OVERLOAD_DECREASE_FACTOR)


def record_rejection(state: PolicyState, group: EndpointGroup) -> None:
    """Count a rejection in the shares of rejected calls."""
    group.rejection_rate += (1 - group.rejection_rate) * REJECTION_EWMA_WEIGHT
    rates, type_index = state.statistics.rejection_rates, group.destination.type_index
    rates[type_index] += (1 - rates[type_index]) * TYPE_REJECTION_EWMA_WEIGHT


def record_success(state: PolicyState, group: EndpointGroup) -> None:
    """Count a success in the shares of rejected calls."""
    group.consecutive_rejections = 0
    group.rejection_rate *= 1 - REJECTION_EWMA_WEIGHT
    state.statistics.rejection_rates[group.destination.type_index] *= 1 - TYPE_REJECTION_EWMA_WEIGHT


def grow(state: PolicyState, group: EndpointGroup) -> None:
    """A call succeeded: raise the rate, fast up to where it was last rejected, then slowly, the faster the
    longer ago that was: growth at one pace met a rejection in ten calls.
    """
    rate, since_cut_us = group.rate_limit_per_s, state.now_us - group.rate_cut_until_us
    if not rate:
        return
    near_rejected_rate = rate >= NEAR_REJECTED_RATE_SHARE * group.last_rejected_rate_per_s
    step = (
        INCREASE_SHARE * min(1.0, max(MIN_INCREASE_FACTOR, since_cut_us / REJECTION_EXPIRY_US))
        if near_rejected_rate
        else INCREASE_SHARE
    )
    max_rate = group.advertised_rate_per_s * state.settings.instance_count or math.inf
    group.rate_limit_per_s = min(max_rate, rate + step * (group.advertised_rate_per_s or rate))
    if state.large_fleet and not group.destination.queue and since_cut_us > REJECTION_EXPIRY_US:
        group.rate_limit_per_s = 0.0

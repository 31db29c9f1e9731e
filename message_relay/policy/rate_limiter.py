"""Token-bucket rate limiting of calls to an endpoint group, with multiplicative decrease.

A group gets a rate limit from the endpoint list or a load report, of which the instance takes an equal share,
or from the first overload rejection. A rejection cuts the rate by a factor once for each round trip and
starts a wait, the Retry-After or a backoff; each success raises the rate by a step, slowly near the rate that
was rejected last. In a large fleet an equal share is only one call in many seconds, so the limit is enforced
only while calls are rejected.
"""

import math

from message_relay.policy import concurrency_window, retry
from message_relay.policy.slow_start import ASSUMED_HEADROOM_FACTOR
from message_relay.policy_state import EndpointGroup, PolicyState

REJECTION_EWMA_WEIGHT = 0.5  # of the newest call in a group's share of rejected calls
TYPE_REJECTION_EWMA_WEIGHT = 1 / 16  # of the newest call in a destination type's share of rejected calls
BURST_CAPACITY_S = 0.8  # capacity of a bucket, in seconds of its rate
COSTLY_BURST_CAPACITY_S = 0.4  # the same where a rejected call has a cost
OVERLOAD_DECREASE_FACTOR = 0.75  # multiplicative decrease, at most once for each round trip
# Increase with each success, as a share of the advertised rate, or of the current rate if none is advertised.
INCREASE_SHARE = 0.1
NEAR_REJECTED_RATE_SHARE = 0.9  # of the rate that was rejected last: from here on the increase is slower
REJECTION_EXPIRY_US = 5_000_000  # time after a rejection in which the slower increase returns to the full one
MIN_INCREASE_FACTOR = 0.1  # lower bound of the slower increase, as a share of the full one
# If less than this share of the limit for all instances remains, the instance does not exceed its own share.
SCARCE_REMAINING_SHARE = 0.1
MIN_SHARE_OF_ADVERTISED_RATE = 0.4  # lower bound of the rate, where a rate is advertised
MIN_RATE_PER_S = 0.2  # lower bound of the rate, outside of large fleets
MIN_MEASURED_RATE_PER_S = 0.5  # lower bound of a first rate that is derived from measured successes


def tokens(state: PolicyState, group: EndpointGroup) -> float:
    """Refill the group's bucket and return its tokens, one for each call; 1 if it has no rate limit."""
    rate, bucket = group.rate_limit_per_s, group.bucket
    if not rate:
        return 1.0
    if state.now_us > bucket.updated_at_us:
        burst_s = COSTLY_BURST_CAPACITY_S if state.settings.rejected_call_cost else BURST_CAPACITY_S
        bucket.refill(state.now_us, rate, max(1.0, rate * burst_s))
    return bucket.tokens


def record_listed_limit(state: PolicyState, group: EndpointGroup, rate_limit_per_s: float) -> None:
    """Store the rate limit from the endpoint list, which is for all instances together."""
    instance_limit = rate_limit_per_s / state.settings.instance_count
    if abs(instance_limit - group.advertised_rate_per_s) > 1e-6 * instance_limit:
        group.advertised_rate_per_s = instance_limit
        _set_rate_limit(state, group, instance_limit)


def record_reported_limit(
    state: PolicyState, group: EndpointGroup, limit_per_s: float, remaining_share: float
) -> None:
    """Store the rate limit from a load report, which is for all instances together.

    The instance's own rate is scaled with the limit: rejections alone show a lower limit late, and a higher
    one not at all. ``remaining_share`` is the unused share of the limit, negative if unknown.
    """
    instance_limit, previous_limit = limit_per_s / state.settings.instance_count, group.advertised_rate_per_s
    if previous_limit:
        group.rate_limit_per_s = group.rate_limit_per_s * instance_limit / previous_limit
        group.last_rejected_rate_per_s = group.last_rejected_rate_per_s * instance_limit / previous_limit
    else:
        _set_rate_limit(state, group, instance_limit)
        # The call that returned the report has used this instance's share: the bucket starts empty.
        group.bucket.tokens, group.bucket.updated_at_us = 0.0, state.now_us
    group.advertised_rate_per_s = instance_limit
    if 0 <= remaining_share < SCARCE_REMAINING_SHARE:  # a higher rate would use the other instances' shares
        group.rate_limit_per_s = min(group.rate_limit_per_s, instance_limit)


def _set_rate_limit(state: PolicyState, group: EndpointGroup, instance_limit: float) -> None:
    # In a large fleet an equal share is one call in many seconds, and which instances need it is random. The
    # rate is enforced only from a rejection on, until no more rejections come and the queue is empty.
    group.rate_limit_per_s = group.last_rejected_rate_per_s = 0.0 if state.large_fleet else instance_limit


def record_overload(state: PolicyState, group: EndpointGroup, retry_after_us: int) -> None:
    """Cut the rate and halve the concurrency window after an overload rejection, and start a wait.

    The wait is the Retry-After in microseconds, or a backoff with jitter if that is 0. No tokens accrue
    during the wait.
    """
    if state.now_us >= group.rate_cut_blocked_until_us:
        round_trip_us = max(int(group.latency_mean_us), 2 * state.settings.tick_interval_us)
        group.rate_cut_blocked_until_us = state.now_us + round_trip_us
        concurrency_window.halve(group)
        _decrease_rate(state, group)
        group.consecutive_overloads += 1
    wait_us = retry_after_us or retry.backoff_us(state, group.consecutive_overloads)
    group.retry_after_until_us = max(group.retry_after_until_us, state.now_us + wait_us)
    tokens(state, group)
    group.bucket.tokens = min(group.bucket.tokens, 1.0)
    group.bucket.updated_at_us = max(state.now_us, group.retry_after_until_us)


def _decrease_rate(state: PolicyState, group: EndpointGroup) -> None:
    """Cut the rate limit by a factor, or begin to enforce one if the group has none.

    The first limit is the advertised rate in a large fleet, otherwise a share of the success rate.
    """
    rate, success_rate = group.rate_limit_per_s, group.success_rate_per_s
    group.last_rejected_rate_per_s = rate or success_rate * ASSUMED_HEADROOM_FACTOR
    if rate:
        min_rate = 0.0 if state.large_fleet else MIN_RATE_PER_S
        min_advertised = group.advertised_rate_per_s * MIN_SHARE_OF_ADVERTISED_RATE
        group.rate_limit_per_s = max(rate * OVERLOAD_DECREASE_FACTOR, min_advertised, min_rate)
    elif state.large_fleet:
        group.rate_limit_per_s = group.last_rejected_rate_per_s = group.advertised_rate_per_s
        group.bucket.tokens, group.bucket.updated_at_us = state.random.random(), state.now_us
    elif group.last_success_at_us:  # before the first success, the wait and a window of one call are enough
        group.rate_limit_per_s = max(MIN_MEASURED_RATE_PER_S, success_rate * OVERLOAD_DECREASE_FACTOR)


def record_rejection(state: PolicyState, group: EndpointGroup) -> None:
    """Update the rejection rates of the group and its destination type with a rejection."""
    group.rejection_rate += (1 - group.rejection_rate) * REJECTION_EWMA_WEIGHT
    rates, type_index = state.statistics.rejection_rate_by_type, group.destination.type_index
    rates[type_index] += (1 - rates[type_index]) * TYPE_REJECTION_EWMA_WEIGHT


def record_success(state: PolicyState, group: EndpointGroup) -> None:
    """Update the rejection rates with a success, and reset the number of consecutive overloads."""
    group.consecutive_overloads = 0
    group.rejection_rate *= 1 - REJECTION_EWMA_WEIGHT
    state.statistics.rejection_rate_by_type[group.destination.type_index] *= 1 - TYPE_REJECTION_EWMA_WEIGHT


def grow(state: PolicyState, group: EndpointGroup) -> None:
    """Raise the rate after a success.

    Near the rate that was rejected last, the step is small at first and grows with the time since the last
    cut: with equal steps, one call in ten was rejected. The upper bound is the advertised rate of all
    instances together. In a large fleet the rate limit is removed when the last cut is REJECTION_EXPIRY_US
    ago and the queue is empty.
    """
    rate, since_block_ended_us = group.rate_limit_per_s, state.now_us - group.rate_cut_blocked_until_us
    if not rate:
        return
    near_rejected_rate = rate >= NEAR_REJECTED_RATE_SHARE * group.last_rejected_rate_per_s
    step = (
        INCREASE_SHARE * min(1.0, max(MIN_INCREASE_FACTOR, since_block_ended_us / REJECTION_EXPIRY_US))
        if near_rejected_rate
        else INCREASE_SHARE
    )
    max_rate = group.advertised_rate_per_s * state.settings.instance_count or math.inf
    group.rate_limit_per_s = min(max_rate, rate + step * (group.advertised_rate_per_s or rate))
    if state.large_fleet and not group.destination.queue and since_block_ended_us > REJECTION_EXPIRY_US:
        group.rate_limit_per_s = 0.0

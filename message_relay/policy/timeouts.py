"""Latency and time-outs: for how long a call is waited for.

A call is given up once it is likely lost. With a share p of calls lost and a tail that shrinks by e for each
TAIL_DEVIATIONS deviations, the odds of an answer are ANSWER_ODDS_AT_TIMEOUT after ln(1 /
(ANSWER_ODDS_AT_TIMEOUT * p)) times that.
"""

import math

from message_relay.model import Idempotency
from message_relay.policy_state import Call, EndpointGroup, Message, PolicyState

TAIL_DEVIATIONS = 1.35
ANSWER_ODDS_AT_TIMEOUT = 0.1
LOST_CALL_EWMA_WEIGHT = 1 / 32  # weight of the newest call in the share of lost ones
DEFAULT_CONNECTION_SETUP_US = (
    500_000  # what the first call on a new connection takes longer, until it has been seen
)
HALF_OPEN_TIMEOUT_SHARE = 0.6  # a half-open attempt gets this share of the time-out
OCCUPANCY_DECAY_US = 2_000_000  # time in which a group's slot occupancy fades to its latency
GROUP_EWMA_SPAN = 8  # a group's means are updated with weight 1 / GROUP_EWMA_SPAN
INSTANCE_EWMA_SPAN = 32  # the same for the mean over all calls of the instance


def answer_timeout_us(state: PolicyState, group: EndpointGroup) -> int:
    """Time in which an answer comes, unless the call is lost."""
    tail = math.log(1 / (ANSWER_ODDS_AT_TIMEOUT * state.statistics.lost_call_rate))
    late_us = group.latency_deviation_us * TAIL_DEVIATIONS * tail
    return int(group.latency_mean_us + max(group.latency_mean_us, late_us))


def latency_without_setup_us(state: PolicyState, call: Call, latency_us: int) -> int:
    """A call's latency without what the setup of its connection took, which is learned from it."""
    if call.connection_idle_us >= 0:
        return latency_us
    statistics, mean_us = state.statistics, call.endpoint.group.latency_mean_us
    if mean_us:
        extra_us = max(0.0, latency_us - mean_us)
        if not statistics.connection_setup_us:
            statistics.connection_setup_us, statistics.connection_setup_deviation_us = extra_us, extra_us / 2
        deviation_us = abs(extra_us - statistics.connection_setup_us)
        change_us = deviation_us - statistics.connection_setup_deviation_us
        statistics.connection_setup_deviation_us += change_us / GROUP_EWMA_SPAN
        statistics.connection_setup_us += (extra_us - statistics.connection_setup_us) / GROUP_EWMA_SPAN
    return max(1, int(latency_us - statistics.connection_setup_us))


def connection_setup_allowance_us(state: PolicyState) -> int:
    """Time that is allowed for the setup of a connection."""
    setup_us = state.statistics.connection_setup_us
    if not setup_us:
        return DEFAULT_CONNECTION_SETUP_US
    return int(setup_us + max(setup_us / 2, 3 * state.statistics.connection_setup_deviation_us))


def record_latency(state: PolicyState, group: EndpointGroup, latency_us: int) -> None:
    """A call succeeded after that time."""
    statistics = state.statistics
    decayed_rate = statistics.lost_call_rate * (1 - LOST_CALL_EWMA_WEIGHT)
    statistics.lost_call_rate = max(state.min_lost_call_rate, decayed_rate)
    if not group.latency_mean_us:
        # One quick answer is no ground for a short time-out: start from the mean of all calls.
        initial_us = max(float(latency_us), statistics.slot_occupancy_us)
        group.latency_mean_us = group.latency_deviation_us = initial_us
    change_us = abs(latency_us - group.latency_mean_us) - group.latency_deviation_us
    group.latency_deviation_us += change_us / GROUP_EWMA_SPAN
    group.latency_mean_us += (latency_us - group.latency_mean_us) / GROUP_EWMA_SPAN


def record_lost_call(state: PolicyState) -> None:
    """A call went unanswered though others that were sent with it or later were answered."""
    state.statistics.lost_call_rate += LOST_CALL_EWMA_WEIGHT * (1 - state.statistics.lost_call_rate)


def record_slot_occupancy(state: PolicyState, group: EndpointGroup, latency_us: int) -> None:
    """A call, also a failed one, took a slot for that time."""
    group.slot_occupancy_us += (latency_us - group.slot_occupancy_us) / GROUP_EWMA_SPAN
    group.slot_occupancy_at_us = state.now_us
    change_us = latency_us - state.statistics.slot_occupancy_us
    state.statistics.slot_occupancy_us += change_us / INSTANCE_EWMA_SPAN


def slot_occupancy_us(state: PolicyState, group: EndpointGroup) -> float:
    """Time that a call there is likely to take a slot.

    What lost calls added fades while none is sent: a group that is thought dear gets no slot, and would never
    show that it is not.
    """
    mean_us = group.latency_mean_us
    if not mean_us:
        return group.slot_occupancy_us
    decay = max(0.0, 1 - (state.now_us - group.slot_occupancy_at_us) / OCCUPANCY_DECAY_US)
    return mean_us + (group.slot_occupancy_us - mean_us) * decay


def attempt_timeouts_us(state: PolicyState, message: Message, call: Call) -> tuple[int, int]:
    """The time-outs of an attempt that starts now: on a reused connection, and on a new one."""
    group, objective_us = call.endpoint.group, message.message_class.latency_objective_us
    if not group.latency_mean_us:
        timeout_us = _timeout_us(state, message, call, max(state.settings.connect_timeout_us, objective_us))
        return timeout_us, timeout_us
    expected_us = answer_timeout_us(state, group)
    # The first call on a new connection waits for its setup. With no time for that, each one timed out, was
    # closed, and the next opened one more.
    with_setup_us = expected_us + connection_setup_allowance_us(state)
    return _timeout_us(state, message, call, expected_us), _timeout_us(state, message, call, with_setup_us)


def _timeout_us(state: PolicyState, message: Message, call: Call, expected_us: int) -> int:
    remaining_us = (
        int(min(message.deadline_us, state.shutdown_at_us)) - state.now_us - state.deadline_margin_us
    )
    timeout_us = remaining_us
    if message.message_class.idempotency is Idempotency.NON_IDEMPOTENT:
        # One long attempt, unless slots are short: a lost one keeps its slot from others.
        slots_short = state.in_flight > state.max_calls_per_destination
        objective_us = message.message_class.latency_objective_us
        timeout_us = min(remaining_us, expected_us if slots_short else max(expected_us, objective_us))
    else:
        if expected_us + call.endpoint.group.latency_mean_us * 2 < remaining_us:
            timeout_us = expected_us
        if call.endpoint.circuit.open:  # what may hang keeps its slot briefly
            timeout_us = min(timeout_us, int(HALF_OPEN_TIMEOUT_SHARE * expected_us))
    return max(1, timeout_us)

"""Adaptive time-outs from the measured latency of each endpoint group.

A call times out once it is very likely lost: when the odds of a response against a loss have fallen to
RESPONSE_ODDS_AT_TIMEOUT. If a share p of calls is lost, and the probability of a late response falls by the
factor e with each TAIL_DEVIATIONS deviations, that time is ln(1 / (RESPONSE_ODDS_AT_TIMEOUT * p)) times
TAIL_DEVIATIONS deviations above the mean latency. Means and deviations are EWMAs for each group; the share of
lost calls and the setup time of connections are estimated over all groups. The slot occupancy of calls is
estimated here too.
"""

import math

from message_relay.model import Idempotency
from message_relay.policy_state import Call, EndpointGroup, Message, PolicyState

TAIL_DEVIATIONS = 1.35  # deviations in which the probability of a late response falls by the factor e
RESPONSE_ODDS_AT_TIMEOUT = 0.1  # odds of a response against a loss
LOST_CALL_EWMA_WEIGHT = 1 / 32  # of the newest call in the share of lost calls
DEFAULT_CONNECTION_SETUP_US = 500_000  # extra time of the first call on a connection, until it is measured
HALF_OPEN_TIMEOUT_SHARE = 0.6  # of the ordinary time-out, for a half-open attempt
OCCUPANCY_DECAY_US = 2_000_000  # time in which a group's slot occupancy decays to its mean latency
GROUP_EWMA_SPAN = 8  # a mean is updated with weight 1 / GROUP_EWMA_SPAN
INSTANCE_EWMA_SPAN = 32  # the same for the mean over all calls of the instance


def response_timeout_us(state: PolicyState, group: EndpointGroup) -> int:
    """Return the time in microseconds within which a response arrives unless the call is very likely lost."""
    tail = math.log(1 / (RESPONSE_ODDS_AT_TIMEOUT * state.statistics.lost_call_rate))
    late_us = group.latency_deviation_us * TAIL_DEVIATIONS * tail
    return int(group.latency_mean_us + max(group.latency_mean_us, late_us))


def latency_without_setup_us(state: PolicyState, call: Call, latency_us: int) -> int:
    """Return a call's latency without connection setup, after updating the estimate of the setup time."""
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
    """Return the time in microseconds that a time-out includes for the setup of a connection."""
    setup_us = state.statistics.connection_setup_us
    if not setup_us:
        return DEFAULT_CONNECTION_SETUP_US
    return int(setup_us + max(setup_us / 2, 3 * state.statistics.connection_setup_deviation_us))


def record_latency(state: PolicyState, group: EndpointGroup, latency_us: int) -> None:
    """Update the group's latency and the share of lost calls after a success."""
    statistics = state.statistics
    decayed_rate = statistics.lost_call_rate * (1 - LOST_CALL_EWMA_WEIGHT)
    statistics.lost_call_rate = max(state.min_lost_call_rate, decayed_rate)
    if not group.latency_mean_us:
        # One fast response does not justify a short time-out: the mean starts no lower than the mean slot
        # occupancy of all calls.
        initial_us = max(float(latency_us), statistics.slot_occupancy_us)
        group.latency_mean_us = group.latency_deviation_us = initial_us
    change_us = abs(latency_us - group.latency_mean_us) - group.latency_deviation_us
    group.latency_deviation_us += change_us / GROUP_EWMA_SPAN
    group.latency_mean_us += (latency_us - group.latency_mean_us) / GROUP_EWMA_SPAN


def record_lost_call(state: PolicyState) -> None:
    """Count a call that timed out although another one to the endpoint succeeded after it was sent."""
    state.statistics.lost_call_rate += LOST_CALL_EWMA_WEIGHT * (1 - state.statistics.lost_call_rate)


def record_slot_occupancy(state: PolicyState, group: EndpointGroup, latency_us: int) -> None:
    """Update the means of the time for which calls, failed ones included, occupy a slot."""
    group.slot_occupancy_us += (latency_us - group.slot_occupancy_us) / GROUP_EWMA_SPAN
    group.slot_occupancy_at_us = state.now_us
    change_us = latency_us - state.statistics.slot_occupancy_us
    state.statistics.slot_occupancy_us += change_us / INSTANCE_EWMA_SPAN


def slot_occupancy_us(state: PolicyState, group: EndpointGroup) -> float:
    """Return the expected time in microseconds for which a call to the group occupies a slot.

    The excess over the mean latency, which lost calls cause, decays while no call ends. Otherwise a group
    with a high estimate would get no slots, and no call would correct the estimate.
    """
    mean_us = group.latency_mean_us
    if not mean_us:
        return group.slot_occupancy_us
    decay = max(0.0, 1 - (state.now_us - group.slot_occupancy_at_us) / OCCUPANCY_DECAY_US)
    return mean_us + (group.slot_occupancy_us - mean_us) * decay


def attempt_timeouts_us(state: PolicyState, message: Message, call: Call) -> tuple[int, int]:
    """Return an attempt's time-outs in microseconds: on a reused connection and on a new one."""
    group, objective_us = call.endpoint.group, message.message_class.latency_objective_us
    if not group.latency_mean_us:
        timeout_us = _timeout_us(state, message, call, max(state.settings.connect_timeout_us, objective_us))
        return timeout_us, timeout_us
    expected_us = response_timeout_us(state, group)
    # The first call on a new connection includes its setup. Without time for that, every such call timed out,
    # its connection was closed, and the next call opened another one.
    with_setup_us = expected_us + connection_setup_allowance_us(state)
    return _timeout_us(state, message, call, expected_us), _timeout_us(state, message, call, with_setup_us)


def _timeout_us(state: PolicyState, message: Message, call: Call, expected_us: int) -> int:
    """Return the time-out of an attempt whose response is expected within ``expected_us``.

    It is at least 1 and otherwise at most the time until the deadline or the shutdown, less the margin. If a
    message that may be repeated has no time for another attempt after ``expected_us``, its attempt may take
    all of that time.
    """
    remaining_us = (
        int(min(message.deadline_us, state.shutdown_at_us)) - state.now_us - state.deadline_margin_us
    )
    timeout_us = remaining_us
    if message.message_class.idempotency is Idempotency.NON_IDEMPOTENT:
        # Its only attempt gets at least the latency objective, unless slots are short: a lost call would
        # occupy a slot that other messages need.
        slots_short = state.in_flight > state.max_calls_per_destination
        objective_us = message.message_class.latency_objective_us
        timeout_us = min(remaining_us, expected_us if slots_short else max(expected_us, objective_us))
    else:
        if expected_us + call.endpoint.group.latency_mean_us * 2 < remaining_us:
            timeout_us = expected_us
        if call.endpoint.circuit.open:  # a call that may hang occupies its slot only briefly
            timeout_us = min(timeout_us, int(HALF_OPEN_TIMEOUT_SHARE * expected_us))
    return max(1, timeout_us)

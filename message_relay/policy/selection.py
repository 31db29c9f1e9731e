"""Selection: which message of a destination is sent next, to which endpoint, and in which batch.

Messages are ranked by the weight that they lose by waiting, relative to the time for which their call
occupies a slot. Endpoints are ranked by circuit, failure rate, idle connection, cost and calls in flight. In
a large fleet one instance sends too few calls to balance them over the endpoints. There the cost is random,
weighted by the endpoints' rates, so that the choices of all instances add up to a load in proportion to the
rates.
"""

import functools
import heapq
import math
from dataclasses import dataclass

from message_relay.policy import concurrency_window, timeouts
from message_relay.policy.eligibility import attempt_allowed, endpoint_admits
from message_relay.policy_state import Destination, Endpoint, Message, PolicyState

# A message without a slot waits for this multiple of the time that all queued calls take, since newer
# messages are sent before it.
SLOT_QUEUE_FACTOR = 2.0
FAILURE_RATE_STEPS = 4  # steps of the failure rate by which endpoints are compared
# The weight of an endpoint in a large fleet is its rate, multiplied by this value less its share of rejected
# calls. Above 1, it leaves every endpoint a positive weight.
REJECTION_RATE_OFFSET = 1.05


EndpointRank = tuple[bool, bool, int, bool, float, int, float]


@dataclass(slots=True, eq=False)
class Candidate:
    """A message that may be sent now, and its endpoint; the candidate with the lowest order is sent first."""

    order: tuple[float, float]
    message: Message
    endpoint: Endpoint


def select(state: PolicyState, destination: Destination) -> Candidate | None:
    """Return the destination's message that loses most weight by waiting, and its endpoint.

    Messages that were restored and never attempted come first, by deadline. Returns None if no message may be
    sent now.
    """
    if concurrency_window.slots_exhausted(state, destination):
        return None
    fast_retry_ready = _fast_retry_ready(state, destination)
    admitting_endpoints = [
        endpoint
        for group in destination.groups
        if not concurrency_window.is_full(group)
        for endpoint in group.endpoints.values()
        if endpoint_admits(state, endpoint, fast_retry_ready)
    ]
    if not admitting_endpoints:
        return None
    weight_change, best = _weight_change_by_waiting(state, destination), None
    for message in destination.queue:
        unattempted = message.restored_unattempted
        order = (
            (-math.inf, message.deadline_us) if unattempted else (weight_change(message), message.sequence)
        )
        if best is None or order < best.order:
            allowed = [
                endpoint for endpoint in admitting_endpoints if attempt_allowed(state, message, endpoint)
            ]
            if allowed:
                best = Candidate(
                    order, message, min(allowed, key=functools.partial(_endpoint_rank, state, message))
                )
    batch_size = state.settings.destination_types[destination.type_index].max_batch_size
    if best is None or batch_size == 1:
        return best
    # A batch takes one slot, so a full one is ranked by all of its messages: ranked as one message, ten in a
    # batch waited as long as ten calls. A partial batch is ranked as one message: it may grow while it waits,
    # and its call takes no longer then.
    companions = batch_companions(state, best.message, best.endpoint)
    if len(companions) == batch_size - 1:
        best.order = (best.order[0] + sum(map(weight_change, companions)), best.order[1])
    return best


def _fast_retry_ready(state: PolicyState, destination: Destination) -> bool:
    """Return whether a message that failed fast is ready for its retry.

    Always False in a small fleet without a recovery budget in force: there a retry needs no token.
    """
    if not state.large_fleet and all(group.recovery.limited_since_us < 0 for group in destination.groups):
        return False
    return any(
        message.fast_retry_allowed and message.next_attempt_at_us <= state.now_us
        for message in destination.queue
    )


def _weight_change_by_waiting(state: PolicyState, destination: Destination) -> functools.partial[float]:
    """Return a function of a message: the change of its weight by waiting, per microsecond of slot time.

    The change is negative if the message loses weight. A message that is not sent now is expected to wait for
    the time that the destination's queue takes at its rate, or for SLOT_QUEUE_FACTOR times the time that the
    calls of all waiting messages take in all slots, whichever is longer. The division by the slot time ranks
    slow or hanging groups last where slots are short, since their calls occupy slots that others need.
    """
    groups = destination.groups
    rate = sum(group.rate_limit_per_s or group.success_rate_per_s or 1.0 for group in groups)
    delivered_now_us = state.now_us + max(group.latency_mean_us for group in groups)
    occupancy_us = max(timeouts.slot_occupancy_us(state, group) for group in groups)
    waiting = max(0, len(state.messages) - state.in_flight)
    slot_wait_us = state.statistics.slot_occupancy_us * waiting / state.settings.call_slots
    delivered_later_us = delivered_now_us + max(
        len(destination.queue) / rate * 1e6, SLOT_QUEUE_FACTOR * slot_wait_us
    )
    return functools.partial(_weight_change, state, delivered_now_us, delivered_later_us, occupancy_us)


def _weight_change(
    state: PolicyState,
    delivered_now_us: float,
    delivered_later_us: float,
    occupancy_us: float,
    message: Message,
) -> float:
    return (
        weight_at(state, message, delivered_later_us) - weight_at(state, message, delivered_now_us)
    ) / occupancy_us


def weight_at(state: PolicyState, message: Message, at_us: float) -> float:
    """Return the weight of the message if it is delivered at that time.

    It is the full weight up to the latency objective, less after it, and 0 from the deadline on.
    """
    message_class = message.message_class
    objective_us, late_share = message_class.latency_objective_us, message_class.late_weight_share
    late_us = at_us - message.submitted_at_us - objective_us
    if late_us <= 0:
        return message.weight
    if at_us >= message.deadline_us:
        return 0.0
    if state.settings.late_weight_decays_exponentially:
        return message.weight * max(late_share, math.pow(0.5, late_us / objective_us))
    span_us = max(1, message_class.deadline_us - objective_us)
    return message.weight * (1 - (1 - late_share) * late_us / span_us)


def batch_companions(state: PolicyState, message: Message, endpoint: Endpoint) -> list[Message]:
    """Return the messages that are sent in one call with this one, in the order of arrival.

    There are none if the endpoint's circuit is open: a half-open attempt carries a single message.
    """
    destination = endpoint.group.destination
    max_companions = (
        0
        if endpoint.circuit.open
        else state.settings.destination_types[destination.type_index].max_batch_size - 1
    )
    if not max_companions:
        return []
    others = (other for other in destination.queue if other is not message)
    allowed = [other for other in others if attempt_allowed(state, other, endpoint)]
    return heapq.nsmallest(max_companions, allowed, key=lambda other: other.sequence)


def _endpoint_rank(state: PolicyState, message: Message, endpoint: Endpoint) -> EndpointRank:
    """Return a sort key; the endpoint with the lowest one is used.

    In order of importance: a closed circuit, an endpoint other than the one of the message's last attempt, a
    low failure rate, a reusable idle connection, low cost, few calls in flight.
    """
    oldest_reusable_us = state.now_us - state.statistics.idle_reuse_limit_us
    reusable = any(since_us > oldest_reusable_us for since_us in endpoint.idle_connections_since_us)
    if state.large_fleet:  # random, with probabilities in proportion to the endpoints' rates
        group = endpoint.group
        rate = (group.advertised_rate_per_s or 1.0) * (REJECTION_RATE_OFFSET - group.rejection_rate)
        cost = state.random.expovariate(rate)
    else:
        costs = state.settings.zone_costs
        cost = costs[endpoint.zone] if endpoint.zone < len(costs) else 0.0
    failures = int(endpoint.failure_rate * FAILURE_RATE_STEPS)
    was_last_endpoint, calls = endpoint is message.last_endpoint, len(endpoint.in_flight)
    return endpoint.circuit.open, was_last_endpoint, failures, not reusable, cost, calls, endpoint.tie_breaker

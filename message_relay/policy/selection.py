"""Selection: which message of a destination goes next, to which endpoint, and with which others."""

import functools
import heapq
import math
from dataclasses import dataclass

from message_relay.policy import concurrency_window, timeouts
from message_relay.policy.eligibility import attempt_allowed, endpoint_admits
from message_relay.policy_state import Destination, Endpoint, Message, PolicyState

SLOT_QUEUE_FACTOR = (
    2.0  # what is put off for want of slots waits so many times the queue: new ones come first
)
FAILURE_RATE_STEPS = 4  # endpoints are told apart by their failure rate in so many steps
REJECTION_RATE_OFFSET = 1.05  # less the share of rejected calls: the weight of an endpoint in a large fleet


EndpointRank = tuple[bool, bool, int, bool, float, int, float]


@dataclass(slots=True, eq=False)
class Candidate:
    """A message that may go now, and its endpoint; the one with the least order goes first."""

    order: tuple[float, float]
    message: Message
    endpoint: Endpoint


def select(state: PolicyState, destination: Destination) -> Candidate | None:
    """The message of a destination that loses most by waiting, and the endpoint for it."""
    if concurrency_window.slots_exhausted(state, destination):
        return None
    fast_retry = _fast_retry_ready(state, destination)
    admitting_endpoints = [
        endpoint
        for group in destination.groups
        if not concurrency_window.is_full(group)
        for endpoint in group.endpoints.values()
        if endpoint_admits(state, endpoint, fast_retry)
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
    # What travels with it takes no slot more: ranked as one message, ten in it waited for ten calls. A batch
    # that is not full is ranked as one message: it may grow while it waits, and takes as long then.
    companions = batch_companions(state, best.message, best.endpoint)
    if len(companions) == batch_size - 1:
        best.order = (best.order[0] + sum(map(weight_change, companions)), best.order[1])
    return best


def _fast_retry_ready(state: PolicyState, destination: Destination) -> bool:
    """Whether a message that failed fast may go again; it matters only where endpoints wait for it."""
    if not state.large_fleet and all(group.recovery.since_us < 0 for group in destination.groups):
        return False
    return any(message.fast_retry and message.ready_at_us <= state.now_us for message in destination.queue)


def _weight_change_by_waiting(state: PolicyState, destination: Destination) -> functools.partial[float]:
    """A function of a message: what it loses by going later, for each time unit that its slot is taken.

    Where slots are short, what waits for them waits for all calls queued, and one that keeps its slot long
    costs others theirs: hanging and slow groups get what is left.
    """
    groups = destination.groups
    rate = sum(group.rate_limit_per_s or group.success_rate_per_s or 1.0 for group in groups)
    soon_us = state.now_us + max(group.latency_mean_us for group in groups)
    occupancy_us = max(timeouts.slot_occupancy_us(state, group) for group in groups)
    waiting = max(0, len(state.messages) - state.in_flight)
    slot_wait_us = state.statistics.slot_occupancy_us * waiting / state.settings.call_slots
    late_us = soon_us + max(len(destination.queue) / rate * 1e6, SLOT_QUEUE_FACTOR * slot_wait_us)
    return functools.partial(_weight_change, state, soon_us, late_us, occupancy_us)


def _weight_change(
    state: PolicyState, soon_us: float, late_us: float, occupancy_us: float, message: Message
) -> float:
    return (weight_at(state, message, late_us) - weight_at(state, message, soon_us)) / occupancy_us


def weight_at(state: PolicyState, message: Message, at_us: float) -> float:
    """What the message is worth if it is delivered at that time."""
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
    """The messages that travel in one call with this one, in the order of arrival."""
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
    """Healthy first, then not the one that just failed, one with an idle connection, the cheap one."""
    oldest_reusable_us = state.now_us - state.statistics.idle_reuse_limit_us
    reusable = any(since_us > oldest_reusable_us for since_us in endpoint.idle_since_us)
    if state.large_fleet:  # by chance, as the rates of the endpoints are
        group = endpoint.group
        rate = (group.advertised_rate_per_s or 1.0) * (REJECTION_RATE_OFFSET - group.rejection_rate)
        cost = state.random.expovariate(rate)
    else:
        costs = state.settings.zone_costs
        cost = costs[endpoint.zone] if endpoint.zone < len(costs) else 0.0
    failures = int(endpoint.failure_rate * FAILURE_RATE_STEPS)
    just_failed, calls = endpoint is message.last_endpoint, len(endpoint.in_flight)
    return endpoint.circuit.open, just_failed, failures, not reusable, cost, calls, endpoint.tie_breaker

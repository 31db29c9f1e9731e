"""State of one policy, with the operations that keep its parts consistent."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass

from message_relay.model import Action, EndpointEntry, EndpointState, LogMessage, SetTimer, Settings
from message_relay.policy_state.entities import (
    Call,
    CallStatistics,
    CircuitBreaker,
    Destination,
    Endpoint,
    EndpointGroup,
    Message,
    TenantQuota,
    TokenBucket,
)

MIN_PRUNED_DESTINATIONS = 1024  # besides those of the listed endpoints
MIN_PRUNED_EXPIRIES = 8192  # fewer checks are not worth a pass over all of them


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds that the policy derives from the settings (``policy.limits.derive_limits``)."""

    # There are many instances with few slots each: the calls of one instance are too few to estimate the
    # state of a destination from them alone. Several rules of the policy differ for this case.
    large_fleet: bool
    max_attempts: int  # upper bound of attempts of a message, the first included
    max_calls_per_destination: int  # upper bound of calls in flight to one destination
    deadline_margin_us: int  # time before a deadline in which no attempt starts
    min_lost_call_rate: float  # lower bound of CallStatistics.lost_call_rate


class PolicyState:
    """State of one policy, shared by all modules of ``message_relay.policy``."""

    def __init__(self, settings: Settings, seed: int, limits: Limits) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.tick_interval_us = settings.tick_interval_us
        self.large_fleet = limits.large_fleet
        self.max_attempts = limits.max_attempts
        self.max_calls_per_destination = limits.max_calls_per_destination
        self.deadline_margin_us = limits.deadline_margin_us
        self.min_lost_call_rate = limits.min_lost_call_rate
        self.now_us = 0  # time of the current tick
        self.started_at_us = -1  # time of the first tick, -1 before it
        self.shutdown_at_us: float = math.inf  # no call may last beyond this time
        self.actions: list[Action] = []  # actions of the current tick
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.messages: dict[int, Message] = {}
        self.calls: dict[tuple[int, int], tuple[Call, Message]] = {}  # by message and attempt
        # Calls in flight, and the sequence number of the message submitted last.
        self.in_flight = self.last_sequence = 0
        self.expiries: list[tuple[float, int]] = []  # heap of (time, message): when to check for expiry
        self.scheduled_ticks: list[int] = []  # heap of the times of the scheduled ticks
        # By order key, in order of submission: messages that are open or have an attempt in flight.
        self.order_queues: dict[int, list[Message]] = {}
        self.order_pauses: dict[int, int] = {}  # by order key: no first attempt before this time
        quota_rates_per_s = [tenant.quota_per_s / settings.instance_count for tenant in settings.tenants]
        self.quotas = [TenantQuota(rate_per_s, TokenBucket()) for rate_per_s in quota_rates_per_s]
        self.capacity_reached_logged = False  # the last log line about the capacity was "capacity reached"
        self.rejections_since_resubmission = 0  # rejections since a client last resubmitted a message
        self.statistics = CallStatistics(
            settings.connection_idle_timeout_us,
            [0.0] * len(settings.destination_types),
            limits.min_lost_call_rate,
        )

    def log(self, text: str) -> None:
        """Add an action that writes a line to the operators' log."""
        self.actions.append(LogMessage(text))

    def schedule_tick(self, at_us: float) -> None:
        """Schedule a tick at that time, but at least one tick interval from now.

        If another tick is due by then, nothing is scheduled: that tick schedules the next one if needed.
        """
        tick_at_us = max(int(at_us), self.now_us + self.tick_interval_us)
        if not self.scheduled_ticks or tick_at_us < self.scheduled_ticks[0]:
            heapq.heappush(self.scheduled_ticks, tick_at_us)
            self.actions.append(SetTimer(tick_at_us - self.now_us, 0))

    def destination(self, number: int) -> Destination:
        """Return the destination of that number; create it if it does not exist."""
        destination = self.destinations.get(number)
        if destination is None:
            if len(self.destinations) >= MIN_PRUNED_DESTINATIONS + 2 * len(self.endpoints):
                self._remove_unused_destinations()
            destination = self.destinations[number] = Destination(number)
        return destination

    def _remove_unused_destinations(self) -> None:
        """Delete the destinations that have no endpoints and no messages.

        Before the first endpoint list, clients may submit messages for any number of destinations.
        """
        used = {message.destination.id for message in self.messages.values()}
        self.destinations = {
            number: destination
            for number, destination in self.destinations.items()
            if destination.groups or destination.in_flight or number in used
        }

    def schedule_expiry(self, at_us: float, message: Message) -> None:
        """Schedule a check whether the message has expired (``policy.final_answer.expire``).

        The checks of messages that have ended are removed when they are the majority.
        """
        if len(self.expiries) > 2 * len(self.messages) + MIN_PRUNED_EXPIRIES:
            self.expiries = [expiry for expiry in self.expiries if expiry[1] in self.messages]
            heapq.heapify(self.expiries)
        heapq.heappush(self.expiries, (at_us, message.id))

    def pause_order_key(self, order_key: int) -> None:
        """Hold back first attempts with the order key for a while, and remove the pauses that are over."""
        self.order_pauses.pop(order_key, None)
        self.order_pauses[order_key] = self.now_us + self.settings.order_key_pause_us
        # All pauses have the same length, so the first ones end first.
        for key in [key for key, until_us in self._first_pauses() if until_us <= self.now_us]:
            del self.order_pauses[key]

    def _first_pauses(self) -> list[tuple[int, int]]:
        return list(itertools.islice(self.order_pauses.items(), 2))

    def change_calls_in_flight(self, call: Call, change: int) -> None:
        """Add ``change`` (1 or -1) to the numbers of calls in flight that include the call."""
        group = call.endpoint.group
        self.in_flight += change
        group.in_flight += change
        group.destination.in_flight += change

    def add_group(self, destination: Destination) -> EndpointGroup:
        """Add an empty endpoint group to a destination, and return it."""
        group = EndpointGroup(destination, CircuitBreaker() if self.large_fleet else None)
        destination.groups.append(group)
        return group

    def add_endpoint(self, entry: EndpointEntry) -> Endpoint:
        """Add the endpoint of a list entry, and return it.

        It gets a new group if it is the first endpoint of its destination or if the endpoints of the
        destination's type are independent.
        """
        destination = self.destination(entry.destination)
        destination.type_index = min(entry.type_index, len(self.settings.destination_types) - 1)
        if (
            not destination.groups
            or self.settings.destination_types[destination.type_index].independent_endpoints
        ):
            self.add_group(destination)
        group = destination.groups[-1]
        circuit = group.shared_circuit or CircuitBreaker()
        endpoint = Endpoint(entry.endpoint, group, entry.zone, self.random.random(), circuit)
        group.endpoints[endpoint.id] = self.endpoints[endpoint.id] = endpoint
        return endpoint

    def remove_if_unused(self, endpoint: Endpoint) -> None:
        """Delete an endpoint that was removed from the list, unless a call to it is in flight.

        Its group is deleted too if it is now empty and not the only one of its destination. If they were not
        deleted, endpoints that were replaced by new ones would accumulate.
        """
        if endpoint.state is not EndpointState.REMOVED or endpoint.in_flight:
            return
        group, groups = endpoint.group, endpoint.group.destination.groups
        if self.endpoints.get(endpoint.id) is endpoint:
            del self.endpoints[endpoint.id]
        group.endpoints.pop(endpoint.id, None)
        if not group.endpoints and len(groups) > 1 and group in groups:
            groups.remove(group)

    def add_message(self, message: Message) -> None:
        """Add an open message, and queue it for its destination."""
        self.messages[message.id] = message
        message.destination.queue.append(message)
        if message.order_key:
            self.order_queues.setdefault(message.order_key, []).append(message)

    def start_attempt(self, message: Message, call: Call) -> None:
        """Record that the next attempt of the message is part of the call."""
        message.destination.queue.remove(message)
        self.calls[(message.id, message.attempts)] = (call, message)
        call.open_attempts += 1
        message.attempts += 1
        message.in_flight += 1
        message.last_endpoint = call.endpoint

    def close_message(self, message: Message) -> None:
        """Close a message that needs no further attempt, and delete it if none of its attempts is in flight.

        Otherwise it stays in the queue of its order key until this is called again after its last attempt.
        """
        if not message.closed:
            message.closed = True
            if message in message.destination.queue:
                message.destination.queue.remove(message)
        if message.in_flight:
            return
        self.messages.pop(message.id, None)
        queue = self.order_queues.get(message.order_key, []) if message.order_key else []
        if message in queue:
            queue.remove(message)
            if not queue:
                del self.order_queues[message.order_key]

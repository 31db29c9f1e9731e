"""The state of one policy, and the bookkeeping that keeps it consistent. No decisions."""

from __future__ import annotations

import heapq
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


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds that the policy derives from the settings."""

    large_fleet: bool  # so many small instances that one's own calls say little
    max_attempts: int  # of one message, the first included
    max_calls_per_destination: int  # in flight at once
    deadline_margin_us: int  # kept free before a deadline
    min_lost_call_rate: float  # least share of calls taken as lost


class PolicyState:
    """Everything that one policy knows; its mechanisms share it."""

    def __init__(self, settings: Settings, seed: int, limits: Limits) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.tick_interval_us = settings.tick_interval_us
        self.large_fleet = limits.large_fleet
        self.max_attempts = limits.max_attempts
        self.max_calls_per_destination = limits.max_calls_per_destination
        self.deadline_margin_us = limits.deadline_margin_us
        self.min_lost_call_rate = limits.min_lost_call_rate
        self.now_us = 0
        self.started_at_us = -1
        self.shutdown_at_us: float = math.inf  # no call may last beyond it
        self.actions: list[Action] = []  # of this tick
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.messages: dict[int, Message] = {}
        self.calls: dict[tuple[int, int], tuple[Call, Message]] = {}  # by message and attempt
        self.in_flight = self.sequence = 0
        self.expiries: list[tuple[float, int]] = []
        self.timers: list[int] = []
        self.order_queues: dict[int, list[Message]] = {}  # by order key
        self.order_pauses: dict[int, int] = {}
        shares = [tenant.quota_per_s / settings.instance_count for tenant in settings.tenants]
        self.quotas = [TenantQuota(rate, TokenBucket()) for rate in shares]
        self.capacity_full = False
        self.rejections_since_resubmission = 0
        self.statistics = CallStatistics(
            settings.connection_idle_timeout_us,
            [0.0] * len(settings.destination_types),
            limits.min_lost_call_rate,
        )

    def log(self, text: str) -> None:
        """Have the server log a line."""
        self.actions.append(LogMessage(text))

    def schedule_tick(self, at_us: float) -> None:
        """Schedule a tick at that time, if none is due before."""
        at = max(int(at_us), self.now_us + self.tick_interval_us)
        if not self.timers or at < self.timers[0]:
            heapq.heappush(self.timers, at)
            self.actions.append(SetTimer(at - self.now_us, 0))

    def destination(self, number: int) -> Destination:
        """The destination of that number, new if nothing was known of it."""
        destination = self.destinations.get(number)
        if destination is None:
            destination = self.destinations[number] = Destination(number)
        return destination

    def schedule_expiry(self, at_us: float, message: Message) -> None:
        """Look at the message again at that time."""
        heapq.heappush(self.expiries, (at_us, message.id))

    def count_in_flight(self, call: Call, change: int) -> None:
        """One call more or less is in flight."""
        group = call.endpoint.group
        self.in_flight += change
        group.in_flight += change
        group.destination.in_flight += change

    def add_group(self, destination: Destination) -> EndpointGroup:
        """A new endpoint group of a destination."""
        group = EndpointGroup(destination, CircuitBreaker() if self.large_fleet else None)
        destination.groups.append(group)
        return group

    def add_endpoint(self, entry: EndpointEntry) -> Endpoint:
        """A new endpoint, in the group that its destination's type says."""
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
        """Drop an endpoint that was removed, once no call is in flight there: replacements would pile up."""
        if endpoint.state is not EndpointState.REMOVED or endpoint.in_flight:
            return
        group, groups = endpoint.group, endpoint.group.destination.groups
        if self.endpoints.get(endpoint.id) is endpoint:
            del self.endpoints[endpoint.id]
        group.endpoints.pop(endpoint.id, None)
        if not group.endpoints and len(groups) > 1 and group in groups:
            groups.remove(group)

    def add_message(self, message: Message) -> None:
        """A message is open and waits."""
        self.messages[message.id] = message
        message.destination.queue.append(message)
        if message.order_key:
            self.order_queues.setdefault(message.order_key, []).append(message)

    def start_attempt(self, message: Message, call: Call) -> None:
        """The message's next attempt is part of that call."""
        message.destination.queue.remove(message)
        self.calls[(message.id, message.attempts)] = (call, message)
        call.open_attempts += 1
        message.attempts += 1
        message.in_flight += 1
        message.last_endpoint = call.endpoint

    def close_message(self, message: Message) -> None:
        """Nothing more is owed for the message; it is forgotten with its last attempt."""
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

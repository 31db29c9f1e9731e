"""Recovery budget: calls of a simulated fleet to a recovering destination.

They must not exceed the load that the settings allow, as more would overload the destination again. Minimum
rates, half-open attempts or first calls of many instances could add up to more.
"""

import heapq
import math
import random

import pytest
from policy_driver import CLASSES, SECOND

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    LoadReportReceived,
    MessageSubmitted,
    SendAttempt,
    SetTimer,
    Settings,
)
from message_relay.policy.delivery_policy import DeliveryPolicy

OUTAGE_START_S = 6.0
OUTAGE_END_S = 11.0
END_S = 26.0
SLOW_START_SHARE = 0.2
SLOW_START_S = 9.5
OVERLOAD_FACTOR = 2.0
OVERLOAD_WINDOW_S = 3.0
LOAD_SHARE = 0.7  # offered messages a second as a share of the limit
RATE_SOURCES = {
    "unknown": {},
    "listed": {"rate_limits_advertised": True},
    "reported": {"load_report_fields": ("x0", "x1")},
}


class RecoveringFleet:
    """Simulation of a fleet that sends to one destination with two endpoints, with an outage in between."""

    def __init__(self, instance_count, limit, failure, rate_source, seed):
        self.limit, self.failure, self.rate_source = limit, failure, rate_source
        self.random, self.queue, self.event_count = random.Random(seed), [], 0
        rate = limit if rate_source == "listed" else 0.0
        entries = tuple(EndpointEntry(100 + n, 1, EndpointState.READY, rate) for n in range(2))
        settings = dict(
            classes=CLASSES,
            call_slots=5,
            max_open_messages=48,
            max_attempts=6,
            instance_count=instance_count,
            slow_start_share=SLOW_START_SHARE,
            slow_start_us=int(SLOW_START_S * SECOND),
            overload_factor=OVERLOAD_FACTOR,
            overload_window_us=int(OVERLOAD_WINDOW_S * SECOND),
            tick_interval_us=1000,
            max_retry_after_us=3 * SECOND,
            rejected_call_cost=0.1,
            **RATE_SOURCES[rate_source],
        )
        self.policies = [
            DeliveryPolicy(Settings(instance_index=instance, **settings), self.random.randrange(1 << 60))
            for instance in range(instance_count)
        ]
        self.sent_at, self.failed_instances, self.served_at, self.offered_at = [], set(), [], []
        for instance in range(instance_count):
            self.schedule(0.0, instance, EndpointListReceived(EndpointListForm.CACHED, entries))
        self.schedule_messages()
        self.run()

    def schedule(self, at_s, instance, event):
        """Queue an event of an instance; None stands for a tick without an event."""
        self.event_count += 1
        heapq.heappush(self.queue, (at_s, self.event_count, instance, event))

    def schedule_messages(self):
        # Some instances get many times the messages of others.
        weights = [self.random.lognormvariate(0, 0.6) for _ in self.policies]
        at_s = 0.0
        while (at_s := at_s + self.random.expovariate(self.limit * LOAD_SHARE)) < END_S:
            instance = self.random.choices(range(len(weights)), weights)[0]
            deadline_us = 1000 * SECOND + int(at_s * SECOND) + 10 * SECOND
            self.offered_at.append(at_s)
            self.schedule(at_s, instance, MessageSubmitted(self.event_count, 0, 1, deadline_us))

    def run(self):
        while self.queue and self.queue[0][0] < END_S:
            at_s, _, instance, event = heapq.heappop(self.queue)
            events = [event] if event else []
            if isinstance(event, AttemptEnded) and event.result is not AttemptResult.OK:
                self.failed_instances.add(instance)
            elif isinstance(event, AttemptEnded) and self.rate_source == "reported":
                events.append(LoadReportReceived(event.endpoint, (0.5, self.limit)))
            for action in self.policies[instance].handle(1000 * SECOND + int(at_s * SECOND), events):
                if isinstance(action, SendAttempt):
                    self.call(at_s, instance, action)
                elif isinstance(action, SetTimer):
                    self.schedule(at_s + max(0.001, action.delay_us / SECOND), instance, None)

    def call(self, at_s, instance, action):
        """Record a call and schedule its outcome."""
        self.sent_at.append((at_s, instance in self.failed_instances))
        latency_s, result, retry_after_us = 0.15, AttemptResult.OK, 0
        if OUTAGE_START_S <= at_s < OUTAGE_END_S:
            latency_s, result, retry_after_us = {
                "refused": (0.02, AttemptResult.CONNECT_FAILED, 0),
                "hangs": (action.timeout_us / SECOND, AttemptResult.TIMEOUT, 0),
                "errors": (0.05, AttemptResult.ERROR, 0),
                "shut_down": (0.02, AttemptResult.REJECTED, int((OUTAGE_END_S - at_s) * SECOND)),
            }[self.failure]
        elif (
            sum(served > at_s - 1 for served in self.served_at[-int(1.2 * self.limit) - 1 :])
            >= 1.2 * self.limit
        ):
            latency_s, result, retry_after_us = 0.02, AttemptResult.REJECTED, SECOND // 2
        else:
            self.served_at.append(at_s)
        attempt = self.policies[instance].state.messages[action.message].attempts - 1
        outcome = AttemptEnded(
            action.message,
            attempt,
            action.endpoint,
            result,
            int(latency_s * SECOND),
            result is AttemptResult.OK,
            retry_after_us,
        )
        self.schedule(at_s + latency_s, instance, outcome)

    def budget_used(self):
        """Return the largest share of the budget that was used in an overload window after the outage.

        Only calls of instances that had seen a failure count.
        """
        sent = [at_s for at_s, had_failure in self.sent_at if had_failure and at_s >= OUTAGE_END_S]
        maximum_share = 0.0
        for index, at_s in enumerate(sent):
            shares = [
                min(
                    1.0, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * max(0.0, x - OUTAGE_END_S) / SLOW_START_S
                )
                for x in (at_s - OVERLOAD_WINDOW_S, at_s)
            ]
            if shares[1] < 1.0:
                allowed = OVERLOAD_FACTOR * self.limit * OVERLOAD_WINDOW_S * sum(shares) / 2
                calls = sum(x > at_s - OVERLOAD_WINDOW_S for x in sent[: index + 1])
                maximum_share = max(maximum_share, calls / (allowed + 2 * math.sqrt(allowed) + 2))
        return maximum_share


@pytest.mark.parametrize("rate_source", RATE_SOURCES)
@pytest.mark.parametrize("failure", ["refused", "hangs", "errors", "shut_down"])
@pytest.mark.parametrize(
    "instance_count, limit", [(20, 12.0), (20, 60.0), (30, 12.0), (30, 40.0), (200, 30.0), (230, 12.0)]
)
def test_calls_of_a_fleet_to_a_recovering_destination_stay_within_the_budget(
    instance_count, limit, failure, rate_source
):
    for seed in range(3):
        assert_within_budget(RecoveringFleet(instance_count, limit, failure, rate_source, seed))


@pytest.mark.parametrize("rate_source", ["listed", "reported"])
@pytest.mark.parametrize("instance_count, limit", [(8, 130.0), (20, 130.0), (20, 300.0), (60, 300.0)])
def test_a_busy_destination_that_finishes_its_calls_before_it_returns_stays_within_the_budget(
    instance_count, limit, rate_source
):
    # Many calls are in flight when it shuts down. If their successes count as its recovery, the slow starts
    # end before it returns.
    assert_within_budget(RecoveringFleet(instance_count, limit, "shut_down", rate_source, seed=1))


def assert_within_budget(fleet):
    assert fleet.budget_used() <= 1.0
    late_sent = [at_s for at_s, _ in fleet.sent_at if at_s > END_S - 5]
    late_offered = [at_s for at_s in fleet.offered_at if at_s > END_S - 5]
    assert len(late_sent) >= 0.6 * len(late_offered)  # the slow start reaches the full rate

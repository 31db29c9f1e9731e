"""What a fleet of any size sends to a destination that recovers, against what the settings allow."""

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

DOWN = 6.0  # seconds
BACK = 11.0
END = 26.0
SLOW_START_SHARE = 0.2
SLOW_START_S = 9.5
OVERLOAD_FACTOR = 2.0
OVERLOAD_WINDOW_S = 3.0
LOAD = 0.7  # of the limit
RATE_SOURCES = {
    "silent": {},
    "listed": {"rate_limits_advertised": True},
    "reported": {"load_report_fields": ("x0", "x1")},
}


class RecoveringFleet:
    """Counts what each instance sends to one destination with two endpoints, which is down for a while."""

    def __init__(self, instance_count, limit, failure, rate_source, seed):
        self.limit, self.failure, self.rate_source = limit, failure, rate_source
        self.random, self.queue, self.count = random.Random(seed), [], 0
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
        self.sent_at, self.informed, self.served_at, self.offered_at = [], set(), [], []
        for instance in range(instance_count):
            self.schedule(0.0, instance, EndpointListReceived(EndpointListForm.CACHED, entries))
        self.schedule_messages()
        self.run()

    def schedule(self, at, instance, event):
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, instance, event))

    def schedule_messages(self):
        weights = [self.random.lognormvariate(0, 0.6) for _ in self.policies]  # some see much more
        at = 0.0
        while (at := at + self.random.expovariate(self.limit * LOAD)) < END:
            instance = self.random.choices(range(len(weights)), weights)[0]
            deadline_us = 1000 * SECOND + int(at * SECOND) + 10 * SECOND
            self.offered_at.append(at)
            self.schedule(at, instance, MessageSubmitted(self.count, 0, 1, deadline_us))

    def run(self):
        while self.queue and self.queue[0][0] < END:
            at, _, instance, event = heapq.heappop(self.queue)
            events = [event] if event else []
            if isinstance(event, AttemptEnded) and event.result is not AttemptResult.OK:
                self.informed.add(instance)
            elif isinstance(event, AttemptEnded) and self.rate_source == "reported":
                events.append(LoadReportReceived(event.endpoint, (0.5, self.limit)))
            for action in self.policies[instance].handle(1000 * SECOND + int(at * SECOND), events):
                if isinstance(action, SendAttempt):
                    self.call(at, instance, action)
                elif isinstance(action, SetTimer):
                    self.schedule(at + max(0.001, action.delay_us / SECOND), instance, None)

    def call(self, at, instance, action):
        self.sent_at.append((at, instance in self.informed))
        took, result, wait = 0.15, AttemptResult.OK, 0
        if DOWN <= at < BACK:
            took, result, wait = {
                "refused": (0.02, AttemptResult.CONNECT_FAILED, 0),
                "hangs": (action.timeout_us / SECOND, AttemptResult.TIMEOUT, 0),
                "errors": (0.05, AttemptResult.ERROR, 0),
                "shut": (0.02, AttemptResult.REJECTED, int((BACK - at) * SECOND)),
            }[self.failure]
        elif (
            sum(served > at - 1 for served in self.served_at[-int(1.2 * self.limit) - 1 :])
            >= 1.2 * self.limit
        ):
            took, result, wait = 0.02, AttemptResult.REJECTED, SECOND // 2
        else:
            self.served_at.append(at)
        attempt = self.policies[instance].state.messages[action.message].attempts - 1
        outcome = AttemptEnded(
            action.message,
            attempt,
            action.endpoint,
            result,
            int(took * SECOND),
            result is AttemptResult.OK,
            wait,
        )
        self.schedule(at + took, instance, outcome)

    def budget_used(self):
        """The most that informed instances sent in a window after the outage, as a share of the budget."""
        sent = [at for at, knew in self.sent_at if knew and at >= BACK]
        most = 0.0
        for n, at in enumerate(sent):
            share = [
                min(1.0, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * max(0.0, x - BACK) / SLOW_START_S)
                for x in (at - OVERLOAD_WINDOW_S, at)
            ]
            if share[1] < 1.0:
                allowed = OVERLOAD_FACTOR * self.limit * OVERLOAD_WINDOW_S * sum(share) / 2
                calls = sum(x > at - OVERLOAD_WINDOW_S for x in sent[: n + 1])
                most = max(most, calls / (allowed + 2 * math.sqrt(allowed) + 2))
        return most


@pytest.mark.parametrize("rate_source", RATE_SOURCES)
@pytest.mark.parametrize("failure", ["refused", "hangs", "errors", "shut"])
@pytest.mark.parametrize(
    "instance_count, limit", [(20, 12.0), (20, 60.0), (30, 12.0), (30, 40.0), (200, 30.0), (230, 12.0)]
)
def test_calls_of_a_fleet_to_a_recovering_destination_stay_within_the_budget(
    instance_count, limit, failure, rate_source
):
    for seed in range(3):
        fleet = RecoveringFleet(instance_count, limit, failure, rate_source, seed)
        assert fleet.budget_used() <= 1.0
        last = [at for at, _ in fleet.sent_at if at > END - 5]
        offered = [at for at in fleet.offered_at if at > END - 5]
        assert len(last) >= 0.6 * len(offered)  # and the slow start ends at the full rate

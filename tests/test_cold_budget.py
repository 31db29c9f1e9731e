"""What a fleet of any size sends to a destination that comes back cold, against what the settings allow."""

import heapq
import math
import random

import pytest
from test_brain import CLASSES, S

from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.model import (
    AttemptEnded,
    EndpointListReceived,
    EndpointState,
    EndpointEntry,
    EndpointListForm,
    LoadReportReceived,
    MessageSubmitted,
    AttemptResult,
    SendAttempt,
    SetTimer,
    Settings,
)

DOWN, BACK, END = 6.0, 11.0, 26.0  # seconds
SHARE, COLD_S, MULTIPLE, FALL_S = 0.2, 9.5, 2.0, 3.0
LOAD = 0.7  # of the limit
TOLD = {
    "silent": {},
    "listed": {"rate_limits_advertised": True},
    "reported": {"load_report_fields": ("x0", "x1")},
}


class Cold:
    """Counts what each courier sends to one destination with two endpoints, which is down for a while."""

    def __init__(self, couriers, limit, how, told, seed):
        self.limit, self.how, self.told = limit, how, told
        self.chance, self.queue, self.count = random.Random(seed), [], 0
        rate = limit if told == "listed" else 0.0
        entries = tuple(EndpointEntry(100 + n, 1, EndpointState.READY, rate) for n in range(2))
        given = dict(
            classes=CLASSES,
            call_slots=5,
            max_open_messages=48,
            max_attempts=6,
            instance_count=couriers,
            slow_start_share=SHARE,
            slow_start_us=int(COLD_S * S),
            overload_factor=MULTIPLE,
            overload_window_us=int(FALL_S * S),
            turn_interval_us=1000,
            max_retry_after_us=3 * S,
            rejected_call_cost=0.1,
            **TOLD[told],
        )
        self.couriers = [
            DeliveryPolicy(Settings(instance_index=k, **given), self.chance.randrange(1 << 60))
            for k in range(couriers)
        ]
        self.sent, self.knows, self.served, self.offered = [], set(), [], []
        for k in range(couriers):
            self.later(0.0, k, EndpointListReceived(EndpointListForm.CACHED, entries))
        self.arrivals()
        self.run()

    def later(self, at, courier, event):
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, courier, event))

    def arrivals(self):
        weights = [self.chance.lognormvariate(0, 0.6) for _ in self.couriers]  # some see much more
        at = 0.0
        while (at := at + self.chance.expovariate(self.limit * LOAD)) < END:
            courier = self.chance.choices(range(len(weights)), weights)[0]
            until = 1000 * S + int(at * S) + 10 * S
            self.offered.append(at)
            self.later(at, courier, MessageSubmitted(self.count, 0, 1, until))

    def run(self):
        while self.queue and self.queue[0][0] < END:
            at, _, k, event = heapq.heappop(self.queue)
            events = [event] if event else []
            if isinstance(event, AttemptEnded) and event.result is not AttemptResult.OK:
                self.knows.add(k)
            elif isinstance(event, AttemptEnded) and self.told == "reported":
                events.append(LoadReportReceived(event.endpoint, (0.5, self.limit)))
            for a in self.couriers[k].handle(1000 * S + int(at * S), events):
                if isinstance(a, SendAttempt):
                    self.call(at, k, a)
                elif isinstance(a, SetTimer):
                    self.later(at + max(0.001, a.delay_us / S), k, None)

    def call(self, at, k, a):
        self.sent.append((at, k in self.knows))
        took, result, wait = 0.15, AttemptResult.OK, 0
        if DOWN <= at < BACK:
            took, result, wait = {
                "refused": (0.02, AttemptResult.CONNECT_FAILED, 0),
                "hangs": (a.timeout_us / S, AttemptResult.TIMEOUT, 0),
                "errors": (0.05, AttemptResult.ERROR, 0),
                "shut": (0.02, AttemptResult.REJECTED, int((BACK - at) * S)),
            }[self.how]
        elif sum(x > at - 1 for x in self.served[-int(1.2 * self.limit) - 1 :]) >= 1.2 * self.limit:
            took, result, wait = 0.02, AttemptResult.REJECTED, S // 2
        else:
            self.served.append(at)
        tries = self.couriers[k].state.messages[a.message].attempts - 1
        ended = AttemptEnded(
            a.message, tries, a.endpoint, result, int(took * S), result is AttemptResult.OK, wait
        )
        self.later(at + took, k, ended)

    def budget_used(self):
        """The most that couriers which knew of the outage sent in a window since its end, by its budget."""
        sent = [at for at, knew in self.sent if knew and at >= BACK]
        most = 0.0
        for n, at in enumerate(sent):
            share = [min(1.0, SHARE + (1 - SHARE) * max(0.0, x - BACK) / COLD_S) for x in (at - FALL_S, at)]
            if share[1] < 1.0:
                allowed = MULTIPLE * self.limit * FALL_S * sum(share) / 2
                calls = sum(x > at - FALL_S for x in sent[: n + 1])
                most = max(most, calls / (allowed + 2 * math.sqrt(allowed) + 2))
        return most


@pytest.mark.parametrize("told", TOLD)
@pytest.mark.parametrize("how", ["refused", "hangs", "errors", "shut"])
@pytest.mark.parametrize(
    "couriers, limit", [(20, 12.0), (20, 60.0), (30, 12.0), (30, 40.0), (200, 30.0), (230, 12.0)]
)
def test_what_a_whole_fleet_sends_to_a_cold_destination_stays_within_its_budget(couriers, limit, how, told):
    for seed in range(3):
        cold = Cold(couriers, limit, how, told, seed)
        assert cold.budget_used() <= 1.0
        last = [at for at, _ in cold.sent if at > END - 5]
        offered = [at for at in cold.offered if at > END - 5]
        assert len(last) >= 0.6 * len(offered)  # and the ramp ends at the full rate

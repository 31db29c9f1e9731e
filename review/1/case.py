"""A destination is shut for 10 s and comes back cold; thirty couriers must not push it over."""

import asyncio
import math
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as r

COURIERS = 30
ENDPOINTS = 3
# For this destination, at all couriers together. Full load is 100 calls a second; the limit has a headroom of
# 1.2 over it, the capacity 1.2 over the limit.
TRAFFIC = 90.0  # messages a second
LIMIT = 120.0  # calls in each span of SPAN_S, refused ones included
CAPACITY = 144.0  # calls a second
SEED = 7
SPAN_S, DEPTH_S, WORK_S = 1.0, 0.8, 0.5
QUIET_S, SHUT_S, AFTER_S = 8.0, 10.0, 4.0
# The rule's figures, as in the settings.
COLD_SHARE, COLD_S, FALL_MULTIPLE, FALL_S = 0.31, 12.0, 1.5, 2.0


class Destination:
    """Endpoints with one limit, one capacity and one queue; calls in progress are finished."""

    def __init__(self, record):
        self.record, self.random = record, random.Random(SEED)
        self.opens_s, self.back_s = 0.0, math.inf
        self.span, self.count = 0, 0
        self.queued, self.drained_s = 0.0, time.time()
        self.arrivals = []  # (time, whether its courier had been told of the outage)
        self.told, self.owners = set(), {}

    def capacity(self, at_s):
        if at_s < self.back_s:
            return CAPACITY
        return CAPACITY * min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (at_s - self.back_s) / COLD_S)

    def full(self, wait_s=0.0):
        headers = {"Retry_After": f"{wait_s:.3f}"} if wait_s > 0 else {}
        return r.http_answer(429, X_Server_Load=self.report(), **headers)

    def report(self):
        left = max(0.0, 1 - self.count / (LIMIT * SPAN_S))
        return f"x0={left:.2f},x1={LIMIT:g}"

    async def decide(self, ids, bundle):
        now_s, courier = time.time(), self.owners[ids[0]]
        self.arrivals.append((now_s, courier in self.told))
        if now_s < self.opens_s:
            self.told.add(courier)
            return self.full(self.opens_s - now_s)
        span = int(now_s / SPAN_S)
        self.span, self.count = span, self.count + 1 if span == self.span else 1
        if self.count > LIMIT * SPAN_S:
            return self.full((span + 1) * SPAN_S - now_s)
        rate = self.capacity(now_s)
        self.queued = max(0.0, self.queued - (now_s - self.drained_s) * rate)
        self.drained_s = now_s
        if self.queued > DEPTH_S * rate:
            return self.full()
        waited_s = self.queued / rate
        self.queued += 1
        await asyncio.sleep(waited_s + WORK_S * self.random.lognormvariate(-0.125, 0.5))
        return r.http_answer(200, X_Server_Load=self.report())

    def spans(self):
        """Yield for each span of FALL_S after the return: start, calls, calls of told couriers, bound."""
        arrivals = [a for a in self.arrivals if a[0] >= self.back_s]
        for first, (start_s, _) in enumerate(arrivals):
            calls = [a for a in arrivals[first:] if a[0] < start_s + FALL_S]
            # The capacity rises: the mean over the span is what it can do then.
            mean = (self.capacity(start_s) + self.capacity(start_s + FALL_S)) / 2
            allowed = FALL_MULTIPLE * mean * FALL_S
            bound = allowed + (3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2)
            yield start_s - self.back_s, len(calls), sum(told for _, told in calls), bound


async def play(rig):
    settings = rig.settings
    rigs = [rig, *(r.Rig(rig.record, {**settings, "me": number}) for number in range(1, COURIERS))]
    destination = Destination(rig.record)
    endpoints = [await rig.endpoint(f"e{n}", dest=1) for n in range(1, ENDPOINTS + 1)]
    for endpoint in endpoints:
        endpoint.decide = destination.decide
    try:
        for other in rigs[1:]:
            await other.discovery.start()
            for endpoint in endpoints:
                other.discovery.add(endpoint.name, endpoint, 1)
        for start in range(0, COURIERS, 4):
            await asyncio.gather(*(one.start() for one in rigs[start : start + 4]))
        return await run(rigs, destination)
    finally:
        await asyncio.gather(*(other.close() for other in rigs[1:]))


async def run(rigs, destination):
    chance, tasks = random.Random(SEED + 1), set()
    clients = [[] for _ in rigs]  # kept connections that rest
    ends_s = time.time() + QUIET_S + SHUT_S + AFTER_S

    async def hand_in(courier, message_id, message_class):
        client = clients[courier].pop() if clients[courier] else r.Client(rigs[courier])
        await client.put(message_id, message_class, 1, 6000 if message_class == "status-update" else 16000)
        clients[courier].append(client)

    async def traffic():
        number, at_s = 0, time.time()
        while at_s < ends_s:
            at_s += chance.expovariate(TRAFFIC)
            await asyncio.sleep(max(0.0, at_s - time.time()))
            number += 1
            courier, message_id = chance.randrange(len(rigs)), f"{number:016x}"
            destination.owners[message_id] = courier
            task = asyncio.ensure_future(
                hand_in(courier, message_id, chance.choice(["status-update", "ride-charge"]))
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    record = rigs[0].record
    source = asyncio.ensure_future(traffic())
    await asyncio.sleep(QUIET_S)
    destination.back_s = time.time() + SHUT_S
    if r.TROUBLE:
        destination.opens_s = destination.back_s
        record(f"destination 1: shut for {SHUT_S:g} s, then cold")
    await source
    await asyncio.gather(*tasks)
    if not r.TROUBLE:
        destination.back_s = math.inf  # it was never down, so it is not cold
    worst = max(destination.spans(), key=lambda span: span[1] / span[3], default=(0, 0, 0, 1))
    record(f"worst span, {worst[1] / worst[3]:.2f} of the bound: {describe(worst)}")
    first = next((span for span in destination.spans() if span[1] > span[3]), None)
    if first is None or 3 * first[2] <= 2 * first[1]:
        return []
    return [f"it falls over: {describe(first)}; the worst span has {worst[1] / worst[3]:.2f} of its bound"]


def describe(span):
    since_s, count, told, bound = span
    calls = f"{count} calls in 2 s from {since_s:.2f} s after the return"
    return f"{calls}, {told} of told couriers, bound {bound:.1f}"


r.main(play, pathlib.Path(__file__).parent, settings=r.site_settings(groupSize=COURIERS))

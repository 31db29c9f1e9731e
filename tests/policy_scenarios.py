"""Seeded days for the delivery policy, in terms that no build's type names enter.

`play` drives one policy through a made-up day: arrivals of every class, endpoint lists of every form,
cordons, withdrawals, a shutdown that is announced and taken back, and a hot restart into a second policy.
Events and actions are plain tuples; an adapter (see `test_stored_data.py`) turns them into a build's types.
"""

from __future__ import annotations

import math
import random

from policy_scenario_settings import CLASSES, SCENARIOS, SECOND


RESULTS = ("ok", "error", "rejected", "timeout", "connect_failed", "reset", "not_attempted", "cancelled")
HEALTHY = (90, 2, 2, 2, 1, 1, 1, 1)
FAULTS = (
    (5, 85, 2, 2, 2, 2, 1, 1),
    (5, 2, 85, 2, 2, 2, 1, 1),
    (5, 2, 2, 85, 2, 2, 1, 1),
    (5, 2, 2, 2, 85, 2, 1, 1),
    (5, 2, 2, 2, 2, 85, 1, 1),
    (50, 10, 10, 10, 10, 10, 5, 5),
)


class World:
    """What surrounds the policy: endpoints with a state and a fault each, and the attempts that are out."""

    def __init__(self, scenario, seed):
        self.scenario = SCENARIOS[scenario]
        self.random = random.Random(f"{scenario}/{seed}")
        self.now = 1000 * SECOND
        self.endpoints = {}  # endpoint: [destination, state, rate, kind, zone]
        self.faults = {}  # destination: weights of the results
        self.next_endpoint, self.next_message = 100, 0
        self.attempts, self.out, self.open = {}, {}, {}
        self.cordoned = set()
        self.closing = False

    def add_endpoint(self, destination=None):
        self.next_endpoint += 1
        destination = destination or self.random.randint(1, 4)
        kind = destination % len(self.scenario["kinds"])
        rate = self.random.choice((0.0, 5.0, 20.0, 200.0))
        self.endpoints[self.next_endpoint] = [destination, "ready", rate, kind, self.random.randint(0, 2)]
        return self.next_endpoint

    def entry(self, endpoint):
        return (endpoint, *self.endpoints[endpoint])

    def complete_list(self, form="complete"):
        entries = [self.entry(endpoint) for endpoint in sorted(self.endpoints)]
        return ("list", form, tuple(entries))

    def list_event(self):
        chance = self.random
        roll = chance.random()
        if roll < 0.05:
            return ("list", "failed", ())
        if roll < 0.15:
            if len(self.endpoints) > 6 and chance.random() < 0.5:  # one is left out, with no word of it
                del self.endpoints[chance.choice(sorted(self.endpoints))]
            return self.complete_list()
        if roll < 0.3 or len(self.endpoints) < 8:
            return ("list", "delta", (self.entry(self.add_endpoint()),))
        endpoint = chance.choice(sorted(self.endpoints))
        own = self.endpoints[endpoint]
        change = chance.random()
        if change < 0.5:
            drained = [e for e in sorted(self.endpoints) if self.endpoints[e][1] == "draining"]
            endpoint = drained[0] if drained else endpoint
            own = self.endpoints[endpoint]
            own[1] = "draining" if own[1] == "ready" else "ready"
        elif change < 0.6:
            own[0] = chance.randint(1, 4)  # it moves to another destination
            own[3] = own[0] % len(self.scenario["kinds"])
        elif change < 0.8:
            own[2] = chance.choice((0.0, 2.0, 10.0, 100.0))
        else:
            own[1] = "removed"
            entry = self.entry(endpoint)
            del self.endpoints[endpoint]
            return ("list", "delta", (entry,))
        return ("list", "delta", (self.entry(endpoint),))

    def message_event(self):
        chance = self.random
        self.next_message += 1
        number = chance.randrange(len(CLASSES))
        life = int(CLASSES[number]["deadline"] * chance.choice((1.0, 0.5, 0.1)))
        attempts, applied_at, applied_zone, restored = 0, -1, -1, False
        if chance.random() < 0.1:
            restored = True
            attempts = chance.randint(0, 3)
            if attempts and chance.random() < 0.6:
                applied_at, applied_zone = self.now - chance.randint(0, 6 * SECOND), chance.randint(-1, 2)
        tenant = chance.randint(0, max(0, len(self.scenario["tenants"]) - 1))
        order_key = chance.randint(0, 2) if CLASSES[number]["ordered"] else 0
        destination = chance.choice((1, 1, 1, 2, 2, 3, 4, 9))
        self.open[self.next_message] = number
        self.attempts[self.next_message] = attempts
        return (
            "message",
            self.next_message,
            number,
            destination,
            self.now + life,
            tenant,
            order_key,
            chance.random() < 0.1,
            restored,
            attempts,
            applied_at,
            applied_zone,
        )

    def due_events(self):
        """Outcomes of the attempts whose time has come, with load reports ahead of some."""
        events, chance = [], self.random
        for key in [key for key, (at, _, _) in self.out.items() if at <= self.now]:
            _, endpoint, (result, latency, wait, fresh, malformed) = self.out.pop(key)
            if result in ("ok", "error") and self.scenario.get("report") and chance.random() < 0.7:
                names = len(self.scenario["report"])
                values = tuple(chance.choice((0.0, 0.05, 0.5, 40.0, 400.0, 4000.0)) for _ in range(names))
                events.append(("load", endpoint, values))
            if result == "ok" and chance.random() < 0.05:
                events.append(("response_started", key[0], key[1], endpoint))
            ended = result == "ok" or chance.random() < 0.01
            if ended:
                self.open.pop(key[0], None)
            events.append(("ended", *key, endpoint, result, latency, ended, wait, fresh, malformed))
            if chance.random() < 0.01:  # told twice
                events.append(events[-1])
        return events

    def take(self, actions):
        """Attempts get an outcome and a time for it; messages that are answered are over."""
        chance = self.random
        calls = {}
        for action in actions:
            if action[0] in ("reject", "fail"):
                self.open.pop(action[1], None)
            elif action[0] == "send":
                _, message, endpoint, timeout, new_timeout, needs_new = action
                attempt = self.attempts.get(message, 0)
                self.attempts[message] = attempt + 1
                destination = self.endpoints.get(endpoint, [0])[0]
                if endpoint not in calls:  # messages of one tick to one endpoint may share their fate
                    weights = self.faults.get(destination, HEALTHY)
                    calls[endpoint] = chance.choices(RESULTS, weights)[0], chance.randint(5_000, 400_000)
                result, latency = calls[endpoint]
                if chance.random() < 0.1:
                    result = chance.choice(RESULTS)
                if result == "timeout":
                    latency = timeout if chance.random() < 0.5 else new_timeout
                wait = 0
                if result == "rejected":
                    wait = chance.choice((0, 0, 300_000, SECOND, 3 * SECOND))
                fresh = chance.choice((None, None, needs_new, True, False))
                outcome = (result, latency, wait, fresh, result == "error" and chance.random() < 0.1)
                self.out[(message, attempt)] = (self.now + latency, endpoint, outcome)

    def events(self, step):
        """What happens in one tick."""
        chance = self.random
        events = self.due_events()
        if step % 40 == 0:
            destination = chance.randint(1, 4)
            self.faults[destination] = chance.choice((HEALTHY, HEALTHY, HEALTHY, HEALTHY, *FAULTS))
        busy = 0.5 if step // 150 % 3 else 0.8
        while chance.random() < busy:
            events.append(self.message_event())
            if chance.random() < 0.01:  # handed in twice
                events.append(events[-1])
        if chance.random() < 0.04:
            events.append(self.list_event())
        if chance.random() < 0.02 and self.endpoints:
            endpoint = chance.choice(sorted(self.cordoned & self.endpoints.keys()) or sorted(self.endpoints))
            self.cordoned ^= {endpoint}
            events.append(("cordon", endpoint, endpoint in self.cordoned))
        if chance.random() < 0.03 and self.open:
            withdrawn = chance.choice(sorted(self.open))
            self.open.pop(withdrawn)
            events.append(("withdrawn", withdrawn))
        if chance.random() < 0.006:
            self.closing = not self.closing
            events.append(("shutdown", self.now + 3 * SECOND if self.closing else math.inf))
        if chance.random() < 0.1:
            events.append(("timer", 0))
        return events


def renumbered(world):
    """The second process numbers the endpoints anew; some that were listed are so no more."""
    return {endpoint: endpoint + 5000 for endpoint in range(101, world.next_endpoint + 1)}


def play(scenario, seed, create, steps=900):
    """Every tick's actions, and the state as it is exported half way and at the end.

    create(scenario settings, seed) gives an adapter with handle(now, events), export() and
    replace(snapshot, numbers, seed, now, events): the actions of a new policy's first tick; and inspect():
    what it says between ticks, as a list.
    """
    world = World(scenario, seed)
    policy = create(world.scenario, seed)
    for destination in (1, 1, 1, 2, 2, 3, 4, 4):
        world.add_endpoint(destination)
    ticks, states = [], []
    first = [] if world.scenario.get("on_request") else [world.complete_list("cached")]
    ticks.append(policy.handle(world.now, first))
    for step in range(steps):
        world.now += world.random.choice((1_000, 10_000, 50_000, 100_000, 300_000))
        if step == steps // 2:
            states.append(policy.export())
            numbers = renumbered(world)
            world.endpoints = {numbers[endpoint]: own for endpoint, own in world.endpoints.items()}
            world.cordoned = {numbers[endpoint] for endpoint in world.cordoned if endpoint in numbers}
            world.out = {
                key: (at, numbers[endpoint], outcome) for key, (at, endpoint, outcome) in world.out.items()
            }
            world.next_endpoint += 5000
            for endpoint in sorted(world.endpoints)[:2]:  # listed no more when the second process starts
                del world.endpoints[endpoint]
            actions = policy.replace(
                states[-1], numbers, seed + 1, world.now, [world.complete_list("cached")]
            )
        else:
            actions = policy.handle(world.now, world.events(step))
        world.take(actions)
        ticks.append(actions)
        if step % 50 == 0:
            ticks.append(policy.inspect())
    states.append(policy.export())
    return ticks, states

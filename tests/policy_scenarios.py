"""Random but reproducible runs of a delivery policy, whose actions are compared with recorded ones.

`play` runs one policy through a scenario: messages of every class, endpoint lists of every form, cordons,
withdrawals, shutdowns that are scheduled and cancelled, and a hot restart into a second policy.
Events and actions are plain tuples, so that the recordings do not depend on the names of types; an adapter
(see `test_stored_data.py`) converts them to and from the types of the policy.
"""

from __future__ import annotations

import math
import random

from policy_scenario_settings import CLASSES, SCENARIOS, SECOND

RESULTS = ("ok", "error", "rejected", "timeout", "connect_failed", "reset", "not_attempted", "cancelled")
# Weights of the results at a destination without and with a fault.
HEALTHY = (90, 2, 2, 2, 1, 1, 1, 1)
FAULTS = (
    (5, 85, 2, 2, 2, 2, 1, 1),
    (5, 2, 85, 2, 2, 2, 1, 1),
    (5, 2, 2, 85, 2, 2, 1, 1),
    (5, 2, 2, 2, 85, 2, 1, 1),
    (5, 2, 2, 2, 2, 85, 1, 1),
    (50, 10, 10, 10, 10, 10, 5, 5),
)


class Simulation:
    """Simulated endpoints, messages and attempts in flight, from which the events of the policy are drawn."""

    def __init__(self, scenario, seed):
        self.scenario = SCENARIOS[scenario]
        self.random = random.Random(f"{scenario}/{seed}")
        self.now_us = 1000 * SECOND
        self.endpoints = {}  # endpoint: [destination, state, rate, type index, zone]
        self.faults = {}  # destination: weights of `RESULTS`
        self.next_endpoint, self.next_message = 100, 0
        # By message: number of attempts. By message and attempt: end in microseconds, endpoint and outcome.
        # By open message: index of its class.
        self.attempts, self.in_flight, self.open_messages = {}, {}, {}
        self.cordoned = set()
        self.shutting_down = False

    def add_endpoint(self, destination=None):
        """Add a ready endpoint, by default of a random destination, and return its number."""
        self.next_endpoint += 1
        destination = destination or self.random.randint(1, 4)
        type_index = destination % len(self.scenario["kinds"])
        rate = self.random.choice((0.0, 5.0, 20.0, 200.0))
        self.endpoints[self.next_endpoint] = [
            destination,
            "ready",
            rate,
            type_index,
            self.random.randint(0, 2),
        ]
        return self.next_endpoint

    def entry(self, endpoint):
        """Return the entry of an endpoint in an endpoint list."""
        return (endpoint, *self.endpoints[endpoint])

    def complete_list(self, form="complete"):
        """Return an event with a list of all endpoints."""
        entries = [self.entry(endpoint) for endpoint in sorted(self.endpoints)]
        return ("list", form, tuple(entries))

    def list_event(self):
        """Return an event of the endpoint list: a failure, or a random change, which is made here."""
        rng = self.random
        roll = rng.random()
        if roll < 0.05:
            return ("list", "failed", ())
        if roll < 0.15:
            if len(self.endpoints) > 6 and rng.random() < 0.5:  # removed by its absence from the list
                del self.endpoints[rng.choice(sorted(self.endpoints))]
            return self.complete_list()
        if roll < 0.3 or len(self.endpoints) < 8:
            return ("list", "delta", (self.entry(self.add_endpoint()),))
        endpoint = rng.choice(sorted(self.endpoints))
        fields = self.endpoints[endpoint]
        change_roll = rng.random()
        if change_roll < 0.5:
            drained = [e for e in sorted(self.endpoints) if self.endpoints[e][1] == "draining"]
            endpoint = drained[0] if drained else endpoint
            fields = self.endpoints[endpoint]
            fields[1] = "draining" if fields[1] == "ready" else "ready"
        elif change_roll < 0.6:
            fields[0] = rng.randint(1, 4)  # the endpoint moves to a random destination
            fields[3] = fields[0] % len(self.scenario["kinds"])
        elif change_roll < 0.8:
            fields[2] = rng.choice((0.0, 2.0, 10.0, 100.0))
        else:
            fields[1] = "removed"
            entry = self.entry(endpoint)
            del self.endpoints[endpoint]
            return ("list", "delta", (entry,))
        return ("list", "delta", (self.entry(endpoint),))

    def message_event(self):
        """Return the event of a new message, or of one that was restored after a restart."""
        rng = self.random
        self.next_message += 1
        class_index = rng.randrange(len(CLASSES))
        lifetime_us = int(CLASSES[class_index]["deadline"] * rng.choice((1.0, 0.5, 0.1)))
        attempts, applied_at, applied_zone, restored = 0, -1, -1, False
        if rng.random() < 0.1:
            restored = True
            attempts = rng.randint(0, 3)
            if attempts and rng.random() < 0.6:
                applied_at, applied_zone = self.now_us - rng.randint(0, 6 * SECOND), rng.randint(-1, 2)
        tenant = rng.randint(0, max(0, len(self.scenario["tenants"]) - 1))
        order_key = rng.randint(0, 2) if CLASSES[class_index]["ordered"] else 0
        destination = rng.choice((1, 1, 1, 2, 2, 3, 4, 9))
        self.open_messages[self.next_message] = class_index
        self.attempts[self.next_message] = attempts
        return (
            "message",
            self.next_message,
            class_index,
            destination,
            self.now_us + lifetime_us,
            tenant,
            order_key,
            rng.random() < 0.1,
            restored,
            attempts,
            applied_at,
            applied_zone,
        )

    def due_events(self):
        """Return the outcomes of the attempts that end by now, some of them after a load report."""
        events, rng = [], self.random
        for key in [key for key, (at, _, _) in self.in_flight.items() if at <= self.now_us]:
            _, endpoint, (result, latency_us, retry_after_us, new_connection, malformed) = self.in_flight.pop(
                key
            )
            if result in ("ok", "error") and self.scenario.get("report") and rng.random() < 0.7:
                field_count = len(self.scenario["report"])
                values = tuple(rng.choice((0.0, 0.05, 0.5, 40.0, 400.0, 4000.0)) for _ in range(field_count))
                events.append(("load", endpoint, values))
            if result == "ok" and rng.random() < 0.05:
                events.append(("response_started", key[0], key[1], endpoint))
            ended = result == "ok" or rng.random() < 0.01
            if ended:
                self.open_messages.pop(key[0], None)
            events.append(
                (
                    "ended",
                    *key,
                    endpoint,
                    result,
                    latency_us,
                    ended,
                    retry_after_us,
                    new_connection,
                    malformed,
                )
            )
            if rng.random() < 0.01:  # reported twice
                events.append(events[-1])
        return events

    def apply_actions(self, actions):
        """Draw an outcome and its time for each attempt sent, and close the messages with a final answer."""
        rng = self.random
        calls = {}
        for action in actions:
            if action[0] in ("reject", "fail"):
                self.open_messages.pop(action[1], None)
            elif action[0] == "send":
                _, message, endpoint, timeout_us, new_connection_timeout_us, new_required = action
                attempt = self.attempts.get(message, 0)
                self.attempts[message] = attempt + 1
                destination = self.endpoints.get(endpoint, [0])[0]
                if endpoint not in calls:  # one outcome for most messages of a batch
                    weights = self.faults.get(destination, HEALTHY)
                    calls[endpoint] = rng.choices(RESULTS, weights)[0], rng.randint(5_000, 400_000)
                result, latency_us = calls[endpoint]
                if rng.random() < 0.1:
                    result = rng.choice(RESULTS)
                if result == "timeout":
                    latency_us = timeout_us if rng.random() < 0.5 else new_connection_timeout_us
                retry_after_us = 0
                if result == "rejected":
                    retry_after_us = rng.choice((0, 0, 300_000, SECOND, 3 * SECOND))
                new_connection = rng.choice((None, None, new_required, True, False))
                outcome = (
                    result,
                    latency_us,
                    retry_after_us,
                    new_connection,
                    result == "error" and rng.random() < 0.1,
                )
                self.in_flight[(message, attempt)] = (self.now_us + latency_us, endpoint, outcome)

    def events(self, step):
        """Return the events of one tick."""
        rng = self.random
        events = self.due_events()
        if step % 40 == 0:
            destination = rng.randint(1, 4)
            self.faults[destination] = rng.choice((HEALTHY, HEALTHY, HEALTHY, HEALTHY, *FAULTS))
        arrival_probability = 0.5 if step // 150 % 3 else 0.8
        while rng.random() < arrival_probability:
            events.append(self.message_event())
            if rng.random() < 0.01:  # submitted twice
                events.append(events[-1])
        if rng.random() < 0.04:
            events.append(self.list_event())
        if rng.random() < 0.02 and self.endpoints:
            endpoint = rng.choice(sorted(self.cordoned & self.endpoints.keys()) or sorted(self.endpoints))
            self.cordoned ^= {endpoint}
            events.append(("cordon", endpoint, endpoint in self.cordoned))
        if rng.random() < 0.03 and self.open_messages:
            withdrawn = rng.choice(sorted(self.open_messages))
            self.open_messages.pop(withdrawn)
            events.append(("withdrawn", withdrawn))
        if rng.random() < 0.006:
            self.shutting_down = not self.shutting_down
            events.append(("shutdown", self.now_us + 3 * SECOND if self.shutting_down else math.inf))
        if rng.random() < 0.1:
            events.append(("timer", 0))
        return events


def renumbered_endpoints(simulation):
    """Return the numbers that the second process assigns to the endpoints, by those of the first one."""
    return {endpoint: endpoint + 5000 for endpoint in range(101, simulation.next_endpoint + 1)}


def play(scenario, seed, create, steps=900):
    """Run a policy through a scenario with a hot restart halfway.

    Return the actions of each tick, with the results of inspect() after some of them, and the two states that
    were exported before the restart and at the end.

    create(scenario settings, seed) returns an adapter with these methods:
    handle(now, events) returns the actions of a tick;
    export() returns the state of the policy;
    replace(snapshot, numbers, seed, now, events) creates a policy with that state and with new numbers
    of the endpoints, and returns the actions of its first tick;
    inspect() returns what the server reads from the policy between ticks, as a list.
    """
    simulation = Simulation(scenario, seed)
    policy = create(simulation.scenario, seed)
    for destination in (1, 1, 1, 2, 2, 3, 4, 4):
        simulation.add_endpoint(destination)
    ticks, states = [], []
    first_events = [] if simulation.scenario.get("on_request") else [simulation.complete_list("cached")]
    ticks.append(policy.handle(simulation.now_us, first_events))
    for step in range(steps):
        simulation.now_us += simulation.random.choice((1_000, 10_000, 50_000, 100_000, 300_000))
        if step == steps // 2:
            states.append(policy.export())
            numbers = renumbered_endpoints(simulation)
            simulation.endpoints = {
                numbers[endpoint]: fields for endpoint, fields in simulation.endpoints.items()
            }
            simulation.cordoned = {
                numbers[endpoint] for endpoint in simulation.cordoned if endpoint in numbers
            }
            simulation.in_flight = {
                key: (at, numbers[endpoint], outcome)
                for key, (at, endpoint, outcome) in simulation.in_flight.items()
            }
            simulation.next_endpoint += 5000
            for endpoint in sorted(simulation.endpoints)[:2]:  # the second process does not list them
                del simulation.endpoints[endpoint]
            actions = policy.replace(
                states[-1], numbers, seed + 1, simulation.now_us, [simulation.complete_list("cached")]
            )
        else:
            actions = policy.handle(simulation.now_us, simulation.events(step))
        simulation.apply_actions(actions)
        ticks.append(actions)
        if step % 50 == 0:
            ticks.append(policy.inspect())
    states.append(policy.export())
    return ticks, states

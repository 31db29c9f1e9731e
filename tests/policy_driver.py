"""Drives one delivery policy without a server, for the tests of its decisions."""

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    DestinationType,
    EndpointEntry,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    Idempotency,
    MessageClass,
    MessageSubmitted,
    SendAttempt,
    Settings,
)
from message_relay.policy.delivery_policy import DeliveryPolicy

SECOND = 1_000_000


CLASSES = (
    MessageClass("safe", latency_objective_us=SECOND, deadline_us=10 * SECOND),
    MessageClass(
        "keyed",
        latency_objective_us=SECOND,
        deadline_us=10 * SECOND,
        idempotency=Idempotency.KEYED,
        key_window_us=5 * SECOND,
    ),
    MessageClass(
        "unsafe", latency_objective_us=SECOND, deadline_us=10 * SECOND, idempotency=Idempotency.NON_IDEMPOTENT
    ),
)


class PolicyDriver:
    """Feeds events to a policy on a clock of its own and counts the attempts that it starts."""

    def __init__(self, endpoints=1, rate=0.0, **changes):
        settings = {
            "classes": CLASSES,
            "call_slots": 8,
            "max_open_messages": 100,
            "max_attempts": 12,
            "destination_types": (DestinationType("k"),),
            "rate_limits_advertised": rate > 0,
            "max_retry_after_us": 2 * SECOND,
            "tick_interval_us": 5000,
        }
        settings.update(changes)
        self.policy = DeliveryPolicy(Settings(**settings), 7)
        self.now, self.last_message, self.attempts_sent = 1000 * SECOND, 0, {}
        self.run_tick(
            EndpointListReceived(
                EndpointListForm.CACHED,
                tuple(EndpointEntry(100 + n, 1, EndpointState.READY, rate) for n in range(endpoints)),
            )
        )

    def run_tick(self, *events, after=0):
        """One tick, so many microseconds after the last; returns the actions."""
        self.now += after
        actions = self.policy.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, SendAttempt):
                self.attempts_sent[action.message] = self.attempts_sent.get(action.message, -1) + 1
        return actions

    def submit(self, message_class=0, destination=1, lifetime=None, after=0):
        """A new message; returns the actions of the tick."""
        self.last_message += 1
        deadline_us = self.now + after + (lifetime or CLASSES[message_class].deadline_us)
        return self.run_tick(
            MessageSubmitted(self.last_message, message_class, destination, deadline_us), after=after
        )

    def end_attempt(self, message, result, latency=100_000, after=100_000, endpoint=100, retry_after=0):
        """The message's latest attempt ends with this result; times are microseconds."""
        return self.run_tick(
            AttemptEnded(
                message,
                self.attempts_sent[message],
                endpoint,
                result,
                latency,
                result is AttemptResult.OK,
                retry_after,
            ),
            after=after,
        )

    def advance(self, seconds, step=0.05):
        """Empty ticks for so long; returns the actions of all."""
        actions = []
        for _ in range(round(seconds / step)):
            actions += self.run_tick(after=int(step * SECOND))
        return actions


def actions_of(kind, actions):
    """The actions of that type."""
    return [action for action in actions if isinstance(action, kind)]


def warm_up(driver, messages=12):
    """Messages that are delivered one after the other, so that the concurrency window grows."""
    for _ in range(messages):
        driver.submit(after=300_000)
        driver.end_attempt(driver.last_message, AttemptResult.OK)


def serve(driver, seconds, result, per_s=10):
    """Submit messages, end each attempt with the result a tick later; returns the count of attempts."""
    sends, pending = 0, []
    for step in range(round(seconds * 20)):
        actions = []
        for action in pending:
            actions += driver.end_attempt(action.message, result, latency=50_000, after=0)
        actions += (
            driver.submit(lifetime=SECOND, after=50_000)
            if step * per_s % 20 < per_s
            else driver.run_tick(after=50_000)
        )
        pending = actions_of(SendAttempt, actions)
        sends += len(pending)
    for action in pending:
        driver.end_attempt(action.message, result, latency=50_000, after=0)
    return sends


def large_fleet(**changes):
    """One of a hundred instances with four slots each."""
    return PolicyDriver(**{"instance_count": 100, "call_slots": 4, **changes})


def mid_size_fleet(**changes):
    """One of forty instances with four slots each, which read load reports."""
    return PolicyDriver(
        **{"instance_count": 40, "call_slots": 4, "load_report_fields": ("x0", "x1"), **changes}
    )


def endpoint_entry(endpoint, destination=1, state=EndpointState.READY, rate=0.0):
    return EndpointEntry(endpoint, destination, state, rate)

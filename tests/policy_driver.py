"""Runs a delivery policy without a server: the tests supply its events and check its actions."""

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

SECOND = 1_000_000  # in microseconds

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
    """Passes events to a policy, advances its clock, and counts the attempts of each message.

    `latest_attempts` maps each message to the number of its latest attempt, counted from 0.
    """

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
        self.now_us, self.last_message, self.latest_attempts = 1000 * SECOND, 0, {}
        self.run_tick(
            EndpointListReceived(
                EndpointListForm.CACHED,
                tuple(EndpointEntry(100 + n, 1, EndpointState.READY, rate) for n in range(endpoints)),
            )
        )

    def run_tick(self, *events, after_us=0):
        """Run a tick `after_us` microseconds after the previous one; return the actions."""
        self.now_us += after_us
        actions = self.policy.handle(self.now_us, list(events))
        for action in actions:
            if isinstance(action, SendAttempt):
                self.latest_attempts[action.message] = self.latest_attempts.get(action.message, -1) + 1
        return actions

    def submit(self, message_class=0, destination=1, lifetime_us=None, after_us=0):
        """Submit a new message in a tick of its own; return the actions of the tick.

        Without `lifetime_us`, the deadline is that of the class.
        """
        self.last_message += 1
        deadline_us = self.now_us + after_us + (lifetime_us or CLASSES[message_class].deadline_us)
        return self.run_tick(
            MessageSubmitted(self.last_message, message_class, destination, deadline_us), after_us=after_us
        )

    def end_attempt(
        self, message, result, latency_us=100_000, after_us=100_000, endpoint=100, retry_after_us=0
    ):
        """End the message's latest attempt with the result; return the actions of the tick."""
        return self.run_tick(
            AttemptEnded(
                message,
                self.latest_attempts[message],
                endpoint,
                result,
                latency_us,
                result is AttemptResult.OK,
                retry_after_us,
            ),
            after_us=after_us,
        )

    def advance(self, seconds, step_s=0.05):
        """Run ticks without events, `step_s` apart, for this time; return the actions of all."""
        actions = []
        for _ in range(round(seconds / step_s)):
            actions += self.run_tick(after_us=int(step_s * SECOND))
        return actions


def actions_of(action_type, actions):
    """Return the actions that are of the type."""
    return [action for action in actions if isinstance(action, action_type)]


def warm_up(driver, messages=12):
    """Deliver messages one after the other, so that the concurrency window grows."""
    for _ in range(messages):
        driver.submit(after_us=300_000)
        driver.end_attempt(driver.last_message, AttemptResult.OK)


def submit_and_end(driver, seconds, result, messages_per_s=10):
    """Submit messages and end each attempt with the result one tick later; return the number of attempts."""
    attempts, in_flight = 0, []
    for tick in range(round(seconds * 20)):
        actions = []
        for action in in_flight:
            actions += driver.end_attempt(action.message, result, latency_us=50_000, after_us=0)
        actions += (
            driver.submit(lifetime_us=SECOND, after_us=50_000)
            if tick * messages_per_s % 20 < messages_per_s
            else driver.run_tick(after_us=50_000)
        )
        in_flight = actions_of(SendAttempt, actions)
        attempts += len(in_flight)
    for action in in_flight:
        driver.end_attempt(action.message, result, latency_us=50_000, after_us=0)
    return attempts


def large_fleet(**changes):
    """Return the driver of one of a hundred instances with four slots each."""
    return PolicyDriver(**{"instance_count": 100, "call_slots": 4, **changes})


def mid_size_fleet(**changes):
    """Return the driver of one of forty instances with four slots each, which read load reports."""
    return PolicyDriver(
        **{"instance_count": 40, "call_slots": 4, "load_report_fields": ("x0", "x1"), **changes}
    )


def endpoint_entry(endpoint, destination=1, state=EndpointState.READY, rate=0.0):
    """Return an entry of an endpoint list, by default of a ready endpoint of destination 1."""
    return EndpointEntry(endpoint, destination, state, rate)

"""State that the delivery policy of a new process restores from a snapshot of the old process's policy.

Guards against a hot restart that exceeds the slots, repeats an attempt that may have been applied, or loses
a Retry-After, a backoff, a rate limit or a slow start.
"""

from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy_snapshot import capture
from message_relay.model import (
    AttemptEnded,
    Idempotency,
    EndpointCordoned,
    EndpointListReceived,
    EndpointState,
    StateImported,
    EndpointEntry,
    EndpointListForm,
    MessageSubmitted,
    MessageClass,
    RejectMessage,
    AttemptResult,
    SendAttempt,
    Settings,
)

READY = EndpointState.READY


def delivery_policy(call_slots=4):
    return DeliveryPolicy(
        Settings(
            classes=(
                MessageClass("safe", 800_000, 60_000_000),
                MessageClass("unsafe", 800_000, 60_000_000, Idempotency.NON_IDEMPOTENT),
            ),
            call_slots=call_slots,
            max_open_messages=100,
            max_retry_after_us=1_000_000,
        ),
        seed=1,
    )


def listed(*endpoints):
    return EndpointListReceived(
        EndpointListForm.COMPLETE,
        tuple(EndpointEntry(endpoint, destination, READY) for endpoint, destination in endpoints),
    )


def submitted(number, destination=7, message_class=0):
    return MessageSubmitted(number, message_class, destination, 60_000_000)


def sends(actions):
    """Return the message and the endpoint of each attempt that is sent."""
    return [(action.message, action.endpoint) for action in actions if isinstance(action, SendAttempt)]


def restored_policy(old, now, endpoints, *events, call_slots=4):
    """Return a policy with the restored state of the old one, and the actions of its first tick.

    endpoints maps the endpoint numbers of the old policy to those of the new one.
    """
    new = delivery_policy(call_slots)
    return new, new.handle(now, [*events, StateImported(capture(old.state), endpoints)])


def test_restored_calls_occupy_slots_and_are_not_duplicated():
    old = delivery_policy(call_slots=1)
    assert sends(old.handle(0, [listed((1, 7)), submitted(1), submitted(2)])) == [(1, 1)]
    new, actions = restored_policy(old, 1000, {1: 50}, listed((50, 7)), call_slots=1)
    # Neither the first message again nor the second one is sent: the only slot is in use.
    assert sends(actions) == [] and new.state.in_flight == 1
    actions = new.handle(2000, [AttemptEnded(1, 0, 50, AttemptResult.OK, 2000, True)])
    assert sends(actions) == [(2, 50)] and new.state.in_flight == 1
    old = delivery_policy(call_slots=1)
    old.handle(0, [listed((1, 7)), submitted(1, message_class=1)])
    new, _ = restored_policy(old, 1000, {1: 50}, listed((50, 7)), call_slots=1)
    actions = new.handle(2000, [AttemptEnded(1, 0, 50, AttemptResult.CANCELLED, 0)])
    # The message may have been applied: there is no second attempt.
    assert sends(actions) == [] and new.state.in_flight == 0 and not new.state.messages


def test_retry_after_is_restored_without_the_endpoint_that_sent_it():
    old = delivery_policy()
    old.handle(0, [listed((1, 7)), submitted(1)])
    old.handle(1000, [AttemptEnded(1, 0, 1, AttemptResult.REJECTED, 900, retry_after_us=2_000_000)])
    new, actions = restored_policy(old, 2000, {1: 50}, listed((60, 7)))
    assert sends(actions) == []
    assert sends(new.handle(10_000, [submitted(2)])) == []
    assert sends(new.handle(1_990_000, [])) == []
    assert sends(new.handle(2_010_000, [])) == [(2, 60)]


def test_rate_limits_windows_and_slow_start_are_restored():
    old = delivery_policy()
    old.handle(0, [listed((1, 7), (2, 8)), submitted(1), submitted(2, destination=8), EndpointCordoned(2)])
    old.handle(5000, [AttemptEnded(1, 0, 1, AttemptResult.OK, 4000, True), EndpointCordoned(2, False)])
    old.state.destinations[7].groups[0].rate_limit_per_s = 3.5
    new, _ = restored_policy(old, 6000, {1: 51, 2: 52}, listed((52, 8), (51, 7)))
    first, second = new.state.endpoints[51], new.state.endpoints[52]
    assert (first.group.rate_limit_per_s, first.group.concurrency_window, first.group.latency_mean_us) == (
        3.5,
        old.state.endpoints[1].group.concurrency_window,
        old.state.endpoints[1].group.latency_mean_us,
    )
    assert second.circuit.slow_start_since_us == 5000 and first.circuit.slow_start_since_us == -1


def test_outcome_of_a_call_to_an_unlisted_endpoint_is_processed():
    old = delivery_policy()
    old.handle(0, [listed((1, 7)), submitted(1)])
    new, _ = restored_policy(old, 1000, {1: 50}, listed((60, 8)))
    assert new.state.in_flight == 1
    actions = new.handle(2000, [AttemptEnded(1, 0, 50, AttemptResult.REJECTED, 2000)])
    assert [action.message for action in actions if isinstance(action, RejectMessage)] == [1]
    assert new.state.in_flight == 0 and 50 not in new.state.endpoints


def test_backoff_before_the_next_attempt_is_restored():
    old = delivery_policy()
    old.handle(0, [listed((1, 7)), submitted(1)])
    old.handle(1000, [AttemptEnded(1, 0, 1, AttemptResult.ERROR, 900)])
    next_attempt_at = old.state.messages[1].next_attempt_at_us
    assert next_attempt_at > 1000
    new, actions = restored_policy(old, 1001, {1: 50}, listed((50, 7)))
    assert sends(actions) == [] and new.state.messages[1].next_attempt_at_us == next_attempt_at
    assert sends(new.handle(next_attempt_at + 1, [])) == [(1, 50)]

"""What the delivery policy of a new process takes over from that of the old one."""

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
        EndpointListForm.COMPLETE, tuple(EndpointEntry(e, d, READY) for e, d in endpoints)
    )


def submitted(number, dest=7, cls=0):
    return MessageSubmitted(number, cls, dest, 60_000_000)


def sends(actions):
    return [(a.message, a.endpoint) for a in actions if isinstance(a, SendAttempt)]


def restored_policy(old, now, endpoints, *events, call_slots=4):
    """A policy that continues from the state of the old one, under other endpoint numbers."""
    new = delivery_policy(call_slots)
    return new, new.handle(now, [*events, StateImported(capture(old.state), endpoints)])


def test_calls_in_flight_count_against_slots_attempts_and_duplicates():
    old = delivery_policy(call_slots=1)
    assert sends(old.handle(0, [listed((1, 7)), submitted(1), submitted(2)])) == [(1, 1)]
    new, actions = restored_policy(old, 1000, {1: 50}, listed((50, 7)), call_slots=1)
    assert (
        sends(actions) == [] and new.state.in_flight == 1
    )  # neither the first again nor the second: the only slot is in use
    actions = new.handle(2000, [AttemptEnded(1, 0, 50, AttemptResult.OK, 2000, True)])
    assert sends(actions) == [(2, 50)] and new.state.in_flight == 1
    old = delivery_policy(call_slots=1)
    old.handle(0, [listed((1, 7)), submitted(1, cls=1)])
    new, _ = restored_policy(old, 1000, {1: 50}, listed((50, 7)), call_slots=1)
    actions = new.handle(2000, [AttemptEnded(1, 0, 50, AttemptResult.CANCELLED, 0)])
    assert (
        sends(actions) == [] and new.state.in_flight == 0 and not new.state.messages
    )  # it may have been applied: no second attempt


def test_a_retry_after_is_passed_on_also_without_the_endpoint_that_sent_it():
    old = delivery_policy()
    old.handle(0, [listed((1, 7)), submitted(1)])
    old.handle(1000, [AttemptEnded(1, 0, 1, AttemptResult.REJECTED, 900, retry_after_us=2_000_000)])
    new, actions = restored_policy(old, 2000, {1: 50}, listed((60, 7)))
    assert sends(actions) == []
    assert sends(new.handle(10_000, [submitted(2)])) == []
    assert sends(new.handle(1_990_000, [])) == []
    assert sends(new.handle(2_010_000, [])) == [(2, 60)]


def test_rate_limits_windows_and_slow_start_are_passed_on():
    old = delivery_policy()
    old.handle(0, [listed((1, 7), (2, 8)), submitted(1), submitted(2, dest=8), EndpointCordoned(2)])
    old.handle(5000, [AttemptEnded(1, 0, 1, AttemptResult.OK, 4000, True), EndpointCordoned(2, False)])
    old.state.destinations[7].groups[0].rate_limit_per_s = 3.5
    new, _ = restored_policy(old, 6000, {1: 51, 2: 52}, listed((52, 8), (51, 7)))
    a, b = new.state.endpoints[51], new.state.endpoints[52]
    assert (a.group.rate_limit_per_s, a.group.concurrency_window, a.group.latency_mean_us) == (
        3.5,
        old.state.endpoints[1].group.concurrency_window,
        old.state.endpoints[1].group.latency_mean_us,
    )
    assert b.circuit.slow_start_since_us == 5000 and a.circuit.slow_start_since_us == -1


def test_the_outcome_of_a_call_to_an_endpoint_that_is_no_longer_listed_is_still_reported():
    old = delivery_policy()
    old.handle(0, [listed((1, 7)), submitted(1)])
    new, _ = restored_policy(old, 1000, {1: 50}, listed((60, 8)))
    assert new.state.in_flight == 1
    actions = new.handle(2000, [AttemptEnded(1, 0, 50, AttemptResult.REJECTED, 2000)])
    assert [a.message for a in actions if isinstance(a, RejectMessage)] == [1]
    assert new.state.in_flight == 0 and 50 not in new.state.endpoints


def test_the_backoff_before_the_next_attempt_is_passed_on():
    old = delivery_policy()
    old.handle(0, [listed((1, 7)), submitted(1)])
    old.handle(1000, [AttemptEnded(1, 0, 1, AttemptResult.ERROR, 900)])
    ready_at = old.state.messages[1].ready_at_us
    assert ready_at > 1000
    new, actions = restored_policy(old, 1001, {1: 50}, listed((50, 7)))
    assert sends(actions) == [] and new.state.messages[1].ready_at_us == ready_at
    assert sends(new.handle(ready_at + 1, [])) == [(1, 50)]

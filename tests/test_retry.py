"""Retries: which messages are attempted again, and when they get a final answer."""

from policy_driver import CLASSES, SECOND, PolicyDriver, actions_of, warm_up

from message_relay.model import (
    AttemptResult,
    EndpointEntry,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    FailMessage,
    MessageSubmitted,
    RejectMessage,
    SendAttempt,
)


def test_message_is_rejected_as_soon_as_its_key_window_closes():
    driver = PolicyDriver()
    driver.submit(message_class=1)
    driver.run_tick(
        EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(100, 1, EndpointState.DRAINING),))
    )
    driver.end_attempt(1, AttemptResult.RESET)
    assert actions_of(RejectMessage, driver.advance(4.5)) == []
    # Its key window is 5 s, its deadline 10 s.
    assert [action.message for action in actions_of(RejectMessage, driver.advance(0.5))] == [1]


def test_overload_rejects_the_message_with_the_retry_after_of_the_endpoint():
    driver = PolicyDriver()
    driver.submit(message_class=2)
    actions = driver.end_attempt(1, AttemptResult.REJECTED, retry_after_us=SECOND)
    assert actions_of(RejectMessage, actions) == [RejectMessage(1, SECOND)]


def test_failed_call_is_attempted_three_times_at_most():
    driver = PolicyDriver(endpoints=1)
    sends = actions_of(SendAttempt, driver.submit())
    for _ in range(2):
        actions = driver.end_attempt(1, AttemptResult.ERROR) + driver.advance(0.5)
        sends += actions_of(SendAttempt, actions)
        assert not actions_of(RejectMessage, actions)
    assert len(sends) == 3
    assert actions_of(RejectMessage, driver.end_attempt(1, AttemptResult.ERROR))


def test_non_idempotent_message_is_not_retried_once_possibly_applied():
    driver = PolicyDriver()
    driver.submit(message_class=2)
    actions = driver.end_attempt(1, AttemptResult.ERROR) + driver.advance(3)
    assert (
        actions_of(FailMessage, actions) == [FailMessage(1)]
        and not actions_of(SendAttempt, actions)
        and not actions_of(RejectMessage, actions)
    )


def test_non_idempotent_message_is_retried_after_a_failed_connection():
    driver = PolicyDriver()
    driver.submit(message_class=2)
    assert actions_of(SendAttempt, driver.end_attempt(1, AttemptResult.CONNECT_FAILED) + driver.advance(1))


def test_every_message_is_answered_before_its_deadline():
    driver = PolicyDriver(endpoints=0)
    driver.submit(message_class=2, lifetime_us=SECOND)
    actions = driver.advance(0.98, step_s=0.005)
    assert not actions_of(RejectMessage, actions)
    assert actions_of(RejectMessage, driver.advance(0.02, step_s=0.005)) == [RejectMessage(1, 0)]


def test_rejected_message_is_retried_where_clients_do_not_resubmit():
    driver = PolicyDriver(clients_mark_retries=True, classes=CLASSES)
    driver.policy.state.rejections_since_resubmission = 20
    driver.submit()
    actions = driver.end_attempt(1, AttemptResult.REJECTED, retry_after_us=SECOND)
    assert (
        not actions_of(RejectMessage, actions)
        and not actions_of(SendAttempt, actions + driver.advance(0.95))
        and actions_of(SendAttempt, driver.advance(4))
    )
    deadline_us = driver.now_us + 10 * SECOND
    driver.run_tick(MessageSubmitted(99, 0, 1, deadline_us, resubmitted=True))
    assert actions_of(RejectMessage, driver.end_attempt(1, AttemptResult.REJECTED))


def test_non_idempotent_message_is_deferred_while_calls_fail_ambiguously():
    driver = PolicyDriver(slow_start_us=10 * SECOND)
    warm_up(driver)
    driver.submit()
    driver.end_attempt(driver.last_message, AttemptResult.ERROR, after_us=50_000)
    if actions_of(SendAttempt, driver.advance(0.3)):
        driver.end_attempt(driver.last_message, AttemptResult.ERROR, after_us=500_000)
    driver.policy.state.messages.clear()
    driver.policy.state.destinations[1].queue.clear()
    early = actions_of(SendAttempt, driver.submit(message_class=2) + driver.advance(1))
    late = actions_of(SendAttempt, driver.advance(6))
    assert not [action for action in early if action.message == driver.last_message] and [
        action for action in late if action.message == driver.last_message
    ]

"""Retry-After, the rate limit and its token bucket, and limits from load reports."""

from policy_driver import SECOND, PolicyDriver, actions_of, submit_and_end, warm_up

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    DestinationType,
    EndpointEntry,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    LoadReportReceived,
    SendAttempt,
)


def test_retry_after_holds_for_every_message():
    driver = PolicyDriver()
    driver.submit()
    driver.end_attempt(1, AttemptResult.REJECTED, retry_after_us=SECOND)
    sent = actions_of(SendAttempt, driver.submit() + driver.advance(0.95))
    assert not sent
    assert actions_of(SendAttempt, driver.advance(0.2))


def test_longest_retry_after_of_a_batched_call_holds():
    driver = PolicyDriver(destination_types=(DestinationType("k", max_batch_size=3),))
    warm_up(driver)
    driver.run_tick(
        EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(100, 1, EndpointState.DRAINING),))
    )
    driver.submit()
    driver.submit()
    actions = driver.run_tick(
        EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(100, 1, EndpointState.READY),)),
        after_us=SECOND,
    )
    first, second = actions_of(SendAttempt, actions)
    driver.end_attempt(first.message, AttemptResult.REJECTED, retry_after_us=0, after_us=0)
    driver.end_attempt(second.message, AttemptResult.REJECTED, retry_after_us=2 * SECOND, after_us=0)
    assert not actions_of(SendAttempt, driver.submit() + driver.advance(1.95))
    assert actions_of(SendAttempt, driver.advance(0.2))


def test_rate_grows_slowly_near_the_last_rejected_rate():
    def rate_increase(with_rejection):
        driver = PolicyDriver(rate=4.0, instance_count=2)
        submit_and_end(driver, 3, AttemptResult.OK)
        if with_rejection:
            for action in actions_of(SendAttempt, driver.submit() + driver.advance(1)):
                driver.end_attempt(action.message, AttemptResult.REJECTED)
        group = driver.policy.state.endpoints[100].group
        group.last_rejected_rate_per_s = group.rate_limit_per_s = 2.0
        submit_and_end(driver, 3, AttemptResult.OK)
        return group.rate_limit_per_s - 2.0

    assert 0 < rate_increase(True) < 0.7 * rate_increase(False)


def test_token_bucket_is_smaller_where_rejected_calls_have_a_cost():
    def burst_size(cost):
        driver = PolicyDriver(rate=10.0, call_slots=40, rejected_call_cost=cost)
        driver.policy.state.endpoints[100].group.concurrency_window = 20.0
        driver.advance(2)
        return sum(len(actions_of(SendAttempt, driver.submit())) for _ in range(12))

    assert 1 < burst_size(0.1) < burst_size(0.0) < 12


def test_calls_for_ended_messages_do_not_consume_the_rate_limit():
    driver = PolicyDriver()
    driver.submit()
    driver.end_attempt(1, AttemptResult.OK)
    driver.submit()
    # From here on the rate limit is one call in two seconds.
    driver.end_attempt(2, AttemptResult.REJECTED, retry_after_us=SECOND)
    driver.advance(4)
    for number in range(3, 7):
        assert [action.message for action in actions_of(SendAttempt, driver.submit())] == [number]
        driver.run_tick(
            AttemptEnded(number, 0, 100, AttemptResult.NOT_ATTEMPTED, 1000, message_ended=True),
            after_us=SECOND // 100,
        )


def sends_in_a_second(driver, limit):
    """Report the limit, submit twelve messages, and return the number of calls sent within a second."""
    actions, sent = driver.run_tick(LoadReportReceived(100, (0.5, limit)), after_us=SECOND), 0
    for _ in range(12):
        actions += driver.submit()
    for _ in range(40):
        sends = actions_of(SendAttempt, actions)
        sent += len(sends)
        actions = driver.run_tick(
            *(AttemptEnded(action.message, 0, 100, AttemptResult.OK, 20_000, True) for action in sends),
            after_us=SECOND // 40,
        )
    return sent


def test_rate_follows_the_limit_in_load_reports():
    driver = PolicyDriver(instance_count=2, load_report_fields=("x0", "x1"))
    assert sends_in_a_second(driver, 100.0) == 12
    sent_at_low_limit = sends_in_a_second(driver, 4.0)
    assert sent_at_low_limit < 9  # this instance's share is 2 a second, doubled by earlier successes
    assert sends_in_a_second(driver, 100.0) == 12 + 12 - sent_at_low_limit  # a raised limit applies at once

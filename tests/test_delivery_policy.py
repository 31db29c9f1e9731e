"""Delivery policy: dispatch of single messages and batches, the concurrency window and the call slots."""

import pytest
from policy_driver import SECOND, PolicyDriver, actions_of, warm_up

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    DestinationType,
    EndpointEntry,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    SendAttempt,
)


def test_first_message_is_sent_at_once():
    assert [action.endpoint for action in actions_of(SendAttempt, PolicyDriver().submit())] == [100]


def test_concurrency_window_starts_at_one_and_grows_with_success():
    driver = PolicyDriver()
    assert len(actions_of(SendAttempt, driver.submit())) == 1
    assert not actions_of(SendAttempt, driver.submit()) and not actions_of(SendAttempt, driver.submit())
    assert len(actions_of(SendAttempt, driver.end_attempt(1, AttemptResult.OK))) == 2


def test_draining_endpoint_gets_no_calls():
    driver = PolicyDriver(endpoints=2)
    driver.run_tick(
        EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(100, 1, EndpointState.DRAINING),))
    )
    assert [action.endpoint for action in actions_of(SendAttempt, driver.submit())] == [101]


def test_lost_calls_among_answered_ones_do_not_open_the_circuit():
    driver = PolicyDriver()
    warm_up(driver)
    for _ in range(5):
        driver.submit()
        lost = driver.last_message
        driver.submit()
        driver.end_attempt(driver.last_message, AttemptResult.OK)
        driver.end_attempt(lost, AttemptResult.TIMEOUT)
    driver.advance(1)
    (endpoint,) = driver.policy.state.endpoints.values()
    assert not endpoint.circuit.open and endpoint.circuit.slow_start_since_us < 0


def test_scarce_slots_go_first_to_the_group_that_occupies_them_for_less_time():
    driver = PolicyDriver(call_slots=2)
    driver.run_tick(
        EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(200, 2, EndpointState.READY),))
    )
    warm_up(driver)
    for _ in range(6):  # calls to destination 2 take ten times as long
        driver.submit(destination=2, after_us=300_000)
        driver.end_attempt(
            driver.last_message, AttemptResult.OK, latency_us=1_000_000, after_us=1_000_000, endpoint=200
        )
    driver.submit()
    in_flight_message = driver.last_message
    driver.submit(destination=2)
    queued_message = driver.last_message
    for destination in (2, 1, 2, 1):
        driver.submit(destination=destination)
    driver.advance(0.9, step_s=0.3)
    actions = driver.end_attempt(in_flight_message, AttemptResult.OK, after_us=0)
    assert queued_message and [action.endpoint for action in actions_of(SendAttempt, actions)] == [100]


@pytest.mark.parametrize(
    "result", [AttemptResult.NOT_ATTEMPTED, AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED]
)
def test_inconclusive_attempt_does_not_record_the_outcome_of_its_batched_call(result):
    driver = PolicyDriver(destination_types=(DestinationType("k", max_batch_size=2),))
    driver.submit()
    for message_class in (0, 0):
        driver.submit(message_class)
    sends = actions_of(SendAttempt, driver.end_attempt(1, AttemptResult.OK))
    assert [action.message for action in sends] == [2, 3]  # one call: the window allows two
    driver.run_tick(AttemptEnded(2, 0, 100, result, 100_000, message_ended=True), after_us=100_000)
    driver.end_attempt(3, AttemptResult.OK, after_us=0)
    # The window allows three calls after the success.
    assert sum(len(actions_of(SendAttempt, driver.submit())) for _ in range(4)) >= 3


def test_lost_batch_counts_as_a_failure():
    driver = PolicyDriver(destination_types=(DestinationType("k", max_batch_size=2),))
    driver.submit()
    for _ in range(2):
        driver.submit()
    driver.end_attempt(1, AttemptResult.OK)
    driver.end_attempt(2, AttemptResult.TIMEOUT, after_us=2 * SECOND)
    driver.end_attempt(3, AttemptResult.TIMEOUT, after_us=0)
    assert driver.policy.state.endpoints[100].failure_rate > 0

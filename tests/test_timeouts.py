"""Time-outs of attempts, by latency, lost calls, idempotency and free slots."""

from policy_driver import CLASSES, SECOND, PolicyDriver, actions_of, warm_up

from message_relay.model import (
    AttemptResult,
    EndpointEntry,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    SendAttempt,
)
from message_relay.policy.timeouts import response_timeout_us


def test_non_idempotent_call_to_a_hung_endpoint_times_out_before_the_deadline():
    driver = PolicyDriver()
    warm_up(driver)
    (send,) = actions_of(SendAttempt, driver.submit(message_class=2))
    assert send.timeout_us < CLASSES[2].deadline_us / 2


def test_timeouts_are_shorter_where_many_calls_are_lost():
    driver = PolicyDriver(call_slots=40)
    warm_up(driver, 40)
    initial_lost_call_rate = driver.policy.state.statistics.lost_call_rate
    for _ in range(10):
        sends = actions_of(SendAttempt, driver.submit(after_us=300_000) + driver.submit())
        for action in sends[1:]:
            driver.end_attempt(action.message, AttemptResult.OK)
        driver.end_attempt(sends[0].message, AttemptResult.TIMEOUT)
    group = driver.policy.state.endpoints[100].group
    group.latency_mean_us, group.latency_deviation_us = 100_000.0, 75_000.0
    timeout_with_losses_us = response_timeout_us(driver.policy.state, group)
    assert driver.policy.state.statistics.lost_call_rate > 10 * initial_lost_call_rate
    driver.policy.state.statistics.lost_call_rate = initial_lost_call_rate
    assert timeout_with_losses_us < 0.7 * response_timeout_us(driver.policy.state, group)


def test_non_idempotent_call_may_take_its_latency_objective_unless_slots_are_short():
    driver = PolicyDriver(endpoints=1, call_slots=4)
    driver.run_tick(
        EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(200, 2, EndpointState.READY),))
    )
    for _ in range(8):  # both endpoints respond within 100 ms
        for destination, endpoint in ((1, 100), (2, 200)):
            driver.submit(message_class=2, destination=destination)
            driver.end_attempt(driver.last_message, AttemptResult.OK, endpoint=endpoint)
    timeouts_us = [
        action.timeout_us
        for destination in (1, 1, 1, 2)
        for action in actions_of(SendAttempt, driver.submit(message_class=2, destination=destination))
    ]
    assert len(timeouts_us) == 4 and timeouts_us[:3] == [SECOND] * 3 and timeouts_us[3] < SECOND // 2

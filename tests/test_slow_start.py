"""Slow start after an outage: its rate, its end, and how the endpoints of a group share it."""

import pytest
from policy_driver import SECOND, PolicyDriver, actions_of, large_fleet, mid_size_fleet, submit_and_end

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    LoadReportReceived,
    SendAttempt,
)


@pytest.mark.parametrize(
    "failure",
    [AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.REJECTED],
)
def test_recovery_starts_slowly_and_reaches_the_full_rate(failure):
    driver = PolicyDriver(rate=8.0, slow_start_share=0.1, slow_start_us=10 * SECOND, overload_factor=2.5)
    submit_and_end(driver, 5, AttemptResult.OK)
    sent_in_outage = submit_and_end(driver, 6, failure)
    assert driver.policy.state.endpoints[100].circuit.open and sent_in_outage < 20
    first, _, last = (
        submit_and_end(driver, 4, AttemptResult.OK),
        submit_and_end(driver, 8, AttemptResult.OK),
        submit_and_end(driver, 4, AttemptResult.OK),
    )
    # The budget is the overload factor times the capacity, which grows from 0.1 to 0.46 in these 4 s.
    assert 0 < first <= 2.5 * (0.1 + 0.46) / 2 * 8 * 4 + 1
    assert last > 1.3 * first


def test_failing_destination_still_gets_the_slow_start_rate():
    driver = PolicyDriver(rate=8.0, slow_start_share=0.2, overload_factor=2.5)
    submit_and_end(driver, 5, AttemptResult.OK)
    sent = submit_and_end(driver, 10, AttemptResult.ERROR)
    # More than half-open attempts alone, and within the budget of a slow start.
    assert 2 * 10 < sent <= 2.5 * 0.2 * 8 * 10 + 6
    assert not driver.policy.state.endpoints[100].circuit.open


def sends_ended_with(driver, result, ticks):
    """Submit a message in each tick of 25 ms, end all calls with the result, and return their number."""
    actions, sent, message_ended = [], 0, result is AttemptResult.OK
    while ticks > 0 or actions_of(SendAttempt, actions):  # includes the outcomes of the last tick's calls
        sends = actions_of(SendAttempt, actions)
        sent += len(sends)
        ended = [
            AttemptEnded(
                action.message, driver.latest_attempts[action.message], 100, result, 1000, message_ended
            )
            for action in sends
        ]
        actions = driver.run_tick(*ended) + (driver.submit(after_us=SECOND // 40) if ticks > 0 else [])
        ticks -= 1
    return sent


def test_slow_start_uses_the_reported_limit_where_no_rate_was_measured():
    driver = PolicyDriver(instance_count=2, load_report_fields=("x0", "x1"), slow_start_share=0.3)
    # The instance starts during an outage: half-open attempts only.
    assert 3 < sends_ended_with(driver, AttemptResult.CONNECT_FAILED, 120) < 40
    sends_ended_with(driver, AttemptResult.OK, 120)
    driver.run_tick(LoadReportReceived(100, (1.0, 40.0)))
    assert driver.policy.state.endpoints[100].circuit.slow_start_since_us >= 0
    # In 2 s, the slow-start share of 20 calls a second.
    assert 10 < sends_ended_with(driver, AttemptResult.OK, 80) < 40


def test_outage_ends_in_a_slow_start_for_all_endpoints_of_the_group():
    driver = large_fleet(endpoints=2)
    driver.submit()
    for _ in range(3):
        driver.end_attempt(1, AttemptResult.CONNECT_FAILED, latency_us=20_000, endpoint=100)
        driver.advance(1)
    first_endpoint, second_endpoint = (driver.policy.state.endpoints[endpoint] for endpoint in (100, 101))
    assert first_endpoint.circuit is second_endpoint.circuit and first_endpoint.circuit.open
    for _ in range(20):
        sends = actions_of(SendAttempt, driver.submit(after_us=100_000))
        if sends:
            driver.end_attempt(sends[0].message, AttemptResult.OK)
            break
    assert not first_endpoint.circuit.open and first_endpoint.circuit.slow_start_since_us >= 0


def test_slow_start_is_shared_by_ready_endpoints_with_a_closed_circuit():
    sent = []
    for one_circuit_open in (False, True):
        driver = mid_size_fleet(endpoints=2, call_slots=8)
        # The instance's share of the limit is 4 a second, and no lower limit applies.
        driver.run_tick(LoadReportReceived(100, (0.9, 40.0 * 4)))
        for endpoint in (100, 101):
            circuit = driver.policy.state.endpoints[endpoint].circuit
            (
                circuit.target_rate_per_s,
                circuit.slow_start_since_us,
                circuit.bucket.updated_at_us,
                circuit.bucket.tokens,
            ) = (
                4.0,
                driver.now_us,
                driver.now_us,
                0.0,
            )
        if one_circuit_open:  # it gets no calls and cannot use its share of the slow start
            circuit.open, circuit.slow_start_since_us, circuit.half_open_at_us = (
                True,
                -1,
                driver.now_us + 60 * SECOND,
            )
        count, sends = 0, []
        for _ in range(160):
            sends += actions_of(SendAttempt, driver.submit(after_us=50_000))
            while sends:
                action, count = sends.pop(), count + 1
                sends += actions_of(
                    SendAttempt,
                    driver.end_attempt(
                        action.message, AttemptResult.OK, endpoint=action.endpoint, after_us=0
                    ),
                )
        sent.append(count)
    assert sent[0] > 15 and sent[1] > 0.8 * sent[0]


def test_slow_start_ends_at_the_full_rate():
    driver = mid_size_fleet()
    circuit = driver.policy.state.endpoints[100].circuit
    circuit.slow_start_since_us, circuit.target_rate_per_s = driver.now_us, 10.0
    # Time in seconds until a slow start of 10 s reaches the full rate.
    full_rate_after_s = (1 / (0.8 * driver.policy.state.settings.overload_factor) - 0.1) / 0.9 * 10
    driver.submit(after_us=int((full_rate_after_s - 0.5) * SECOND))
    driver.end_attempt(driver.last_message, AttemptResult.OK, after_us=1)
    assert circuit.slow_start_since_us >= 0
    driver.submit(after_us=SECOND)
    driver.end_attempt(driver.last_message, AttemptResult.OK, after_us=1)
    assert circuit.slow_start_since_us < 0

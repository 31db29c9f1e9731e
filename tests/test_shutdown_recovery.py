"""A destination that shuts down may finish the calls that it has accepted.

Guards against taking their outcomes for its recovery. The circuits then closed and the slow start ran during
the shutdown: at its end all instances sent at their full rate, and pushed the destination over.
"""

import asyncio

import pytest
from loopback import WAIT_TIMEOUT_S, GatedEndpoint, answer, until, with_fleet
from policy_driver import SECOND, PolicyDriver, actions_of, warm_up

from message_relay.model import AttemptEnded, AttemptResult, SendAttempt, StateImported
from message_relay.policy_snapshot import capture

SHUT_DOWN = answer(429, Retry_After="10.0")


async def metric_is(fleet, name, value):
    """Wait until the metric has the value."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while (await fleet.metrics())[name] != value:
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("late_response", [answer(200), answer(500), b"garbage\r\n\r\n"])
@pytest.mark.parametrize("instance_count", [2, 30, 400])
def test_a_call_accepted_before_a_shutdown_does_not_close_the_circuit(
    tmp_path, instance_count, late_response
):
    @with_fleet
    async def run(fleet):
        fleet.raw_settings["groupSize"] = instance_count
        endpoint = fleet.endpoints["a"] = await GatedEndpoint().start()
        fleet.discovery.add_target("a", endpoint.port, 7)
        client = await fleet.start_relay()
        for message_id in ("first", "accepted", "refused"):  # the first success allows two calls at once
            assert await client.put(message_id, message_class="unsafe") == "+OK"
            await endpoint.call()
            if message_id == "first":
                endpoint.release(message_id, answer(200))
                await metric_is(fleet, 'app_success_total{tier="unsafe"}', 1)
        endpoint.release("refused", SHUT_DOWN)
        await metric_is(fleet, "app_hosts_down", 1)
        endpoint.release("accepted", late_response)
        await until(lambda: not fleet.relay.policy.state.in_flight)  # its outcome has been processed
        assert (await fleet.metrics())["app_hosts_down"] == 1

    run(tmp_path)


def driver_with_two_calls(**changes):
    """Return the driver of an instance with two calls in flight, and the two attempts."""
    driver = PolicyDriver(endpoints=3, slow_start_share=0.3, slow_start_us=12 * SECOND, **changes)
    warm_up(driver)
    attempts = actions_of(SendAttempt, driver.submit() + driver.submit())
    assert len(attempts) == 2
    return driver, *attempts


def refuse(driver, attempt, retry_after_s=10):
    driver.end_attempt(
        attempt.message,
        AttemptResult.REJECTED,
        endpoint=attempt.endpoint,
        retry_after_us=retry_after_s * SECOND,
    )


@pytest.mark.parametrize("instance_count", [2, 30, 400])
def test_the_slow_start_begins_after_the_shutdown(instance_count):
    driver, accepted, refused = driver_with_two_calls(instance_count=instance_count)
    refuse(driver, refused)
    driver.end_attempt(accepted.message, AttemptResult.OK, endpoint=accepted.endpoint)
    driver.advance(10)
    ended_at_us = driver.now_us
    attempts = []
    while not attempts:
        attempts = actions_of(SendAttempt, driver.submit(after_us=200_000))
    driver.end_attempt(attempts[0].message, AttemptResult.OK, endpoint=attempts[0].endpoint)
    circuit = driver.policy.state.endpoints[attempts[0].endpoint].circuit
    assert not circuit.open and circuit.slow_start_since_us > ended_at_us


def test_a_success_just_before_the_end_of_a_shutdown_does_not_make_it_a_transient_fault():
    driver, accepted, refused = driver_with_two_calls()
    refuse(driver, refused, retry_after_s=3)
    driver.advance(2.9)
    driver.end_attempt(accepted.message, AttemptResult.OK, latency_us=3 * SECOND, endpoint=accepted.endpoint)
    attempts = []
    while not any(attempt.endpoint == accepted.endpoint for attempt in attempts):
        attempts = actions_of(SendAttempt, driver.submit(after_us=50_000))
    driver.end_attempt(attempts[0].message, AttemptResult.OK, endpoint=accepted.endpoint, after_us=10_000)
    assert driver.policy.state.endpoints[accepted.endpoint].circuit.slow_start_since_us == driver.now_us


@pytest.mark.parametrize("instance_count", [2, 30, 400])
def test_a_restored_call_does_not_close_the_circuit_either(instance_count):
    old, accepted, refused = driver_with_two_calls(instance_count=instance_count)
    refuse(old, refused)
    new = PolicyDriver(
        endpoints=3, slow_start_share=0.3, slow_start_us=12 * SECOND, instance_count=instance_count
    )
    new.now_us = old.now_us
    new.run_tick(StateImported(capture(old.policy.state), {number: number for number in (100, 101, 102)}))
    attempt = old.latest_attempts[accepted.message]
    new.run_tick(
        AttemptEnded(accepted.message, attempt, accepted.endpoint, AttemptResult.OK, SECOND, True),
        after_us=SECOND,
    )
    assert new.policy.state.in_flight == 0
    assert all(endpoint.circuit.open for endpoint in new.policy.state.endpoints.values())

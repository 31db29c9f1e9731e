"""Scarce call slots: which messages get them, and lost calls, which occupy them until they time out."""

from policy_driver import CLASSES, SECOND, PolicyDriver, actions_of

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    DestinationType,
    EndpointEntry,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    MessageClass,
    MessageSubmitted,
    SendAttempt,
)


def send_calls_with_resets(driver, reused, calls_per_reset):
    """Send calls one after the other, of which one in ``calls_per_reset`` is reset and the others succeed."""
    endpoint = driver.policy.state.endpoints[100]
    for call_number in range(2 * calls_per_reset):
        endpoint.idle_connections_since_us = [driver.now_us - SECOND // 10] if reused else []
        (
            endpoint.circuit.open,
            endpoint.circuit.slow_start_since_us,
            endpoint.circuit.half_open_call,
            endpoint.circuit.failure_rate,
            endpoint.ambiguous_failure_rate,
        ) = False, -1, None, 0.0, 0.0
        driver.submit(message_class=2)
        succeeded = call_number % calls_per_reset > 0
        driver.run_tick(
            AttemptEnded(
                driver.last_message,
                0,
                100,
                AttemptResult.OK if succeeded else AttemptResult.RESET,
                100_000,
                succeeded,
                new_connection=not reused,
            ),
            after_us=100_000,
        )
        driver.advance(1)


def requires_new_connection(driver):
    """Return whether a non-idempotent message is sent on a new connection although an idle one exists."""
    driver.policy.state.endpoints[100].idle_connections_since_us = [driver.now_us - SECOND // 10]
    return actions_of(SendAttempt, driver.submit(message_class=2))[0].require_new_connection


def test_new_connections_are_required_only_where_they_are_reset_less_often():
    driver = PolicyDriver()
    for _ in range(4):
        send_calls_with_resets(driver, True, 6)
    assert (
        requires_new_connection(driver) and driver.policy.state.statistics.idle_reuse_limit_us < 10 * SECOND
    )
    driver = PolicyDriver()
    for _ in range(4):
        send_calls_with_resets(driver, False, 6)
        send_calls_with_resets(driver, True, 6)
    assert (
        not requires_new_connection(driver)
        and driver.policy.state.statistics.idle_reuse_limit_us == 10 * SECOND
    )


def send_call(driver, reused, result=AttemptResult.TIMEOUT):
    """Send one call, on an idle connection or on a new one, and return its SendAttempt actions."""
    endpoint = driver.policy.state.endpoints[100]
    endpoint.idle_connections_since_us = (
        [driver.now_us - (4 * SECOND if result is AttemptResult.TIMEOUT else SECOND // 10)] if reused else []
    )
    (
        endpoint.circuit.open,
        endpoint.circuit.slow_start_since_us,
        endpoint.circuit.half_open_call,
        endpoint.circuit.failure_rate,
        endpoint.ambiguous_failure_rate,
    ) = False, -1, None, 0.0, 0.0
    sent = actions_of(SendAttempt, driver.submit(message_class=2))
    driver.run_tick(
        AttemptEnded(
            driver.last_message,
            0,
            100,
            result,
            100_000,
            result is AttemptResult.OK,
            new_connection=not reused,
        ),
        after_us=100_000,
    )
    driver.advance(1)
    return sent


def test_timeouts_on_reused_and_new_connections_do_not_shorten_idle_reuse():
    driver = PolicyDriver()
    for _ in range(40):
        for reused in (True, False):
            assert send_call(driver, reused)
            for _ in range(4):
                send_call(driver, reused, AttemptResult.OK)
    assert driver.policy.state.statistics.idle_reuse_limit_us == 10 * SECOND


def test_timeouts_on_reused_connections_only_shorten_idle_reuse():
    driver = PolicyDriver()
    for _ in range(6):
        send_call(driver, True)
        send_call(driver, False, AttemptResult.OK)
    assert driver.policy.state.statistics.idle_reuse_limit_us < 4 * SECOND


def first_sent(batch_size, message_count):
    """Return the messages that get the only slot.

    An urgent message for destination 2 competes with ``message_count`` messages for destination 1, which are
    sent in batches of up to ``batch_size``.
    """
    classes = (
        *CLASSES,
        MessageClass("urgent", latency_objective_us=SECOND, deadline_us=10 * SECOND, priority_weight=20.0),
    )
    driver = PolicyDriver(
        call_slots=1,
        classes=classes,
        destination_types=(DestinationType("batches", max_batch_size=batch_size), DestinationType("single")),
    )
    driver.run_tick(
        EndpointListReceived(
            EndpointListForm.COMPLETE,
            tuple(EndpointEntry(100 * n, n, EndpointState.READY, type_index=int(n > 1)) for n in (1, 2, 3)),
        )
    )
    driver.submit(destination=3)
    driver.run_tick(
        MessageSubmitted(50, 3, 2, driver.now_us + 10 * SECOND),
        *(MessageSubmitted(60 + n, 0, 1, driver.now_us + 10 * SECOND) for n in range(message_count)),
    )
    actions = driver.run_tick(AttemptEnded(1, 0, 300, AttemptResult.OK, 100_000, True), after_us=100_000)
    return [action.message for action in actions_of(SendAttempt, actions)]


def test_full_batch_is_ranked_by_all_its_messages():
    assert first_sent(10, 10) == list(range(60, 70))


def test_high_priority_message_goes_before_single_messages_and_partial_batches():
    assert first_sent(1, 10) == first_sent(10, 9) == [50]


def test_group_with_a_lost_call_gets_the_slot_first_again_after_a_pause():
    def first_endpoint_served(pause_s):
        driver = PolicyDriver(call_slots=1, destination_types=(DestinationType("k"),))
        driver.run_tick(
            EndpointListReceived(
                EndpointListForm.COMPLETE,
                tuple(EndpointEntry(100 * n, n, EndpointState.READY) for n in (1, 2, 3)),
            )
        )
        for destination in (1, 2):
            driver.submit(destination=destination)
            driver.end_attempt(driver.last_message, AttemptResult.OK, endpoint=100 * destination)
        driver.submit(message_class=2, destination=2)
        # One lost call among successful ones.
        driver.end_attempt(driver.last_message, AttemptResult.TIMEOUT, latency_us=4 * SECOND, endpoint=200)
        occupying_message = driver.last_message + 1
        driver.submit(destination=3, after_us=int(pause_s * SECOND))
        for destination in (2, 1):
            driver.submit(destination=destination)
        return actions_of(SendAttempt, driver.end_attempt(occupying_message, AttemptResult.OK, endpoint=300))[
            0
        ].endpoint

    assert first_endpoint_served(0.1) == 100
    assert first_endpoint_served(3) == 200

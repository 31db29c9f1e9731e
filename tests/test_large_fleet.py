"""Large fleets: the calls of hundreds of small instances must not add up to an overload of a destination."""

import pytest
from policy_driver import CLASSES, SECOND, PolicyDriver, actions_of, endpoint_entry, large_fleet

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    CloseIdleConnections,
    DestinationType,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    FailMessage,
    MessageSubmitted,
    RejectMessage,
    SendAttempt,
    Settings,
)
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy_state import ConnectionRates


def test_next_call_of_a_large_fleet_reuses_the_last_connection():
    driver = large_fleet()
    driver.submit()
    assert not actions_of(CloseIdleConnections, driver.end_attempt(1, AttemptResult.OK))
    assert not actions_of(CloseIdleConnections, driver.submit(after_us=4 * SECOND))
    ((call, _),) = driver.policy.state.calls.values()
    # A new connection would cost another handshake, and occupy one of few slots during it.
    assert call.connection_idle_us == 4 * SECOND


def test_settings_may_forbid_idle_connections():
    driver = large_fleet(connection_idle_timeout_us=0)
    driver.submit()
    assert len(actions_of(CloseIdleConnections, driver.end_attempt(1, AttemptResult.OK))) == 1


def test_stale_idle_connections_are_closed_before_use_after_two_lost_calls():
    driver = PolicyDriver()

    def send_call(idle_us, result):
        driver.policy.state.endpoints[100].idle_connections_since_us = [driver.now_us - idle_us]
        circuit = driver.policy.state.endpoints[100].circuit
        (
            circuit.open,
            circuit.slow_start_since_us,
            circuit.half_open_call,
            circuit.failure_rate,
            driver.policy.state.endpoints[100].ambiguous_failure_rate,
        ) = False, -1, None, 0.0, 0.0
        # With a high reset rate, a non-idempotent message would require a new connection.
        driver.policy.state.statistics.reset_rates = ConnectionRates()
        actions = driver.submit(message_class=2)  # non-idempotent: one attempt
        driver.end_attempt(driver.last_message, result)
        driver.advance(1)
        return len(actions_of(CloseIdleConnections, actions))

    assert not send_call(6 * SECOND, AttemptResult.OK)
    assert (
        not send_call(4 * SECOND, AttemptResult.RESET)
        and driver.policy.state.statistics.idle_reuse_limit_us == 10 * SECOND
    )  # a single lost call may be random
    assert (
        not send_call(4 * SECOND, AttemptResult.RESET)
        and driver.policy.state.statistics.idle_reuse_limit_us < 4 * SECOND
    )
    reuse_limit_us = driver.policy.state.statistics.idle_reuse_limit_us
    assert send_call(4 * SECOND, AttemptResult.OK) == 1
    assert (
        not send_call(reuse_limit_us // 2, AttemptResult.OK)
        and driver.policy.state.statistics.idle_reuse_limit_us > reuse_limit_us
    )


def test_advertised_rate_applies_in_a_large_fleet_only_after_a_rejection():
    driver = large_fleet(rate=10.0)  # the share of this instance is 0.1 calls a second
    for _ in range(5):
        assert actions_of(SendAttempt, driver.submit(after_us=100_000))
        driver.end_attempt(driver.last_message, AttemptResult.OK)
    driver.submit()
    driver.end_attempt(driver.last_message, AttemptResult.REJECTED)
    assert driver.policy.state.endpoints[100].group.rate_limit_per_s > 0
    sends = 0
    for _ in range(40):
        sends += len(actions_of(SendAttempt, driver.submit(lifetime_us=30 * SECOND, after_us=250_000)))
        for key in list(driver.policy.state.calls):
            driver.end_attempt(key[0], AttemptResult.OK, after_us=0)
    assert sends <= 0.1 * 10 * 2 + 1


@pytest.mark.parametrize(
    "result", [AttemptResult.CONNECT_FAILED, AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT]
)
def test_calls_of_a_hundred_instances_into_an_outage_stay_within_the_overload_budget(result):
    rate, slow_start_share, overload_factor, instance_count = 40.0, 0.15, 2.5, 100
    settings = dict(
        classes=CLASSES,
        call_slots=4,
        max_open_messages=100,
        max_attempts=12,
        rate_limits_advertised=True,
        instance_count=instance_count,
        slow_start_share=slow_start_share,
        slow_start_us=12 * SECOND,
        overload_factor=overload_factor,
        tick_interval_us=5000,
    )
    policies = [
        DeliveryPolicy(Settings(instance_index=instance, **settings), instance)
        for instance in range(instance_count)
    ]
    endpoint_list = EndpointListReceived(EndpointListForm.CACHED, (endpoint_entry(100, rate=rate),))
    calls, sent, now_us, message = [], [], 1000 * SECOND, 0
    for policy in policies:
        policy.handle(now_us, [endpoint_list])
    for tick in range(4000):  # 40 s, 40 messages a second, spread over the instances in a fixed order
        now_us += 10_000
        events_by_instance = {}
        if tick % 2 == 0 and tick % 5:
            message += 1
            events_by_instance[message * 37 % instance_count] = [
                MessageSubmitted(message, 0, 1, now_us + 10 * SECOND)
            ]
        for (_, instance), event in [x for x in calls if x[0][0] <= now_us]:
            events_by_instance.setdefault(instance, []).append(event)
        calls = [x for x in calls if x[0][0] > now_us]
        for instance in range(instance_count) if tick % 20 == 0 else sorted(events_by_instance):
            for action in policies[instance].handle(now_us, events_by_instance.get(instance, [])):
                if isinstance(action, SendAttempt):
                    sent.append((now_us, policies[instance].state.endpoints[100].circuit.failure_rate > 0))
                    attempt = policies[instance].state.messages[action.message].attempts - 1
                    calls.append(
                        ((now_us + 50_000, instance), attempt_ended(action.message, attempt, result))
                    )
    calls_per_s_after_failure = (
        sum(1 for at, after_failure in sent if after_failure and at > 1000 * SECOND + 20 * SECOND) / 20
    )
    assert 0 < calls_per_s_after_failure <= overload_factor * slow_start_share * rate


def attempt_ended(message, attempt, result):
    return AttemptEnded(message, attempt, 100, result, 50_000, False, 0)


def test_single_fast_failure_is_retried_and_causes_no_slow_start():
    driver = large_fleet(rate=10.0)
    driver.submit()
    actions = driver.end_attempt(1, AttemptResult.CONNECT_FAILED, latency_us=20_000)
    assert driver.policy.state.endpoints[100].circuit.open  # other messages wait for the slow start
    assert not [
        action
        for action in actions_of(SendAttempt, actions + driver.submit() + driver.submit())
        if action.message > 1
    ]
    assert actions_of(SendAttempt, actions + driver.advance(0.5))
    driver.end_attempt(1, AttemptResult.OK)
    circuit = driver.policy.state.endpoints[100].circuit
    assert not circuit.open and circuit.slow_start_since_us < 0


def test_tokens_do_not_accrue_during_retry_after():
    sent_after_wait = 0
    for seed in range(40):
        driver = large_fleet(rate=10.0)
        driver.policy.state.random.seed(seed)
        driver.submit()
        # A Retry-After of this length means that the destination was shut down.
        driver.end_attempt(1, AttemptResult.REJECTED, retry_after_us=8 * SECOND)
        actions = []
        for _ in range(8):
            actions += driver.submit(after_us=SECOND * 95 // 100)
        assert not actions_of(SendAttempt, actions)
        sent_after_wait += len(
            actions_of(SendAttempt, driver.advance(2))
        )  # the Retry-After ends for all instances at once
    assert not sent_after_wait


def test_instances_spread_over_endpoints_in_proportion_to_their_rates():
    calls_by_endpoint = {}
    for seed in range(200):
        policy = DeliveryPolicy(
            Settings(
                classes=CLASSES,
                call_slots=4,
                max_open_messages=50,
                instance_count=100,
                rate_limits_advertised=True,
                destination_types=(DestinationType("k", independent_endpoints=True),),
                zone_costs=(0.1,),
            ),
            seed,
        )
        actions = policy.handle(
            SECOND,
            [
                EndpointListReceived(
                    EndpointListForm.CACHED, (endpoint_entry(100, rate=9.0), endpoint_entry(101, rate=3.0))
                ),
                MessageSubmitted(1, 0, 1, 9 * SECOND),
            ],
        )
        endpoint = actions_of(SendAttempt, actions)[0].endpoint
        calls_by_endpoint[endpoint] = calls_by_endpoint.get(endpoint, 0) + 1
    assert 130 < calls_by_endpoint[100] < 170


def test_where_calls_are_rejected_a_share_of_new_messages_is_rejected_unsent():
    driver = large_fleet()  # no rate is advertised
    for _ in range(6):
        for action in actions_of(SendAttempt, driver.submit(after_us=3 * SECOND)):
            driver.end_attempt(action.message, AttemptResult.REJECTED)
    rejected_unsent = 0
    for _ in range(30):
        actions = driver.submit(after_us=SECOND)
        rejected_unsent += len(actions_of(RejectMessage, actions))
        for action in actions_of(SendAttempt, actions):
            driver.end_attempt(action.message, AttemptResult.REJECTED)
    assert 15 < rejected_unsent < 30
    for _ in range(60):
        for action in actions_of(SendAttempt, driver.submit(after_us=SECOND) + driver.advance(0.2)):
            driver.end_attempt(action.message, AttemptResult.OK)
    assert not sum(len(actions_of(RejectMessage, driver.submit(after_us=SECOND))) for _ in range(10))


def test_message_that_cannot_be_sent_in_time_is_rejected_at_once():
    driver = large_fleet(rate=5.0)  # the share of this instance is one call in 20 s
    driver.submit()
    driver.end_attempt(driver.last_message, AttemptResult.REJECTED)
    rejected = sum(
        len(actions_of(RejectMessage, driver.submit(lifetime_us=4 * SECOND, after_us=50_000)))
        for _ in range(5)
    )
    assert rejected >= 4


def test_longest_queue_is_shed_near_the_capacity():
    driver = PolicyDriver(max_open_messages=10)
    driver.run_tick(
        EndpointListReceived(
            EndpointListForm.DELTA,
            (endpoint_entry(100, state=EndpointState.DRAINING), endpoint_entry(200, destination=2)),
        )
    )
    actions = []
    for _ in range(12):
        actions += driver.submit()
    assert len(driver.policy.state.messages) <= 8 and actions_of(RejectMessage, actions)
    assert actions_of(SendAttempt, driver.submit(destination=2))


@pytest.mark.parametrize("independent", [False, True])
def test_state_of_replaced_endpoints_is_removed(independent):
    driver = large_fleet(destination_types=(DestinationType("k", independent_endpoints=independent),))
    for number in range(3000):
        driver.run_tick(
            EndpointListReceived(
                EndpointListForm.DELTA,
                (endpoint_entry(101 + number), endpoint_entry(100 + number, state=EndpointState.REMOVED)),
            )
        )
    state = driver.policy.state
    assert len(state.endpoints) == 1 and len(state.destinations[1].groups) <= 2
    assert sum(len(x.endpoints) for x in state.destinations[1].groups) == 1
    assert actions_of(SendAttempt, driver.submit())[0].endpoint == 3100


def test_endpoint_that_returns_or_moves_starts_with_fresh_state():
    driver = PolicyDriver()
    driver.run_tick(
        EndpointListReceived(EndpointListForm.DELTA, (endpoint_entry(100, state=EndpointState.REMOVED),))
    )
    assert not actions_of(SendAttempt, driver.submit())
    assert actions_of(
        SendAttempt,
        driver.run_tick(
            EndpointListReceived(EndpointListForm.DELTA, (endpoint_entry(100),)), after_us=SECOND
        ),
    )
    driver.end_attempt(driver.last_message, AttemptResult.OK)
    driver.run_tick(EndpointListReceived(EndpointListForm.DELTA, (endpoint_entry(100, destination=2),)))
    assert not actions_of(SendAttempt, driver.submit(destination=1)) and actions_of(
        SendAttempt, driver.submit(destination=2)
    )


def test_message_for_a_destination_without_endpoints_is_rejected_in_time():
    driver = PolicyDriver()
    driver.submit(destination=9, lifetime_us=2 * SECOND)
    assert (
        actions_of(RejectMessage, driver.advance(2.1))
        and not actions_of(FailMessage, driver.advance(0.1))
        and not driver.policy.state.messages
    )


@pytest.mark.parametrize(
    "field, change",
    [
        ("instance_count", {"instance_count": 0}),
        ("instance_index", {"instance_count": 2, "instance_index": 2}),
    ],
)
def test_impossible_instance_settings_are_named(field, change):
    with pytest.raises(ValueError, match=field):
        Settings(**{"classes": CLASSES, "call_slots": 2, "max_open_messages": 4, **change})

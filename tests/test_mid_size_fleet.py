"""Fleets of tens of instances: circuits, choice of endpoints, and the first calls after a joint start."""

from policy_driver import CLASSES, SECOND, actions_of, endpoint_entry, mid_size_fleet

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    EndpointListForm,
    EndpointListReceived,
    LoadReportReceived,
    MessageSubmitted,
    SendAttempt,
    Settings,
)
from message_relay.policy.delivery_policy import DeliveryPolicy


def test_failing_endpoint_opens_no_other_circuit_at_forty_instances():
    driver = mid_size_fleet(endpoints=2)
    for _ in range(6):  # each message is retried elsewhere until the failures are detected
        for action in actions_of(SendAttempt, driver.submit(after_us=SECOND)):
            driver.end_attempt(
                action.message,
                AttemptResult.CONNECT_FAILED if action.endpoint == 100 else AttemptResult.OK,
                endpoint=action.endpoint,
            )
        for action in actions_of(SendAttempt, driver.advance(1)):
            driver.end_attempt(
                action.message,
                AttemptResult.CONNECT_FAILED if action.endpoint == 100 else AttemptResult.OK,
                endpoint=action.endpoint,
            )
    circuit = driver.policy.state.endpoints[100].circuit
    circuit.open, circuit.half_open_at_us = True, driver.now_us + 60 * SECOND
    assert not driver.policy.state.endpoints[101].circuit.open
    assert [action.endpoint for action in actions_of(SendAttempt, driver.submit(after_us=SECOND))] == [101]


def test_one_lost_connection_opens_no_circuit_at_forty_instances():
    driver = mid_size_fleet()
    driver.submit()
    driver.end_attempt(1, AttemptResult.CONNECT_FAILED)
    assert not driver.policy.state.endpoints[100].circuit.open


def test_first_calls_of_forty_instances_spread_over_the_endpoints():
    instances_by_endpoint = {}
    for seed in range(40):
        policy = DeliveryPolicy(
            Settings(
                classes=CLASSES, call_slots=4, max_open_messages=50, instance_count=40, instance_index=seed
            ),
            seed,
        )
        actions = policy.handle(
            SECOND,
            [
                EndpointListReceived(
                    EndpointListForm.CACHED, tuple(endpoint_entry(100 + n) for n in range(4))
                ),
                MessageSubmitted(1, 0, 1, 9 * SECOND),
            ],
        )
        instances_by_endpoint.setdefault(actions_of(SendAttempt, actions)[0].endpoint, []).append(seed)
    assert len(instances_by_endpoint) == 4 and max(map(len, instances_by_endpoint.values())) < 20


def test_instance_reuses_its_connection_among_equal_endpoints():
    driver = mid_size_fleet(endpoints=4)
    used_endpoints = set()
    for _ in range(10):
        (action,) = actions_of(SendAttempt, driver.submit(after_us=100_000))
        used_endpoints.add(action.endpoint)
        driver.end_attempt(action.message, AttemptResult.OK, endpoint=action.endpoint)
    assert (
        len(used_endpoints) == 1
    )  # another endpoint would cost a handshake and one of the connections that it accepts


def test_instances_that_start_together_send_one_call_each_and_then_their_share():
    instance_count, limit = 40, 40.0
    settings = dict(
        classes=CLASSES,
        call_slots=4,
        max_open_messages=100,
        max_attempts=12,
        load_report_fields=("x0", "x1"),
        instance_count=instance_count,
        tick_interval_us=5000,
    )
    now_us, counts = 1000 * SECOND, [0, 0]
    policies = [
        DeliveryPolicy(Settings(instance_index=instance, **settings), instance)
        for instance in range(instance_count)
    ]
    in_flight = {}
    for instance, policy in enumerate(policies):  # restored messages, or ones submitted during the start
        events = [EndpointListReceived(EndpointListForm.CACHED, (endpoint_entry(100),))]
        events += [MessageSubmitted(n, 0, 1, now_us + 10 * SECOND) for n in range(1, 7)]
        in_flight[instance] = actions_of(SendAttempt, policy.handle(now_us, events))
    for tick in range(200):  # 2 s; a response takes 100 ms and reports the limit
        now_us += 10_000
        for instance, policy in enumerate(policies):
            events = []
            for action in in_flight.pop(instance, []) if tick % 10 == 9 else []:
                counts[tick >= 100] += 1
                events += [
                    LoadReportReceived(100, (0.5, limit)),
                    AttemptEnded(
                        action.message,
                        policy.state.messages[action.message].attempts - 1,
                        100,
                        AttemptResult.OK,
                        100_000,
                        True,
                        0,
                    ),
                ]
            in_flight.setdefault(instance, []).extend(actions_of(SendAttempt, policy.handle(now_us, events)))
    # Each instance sends one call at first, without its share of the limit on top of it.
    assert instance_count <= counts[0] <= 1.2 * instance_count
    assert counts[1] >= 0.7 * limit

"""Property test: the policy follows the delivery rules for random settings and valid random events."""

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    DestinationType,
    EndpointEntry,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    FailMessage,
    Idempotency,
    KeyScope,
    MessageClass,
    MessageSubmitted,
    MessageWithdrawn,
    RejectMessage,
    SendAttempt,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
)
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy.limits import DESTINATION_SLOT_SHARE

SECOND = 1_000_000
TICK_US = 5_000
RESULTS_NOT_APPLIED = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_ATTEMPTED)


def random_settings(rng):
    keyed = {
        "idempotency": Idempotency.KEYED,
        "key_window_us": 4 * SECOND,
        "key_scope": rng.choice((KeyScope.ALL, KeyScope.ZONE)),
    }
    ordered = rng.random() < 0.5
    return Settings(
        classes=(
            MessageClass("s", SECOND, 5 * SECOND, priority_weight=2.0),
            MessageClass("k", SECOND, 8 * SECOND, ordered=ordered, **keyed),
            MessageClass(
                "u",
                2 * SECOND,
                9 * SECOND,
                idempotency=Idempotency.NON_IDEMPOTENT,
                late_weight_share=0.4,
                ordered=ordered,
            ),
        ),
        destination_types=(
            DestinationType("a", rng.random() < 0.5, rng.choice((1, 4))),
            DestinationType("b"),
        ),
        call_slots=rng.randint(1, 12),
        max_open_messages=30,
        tenants=(Tenant("t", 0.5, 3.0),) if rng.random() < 0.5 else (),
        instance_count=rng.randint(1, 4),
        max_attempts=rng.randint(1, 8),
        rate_limits_advertised=rng.random() < 0.5,
        zone_costs=(0.1, 0.0),
        max_retry_after_us=SECOND,
        order_key_pause_us=SECOND // 2,
        answer_slack_us=20_000,
        tick_interval_us=TICK_US,
        clients_mark_retries=rng.random() < 0.5,
    )


@hypothesis_settings(max_examples=40, derandomize=True, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_policy_rules_hold_for_arbitrary_events(seed):
    rng = random.Random(seed)
    settings = random_settings(rng)
    policy = DeliveryPolicy(settings, seed)
    locations = {100 + n: (n % 3, n % 2) for n in range(6)}  # endpoint: destination, zone
    endpoint_states = dict.fromkeys(locations, EndpointState.READY)
    has_independent_endpoints = [
        settings.destination_types[destination_id % 2].independent_endpoints for destination_id in range(3)
    ]
    max_batch_sizes = [
        settings.destination_types[destination_id % 2].max_batch_size for destination_id in range(3)
    ]
    now, last_message, retry_after_until, timers = 10 * SECOND, 0, {}, []
    open_messages, history, in_flight, ended, submission_order, paused_until = {}, {}, {}, {}, [], {}
    result_weights = rng.choice(((9, 1, 1, 1, 1, 1, 1), (1, 3, 3, 3, 3, 1, 1), (5, 0, 4, 0, 4, 0, 0)))

    def group_of(endpoint):
        """Return a number of the endpoint's group; that of a group of several endpoints is negative."""
        return endpoint if has_independent_endpoints[locations[endpoint][0]] else locations[endpoint][0] - 10

    def entry(endpoint):
        return EndpointEntry(
            endpoint,
            locations[endpoint][0],
            endpoint_states[endpoint],
            4.0,
            locations[endpoint][0] % 2,
            locations[endpoint][1],
        )

    events = [EndpointListReceived(EndpointListForm.CACHED, tuple(entry(endpoint) for endpoint in locations))]
    for _ in range(4000):
        now += TICK_US
        while timers and min(timers) <= now:
            timers.remove(min(timers))
            events.append(TimerFired(0))
        for key in [k for k in in_flight if in_flight[k][1] <= now]:
            endpoint, _, forced_result, sent = in_flight.pop(key)
            result = forced_result or rng.choices(list(AttemptResult)[:7], result_weights)[0]
            if result in (AttemptResult.NOT_ATTEMPTED, AttemptResult.CANCELLED):
                result = AttemptResult.ERROR
            retry_after = rng.choice((0, 300_000, 3 * SECOND)) if result is AttemptResult.REJECTED else 0
            if retry_after:
                retry_after_until[group_of(endpoint)] = max(
                    retry_after_until.get(group_of(endpoint), 0), now + retry_after
                )
            history[key[0]].append((result, endpoint, sent))
            submitted = ended.get(key[0]) or open_messages[key[0]]
            if result in (AttemptResult.TIMEOUT, AttemptResult.RESET) and submitted.order_key:
                paused_until[submitted.order_key] = now + settings.order_key_pause_us
            message_ended = result is AttemptResult.OK or key[0] in ended
            if message_ended and key[0] in open_messages:
                ended[key[0]] = open_messages.pop(key[0])
            events.append(
                AttemptEnded(key[0], key[1], endpoint, result, now - sent, message_ended, retry_after)
            )
        if rng.random() < 0.08 and len(open_messages) < settings.max_open_messages:
            last_message += 1
            message_class = rng.randrange(3)
            key = rng.randint(1, 3) if settings.classes[message_class].ordered and rng.random() < 0.7 else 0
            open_messages[last_message] = MessageSubmitted(
                last_message,
                message_class,
                rng.randrange(3),
                now + settings.classes[message_class].deadline_us,
                0,
                key,
            )
            history[last_message] = []
            submission_order.append(last_message)
            events.append(open_messages[last_message])
        if rng.random() < 0.003:
            endpoint = rng.choice(list(locations))
            endpoint_states[endpoint] = rng.choice((EndpointState.READY, EndpointState.DRAINING))
            events.append(EndpointListReceived(EndpointListForm.DELTA, (entry(endpoint),)))
        if open_messages and rng.random() < 0.002:
            withdrawn = rng.choice(list(open_messages))
            ended[withdrawn] = open_messages.pop(withdrawn)
            events.append(MessageWithdrawn(withdrawn))
        if not events:
            continue
        calls = {}
        for action in policy.handle(now, events):
            if isinstance(action, SetTimer):
                timers.append(now + action.delay_us)
            elif isinstance(action, SendAttempt):
                assert action.message in open_messages, "sent after its final answer"
                message = open_messages[action.message]
                message_class = settings.classes[message.message_class]
                assert (
                    locations[action.endpoint][0] == message.destination
                    and endpoint_states[action.endpoint] is EndpointState.READY
                )
                assert now >= retry_after_until.get(group_of(action.endpoint), 0), (
                    "sent before Retry-After ended"
                )
                assert not [k for k in in_flight if k[0] == action.message], "two attempts in flight"
                possibly_applied = [h for h in history[action.message] if h[0] not in RESULTS_NOT_APPLIED]
                assert len(history[action.message]) < settings.max_attempts
                if possibly_applied:
                    assert message_class.idempotency is not Idempotency.NON_IDEMPOTENT
                    if message_class.idempotency is Idempotency.KEYED:
                        assert now < possibly_applied[0][2] + message_class.key_window_us
                        assert (
                            message_class.key_scope is KeyScope.ALL
                            or locations[action.endpoint][1] == locations[possibly_applied[0][1]][1]
                        )
                if message.order_key:
                    earlier_messages = [
                        x
                        for x in submission_order[: submission_order.index(action.message)]
                        if (open_messages.get(x) or ended[x]).order_key == message.order_key
                    ]
                    assert not [
                        x
                        for x in earlier_messages
                        if x in open_messages or [k for k in in_flight if k[0] == x]
                    ]
                    assert history[action.message] or now >= paused_until.get(message.order_key, 0)
                timeout_at = now + min(action.timeout_us, message.deadline_us - now)
                response_at = now + rng.choice((20_000, 100_000, 400_000, 20 * SECOND))
                forced_result = AttemptResult.TIMEOUT if response_at >= timeout_at else None
                in_flight[(action.message, len(history[action.message]))] = (
                    action.endpoint,
                    min(response_at, timeout_at),
                    forced_result,
                    now,
                )
                calls[action.endpoint] = calls.get(action.endpoint, 0) + 1
            elif isinstance(action, (RejectMessage, FailMessage)):
                if MessageWithdrawn(action.message) in events:
                    continue  # the withdrawal is an event of this tick
                message = open_messages.pop(action.message)
                ended[action.message] = message
                assert now <= message.deadline_us + settings.answer_slack_us
                message_class = settings.classes[message.message_class]
                possibly_applied = [h for h in history[action.message] if h[0] not in RESULTS_NOT_APPLIED]
                if (
                    isinstance(action, RejectMessage)
                    and message_class.idempotency is not Idempotency.IDEMPOTENT
                ):
                    assert (
                        not possibly_applied
                        or message_class.idempotency is Idempotency.KEYED
                        and message_class.key_scope is KeyScope.ALL
                    )
                    assert not [k for k in in_flight if k[0] == action.message]
        for endpoint, call_count in calls.items():
            assert (
                call_count <= max_batch_sizes[locations[endpoint][0]]
                or max_batch_sizes[locations[endpoint][0]] == 1
            )
        if max_batch_sizes == [1, 1, 1]:
            assert len(in_flight) <= settings.call_slots
            for destination_id in range(3):
                calls_in_flight = len(
                    [1 for endpoint, *_ in in_flight.values() if locations[endpoint][0] == destination_id]
                )
                assert calls_in_flight <= max(1, int(DESTINATION_SLOT_SHARE * settings.call_slots))
        events = []
        assert all(
            now <= message.deadline_us + settings.answer_slack_us for message in open_messages.values()
        ), "no final answer"
    assert last_message > 20  # enough messages were submitted

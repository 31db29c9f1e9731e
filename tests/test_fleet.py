"""Large fleets: what hundreds of small couriers do alike must sum to what a destination bears."""

import pytest
from test_brain import CLASSES, Host, S, of

from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy_state import ConnectionRates
from message_relay.model import (
    AttemptEnded,
    CloseIdleConnections,
    EndpointListReceived,
    EndpointState,
    FailMessage,
    DestinationKind,
    EndpointEntry,
    EndpointListForm,
    LoadReportReceived,
    MessageSubmitted,
    RejectMessage,
    AttemptResult,
    SendAttempt,
    Settings,
)


def fleet(**changes):
    return Host(**{"instance_count": 100, "call_slots": 4, **changes})


def entry(endpoint, dest=1, state=EndpointState.READY, rate=0.0):
    return EndpointEntry(endpoint, dest, state, rate)


def test_the_next_call_of_a_large_fleet_goes_on_the_connection_of_the_last_one():
    h = fleet()
    h.arrive()
    assert not of(CloseIdleConnections, h.end(1, AttemptResult.OK))
    assert not of(CloseIdleConnections, h.arrive(after=4 * S))
    ((call, _),) = h.policy.state.calls.values()
    assert (
        call.connection_idle_us == 4 * S
    )  # a new one costs the handshake again, and holds one of few slots for it


def test_the_settings_may_forbid_idle_connections():
    h = fleet(connection_idle_us=0)
    h.arrive()
    assert len(of(CloseIdleConnections, h.end(1, AttemptResult.OK))) == 1


def test_idle_connections_that_die_unseen_are_closed_before_use_after_two_lost_calls():
    h = Host()

    def call(idle, result):
        h.policy.state.endpoints[100].idle_since_us = [h.now - idle]
        c = h.policy.state.endpoints[100].circuit
        (
            c.open,
            c.slow_start_since_us,
            c.half_open_call,
            c.failure_rate,
            h.policy.state.endpoints[100].ambiguous_failure_rate,
        ) = False, -1, None, 0.0, 0.0
        h.policy.state.statistics.reset_rates = (
            ConnectionRates()
        )  # or an unsafe message would not be risked on it
        acts = h.arrive(cls=2)  # unsafe: tried once
        h.end(h.next, result)
        h.idle(1)
        return len(of(CloseIdleConnections, acts))

    assert not call(6 * S, AttemptResult.OK)
    assert (
        not call(4 * S, AttemptResult.RESET) and h.policy.state.statistics.idle_reuse_limit_us == 10 * S
    )  # one lost call may be chance
    assert not call(4 * S, AttemptResult.RESET) and h.policy.state.statistics.idle_reuse_limit_us < 4 * S
    trusted = h.policy.state.statistics.idle_reuse_limit_us
    assert call(4 * S, AttemptResult.OK) == 1
    assert (
        not call(trusted // 2, AttemptResult.OK) and h.policy.state.statistics.idle_reuse_limit_us > trusted
    )


def test_a_part_of_a_listed_rate_paces_a_large_fleet_only_after_a_refusal():
    h = fleet(rate=10.0)  # a part of 0.1 a second
    for _ in range(5):
        assert of(SendAttempt, h.arrive(after=100_000))
        h.end(h.next, AttemptResult.OK)
    h.arrive()
    h.end(h.next, AttemptResult.REJECTED)
    assert h.policy.state.endpoints[100].group.rate_limit_per_s > 0
    sends = 0
    for _ in range(40):
        sends += len(of(SendAttempt, h.arrive(life=30 * S, after=250_000)))
        for key in list(h.policy.state.calls):
            h.end(key[0], AttemptResult.OK, after=0)
    assert sends <= 0.1 * 10 * 2 + 1


@pytest.mark.parametrize(
    "how", [AttemptResult.CONNECT_FAILED, AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT]
)
def test_what_a_hundred_couriers_send_into_an_outage_sums_to_the_fall_budget(how):
    rate, cold, multiple, couriers = 40.0, 0.15, 2.5, 100
    given = dict(
        classes=CLASSES,
        call_slots=4,
        max_open_messages=100,
        max_attempts=12,
        rate_limits_advertised=True,
        instance_count=couriers,
        slow_start_share=cold,
        slow_start_us=12 * S,
        overload_factor=multiple,
        turn_interval_us=5000,
    )
    all_ = [DeliveryPolicy(Settings(instance_index=k, **given), k) for k in range(couriers)]
    told = EndpointListReceived(EndpointListForm.CACHED, (entry(100, rate=rate),))
    calls, sent, now, ident = [], [], 1000 * S, 0
    for c in all_:
        c.handle(now, [told])
    for step in range(4000):  # 40 s, 40 messages a second, each to the next courier by a fixed shuffle
        now += 10_000
        inbox = {}
        if step % 2 == 0 and step % 5:
            ident += 1
            inbox[ident * 37 % couriers] = [MessageSubmitted(ident, 0, 1, now + 10 * S)]
        for k, event in [x for x in calls if x[0][0] <= now]:
            inbox.setdefault(k[1], []).append(event)
        calls = [x for x in calls if x[0][0] > now]
        for k in range(couriers) if step % 20 == 0 else sorted(inbox):
            for a in all_[k].handle(now, inbox.get(k, [])):
                if isinstance(a, SendAttempt):
                    sent.append((now, all_[k].state.endpoints[100].circuit.failure_rate > 0))
                    tries = all_[k].state.messages[a.message].attempts - 1
                    calls.append(((now + 50_000, k), ended(a.message, tries, how)))
    informed = sum(1 for at, seen in sent if seen and at > 1000 * S + 20 * S) / 20
    assert 0 < informed <= multiple * cold * rate


def ended(message, attempt, how):
    return AttemptEnded(message, attempt, 100, how, 50_000, False, 0)


def test_a_single_quick_failure_is_tried_again_and_forgiven():
    h = fleet(rate=10.0)
    h.arrive()
    acts = h.end(1, AttemptResult.CONNECT_FAILED, latency=20_000)
    assert h.policy.state.endpoints[100].circuit.open  # others wait for their share
    assert not [a for a in of(SendAttempt, acts + h.arrive() + h.arrive()) if a.message > 1]
    assert of(SendAttempt, acts + h.idle(0.5))
    h.end(1, AttemptResult.OK)
    c = h.policy.state.endpoints[100].circuit
    assert not c.open and c.slow_start_since_us < 0


def test_a_real_outage_ends_in_a_slow_start_for_all_endpoints_of_the_lane():
    h = fleet(endpoints=2)
    h.arrive()
    for _ in range(3):
        h.end(1, AttemptResult.CONNECT_FAILED, latency=20_000, endpoint=100)
        h.idle(1)
    one, other = (h.policy.state.endpoints[100 + k] for k in (0, 1))
    assert one.circuit is other.circuit and one.circuit.open
    for _ in range(20):
        sends = of(SendAttempt, h.arrive(after=100_000))
        if sends:
            h.end(sends[0].message, AttemptResult.OK)
            break
    assert not one.circuit.open and one.circuit.slow_start_since_us >= 0


def test_credit_is_not_saved_up_while_told_to_wait():
    starts = 0
    for seed in range(40):
        h = fleet(rate=10.0)
        h.policy.state.random.seed(seed)
        h.arrive()
        h.end(1, AttemptResult.REJECTED, told=8 * S)  # so long a wait is a shut destination's
        acts = []
        for _ in range(8):
            acts += h.arrive(after=S * 95 // 100)
        assert not of(SendAttempt, acts)
        starts += len(of(SendAttempt, h.idle(2)))  # all couriers' waits end together
    assert not starts


def test_couriers_spread_over_routes_in_step_with_their_rates():
    chosen = {}
    for seed in range(200):
        c = DeliveryPolicy(
            Settings(
                classes=CLASSES,
                call_slots=4,
                max_open_messages=50,
                instance_count=100,
                rate_limits_advertised=True,
                kinds=(DestinationKind("k", independent_endpoints=True),),
                zone_costs=(0.1,),
            ),
            seed,
        )
        acts = c.handle(
            S,
            [
                EndpointListReceived(EndpointListForm.CACHED, (entry(100, rate=9.0), entry(101, rate=3.0))),
                MessageSubmitted(1, 0, 1, 9 * S),
            ],
        )
        e = of(SendAttempt, acts)[0].endpoint
        chosen[e] = chosen.get(e, 0) + 1
    assert 130 < chosen[100] < 170


def test_where_calls_are_refused_a_share_of_new_messages_is_refused_unsent():
    h = fleet()  # no rate is listed
    for _ in range(6):
        for a in of(SendAttempt, h.arrive(after=3 * S)):
            h.end(a.message, AttemptResult.REJECTED)
    unsent = 0
    for _ in range(30):
        acts = h.arrive(after=S)
        unsent += len(of(RejectMessage, acts))
        for a in of(SendAttempt, acts):
            h.end(a.message, AttemptResult.REJECTED)
    assert 15 < unsent < 30
    for _ in range(60):
        for a in of(SendAttempt, h.arrive(after=S) + h.idle(0.2)):
            h.end(a.message, AttemptResult.OK)
    assert not sum(len(of(RejectMessage, h.arrive(after=S))) for _ in range(10))


def test_what_cannot_be_reached_in_time_is_handed_back_at_once():
    h = fleet(rate=5.0)  # a part of 0.05 a second: the next call in up to 20 s
    h.arrive()
    h.end(h.next, AttemptResult.REJECTED)
    refused = sum(len(of(RejectMessage, h.arrive(life=4 * S, after=50_000))) for _ in range(5))
    assert refused >= 4


def test_room_is_made_by_handing_back_what_waits_longest_for_one_destination():
    h = Host(max_open_messages=10)
    h.do(
        EndpointListReceived(
            EndpointListForm.DELTA, (entry(100, state=EndpointState.DRAINING), entry(200, dest=2))
        )
    )
    acts = []
    for _ in range(12):
        acts += h.arrive()
    assert len(h.policy.state.messages) <= 8 and of(RejectMessage, acts)
    assert of(SendAttempt, h.arrive(dest=2))


@pytest.mark.parametrize("apart", [False, True])
def test_replaced_endpoints_leave_nothing_behind(apart):
    h = fleet(kinds=(DestinationKind("k", independent_endpoints=apart),))
    for n in range(3000):
        h.do(
            EndpointListReceived(
                EndpointListForm.DELTA, (entry(101 + n), entry(100 + n, state=EndpointState.REMOVED))
            )
        )
    c = h.policy.state
    assert len(c.endpoints) == 1 and len(c.destinations[1].groups) <= 2
    assert sum(len(x.endpoints) for x in c.destinations[1].groups) == 1
    assert of(SendAttempt, h.arrive())[0].endpoint == 3100


def test_an_endpoint_that_comes_back_or_moves_starts_anew():
    h = Host()
    h.do(EndpointListReceived(EndpointListForm.DELTA, (entry(100, state=EndpointState.REMOVED),)))
    assert not of(SendAttempt, h.arrive())
    assert of(SendAttempt, h.do(EndpointListReceived(EndpointListForm.DELTA, (entry(100),)), after=S))
    h.end(h.next, AttemptResult.OK)
    h.do(EndpointListReceived(EndpointListForm.DELTA, (entry(100, dest=2),)))
    assert not of(SendAttempt, h.arrive(dest=1)) and of(SendAttempt, h.arrive(dest=2))


def test_a_message_for_a_destination_without_endpoints_is_refused_in_time():
    h = Host()
    h.arrive(dest=9, life=2 * S)
    assert of(RejectMessage, h.idle(2.1)) and not of(FailMessage, h.idle(0.1)) and not h.policy.state.messages


@pytest.mark.parametrize(
    "field, change",
    [
        ("instance_count", {"instance_count": 0}),
        ("instance_index", {"instance_count": 2, "instance_index": 2}),
    ],
)
def test_impossible_fleets_are_named(field, change):
    with pytest.raises(ValueError, match=field):
        Settings(**{"classes": CLASSES, "call_slots": 2, "max_open_messages": 4, **change})


def forty(**changes):
    return Host(**{"instance_count": 40, "call_slots": 4, "load_report_fields": ("x0", "x1"), **changes})


def test_an_endpoint_that_has_gone_closes_no_others_of_its_destination_at_forty_couriers():
    h = forty(endpoints=2)
    for _ in range(6):  # each is tried again elsewhere until the one is known for what it is
        for a in of(SendAttempt, h.arrive(after=S)):
            h.end(
                a.message,
                AttemptResult.CONNECT_FAILED if a.endpoint == 100 else AttemptResult.OK,
                endpoint=a.endpoint,
            )
        for a in of(SendAttempt, h.idle(1)):
            h.end(
                a.message,
                AttemptResult.CONNECT_FAILED if a.endpoint == 100 else AttemptResult.OK,
                endpoint=a.endpoint,
            )
    h.policy.state.endpoints[100].circuit.open, h.policy.state.endpoints[100].circuit.half_open_at_us = (
        True,
        h.now + 60 * S,
    )
    assert not h.policy.state.endpoints[101].circuit.open
    assert [a.endpoint for a in of(SendAttempt, h.arrive(after=S))] == [101]


@pytest.mark.parametrize("couriers, paced", [(2, True), (40, True), (400, False)])
def test_a_told_limit_paces_at_once_where_a_courier_has_a_part_of_it_that_says_something(couriers, paced):
    h = Host(instance_count=couriers, call_slots=4, load_report_fields=("x0", "x1"))
    h.do(LoadReportReceived(100, (0.5, 40.0)))
    lane = h.policy.state.endpoints[100].group
    assert lane.advertised_rate_per_s == 40.0 / couriers and lane.rate_limit_per_s == (
        lane.advertised_rate_per_s if paced else 0.0
    )


def test_one_lost_connection_opens_no_circuit_at_forty_couriers():
    h = forty()
    h.arrive()
    h.end(1, AttemptResult.CONNECT_FAILED)
    assert not h.policy.state.endpoints[100].circuit.open


def test_the_first_calls_of_forty_couriers_spread_over_a_destinations_endpoints():
    first = {}
    for seed in range(40):
        c = DeliveryPolicy(
            Settings(
                classes=CLASSES, call_slots=4, max_open_messages=50, instance_count=40, instance_index=seed
            ),
            seed,
        )
        acts = c.handle(
            S,
            [
                EndpointListReceived(EndpointListForm.CACHED, tuple(entry(100 + n) for n in range(4))),
                MessageSubmitted(1, 0, 1, 9 * S),
            ],
        )
        first.setdefault(of(SendAttempt, acts)[0].endpoint, []).append(seed)
    assert len(first) == 4 and max(map(len, first.values())) < 20


def test_a_courier_keeps_to_the_connection_it_has_among_equal_endpoints():
    h = forty(endpoints=4)
    used = set()
    for _ in range(10):
        (a,) = of(SendAttempt, h.arrive(after=100_000))
        used.add(a.endpoint)
        h.end(a.message, AttemptResult.OK, endpoint=a.endpoint)
    assert len(used) == 1  # one more would cost a handshake, and a place in its table of connections


def test_a_slow_start_is_shared_by_the_endpoints_in_use():
    sent = []
    for shut in (False, True):
        h = forty(endpoints=2, call_slots=8)
        h.do(LoadReportReceived(100, (0.9, 40.0 * 4)))  # a part of 4 a second, paced no slower
        for n in (100, 101):
            c = h.policy.state.endpoints[n].circuit
            c.warm_rate_per_s, c.slow_start_since_us, c.bucket.updated_at_us, c.bucket.tokens = (
                4.0,
                h.now,
                h.now,
                0.0,
            )
        if shut:  # nothing goes there: its share of the start is no use to it
            c.open, c.slow_start_since_us, c.half_open_at_us = True, -1, h.now + 60 * S
        count, sends = 0, []
        for _ in range(160):
            sends += of(SendAttempt, h.arrive(after=50_000))
            while sends:
                a, count = sends.pop(), count + 1
                sends += of(SendAttempt, h.end(a.message, AttemptResult.OK, endpoint=a.endpoint, after=0))
        sent.append(count)
    assert sent[0] > 15 and sent[1] > 0.8 * sent[0]


def test_a_slow_start_is_over_when_it_is_at_the_full_rate():
    h = forty()
    c = h.policy.state.endpoints[100].circuit
    c.slow_start_since_us, c.warm_rate_per_s = h.now, 10.0
    full = (
        (1 / (0.8 * h.policy.state.settings.overload_factor) - 0.1) / 0.9 * 10
    )  # seconds, of a cold time of 10
    h.arrive(after=int((full - 0.5) * S))
    h.end(h.next, AttemptResult.OK, after=1)
    assert c.slow_start_since_us >= 0
    h.arrive(after=S)
    h.end(h.next, AttemptResult.OK, after=1)
    assert c.slow_start_since_us < 0


def told(h, left, limit, endpoint=100):
    h.do(LoadReportReceived(endpoint, (left, limit)))
    return h.policy.state.endpoints[100].group


@pytest.mark.parametrize("couriers", [1, 3, 40])
def test_a_limit_that_is_used_up_leaves_each_courier_its_part(couriers):
    h = Host(instance_count=couriers, call_slots=4, load_report_fields=("x0", "x1"))
    told(h, 0.6, 40.0).rate_limit_per_s = 40.0  # it took what the others left
    assert told(h, 0.3, 40.0).rate_limit_per_s == 40.0
    assert told(h, 0.05, 40.0).rate_limit_per_s == 40.0 / couriers
    told(h, 0.05, 40.0).rate_limit_per_s = 0.5 * 40 / couriers  # refused before: it is not raised
    assert told(h, 0.0, 40.0).rate_limit_per_s == 0.5 * 40 / couriers


@pytest.mark.parametrize("left", [float("nan"), float("inf"), -float("inf"), -0.5])
def test_a_share_left_that_makes_no_sense_changes_nothing(left):
    h = forty()
    told(h, 0.6, 40.0).rate_limit_per_s = 3.0
    assert told(h, left, 40.0).rate_limit_per_s == 3.0 and told(h, left, 40.0).advertised_rate_per_s == 1.0


@pytest.mark.parametrize("limit", [float("nan"), float("inf"), -float("inf"), -40.0, 0.0])
def test_a_limit_that_makes_no_sense_changes_nothing(limit):
    h = forty()
    told(h, 0.6, 40.0).rate_limit_per_s = 3.0
    lane = told(h, 0.0, limit)
    assert (lane.rate_limit_per_s, lane.advertised_rate_per_s) == (3.0, 1.0)


@pytest.mark.parametrize(
    "fields, values",
    [
        (("x1",), (80.0,)),
        ((), ()),
        (("x0", "x1"), (0.05,)),
        (("x0",), (0.0,)),
        (("x0", "x1"), (0.05, 80.0, 7.0)),
    ],
)
def test_a_report_that_lacks_a_value_or_has_one_too_many_is_read_as_far_as_it_goes(fields, values):
    h = forty(load_report_fields=fields)
    h.do(LoadReportReceived(100, values))
    lane = h.policy.state.endpoints[100].group
    assert (
        lane.advertised_rate_per_s == (2.0 if 80.0 in values else 0.0)
        and lane.rate_limit_per_s == lane.advertised_rate_per_s
    )


@pytest.mark.parametrize("times", [0.1, 10.0])
def test_a_limit_that_changes_ten_times_at_once_takes_the_pace_along(times):
    h = forty()
    told(h, 0.6, 40.0).rate_limit_per_s = 1.5
    lane = told(h, 0.6, 40.0 * times)
    assert lane.advertised_rate_per_s == pytest.approx(times) and lane.rate_limit_per_s == pytest.approx(
        1.5 * times
    )
    sends = sum(len(of(SendAttempt, h.arrive(after=1000))) for _ in range(200))
    assert sends <= 4  # no burst beyond its slots either way


def test_couriers_that_start_together_send_their_first_calls_and_then_their_part():
    couriers, limit = 40, 40.0
    given = dict(
        classes=CLASSES,
        call_slots=4,
        max_open_messages=100,
        max_attempts=12,
        load_report_fields=("x0", "x1"),
        instance_count=couriers,
        turn_interval_us=5000,
    )
    now, counts = 1000 * S, [0, 0]
    all_ = [DeliveryPolicy(Settings(instance_index=k, **given), k) for k in range(couriers)]
    out = {}
    for k, c in enumerate(all_):  # restored, or come while all were being started
        news = [EndpointListReceived(EndpointListForm.CACHED, (entry(100),))]
        news += [MessageSubmitted(n, 0, 1, now + 10 * S) for n in range(1, 7)]
        out[k] = of(SendAttempt, c.handle(now, news))
    for step in range(200):  # 2 s; an answer takes 100 ms and tells the limit
        now += 10_000
        for k, c in enumerate(all_):
            news = []
            for a in out.pop(k, []) if step % 10 == 9 else []:
                counts[step >= 100] += 1
                news += [
                    LoadReportReceived(100, (0.5, limit)),
                    AttemptEnded(
                        a.message,
                        c.state.messages[a.message].attempts - 1,
                        100,
                        AttemptResult.OK,
                        100_000,
                        True,
                        0,
                    ),
                ]
            out.setdefault(k, []).extend(of(SendAttempt, c.handle(now, news)))
    assert couriers <= counts[0] <= 1.2 * couriers  # else a part comes on top of each
    assert counts[1] >= 0.7 * limit

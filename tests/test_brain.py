"""The module's decisions, one small test each; no bench needed."""

import pytest

from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy.timeouts import answer_timeout_us
from message_relay.model import (
    AttemptEnded,
    Idempotency,
    EndpointListReceived,
    EndpointState,
    FailMessage,
    DestinationKind,
    EndpointEntry,
    EndpointListForm,
    LoadReportReceived,
    MessageSubmitted,
    MessageClass,
    RejectMessage,
    AttemptResult,
    SendAttempt,
    Settings,
)

S = 1_000_000
CLASSES = (
    MessageClass("safe", latency_objective_us=S, deadline_us=10 * S),
    MessageClass(
        "keyed",
        latency_objective_us=S,
        deadline_us=10 * S,
        idempotency=Idempotency.KEYED,
        key_window_us=5 * S,
    ),
    MessageClass(
        "unsafe", latency_objective_us=S, deadline_us=10 * S, idempotency=Idempotency.NON_IDEMPOTENT
    ),
)


class Host:
    """Feeds a courier and keeps what it did."""

    def __init__(self, endpoints=1, rate=0.0, **changes):
        given = {
            "classes": CLASSES,
            "call_slots": 8,
            "max_open_messages": 100,
            "max_attempts": 12,
            "kinds": (DestinationKind("k"),),
            "rate_limits_advertised": rate > 0,
            "max_retry_after_us": 2 * S,
            "turn_interval_us": 5000,
        }
        given.update(changes)
        self.policy = DeliveryPolicy(Settings(**given), 7)
        self.now, self.next, self.tries = 1000 * S, 0, {}
        self.do(
            EndpointListReceived(
                EndpointListForm.CACHED,
                tuple(EndpointEntry(100 + n, 1, EndpointState.READY, rate) for n in range(endpoints)),
            )
        )

    def do(self, *events, after=0):
        self.now += after
        acts = self.policy.handle(self.now, list(events))
        for a in acts:
            if isinstance(a, SendAttempt):
                self.tries[a.message] = self.tries.get(a.message, -1) + 1
        return acts

    def arrive(self, cls=0, dest=1, life=None, after=0):
        self.next += 1
        until = self.now + after + (life or CLASSES[cls].deadline_us)
        return self.do(MessageSubmitted(self.next, cls, dest, until), after=after)

    def end(self, message, result, latency=100_000, after=100_000, endpoint=100, told=0):
        return self.do(
            AttemptEnded(
                message, self.tries[message], endpoint, result, latency, result is AttemptResult.OK, told
            ),
            after=after,
        )

    def idle(self, seconds, step=0.05):
        acts = []
        for _ in range(round(seconds / step)):
            acts += self.do(after=int(step * S))
        return acts


def of(kind, acts):
    return [a for a in acts if isinstance(a, kind)]


def test_one_whose_window_closes_while_it_waits_gets_its_answer_at_once():
    h = Host()
    h.arrive(cls=1)
    h.do(EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(100, 1, EndpointState.DRAINING),)))
    h.end(1, AttemptResult.RESET)
    assert of(RejectMessage, h.idle(4.5)) == []
    assert [a.message for a in of(RejectMessage, h.idle(0.5))] == [1]  # its window is 5 s, its time 10 s


def test_first_message_goes_at_once():
    assert [a.endpoint for a in of(SendAttempt, Host().arrive())] == [100]


def test_window_is_one_wide_at_start_and_grows_by_success():
    h = Host()
    assert len(of(SendAttempt, h.arrive())) == 1
    assert not of(SendAttempt, h.arrive()) and not of(SendAttempt, h.arrive())
    assert len(of(SendAttempt, h.end(1, AttemptResult.OK))) == 2


def test_overload_ends_the_message_and_passes_the_wait_on():
    h = Host()
    h.arrive(cls=2)
    acts = h.end(1, AttemptResult.REJECTED, told=S)
    assert of(RejectMessage, acts) == [RejectMessage(1, S)]


def test_told_wait_is_kept_for_every_message():
    h = Host()
    h.arrive()
    h.end(1, AttemptResult.REJECTED, told=S)
    sent = of(SendAttempt, h.arrive() + h.idle(0.95))
    assert not sent
    assert of(SendAttempt, h.idle(0.2))


def test_failed_call_is_tried_again_three_times_at_most():
    h = Host(endpoints=1)
    sends = of(SendAttempt, h.arrive())
    for _ in range(2):
        acts = h.end(1, AttemptResult.ERROR) + h.idle(0.5)
        sends += of(SendAttempt, acts)
        assert not of(RejectMessage, acts)
    assert len(sends) == 3
    assert of(RejectMessage, h.end(1, AttemptResult.ERROR))


def test_unsafe_is_not_repeated_after_it_may_have_run():
    h = Host()
    h.arrive(cls=2)
    acts = h.end(1, AttemptResult.ERROR) + h.idle(3)
    assert (
        of(FailMessage, acts) == [FailMessage(1)]
        and not of(SendAttempt, acts)
        and not of(RejectMessage, acts)
    )


def test_unsafe_is_repeated_after_a_failed_connection():
    h = Host()
    h.arrive(cls=2)
    assert of(SendAttempt, h.end(1, AttemptResult.CONNECT_FAILED) + h.idle(1))


def test_nothing_to_a_draining_endpoint():
    h = Host(endpoints=2)
    h.do(EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(100, 1, EndpointState.DRAINING),)))
    assert [a.endpoint for a in of(SendAttempt, h.arrive())] == [101]


def test_every_message_is_answered_before_its_time_is_up():
    h = Host(endpoints=0)
    h.arrive(cls=2, life=S)
    acts = h.idle(0.98, step=0.005)
    assert not of(RejectMessage, acts)
    assert of(RejectMessage, h.idle(0.02, step=0.005)) == [RejectMessage(1, 0)]


def warm(h, n=12):
    for _ in range(n):
        h.arrive(after=300_000)
        h.end(h.next, AttemptResult.OK)


def test_unsafe_call_to_a_hung_endpoint_does_not_hold_its_slot_to_the_deadline():
    h = Host()
    warm(h)
    (send,) = of(SendAttempt, h.arrive(cls=2))
    assert send.timeout_us < CLASSES[2].deadline_us / 2


def test_a_call_lost_while_others_are_answered_does_not_open_the_circuit():
    h = Host()
    warm(h)
    for _ in range(5):
        h.arrive()
        lost = h.next
        h.arrive()
        h.end(h.next, AttemptResult.OK)
        h.end(lost, AttemptResult.TIMEOUT)
    h.idle(1)
    (ep,) = h.policy.state.endpoints.values()
    assert not ep.circuit.open and ep.circuit.slow_start_since_us < 0


def serve(h, seconds, result, per_s=10):
    """Messages come and each attempt ends with the result a turn later; returns the sends."""
    sends, pending = 0, []
    for k in range(round(seconds * 20)):
        acts = []
        for a in pending:
            acts += h.end(a.message, result, latency=50_000, after=0)
        acts += h.arrive(life=S, after=50_000) if k * per_s % 20 < per_s else h.do(after=50_000)
        pending = of(SendAttempt, acts)
        sends += len(pending)
    for a in pending:
        h.end(a.message, result, latency=50_000, after=0)
    return sends


@pytest.mark.parametrize(
    "how", [AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.REJECTED]
)
def test_recovery_is_slow_at_first_and_full_after_the_cold_time(how):
    h = Host(rate=8.0, slow_start_share=0.1, slow_start_us=10 * S, overload_factor=2.5)
    serve(h, 5, AttemptResult.OK)
    down = serve(h, 6, how)
    assert h.policy.state.endpoints[100].circuit.open and down < 20
    first, _, last = (
        serve(h, 4, AttemptResult.OK),
        serve(h, 8, AttemptResult.OK),
        serve(h, 4, AttemptResult.OK),
    )
    # the budget of the contract: the multiple of the present share, which grows from 0.1 to 0.46 in that time
    assert 0 < first <= 2.5 * (0.1 + 0.46) / 2 * 8 * 4 + 1
    assert last > 1.3 * first


def test_when_slots_are_short_a_lane_that_holds_them_long_gets_what_is_left():
    h = Host(call_slots=2)
    h.do(EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(200, 2, EndpointState.READY),)))
    warm(h)
    for _ in range(6):  # destination 2 takes ten times as long
        h.arrive(dest=2, after=300_000)
        h.end(h.next, AttemptResult.OK, latency=1_000_000, after=1_000_000, endpoint=200)
    h.arrive()
    first = h.next
    h.arrive(dest=2)
    held = h.next
    for dest in (2, 1, 2, 1):
        h.arrive(dest=dest)
    h.idle(0.9, step=0.3)
    acts = h.end(first, AttemptResult.OK, after=0)
    assert held and [a.endpoint for a in of(SendAttempt, acts)] == [100]


def test_each_wait_told_to_a_batched_call_is_kept():
    h = Host(kinds=(DestinationKind("k", max_batch_size=3),))
    warm(h)
    h.do(EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(100, 1, EndpointState.DRAINING),)))
    h.arrive()
    h.arrive()
    acts = h.do(
        EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(100, 1, EndpointState.READY),)), after=S
    )
    first, second = of(SendAttempt, acts)
    h.end(first.message, AttemptResult.REJECTED, told=0, after=0)
    h.end(second.message, AttemptResult.REJECTED, told=2 * S, after=0)
    assert not of(SendAttempt, h.arrive() + h.idle(1.95))
    assert of(SendAttempt, h.idle(0.2))


def test_a_destination_that_fails_half_its_calls_still_gets_a_cold_pace():
    h = Host(rate=8.0, slow_start_share=0.2, overload_factor=2.5)
    serve(h, 5, AttemptResult.OK)
    sent = serve(h, 10, AttemptResult.ERROR)
    # more than trials with growing gaps would send, and inside the contract's budget for a cold destination
    assert 2 * 10 < sent <= 2.5 * 0.2 * 8 * 10 + 6
    assert not h.policy.state.endpoints[100].circuit.open


def test_time_outs_are_short_where_many_calls_are_lost():
    h = Host(call_slots=40)
    warm(h, 40)
    calm = h.policy.state.statistics.lost_call_rate
    for _ in range(10):
        sends = of(SendAttempt, h.arrive(after=300_000) + h.arrive())
        for a in sends[1:]:
            h.end(a.message, AttemptResult.OK)
        h.end(sends[0].message, AttemptResult.TIMEOUT)
    lane = h.policy.state.endpoints[100].group
    lane.latency_mean_us, lane.latency_deviation_us = 100_000.0, 75_000.0
    lossy = answer_timeout_us(h.policy.state, lane)
    assert h.policy.state.statistics.lost_call_rate > 10 * calm
    h.policy.state.statistics.lost_call_rate = calm
    assert lossy < 0.7 * answer_timeout_us(h.policy.state, lane)


def test_pace_grows_slowly_near_the_rate_that_was_refused_last():
    def growth(refused):
        h = Host(rate=4.0, instance_count=2)
        serve(h, 3, AttemptResult.OK)
        if refused:
            for a in of(SendAttempt, h.arrive() + h.idle(1)):
                h.end(a.message, AttemptResult.REJECTED)
        lane = h.policy.state.endpoints[100].group
        lane.last_rejected_rate_per_s = lane.rate_limit_per_s = 2.0
        serve(h, 3, AttemptResult.OK)
        return lane.rate_limit_per_s - 2.0

    assert 0 < growth(True) < 0.7 * growth(False)


def test_a_full_message_waits_here_where_no_client_comes_again():
    h = Host(clients_mark_retries=True, classes=CLASSES)
    h.policy.state.unreturned_rejections = 20
    h.arrive()
    acts = h.end(1, AttemptResult.REJECTED, told=S)
    assert (
        not of(RejectMessage, acts)
        and not of(SendAttempt, acts + h.idle(0.95))
        and of(SendAttempt, h.idle(4))
    )
    until = h.now + 10 * S
    h.do(MessageSubmitted(99, 0, 1, until, resubmitted=True))
    assert of(RejectMessage, h.end(1, AttemptResult.REJECTED))


def test_a_bucket_is_smaller_where_refused_calls_are_priced():
    def at_once(price):
        h = Host(rate=10.0, call_slots=40, rejected_call_cost=price)
        h.policy.state.endpoints[100].group.concurrency_window = 20.0
        h.idle(2)
        return sum(len(of(SendAttempt, h.arrive())) for _ in range(12))

    assert 1 < at_once(0.1) < at_once(0.0) < 12


def test_an_unsafe_message_waits_while_calls_there_fail_in_ways_that_may_have_run():
    h = Host(slow_start_us=10 * S)
    warm(h)
    h.arrive()
    h.end(h.next, AttemptResult.ERROR, after=50_000)
    h.end(h.next, AttemptResult.ERROR, after=500_000) if of(SendAttempt, h.idle(0.3)) else None
    h.policy.state.messages.clear()
    h.policy.state.destinations[1].queue.clear()
    early = of(SendAttempt, h.arrive(cls=2) + h.idle(1))
    late = of(SendAttempt, h.idle(6))
    assert not [a for a in early if a.message == h.next] and [a for a in late if a.message == h.next]


@pytest.mark.parametrize(
    "result", [AttemptResult.NOT_ATTEMPTED, AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED]
)
def test_bundle_is_not_judged_by_a_message_that_ended_by_itself(result):
    h = Host(kinds=(DestinationKind("k", max_batch_size=2),))
    h.arrive()
    for cls in (0, 0):
        h.arrive(cls)
    assert [a.message for a in of(SendAttempt, h.end(1, AttemptResult.OK))] == [
        2,
        3,
    ]  # one call; the window is two wide
    h.do(AttemptEnded(2, 0, 100, result, 100_000, message_ended=True), after=100_000)
    h.end(3, AttemptResult.OK, after=0)
    assert sum(len(of(SendAttempt, h.arrive())) for _ in range(4)) >= 3  # and three wide after its success


def test_bundle_that_is_lost_as_a_whole_is_judged():
    h = Host(kinds=(DestinationKind("k", max_batch_size=2),))
    h.arrive()
    for _ in range(2):
        h.arrive()
    h.end(1, AttemptResult.OK)
    h.end(2, AttemptResult.TIMEOUT, after=2 * S)
    h.end(3, AttemptResult.TIMEOUT, after=0)
    assert h.policy.state.endpoints[100].failure_rate > 0


def test_calls_for_messages_that_are_over_use_up_no_pace():
    h = Host()
    h.arrive()
    h.end(1, AttemptResult.OK)
    h.arrive()
    h.end(
        2, AttemptResult.REJECTED, told=S
    )  # from here on the destination is paced, to a call in two seconds
    h.idle(4)
    for n in range(3, 7):
        assert [a.message for a in of(SendAttempt, h.arrive())] == [n]
        h.do(AttemptEnded(n, 0, 100, AttemptResult.NOT_ATTEMPTED, 1000, message_ended=True), after=S // 100)


def paced(h, limit):
    """How many calls go within a second after the limit was told, with twelve more messages to send."""
    acts, sent = h.do(LoadReportReceived(100, (0.5, limit)), after=S), 0
    for _ in range(12):
        acts += h.arrive()
    for _ in range(40):
        sends = of(SendAttempt, acts)
        sent += len(sends)
        acts = h.do(
            *(AttemptEnded(a.message, 0, 100, AttemptResult.OK, 20_000, True) for a in sends), after=S // 40
        )
    return sent


def test_pace_follows_the_limit_that_answers_tell():
    h = Host(instance_count=2, load_report_fields=("x0", "x1"))
    assert paced(h, 100.0) == 12
    few = paced(h, 4.0)
    assert few < 9  # this courier's part is two a second, and success had doubled its pace
    assert paced(h, 100.0) == 12 + 12 - few  # and at once when it is back


def test_a_report_of_no_limit_sets_no_pace():
    h = Host(load_report_fields=("x0", "x1"))
    h.do(
        LoadReportReceived(100, (0.0, 0.0)), LoadReportReceived(100, ()), LoadReportReceived(999, (0.5, 3.0))
    )
    assert h.policy.state.endpoints[100].group.rate_limit_per_s == 0.0


def test_unsafe_call_is_waited_for_to_its_aim_unless_slots_are_short():
    h = Host(endpoints=1, call_slots=4)
    h.do(EndpointListReceived(EndpointListForm.DELTA, (EndpointEntry(200, 2, EndpointState.READY),)))
    for _ in range(8):  # both answer within 100 ms
        for dest, endpoint in ((1, 100), (2, 200)):
            h.arrive(cls=2, dest=dest)
            h.end(h.next, AttemptResult.OK, endpoint=endpoint)
    waits = [a.timeout_us for dest in (1, 1, 1, 2) for a in of(SendAttempt, h.arrive(cls=2, dest=dest))]
    assert len(waits) == 4 and waits[:3] == [S] * 3 and waits[3] < S // 2


def answered(h, result, turns):
    """How many calls go in so many turns of 25 ms with a message each; all end with that result."""
    acts, sent, over = [], 0, result is AttemptResult.OK
    while turns > 0 or of(SendAttempt, acts):  # also the calls of the last turn get their outcome
        sends = of(SendAttempt, acts)
        sent += len(sends)
        ended = [AttemptEnded(a.message, h.tries[a.message], 100, result, 1000, over) for a in sends]
        acts = h.do(*ended) + (h.arrive(after=S // 40) if turns > 0 else [])
        turns -= 1
    return sent


def test_slow_start_goes_by_the_told_limit_where_nothing_was_seen_before_the_outage():
    h = Host(instance_count=2, load_report_fields=("x0", "x1"), slow_start_share=0.3)
    assert (
        3 < answered(h, AttemptResult.CONNECT_FAILED, 120) < 40
    )  # restarted in the middle of it: trials only
    answered(h, AttemptResult.OK, 120)
    h.do(LoadReportReceived(100, (1.0, 40.0)))
    assert h.policy.state.endpoints[100].circuit.slow_start_since_us >= 0
    assert 10 < answered(h, AttemptResult.OK, 80) < 40  # in two seconds, a cold part of twenty a second

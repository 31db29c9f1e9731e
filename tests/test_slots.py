"""Where slots are short: which calls get them, and what makes a call hold its slot for longer."""

from test_brain import CLASSES, Host, S, of

from message_relay.model import (
    AttemptEnded,
    EndpointsListed,
    EndpointState,
    Kind,
    ListEntry,
    ListForm,
    MessageArrived,
    MessageClass,
    Result,
    Send,
)


def resets(h, kept, share):
    """Calls of which each so-manieth is reset, the others are answered."""
    ep = h.courier.endpoints[100]
    for n in range(2 * share):
        ep.idle = [h.now - S // 10] if kept else []
        ep.c.open, ep.c.ramp_from, ep.c.trial, ep.c.bad, ep.dirty = False, -1, None, 0.0, 0.0
        h.arrive(cls=2)
        ok = n % share > 0
        h.do(
            AttemptEnded(h.next, 0, 100, Result.OK if ok else Result.RESET, 100_000, ok, fresh=not kept),
            after=100_000,
        )
        h.idle(1)


def asks_for_new(h):
    h.courier.endpoints[100].idle = [h.now - S // 10]
    return of(Send, h.arrive(cls=2))[0].fresh


def test_unsafe_messages_ask_for_new_connections_only_where_those_are_reset_less_often():
    h = Host()
    for _ in range(4):
        resets(h, True, 6)
    assert asks_for_new(h) and h.courier.health.keep < 10 * S
    h = Host()
    for _ in range(4):
        resets(h, False, 6)
        resets(h, True, 6)
    assert not asks_for_new(h) and h.courier.health.keep == 10 * S


def call(h, kept, result=Result.TIMEOUT):
    """One call, on a connection that had been idle for a while or on a new one."""
    ep = h.courier.endpoints[100]
    ep.idle = [h.now - (4 * S if result is Result.TIMEOUT else S // 10)] if kept else []
    ep.c.open, ep.c.ramp_from, ep.c.trial, ep.c.bad, ep.dirty = False, -1, None, 0.0, 0.0
    sent = of(Send, h.arrive(cls=2))
    h.do(AttemptEnded(h.next, 0, 100, result, 100_000, result is Result.OK, fresh=not kept), after=100_000)
    h.idle(1)
    return sent


def test_calls_that_go_unanswered_on_new_connections_too_do_not_shorten_how_long_one_is_kept():
    h = Host()
    for _ in range(40):
        for kept in (True, False):
            assert call(h, kept)
            for _ in range(4):
                call(h, kept, Result.OK)
    assert h.courier.health.keep == 10 * S


def test_calls_that_go_unanswered_on_kept_connections_alone_do():
    h = Host()
    for _ in range(6):
        call(h, True)
        call(h, False, Result.OK)
    assert h.courier.health.keep < 4 * S


def first(batch, messages):
    """A slot comes free for a dear message for 2, and some for 1 that take `batch` in one call: which go?"""
    classes = (*CLASSES, MessageClass("dear", aim_us=S, deadline_us=10 * S, worth=20.0))
    h = Host(slots=1, classes=classes, kinds=(Kind("bundles", batch=batch), Kind("single")))
    h.do(
        EndpointsListed(
            ListForm.FULL,
            tuple(ListEntry(100 * n, n, EndpointState.READY, kind=int(n > 1)) for n in (1, 2, 3)),
        )
    )
    h.arrive(dest=3)
    h.do(
        MessageArrived(50, 3, 2, h.now + 10 * S),
        *(MessageArrived(60 + n, 0, 1, h.now + 10 * S) for n in range(messages)),
    )
    acts = h.do(AttemptEnded(1, 0, 300, Result.OK, 100_000, True), after=100_000)
    return [a.message for a in of(Send, acts)]


def test_a_full_bundle_is_ranked_by_all_that_travel_in_it():
    assert first(10, 10) == list(range(60, 70))


def test_one_for_one_and_against_a_bundle_that_may_grow_the_dear_message_goes_first():
    assert first(1, 10) == first(10, 9) == [50]


def test_a_lane_thought_dear_for_a_lost_call_gets_a_slot_again_after_a_while():
    def goes_first(pause):
        h = Host(slots=1, kinds=(Kind("k"),))
        h.do(
            EndpointsListed(
                ListForm.FULL, tuple(ListEntry(100 * n, n, EndpointState.READY) for n in (1, 2, 3))
            )
        )
        for dest in (1, 2):
            h.arrive(dest=dest)
            h.end(h.next, Result.OK, endpoint=100 * dest)
        h.arrive(cls=2, dest=2)
        h.end(h.next, Result.TIMEOUT, latency=4 * S, endpoint=200)  # one lost call; others are answered
        busy = h.next + 1
        h.arrive(dest=3, after=int(pause * S))
        for dest in (2, 1):
            h.arrive(dest=dest)
        return of(Send, h.end(busy, Result.OK, endpoint=300))[0].endpoint

    assert goes_first(0.1) == 100
    assert goes_first(3) == 200

"""Where slots are short: which calls get them, and what makes a call hold its slot for longer."""

from test_brain import CLASSES, Host, S, of

from message_relay.model import (
    AttemptEnded,
    EndpointListReceived,
    EndpointState,
    DestinationKind,
    EndpointEntry,
    EndpointListForm,
    MessageSubmitted,
    MessageClass,
    AttemptResult,
    SendAttempt,
)


def resets(h, kept, share):
    """Calls of which each so-manieth is reset, the others are answered."""
    ep = h.policy.state.endpoints[100]
    for n in range(2 * share):
        ep.idle_since_us = [h.now - S // 10] if kept else []
        (
            ep.circuit.open,
            ep.circuit.slow_start_since_us,
            ep.circuit.half_open_call,
            ep.circuit.failure_rate,
            ep.ambiguous_failure_rate,
        ) = False, -1, None, 0.0, 0.0
        h.arrive(cls=2)
        ok = n % share > 0
        h.do(
            AttemptEnded(
                h.next,
                0,
                100,
                AttemptResult.OK if ok else AttemptResult.RESET,
                100_000,
                ok,
                new_connection=not kept,
            ),
            after=100_000,
        )
        h.idle(1)


def asks_for_new(h):
    h.policy.state.endpoints[100].idle_since_us = [h.now - S // 10]
    return of(SendAttempt, h.arrive(cls=2))[0].require_new_connection


def test_unsafe_messages_ask_for_new_connections_only_where_those_are_reset_less_often():
    h = Host()
    for _ in range(4):
        resets(h, True, 6)
    assert asks_for_new(h) and h.policy.state.statistics.idle_reuse_limit_us < 10 * S
    h = Host()
    for _ in range(4):
        resets(h, False, 6)
        resets(h, True, 6)
    assert not asks_for_new(h) and h.policy.state.statistics.idle_reuse_limit_us == 10 * S


def call(h, kept, result=AttemptResult.TIMEOUT):
    """One call, on a connection that had been idle for a while or on a new one."""
    ep = h.policy.state.endpoints[100]
    ep.idle_since_us = [h.now - (4 * S if result is AttemptResult.TIMEOUT else S // 10)] if kept else []
    (
        ep.circuit.open,
        ep.circuit.slow_start_since_us,
        ep.circuit.half_open_call,
        ep.circuit.failure_rate,
        ep.ambiguous_failure_rate,
    ) = False, -1, None, 0.0, 0.0
    sent = of(SendAttempt, h.arrive(cls=2))
    h.do(
        AttemptEnded(h.next, 0, 100, result, 100_000, result is AttemptResult.OK, new_connection=not kept),
        after=100_000,
    )
    h.idle(1)
    return sent


def test_calls_that_go_unanswered_on_new_connections_too_do_not_shorten_how_long_one_is_kept():
    h = Host()
    for _ in range(40):
        for kept in (True, False):
            assert call(h, kept)
            for _ in range(4):
                call(h, kept, AttemptResult.OK)
    assert h.policy.state.statistics.idle_reuse_limit_us == 10 * S


def test_calls_that_go_unanswered_on_kept_connections_alone_do():
    h = Host()
    for _ in range(6):
        call(h, True)
        call(h, False, AttemptResult.OK)
    assert h.policy.state.statistics.idle_reuse_limit_us < 4 * S


def first(batch, messages):
    """A slot comes free for a dear message for 2, and some for 1 that take `batch` in one call: which go?"""
    classes = (
        *CLASSES,
        MessageClass("dear", latency_objective_us=S, deadline_us=10 * S, priority_weight=20.0),
    )
    h = Host(
        call_slots=1,
        classes=classes,
        kinds=(DestinationKind("bundles", max_batch_size=batch), DestinationKind("single")),
    )
    h.do(
        EndpointListReceived(
            EndpointListForm.COMPLETE,
            tuple(EndpointEntry(100 * n, n, EndpointState.READY, kind=int(n > 1)) for n in (1, 2, 3)),
        )
    )
    h.arrive(dest=3)
    h.do(
        MessageSubmitted(50, 3, 2, h.now + 10 * S),
        *(MessageSubmitted(60 + n, 0, 1, h.now + 10 * S) for n in range(messages)),
    )
    acts = h.do(AttemptEnded(1, 0, 300, AttemptResult.OK, 100_000, True), after=100_000)
    return [a.message for a in of(SendAttempt, acts)]


def test_a_full_bundle_is_ranked_by_all_that_travel_in_it():
    assert first(10, 10) == list(range(60, 70))


def test_one_for_one_and_against_a_bundle_that_may_grow_the_dear_message_goes_first():
    assert first(1, 10) == first(10, 9) == [50]


def test_a_lane_thought_dear_for_a_lost_call_gets_a_slot_again_after_a_while():
    def goes_first(pause):
        h = Host(call_slots=1, kinds=(DestinationKind("k"),))
        h.do(
            EndpointListReceived(
                EndpointListForm.COMPLETE,
                tuple(EndpointEntry(100 * n, n, EndpointState.READY) for n in (1, 2, 3)),
            )
        )
        for dest in (1, 2):
            h.arrive(dest=dest)
            h.end(h.next, AttemptResult.OK, endpoint=100 * dest)
        h.arrive(cls=2, dest=2)
        h.end(
            h.next, AttemptResult.TIMEOUT, latency=4 * S, endpoint=200
        )  # one lost call; others are answered
        busy = h.next + 1
        h.arrive(dest=3, after=int(pause * S))
        for dest in (2, 1):
            h.arrive(dest=dest)
        return of(SendAttempt, h.end(busy, AttemptResult.OK, endpoint=300))[0].endpoint

    assert goes_first(0.1) == 100
    assert goes_first(3) == 200

"""What makes a call hold its slot for longer."""

from test_brain import Host, S, of

from hopmill.interface import AttemptEnded, Result, Send


def call(h, kept, result=Result.TIMEOUT):
    """One call, on a connection that had been idle for a while or on a new one."""
    ep = h.courier.endpoints[100]
    ep.idle = [h.now - (4 * S if result is Result.TIMEOUT else S // 10)] if kept else []
    ep.c.open, ep.c.ramp_from, ep.c.trial, ep.c.bad, ep.dirty = False, -1, None, 0.0, 0.0
    h.courier.health.torn = 0.0
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

"""What a restart finds taken on and untried is still tried, in a small fleet and in a large one."""

import asyncio
import signal

import pytest
from loopback import Fleet, bounded
from test_brain import CLASSES, Host, S, of

from message_relay.model import FailMessage, MessageSubmitted, RejectMessage, AttemptResult, SendAttempt

SMALL, LARGE = 2, 200
RESTORED, SLOTS = 30, 4


class Restarted:
    """A courier whose first turn finds messages of before, with new ones that keep coming."""

    def __init__(self, couriers, cls, life, latency, result=AttemptResult.OK, told=0):
        self.h = Host(call_slots=SLOTS, instance_count=couriers, max_open_messages=RESTORED + 4)
        self.latency, self.result, self.told = latency, result, told
        self.tried, self.ended, self.out = [], [], []
        until = self.h.now + life
        before = (MessageSubmitted(n, cls, 1, until, restored=True) for n in range(1, RESTORED + 1))
        self.note(self.h.do(*before))
        self.h.next = 1000

    def note(self, acts):
        self.tried += [a.message for a in of(SendAttempt, acts)]
        self.out += [(self.h.now + self.latency, a.message, a.endpoint) for a in of(SendAttempt, acts)]
        self.ended += [a.message for a in of(RejectMessage, acts) + of(FailMessage, acts)]

    def run(self, seconds, fresh=0):
        for step in range(round(seconds * 20)):
            self.h.now += 50_000
            self.note(self.h.do())
            for due in [x for x in self.out if x[0] <= self.h.now]:
                self.out.remove(due)
                result, told = self.result, self.told
                self.result, self.told = AttemptResult.OK, 0  # only the first is answered otherwise
                self.note(self.h.end(due[1], result, self.latency, 0, due[2], told))
            for _ in range(fresh if step % 2 else 0):
                self.note(self.h.arrive(cls=0))
        return {n for n in self.tried if n <= RESTORED}


@pytest.mark.parametrize("cls", range(len(CLASSES)), ids=[c.name for c in CLASSES])
@pytest.mark.parametrize("couriers", [SMALL, LARGE])
def test_more_than_there_are_slots_are_tried_before_what_comes_anew(couriers, cls):
    assert len(Restarted(couriers, cls, 3 * S, 100_000).run(3, fresh=3)) == RESTORED


@pytest.mark.parametrize("couriers", [SMALL, LARGE])
def test_at_a_slow_destination_what_was_taken_on_before_gets_all_of_its_slots(couriers):
    restarted = Restarted(couriers, 0, 6 * S, 500_000)
    assert len(restarted.run(6, fresh=3)) > RESTORED / 2
    assert sorted(restarted.tried[:RESTORED]) == list(range(1, RESTORED + 1))


@pytest.mark.parametrize("couriers", [SMALL, LARGE])
def test_a_refusal_ends_the_one_that_got_it_and_the_others_are_tried_after_the_wait(couriers):
    restarted = Restarted(couriers, 0, 9 * S, 100_000, AttemptResult.REJECTED, told=300_000)
    assert len(restarted.run(9, fresh=1)) == RESTORED
    assert [n for n in restarted.ended if n <= RESTORED] == [1]


@pytest.mark.parametrize("couriers", [SMALL, LARGE])
def test_what_comes_anew_finds_no_room_before_what_was_taken_on_is_given_up(couriers):
    # Nothing can be sent: the one endpoint is silent. Those that come are turned away, and none of before.
    restarted = Restarted(couriers, 0, 9 * S, 99 * S)
    restarted.run(5, fresh=3)
    assert len([n for n in restarted.ended if n > RESTORED]) > 20
    assert [n for n in restarted.ended if n <= RESTORED] == []


def test_the_one_with_the_least_time_left_goes_first():
    h = Host()
    lives = {1: 9, 2: 4, 3: 6}
    h.do(*(MessageSubmitted(n, 0, 1, h.now + s * S, restored=True) for n, s in lives.items()))
    h.end(2, AttemptResult.OK)
    h.end(3, AttemptResult.OK)
    assert list(h.tries) == [2, 3, 1]


@pytest.mark.parametrize("couriers", [SMALL, LARGE])
@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
def test_each_effect_is_tried_after_a_restart(tmp_path, end, couriers):
    async def run():
        async with Fleet(tmp_path) as fleet:
            fleet.raw["groupSize"] = couriers
            fleet.raw["familyInfo"]["maxCalls"] = SLOTS
            e = await fleet.endpoint("a")
            fleet.discovery.targets["a"]["state"] = "terminating"  # so that nothing is tried before
            client = await fleet.start_process()
            ids = [f"m{n}" for n in range(18)]
            for n, ident in enumerate(ids):
                kind = ("safe", "keyed", "unsafe")[n % 3]
                assert await client.put(ident, kind=kind, key=f"k{n}" * (n % 3 == 1), life=6000) == "+OK"
            fleet.process.send_signal(end)
            await bounded(fleet.process.wait())
            assert e.calls.empty()
            fleet.discovery.targets["a"]["state"] = "in_service"
            await fleet.start_process()
            assert {(await e.call())[1]["x-request-id"] for _ in ids} == set(ids)
            assert fleet.discovery.finals.empty()

    asyncio.run(run())

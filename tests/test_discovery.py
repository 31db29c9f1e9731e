"""What a watch does when discovery turns it away or says little, and a courier without it."""

import itertools
import random

import pytest
from loopback import courier

from message_relay.server.discovery import endpoint_watch as discovery
from message_relay.server.discovery.endpoint_watch import Watch

TOLD_S = 6.0  # the operators' term, not the program's figure


class Loop:
    """A clock that a test moves on, with the one timer that is set."""

    def __init__(self):
        self.now, self.delay, self.due, self.action, self.soon = 0.0, None, 0.0, None, []

    def time(self):
        return self.now

    def call_later(self, delay, action):
        self.delay, self.due, self.action = delay, self.now + delay, action
        return self

    def cancel(self):
        self.delay = self.action = None

    def step(self):
        """What is ready, else on to the timer."""
        if self.soon:
            self.soon.pop(0)()
            return
        action, self.now = self.action, self.due
        self.delay = self.action = None
        action()


def watch(couriers):
    return Watch(Loop(), ("127.0.0.1", 1), 0, lambda change: None, couriers)


def turned_away(w):
    w.headers_received(503, {})
    w.loop.now += w.loop.delay
    return w.loop.delay


def asks_a_second(couriers, seconds=60):
    """Of all couriers together, each turned away whenever it asks."""
    random.seed(7)
    asks = 0
    for _ in range(couriers):
        w, now = watch(couriers), 0.0
        while (now := now + turned_away(w)) < seconds:
            asks += 1
    return asks / seconds


def test_what_a_fleet_asks_of_an_overbooked_discovery_is_bounded_by_what_must_be_told_in_time():
    # Each has to ask within 6 s. It asks no more than twice in that time, however many they are.
    few, many, more = (asks_a_second(n) for n in (5, 40, 400))
    assert 40 / TOLD_S <= many <= 2 * 40 / TOLD_S and 400 / TOLD_S <= more <= 2 * 400 / TOLD_S
    assert few > 6  # a small one waits no longer than it must


@pytest.mark.parametrize("couriers", [230, 1100])
def test_a_whole_fleet_that_is_turned_away_at_once_spreads_what_it_asks(couriers):
    random.seed(7)
    asked = []
    for _ in range(couriers):
        w, now = watch(couriers), 0.0
        while (now := now + turned_away(w)) < 30:
            asked.append(now)
    seconds = [sum(k <= at < k + 1 for at in asked) for k in range(30)]
    assert max(seconds) <= 0.75 * couriers and seconds[0] == 0
    assert max(seconds[5:]) <= 0.4 * couriers and max(seconds[20:]) <= 2 * min(seconds[20:])


@pytest.mark.parametrize(
    "couriers, first, longest", [(1, 0.1, 1.0), (3, 0.15, 1.0), (40, 2.0, 5.6), (230, 3.0, 5.6)]
)
def test_waits_of_a_watch_double_up_to_a_ceiling_with_jitter(couriers, first, longest):
    random.seed(7)
    w = watch(couriers)
    waits = [turned_away(w) for _ in range(200)]
    assert first / 2 <= waits[0] <= first
    assert longest / 2 <= min(waits[10:]) < longest * 0.6 and longest * 0.9 < max(waits) <= longest


class Scripted:
    """A connection to discovery that fares as the script says, the last entry again and again."""

    script, asked, targets = [], [], []

    def __init__(self, loop, address):
        self.loop, self.closed = loop, False
        self.how = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        self.asked.append(loop.now)
        if self.how == "no descriptor":
            raise OSError("no descriptor")

    def connect(self, done):
        if self.how != "never up":
            error = OSError("refused") if self.how == "refused" else None
            self.loop.soon.append(lambda: self.closed or done(error))

    def send_request(self, method, target, headers, body, handler):
        self.targets.append(target)
        if self.how in ("turned away", "with a body"):
            handler.headers_received(503, {})
            if self.how == "with a body":
                handler.body_received(b"busy\n")  # in the same piece
        elif self.how == "reset":
            handler.connection_lost(True)
        elif self.how != "silent":
            handler.headers_received(200, {})
            if self.how in ("cut", "half a line"):
                handler.body_received(b'{"rev":7,"all":tr')
            if self.how == "cut":
                handler.connection_lost(True)
            elif self.how == "good":
                handler.body_received(b'{"rev":9,"all":true,"targets":[]}\n')

    def close(self):
        self.closed = True


FAILURES = (
    "turned away",
    "with a body",
    "refused",
    "silent",
    "cut",
    "never up",
    "headed",
    "half a line",
    "reset",
    "no descriptor",
)


def told_at(monkeypatch, couriers, script, seed, at=0.0, moved=False):
    """Seconds from the start of the newest failed ask, or of a silence, to the next word of discovery."""
    random.seed(seed)
    told, loop = [], Loop()
    loop.now = at
    monkeypatch.setattr(discovery, "HttpConnection", Scripted)
    Scripted.script, Scripted.asked, Scripted.targets = [*script, "good"], [], []
    w = Watch(loop, ("127.0.0.1", 1), 4, told.append, couriers)
    w.move(("127.0.0.1", 2)) if moved else w.open()
    while not told:
        loop.step()
    assert len(Scripted.asked) == len(script) + 1
    return loop, w, told


@pytest.mark.parametrize("couriers", [1, 20, 40, 230, 1100])
@pytest.mark.parametrize("last", FAILURES)
def test_a_change_is_told_6_s_after_discovery_could_be_reached_whatever_failed_before(
    monkeypatch, couriers, last
):
    # It can be reached from just after the newest failed ask began, and then answers at once.
    for seed, before in enumerate(itertools.product(FAILURES, repeat=2)):
        loop, w, _ = told_at(monkeypatch, couriers, [*before, *["turned away"] * (seed % 4), last], seed)
        assert loop.now - Scripted.asked[-2] < TOLD_S and w.rev == 9


@pytest.mark.parametrize("couriers", [1, 20, 40, 230, 1100])
@pytest.mark.parametrize("failed", FAILURES)
def test_what_a_silent_watch_misses_is_told_in_6_s_also_when_the_next_ask_fails(
    monkeypatch, couriers, failed
):
    for seed in range(50):
        loop, w, told = told_at(monkeypatch, couriers, [], seed)
        silent = loop.now
        Scripted.script = [failed, "good"]
        while len(told) < 2:
            loop.step()
        assert loop.now - silent < TOLD_S


@pytest.mark.parametrize("couriers", [1, 40, 230])
@pytest.mark.parametrize("failed", FAILURES)
def test_after_sighup_one_ask_that_fails_leaves_time_for_the_next(monkeypatch, couriers, failed):
    for seed in range(50):
        loop, _, _ = told_at(monkeypatch, couriers, [failed], seed, at=50.0, moved=True)
        assert loop.now - 50.0 < 4.0


def test_the_body_of_a_refused_watch_is_no_list(monkeypatch):
    told_at(monkeypatch, 40, ["with a body"], 3)
    assert [t.rpartition("=")[2] for t in Scripted.targets] == ["4", "4"]  # what is held is not thrown away


def test_a_first_word_of_the_list_ends_the_long_waits():
    w = watch(40)
    for _ in range(10):
        turned_away(w)
    w.headers_received(200, {})
    w.body_received(b'{"rev":5,"all":false,"targets":[]}\n')
    assert w.rev == 5 and turned_away(w) <= 2.0


@pytest.mark.parametrize(
    "line",
    [b"{", b"[]", b'{"rev":"x","targets":[]}', b'{"rev":6,"targets":{}}', b"null", b'{"rev":6}', b"\xff\xfe"],
)
def test_a_line_that_cannot_be_read_is_followed_by_a_wait_and_a_whole_list(line):
    w = watch(40)
    w.rev = 5
    w.headers_received(200, {})
    w.body_received(line + b"\n")
    assert w.rev == 0 and w.loop.delay >= 0.5


def told_by(*pieces, rev=4):
    """What a watch tells of these pieces of an answer, and the watch."""
    told = []
    w = Watch(Loop(), ("127.0.0.1", 1), rev, told.append, 40)
    w.headers_received(200, {})
    for piece in pieces:
        w.body_received(piece)
    return told, w


def test_a_list_that_is_cut_is_not_told_and_asked_for_again_from_the_version_held():
    told, w = told_by(b'{"rev":5,"all":false,"targets":[]}\n', b'{"rev":6,"all":true,"targets":[{"uid":"a"')
    w.connection_lost(True)
    assert [c["rev"] for c in told] == [5] and w.rev == 5 and w.loop.delay >= 0.5


def test_a_list_that_comes_in_pieces_is_told_whole():
    told, w = told_by(b'{"rev":6,"all":fal', b'se,"targets":[', b"]}\n\n\n")
    assert told == [{"rev": 6, "all": False, "targets": []}] and w.rev == 6


@courier
async def test_a_list_that_is_repeated_or_older_changes_nothing_that_serves(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    whole = fleet.discovery.whole()
    for n, change in enumerate((whole, whole, {**whole, "rev": 0})):
        fleet.host.listed(change)
        assert await client.put(f"m{n}") == "+OK"
        assert (await e.call())[1]["x-request-id"] == f"m{n}"
    assert len(fleet.host.entries) == 1 and len(fleet.host.policy.state.endpoints) == 1


def without_discovery(how):
    async def silent(reader, writer):
        await reader.read()

    async def prepare(fleet):
        if how == "silent":
            fleet.discovery.serve = silent
        else:
            await fleet.discovery.stop()

    return prepare


@pytest.mark.parametrize("how", ["silent", "gone"])
def test_a_courier_starts_and_starts_again_without_discovery(tmp_path, how):
    @courier
    async def run(fleet):
        e = await fleet.endpoint("a", "hang")
        await without_discovery(how)(fleet)
        client = await fleet.inside()
        assert await client.put("first") == "+OK"
        await e.call()
        fleet.host.close()  # as SIGKILL leaves it: what is open is in the journal alone
        client = await fleet.inside()
        assert await client.put("second") == "+OK"
        got = set()
        while len(got) < 2:
            got.add((await e.call())[1]["x-request-id"])
        assert got == {"first", "second"}
        assert not fleet.host.heard.is_set()

    run(tmp_path)


@pytest.mark.parametrize("broken", ["ended", "reset", "a line that can't be read", "not up"])
def test_a_watch_that_broke_is_opened_again_in_time_in_a_fleet_of_any_size(broken):
    # What it misses counts as told 6 s later, 4 s after SIGHUP; 200 couriers waited up to 10 s at first.
    random.seed(7)
    w, waits = watch(200), []
    for _ in range(40):
        if broken == "ended":
            w.response_complete(False)
        elif broken == "reset":
            w.connection_lost(True)
        elif broken == "not up":
            w._connected(OSError("refused"))
        else:
            w._line(b'{"rev": 4, "targets"')
        waits.append(w.loop.delay)
    assert 0.5 <= waits[0] <= 2.0 and max(waits) <= 3.0

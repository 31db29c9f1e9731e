"""What a watch does when discovery turns it away or says little, and a courier without it."""

import random

import pytest
from loopback import courier

from hopmill.net.discovery import Watch


class Loop:
    """Runs nothing: keeps the one timer that is set."""

    def __init__(self):
        self.delay = None

    def call_later(self, delay, action):
        self.delay = delay
        return self

    def cancel(self):
        self.delay = None


def watch(couriers):
    return Watch(Loop(), ("127.0.0.1", 1), 0, lambda change: None, couriers)


def turned_away(w):
    w.head(503, {})
    return w.loop.delay


def asks_a_second(couriers, seconds=600):
    """Of all couriers together, each turned away whenever it asks."""
    random.seed(7)
    asks = 0
    for _ in range(couriers):
        w, now = watch(couriers), 0.0
        while (now := now + turned_away(w)) < seconds:
            asks += 1
    return asks / seconds


def test_what_a_fleet_asks_of_an_overbooked_discovery_does_not_grow_with_the_fleet():
    few, many, more = (asks_a_second(n) for n in (5, 40, 400))
    assert many <= 12 and more <= 12  # 65 and 650 with the waits of a small one
    assert few > 6  # a small one waits no longer than it must


@pytest.mark.parametrize("couriers, first, longest", [(1, 0.1, 1.0), (3, 0.15, 1.0), (40, 2.0, 8.0)])
def test_waits_of_a_watch_double_up_to_a_ceiling_with_jitter(couriers, first, longest):
    random.seed(7)
    w = watch(couriers)
    waits = [turned_away(w) for _ in range(200)]
    assert first / 4 <= waits[0] <= first
    assert longest / 4 <= min(waits[10:]) < longest / 2 and longest * 0.9 < max(waits) <= longest


def test_a_first_word_of_the_list_ends_the_long_waits():
    w = watch(40)
    for _ in range(10):
        turned_away(w)
    w.data(b'{"rev":5,"all":false,"targets":[]}\n')
    assert w.rev == 5 and turned_away(w) <= 2.0


@pytest.mark.parametrize("line", [b"{", b"[]", b'{"rev":"x","targets":[]}', b'{"rev":6,"targets":{}}',
                                  b"null", b'{"rev":6}', b"\xff\xfe"])
def test_a_line_that_cannot_be_read_is_followed_by_a_wait_and_a_whole_list(line):
    w = watch(40)
    w.rev = 5
    w.data(line + b"\n")
    assert w.rev == 0 and w.loop.delay >= 0.5


def told_by(*pieces, rev=4):
    """What a watch tells of these pieces of an answer, and the watch."""
    told = []
    w = Watch(Loop(), ("127.0.0.1", 1), rev, told.append, 40)
    for piece in pieces:
        w.data(piece)
    return told, w


def test_a_list_that_is_cut_is_not_told_and_asked_for_again_from_the_version_held():
    told, w = told_by(b'{"rev":5,"all":false,"targets":[]}\n', b'{"rev":6,"all":true,"targets":[{"uid":"a"')
    w.lost(True)
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
    assert len(fleet.host.entries) == 1 and len(fleet.host.courier.endpoints) == 1


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
            w.end(False)
        elif broken == "reset":
            w.lost(True)
        elif broken == "not up":
            w._connected(OSError("refused"))
        else:
            w._line(b'{"rev": 4, "targets"')
        waits.append(w.loop.delay)
    assert 0.5 <= waits[0] <= 2.0 and max(waits) <= 4.0
    assert turned_away(w) > 2.0  # one that is overbooked is spared as before

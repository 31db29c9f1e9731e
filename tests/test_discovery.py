"""What a watch does when discovery turns it away; no sockets and no clock needed."""

import random

import pytest

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

"""Data of the build e83b7b3: the journal, the frames of a hot restart and the policy's exported state."""

import asyncio
import gzip
import json
import pathlib
import socket
import struct

import msgpack
import pytest
from loopback import Client, Fleet, bounded
from policy_scenarios import CLASSES, SCENARIOS, play

from message_relay import model as i
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy_snapshot import PolicySnapshot, capture
from message_relay.server import hot_restart as h
from message_relay.server.journal import journal as state
from message_relay.server.configuration import load
from message_relay.server.relay_server import Host
from message_relay.server.journal.journal import Held, Journal

FIXTURES = pathlib.Path(__file__).parent / "fixtures"
T = 1_800_000_000.0  # seconds; the clock of the process that wrote the journal


@pytest.fixture
def clock(monkeypatch):
    now = [T]
    monkeypatch.setattr(state.time, "time", lambda: now[0])
    return now


def restored(folder, name, limit=1_000_000):
    (folder / "messages.journal").write_bytes((FIXTURES / name).read_bytes())
    return Journal(folder, limit, 9.0).acquire()


def test_a_journal_of_the_earlier_build_is_restored_field_by_field(tmp_path, clock):
    journal = restored(tmp_path, "journal-e83b7b3.bin")
    assert list(journal.held) == [3, 4, 5, 6, 7, 8, 9, 10, 11, 14]
    m = journal.held
    assert (m[3].id, m[3].cls, m[3].tenant, m[3].dest) == ("waiting", 0, 1, 3_000_000_000)
    assert (m[3].key, m[3].until, m[3].resubmitted) == ("", T + 12.25, False)
    assert (m[3].body, m[3].order) == (bytes(range(256)), 0xFFFF_FFFF_FFFF_FFFF)
    assert (m[3].tries, m[3].may_have_run_at, m[3].may_have_run_zone, m[3].status) == (0, 0.0, -1, "")
    assert (m[4].cls, m[4].key, m[4].resubmitted, m[4].body) == (1, "key-attempted", True, b"body")
    attempts = {n: (x.tries, x.trying_at, x.trying_zone, x.ran_at, x.ran_zone) for n, x in m.items()}
    assert attempts == {
        3: (0, 0.0, -1, 0.0, -1),
        4: (1, T + 0.25, 1, 0.0, -1),
        5: (2, T + 1.0, 0, T + 0.25, 1),
        6: (1, 0.0, 1, 0.0, -1),
        7: (2, 0.0, 0, T + 0.5, 1),
        8: (1, T + 1.0, 2, 0.0, -1),
        9: (1, T + 1.0, 2, 0.0, -1),
        10: (1, T + 1.0, 0, 0.0, -1),
        11: (0, 0.0, -1, 0.0, -1),
        14: (0, 0.0, -1, T - 3.0, 2),
    }
    ran = {n: (x.may_have_run_at, x.may_have_run_zone) for n, x in m.items() if x.may_have_run_at}
    assert ran == {
        4: (T + 0.25, 1),
        5: (T + 0.25, 1),
        7: (T + 0.5, 1),
        8: (T + 1.0, 2),
        9: (T + 1.0, 2),
        10: (T + 1.0, 0),
        14: (T - 3.0, 2),
    }
    assert (m[10].status, m[10].again_ms, m[10].body) == ("deferred", 1500, b"")
    assert (m[11].status, m[11].again_ms) == ("undeliverable", 0)
    assert [n for n, x in m.items() if x.status] == [10, 11]
    assert journal.ids == {x.id: n for n, x in m.items()}
    assert (journal.open, journal.last, journal.open_bytes) == (8, 15, 2031)
    assert journal.open_keys == {"key-attempted": 4, "key-twice": 5, "key-missed": 6, "key-known": 14}
    assert list(journal.cordoned) == ["host-b", "host-c"]
    assert {x: journal.over.known[x][2] for x in journal.over.known} == {
        "done-early": T + 7.0,
        "zone-unknown": T + 62.0,
        "told-a": T + 32.0,
        "told-b": T + 33.0,
        "delivered": T + 42.0,
    }
    assert journal.keys.known == {
        "key-done": (T - 1.5, 2, T + 9.5),
        "key-nozone": (T - 0.5, -1, T + 10.5),
        "key-attempted": (T + 0.25, 1, T + 11.25),
        "key-twice": (T + 0.25, 1, T + 11.25),
        "key-owed": (T + 1.0, 0, T + 12.0),
    }
    whole = (FIXTURES / "journal-e83b7b3.bin").read_bytes()
    assert (tmp_path / "messages.journal").read_bytes() == whole[:1860]  # the torn tail is cut off
    journal.close()


def test_a_journal_of_the_earlier_build_is_compacted_byte_for_byte(tmp_path, clock):
    journal = restored(tmp_path, "journal-e83b7b3.bin")
    clock[0] = T + 2
    journal.compact()
    journal.close()
    compacted = (tmp_path / "messages.journal").read_bytes()
    assert compacted == (FIXTURES / "journal-e83b7b3-compacted.bin").read_bytes()


def test_records_of_still_older_builds_are_read(tmp_path, clock):
    journal = restored(tmp_path, "journal-older.bin")
    m = journal.held[1]
    assert (m.id, m.key, m.until, m.body) == ("old-take", "key-old", T + 60, b"body")
    assert (m.tries, m.may_have_run_at, m.may_have_run_zone) == (1, T + 0.5, -1)
    assert journal.keys.known == {"key-plain": (T - 1.0, -1, T + 10.0), "key-old": (T + 0.5, -1, T + 11.5)}
    assert "old-id" in journal.over
    journal.close()


def message(number, ident, key="", cls=0, body=b"body", **more):
    given = {"tenant": 0, "dest": 7, "until": T + 60, "resubmitted": False, **more}
    until = given.pop("until")
    return Held(
        number,
        ident,
        cls,
        given.pop("tenant"),
        given.pop("dest"),
        key,
        until,
        given.pop("resubmitted"),
        body,
        **given,
    )


def test_records_are_written_byte_for_byte(tmp_path, clock):
    j = Journal(tmp_path, 1_000_000, 9.0).acquire()
    j.take(message(1, "done-early", "key-done", cls=1, until=T + 5))
    j.attempt([1], T - 1.5, 2)
    j.done(1)
    j.take(message(2, "zone-unknown", "key-nozone", cls=1))
    j.attempt([2], T - 0.5)
    j.done(2)
    j.cordon("host-a", True)
    j.cordon("host-b", True)
    j.compact()
    everything = bytes(range(256))
    j.take(
        message(3, "waiting", body=everything, tenant=1, dest=3_000_000_000, order=2**64 - 1, until=T + 12.25)
    )
    j.take(message(4, "attempted", "key-attempted", cls=1, resubmitted=True))
    j.attempt([4], T + 0.25, 1)
    j.take(message(5, "twice", "key-twice", cls=1))
    j.attempt([5], T + 0.25, 1)
    clock[0] = T + 1
    j.attempt([5], T + 1.0, 0)
    j.take(message(6, "missed", "key-missed", cls=1))
    j.attempt([6], T + 1.0, 1)
    j.missed(6)
    j.take(message(7, "missed-second"))
    j.attempt([7], T + 0.5, 1)
    j.attempt([7], T + 1.0, 0)
    j.missed(7)
    j.take(message(8, "batched-a"))
    j.take(message(9, "batched-b"))
    j.attempt([8, 9], T + 1.0, 2)
    j.take(message(10, "owed-deferred", "key-owed", cls=1))
    j.attempt([10], T + 1.0, 0)
    j.final(10, "deferred", 1500)
    j.take(message(11, "owed-undeliverable"))
    j.final(11, "undeliverable", 0)
    j.take(message(12, "told-a", until=T + 30))
    j.final(12, "deferred", 0)
    j.take(message(13, "told-b", until=T + 31))
    j.final(13, "undeliverable", 0)
    j.told([12, 13])
    j.take(message(14, "known-key", "key-known", cls=1, ran_at=T - 3.0, ran_zone=2))
    j.take(message(15, "delivered", until=T + 40))
    j.attempt([15], T + 1.0, 0)
    j.done(15)
    j.cordon("host-a", False)
    j.cordon("host-c", True)
    j.close()
    expected = (FIXTURES / "journal-e83b7b3.bin").read_bytes()[:1860]
    assert (tmp_path / "messages.journal").read_bytes() == expected


# The policy: the same actions on the same days, and the same state to hand on.

IDEMPOTENCY = {
    "safe": i.Idempotency.IDEMPOTENT,
    "keyed": i.Idempotency.KEYED,
    "unsafe": i.Idempotency.NON_IDEMPOTENT,
}
STATES = {
    "ready": i.EndpointState.READY,
    "draining": i.EndpointState.DRAINING,
    "removed": i.EndpointState.REMOVED,
}
FORMS = {
    "complete": i.EndpointListForm.COMPLETE,
    "delta": i.EndpointListForm.DELTA,
    "cached": i.EndpointListForm.CACHED,
    "failed": i.EndpointListForm.FAILED,
}


def message_class(c):
    idempotency = IDEMPOTENCY[c["idempotency"]]
    return i.MessageClass(
        c["name"],
        c["objective"],
        c["deadline"],
        idempotency,
        c["weight"],
        c["late_share"],
        i.KeyScope(c["scope"]),
        c["window"],
        c["ordered"],
    )


def settings_of(s):
    return i.Settings(
        classes=tuple(map(message_class, CLASSES)),
        call_slots=s["slots"],
        max_open_messages=s["open"],
        kinds=tuple(i.DestinationKind(f"k{n}", apart, batch) for n, (apart, batch) in enumerate(s["kinds"])),
        tenants=tuple(i.Tenant(f"t{n}", share, quota) for n, (share, quota) in enumerate(s["tenants"])),
        instance_count=s["instances"],
        max_attempts=s["max_attempts"],
        turn_interval_us=5000,
        max_retry_after_us=s["retry_after"],
        clients_mark_retries=s["clients_mark_retries"],
        slow_start_share=s["first_share"],
        slow_start_us=s["slow_start"],
        overload_factor=s["multiple"],
        overload_window_us=s.get("window", 1_000_000),
        order_key_pause_us=s["key_rest"],
        endpoint_list_on_request=s.get("on_request", False),
        rate_limits_advertised=s.get("rates_advertised", False),
        load_report_fields=s.get("report", ()),
        over_quota_weight=s.get("over_quota_weight", 1.0),
        late_weight_halves=s.get("halves", False),
        zone_costs=s.get("zone_costs", ()),
        rejected_call_cost=s.get("rejected_cost", 0.0),
    )


def event_of(event):
    match event:
        case "list", form, entries:
            listed = (
                i.EndpointEntry(e, d, STATES[s], rate, kind, zone) for e, d, s, rate, kind, zone in entries
            )
            return i.EndpointListReceived(FORMS[form], tuple(listed))
        case "message", *values:
            return i.MessageSubmitted(*values)
        case "load", endpoint, values:
            return i.LoadReportReceived(endpoint, values)
        case "response_started", *values:
            return i.ResponseStarted(*values)
        case "ended", message, attempt, endpoint, result, *values:
            return i.AttemptEnded(message, attempt, endpoint, i.AttemptResult(result), *values)
        case "cordon", endpoint, on:
            return i.EndpointCordoned(endpoint, on)
        case "withdrawn", message:
            return i.MessageWithdrawn(message)
        case "shutdown", until:
            return i.ShutdownScheduled(until)
        case "timer", token:
            return i.TimerFired(token)
    raise ValueError(event)


def action_of(action):
    match action:
        case i.SendAttempt():
            timeouts = (action.timeout_us, action.new_connection_timeout_us)
            return ["send", action.message, action.endpoint, *timeouts, action.require_new_connection]
        case i.RejectMessage():
            return ["reject", action.message, action.retry_after_us]
        case i.FailMessage():
            return ["fail", action.message]
        case i.SetTimer():
            return ["timer", action.delay_us, action.token]
        case i.CloseIdleConnections():
            return ["close_idle", action.endpoint]
        case i.SubscribeEndpointList():
            return ["subscribe", action.active]
    raise ValueError(action)


class Adapter:
    """The policy of this build, in the terms of `policy_scenarios`."""

    def __init__(self, scenario, seed):
        self.settings = settings_of(scenario)
        self.policy = DeliveryPolicy(self.settings, seed)

    def _actions(self, now, events):
        actions = self.policy.handle(now, events)
        return [action_of(action) for action in actions if not isinstance(action, i.LogMessage)]

    def handle(self, now, events):
        return self._actions(now, [event_of(event) for event in events])

    def inspect(self):
        return [
            ["avoided", *sorted(self.policy.avoided_endpoints())],
            ["come_back", self.policy.come_back_us()],
        ]

    def export(self):
        return msgpack.packb(capture(self.policy.state).to_wire())

    def replace(self, snapshot, numbers, seed, now, events):
        self.policy = DeliveryPolicy(self.settings, seed)
        inherited = i.StateImported(
            PolicySnapshot.from_wire(msgpack.unpackb(snapshot, strict_map_key=False)), numbers
        )
        return self._actions(now, [*[event_of(event) for event in events], inherited])


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_decisions_and_exported_state_are_those_of_the_earlier_build(scenario):
    turns, states = play(scenario, 1, Adapter)
    recorded = (
        gzip.decompress((FIXTURES / f"policy-{scenario}.actions.gz").read_bytes()).decode().splitlines()
    )
    assert len(turns) == len(recorded) > 900
    for number, (turn, line) in enumerate(zip(turns, recorded, strict=True)):
        assert turn == json.loads(line), f"turn {number}"
    for number, exported in enumerate(states, 1):
        assert exported == (FIXTURES / f"policy-{scenario}.{number}.msgpack").read_bytes()


# A hot restart from a process of the earlier build.

LENGTH = struct.Struct(">I")


def recorded_frames():
    data, at, frames = (FIXTURES / "hot-restart-e83b7b3.frames").read_bytes(), 0, []
    while at < len(data):
        end = at + LENGTH.size + LENGTH.unpack_from(data, at)[0]
        frames.append(data[at:end])
        at = end
    return frames


def unpacked(frame):
    return msgpack.unpackb(frame[LENGTH.size :], strict_map_key=False)


class EarlierProcess:
    """Plays the recorded frames to the process that asks, with descriptors of this test's own sockets."""

    def __init__(self, path, journal):
        self.journal = journal
        self.server = socket.create_server(str(path), family=socket.AF_UNIX)
        self.listener = socket.create_server(("127.0.0.1", 0))
        pairs = [socket.create_connection(self.listener.getsockname()) for _ in range(2)]
        self.clients, self.accepted = pairs, [self.listener.accept()[0] for _ in pairs]
        for sock in (self.server, *self.clients):
            sock.setblocking(False)
        self.asked, self.owned = [], asyncio.Event()

    async def play(self):
        loop = asyncio.get_running_loop()
        channel, _ = await loop.sock_accept(self.server)
        self.asked.append(unpacked(await loop.sock_recv(channel, 1000)))
        state, clients, end, *self.reports = recorded_frames()
        socket.send_fds(channel, [state], [self.listener.fileno()])
        socket.send_fds(channel, [clients], [s.fileno() for s in self.accepted])
        channel.send(end)
        self.journal.close()
        self.asked.append(unpacked(await loop.sock_recv(channel, 1000)))
        self.owned.set()
        self.channel = channel

    def close(self):
        for sock in (self.server, self.listener, *self.clients, *self.accepted, self.channel):
            sock.close()


def journal_of_the_earlier_process(folder, now):
    journal = Journal(folder, 3_000_000, 8.0).acquire()
    for number, ident, cls, dest, key in (
        (3, "unsafe-out", 2, 7, ""),
        (4, "waiting", 1, 8, "k8"),
        (5, "batch-out", 0, 9, ""),
    ):
        journal.take(Held(number, ident, cls, 0, dest, key, now + 60, False, b"hello"))
    journal.attempt([3], now, 0)
    journal.attempt([5], now, 0)
    return journal


def test_a_hot_restart_takes_over_all_that_a_process_of_the_earlier_build_hands_on(tmp_path, monkeypatch):
    state_frame, clients_frame, _, *ended = map(unpacked, recorded_frames())
    given = state_frame[1]
    assert [frame[0] for frame in ended] == ["ended", "ended"]

    async def run():
        async with Fleet(tmp_path) as fleet:
            fleet.discovery.targets = {target["uid"]: target for target in given["targets"]}
            monkeypatch.setattr(Host, "clock", lambda self: 342_400_000)
            loop, path = asyncio.get_running_loop(), tmp_path / "restart.sock"
            earlier = EarlierProcess(
                path, journal_of_the_earlier_process(tmp_path / "state", state.time.time())
            )
            playing = asyncio.ensure_future(earlier.play())
            fleet.host = new = Host(loop, load(fleet.env()))
            new.warm()
            await bounded(h.take_over(loop, new, path))
            await bounded(playing)
            assert earlier.asked == [["take", 3], ["owned"]]
            policy = new.policy.state
            assert {m.id: (m.attempts, m.in_flight) for m in policy.messages.values()} == {
                3: (1, 1),
                4: (0, 0),
                5: (1, 1),
            }
            assert policy.in_flight == 2 and [x.number for x in policy.destinations.values()] == [7, 9, 8, 10]
            assert policy.endpoints[4].cordoned and not policy.endpoints[1].cordoned
            assert (
                policy.endpoints[3].group.retry_after_until_us == 372_341_669
                and policy.endpoints[3].circuit.open
            )
            assert new.waits == {(8, -1): 372_336_378}
            assert new.policy.avoided_endpoints() == [3, 4, 5]
            # What it would hand on now is what it was handed, and so are the requests of its clients.
            states = [client.export_state() for client in new.clients.connections]
            assert states == clients_frame[1]
            exported = json.loads(json.dumps(capture(policy).to_wire()))
            assert exported == json.loads(json.dumps(given["brain"]))
            assert list(capture(policy).to_wire()) == list(given["brain"])
            # One client goes on with the request that it had begun; the outcomes of the calls are heeded.
            rest = Client.message("half", dest=8)[60:]
            await loop.sock_sendall(earlier.clients[1], rest)
            assert await bounded(loop.sock_recv(earlier.clients[1], 100)) == b"+OK\r\n"
            for report in earlier.reports:
                earlier.channel.send(report)
            while new.journal.open > 2 or policy.in_flight:
                await asyncio.sleep(0.001)
            assert [m.id for m in new.journal.held.values()] == ["waiting", "half"]
            assert new.counters.delivered == [1, 0, 1]
            earlier.close()

    asyncio.run(run())


def test_a_hot_restart_hands_on_what_the_earlier_build_would(tmp_path, monkeypatch):
    """The state is taken from the recording and handed on again: the frames are the same to the byte."""
    state_frame, clients_frame, end_frame, *_ = recorded_frames()

    async def run():
        async with Fleet(tmp_path) as fleet:
            given = unpacked(state_frame)[1]
            fleet.discovery.targets = {target["uid"]: target for target in given["targets"]}
            monkeypatch.setattr(Host, "clock", lambda self: 342_400_000)
            loop, path = asyncio.get_running_loop(), tmp_path / "restart.sock"
            earlier = EarlierProcess(
                path, journal_of_the_earlier_process(tmp_path / "state", state.time.time())
            )
            playing = asyncio.ensure_future(earlier.play())
            fleet.host = new = Host(loop, load(fleet.env()))
            new.watch.open = lambda: None  # a later list would bring the ports of this test
            new.warm()
            await bounded(h.take_over(loop, new, path))
            await bounded(playing)
            predecessor = h.Predecessor(loop, new, tmp_path / "second.sock")
            predecessor.listen()
            third = socket.socket(socket.AF_UNIX)
            third.connect(str(tmp_path / "second.sock"))
            third.setblocking(False)
            request = msgpack.packb(["take", 3])
            third.send(LENGTH.pack(len(request)) + request)
            expected, got = state_frame + clients_frame + end_frame, b""
            while len(got) < len(expected):
                got += await bounded(loop.sock_recv(third, 1 << 16))
            assert got == expected
            third.close()
            predecessor.close()
            earlier.close()

    asyncio.run(run())


def test_the_address_of_a_hot_restart_is_that_of_the_earlier_build():
    folder = pathlib.Path("/var/lib/relay")
    assert h.socket_path({"TMPDIR": "/run"}, folder) == pathlib.Path("/run/hopmill-043d51c331fb.sock")

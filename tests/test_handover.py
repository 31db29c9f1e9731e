"""An upgrade: what passes, what each side does when the other dies, and that one process owns at a time."""

import asyncio
import contextlib
import errno
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from loopback import ROOT, Client, Endpoint, answer, bounded, with_fleet, free_port, read_request, settings

from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy_snapshot import capture
from message_relay.model import (
    AttemptEnded,
    Idempotency,
    EndpointCordoned,
    EndpointListReceived,
    EndpointState,
    StateImported,
    EndpointEntry,
    EndpointListForm,
    MessageSubmitted,
    MessageClass,
    RejectMessage,
    AttemptResult,
    SendAttempt,
    Settings,
)
from message_relay.server.hot_restart import channel, new_process, old_process
from message_relay.server.hot_restart.snapshot import VERSION
from message_relay.server.configuration import load_configuration
from message_relay.server.admin_console import CommandRejectedError
from message_relay.server.relay_server import RelayServer
from message_relay.server.journal import Journal, JournalLockedError

READY = EndpointState.READY


# The module


def module(call_slots=4):
    return DeliveryPolicy(
        Settings(
            classes=(
                MessageClass("safe", 800_000, 60_000_000),
                MessageClass("unsafe", 800_000, 60_000_000, Idempotency.NON_IDEMPOTENT),
            ),
            call_slots=call_slots,
            max_open_messages=100,
            max_retry_after_us=1_000_000,
        ),
        seed=1,
    )


def listed(*endpoints):
    return EndpointListReceived(
        EndpointListForm.COMPLETE, tuple(EndpointEntry(e, d, READY) for e, d in endpoints)
    )


def arrived(number, dest=7, cls=0):
    return MessageSubmitted(number, cls, dest, 60_000_000)


def sends(actions):
    return [(a.message, a.endpoint) for a in actions if isinstance(a, SendAttempt)]


def handed(old, now, endpoints, *events, call_slots=4):
    """A module that goes on where the old one was; its numbers of endpoints are others."""
    new = module(call_slots)
    return new, new.handle(now, [*events, StateImported(capture(old.state), endpoints)])


def test_calls_that_are_out_count_against_slots_attempts_and_duplicates():
    old = module(call_slots=1)
    assert sends(old.handle(0, [listed((1, 7)), arrived(1), arrived(2)])) == [(1, 1)]
    new, actions = handed(old, 1000, {1: 50}, listed((50, 7)), call_slots=1)
    assert (
        sends(actions) == [] and new.state.in_flight == 1
    )  # neither the first again nor the second: the slot is taken
    actions = new.handle(2000, [AttemptEnded(1, 0, 50, AttemptResult.OK, 2000, True)])
    assert sends(actions) == [(2, 50)] and new.state.in_flight == 1
    old = module(call_slots=1)
    old.handle(0, [listed((1, 7)), arrived(1, cls=1)])
    new, _ = handed(old, 1000, {1: 50}, listed((50, 7)), call_slots=1)
    actions = new.handle(2000, [AttemptEnded(1, 0, 50, AttemptResult.CANCELLED, 0)])
    assert (
        sends(actions) == [] and new.state.in_flight == 0 and not new.state.messages
    )  # it may have run: not sent again


def test_a_told_wait_passes_also_without_the_endpoint_that_told_it():
    old = module()
    old.handle(0, [listed((1, 7)), arrived(1)])
    old.handle(1000, [AttemptEnded(1, 0, 1, AttemptResult.REJECTED, 900, retry_after_us=2_000_000)])
    new, actions = handed(old, 2000, {1: 50}, listed((60, 7)))
    assert sends(actions) == []
    assert sends(new.handle(10_000, [arrived(2)])) == []
    assert sends(new.handle(1_990_000, [])) == []
    assert sends(new.handle(2_010_000, [])) == [(2, 60)]


def test_pace_windows_and_cold_endpoints_pass():
    old = module()
    old.handle(0, [listed((1, 7), (2, 8)), arrived(1), arrived(2, dest=8), EndpointCordoned(2)])
    old.handle(5000, [AttemptEnded(1, 0, 1, AttemptResult.OK, 4000, True), EndpointCordoned(2, False)])
    old.state.destinations[7].groups[0].rate_limit_per_s = 3.5
    new, _ = handed(old, 6000, {1: 51, 2: 52}, listed((52, 8), (51, 7)))
    a, b = new.state.endpoints[51], new.state.endpoints[52]
    assert (a.group.rate_limit_per_s, a.group.concurrency_window, a.group.latency_mean_us) == (
        3.5,
        old.state.endpoints[1].group.concurrency_window,
        old.state.endpoints[1].group.latency_mean_us,
    )
    assert b.circuit.slow_start_since_us == 5000 and a.circuit.slow_start_since_us == -1


def test_a_call_out_at_an_endpoint_that_is_listed_no_more_is_still_told_of():
    old = module()
    old.handle(0, [listed((1, 7)), arrived(1)])
    new, _ = handed(old, 1000, {1: 50}, listed((60, 8)))
    assert new.state.in_flight == 1
    actions = new.handle(2000, [AttemptEnded(1, 0, 50, AttemptResult.REJECTED, 2000)])
    assert [a.message for a in actions if isinstance(a, RejectMessage)] == [1]
    assert new.state.in_flight == 0 and 50 not in new.state.endpoints


def test_a_wait_before_the_next_try_passes():
    old = module()
    old.handle(0, [listed((1, 7)), arrived(1)])
    old.handle(1000, [AttemptEnded(1, 0, 1, AttemptResult.ERROR, 900)])
    ready_at = old.state.messages[1].ready_at_us
    assert ready_at > 1000
    new, actions = handed(old, 1001, {1: 50}, listed((50, 7)))
    assert sends(actions) == [] and new.state.messages[1].ready_at_us == ready_at
    assert sends(new.handle(ready_at + 1, [])) == [(1, 50)]


# Two hosts in one process: the lock goes by open files, so it holds between them as between processes.


class Gate(Endpoint):
    """Answers once it is let."""

    def __init__(self):
        super().__init__()
        self.open = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            _, path, headers, body = await read_request(reader)
            self.calls.put_nowait((path, headers, body, 0.0))
            await self.open.wait()
            writer.write(answer(200))


class Pair:
    """The process that serves and the one that is started beside it."""

    def __init__(self, fleet):
        self.fleet, self.loop = fleet, asyncio.get_running_loop()
        self.path = fleet.folder / "hand.sock"
        self.old, self.new = fleet.relay, None
        self.predecessor = old_process.HotRestartListener(self.loop, self.old.transfer, self.path)
        self.old.lifecycle.reports_sent = lambda: self.predecessor.reports_sent
        self.predecessor.listen()

    def host(self):
        """One more, as it is before it owns."""
        self.fleet.raw = self.fleet.raw or settings()
        self.new = RelayServer(self.loop, load_configuration(self.fleet.env()))
        self.new.prepare()
        return self.new

    async def upgrade(self):
        new = self.host()
        await bounded(new_process.take_over(self.loop, new, self.path))
        self.fleet.relay = new  # the fleet closes it
        return new

    def close(self):
        self.predecessor.close()
        if self.fleet.relay is not self.old:
            self.old.close()
        elif self.new:
            self.new.close()


def paired(test):
    @with_fleet
    async def run(fleet):
        kept = {}

        async def start():
            kept["client"] = await fleet.start_relay()
            kept["pair"] = Pair(fleet)
            return kept["client"], kept["pair"]

        try:
            await test(fleet, start)
        finally:
            if "pair" in kept:
                kept["pair"].close()

    return run


async def gate(fleet, uid="g", dest=7):
    fleet.endpoints[uid] = await Gate().start()
    fleet.discovery.target(uid, fleet.endpoints[uid].port, dest)
    return fleet.endpoints[uid]


@paired
async def test_an_upgrade_takes_clients_calls_and_cordons_along(fleet, start):
    g = await gate(fleet)
    endpoint_e = await fleet.endpoint("e", dest=8)
    endpoint_f = await fleet.endpoint("f", dest=8)
    client, pair = await start()
    old = pair.old
    half = await Client().open(fleet.relay_port())
    half.writer.write(Client.message("half", dest=8)[:25])
    assert await client.put("u", kind="unsafe") == "+OK"
    await g.call()
    old.operations.cordon("f")
    while not any(c.reader.mid_request for c in old.clients.connections):
        await asyncio.sleep(0.001)
    new = await pair.upgrade()
    assert new.unready_reason() == "" and old.unready_reason() == "handed over"
    assert await client.put("next", dest=8) == "+OK"  # on the connection that it had
    assert await half.send(Client.message("half", dest=8)[25:]) == "+OK"
    assert {(await endpoint_e.call())[1]["x-request-id"] for _ in range(2)} == {"next", "half"}
    assert not old.lifecycle.closed.done() and new.journal.open_count >= 1  # the old one waits for its call
    g.open.set()
    await bounded(old.lifecycle.closed)
    while new.journal.open_count:
        await asyncio.sleep(0.001)
    assert new.metrics.delivered[2] == 1 and g.calls.empty() and endpoint_f.calls.empty()
    assert fleet.discovery.finals.empty() and "f" in new.journal.cordoned


@paired
async def test_the_old_process_dying_midway_equals_a_restart(fleet, start):
    g, k = await gate(fleet), await gate(fleet, "k", dest=8)
    client, pair = await start()
    assert await client.put("u", kind="unsafe") == "+OK"
    assert await client.put("s", dest=8) == "+OK"
    await g.call()
    await k.call()
    await pair.upgrade()
    pair.predecessor.channel.close()  # as its death does: no outcome comes any more
    pair.old.close()
    assert await fleet.discovery.final() == {"id": "u", "status": "undeliverable"}
    assert (await k.call())[1]["x-request-id"] == "s"  # it may be repeated
    assert g.calls.empty()


@paired
async def test_the_old_process_dying_before_it_hands_over_leaves_its_journal(fleet, start):
    endpoint = await fleet.endpoint("e", dest=8)
    await gate(fleet, dest=9)
    client, pair = await start()
    assert await client.put("m", dest=9) == "+OK"
    new = pair.host()
    starting = asyncio.ensure_future(new_process.take_over(pair.loop, new, pair.path))
    pair.old.transfer.handover_obstacle = lambda: "not yet"
    while not new._list_received.is_set():
        await asyncio.sleep(0.001)
    await asyncio.sleep(0.1)
    assert not starting.done() and new.unready_reason() == "starting"
    with pytest.raises(JournalLockedError):
        new.journal.acquire()
    pair.predecessor.close()
    pair.old.close()
    await bounded(starting)
    pair.fleet.relay = new
    assert [m.id for m in new.journal.messages.values()] == ["m"] and new.unready_reason() == ""
    late = await Client().open(fleet.relay_port())
    assert await late.put("late", dest=8) == "+OK"
    await endpoint.call()


class Stub:
    """The other side, as far as it comes before it dies."""

    def __init__(self, pair):
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(str(pair.path))
        self.got, self.gone = asyncio.Queue(), asyncio.Event()
        self.channel = channel.Channel(pair.loop, sock, self.received, self.gone.set)

    def received(self, frame):
        self.got.put_nowait(frame.encode())

    async def until(self, kind):
        while (await bounded(self.got.get()))[0] != kind:
            pass


async def still_serves(fleet, pair, client, e, name):
    while pair.old.events.paused or pair.predecessor.channel is not None:
        await asyncio.sleep(0.001)
    assert pair.old.unready_reason() == "" and await client.put(name, dest=8) == "+OK"
    assert (await e.call())[1]["x-request-id"] == name
    late = await Client().open(fleet.relay_port())
    assert await late.send(Client.command(b"PING")) == "+PONG"


@paired
async def test_the_new_process_dying_before_it_owns_leaves_the_old_serving(fleet, start):
    endpoint = await fleet.endpoint("e", dest=8)
    g = await gate(fleet)
    client, pair = await start()
    assert await client.put("out") == "+OK"
    await g.call()
    # It connects and says nothing more.
    stub = Stub(pair)
    while pair.predecessor.channel is None:
        await asyncio.sleep(0.001)
    stub.channel.close()
    await still_serves(fleet, pair, client, endpoint, "a")
    # It asks, and is gone when the answer comes.
    stub = Stub(pair)
    stub.channel.send_values(["take", VERSION])
    stub.channel.close()
    await still_serves(fleet, pair, client, endpoint, "b")
    # It has the answer, while a call that is out ends.
    stub = Stub(pair)
    stub.channel.send_values(["take", VERSION])
    await stub.until("end")
    assert pair.old.unready_reason() == "handing over"
    g.open.set()
    while not pair.predecessor.unsent_reports:
        await asyncio.sleep(0.001)
    stub.channel.close()
    await still_serves(fleet, pair, client, endpoint, "c")
    while pair.old.journal.open_count:
        await asyncio.sleep(0.001)
    assert pair.old.metrics.delivered[0] == 4 and g.calls.empty()
    # It has the lock, but has not said so.
    stub = Stub(pair)
    stub.channel.send_values(["take", VERSION])
    await stub.until("end")
    journal = Journal(fleet.folder / "state", 3_000_000).acquire()
    journal.close()
    stub.channel.close()
    await still_serves(fleet, pair, client, endpoint, "d")


@paired
async def test_nothing_is_read_or_closed_while_it_is_open_who_owns(fleet, start):
    endpoint = await fleet.endpoint("e", dest=8)
    client, pair = await start()
    assert await client.put("a", dest=8) == "+OK"
    pair.old.operations.quiesce()
    stub = Stub(pair)
    stub.channel.send_values(["take", VERSION])
    await stub.until("end")
    client.writer.write(Client.message("b", dest=8))
    for served in pair.old.clients.connections:
        served.close_at_s = 0.0
    pair.old.lifecycle._close_connections()
    pair.old.clients._sweep_periodically()
    fd = stub.channel.received_descriptors[1]
    assert Client.message("b", dest=8) in socket.socket(fileno=os.dup(fd)).recv(1000)  # still there, and open
    assert len(pair.old.clients.connections) == 1
    stub.channel.close()
    assert [(await endpoint.call())[1]["x-request-id"]] == ["a"]


@paired
async def test_a_new_process_that_owns_keeps_the_old_from_writing(fleet, start):
    client, pair = await start()
    stub = Stub(pair)
    stub.channel.send_values(["take", VERSION])
    await stub.until("end")
    journal = Journal(fleet.folder / "state", 3_000_000).acquire()
    stub.channel.close()  # with the lock held
    await bounded(pair.old.lifecycle.closed)
    assert pair.old.lifecycle.handed_over and pair.old.unready_reason() == "handed over"
    with pytest.raises(OSError):
        pair.old.journal.record_cordon("x", True)
    journal.close()


@paired
async def test_rubbish_other_versions_and_silence_change_nothing(fleet, start):
    endpoint = await fleet.endpoint("e", dest=8)
    client, pair = await start()
    for n, message in enumerate(([], ["take", 99], ["take"], ["owned"], ["what", 1])):
        stub = Stub(pair)
        stub.channel.send_values(message)
        if message == ["take", 99]:
            assert await bounded(stub.got.get()) == ["no", "another version"]
        elif message and len(message) == 2:
            await asyncio.sleep(0.01)
        stub.channel.close()
        await still_serves(fleet, pair, client, endpoint, f"m{n}")
    stub = Stub(pair)
    stub.channel._sock.send(b"\xff" * 100)
    await bounded(stub.gone.wait())
    await still_serves(fleet, pair, client, endpoint, "last")
    stub = Stub(pair)
    while pair.predecessor.channel is None:
        await asyncio.sleep(0.001)
    pair.predecessor.timed_out()  # its time is up
    await bounded(stub.gone.wait())
    await still_serves(fleet, pair, client, endpoint, "after")


@paired
async def test_an_ending_process_hands_nothing_over(fleet, start):
    _, pair = await start()
    pair.old.lifecycle.shut_down()
    stub = Stub(pair)
    stub.channel.send_values(["take", VERSION])
    assert await bounded(stub.got.get()) == ["no", "ending"]
    stub.channel.close()


@paired
async def test_operators_calls_are_refused_while_nobody_or_another_owns(fleet, start):
    await fleet.endpoint("e")
    _, pair = await start()
    new = pair.host()
    with pytest.raises(CommandRejectedError, match="starting"):
        new.operations.check_health()
    with pytest.raises(CommandRejectedError, match="starting"):
        new.operations.cordon("e")
    await bounded(new_process.take_over(pair.loop, new, pair.path))
    fleet.relay = new
    for call in (pair.old.operations.check_health, pair.old.operations.quiesce, pair.old.operations.resume):
        with pytest.raises(CommandRejectedError, match="handed over"):
            call()
    new.operations.check_health()
    new.operations.cordon("e")


def test_one_process_has_the_journal_and_another_cannot_write_behind_it(tmp_path):
    first = Journal(tmp_path, 1_000_000).acquire()
    first.record_cordon("a", True)
    second = Journal(tmp_path, 1_000_000)
    with pytest.raises(JournalLockedError):
        second.acquire()
    first.close()
    first.reacquire()  # nobody had it meanwhile
    first.record_cordon("b", True)
    first.close()
    second.acquire()
    assert list(second.cordoned) == ["a", "b"]
    second.record_cordon("c", True)
    second.close()
    with pytest.raises(JournalLockedError):
        first.reacquire()
    third = Journal(tmp_path, 1_000_000).acquire()  # and the lock was let go of
    assert list(third.cordoned) == ["a", "b", "c"]
    third.close()


@with_fleet
async def test_a_stale_file_and_a_long_path_do_not_matter(fleet):
    await fleet.start_relay()
    loop = asyncio.get_running_loop()
    deep = fleet.folder / ("d" * 60) / ("e" * 60)
    deep.mkdir(parents=True)
    path = deep / "hand.sock"
    left = socket.socket(socket.AF_UNIX)
    with channel.short_socket_name(path) as name:
        assert len(name) < 100 < len(str(path))
        left.bind(name)
    left.close()  # the file stays, as after SIGKILL
    nobody = new_process.HotRestartRequester(loop, path, print, print)
    assert not await bounded(nobody.ask())
    predecessor = old_process.HotRestartListener(loop, fleet.relay.transfer, path)
    predecessor.listen()
    asked = new_process.HotRestartRequester(loop, path, print, print)
    assert await bounded(asked.ask())
    asked.close()
    predecessor.close()
    assert not path.exists()
    (deep / "file").write_text("kept")
    other = old_process.HotRestartListener(loop, fleet.relay.transfer, deep / "file")
    other.listen()  # not a socket: left alone, and no reason to end
    assert other.sock is None and (deep / "file").read_text() == "kept"


@pytest.mark.parametrize("refused", [errno.EPERM, errno.ENOSYS, errno.EMFILE, errno.EAFNOSUPPORT])
def test_a_refused_unix_socket_costs_the_upgrade_alone(tmp_path, monkeypatch, caplog, refused):
    real = socket.socket

    def refuse(family=-1, *rest, **kw):
        if family == socket.AF_UNIX:
            raise OSError(refused, "refused")
        return real(family, *rest, **kw)

    @with_fleet
    async def serve(fleet):
        endpoint = await fleet.endpoint("a")
        client = await fleet.start_relay()
        monkeypatch.setattr(channel.socket, "socket", refuse)
        loop = asyncio.get_running_loop()
        predecessor = old_process.HotRestartListener(loop, fleet.relay.transfer, tmp_path / "hand.sock")
        predecessor.listen()
        assert predecessor.sock is None
        assert not await bounded(
            new_process.HotRestartRequester(loop, tmp_path / "hand.sock", print, print).ask()
        )
        assert await client.put("m") == "+OK" and (await endpoint.call())[1]["x-request-id"] == "m"
        predecessor.close()

    with caplog.at_level("INFO"):
        serve(tmp_path)
    assert sum("refused" in r.getMessage() for r in caplog.records) == 2  # a line each


@pytest.mark.parametrize("code", [errno.ENOSYS, errno.ENOLCK, errno.EOPNOTSUPP])
def test_where_there_are_no_locks_the_journal_is_used_without(tmp_path, monkeypatch, caplog, code):
    def refuse(fd, how):
        raise OSError(code, "refused")

    monkeypatch.setattr(fcntl, "flock", refuse)
    journal = Journal(tmp_path, 1_000_000, 5.0)
    journal.acquire()
    assert journal.messages == {} and "no locks here" in caplog.text
    journal.close()


def test_a_lock_that_fails_otherwise_is_no_reason_to_go_on(tmp_path, monkeypatch):
    def fail(fd, how):
        raise OSError(errno.EIO, "broken disk")

    monkeypatch.setattr(fcntl, "flock", fail)
    with pytest.raises(OSError, match="broken disk"):
        Journal(tmp_path, 1_000_000, 5.0).acquire()


def test_couriers_that_share_a_folder_have_sockets_of_their_own(tmp_path):
    (tmp_path / "a").mkdir()
    paths = {channel.socket_path({"TMPDIR": "/t"}, tmp_path / name) for name in ("a", "b")}
    assert len(paths) == 2 and all(p.parent.name == "t" for p in paths)


# Processes of their own


def begin(fleet, listener, port):
    env = {
        **os.environ,
        **fleet.env(),
        "LB_FD": str(listener.fileno()),
        "TMPDIR": str(fleet.folder),
        "LB_CONSOLE": f"127.0.0.1:{port}",
    }
    return asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "message_relay",
        env=env,
        cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
        pass_fds=[listener.fileno()],
    )


async def says_yes(fleet, port):
    while True:
        with contextlib.suppress(OSError):
            if await fleet.run_command("health", port) == "ACK\n":
                return
        await asyncio.sleep(0.01)


@with_fleet
async def test_an_upgrade_under_traffic_turns_nobody_away(fleet):
    endpoint = await fleet.endpoint("e")
    with socket.create_server(("127.0.0.1", 0), backlog=100) as listener:
        ports = [free_port(), free_port()]
        old = await begin(fleet, listener, ports[0])
        await bounded(says_yes(fleet, ports[0]))
        new = None
        try:
            kept = await Client().open(listener.getsockname()[1])
            stop, sent = asyncio.Event(), []

            async def traffic():
                while not stop.is_set():
                    fresh = await Client().open(listener.getsockname()[1])
                    for client in (kept, fresh):
                        sent.append(f"m{len(sent)}")
                        assert await client.put(sent[-1]) == "+OK"
                    fresh.writer.close()

            running = asyncio.ensure_future(traffic())
            new = await begin(fleet, listener, ports[1])
            await bounded(says_yes(fleet, ports[1]))
            assert await bounded(old.wait()) == 0  # it leaves by itself, with nothing out
            count = len(sent)
            while len(sent) < count + 5:
                await asyncio.sleep(0.01)
            stop.set()
            await bounded(running)
            got = {(await endpoint.call())[1]["x-request-id"] for _ in sent}
            assert got == set(sent)
            new.send_signal(signal.SIGKILL)
            await new.wait()
            new = await begin(fleet, listener, ports[1])  # its file is left: a plain start all the same
            await bounded(says_yes(fleet, ports[1]))
        finally:
            for process in (old, new):
                if process and process.returncode is None:
                    process.kill()
                    await process.wait()


@with_fleet
async def test_sigterm_ends_one_that_waits_and_owns_nothing(fleet):
    journal = Journal(fleet.folder / "state", 3_000_000).acquire()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = free_port()
        process = await begin(fleet, listener, port)
        answer_ = ""
        while not answer_:
            with contextlib.suppress(OSError):
                answer_ = await fleet.run_command("health", port)
            await asyncio.sleep(0.01)
        assert answer_ == "NAK starting\n"
        process.send_signal(signal.SIGTERM)
        assert await bounded(process.wait()) == 0
    journal.close()


@pytest.mark.parametrize("kind", ["word", "closed", "file", "not listening", "unix", "negative"])
def test_a_bad_descriptor_ends_the_start_with_one_line(tmp_path, kind):
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings()}
    (tmp_path / "config.json").write_text(json.dumps(raw))
    sock = socket.socket(socket.AF_UNIX if kind == "unix" else socket.AF_INET)
    if kind == "unix":
        sock.bind(str(tmp_path / "u.sock"))
        sock.listen()
    with open(tmp_path / "config.json") as file, sock:
        fd = file.fileno() if kind == "file" else sock.fileno()
        text = {"word": "seven", "closed": "99", "negative": "-3"}.get(kind, str(fd))
        env = {
            **os.environ,
            "LB_CONFIG": str(tmp_path / "config.json"),
            "LB_STATE": str(tmp_path),
            "LB_FD": text,
        }
        done = subprocess.run(
            [sys.executable, "-m", "message_relay"],
            env=env,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
            pass_fds=[fd],
        )
    assert done.returncode == 2 and done.stderr.startswith("message-relay: LB_FD: ")
    assert done.stderr.count("\n") == 1

"""The endpoint watch when requests fail, and an instance that starts without discovery."""

import itertools
import random

import pytest
from loopback import with_fleet

from message_relay.model import EndpointListForm
from message_relay.server.configuration import Address
from message_relay.server.discovery import connection as discovery_connection
from message_relay.server.discovery.endpoint_watch import EndpointListChange, EndpointWatch

MAX_CHANGE_DELAY_S = 6.0  # a requirement, not a constant of the program


class FakeLoop:
    """Event loop with a clock that the test advances and a single timer."""

    def __init__(self):
        self.now, self.delay, self.due, self.action, self.ready = 0.0, None, 0.0, None, []

    def time(self):
        return self.now

    def call_later(self, delay, action):
        self.delay, self.due, self.action = delay, self.now + delay, action
        return self

    def cancel(self):
        self.delay = self.action = None

    def step(self):
        """Run one ready callback, or else advance the clock to the timer and run its action."""
        if self.ready:
            self.ready.pop(0)()
            return
        action, self.now = self.action, self.due
        self.delay = self.action = None
        action()


def make_watch(instance_count):
    return EndpointWatch(FakeLoop(), Address("127.0.0.1", 1), 0, lambda change: None, instance_count)


def reject(watch):
    """Reject the request of the watch and advance the clock by its wait, which is returned in seconds."""
    watch.headers_received(503, {})
    watch.loop.now += watch.loop.delay
    return watch.loop.delay


def requests_per_second(instance_count, seconds=60):
    """Return the request rate of all instances together if discovery rejects each request."""
    random.seed(7)
    requests = 0
    for _ in range(instance_count):
        watch, now = make_watch(instance_count), 0.0
        while (now := now + reject(watch)) < seconds:
            requests += 1
    return requests / seconds


def test_the_requests_of_a_fleet_to_an_overloaded_discovery_are_bounded():
    # From 40 instances on, each sends one or two requests in 6 s.
    small, medium, large = (requests_per_second(n) for n in (5, 40, 400))
    assert 40 / MAX_CHANGE_DELAY_S <= medium <= 2 * 40 / MAX_CHANGE_DELAY_S
    assert 400 / MAX_CHANGE_DELAY_S <= large <= 2 * 400 / MAX_CHANGE_DELAY_S
    assert small > 6  # a small fleet has shorter waits


@pytest.mark.parametrize("instance_count", [230, 1100])
def test_a_fleet_that_is_rejected_at_once_spreads_its_requests(instance_count):
    random.seed(7)
    requested_at = []
    for _ in range(instance_count):
        watch, now = make_watch(instance_count), 0.0
        while (now := now + reject(watch)) < 30:
            requested_at.append(now)
    seconds = [sum(k <= at < k + 1 for at in requested_at) for k in range(30)]
    assert max(seconds) <= 0.75 * instance_count and seconds[0] == 0
    assert max(seconds[5:]) <= 0.4 * instance_count and max(seconds[20:]) <= 2 * min(seconds[20:])


@pytest.mark.parametrize(
    "instance_count, initial_ceiling_s, max_ceiling_s",
    [(1, 0.1, 1.0), (3, 0.15, 1.0), (40, 2.0, 5.6), (230, 3.0, 5.6)],
)
def test_waits_of_a_watch_double_up_to_a_ceiling_with_jitter(
    instance_count, initial_ceiling_s, max_ceiling_s
):
    random.seed(7)
    watch = make_watch(instance_count)
    waits = [reject(watch) for _ in range(200)]
    assert initial_ceiling_s / 2 <= waits[0] <= initial_ceiling_s
    assert (
        max_ceiling_s / 2 <= min(waits[10:]) < max_ceiling_s * 0.6
        and max_ceiling_s * 0.9 < max(waits) <= max_ceiling_s
    )


class ScriptedConnection:
    """HTTP connection to discovery that follows the next entry of the script; the last one is repeated."""

    script, opened_at, targets = [], [], []

    def __init__(self, loop, address):
        self.loop, self.closed = loop, False
        self.behaviour = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        self.opened_at.append(loop.now)
        if self.behaviour == "no descriptor":
            raise OSError("no descriptor")

    def connect(self, done):
        if self.behaviour != "never connected":
            error = OSError("connection refused") if self.behaviour == "connection refused" else None
            self.loop.ready.append(lambda: self.closed or done(error))

    def send_request(self, method, target, headers, body, handler):
        self.targets.append(target)
        if self.behaviour in ("rejected", "rejected with a body"):
            handler.headers_received(503, {})
            if self.behaviour == "rejected with a body":
                handler.body_received(b"busy\n")  # received together with the headers
        elif self.behaviour == "reset":
            handler.connection_lost(True)
        elif self.behaviour != "silent":
            handler.headers_received(200, {})
            if self.behaviour in ("truncated", "unfinished line"):
                handler.body_received(b'{"rev":7,"all":tr')
            if self.behaviour == "truncated":
                handler.connection_lost(True)
            elif self.behaviour == "valid change":
                handler.body_received(b'{"rev":9,"all":true,"targets":[]}\n')

    def close(self):
        self.closed = True


FAILURES = (
    "rejected",
    "rejected with a body",
    "connection refused",
    "silent",
    "truncated",
    "never connected",
    "headers only",
    "unfinished line",
    "reset",
    "no descriptor",
)


def run_until_change(monkeypatch, instance_count, script, seed, start_s=0.0, address_changed=False):
    """Run a watch through the script up to the first change; return the loop, the watch and the changes."""
    random.seed(seed)
    changes, loop = [], FakeLoop()
    loop.now = start_s
    monkeypatch.setattr(discovery_connection, "HttpConnection", ScriptedConnection)
    ScriptedConnection.script = [*script, "valid change"]
    ScriptedConnection.opened_at, ScriptedConnection.targets = [], []
    watch = EndpointWatch(loop, Address("127.0.0.1", 1), 4, changes.append, instance_count)
    watch.change_address(Address("127.0.0.1", 2)) if address_changed else watch.start()
    while not changes:
        loop.step()
    assert len(ScriptedConnection.opened_at) == len(script) + 1
    return loop, watch, changes


@pytest.mark.parametrize("instance_count", [1, 20, 40, 230, 1100])
@pytest.mark.parametrize("last_failure", FAILURES)
def test_a_change_arrives_within_6_s_of_discovery_becoming_reachable_after_failures(
    monkeypatch, instance_count, last_failure
):
    # Discovery becomes reachable just after the last failed request began and answers the next one at once.
    for seed, earlier_failures in enumerate(itertools.product(FAILURES, repeat=2)):
        loop, watch, _ = run_until_change(
            monkeypatch, instance_count, [*earlier_failures, *["rejected"] * (seed % 4), last_failure], seed
        )
        assert loop.now - ScriptedConnection.opened_at[-2] < MAX_CHANGE_DELAY_S and watch.revision == 9


@pytest.mark.parametrize("instance_count", [1, 20, 40, 230, 1100])
@pytest.mark.parametrize("failure", FAILURES)
def test_a_change_missed_by_a_silent_watch_arrives_within_6_s_if_the_next_request_fails(
    monkeypatch, instance_count, failure
):
    for seed in range(50):
        loop, watch, changes = run_until_change(monkeypatch, instance_count, [], seed)
        silent_since = loop.now
        ScriptedConnection.script = [failure, "valid change"]
        while len(changes) < 2:
            loop.step()
        assert loop.now - silent_since < MAX_CHANGE_DELAY_S


@pytest.mark.parametrize("instance_count", [1, 40, 230])
@pytest.mark.parametrize("failure", FAILURES)
def test_after_sighup_a_change_arrives_within_4_s_if_one_request_fails(monkeypatch, instance_count, failure):
    for seed in range(50):
        loop, _, _ = run_until_change(
            monkeypatch, instance_count, [failure], seed, start_s=50.0, address_changed=True
        )
        assert loop.now - 50.0 < 4.0


def test_the_body_of_a_rejected_watch_is_ignored(monkeypatch):
    run_until_change(monkeypatch, 40, ["rejected with a body"], 3)
    revisions = [target.rpartition("=")[2] for target in ScriptedConnection.targets]
    assert revisions == ["4", "4"]  # the list in use stays


def test_a_change_resets_the_backoff_of_rejections():
    watch = make_watch(40)
    for _ in range(10):
        reject(watch)
    watch.headers_received(200, {})
    watch.body_received(b'{"rev":5,"all":false,"targets":[]}\n')
    assert watch.revision == 5 and reject(watch) <= 2.0


@pytest.mark.parametrize(
    "line",
    [b"{", b"[]", b'{"rev":"x","targets":[]}', b'{"rev":6,"targets":{}}', b"null", b'{"rev":6}', b"\xff\xfe"],
)
def test_after_a_malformed_line_the_complete_list_is_requested_after_a_wait(line):
    watch = make_watch(40)
    watch.revision = 5
    watch.headers_received(200, {})
    watch.body_received(line + b"\n")
    assert watch.revision == 0 and watch.loop.delay >= 0.5


def report_changes(*pieces, revision=4):
    """Return the changes that a watch reports for these pieces of a response, and the watch."""
    changes = []
    watch = EndpointWatch(FakeLoop(), Address("127.0.0.1", 1), revision, changes.append, 40)
    watch.headers_received(200, {})
    for piece in pieces:
        watch.body_received(piece)
    return changes, watch


def test_a_truncated_change_is_not_reported_and_is_requested_again():
    changes, watch = report_changes(
        b'{"rev":5,"all":false,"targets":[]}\n', b'{"rev":6,"all":true,"targets":[{"uid":"a"'
    )
    watch.connection_lost(True)
    assert [change.revision for change in changes] == [5] and watch.revision == 5 and watch.loop.delay >= 0.5


def test_a_change_received_in_pieces_is_reported_once_complete():
    changes, watch = report_changes(b'{"rev":6,"all":fal', b'se,"targets":[', b"]}\n\n\n")
    assert changes == [EndpointListChange(6, False, [])] and watch.revision == 6


@with_fleet
async def test_a_repeated_or_older_list_changes_no_endpoint_in_use(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    complete = fleet.discovery.complete_list()
    for number, fields in enumerate((complete, complete, {**complete, "rev": 0})):
        change = EndpointListChange(fields["rev"], fields["all"], fields["targets"])
        fleet.relay.apply_list(change, EndpointListForm.COMPLETE)
        assert await client.put(f"m{number}") == "+OK"
        assert (await endpoint.call())[1]["x-request-id"] == f"m{number}"
    assert len(fleet.relay.directory.entries) == 1 and len(fleet.relay.policy.state.endpoints) == 1


def without_discovery(failure):
    """Return a coroutine function that makes discovery silent or unreachable."""

    async def silent(reader, writer):
        await reader.read()

    async def prepare(fleet):
        if failure == "silent":
            fleet.discovery.serve = silent
        else:
            await fleet.discovery.stop()

    return prepare


@pytest.mark.parametrize("failure", ["silent", "stopped"])
def test_an_instance_starts_and_restarts_without_discovery(tmp_path, failure):
    @with_fleet
    async def run(fleet):
        endpoint = await fleet.endpoint("a", "hang")
        await without_discovery(failure)(fleet)
        client = await fleet.start_relay()
        assert await client.put("first") == "+OK"
        await endpoint.call()
        fleet.relay.close()  # as after SIGKILL: only the journal holds the open messages
        client = await fleet.start_relay()
        assert await client.put("second") == "+OK"
        received = set()
        while len(received) < 2:
            received.add((await endpoint.call())[1]["x-request-id"])
        assert received == {"first", "second"}
        assert not fleet.relay._list_received.is_set()

    run(tmp_path)


@pytest.mark.parametrize("failure", ["ended", "reset", "malformed line", "connect failed"])
def test_a_lost_watch_is_reopened_in_time_in_a_large_fleet(failure):
    # A change must arrive within 6 s, or 4 s after SIGHUP. Without the upper bound of the initial ceiling,
    # the first wait of 200 instances would be up to 10 s.
    random.seed(7)
    watch, waits = make_watch(200), []
    for _ in range(40):
        if failure == "ended":
            watch.response_complete()
        elif failure == "reset":
            watch.connection_lost(True)
        elif failure == "connect failed":
            watch._connect_finished(OSError("connection refused"))
        else:
            watch._line_received(b'{"rev": 4, "targets"')
        waits.append(watch.loop.delay)
    assert 0.5 <= waits[0] <= 2.0 and max(waits) <= 3.0

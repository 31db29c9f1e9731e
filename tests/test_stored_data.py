"""Compatibility with recordings of the build e83b7b3: hot restart frames, policy actions and exported state.

Guards against a change of the hot restart protocol, after which a process could not take over from one that
runs an earlier build, and against an unintended change of the policy's decisions.
"""

import asyncio
import gzip
import json
import pathlib
import socket
import struct
import time

import msgpack
import pytest
from loopback import Client, Fleet, bounded
from policy_scenarios import CLASSES, SCENARIOS, play

from message_relay import model
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy_snapshot import PolicySnapshot, capture
from message_relay.server import clock
from message_relay.server.configuration import load_configuration
from message_relay.server.hot_restart import channel, new_process, old_process
from message_relay.server.journal import AcceptedMessage, Journal
from message_relay.server.relay_server import RelayServer
from message_relay.server.retry_after import RetryAfterScope

FIXTURES = pathlib.Path(__file__).parent / "fixtures"


# In each scenario, the policy returns the recorded actions and exports the recorded states.

IDEMPOTENCY = {
    "safe": model.Idempotency.IDEMPOTENT,
    "keyed": model.Idempotency.KEYED,
    "unsafe": model.Idempotency.NON_IDEMPOTENT,
}
STATES = {
    "ready": model.EndpointState.READY,
    "draining": model.EndpointState.DRAINING,
    "removed": model.EndpointState.REMOVED,
}
FORMS = {
    "complete": model.EndpointListForm.COMPLETE,
    "delta": model.EndpointListForm.DELTA,
    "cached": model.EndpointListForm.CACHED,
    "failed": model.EndpointListForm.FAILED,
}


def message_class(fields):
    idempotency = IDEMPOTENCY[fields["idempotency"]]
    return model.MessageClass(
        fields["name"],
        fields["objective"],
        fields["deadline"],
        idempotency,
        fields["weight"],
        fields["late_share"],
        model.KeyScope(fields["scope"]),
        fields["window"],
        fields["ordered"],
    )


def settings_of(scenario):
    return model.Settings(
        classes=tuple(map(message_class, CLASSES)),
        call_slots=scenario["slots"],
        max_open_messages=scenario["open"],
        destination_types=tuple(
            model.DestinationType(f"k{number}", independent, batch_size)
            for number, (independent, batch_size) in enumerate(scenario["kinds"])
        ),
        tenants=tuple(
            model.Tenant(f"t{number}", share, quota)
            for number, (share, quota) in enumerate(scenario["tenants"])
        ),
        instance_count=scenario["instances"],
        max_attempts=scenario["max_attempts"],
        tick_interval_us=5000,
        max_retry_after_us=scenario["retry_after"],
        clients_mark_retries=scenario["clients_mark_retries"],
        slow_start_share=scenario["first_share"],
        slow_start_us=scenario["slow_start"],
        overload_factor=scenario["multiple"],
        overload_window_us=scenario.get("window", 1_000_000),
        order_key_pause_us=scenario["key_rest"],
        endpoint_list_requires_subscription=scenario.get("on_request", False),
        rate_limits_advertised=scenario.get("rates_advertised", False),
        load_report_fields=scenario.get("report", ()),
        over_quota_weight=scenario.get("over_quota_weight", 1.0),
        late_weight_decays_exponentially=scenario.get("halves", False),
        zone_costs=scenario.get("zone_costs", ()),
        rejected_call_cost=scenario.get("rejected_cost", 0.0),
    )


def event_of(event):
    match event:
        case "list", form, entries:
            listed = (
                model.EndpointEntry(endpoint, destination, STATES[state], rate, type_index, zone)
                for endpoint, destination, state, rate, type_index, zone in entries
            )
            return model.EndpointListReceived(FORMS[form], tuple(listed))
        case "message", *values:
            return model.MessageSubmitted(*values)
        case "load", endpoint, values:
            return model.LoadReportReceived(endpoint, values)
        case "response_started", *values:
            return model.ResponseStarted(*values)
        case "ended", message, attempt, endpoint, result, *values:
            return model.AttemptEnded(message, attempt, endpoint, model.AttemptResult(result), *values)
        case "cordon", endpoint, cordoned:
            return model.EndpointCordoned(endpoint, cordoned)
        case "withdrawn", message:
            return model.MessageWithdrawn(message)
        case "shutdown", deadline:
            return model.ShutdownScheduled(deadline)
        case "timer", token:
            return model.TimerFired(token)
    raise ValueError(event)


def action_of(action):
    match action:
        case model.SendAttempt():
            timeouts = (action.timeout_us, action.new_connection_timeout_us)
            return ["send", action.message, action.endpoint, *timeouts, action.require_new_connection]
        case model.RejectMessage():
            return ["reject", action.message, action.retry_after_us]
        case model.FailMessage():
            return ["fail", action.message]
        case model.SetTimer():
            return ["timer", action.delay_us, action.token]
        case model.CloseIdleConnections():
            return ["close_idle", action.endpoint]
        case model.SubscribeEndpointList():
            return ["subscribe", action.active]
    raise ValueError(action)


class Adapter:
    """Runs the policy on the plain tuples of `policy_scenarios`."""

    def __init__(self, scenario, seed):
        self.settings = settings_of(scenario)
        self.policy = DeliveryPolicy(self.settings, seed)

    def _actions(self, now, events):
        actions = self.policy.handle(now, events)
        return [action_of(action) for action in actions if not isinstance(action, model.LogMessage)]

    def handle(self, now, events):
        return self._actions(now, [event_of(event) for event in events])

    def inspect(self):
        return [
            ["avoided", *sorted(self.policy.endpoints_out_of_rotation())],
            ["come_back", self.policy.capacity_retry_after_us()],
        ]

    def export(self):
        return msgpack.packb(capture(self.policy.state).to_wire())

    def replace(self, snapshot, numbers, seed, now, events):
        self.policy = DeliveryPolicy(self.settings, seed)
        imported = model.StateImported(
            PolicySnapshot.from_wire(msgpack.unpackb(snapshot, strict_map_key=False)), numbers
        )
        return self._actions(now, [*[event_of(event) for event in events], imported])


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_policy_decides_and_exports_as_the_earlier_build(scenario):
    ticks, states = play(scenario, 1, Adapter)
    recorded = (
        gzip.decompress((FIXTURES / f"policy-{scenario}.actions.gz").read_bytes()).decode().splitlines()
    )
    assert len(ticks) == len(recorded) > 900
    for number, (tick, line) in enumerate(zip(ticks, recorded, strict=True)):
        assert tick == json.loads(line), f"tick {number}"
    for number, exported in enumerate(states, 1):
        assert exported == (FIXTURES / f"policy-{scenario}.{number}.msgpack").read_bytes()


# A hot restart in which the old process runs the earlier build.

LENGTH = struct.Struct(">I")


def recorded_frames():
    """Return the frames that the earlier build sent, each with its length prefix."""
    data, start, frames = (FIXTURES / "hot-restart-e83b7b3.frames").read_bytes(), 0, []
    while start < len(data):
        end = start + LENGTH.size + LENGTH.unpack_from(data, start)[0]
        frames.append(data[start:end])
        start = end
    return frames


def unpack(frame):
    return msgpack.unpackb(frame[LENGTH.size :], strict_map_key=False)


class EarlierProcess:
    """Stand-in for a process of the earlier build: sends the recorded frames, with sockets opened here."""

    def __init__(self, path, journal):
        self.journal = journal
        self.server = socket.create_server(str(path), family=socket.AF_UNIX)
        self.listener = socket.create_server(("127.0.0.1", 0))
        client_sockets = [socket.create_connection(self.listener.getsockname()) for _ in range(2)]
        self.clients, self.accepted = client_sockets, [self.listener.accept()[0] for _ in client_sockets]
        for sock in (self.server, *self.clients):
            sock.setblocking(False)
        self.received_frames, self.ownership_taken = [], asyncio.Event()

    async def hand_over(self):
        """Accept the new process, send it the recorded frames, and wait until it owns the journal."""
        loop = asyncio.get_running_loop()
        channel, _ = await loop.sock_accept(self.server)
        self.received_frames.append(unpack(await loop.sock_recv(channel, 1000)))
        state, clients, end, *self.reports = recorded_frames()
        socket.send_fds(channel, [state], [self.listener.fileno()])
        socket.send_fds(channel, [clients], [s.fileno() for s in self.accepted])
        channel.send(end)
        self.journal.close()
        self.received_frames.append(unpack(await loop.sock_recv(channel, 1000)))
        self.ownership_taken.set()
        self.channel = channel

    def close(self):
        for sock in (self.server, self.listener, *self.clients, *self.accepted, self.channel):
            sock.close()


def create_journal_of_the_earlier_process(folder, now):
    journal = Journal(folder, 3_000_000, 8.0).acquire()
    for number, message_id, class_index, destination, idempotency_key in (
        (3, "unsafe-out", 2, 7, ""),
        (4, "waiting", 1, 8, "k8"),
        (5, "batch-out", 0, 9, ""),
    ):
        journal.accept(
            AcceptedMessage(
                number, message_id, class_index, 0, destination, idempotency_key, now + 60, False, b"hello"
            )
        )
    journal.record_attempt([3], now, 0)
    journal.record_attempt([5], now, 0)
    return journal


def test_hot_restart_imports_the_complete_state_of_the_earlier_build(tmp_path, monkeypatch):
    state_frame, clients_frame, _, *ended = map(unpack, recorded_frames())
    recorded_state = state_frame[1]
    assert [frame[0] for frame in ended] == ["ended", "ended"]

    async def run():
        async with Fleet(tmp_path) as fleet:
            fleet.discovery.targets = {target["uid"]: target for target in recorded_state["targets"]}
            monkeypatch.setattr(clock, "monotonic_us", lambda: 342_400_000)
            loop, path = asyncio.get_running_loop(), tmp_path / "restart.sock"
            earlier = EarlierProcess(
                path, create_journal_of_the_earlier_process(tmp_path / "state", time.time())
            )
            handover = asyncio.ensure_future(earlier.hand_over())
            fleet.relay = new = RelayServer(loop, load_configuration(fleet.write_configuration()))
            new.prepare()
            await bounded(new_process.take_over(loop, new, path))
            await bounded(handover)
            assert earlier.received_frames == [["take", 3], ["owned"]]
            policy = new.policy.state
            assert {m.id: (m.attempts, m.in_flight) for m in policy.messages.values()} == {
                3: (1, 1),
                4: (0, 0),
                5: (1, 1),
            }
            assert policy.in_flight == 2 and [x.id for x in policy.destinations.values()] == [7, 9, 8, 10]
            assert policy.endpoints[4].cordoned and not policy.endpoints[1].cordoned
            assert (
                policy.endpoints[3].group.retry_after_until_us == 372_341_669
                and policy.endpoints[3].circuit.open
            )
            assert new.retry_after.export_waits() == [(RetryAfterScope(8), 372_336_378)]
            assert new.policy.endpoints_out_of_rotation() == [3, 4, 5]
            # The state and the clients' requests that it would export now are those that it imported.
            states = [client.export_state() for client in new.clients.connections]
            assert states == clients_frame[1]
            exported = json.loads(json.dumps(capture(policy).to_wire()))
            assert exported == json.loads(json.dumps(recorded_state["brain"]))
            assert list(capture(policy).to_wire()) == list(recorded_state["brain"])
            # A client completes the request that it had begun, and the outcomes of the calls are processed.
            remaining_bytes = Client.message("half", dest=8)[60:]
            await loop.sock_sendall(earlier.clients[1], remaining_bytes)
            assert await bounded(loop.sock_recv(earlier.clients[1], 100)) == b"+OK\r\n"
            for report in earlier.reports:
                earlier.channel.send(report)
            while new.journal.open_count > 2 or policy.in_flight:
                await asyncio.sleep(0.001)
            assert [m.id for m in new.journal.messages.values()] == ["waiting", "half"]
            assert new.metrics.delivered == [1, 0, 1]
            earlier.close()

    asyncio.run(run())


def test_hot_restart_exports_the_frames_of_the_earlier_build(tmp_path, monkeypatch):
    """A process imports the recorded state and exports it again: the frames are the same byte for byte."""
    state_frame, clients_frame, end_frame, *_ = recorded_frames()

    async def run():
        async with Fleet(tmp_path) as fleet:
            recorded_state = unpack(state_frame)[1]
            fleet.discovery.targets = {target["uid"]: target for target in recorded_state["targets"]}
            monkeypatch.setattr(clock, "monotonic_us", lambda: 342_400_000)
            loop, path = asyncio.get_running_loop(), tmp_path / "restart.sock"
            earlier = EarlierProcess(
                path, create_journal_of_the_earlier_process(tmp_path / "state", time.time())
            )
            handover = asyncio.ensure_future(earlier.hand_over())
            fleet.relay = new = RelayServer(loop, load_configuration(fleet.write_configuration()))
            new.watch.start = lambda: None  # its list would replace the recorded endpoints
            new.prepare()
            await bounded(new_process.take_over(loop, new, path))
            await bounded(handover)
            exporter = old_process.HotRestartListener(loop, new.transfer, tmp_path / "second.sock")
            exporter.listen()
            importer = socket.socket(socket.AF_UNIX)
            importer.connect(str(tmp_path / "second.sock"))
            importer.setblocking(False)
            request = msgpack.packb(["take", 3])
            importer.send(LENGTH.pack(len(request)) + request)
            expected, received = state_frame + clients_frame + end_frame, b""
            while len(received) < len(expected):
                received += await bounded(loop.sock_recv(importer, 1 << 16))
            assert received == expected
            importer.close()
            exporter.close()
            earlier.close()

    asyncio.run(run())


def test_hot_restart_socket_path_is_that_of_the_earlier_build():
    folder = pathlib.Path("/var/lib/relay")
    assert channel.socket_path({"TMPDIR": "/run"}, folder) == pathlib.Path("/run/hopmill-043d51c331fb.sock")

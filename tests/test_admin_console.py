"""The operators' console: what is parsed, what is rejected, and that no caller delays another."""

import asyncio
import json
import os
import sys

import pytest
from loopback import ROOT, answer, bounded, with_fleet, settings

from message_relay.server import admin_console
from message_relay.server.configuration import ConfigurationError, load_configuration
from message_relay.server.metrics import Gauges, Metrics, escape_label_value


class RecordingCommands:
    """Records the commands and rejects one id."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        def call(*args):
            self.calls.append((name, *args))
            if args == ("none",):
                raise admin_console.CommandRejectedError("no such endpoint")
            if args == ("broken",):
                raise RuntimeError("a fault")
            return "app_inflight 14\n"

        return call


@pytest.mark.parametrize(
    ("line", "answer_text", "expected_calls"),
    [
        (b"health\n", "ACK\n", [("check_health",)]),
        (b"  quiesce \r\n", "ACK\n", [("quiesce",)]),
        (b"resume\n", "ACK\n", [("resume",)]),
        (b"cordon s-1\n", "ACK\n", [("cordon", "s-1")]),
        (b"uncordon s-1\r\n", "ACK\n", [("uncordon", "s-1")]),
        (b"counters\n", "ACK\napp_inflight 14\n--\n", [("render_metrics",)]),
        (b"cordon none\n", "NAK no such endpoint\n", [("cordon", "none")]),
        (b"cordon broken\n", "NAK internal error\n", [("cordon", "broken")]),
        (b"cordon\n", "NAK cordon takes the id of one endpoint\n", []),
        (b"cordon s-1 s-2\n", "NAK cordon takes the id of one endpoint\n", []),
        (b"cordon " + b"x" * 300 + b"\n", "NAK cordon takes the id of one endpoint\n", []),
        (b"cordon s\x01\n", "NAK cordon takes the id of one endpoint\n", []),
        (b"health now\n", "NAK health takes nothing more\n", []),
        (b"counters all\n", "NAK counters takes nothing more\n", []),
        (b"\n", "NAK no such call\n", []),
        (b"HEALTH\n", "NAK no such call\n", []),
        (b"__class__\n", "NAK no such call\n", []),
        (b"\xff\xfe\n", "NAK a call is plain ASCII\n", []),
    ],
)
def test_each_command_has_its_answer(line, answer_text, expected_calls):
    commands = RecordingCommands()
    assert admin_console.execute_line(line, commands) == answer_text
    assert commands.calls == expected_calls


def with_console(test):
    """Runs a test with a console of its own."""

    def run(monkeypatch):
        async def inner():
            console = admin_console.AdminConsole(RecordingCommands())
            port = await console.listen(("127.0.0.1", 0))
            try:
                await test(console, lambda: bounded(asyncio.open_connection("127.0.0.1", port)), monkeypatch)
            finally:
                console.close()

        asyncio.run(inner())

    return run


@with_console
async def test_a_stalled_caller_delays_nobody_and_gets_an_error(console, call, monkeypatch):
    monkeypatch.setattr(admin_console, "COMMAND_TIMEOUT_S", 0.3)
    stalled = [await call() for _ in range(5)]
    for _, writer in stalled:
        writer.write(b"heal")
    reader, writer = await call()
    writer.write(b"health\n")
    assert await bounded(reader.read()) == b"ACK\n"
    for reader, writer in stalled:
        assert (await bounded(reader.read())).startswith(b"NAK ")
        writer.close()
    assert console.commands.calls == [("check_health",)]


@with_console
async def test_a_command_in_pieces_is_one_command_and_a_truncated_one_is_none(console, call, _):
    reader, writer = await call()
    for byte in b"cordon s-12\n":
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(0)
    assert await bounded(reader.read()) == b"ACK\n"
    reader, writer = await call()
    writer.write(b"cordon s-1")
    writer.write_eof()
    assert (await bounded(reader.read())).startswith(b"NAK ")
    assert console.commands.calls == [("cordon", "s-12")]


@with_console
async def test_a_line_too_long_and_what_follows_a_command_are_bounded(console, call, _):
    reader, writer = await call()
    writer.write(b"x" * 100_000)
    assert (await bounded(reader.read())).startswith(b"NAK ")
    reader, writer = await call()
    writer.write(b"health\n" + b"quiesce\n" * 1000)  # one command a connection; its answer is not lost
    assert await bounded(reader.read()) == b"ACK\n"
    assert console.commands.calls == [("check_health",)]


@with_console
async def test_the_oldest_connection_is_closed_for_a_new_one(console, call, monkeypatch):
    monkeypatch.setattr(admin_console, "MAX_CONNECTIONS", 3)
    waiting = [await call() for _ in range(3)]
    while len(console.connections) < 3:
        await asyncio.sleep(0.001)
    reader, writer = await call()
    writer.write(b"health\n")
    assert await bounded(reader.read()) == b"ACK\n"
    assert await bounded(waiting[0][0].read()) == b""
    waiting[1][1].write(b"health\n")  # only that one was closed
    assert await bounded(waiting[1][0].read()) == b"ACK\n"


def test_the_environment_names_the_console_before_the_file(tmp_path):
    raw = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "console": "127.0.0.1:3",
        "settings": {"no": 1},
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    env = {"LB_CONFIG": str(path), "LB_STATE": str(tmp_path), "LB_CONSOLE": "nowhere"}
    with pytest.raises(ConfigurationError, match="settings"):
        load_configuration(env)
    path.write_text(json.dumps({**raw, "settings": settings()}))
    with pytest.raises(ConfigurationError, match="LB_CONSOLE"):
        load_configuration(env)
    assert load_configuration({**env, "LB_CONSOLE": "127.0.0.1:4"}).console_address == ("127.0.0.1", 4)
    assert load_configuration({**env, "LB_CONSOLE": ""}).console_address == ("127.0.0.1", 3)
    path.write_text(json.dumps({**raw, "console": "", "settings": settings()}))
    assert load_configuration({**env, "LB_CONSOLE": ""}).console_address is None


def test_metrics_are_one_a_line_and_label_values_escaped():
    metrics = Metrics(["plain", 'a"b\\c\nd'])
    metrics.record_delivered(0)
    metrics.record_rejected(1)
    metrics.record_failed(1)
    metrics.record_attempts_written(10)
    metrics.record_reload(True)
    assert escape_label_value('a"b\\c\nd') == 'a\\"b\\\\c\\nd'
    assert metrics.render(Gauges(3, 5, 2)).splitlines() == [
        'app_success_total{tier="plain"} 1',
        'app_success_total{tier="a\\"b\\\\c\\nd"} 0',
        'app_busy_total{tier="plain"} 0',
        'app_busy_total{tier="a\\"b\\\\c\\nd"} 1',
        'app_failure_total{tier="plain"} 0',
        'app_failure_total{tier="a\\"b\\\\c\\nd"} 1',
        "app_backend_calls_total 10",
        "app_inflight 3",
        "app_hosts_listed 5",
        "app_hosts_down 2",
        "app_reconfig_ok_total 1",
        "app_reconfig_failed_total 0",
    ]


@with_fleet
async def test_each_outcome_is_counted_once(fleet):
    endpoint = await fleet.endpoint("a", answer(200), answer(500), answer(429), "hang")
    client = await fleet.start_relay()
    assert await client.put("m1") == "+OK"
    await endpoint.call()
    assert await client.put("m1") == "+OK"  # known: not another message
    assert await client.put("m2", kind="unsafe") == "+OK"
    assert (await fleet.discovery.final())["status"] == "undeliverable"
    assert await client.put("m3") == "+OK"
    assert (await fleet.discovery.final())["status"] == "deferred"
    metrics = await fleet.metrics()
    assert metrics['app_success_total{tier="safe"}'] == 1
    assert metrics['app_failure_total{tier="unsafe"}'] == 1
    assert metrics['app_busy_total{tier="safe"}'] == 1
    assert (metrics["app_backend_calls_total"], metrics["app_inflight"]) == (3, 0)


@with_fleet
async def test_a_message_rejected_at_submission_is_counted(fleet):
    fleet.raw = settings(policyLimits__maxOpen=1)
    await fleet.endpoint("a", "hang")
    client = await fleet.start_relay()
    assert await client.put("m1") == "+OK"
    assert (await client.put("m2", kind="unsafe")).startswith("-BUSY")
    metrics = await fleet.metrics()
    assert metrics['app_busy_total{tier="unsafe"}'] == 1 and metrics["app_inflight"] == 1


@with_fleet
async def test_reloads_are_counted_one_a_signal(fleet):
    await fleet.start_process()
    path = fleet.folder / "config.json"
    text = path.read_text()
    path.write_text(json.dumps({**json.loads(text), "discovery": f"127.0.0.1:{fleet.discovery.port}"}))

    async def until(name, count):
        while (metrics := await fleet.metrics())[name] < count:
            await asyncio.sleep(0.01)
        return metrics

    fleet.process.send_signal(1)
    metrics = await until("app_reconfig_ok_total", 1)
    assert metrics["app_reconfig_failed_total"] == 0
    path.write_text(text[:50])
    fleet.process.send_signal(1)
    await until("app_reconfig_failed_total", 1)
    await asyncio.sleep(0.4)  # retried meanwhile: that is no further reload
    metrics = await fleet.metrics()
    assert (metrics["app_reconfig_ok_total"], metrics["app_reconfig_failed_total"]) == (1, 1)


@with_fleet
async def test_a_console_that_cannot_be_bound_ends_the_start(fleet):
    env = {**fleet.env(), "LB_CONSOLE": "192.0.2.1:1"}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "message_relay",
        env={**os.environ, **env},
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    _, err = await bounded(process.communicate())
    assert process.returncode == 1 and err.startswith(b"message-relay: cannot start: ")

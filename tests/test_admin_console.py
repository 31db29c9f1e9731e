"""The admin console: parsing and rejecting commands, callers that stall, and the rendered metrics."""

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
    """Records the commands; rejects the id 'none' and fails for the id 'broken'."""

    def __init__(self):
        self.executed = []

    def __getattr__(self, name):
        def execute(*args):
            self.executed.append((name, *args))
            if args == ("none",):
                raise admin_console.CommandRejectedError("no such endpoint")
            if args == ("broken",):
                raise RuntimeError("a fault")
            return "app_inflight 14\n"

        return execute


@pytest.mark.parametrize(
    ("line", "answer_text", "expected_commands"),
    [
        (b"health\n", "ACK\n", [("check_health",)]),
        (b"  quiesce \r\n", "ACK\n", [("quiesce",)]),
        (b"resume\n", "ACK\n", [("resume",)]),
        (b"cordon s-1\n", "ACK\n", [("cordon", "s-1")]),
        (b"uncordon s-1\r\n", "ACK\n", [("uncordon", "s-1")]),
        (b"counters\n", "ACK\napp_inflight 14\n--\n", [("render_metrics",)]),
        (b"cordon none\n", "NAK no such endpoint\n", [("cordon", "none")]),
        (b"cordon broken\n", "NAK internal error\n", [("cordon", "broken")]),
        (
            b"cordon\n",
            "NAK cordon expects one endpoint id of 1 to 256 printable ASCII characters, got ''\n",
            [],
        ),
        (
            b"cordon s-1 s-2\n",
            "NAK cordon expects one endpoint id of 1 to 256 printable ASCII characters, got 's-1 s-2'\n",
            [],
        ),
        (
            b"cordon " + b"x" * 300 + b"\n",
            "NAK cordon expects one endpoint id of 1 to 256 printable ASCII characters, got '"
            + "x" * 79
            + "\n",
            [],
        ),
        (
            b"cordon s\x01\n",
            "NAK cordon expects one endpoint id of 1 to 256 printable ASCII characters, got 's\\x01'\n",
            [],
        ),
        (b"health now\n", "NAK health expects no arguments, got 'now'\n", []),
        (b"counters all\n", "NAK counters expects no arguments, got 'all'\n", []),
        (
            b"\n",
            "NAK unknown command '', expected one of health, quiesce, resume, counters, cordon, uncordon\n",
            [],
        ),
        (
            b"HEALTH\n",
            "NAK unknown command 'HEALTH', "
            "expected one of health, quiesce, resume, counters, cordon, uncordon\n",
            [],
        ),
        (
            b"__class__\n",
            "NAK unknown command '__class__', "
            "expected one of health, quiesce, resume, counters, cordon, uncordon\n",
            [],
        ),
        (b"\xff\xfe\n", "NAK expected a command in ASCII, got b'\\xff\\xfe\\n'\n", []),
    ],
)
def test_each_command_has_its_answer(line, answer_text, expected_commands):
    commands = RecordingCommands()
    assert admin_console.execute_line(line, commands) == answer_text
    assert commands.executed == expected_commands


def with_console(test):
    """Decorate a coroutine so that pytest runs it with a console and a function that connects to it."""

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
async def test_a_stalled_caller_does_not_delay_others_and_gets_an_error(console, connect, monkeypatch):
    monkeypatch.setattr(admin_console, "COMMAND_TIMEOUT_S", 0.3)
    stalled = [await connect() for _ in range(5)]
    for _, writer in stalled:
        writer.write(b"heal")
    reader, writer = await connect()
    writer.write(b"health\n")
    assert await bounded(reader.read()) == b"ACK\n"
    for reader, writer in stalled:
        assert (await bounded(reader.read())).startswith(b"NAK ")
        writer.close()
    assert console.commands.executed == [("check_health",)]


@with_console
async def test_a_command_sent_in_pieces_is_executed_and_a_truncated_one_is_not(console, connect, _):
    reader, writer = await connect()
    for byte in b"cordon s-12\n":
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(0)
    assert await bounded(reader.read()) == b"ACK\n"
    reader, writer = await connect()
    writer.write(b"cordon s-1")
    writer.write_eof()
    assert (await bounded(reader.read())).startswith(b"NAK ")
    assert console.commands.executed == [("cordon", "s-12")]


@with_console
async def test_an_overlong_line_is_rejected_and_input_after_a_command_is_discarded(console, connect, _):
    reader, writer = await connect()
    writer.write(b"x" * 100_000)
    assert (await bounded(reader.read())).startswith(b"NAK ")
    reader, writer = await connect()
    writer.write(b"health\n" + b"quiesce\n" * 1000)  # one command per connection; its answer must not be lost
    assert await bounded(reader.read()) == b"ACK\n"
    assert console.commands.executed == [("check_health",)]


@with_console
async def test_the_oldest_connection_is_closed_for_a_new_one(console, connect, monkeypatch):
    monkeypatch.setattr(admin_console, "MAX_CONNECTIONS", 3)
    open_connections = [await connect() for _ in range(3)]
    while len(console.connections) < 3:
        await asyncio.sleep(0.001)
    reader, writer = await connect()
    writer.write(b"health\n")
    assert await bounded(reader.read()) == b"ACK\n"
    assert await bounded(open_connections[0][0].read()) == b""
    open_connections[1][1].write(b"health\n")  # only the oldest was closed
    assert await bounded(open_connections[1][0].read()) == b"ACK\n"


def test_the_console_address_of_the_environment_overrides_that_of_the_file(tmp_path):
    document = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "console": "127.0.0.1:3",
        "settings": {"no": 1},
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    environment = {"LB_CONFIG": str(path), "LB_STATE": str(tmp_path), "LB_CONSOLE": "nowhere"}
    with pytest.raises(ConfigurationError, match="settings"):
        load_configuration(environment)
    path.write_text(json.dumps({**document, "settings": settings()}))
    with pytest.raises(ConfigurationError, match="LB_CONSOLE"):
        load_configuration(environment)
    assert load_configuration({**environment, "LB_CONSOLE": "127.0.0.1:4"}).console_address == (
        "127.0.0.1",
        4,
    )
    assert load_configuration({**environment, "LB_CONSOLE": ""}).console_address == ("127.0.0.1", 3)
    path.write_text(json.dumps({**document, "console": "", "settings": settings()}))
    assert load_configuration({**environment, "LB_CONSOLE": ""}).console_address is None


def test_metrics_are_rendered_one_per_line_with_escaped_label_values():
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
    assert await client.put("m1") == "+OK"  # same id: not counted as another message
    assert await client.put("m2", message_class="unsafe") == "+OK"
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
    fleet.raw_settings = settings(policyLimits__maxOpen=1)
    await fleet.endpoint("a", "hang")
    client = await fleet.start_relay()
    assert await client.put("m1") == "+OK"
    assert (await client.put("m2", message_class="unsafe")).startswith("-BUSY")
    metrics = await fleet.metrics()
    assert metrics['app_busy_total{tier="unsafe"}'] == 1 and metrics["app_inflight"] == 1


@with_fleet
async def test_one_reload_is_counted_per_signal(fleet):
    await fleet.start_process()
    path = fleet.folder / "config.json"
    text = path.read_text()
    path.write_text(json.dumps({**json.loads(text), "discovery": f"127.0.0.1:{fleet.discovery.port}"}))

    async def wait_for_count(name, count):
        while (metrics := await fleet.metrics())[name] < count:
            await asyncio.sleep(0.01)
        return metrics

    fleet.process.send_signal(1)
    metrics = await wait_for_count("app_reconfig_ok_total", 1)
    assert metrics["app_reconfig_failed_total"] == 0
    path.write_text(text[:50])
    fleet.process.send_signal(1)
    await wait_for_count("app_reconfig_failed_total", 1)
    await asyncio.sleep(0.4)  # the retries meanwhile are not counted as reloads
    metrics = await fleet.metrics()
    assert (metrics["app_reconfig_ok_total"], metrics["app_reconfig_failed_total"]) == (1, 1)


@with_fleet
async def test_the_process_does_not_start_if_the_console_address_cannot_be_bound(fleet):
    environment = {**fleet.write_configuration(), "LB_CONSOLE": "192.0.2.1:1"}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "message_relay",
        env={**os.environ, **environment},
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    _, err = await bounded(process.communicate())
    assert process.returncode == 1 and err.startswith(b"message-relay: cannot start: ")

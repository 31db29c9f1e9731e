"""A relay server in the process of the test, with scripted endpoints, discovery and clients."""

import asyncio
import time
from dataclasses import replace

import pytest
from loopback import Client, Fleet, answer, bounded, settings, until, with_fleet

from message_relay.model import AttemptEnded, EndpointState, LoadReportReceived


@with_fleet
async def test_a_message_is_forwarded_unchanged(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    body = bytes(range(256)) * 8 + b"\r\n*1\r\n$4\r\nPING\r\n"
    assert await client.send(client.command(b"PING")) == "+PONG"
    assert await client.put("m1", message_class="keyed", key="k1", body=body) == "+OK"
    path, headers, received_body, _ = await endpoint.call()
    assert (path, headers["x-request-id"], headers["idempotency-key"], received_body) == (
        "/events",
        "m1",
        "k1",
        body,
    )
    assert fleet.discovery.finals.empty()


@with_fleet
async def test_an_idempotent_message_is_retried_and_a_non_idempotent_one_is_not(fleet):
    endpoint = await fleet.endpoint("a", answer(500), answer(200), answer(500))
    client = await fleet.start_relay()
    await client.put("s")
    assert [(await endpoint.call())[1]["x-request-id"] for _ in range(2)] == ["s", "s"]
    await client.put("u", message_class="unsafe")
    assert await fleet.discovery.final() == {"id": "u", "status": "undeliverable"}
    assert (await endpoint.call())[1]["x-request-id"] == "u" and endpoint.calls.empty()


@with_fleet
async def test_a_retry_after_is_honored_and_reported(fleet):
    # A Retry-After starts when the response is written and applies to all messages to the destination.
    endpoint = await fleet.endpoint("a", answer(429, Retry_After="0.7"))
    client = await fleet.start_relay()
    await client.put("m1")
    rejected_at = (await endpoint.call())[3]
    final = await fleet.discovery.final()
    assert (final["id"], final["status"]) == ("m1", "deferred") and 600 <= final["again_ms"] <= 700
    await client.put("m2")
    assert (await endpoint.call())[3] - rejected_at >= 0.7


@with_fleet
async def test_a_load_report_reaches_the_policy(fleet):
    reports = [answer(200, X_Server_Load=text) for text in ("x1=25,x0=0.4", "x0=0.4")]
    endpoint = await fleet.endpoint("a", *reports)
    fleet.raw_settings["report"] = {"fields": ["x0", "x1"]}
    client = await fleet.start_relay()
    relay, events = fleet.relay, []
    add_event = relay.events.add
    relay.events.add = lambda event: (events.append(event), add_event(event))
    for message_id in ("m1", "m2"):
        await client.put(message_id)
        await endpoint.call()
        while sum(isinstance(event, AttemptEnded) for event in events) < int(message_id[1]):
            await asyncio.sleep(0.01)
    reports = [event for event in events if isinstance(event, LoadReportReceived)]
    assert reports == [LoadReportReceived(relay.directory.numbers["a"], (0.4, 25.0))]


@with_fleet
async def test_nothing_is_sent_to_a_draining_endpoint(fleet):
    endpoint_a = await fleet.endpoint("a")
    endpoint_b = await fleet.endpoint("b")
    client = await fleet.start_relay()
    await bounded(fleet.discovery.watches.get())
    for index in range(4):
        await client.put(f"m{index}")
    fleet.discovery.change("a", state="terminating")
    while fleet.relay.watch.revision != fleet.discovery.rev:
        await asyncio.sleep(0.01)
    calls_before = endpoint_a.calls.qsize()
    for index in range(4, 12):
        await client.put(f"m{index}")
    while endpoint_a.calls.qsize() + endpoint_b.calls.qsize() < 12:
        await asyncio.sleep(0.01)
    assert endpoint_a.calls.qsize() == calls_before
    assert not fleet.relay.calls.pools[fleet.relay.directory.numbers["a"]].idle
    number = fleet.relay.directory.numbers["b"]
    fleet.discovery.change("b", state="terminated")
    while number in fleet.relay.directory.entries:
        await asyncio.sleep(0.01)


@with_fleet
async def test_a_retry_is_not_written_on_a_connection_established_after_the_key_window(fleet):
    fleet.raw_settings["classes"][1]["keyTtlUs"] = 700_000
    endpoint = await fleet.endpoint("a", "reset")
    client = await fleet.start_relay()
    calls, established = fleet.relay.calls, []
    connected, calls._connected = calls._connected, lambda *arguments: established.append(arguments)
    await client.put("m", message_class="keyed", key="k")
    while len(established) < 1:
        await asyncio.sleep(0.01)
    connected(*established[0])
    applied_at = time.time()
    while len(established) < 2:  # the retry's connection, which is reported only after the key window
        await asyncio.sleep(0.01)
    while time.time() < applied_at + 0.7:
        await asyncio.sleep(0.01)
    connected(*established[1])
    assert (await fleet.discovery.final())["id"] == "m"  # notified at once, as no further attempt may start
    assert time.time() < applied_at + 2
    assert (await endpoint.call())[1]["idempotency-key"] == "k" and endpoint.calls.empty()


@with_fleet
async def test_the_relay_serves_while_discovery_is_down_and_reconnects_to_it(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    await bounded(fleet.discovery.watches.get())
    await fleet.discovery.stop()
    await client.put("m1")  # sent with the latest endpoint list
    await fleet.endpoints["a"].call()
    endpoint = await fleet.endpoint("b", dest=8)
    fleet.discovery.rev += 1
    await fleet.discovery.start()
    assert (await bounded(fleet.discovery.watches.get())).endswith("from=1")
    assert await client.put("m2", dest=8) == "+OK"
    assert (await endpoint.call())[1]["x-request-id"] == "m2"


def test_a_silent_watch_is_opened_again(tmp_path, monkeypatch):
    # A connection cut in the network stays open without data: only the missing empty lines reveal it.
    monkeypatch.setattr("message_relay.server.discovery.endpoint_watch.SILENCE_TIMEOUT_S", 0.2)

    async def run():
        async with Fleet(tmp_path) as fleet:
            await fleet.endpoint("a")
            await fleet.start_relay()
            for _ in range(3):
                await bounded(fleet.discovery.watches.get())

    asyncio.run(run())


@with_fleet
async def test_a_notice_is_sent_until_it_is_accepted(fleet):
    await fleet.endpoint("a", answer(500))
    fleet.discovery.notice_status = [500, 503]
    client = await fleet.start_relay()
    await client.put("u", message_class="unsafe")
    for status in (500, 503, 204):
        assert await fleet.discovery.final(status) == {"id": "u", "status": "undeliverable"}
    await until(lambda: not fleet.relay.journal.messages)


@with_fleet
async def test_a_message_submitted_twice_is_not_sent_twice(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    client.writer.write(client.message("m", message_class="unsafe") * 2)
    assert [await client.line() for _ in range(2)] == ["+OK"] * 2
    await endpoint.call()
    await until(lambda: not fleet.relay.journal.messages)
    assert await client.put("m", message_class="unsafe") == "+OK"
    await client.put("n")
    assert (await endpoint.call())[1]["x-request-id"] == "n"


@with_fleet
async def test_over_capacity_messages_are_rejected_with_a_retry_after(fleet):
    fleet.raw_settings = settings(policyLimits__maxOpen=4)
    client = await fleet.start_relay()  # there is no endpoint, so accepted messages stay open
    client.writer.write(b"".join(client.message(f"m{n}") for n in range(6)))
    answers = [await client.line() for n in range(6)]
    busy = [answer for answer in answers if answer.startswith("-BUSY ")]
    assert answers[0] == "+OK" and busy and all(0 < int(answer.split()[1]) <= 2000 for answer in busy)


@with_fleet
async def test_a_full_disk_rejects_messages(fleet):
    # The old and the new journal file together must stay under the disk limit, as exceeding it is a crash.
    fleet.limits["disk_mb"] = 0.1
    client = await fleet.start_relay()
    answers = [await client.put(f"m{n}", body=b"x" * 9000) for n in range(10)]
    assert "+OK" in answers and answers[-1].startswith("-BUSY ")
    files = (fleet.folder / "state").iterdir()
    assert sum(-(-file.stat().st_size // 512) * 512 for file in files) < 100_000
    assert len(fleet.relay.journal.messages) == answers.count("+OK") < 10
    endpoint = await fleet.endpoint("a")
    fleet.discovery.rev += 1
    fleet.discovery.drop()  # the watch reconnects and lists the endpoint: deliveries free space
    for _ in range(answers.count("+OK")):
        await endpoint.call()
    assert await client.put("small") == "+OK"


@with_fleet
async def test_a_failed_write_rejects_the_message(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()

    def fail(file, data):
        raise OSError(28, "No space left on device")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("message_relay.server.journal.file.os.write", fail)
        assert (await client.put("m1")).startswith("-BUSY")
    assert await client.put("m2") == "+OK"
    assert (await endpoint.call())[1]["x-request-id"] == "m2"  # m1 was rejected, so it must not be sent


@with_fleet
async def test_an_unsent_message_is_deferred_in_time(fleet):
    client = await fleet.start_relay()
    start = time.monotonic()
    assert await client.put("m", lifetime_ms=600) == "+OK"
    assert (await fleet.discovery.final())["status"] == "deferred"
    assert time.monotonic() - start < 0.6 + 0.3


def test_a_client_that_hangs_does_not_delay_the_others(tmp_path):
    async def run():
        async with Fleet(tmp_path) as fleet:
            await fleet.endpoint("a")
            client = await fleet.start_relay()
            client.writer.write(client.message("partial")[:-5])
            other = await Client().open(client.writer.get_extra_info("peername")[1])
            assert await other.put("m") == "+OK"

    asyncio.run(run())


@with_fleet
async def test_a_client_that_closes_its_sending_side_still_gets_its_answer(fleet):
    # A connection closed without a reply would lose the message.
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    client.writer.write(client.message("m"))
    client.writer.write_eof()
    assert await client.line() == "+OK"
    assert await bounded(client.reader.read()) == b""
    await endpoint.call()


@with_fleet
async def test_a_call_that_fails_by_an_internal_error_is_ended(fleet):
    # An exception in the relay's code must neither end the process nor leave a call slot occupied.
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(fleet.relay.calls, "_start", lambda call: 1 / 0)
        assert await client.put("m1", message_class="unsafe") == "+OK"
        assert (await fleet.discovery.final())["status"] == "deferred"
    assert fleet.relay.policy.state.in_flight == 0
    await client.put("m2")
    assert (await fleet.endpoints["a"].call())[1]["x-request-id"] == "m2"


@with_fleet
async def test_the_window_of_a_reused_key_starts_with_its_first_attempt(fleet):
    # After the window the destination no longer recognizes the key, and could apply the message again.
    endpoint = await fleet.endpoint("a", answer(500), answer(500), answer(500))
    client = await fleet.start_relay()
    await client.put("m1", message_class="keyed", key="k")
    assert (await fleet.discovery.final())["id"] == "m1"
    for _ in range(3):
        await endpoint.call()
    await client.put("m2", message_class="keyed", key="k")
    assert (await endpoint.call())[1]["idempotency-key"] == "k"  # the window has not passed
    fleet.relay.journal.idempotency_keys.add("k", time.time() - 8.5, time.time() + 9)
    assert (await client.put("m3", message_class="keyed", key="k")).startswith("-BUSY")
    assert endpoint.calls.empty()


@with_fleet
async def test_the_key_of_an_open_message_passes_to_the_newer_message(fleet):
    # A client that gets no outcome in time submits a new message with the same key: two copies must not be in
    # flight at once.
    endpoint = await fleet.endpoint("a", "hang")
    client = await fleet.start_relay()
    await client.put("m1", message_class="keyed", key="k")
    await endpoint.call()
    await client.put("m2", message_class="keyed", key="k")
    assert (await fleet.discovery.final()) == {"id": "m1", "status": "deferred"}
    await bounded(endpoint.closed_connections.get())  # the older call was cancelled
    path, headers, *_ = await endpoint.call()
    assert (headers["x-request-id"], headers["idempotency-key"]) == ("m2", "k")


@pytest.mark.parametrize("change", ["wait", "drain"])
def test_a_change_applies_to_calls_that_were_decided_before_it(tmp_path, change):
    # A Retry-After or a new state can arrive while a call's connection is established: the relay checks both
    # again before it writes.
    async def run():
        async with Fleet(tmp_path) as fleet:
            endpoint = await fleet.endpoint("a")
            client = await fleet.start_relay()
            relay = fleet.relay
            number = relay.directory.numbers["a"]
            if change == "wait":
                relay.attempts.retry_after_received(number, 60_000_000)
            else:
                relay.directory.entries[number] = replace(
                    relay.directory.entries[number], state=EndpointState.DRAINING
                )
            assert await client.put("m", message_class="unsafe") == "+OK"
            assert (await fleet.discovery.final())["status"] == "deferred"  # the message was never sent
            assert endpoint.calls.empty()

    asyncio.run(run())

"""The relay as a separate process that is killed or terminated and started again.

Guards against accepted messages that are lost or delivered twice, and against a shutdown that takes too long.
"""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time

from loopback import ROOT, Client, answer, bounded, with_fleet


@with_fleet
async def test_accepted_messages_survive_sigkill(fleet):
    # Attempts in flight when the process is killed are possibly applied: only messages whose repetition is
    # safe are sent again.
    endpoint_e = await fleet.endpoint("a", "hang", "hang", "hang", dest=1)
    endpoint_f = await fleet.endpoint("b", "hang", dest=2)
    endpoint_g = await fleet.endpoint("c", "hang", dest=3)
    fleet.discovery.add_target("z", endpoint_e.port, 5, state="terminating")
    client = await fleet.start_process()
    await client.put("safe", dest=1)
    await client.put("unsafe", message_class="unsafe", dest=2)
    await client.put("keyed", message_class="keyed", key="k", dest=3)
    await client.put("waiting", dest=5)  # its only endpoint is draining
    for endpoint in (endpoint_e, endpoint_f, endpoint_g):
        await endpoint.call()
    await fleet.kill()
    endpoint_e.script.clear()
    endpoint_h = await fleet.endpoint("d", dest=5)
    client = await fleet.start_process()
    assert await fleet.discovery.final() == {"id": "unsafe", "status": "undeliverable"}
    assert (await endpoint_e.call())[1]["x-request-id"] == "safe"
    assert (await endpoint_g.call())[1]["idempotency-key"] == "k"
    assert (await endpoint_h.call())[1]["x-request-id"] == "waiting"
    assert endpoint_f.calls.empty()
    assert await client.put("safe", dest=1) == "+OK"  # the id is in the journal: not sent again
    await client.put("next", dest=1)
    assert (await endpoint_e.call())[1]["x-request-id"] == "next"


def split_into_zones(fleet):
    """Let the keyed class deduplicate within a zone only, and put endpoints a and b into different zones."""
    fleet.raw_settings["localities"] = ["here", "there"]
    fleet.raw_settings["classes"][1]["keyScope"] = "zone"
    fleet.discovery.targets["b"]["az"] = "there"


@with_fleet
async def test_after_sigkill_a_retry_stays_in_the_zone_where_it_may_have_been_applied(fleet):
    endpoint_b = await fleet.endpoint("b", "hang")
    split_into_zones(fleet)
    client = await fleet.start_process()
    await client.put("m", message_class="keyed", key="k")
    await endpoint_b.call()
    await fleet.kill()
    endpoint_a = await fleet.endpoint("a")
    await fleet.start_process()
    assert (await endpoint_b.call())[1]["idempotency-key"] == "k"
    assert endpoint_a.calls.empty()


@with_fleet
async def test_a_key_submitted_again_stays_in_the_zone_where_it_may_have_been_applied(fleet):
    endpoint_b = await fleet.endpoint("b")
    split_into_zones(fleet)
    client = await fleet.start_relay()
    await bounded(fleet.discovery.watches.get())
    await client.put("m", message_class="keyed", key="k")
    await endpoint_b.call()
    endpoint_a = await fleet.endpoint("a")
    fleet.discovery.change("a", az="here")
    while len(fleet.relay.directory.entries) < 2:
        await asyncio.sleep(0.01)
    fleet.relay.journal.compact()  # the zone is stored in a compacted file too
    await client.put("m2", message_class="keyed", key="k")
    assert (await endpoint_b.call())[1]["x-request-id"] == "m2"
    assert endpoint_a.calls.empty()


@with_fleet
async def test_completed_messages_are_not_sent_again(fleet):
    endpoint = await fleet.endpoint("a", answer(200), answer(429))
    client = await fleet.start_process()
    await client.put("m1", message_class="unsafe")
    await endpoint.call()
    await client.put("m2", message_class="unsafe")
    assert (await fleet.discovery.final())["id"] == "m2"
    assert (
        await client.put("m1", message_class="unsafe") == "+OK"
    )  # completed by now, and the 204 has been read
    await client.put("m3")
    for _ in range(2):
        await endpoint.call()
    await asyncio.sleep(0.2)
    await fleet.kill()
    client = await fleet.start_process()
    await client.put("m4")
    assert (await endpoint.call())[1]["x-request-id"] == "m4"
    assert endpoint.calls.empty() and fleet.discovery.finals.empty()


@with_fleet
async def test_a_final_notice_without_its_204_is_sent_again(fleet):
    await fleet.endpoint("a", answer(500))
    fleet.discovery.notice_status = [500] * 1000
    client = await fleet.start_process()
    await client.put("u", message_class="unsafe")
    await fleet.discovery.final(500)
    await fleet.kill()
    fleet.discovery.notice_status = []
    await fleet.start_process()
    assert await fleet.discovery.final() == {"id": "u", "status": "undeliverable"}


@with_fleet
async def test_an_expired_message_gets_its_notice_after_a_restart(fleet):
    client = await fleet.start_process()
    await client.put("m", lifetime_ms=300, dest=99)
    await fleet.kill()
    await asyncio.sleep(0.4)
    await fleet.start_process()
    ready = time.monotonic()
    assert (await fleet.discovery.final())["id"] == "m"
    assert time.monotonic() - ready < 1.5


@with_fleet
async def test_a_torn_journal_is_truncated_and_used(fleet):
    client = await fleet.start_process()
    await client.put("m1", dest=5)
    await client.put("m2", dest=5)
    await fleet.kill()
    path = fleet.folder / "state" / "messages.journal"
    os.truncate(path, path.stat().st_size - 3)
    endpoint = await fleet.endpoint("a", dest=5)
    client = await fleet.start_process()
    assert (await endpoint.call())[1]["x-request-id"] == "m1"
    await client.put("m3", dest=5)
    assert (await endpoint.call())[1]["x-request-id"] == "m3"


@with_fleet
async def test_sigterm_under_traffic_loses_no_accepted_message(fleet):
    # After SIGTERM, new connections are accepted for a while and calls in flight may finish; messages that
    # were accepted and not delivered stay in the journal.
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_process()
    start = time.monotonic()
    fleet.process.send_signal(signal.SIGTERM)
    sent = 0
    while time.monotonic() - start < 0.3:
        late = await Client().open(fleet.port)
        assert await late.put(f"m{sent}") == "+OK"
        late.writer.close()
        sent += 1
        await asyncio.sleep(0.02)
    assert await bounded(client.reader.read()) == b""  # closed while no request was open
    await bounded(fleet.process.wait())
    assert time.monotonic() - start < 3.7 and fleet.process.returncode == 0
    ids = {(await endpoint.call())[1]["x-request-id"] for _ in range(endpoint.calls.qsize())}
    if len(ids) < sent:  # the rest is in the journal
        await fleet.start_process()
        while len(ids) < sent:
            ids.add((await endpoint.call())[1]["x-request-id"])
    assert ids == {f"m{n}" for n in range(sent)}


@with_fleet
async def test_sigterm_with_a_hung_call_ends_in_time(fleet):
    endpoint = await fleet.endpoint("a", "hang")
    client = await fleet.start_process()
    await client.put("u", message_class="unsafe")
    await endpoint.call()
    start = time.monotonic()
    fleet.process.send_signal(signal.SIGTERM)
    await bounded(fleet.process.wait())
    assert time.monotonic() - start < 3.7 and fleet.process.returncode == 0


@with_fleet
async def test_the_process_survives_running_out_of_descriptors(fleet):
    # With more clients than descriptors, the client connections that were idle longest are closed.
    endpoint = await fleet.endpoint("a")
    fleet.limits["sockets"] = 40
    await fleet.start_process(descriptor_limit=40)
    clients = []
    for _ in range(80):
        with contextlib.suppress(OSError):
            clients.append(await Client().open(fleet.port))
    for client in clients:
        client.writer.close()
    late = await Client().open(fleet.port)
    assert await late.put("m") == "+OK"
    assert (await endpoint.call())[1]["x-request-id"] == "m"
    assert fleet.process.returncode is None


def test_a_wrong_configuration_ends_with_one_line_and_status_2(tmp_path):
    env = {**os.environ, "LB_CONFIG": str(tmp_path / "none"), "LB_STATE": str(tmp_path)}
    command = [sys.executable, "-m", "message_relay"]
    completed = subprocess.run(command, env=env, cwd=ROOT, capture_output=True, text=True, timeout=20)
    assert completed.returncode == 2 and completed.stderr.startswith("message-relay: LB_CONFIG: ")
    assert completed.stderr.count("\n") == 1

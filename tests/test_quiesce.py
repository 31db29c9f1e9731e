"""Quiesce and resume: clients are moved away without losing any, and return."""

import asyncio

from loopback import Client, answer, bounded, with_fleet

from message_relay.server import lifecycle
from message_relay.server.resp.connection import has_unread_data

PING = Client.command(b"PING")


@with_fleet
async def test_a_quiesced_instance_is_unready_serves_late_clients_and_closes(fleet):
    endpoint = await fleet.endpoint("a", "hang", answer(200))
    kept = await fleet.start_relay()
    assert await kept.send(PING) == "+PONG" and await fleet.run_command("health") == "ACK\n"
    assert await kept.put("before") == "+OK"
    assert await fleet.run_command("quiesce") == "ACK\n"
    assert await fleet.run_command("quiesce") == "ACK\n"
    assert (await kept.send(PING)).startswith("-") and (await fleet.run_command("health")).startswith("NAK ")
    late = await Client().open(fleet.relay_port())
    assert await late.put("late") == "+OK" and await kept.put("later") == "+OK"
    start = asyncio.get_running_loop().time()
    for client in (kept, late):
        assert await bounded(client.reader.read()) == b""
    assert asyncio.get_running_loop().time() - start < 2
    again = await Client().open(fleet.relay_port())  # the listener still answers
    assert (await again.send(PING)).startswith("-")
    assert await bounded(again.reader.read()) == b""
    got = set()
    while len(got) < 3:  # the one that hangs is retried after a random backoff
        got.add((await endpoint.call())[1]["x-request-id"])
    assert got == {"before", "late", "later"}
    assert fleet.relay.clients.listening and not fleet.relay.lifecycle.closed.done()


@with_fleet
async def test_resume_undoes_quiesce(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    assert await fleet.run_command("resume") == "ACK\n"  # not quiesced: no effect
    assert await fleet.run_command("quiesce") == "ACK\n"
    assert await bounded(client.reader.read()) == b""
    for _ in range(2):
        assert await fleet.run_command("resume") == "ACK\n"
    assert await fleet.run_command("health") == "ACK\n"
    client = await Client().open(fleet.relay_port())
    assert await client.send(PING) == "+PONG"
    await asyncio.sleep(
        lifecycle.ACCEPT_CLIENTS_S + 5 * lifecycle.CLOSE_INTERVAL_S
    )  # a timer that was left would close it now
    assert await client.put("m") == "+OK"
    await endpoint.call()


@with_fleet
async def test_a_request_that_has_arrived_is_read_before_its_connection_is_closed(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    assert await client.send(PING) == "+PONG"
    relay = fleet.relay
    served = next(iter(relay.clients.connections))
    client.writer.write(Client.message("m"))
    while not has_unread_data(served.sock):
        pass  # the loop does not run: the request stays unread
    relay.clients.close_idle_connections()
    assert await client.line() == "+OK"
    assert (await endpoint.call())[1]["x-request-id"] == "m"


@with_fleet
async def test_a_request_in_pieces_is_completed_before_the_close(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    message = Client.message("m")
    client.writer.write(message[:20])
    assert await fleet.run_command("quiesce") == "ACK\n"
    await asyncio.sleep(lifecycle.ACCEPT_CLIENTS_S + 5 * lifecycle.CLOSE_INTERVAL_S)
    assert await client.send(message[20:]) == "+OK"
    assert await bounded(client.reader.read()) == b""
    assert (await endpoint.call())[1]["x-request-id"] == "m"


@with_fleet
async def test_a_client_that_comes_long_after_is_rejected(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    fleet.relay.operations.quiesce()
    fleet.relay.lifecycle._quiesced_at_s -= lifecycle.QUIESCED_ACCEPT_S
    client = await Client().open(fleet.relay_port())
    assert (await client.put("m")).startswith("-BUSY ")
    assert fleet.relay.journal.open_count == 0
    assert (await fleet.metrics())['app_busy_total{tier="safe"}'] == 1
    fleet.relay.lifecycle.shut_down()
    assert (await fleet.run_command("resume")).startswith("NAK ")

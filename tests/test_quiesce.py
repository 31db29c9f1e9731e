"""Quiesce closes client connections without losing a request; resume accepts clients again."""

import asyncio

from loopback import Client, answer, bounded, with_fleet

from message_relay.server import lifecycle
from message_relay.server.resp.connection import has_unread_data

PING = Client.command(b"PING")


@with_fleet
async def test_a_quiesced_instance_is_unready_serves_late_clients_and_closes(fleet):
    endpoint = await fleet.endpoint("a", "hang", answer(200))
    first_client = await fleet.start_relay()
    assert await first_client.send(PING) == "+PONG" and await fleet.run_command("health") == "ACK\n"
    assert await first_client.put("before") == "+OK"
    assert await fleet.run_command("quiesce") == "ACK\n"
    assert await fleet.run_command("quiesce") == "ACK\n"
    assert (await first_client.send(PING)).startswith("-") and (await fleet.run_command("health")).startswith(
        "NAK "
    )
    late_client = await Client().open(fleet.relay_port())
    assert await late_client.put("late") == "+OK" and await first_client.put("later") == "+OK"
    start = asyncio.get_running_loop().time()
    for client in (first_client, late_client):
        assert await bounded(client.reader.read()) == b""
    assert asyncio.get_running_loop().time() - start < 2
    later_client = await Client().open(fleet.relay_port())  # the listener still answers
    assert (await later_client.send(PING)).startswith("-")
    assert await bounded(later_client.reader.read()) == b""
    delivered_ids = set()
    while len(delivered_ids) < 3:  # the call that hangs is retried after a backoff with jitter
        delivered_ids.add((await endpoint.call())[1]["x-request-id"])
    assert delivered_ids == {"before", "late", "later"}
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
    # A close timer that was not cancelled would close the connection in this time.
    await asyncio.sleep(lifecycle.ACCEPT_PERIOD_S + 5 * lifecycle.CLOSE_INTERVAL_S)
    assert await client.put("m") == "+OK"
    await endpoint.call()


@with_fleet
async def test_a_request_that_has_arrived_is_read_before_its_connection_is_closed(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    assert await client.send(PING) == "+PONG"
    relay = fleet.relay
    server_connection = next(iter(relay.clients.connections))
    client.writer.write(Client.message("m"))
    while not has_unread_data(server_connection.sock):
        pass  # the event loop does not run, so the relay cannot read the request
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
    await asyncio.sleep(lifecycle.ACCEPT_PERIOD_S + 5 * lifecycle.CLOSE_INTERVAL_S)
    assert await client.send(message[20:]) == "+OK"
    assert await bounded(client.reader.read()) == b""
    assert (await endpoint.call())[1]["x-request-id"] == "m"


@with_fleet
async def test_a_client_that_connects_after_the_accept_period_is_rejected(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    fleet.relay.operations.quiesce()
    fleet.relay.lifecycle._quiesced_at_s -= lifecycle.QUIESCED_ACCEPT_PERIOD_S
    client = await Client().open(fleet.relay_port())
    assert (await client.put("m")).startswith("-BUSY ")
    assert fleet.relay.journal.open_count == 0
    assert (await fleet.metrics())['app_busy_total{tier="safe"}'] == 1
    fleet.relay.lifecycle.shut_down()
    assert (await fleet.run_command("resume")).startswith("NAK ")

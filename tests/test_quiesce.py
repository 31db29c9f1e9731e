"""Quiesce and resume: clients are sent away without losing any, and come back."""

import asyncio

from loopback import Client, answer, bounded, courier

from message_relay.server import lifecycle
from message_relay.server.resp.connection import has_unread_data

PING = Client.command(b"PING")


@courier
async def test_a_quiesced_courier_says_no_serves_late_comers_and_closes(fleet):
    e = await fleet.endpoint("a", "hang", answer(200))
    kept = await fleet.inside()
    assert await kept.send(PING) == "+PONG" and await fleet.ask("health") == "ACK\n"
    assert await kept.put("before") == "+OK"
    assert await fleet.ask("quiesce") == "ACK\n"
    assert await fleet.ask("quiesce") == "ACK\n"
    assert (await kept.send(PING)).startswith("-") and (await fleet.ask("health")).startswith("NAK ")
    late = await Client().open(fleet.port_of_host())
    assert await late.put("late") == "+OK" and await kept.put("later") == "+OK"
    start = asyncio.get_running_loop().time()
    for client in (kept, late):
        assert await bounded(client.reader.read()) == b""
    assert asyncio.get_running_loop().time() - start < 2
    again = await Client().open(fleet.port_of_host())  # the listener still answers
    assert (await again.send(PING)).startswith("-")
    assert await bounded(again.reader.read()) == b""
    got = set()
    while len(got) < 3:  # the one that hangs is sent again, at a time that chance sets
        got.add((await e.call())[1]["x-request-id"])
    assert got == {"before", "late", "later"}
    assert fleet.host.clients.listening and not fleet.host.lifecycle.closed.done()


@courier
async def test_resume_undoes_all(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    assert await fleet.ask("resume") == "ACK\n"  # of nothing: harmless
    assert await fleet.ask("quiesce") == "ACK\n"
    assert await bounded(client.reader.read()) == b""
    for _ in range(2):
        assert await fleet.ask("resume") == "ACK\n"
    assert await fleet.ask("health") == "ACK\n"
    client = await Client().open(fleet.port_of_host())
    assert await client.send(PING) == "+PONG"
    await asyncio.sleep(
        lifecycle.ACCEPT_CLIENTS_S + 5 * lifecycle.CLOSE_INTERVAL_S
    )  # a timer that was left would close it now
    assert await client.put("m") == "+OK"
    await e.call()


@courier
async def test_a_request_that_has_come_is_read_before_its_connection_is_closed(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    assert await client.send(PING) == "+PONG"
    host = fleet.host
    served = next(iter(host.clients.connections))
    client.writer.write(Client.message("m"))
    while not has_unread_data(served.sock):
        pass  # the loop is not let go: the request lies unread
    host.clients.close_idle_connections()
    assert await client.line() == "+OK"
    assert (await e.call())[1]["x-request-id"] == "m"


@courier
async def test_a_request_in_pieces_outlasts_the_closing(fleet):
    e = await fleet.endpoint("a")
    client = await fleet.inside()
    message = Client.message("m")
    client.writer.write(message[:20])
    assert await fleet.ask("quiesce") == "ACK\n"
    await asyncio.sleep(lifecycle.ACCEPT_CLIENTS_S + 5 * lifecycle.CLOSE_INTERVAL_S)
    assert await client.send(message[20:]) == "+OK"
    assert await bounded(client.reader.read()) == b""
    assert (await e.call())[1]["x-request-id"] == "m"


@courier
async def test_who_comes_long_after_is_handed_back(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    fleet.host.operations.quiesce()
    fleet.host.lifecycle._quiesced_at_s -= lifecycle.QUIESCED_ACCEPT_S
    client = await Client().open(fleet.port_of_host())
    assert (await client.put("m")).startswith("-BUSY ")
    assert fleet.host.journal.open_count == 0
    assert (await fleet.figures())['app_busy_total{tier="safe"}'] == 1
    fleet.host.lifecycle.shut_down()
    assert (await fleet.ask("resume")).startswith("NAK ")

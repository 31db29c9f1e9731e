"""Clients that send invalid, malformed or incomplete requests, beside the usual ones."""

import asyncio
import contextlib
import socket
import time

import pytest
from loopback import Client, bounded, with_fleet

from message_relay.server.resp import connection, connection_table
from message_relay.server.resp.reader import ProtocolError, RequestReader

command = Client.command
INVALID_REQUESTS = {
    "no such command": command(b"NOPE"),
    "no command": b"*0\r\n",
    "too few": command(b"MSG.PUT", b"1"),
    "class": command(b"MSG.PUT", b"0", b"id", b"c=nope,t=t,d=9,dest=7", b""),
    "deadline": command(b"MSG.PUT", b"0", b"id", b"c=safe,t=t,d=x,dest=7", b""),
    "endless deadline": command(b"MSG.PUT", b"0", b"id", b"c=safe,t=t,d=999999999999,dest=7", b""),
    "no key": command(b"MSG.PUT", b"0", b"id", b"c=keyed,t=t,d=900,dest=7", b""),
    "tenant": command(b"MSG.PUT", b"0", b"id", b"c=safe,t=nobody,d=900,dest=7", b""),
    "destination": command(b"MSG.PUT", b"0", b"id", b"c=safe,t=t,d=900,dest=99", b""),
    "id": command(b"MSG.PUT", b"0", b"i d", b"c=safe,t=t,d=900,dest=7", b""),
    "no id": command(b"MSG.PUT", b"0", b"", b"c=safe,t=t,d=900,dest=7", b""),
    "fields": command(b"MSG.PUT", b"0", b"id", b"\xff\xfe", b""),
}
MALFORMED_REQUESTS = {
    "inline": b"PING\r\n",
    "number": b":5\r\n",
    "random bytes": b"\x00\xff\x17" * 30,
    "nested": b"*1\r\n*1\r\n$1\r\nx\r\n",
    "negative count": b"*-1\r\n",
    "huge count": b"*1000000000\r\n",
    "negative length": b"*1\r\n$-1\r\n",
    "huge length": b"*1\r\n$60000000\r\n",
    "no length": b"*1\r\n$x\r\n",
    "signed": b"*+1\r\n",
    "wrong length": b"*1\r\n$3\r\nPINGPONG\r\n",
    "line without end": b"*" + b"1" * 50,
    "big body": Client.message("big", body=b"x" * 65537),
    "sum": b"*16\r\n" + b"".join(b"$60000\r\n%s\r\n" % (b"x" * 60000) for _ in range(2)),
}


@with_fleet
async def test_an_invalid_request_gets_its_error_and_the_connection_stays_open(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    for name, request in INVALID_REQUESTS.items():
        client = await Client().open(fleet.relay_port())
        assert (await client.send(request)).startswith("-ERR"), name
        assert await client.send(command(b"PING")) == "+PONG", name
    assert not fleet.relay.journal.messages and not fleet.relay.journal.finished_ids


@with_fleet
async def test_a_malformed_request_is_answered_with_an_error_and_a_close(fleet):
    # A huge length is rejected before anything is kept for it, without waiting for the rest.
    await fleet.endpoint("a")
    await fleet.start_relay()
    for name, request in MALFORMED_REQUESTS.items():
        client = await Client().open(fleet.relay_port())
        assert (await client.send(request)).startswith("-ERR"), name
        with contextlib.suppress(ConnectionResetError):  # a close with bytes unread
            assert await bounded(client.reader.read()) == b"", name


@with_fleet
async def test_a_destination_whose_endpoints_are_gone_for_now_is_no_error(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    await bounded(fleet.discovery.watches.get())
    fleet.discovery.change("a", state="terminated")
    while fleet.relay.directory.entries:
        await asyncio.sleep(0.01)
    assert await client.put("m1") == "+OK"
    assert (await client.put("m2", dest=8)).startswith("-ERR")


@with_fleet
async def test_byte_by_byte_and_several_at_once_in_order(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    for byte in client.message("p1") + command(b"NOPE") + client.message("p2") + command(b"PING"):
        client.writer.write(bytes([byte]))
        await asyncio.sleep(0)
    got = [await client.line() for _ in range(4)]
    assert got[0] == got[2] == "+OK" and got[1].startswith("-ERR") and got[3] == "+PONG"


@with_fleet
async def test_a_client_that_repeats_invalid_requests_is_slowed_and_closed(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    began = time.monotonic()
    client.writer.write(command(b"NOPE") * connection.MAX_INVALID_REQUESTS + command(b"PING"))
    got = (await bounded(client.reader.read())).split(b"\r\n")
    assert len(got) == connection.MAX_INVALID_REQUESTS + 1 and all(
        line.startswith(b"-ERR") for line in got[:-1]
    )
    assert time.monotonic() - began >= connection.INVALID_REQUEST_PAUSE_S


@with_fleet
async def test_hundreds_of_requests_at_once_end_the_connection(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    client.writer.write(command(b"PING") * 500)
    lines = (await bounded(client.reader.read())).split(b"\r\n")
    assert lines[-2].startswith(b"-ERR") and len(lines) <= connection.MAX_PIPELINED_REQUESTS + 2


@with_fleet
async def test_a_request_that_is_not_complete_in_time_gets_an_error_or_a_close(fleet):
    await fleet.endpoint("a")
    silent = await fleet.start_relay()
    half = await Client().open(fleet.relay_port())
    half.writer.write(command(b"PING")[:9])
    later = await Client().open(fleet.relay_port())
    assert await later.put("m1") == "+OK"
    later.writer.write(later.message("m2")[:60])
    began = time.monotonic()
    assert (await half.line()).startswith("-ERR")
    assert (await later.line()).startswith("-ERR")
    for client in (silent, half, later):
        assert await bounded(client.reader.read()) == b""
    assert time.monotonic() - began < connection.REQUEST_TIMEOUT_S + 1


@with_fleet
async def test_hundreds_of_silent_connections_do_not_keep_the_usual_clients_out(fleet):
    # They had used up all descriptors: the whole backlog was accepted before any was closed.
    fleet.limits["sockets"] = 64
    await fleet.endpoint("a")
    await fleet.start_process(files=64)
    crowd = []
    for _ in range(300):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", fleet.port))
        crowd.append(sock)
    for n in range(5):
        new_client = await Client().open(fleet.port)
        assert await asyncio.wait_for(new_client.put(f"f{n}"), 0.4) == "+OK"
        assert await asyncio.wait_for(new_client.put(f"m{n}"), 0.4) == "+OK"
    for sock in crowd:
        sock.close()


@with_fleet
async def test_accepting_survives_running_out_of_descriptors(fleet):
    # The configured limit is wrong: only EMFILE says so, and connections without a valid request are closed.
    await fleet.endpoint("a")
    await fleet.start_process(files=40)
    crowd = [await Client().open(fleet.port) for _ in range(60)]
    new_client = await Client().open(fleet.port)
    assert await new_client.send(command(b"PING")) == "+PONG"
    assert await new_client.put("m1") == "+OK"
    for one in crowd:
        one.writer.close()


@pytest.mark.parametrize("data", [b"*1000000000\r\n", b"*5\r\n$99999999999\r\n"])
def test_nothing_is_allocated_for_a_length_that_was_only_announced(data):
    reader = RequestReader()
    reader.feed(data)
    with pytest.raises(ProtocolError):
        reader.next_request()
    assert not reader.arguments


@with_fleet
async def test_a_new_connection_is_not_closed_to_make_room(fleet):
    # Where each client asks once and keeps its connection, those that had just come were closed as never of
    # use before the idle ones, with their first request on its way.
    fleet.limits["sockets"] = 40
    await fleet.endpoint("a")
    await fleet.start_relay()
    max_connections = fleet.relay.clients.table.max_connections
    idle_clients = [await Client().open(fleet.relay_port()) for _ in range(max_connections - 1)]
    for n, client in enumerate(idle_clients):
        assert await client.put(f"m{n}") == "+OK"
    new_clients = [await Client().open(fleet.relay_port()) for _ in range(max_connections // 2)]
    await asyncio.sleep(0)
    for n, client in enumerate(new_clients):
        assert await client.put(f"f{n}") == "+OK"


@with_fleet
async def test_only_a_share_of_the_idle_connections_is_kept(fleet):
    # Each held its place for 3 s: at a hundred new ones a second there was none left for those that came.
    fleet.limits["sockets"] = 80
    await fleet.endpoint("a")
    await fleet.start_relay()
    max_connections = fleet.relay.clients.table.max_connections
    idle_clients = []
    for n in range(max_connections):
        idle_clients.append(await Client().open(fleet.relay_port()))
        assert await idle_clients[-1].put(f"m{n}") == "+OK"
    assert (
        len(fleet.relay.clients.connections) <= max_connections * connection_table.IDLE_CONNECTION_SHARE + 1
    )
    assert await idle_clients[-1].put("again") == "+OK"  # the longest idle have gone
    assert await bounded(idle_clients[0].reader.read()) == b""

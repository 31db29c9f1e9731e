"""Clients that send invalid, malformed or incomplete requests, or nothing, must not disturb other clients."""

import asyncio
import contextlib
import socket
import time

import pytest
from loopback import Client, bounded, until, with_fleet

from message_relay.server.resp import connection, connection_table
from message_relay.server.resp.reader import ProtocolError, RequestReader

command = Client.command
INVALID_REQUESTS = {
    "unknown command": command(b"NOPE"),
    "no command": b"*0\r\n",
    "too few arguments": command(b"MSG.PUT", b"1"),
    "unknown class": command(b"MSG.PUT", b"0", b"id", b"c=nope,t=t,d=9,dest=7", b""),
    "malformed deadline": command(b"MSG.PUT", b"0", b"id", b"c=safe,t=t,d=x,dest=7", b""),
    "deadline far beyond that of the class": command(
        b"MSG.PUT", b"0", b"id", b"c=safe,t=t,d=999999999999,dest=7", b""
    ),
    "no idempotency key": command(b"MSG.PUT", b"0", b"id", b"c=keyed,t=t,d=900,dest=7", b""),
    "unknown tenant": command(b"MSG.PUT", b"0", b"id", b"c=safe,t=unknown,d=900,dest=7", b""),
    "unknown destination": command(b"MSG.PUT", b"0", b"id", b"c=safe,t=t,d=900,dest=99", b""),
    "id with a space": command(b"MSG.PUT", b"0", b"i d", b"c=safe,t=t,d=900,dest=7", b""),
    "empty id": command(b"MSG.PUT", b"0", b"", b"c=safe,t=t,d=900,dest=7", b""),
    "fields that are not UTF-8": command(b"MSG.PUT", b"0", b"id", b"\xff\xfe", b""),
}
MALFORMED_REQUESTS = {
    "inline command": b"PING\r\n",
    "integer": b":5\r\n",
    "random bytes": b"\x00\xff\x17" * 30,
    "nested array": b"*1\r\n*1\r\n$1\r\nx\r\n",
    "negative count": b"*-1\r\n",
    "huge count": b"*1000000000\r\n",
    "negative length": b"*1\r\n$-1\r\n",
    "huge length": b"*1\r\n$60000000\r\n",
    "length without digits": b"*1\r\n$x\r\n",
    "signed count": b"*+1\r\n",
    "wrong length": b"*1\r\n$3\r\nPINGPONG\r\n",
    "unterminated length line": b"*" + b"1" * 50,
    "body over the limit": Client.message("big", body=b"x" * 65537),
    "request over the limit": b"*16\r\n" + b"".join(b"$60000\r\n%s\r\n" % (b"x" * 60000) for _ in range(2)),
}


@with_fleet
async def test_an_invalid_request_gets_its_error_and_the_connection_stays_open(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    for name, request in INVALID_REQUESTS.items():
        client = await Client().open(fleet.relay_port())
        assert (await client.send(request)).startswith("-ERR"), name
        assert await client.send(command(b"PING")) == "+PONG", name
    assert not fleet.relay.journal.messages and not fleet.relay.journal.completed_ids


@with_fleet
async def test_a_malformed_request_is_answered_with_an_error_and_a_close(fleet):
    # A length over the limit is rejected at once, without waiting for the data and allocating memory for it.
    await fleet.endpoint("a")
    await fleet.start_relay()
    for name, request in MALFORMED_REQUESTS.items():
        client = await Client().open(fleet.relay_port())
        assert (await client.send(request)).startswith("-ERR"), name
        with contextlib.suppress(ConnectionResetError):  # the relay closed with unread bytes
            assert await bounded(client.reader.read()) == b"", name


@with_fleet
async def test_a_message_for_a_destination_without_endpoints_is_accepted(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    await bounded(fleet.discovery.watches.get())
    fleet.discovery.change("a", state="terminated")
    await until(lambda: not fleet.relay.directory.entries)
    assert await client.put("m1") == "+OK"
    assert (await client.put("m2", dest=8)).startswith("-ERR")


@with_fleet
async def test_pipelined_requests_sent_byte_by_byte_are_answered_in_order(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    for byte in client.message("p1") + command(b"NOPE") + client.message("p2") + command(b"PING"):
        client.writer.write(bytes([byte]))
        await asyncio.sleep(0)
    replies = [await client.line() for _ in range(4)]
    assert replies[0] == replies[2] == "+OK" and replies[1].startswith("-ERR") and replies[3] == "+PONG"


@with_fleet
async def test_a_client_that_repeats_invalid_requests_is_slowed_and_closed(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    started_s = time.monotonic()
    client.writer.write(command(b"NOPE") * connection.MAX_INVALID_REQUESTS + command(b"PING"))
    replies = (await bounded(client.reader.read())).split(b"\r\n")
    assert len(replies) == connection.MAX_INVALID_REQUESTS + 2 and all(
        line.startswith(b"-ERR") for line in replies[: connection.MAX_INVALID_REQUESTS]
    )
    assert replies[connection.MAX_INVALID_REQUESTS :] == [b"+PONG", b""]  # received before the close
    assert time.monotonic() - started_s >= connection.INVALID_REQUEST_PAUSE_S


@with_fleet
async def test_hundreds_of_pipelined_requests_are_answered_and_the_connection_stays_open(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    client.writer.write(command(b"PING") * 500)
    assert [await client.line() for _ in range(500)] == ["+PONG"] * 500
    assert await client.put("m1") == "+OK"


@with_fleet
async def test_a_request_that_is_not_complete_in_time_gets_an_error_or_a_close(fleet):
    await fleet.endpoint("a")
    silent = await fleet.start_relay()
    partial = await Client().open(fleet.relay_port())
    partial.writer.write(command(b"PING")[:9])
    later = await Client().open(fleet.relay_port())
    assert await later.put("m1") == "+OK"
    later.writer.write(later.message("m2")[:60])
    started_s = time.monotonic()
    assert (await partial.line()).startswith("-ERR")
    assert (await later.line()).startswith("-ERR")
    for client in (silent, partial, later):
        assert await bounded(client.reader.read()) == b""
    assert time.monotonic() - started_s < connection.REQUEST_TIMEOUT_S + 1


@with_fleet
async def test_hundreds_of_silent_connections_do_not_lock_out_other_clients(fleet):
    # If the complete backlog is accepted before any connection is closed, they use up all descriptors.
    fleet.limits["sockets"] = 64
    await fleet.endpoint("a")
    await fleet.start_process(descriptor_limit=64)
    silent_sockets = []
    for _ in range(300):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", fleet.port))
        silent_sockets.append(sock)
    for number in range(5):
        new_client = await Client().open(fleet.port)
        assert await asyncio.wait_for(new_client.put(f"f{number}"), 0.4) == "+OK"
        assert await asyncio.wait_for(new_client.put(f"m{number}"), 0.4) == "+OK"
    for sock in silent_sockets:
        sock.close()


@with_fleet
async def test_accepting_survives_running_out_of_descriptors(fleet):
    # The configured limit is above that of the process, so only EMFILE shows that descriptors ran out. Then
    # connections without a valid request are closed.
    await fleet.endpoint("a")
    await fleet.start_process(descriptor_limit=40)
    silent_clients = [await Client().open(fleet.port) for _ in range(60)]
    new_client = await Client().open(fleet.port)
    assert await new_client.send(command(b"PING")) == "+PONG"
    assert await new_client.put("m1") == "+OK"
    for silent_client in silent_clients:
        silent_client.writer.close()


@pytest.mark.parametrize("data", [b"*1000000000\r\n", b"*5\r\n$99999999999\r\n"])
def test_nothing_is_allocated_for_an_announced_length(data):
    reader = RequestReader()
    reader.feed(data)
    with pytest.raises(ProtocolError):
        reader.next_request()
    assert not reader.arguments


@with_fleet
async def test_a_new_connection_is_not_evicted_before_idle_ones(fleet):
    # If each client submits once and keeps its connection open, the table fills with idle connections. A new
    # connection without a valid request must not be closed before them: its first request is on its way.
    fleet.limits["sockets"] = 40
    await fleet.endpoint("a")
    await fleet.start_relay()
    max_connections = fleet.relay.clients.table.max_connections
    idle_clients = [await Client().open(fleet.relay_port()) for _ in range(max_connections - 1)]
    for number, client in enumerate(idle_clients):
        assert await client.put(f"m{number}") == "+OK"
    new_clients = [await Client().open(fleet.relay_port()) for _ in range(max_connections // 2)]
    await asyncio.sleep(0)
    for number, client in enumerate(new_clients):
        assert await client.put(f"f{number}") == "+OK"


@with_fleet
async def test_only_a_share_of_the_idle_connections_stays_open(fleet):
    # If every idle connection stayed open for 3 s, a hundred new ones a second would reach the limit, and
    # further clients could not connect.
    fleet.limits["sockets"] = 80
    await fleet.endpoint("a")
    await fleet.start_relay()
    max_connections = fleet.relay.clients.table.max_connections
    idle_clients = []
    for number in range(max_connections):
        idle_clients.append(await Client().open(fleet.relay_port()))
        assert await idle_clients[-1].put(f"m{number}") == "+OK"
    assert (
        len(fleet.relay.clients.connections) <= max_connections * connection_table.IDLE_CONNECTION_SHARE + 1
    )
    assert await idle_clients[-1].put("again") == "+OK"  # only the longest idle are closed
    assert await bounded(idle_clients[0].reader.read()) == b""


# Guards against a search of all idle connections for each request, which delayed every client of a crowd.
@with_fleet
async def test_few_idle_connections_are_examined_to_close_one_of_them(fleet):
    fleet.limits["sockets"] = 400
    await fleet.endpoint("a")
    clients = [await fleet.start_relay()]
    clients += [await Client().open(fleet.relay_port()) for _ in range(30)]
    for client in clients:
        assert await client.send(command(b"PING")) == "+PONG"
    connections, table = fleet.relay.clients.connections, fleet.relay.clients.table
    newest = list(connections)[-1]
    table.max_connections = 60  # fewer idle connections are allowed than there are
    examined = []
    with pytest.MonkeyPatch.context() as patch:
        # Data waits on all of them, so none may be closed.
        patch.setattr(connection, "has_unread_data", lambda sock: examined.append(sock) or True)
        table.mark_idle(newest)
    assert 0 < len(examined) <= connection_table.MAX_IDLE_CANDIDATES and len(connections) == len(clients)
    assert connections.keys() == table.idle.keys()
    table.mark_idle(newest)
    assert len(connections) == len(clients) - 1 and newest in connections

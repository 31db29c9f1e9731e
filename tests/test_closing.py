"""Requests that cross the end of their connection or of the process: read and answered all the same.

Each order is forced: the client's bytes reach the kernel in the same step of the loop in which the relay
decides to close, so that none of its readers can have seen them.
"""

import asyncio
import contextlib
import socket

import pytest
from loopback import Client, bounded, with_fleet

from message_relay.server.resp import connection

PING = Client.command(b"PING")


class BlockingClient:
    """A client on a blocking socket: what it sends is in the kernel at once, with no step of the loop."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port))

    def send(self, data):
        self.sock.sendall(data)
        return self

    async def line(self):
        self.sock.setblocking(False)
        got = b""
        with contextlib.suppress(ConnectionResetError):
            while not got.endswith(b"\r\n"):
                part = await bounded(asyncio.get_running_loop().sock_recv(self.sock, 1000))
                if not part:
                    break
                got += part
        self.sock.setblocking(True)
        return got.decode().strip()


async def open_idle(fleet):
    """A client that has sent a valid request and has none open, and the server's connection to it."""
    sender = BlockingClient(fleet.relay_port()).send(PING)
    assert await sender.line() == "+PONG"
    return sender, list(fleet.relay.clients.connections)[-1]


@with_fleet
async def test_a_complete_request_that_is_unread_at_shutdown_is_answered(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    sender, _ = await open_idle(fleet)
    long_request, _ = await open_idle(fleet)
    partial_request, _ = await open_idle(fleet)
    fleet.relay.lifecycle.shut_down()
    sender.send(Client.message("m"))
    long_request.send(Client.message("l", body=b"x" * 64_000))
    partial_request.send(Client.message("h")[:-3])
    fleet.relay.lifecycle._exit()
    fleet.relay.close()
    assert [await client.line() for client in (sender, long_request, partial_request)] == ["+OK", "+OK", ""]
    assert set(fleet.relay.journal.numbers_by_id) == {"m", "l"}  # a restart goes on with them


@with_fleet
async def test_the_backlog_is_accepted_before_listening_ends(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    fleet.relay.lifecycle.shut_down()
    late = [BlockingClient(fleet.relay_port()).send(Client.message(f"m{n}")) for n in range(30)]
    fleet.relay.lifecycle._stop_accepting()
    assert not fleet.relay.clients.listening
    assert [await client.line() for client in late] == ["+OK"] * 30


@pytest.mark.parametrize("close", ["overdue", "make room", "one more idle", "quiesced"])
def test_a_request_that_arrives_as_its_idle_connection_is_closed_is_read(tmp_path, close):
    @with_fleet
    async def run(fleet):
        await fleet.endpoint("a")
        await fleet.start_relay()
        _kept, other = await open_idle(fleet)
        sender, client = await open_idle(fleet)
        clients = fleet.relay.clients
        sender.send(Client.message("m"))
        if close == "overdue":
            client.close_at_s = 0.0
            clients.table.sweep(clients.loop.time())
        elif close == "make room":
            for other_connection in [x for x in clients.connections if x is not client]:
                other_connection.close()
            assert not clients._make_room()
        elif close == "one more idle":
            clients.idle.pop(other)  # the longest idle is the one that has just sent
            clients.table.max_connections = 4
            clients.table.mark_idle(other)
        else:
            clients.close_idle_connections()
        assert await sender.line() == "+OK"

    run(tmp_path)


@with_fleet
async def test_a_request_that_arrives_as_a_silent_new_connection_is_closed_is_read(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    _kept, before = await open_idle(fleet)
    sender = BlockingClient(fleet.relay_port())
    while (client := list(fleet.relay.clients.connections)[-1]) is before:
        await asyncio.sleep(0.01)
    sender.send(Client.message("m"))
    client.close_at_s = 0.0
    fleet.relay.clients.table.sweep(client.connected_at_s + connection.REQUEST_TIMEOUT_S)
    assert await sender.line() == "+OK"


@with_fleet
async def test_a_client_that_sends_byte_by_byte_is_still_closed_in_time(fleet):
    await fleet.start_relay()
    sender, client = await open_idle(fleet)
    sender.send(Client.message("m")[:20])
    while not client.reader.mid_request:
        await asyncio.sleep(0.01)
    sender.send(b"x")  # unread, and no more of a complete request than before
    client.close_at_s = 0.0
    client.close_if_overdue(client.connected_at_s + connection.REQUEST_TIMEOUT_S)
    assert (await sender.line()).startswith("-ERR")

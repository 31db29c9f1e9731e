"""A request that arrives while the relay closes its connection, or shuts down, is still read and answered.

A client may send a request just before the relay closes its idle connection. Closing without another read
would lose that request. The tests force this order: the request reaches the kernel in the same iteration of
the event loop in which the relay decides to close, so no reader callback has run for it.
"""

import asyncio
import contextlib
import socket

import pytest
from loopback import Client, bounded, until, with_fleet

from message_relay.server.resp import connection
from message_relay.server.resp.close_reason import CloseReason

PING = Client.command(b"PING")


class BlockingClient:
    """A client on a blocking socket; the data it sends is in the kernel when send() returns."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port))

    def send(self, data):
        self.sock.sendall(data)
        return self

    async def line(self):
        """Return the line that the relay sends, or "" if it closes the connection instead."""
        self.sock.setblocking(False)
        received = b""
        with contextlib.suppress(ConnectionResetError):
            while not received.endswith(b"\r\n"):
                chunk = await bounded(asyncio.get_running_loop().sock_recv(self.sock, 1000))
                if not chunk:
                    break
                received += chunk
        self.sock.setblocking(True)
        return received.decode().strip()


async def open_idle(fleet):
    """Connect a client and wait for the reply to a PING; return it and the server's connection to it."""
    sender = BlockingClient(fleet.relay_port()).send(PING)
    assert await sender.line() == "+PONG"
    return sender, list(fleet.relay.clients.connections)[-1]


@with_fleet
async def test_a_complete_request_that_is_unread_at_shutdown_is_answered(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    short_client, _ = await open_idle(fleet)
    long_client, _ = await open_idle(fleet)
    partial_client, _ = await open_idle(fleet)
    fleet.relay.lifecycle.shut_down()
    short_client.send(Client.message("m"))
    long_client.send(Client.message("l", body=b"x" * 64_000))
    partial_client.send(Client.message("h")[:-3])
    fleet.relay.lifecycle._exit()
    fleet.relay.close()
    assert [await client.line() for client in (short_client, long_client, partial_client)] == [
        "+OK",
        "+OK",
        "",
    ]
    assert set(fleet.relay.journal.numbers_by_id) == {"m", "l"}  # a restart continues with them


@with_fleet
async def test_the_backlog_is_accepted_before_the_listening_socket_is_closed(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    fleet.relay.lifecycle.shut_down()
    late_clients = [BlockingClient(fleet.relay_port()).send(Client.message(f"m{n}")) for n in range(30)]
    fleet.relay.lifecycle._stop_accepting()
    assert not fleet.relay.clients.listening
    assert [await client.line() for client in late_clients] == ["+OK"] * 30


@pytest.mark.parametrize("close", ["overdue", "evicted", "too many idle", "quiesced"])
def test_a_request_that_arrives_as_its_idle_connection_is_closed_is_answered(tmp_path, close):
    @with_fleet
    async def run(fleet):
        await fleet.endpoint("a")
        await fleet.start_relay()
        _idle, idle_connection = await open_idle(fleet)  # the reference keeps the client's socket open
        sender, sender_connection = await open_idle(fleet)
        clients = fleet.relay.clients
        sender.send(Client.message("m"))
        if close == "overdue":
            sender_connection.close_at_s = 0.0
            clients.table.sweep(clients.loop.time())
        elif close == "evicted":
            for other_connection in [c for c in clients.connections if c is not sender_connection]:
                other_connection.close(CloseReason.EVICTED)
            assert not clients._evict_connection()
        elif close == "too many idle":
            clients.idle.pop(idle_connection)  # the longest idle is then the one that has just sent
            clients.table.max_connections = 4
            clients.table.mark_idle(idle_connection)
        else:
            clients.close_idle_connections()
        assert await sender.line() == "+OK"

    run(tmp_path)


@with_fleet
async def test_a_request_that_arrives_as_a_silent_new_connection_is_closed_is_answered(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    _idle, idle_connection = await open_idle(fleet)  # the reference keeps the client's socket open
    sender = BlockingClient(fleet.relay_port())
    while (new_connection := list(fleet.relay.clients.connections)[-1]) is idle_connection:
        await asyncio.sleep(0.01)
    sender.send(Client.message("m"))
    new_connection.close_at_s = 0.0
    fleet.relay.clients.table.sweep(new_connection.connected_at_s + connection.REQUEST_TIMEOUT_S)
    assert await sender.line() == "+OK"


@with_fleet
async def test_a_client_that_sends_byte_by_byte_is_still_closed_in_time(fleet):
    await fleet.start_relay()
    sender, sender_connection = await open_idle(fleet)
    sender.send(Client.message("m")[:20])
    await until(lambda: sender_connection.reader.mid_request)
    sender.send(b"x")  # unread data that does not complete the request
    sender_connection.close_at_s = 0.0
    sender_connection.close_if_overdue(sender_connection.connected_at_s + connection.REQUEST_TIMEOUT_S)
    assert (await sender.line()).startswith("-ERR")

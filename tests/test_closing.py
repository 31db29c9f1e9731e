"""Requests that cross the end of their connection or of the process: read and answered all the same.

Each order is forced: the client's bytes reach the kernel in the same step of the loop in which the courier
decides to close, so that none of its readers can have seen them.
"""

import asyncio
import contextlib
import socket

import pytest
from loopback import Client, bounded, courier

from message_relay.server.resp import server

PING = Client.command(b"PING")


class Raw:
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


async def opened(fleet):
    """A client of use, with no request open, and its end at the courier."""
    raw = Raw(fleet.port_of_host()).send(PING)
    assert await raw.line() == "+PONG"
    return raw, list(fleet.host.clients.clients)[-1]


@courier
async def test_a_whole_request_that_is_unread_at_the_end_is_answered(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    raw, _ = await opened(fleet)
    long, _ = await opened(fleet)
    half, _ = await opened(fleet)
    fleet.host.terminate()
    raw.send(Client.message("m"))
    long.send(Client.message("l", body=b"x" * 64_000))
    half.send(Client.message("h")[:-3])
    fleet.host._exit()
    fleet.host.close()
    assert [await x.line() for x in (raw, long, half)] == ["+OK", "+OK", ""]
    assert set(fleet.host.journal.numbers_by_id) == {"m", "l"}  # a restart goes on with them


@courier
async def test_those_in_the_backlog_are_taken_up_before_listening_ends(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    fleet.host.terminate()
    late = [Raw(fleet.port_of_host()).send(Client.message(f"m{n}")) for n in range(30)]
    fleet.host._stop_clients()
    assert not fleet.host.clients.listening
    assert [await x.line() for x in late] == ["+OK"] * 30


@pytest.mark.parametrize("close", ["overdue", "make room", "one more rests", "emptied"])
def test_a_request_that_comes_as_its_idle_connection_is_closed_is_read(tmp_path, close):
    @courier
    async def run(fleet):
        await fleet.endpoint("a")
        await fleet.inside()
        _kept, other = await opened(fleet)
        raw, client = await opened(fleet)
        clients = fleet.host.clients
        raw.send(Client.message("m"))
        if close == "overdue":
            client.due = 0.0
            clients._sweep_now(clients.loop.time())
        elif close == "make room":
            for x in [x for x in clients.clients if x is not client]:
                x.close()
            assert not clients._make_room()
        elif close == "one more rests":
            clients.idle.pop(other)  # the longest idle is the one that has just sent
            clients.max_clients = 4
            clients.rests(other)
        else:
            clients.close_idle()
        assert await raw.line() == "+OK"

    run(tmp_path)


@courier
async def test_what_comes_as_a_silent_new_connection_is_closed_is_read(fleet):
    await fleet.endpoint("a")
    await fleet.inside()
    _kept, before = await opened(fleet)
    raw = Raw(fleet.port_of_host())
    while (client := list(fleet.host.clients.clients)[-1]) is before:
        await asyncio.sleep(0.01)
    raw.send(Client.message("m"))
    client.due = 0.0
    fleet.host.clients._sweep_now(client.since + server.WHOLE_S)
    assert await raw.line() == "+OK"


@courier
async def test_one_that_drips_is_still_closed_in_time(fleet):
    await fleet.inside()
    raw, client = await opened(fleet)
    raw.send(Client.message("m")[:20])
    while not client.reader.midway:
        await asyncio.sleep(0.01)
    raw.send(b"x")  # unread, and no more of a whole request than before
    client.due = 0.0
    client.overdue(client.since + server.WHOLE_S)
    assert (await raw.line()).startswith("-ERR")

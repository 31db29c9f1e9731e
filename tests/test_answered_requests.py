"""Each complete request that was received is answered, however its connection ends."""

import asyncio
import contextlib
import errno
import itertools
import os
import random
import socket
from collections import Counter

import pytest
from loopback import Client, bounded, until, with_fleet
from test_pipelining import allow_open_messages

from message_relay.server.resp import connection
from message_relay.server.resp.reader import RequestReader

NOPE = Client.command(b"NOPE")


# Guards against sound requests that are lost since others before them, for a destination that the list does
# not name yet, were taken for malformed ones.
@with_fleet
async def test_requests_for_an_unlisted_destination_do_not_cost_those_behind_them(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    requests = [Client.message(f"new{number}", dest=8) for number in range(5)]
    requests += [Client.message(f"known{number}") for number in range(4)]
    started_s = asyncio.get_running_loop().time()
    client.writer.write(b"".join(requests))
    replies = [await client.line() for _ in requests]
    assert all(line.startswith("-ERR dest: must be a destination listed") for line in replies[:5])
    assert replies[5:] == ["+OK"] * 4
    assert asyncio.get_running_loop().time() - started_s < connection.INVALID_REQUEST_PAUSE_S
    assert {(await endpoint.call())[1]["x-request-id"] for _ in range(4)} == {f"known{n}" for n in range(4)}
    await bounded(fleet.discovery.watches.get())
    assert (await fleet.metrics())['app_refused_total{reason="destination"}'] == 5
    assert await client.put("later") == "+OK"  # the connection stays open
    other = await fleet.endpoint("b", dest=8)
    fleet.discovery.change("b")
    await until(lambda: 8 in fleet.relay.directory.destinations)
    assert await client.put("new", dest=8) == "+OK"
    assert (await other.call())[1]["x-request-id"] == "new"


# Guards against requests that were received behind the last invalid one, or behind a QUIT, and got no answer.
@pytest.mark.parametrize("ending", [[NOPE] * connection.MAX_INVALID_REQUESTS, [Client.command(b"QUIT")]])
@pytest.mark.parametrize("count", [1, 8, connection.MAX_PIPELINED_REQUESTS + 8])
def test_requests_that_were_received_behind_the_last_one_are_answered(tmp_path, ending, count):
    async def run(fleet):
        await fleet.endpoint("a")
        allow_open_messages(fleet)
        client = await fleet.start_relay()
        client.writer.write(b"".join([*ending, *(Client.message(f"m{n}", body=b"") for n in range(count))]))
        lines = [await client.line() for _ in range(len(ending) + count)]
        assert lines[len(ending) :] == ["+OK"] * count
        assert await bounded(client.reader.read()) == b""  # and then it is closed

    with_fleet(run)(tmp_path)


async def send_behind_an_invalid_request(fleet):
    """Send two messages behind an invalid request; return the client and its connection, in the pause."""
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    client.writer.write(b"".join([NOPE, Client.message("m1"), NOPE, Client.message("m2")]))
    assert (await client.line()).startswith("-ERR")
    served = next(iter(fleet.relay.clients.connections))
    assert served.reading.pause_timer is not None
    return client, served


# Guards against requests that wait for the end of the pause after an invalid one when the process exits.
@with_fleet
async def test_requests_that_wait_in_a_pause_are_answered_when_the_process_exits(fleet):
    client, _ = await send_behind_an_invalid_request(fleet)
    fleet.relay.lifecycle.shut_down()
    fleet.relay.lifecycle._exit()
    fleet.relay.close()
    lines = [await client.line() for _ in range(3)]
    assert (lines[0], lines[1][:4], lines[2]) == ("+OK", "-ERR", "+OK")
    assert set(fleet.relay.journal.numbers_by_id) == {"m1", "m2"}  # a restart continues with them


# Guards against a connection that is closed to make room, as silent or as overdue in the iteration between
# the pause after an invalid request and the requests behind it.
@with_fleet
async def test_a_connection_on_which_requests_wait_is_not_closed(fleet):
    client, served = await send_behind_an_invalid_request(fleet)
    for _ in range(2):
        await until(lambda: served.reading.pause_timer is not None)
        served.reading.pause_timer.cancel()
        served.reading.pause_timer = None
        served._end_read_pause()  # the requests are handled in the next iteration
        served.has_sent_valid_request = False
        assert not fleet.relay.clients._evict_connection()
        served.close_at_s = fleet.relay.clients.loop.time()
        fleet.relay.clients.table.max_connections = 0  # each silent connection is one too many
        fleet.relay.clients.table.sweep(served.close_at_s + 10.0)
        assert not served.closing
        fleet.relay.clients.table.max_connections = 100
        if served.invalid_requests == 1:
            assert await client.line() == "+OK"
    lines = [await client.line() for _ in range(2)]
    assert (lines[0][:4], lines[1]) == ("-ERR", "+OK")


# Guards against a request whose execution fails, and against those behind it, that never get an answer.
@with_fleet
async def test_a_request_whose_execution_fails_is_answered(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    served = next(iter(fleet.relay.clients.connections))
    execute, failures = served._execute, [RuntimeError("cannot be executed")]

    def execute_or_fail(*args):
        if failures:
            raise failures.pop()
        return execute(*args)

    served._execute = execute_or_fail
    client.writer.write(Client.message("m1") + Client.message("m2"))
    assert [await client.line() for _ in range(2)] == ["-ERR internal error", "+OK"]
    assert await client.put("m3") == "+OK"


class ScarceSocket:
    """A socket whose next `failures` reads or writes fail with an error that does not concern its peer."""

    def __init__(self, sock, error_number, failures=3):
        self.sock, self.error_number, self.failures = sock, error_number, failures

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def _fail(self):
        if self.failures:
            self.failures -= 1
            raise OSError(self.error_number, os.strerror(self.error_number))

    def recv_into(self, *args):
        self._fail()
        return self.sock.recv_into(*args)

    def send(self, data):
        self._fail()
        return self.sock.send(data)


# Guards against connections that are closed over open requests since the kernel lacked memory for a moment.
@pytest.mark.parametrize("error_number", [errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN])
@pytest.mark.parametrize("part", ["receiver", "writer"])
def test_a_read_or_write_that_fails_for_a_moment_is_tried_again(tmp_path, part, error_number):
    async def run(fleet):
        await fleet.endpoint("a")
        client = await fleet.start_relay()
        served = next(iter(fleet.relay.clients.connections))
        attribute = {"receiver": "_sock", "writer": "sock"}[part]
        scarce = ScarceSocket(served.sock, error_number)
        setattr(getattr(served, part), attribute, scarce)
        client.writer.write(Client.message("m1") + Client.message("m2"))
        assert [await client.line() for _ in range(2)] == ["+OK"] * 2
        assert not scarce.failures and not served.closed

    with_fleet(run)(tmp_path)


# Guards against any mixture of requests, pieces and ends in which a complete request gets no answer. With
# seed 63, replies that the client's kernel had not acknowledged were dropped by a close over unread data.
@pytest.mark.parametrize("seed", [*range(8), 63])
def test_each_request_of_a_random_history_is_answered_in_order(tmp_path, monkeypatch, seed):
    chance, received_bytes, feed = random.Random(seed), Counter(), RequestReader.feed

    def counting_feed(reader, data):
        received_bytes[reader] += len(data)
        feed(reader, data)

    monkeypatch.setattr(RequestReader, "feed", counting_feed)

    def random_request(number):
        kind = chance.choices(["message", "ping", "unlisted", "invalid", "quit"], [6, 4, 2, 1, 0.3])[0]
        if kind == "message":
            return Client.message(f"m{number}", body=b"x" * chance.choice([0, 20, 3_000])), ("+OK", "-BUSY")
        if kind == "ping":
            return Client.command(b"PING"), ("+PONG", "-ERR ending")
        if kind == "unlisted":
            return Client.message(f"u{number}", dest=99), ("-ERR dest",)
        if kind == "invalid":
            return NOPE, ("-ERR unknown command",)
        return Client.command(b"QUIT"), ("+OK",)

    async def send(sock, data):
        with contextlib.suppress(OSError):
            while data:
                size = chance.choice([1, 100, 5_000, 50_000])
                await asyncio.get_running_loop().sock_sendall(sock, data[:size])
                data = data[size:]
                if chance.random() < 0.2:
                    await asyncio.sleep(chance.choice([0.0, 0.05, 0.15]))
            if chance.random() < 0.5:
                sock.shutdown(socket.SHUT_WR)

    async def receive(sock, count):
        """Return the answers that arrive before the end of the connection, at most `count`."""
        data = b""
        with contextlib.suppress(ConnectionError):
            while data.count(b"\r\n") < count:
                received = await bounded(asyncio.get_running_loop().sock_recv(sock, 65_536))
                if not received:
                    break
                data += received
        return data.decode().split("\r\n")[:-1]

    async def talk(sock, reader, client_number):
        """Send the requests and check the answers; return whether all were received and answered."""
        requests = [random_request(f"{client_number}-{n}") for n in range(chance.randint(1, 60))]
        sending = asyncio.create_task(send(sock, b"".join(request for request, _ in requests)))
        answers = await receive(sock, len(requests))
        await sending
        sock.close()
        ends = itertools.accumulate(len(request) for request, _ in requests)
        received = sum(end <= received_bytes[reader] for end in ends)
        assert len(answers) == received, (client_number, len(requests))
        for answer, (request, expected) in zip(answers, requests, strict=False):
            assert answer.startswith(expected), (client_number, request, answer)
        return received == len(requests)

    async def run(fleet):
        await fleet.endpoint("a")
        kept = await fleet.start_relay()
        socks = [socket.create_connection(("127.0.0.1", fleet.relay_port())) for _ in range(8)]
        for sock in socks:
            sock.setblocking(False)
        connections = fleet.relay.clients.connections
        await until(lambda: len(connections) == len(socks) + 1)
        readers = {served.sock.getpeername(): served.reader for served in connections}
        talks = [
            asyncio.create_task(talk(sock, readers[sock.getsockname()], number))
            for number, sock in enumerate(socks)
        ]
        if seed % 2:
            await asyncio.sleep(chance.uniform(0.05, 0.4))
            fleet.relay.lifecycle.shut_down()
            fleet.relay.lifecycle._stop_accepting()
            fleet.relay.lifecycle._exit()
            fleet.relay.close()
        assert any(await asyncio.gather(*talks))
        kept.writer.close()

    with_fleet(run)(tmp_path)

"""A client may send many requests at once: each one that is read is answered, in order.

Guards against a limit on pipelined requests that closes the connection over requests that were read, and
against ends of a connection or of the process that drop the requests that wait in the buffer.
"""

import asyncio
import socket
import time

import pytest
from hot_restart_pair import ScriptedRequester, with_process_pair
from loopback import Client, bounded, until, with_fleet

from message_relay.server.hot_restart.snapshot import VERSION
from message_relay.server.resp import connection, reader
from message_relay.server.resp.receiver import Received, RequestReceiver

COUNT = connection.MAX_PIPELINED_REQUESTS + 8


def allow_open_messages(fleet):
    """Let the relay hold all messages of a test, so that each reply is +OK."""
    fleet.raw_settings["policyLimits"]["maxOpen"] = 2 * COUNT


def messages(count=COUNT, **fields):
    return [Client.message(f"m{number}", **fields) for number in range(count)]


async def replies(client, count=COUNT):
    return [await client.line() for _ in range(count)]


class HeldTicks:
    """Holds the policy's ticks of a relay back until `release`, so that submitted messages stay pending."""

    def __init__(self, relay):
        self.on_tick, self.due, self.released = relay.events.on_tick, False, False
        relay.events.on_tick = self.tick

    def tick(self):
        self.due = True
        if self.released:
            self.on_tick()

    def release(self):
        self.released = True
        if self.due:
            self.on_tick()


async def send_while_ticks_are_held(fleet, client, requests):
    """Send the requests at once; return the held ticks when as many requests are open as may be."""
    await until(lambda: not fleet.relay.events._tick_scheduled)  # such a tick would not be held
    ticks = HeldTicks(fleet.relay)
    client.writer.write(b"".join(requests))
    await until(lambda: len(fleet.relay.submissions.pending) >= connection.MAX_PIPELINED_REQUESTS)
    return ticks


@with_fleet
async def test_messages_that_are_sent_at_once_are_all_accepted_and_delivered(fleet):
    endpoint = await fleet.endpoint("a")
    allow_open_messages(fleet)
    client = await fleet.start_relay()
    client.writer.write(b"".join(messages()))
    assert await replies(client) == ["+OK"] * COUNT
    delivered = {(await endpoint.call())[1]["x-request-id"] for _ in range(COUNT)}
    assert delivered == {f"m{number}" for number in range(COUNT)}
    assert await client.put("later") == "+OK"  # the connection stays open


@with_fleet
async def test_no_more_requests_are_open_than_the_limit_and_the_buffer_stays_bounded(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    served = next(iter(fleet.relay.clients.connections))
    open_counts, buffer_sizes, handle = [], [], served._handle

    def recording_handle(arguments):
        handle(arguments)
        open_counts.append(len(served.pending_replies))
        buffer_sizes.append(len(served.reader.buffer))

    served._handle = recording_handle
    client.writer.write(b"".join(messages(300, body=b"x" * 20_000)))
    lines = await replies(client, 300)
    assert lines[0] == "+OK" and all(line == "+OK" or line.startswith("-BUSY") for line in lines)
    assert len(open_counts) == 300 and max(open_counts) <= connection.MAX_PIPELINED_REQUESTS
    assert max(buffer_sizes) < 20_100 + reader.MIN_READ_BYTES
    assert await client.send(Client.command(b"PING")) == "+PONG"


@with_fleet
async def test_a_client_that_sends_hundreds_of_requests_does_not_delay_the_others(fleet):
    # The requests of one connection are spread over iterations of the event loop.
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    other = await Client().open(fleet.relay_port())
    assert await other.send(Client.command(b"PING")) == "+PONG"
    order, connections = [], list(fleet.relay.clients.connections)
    for name, served in zip(("client", "other"), connections, strict=True):
        served._execute = lambda *args, name=name, execute=served._execute: (
            order.append(name),
            execute(*args),
        )
    client.writer.write(b"".join(Client.command(b"PING", b"%d" % number) for number in range(500)))
    other.writer.write(Client.command(b"PING"))
    assert await other.line() == "+PONG"
    texts = [(await client.line(), await client.line())[1] for _ in range(500)]
    assert texts == [str(number) for number in range(500)]  # in order
    assert order.index("other") <= 2 * connection.MAX_PIPELINED_REQUESTS and len(order) == 501


# Guards against a crowd of pipelining clients that makes each iteration so long that others wait.
@with_fleet
async def test_many_clients_that_send_hundreds_of_requests_share_an_iteration(fleet):
    await fleet.endpoint("a")
    other = await fleet.start_relay()
    assert await other.send(Client.command(b"PING")) == "+PONG"
    crowd = [await Client().open(fleet.relay_port()) for _ in range(20)]
    await until(lambda: len(fleet.relay.clients.connections) == len(crowd) + 1)
    order = []
    for served in fleet.relay.clients.connections:
        served._execute = lambda *args, served=served, execute=served._execute: (
            order.append(served),
            execute(*args),
        )
    other_served = next(iter(fleet.relay.clients.connections))
    for client in crowd:
        client.writer.write(Client.command(b"PING") * 200)
    other.writer.write(Client.command(b"PING"))
    assert await other.line() == "+PONG"
    for client in crowd:
        assert [await client.line() for _ in range(200)] == ["+PONG"] * 200
    # Two iterations: in the first, the clients before it have a growing number of others to share with.
    assert order.index(other_served) < len(crowd) * connection.MAX_PIPELINED_REQUESTS / 2


@with_fleet
async def test_requests_that_wait_are_handled_when_replies_are_sent(fleet):
    await fleet.endpoint("a")
    allow_open_messages(fleet)
    client = await fleet.start_relay()
    ticks = await send_while_ticks_are_held(fleet, client, messages())
    assert await Client().open(fleet.relay_port())
    assert len(fleet.relay.submissions.pending) == connection.MAX_PIPELINED_REQUESTS
    ticks.release()
    assert await replies(client) == ["+OK"] * COUNT


@with_fleet
async def test_a_client_that_ends_its_sending_side_gets_the_replies_to_all_requests(fleet):
    await fleet.endpoint("a")
    allow_open_messages(fleet)
    client = await fleet.start_relay()
    ticks = await send_while_ticks_are_held(fleet, client, messages())
    client.writer.write_eof()
    ticks.release()
    assert (await bounded(client.reader.read())).split() == [b"+OK"] * COUNT


@with_fleet
async def test_requests_that_wait_at_shutdown_are_answered(fleet):
    await fleet.endpoint("a")
    allow_open_messages(fleet)
    client = await fleet.start_relay()
    await send_while_ticks_are_held(fleet, client, messages())
    fleet.relay.lifecycle.shut_down()
    fleet.relay.lifecycle._exit()
    fleet.relay.close()
    assert await replies(client) == ["+OK"] * COUNT
    assert len(fleet.relay.journal.numbers_by_id) == COUNT  # a restart continues with them


@with_process_pair
async def test_requests_that_wait_at_a_hot_restart_are_answered(fleet, start):
    await fleet.endpoint("a")
    allow_open_messages(fleet)
    client, pair = await start()
    ticks = await send_while_ticks_are_held(fleet, client, messages())
    ticks.released = True
    new = await pair.hot_restart()
    assert await replies(client) == ["+OK"] * COUNT
    assert new.submissions.last_number == COUNT
    assert await client.put("later") == "+OK"


@with_process_pair
async def test_requests_that_wait_during_a_failed_hot_restart_are_answered(fleet, start):
    await fleet.endpoint("a")
    client, pair = await start()
    requester = ScriptedRequester(pair)
    requests = [Client.command(b"NOPE"), *messages(2)]
    client.writer.write(b"".join(requests))
    assert (await client.line()).startswith("-ERR")  # the requests behind it wait for the end of a pause
    served = next(iter(fleet.relay.clients.connections))
    assert served.reading.pause_timer is not None
    requester.channel.send_values(["take", VERSION])
    await requester.wait_for_frame("end")
    await until(lambda: served.reading.pause_timer is None)
    requester.channel.close()  # the old process serves on
    assert await replies(client, 2) == ["+OK"] * 2


@with_fleet
async def test_requests_behind_an_invalid_one_are_answered_although_the_table_is_full(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    client.writer.write(b"".join([Client.command(b"NOPE"), *messages(2)]))
    assert (await client.line()).startswith("-ERR")
    served = next(iter(fleet.relay.clients.connections))
    assert served.reading.pause_timer is not None and not fleet.relay.clients._evict_connection()
    assert await replies(client, 2) == ["+OK"] * 2


# Guards against messages that end too late because the time that they waited unread is added to theirs.
@with_fleet
async def test_the_time_that_a_request_waits_behind_others_counts_against_its_lifetime(fleet):
    await fleet.endpoint("a", "hang")
    allow_open_messages(fleet)
    client = await fleet.start_relay()
    ticks = await send_while_ticks_are_held(fleet, client, messages(lifetime_ms=3000))
    sent_s = time.time()
    await asyncio.sleep(0.3)
    ticks.release()
    assert await replies(client) == ["+OK"] * COUNT
    deadlines_s = [message.deadline_s for message in fleet.relay.journal.messages.values()]
    assert len(deadlines_s) == COUNT and max(deadlines_s) < sent_s + 3.1
    await asyncio.sleep(0.6)
    assert await client.put("later", lifetime_ms=3000) == "+OK"  # it did not wait
    assert fleet.relay.journal.messages[COUNT + 1].deadline_s > time.time() + 2.9


class ReceiverClock:
    """Stands in for the event loop of a receiver."""

    def __init__(self):
        self.now_s = 100.0

    def time(self):
        return self.now_s


# Guards against a request that loses time although it came on its own, after a read of the full size.
@pytest.mark.parametrize("suspended", [False, True])
def test_only_requests_that_could_not_be_read_before_have_waited(suspended):
    clock, (sender, sock) = ReceiverClock(), socket.socketpair()
    receiver, buffer = RequestReceiver(clock, sock), memoryview(bytearray(reader.MAX_READ_BYTES))
    ping = Client.command(b"PING", b"x" * 30)
    data = (ping * 200)[: reader.MIN_READ_BYTES]
    sender.sendall(data)
    assert receiver.receive(buffer) is Received.DATA
    while receiver.reader.next_request():
        pass
    receiver.all_handled()
    if suspended:
        receiver.reading_suspended()
    clock.now_s += 0.3
    sender.sendall(ping)
    assert receiver.receive(buffer) is Received.DATA
    assert receiver.waited_s() == (pytest.approx(0.3) if suspended else 0.0)
    for end in (sender, sock):
        end.close()

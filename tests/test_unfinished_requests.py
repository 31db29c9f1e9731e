"""Unfinished requests share a limit on memory: the oldest are discarded, and refused when complete."""

import asyncio

from loopback import Client, until, with_fleet

from message_relay.server.resp.close_reason import CloseReason
from message_relay.server.resp.reader import MAX_KEPT_HEAD_BYTES, RequestReader
from message_relay.server.resp.unfinished_requests import UnfinishedRequests

BODY = b"x" * 60_000


class Holder:
    def __init__(self):
        self.discarded = False

    def discard_request(self):
        self.discarded = True


def test_the_requests_that_began_first_are_discarded_above_the_limit():
    requests, holders = UnfinishedRequests(1000), [Holder() for _ in range(4)]
    for held_bytes in (200, 400):  # the order is that of the first bytes
        for holder in holders[:2]:
            requests.update(holder, held_bytes)
    requests.update(holders[2], 150)
    assert not any(holder.discarded for holder in holders) and requests.total_bytes == 950
    requests.update(holders[3], 300)
    assert [holder.discarded for holder in holders] == [True, False, False, False]
    requests.update(holders[1], 0)
    assert requests.total_bytes == 450 and requests.discarded_count == 1


# Guards against a discarded request that loses the framing of the ones behind it, at any cut of the stream.
def test_a_request_that_is_discarded_at_any_byte_keeps_the_next_one_readable():
    request, following = Client.message("m1", body=b"b" * 300), Client.command(b"PING")
    for cut in range(1, len(request)):
        reader = RequestReader()
        reader.feed(request[:cut])
        assert reader.next_request() is None
        reader.discard()
        assert reader.held_bytes <= MAX_KEPT_HEAD_BYTES + 32, cut
        reader.feed(request[cut:] + following)
        first, second = reader.next_request(), reader.next_request()
        assert first.discarded and len(first.arguments) == 5 and first.arguments[-1] == b"", cut
        assert second == ([b"PING"], False), cut


def began(fleet):
    """Return the number of connections on which a request has begun."""
    return sum(served.reader.mid_request for served in fleet.relay.clients.connections)


# Guards against a client that holds memory by stopping half way, and against a discard without an answer.
@with_fleet
async def test_a_discarded_request_is_refused_when_it_is_complete_and_the_connection_stays_open(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    assert await client.put("known") == "+OK"
    unfinished_requests = fleet.relay.clients.unfinished_requests
    unfinished_requests.limit_bytes = 100_000
    stopped = [await Client().open(fleet.relay_port()) for _ in range(3)]
    requests = [Client.message(message_id, body=BODY) for message_id in ("m0", "known", "m2")]
    for number, (sender, request) in enumerate(zip(stopped, requests, strict=True)):
        sender.writer.write(request[:50_000])
        await until(lambda number=number: began(fleet) == number + 1)
        await asyncio.sleep(0.02)
        assert unfinished_requests.total_bytes <= unfinished_requests.limit_bytes
    assert unfinished_requests.discarded_count == 1
    lines = [await sender.send(request[50_000:]) for sender, request in zip(stopped, requests, strict=True)]
    assert lines[0].startswith("-BUSY") and lines[1] == "+OK" and lines[2] == "+OK"
    assert await stopped[0].put("m0") == "+OK"  # the connection is kept, and the same message may come again
    calls = [(await endpoint.call())[1]["x-request-id"] for _ in range(3)]
    assert sorted(calls) == ["known", "m0", "m2"]
    assert (await fleet.metrics())['app_refused_total{reason="memory"}'] == 1


# Guards against a client that does not read its replies and keeps its connection, and their memory, for ever.
@with_fleet
async def test_a_client_that_does_not_read_its_replies_is_disconnected(fleet):
    await fleet.endpoint("a")
    await fleet.start_relay()
    client = await Client().open(fleet.relay_port())
    client.writer.transport.pause_reading()
    for _ in range(400):
        client.writer.write(Client.command(b"PING", b"x" * 64) * 1000)
    await until(lambda: any(served.writer.unsent for served in fleet.relay.clients.connections))
    await until(lambda: fleet.relay.clients.close_counts[CloseReason.REPLIES_NOT_READ] == 1)

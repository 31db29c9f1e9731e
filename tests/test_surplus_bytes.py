"""A good response may be followed by bytes that do not belong to it: a second copy, or noise.

Guards against a surplus that changes the outcome which the response states, or that answers, fails or delays
another message: it must neither count as the response to the next request nor be waited for.
"""

import asyncio
import json
import socket

import pytest
from loopback import Discovery, Endpoint, GatedEndpoint, answer, bounded, read_request, until, with_fleet
from test_endpoint_calls import RecordingObserver

from message_relay.model import AttemptResult
from message_relay.server.configuration import Address
from message_relay.server.discovery.final_notifier import FinalNotice, FinalNotifier
from message_relay.server.endpoint_calls import AttemptOutcome
from message_relay.server.http.response_handler import ResponseHandler
from message_relay.server.http.response_parser import ResponseParser

OK = AttemptOutcome(AttemptResult.OK, message_ended=True)
REJECTED = AttemptOutcome(AttemptResult.REJECTED)
NOT_ATTEMPTED = AttemptOutcome(AttemptResult.NOT_ATTEMPTED)
ACCEPTED = b"HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n"
NOTICE_BOUND_S = 0.3  # a notice may arrive this long after the time of its message is up
BATCH_BODY = json.dumps([{"id": "a", "state": "done"}, {"id": "b", "state": "busy"}]).encode()
CHUNKED = b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"
RESPONSES = {
    "delivered": (answer(200, b"body"), OK),
    "error": (answer(500), AttemptOutcome(AttemptResult.ERROR)),
    "rejected with a wait": (
        answer(429, Retry_After="0.25"),
        AttemptOutcome(AttemptResult.REJECTED, retry_after_us=250_000),
    ),
    "rejected": (answer(503, b"full"), REJECTED),
    "rejected, chunked": (CHUNKED, REJECTED),
    "rejected after 1xx": (b"HTTP/1.1 102 x\r\n\r\n" + answer(503), REJECTED),
    "rejected and closing": (answer(503, Connection="close"), REJECTED),
    "no slot": (answer(503, Slots_Taken="1"), NOT_ATTEMPTED),
    "attempts used up": (answer(504), NOT_ATTEMPTED),
    "message over": (answer(410), AttemptOutcome(AttemptResult.NOT_ATTEMPTED, message_ended=True)),
}
OTHER_RESPONSE = answer(200, Retry_After="9.0", X_Server_Load="x0=0,x1=1")
SURPLUS = {
    "second copy": None,  # of the response itself
    "half a second copy": answer(503)[:9],
    "another response": OTHER_RESPONSE,
    "three other responses": OTHER_RESPONSE * 3,
    "informational response": b"HTTP/1.1 102 x\r\n\r\n",
    "one byte": b"H",
    "noise": bytes(range(256)) * 4,
    "text": b" room here",
    "line ends": b"\r\n\r\n",
    "large noise": b"\x00" * 50_000,
}
CASES = [(response, surplus) for response in RESPONSES for surplus in SURPLUS]
# After "Connection: close" there is no later read.
LATER_CASES = [(response, surplus) for response, surplus in CASES if response != "rejected and closing"]


def case(response_name, surplus_name):
    """Return the response, its surplus and its outcome."""
    response, outcome = RESPONSES[response_name]
    surplus = SURPLUS[surplus_name]
    return response, response if surplus is None else surplus, outcome


@pytest.mark.parametrize("response_name, surplus_name", CASES)
def test_surplus_in_the_same_read_changes_no_outcome(response_name, surplus_name):
    async def run():
        response, surplus, outcome = case(response_name, surplus_name)
        endpoint = await Endpoint(response + surplus, answer(503)).start()
        observer = RecordingObserver()
        assert await observer.send(endpoint.port, "a") == [("a", outcome)]
        await until(lambda: not observer.client.in_flight)
        assert await observer.send(endpoint.port, "b") == [("b", REJECTED)]  # its own response
        assert observer.retry_afters_us == ([250_000] if outcome.retry_after_us else [])
        assert observer.load_reports == [] and observer.ended.empty() and endpoint.calls.qsize() == 2
        observer.client.close()
        await endpoint.stop()

    asyncio.run(run())


def test_surplus_behind_the_response_to_a_batch_changes_no_outcome():
    async def run():
        for surplus in (answer(200, BATCH_BODY), *filter(None, SURPLUS.values())):
            endpoint = await Endpoint(answer(200, BATCH_BODY) + surplus, answer(503)).start()
            observer = RecordingObserver()
            assert await observer.send(endpoint.port, "a", "b") == [("a", OK), ("b", REJECTED)]
            await until(lambda observer=observer: not observer.client.in_flight)
            assert await observer.send(endpoint.port, "c") == [("c", REJECTED)]
            observer.client.close()
            await endpoint.stop()

    asyncio.run(run())


@pytest.mark.parametrize("unread", [False, True])
@pytest.mark.parametrize("response_name, surplus_name", LATER_CASES)
def test_surplus_in_a_later_read_does_not_answer_the_next_request(response_name, surplus_name, unread):
    # With `unread`, it has arrived but has not been read when the next call takes a connection.
    async def run():
        response, surplus, outcome = case(response_name, surplus_name)
        endpoint = await GatedEndpoint().start()
        observer = RecordingObserver()
        first = asyncio.ensure_future(observer.send(endpoint.port, "a"))
        await endpoint.call()
        endpoint.release("a", response)
        assert await first == [("a", outcome)]
        await until(lambda: not observer.client.in_flight)
        (writer,) = endpoint.writers
        (idle,) = observer.client.pools[1].idle
        writer.write(surplus)
        if unread:
            assert idle.sock.recv(1, socket.MSG_PEEK) == surplus[:1]
        else:
            await until(lambda: idle.closed)
        second = asyncio.ensure_future(observer.send(endpoint.port, "b"))
        await endpoint.call()
        assert not second.done() and observer.client.calls_on_new_connections == 2
        endpoint.release("b", answer(503))
        assert await second == [("b", REJECTED)]
        assert observer.ended.empty() and observer.load_reports == []
        observer.client.close()
        await endpoint.stop()

    asyncio.run(run())


@pytest.mark.parametrize("response_name, surplus_name", CASES)
def test_the_outcome_does_not_depend_on_where_the_bytes_are_cut(response_name, surplus_name):
    response, surplus, _ = case(response_name, surplus_name)
    data, seen = response + surplus[:200], set()

    class Recorder(ResponseHandler):
        def headers_received(self, status, headers):
            reported.append((status, headers.get("retry-after"), headers.get("x-server-load")))

    for cut in range(1, len(data)):
        reported, parser = [], ResponseParser(Recorder())
        assert parser.feed(data[:cut])
        if not parser.complete:
            assert parser.feed(data[cut:])
        assert parser.complete and parser.status == reported[0][0]
        seen.add(tuple(reported))
    assert len(seen) == 1 and len(next(iter(seen))) == 1


@pytest.mark.parametrize("message_class", ["safe", "unsafe"])
@pytest.mark.parametrize("later", [False, True])
def test_surplus_at_every_response_fails_and_delays_no_message(tmp_path, message_class, later):
    class SurplusEndpoint(Endpoint):
        """Endpoint that sends a surplus after each response, at once or when the relay's connection rests."""

        def __init__(self):
            super().__init__()
            self.surplus_sent = asyncio.Queue()

        async def serve(self, reader, writer):
            while True:
                _, path, headers, body = await read_request(reader)
                self.calls.put_nowait((path, headers, body, 0.0))
                surplus = forms[(self.calls.qsize() - 1) % len(forms)] or answer(200)
                writer.write(answer(200) if later else answer(200) + surplus)
                if later:
                    await until(lambda: fleet_in_test[0].relay.calls.idle_connections)
                    writer.write(surplus)
                    self.surplus_sent.put_nowait(None)

    forms, fleet_in_test = list(SURPLUS.values()), []

    @with_fleet
    async def run(fleet):
        fleet_in_test.append(fleet)
        endpoint = fleet.endpoints["a"] = await SurplusEndpoint().start()
        fleet.discovery.add_target("a", endpoint.port, 7)
        client = await fleet.start_relay()
        count = 2 * len(forms)
        for number in range(count):
            assert await client.put(f"m{number}", message_class=message_class) == "+OK"
            await until(lambda number=number: endpoint.calls.qsize() > number)
            await until(lambda: not fleet.relay.journal.open_count)
            if later:  # the next request may not cross the surplus
                await bounded(endpoint.surplus_sent.get())
                await until(lambda: not fleet.relay.calls.idle_connections)
        metrics = await fleet.metrics()
        assert metrics[f'app_success_total{{tier="{message_class}"}}'] == count
        assert metrics["app_backend_calls_total"] == count and metrics["app_hosts_down"] == 0
        assert fleet.discovery.finals.empty()

    run(tmp_path)


class SurplusDiscovery(Discovery):
    """Discovery service that accepts notices and sends a surplus after each response."""

    def __init__(self, surplus, before_surplus):
        super().__init__()
        self.surplus, self.before_surplus = surplus, before_surplus

    async def serve(self, reader, writer):
        while True:
            body = (await read_request(reader))[3]
            for line in body.splitlines():
                self.finals.put_nowait((204, json.loads(line)))
            writer.write(ACCEPTED)
            await self.before_surplus()
            writer.write(self.surplus)


@pytest.mark.parametrize("later", [False, True])
@pytest.mark.parametrize("surplus_name", SURPLUS)
def test_surplus_behind_the_response_to_a_notice_delays_no_other_notice(surplus_name, later):
    async def run():
        loop, accepted = asyncio.get_running_loop(), []

        async def before_surplus():
            if later:
                await until(lambda: not notifier.pending)

        surplus = SURPLUS[surplus_name] or ACCEPTED
        discovery = await SurplusDiscovery(surplus, before_surplus).start()
        notifier = FinalNotifier(loop, Address("127.0.0.1", discovery.port), accepted.extend)
        for number in range(6):
            notifier.enqueue(FinalNotice(number, f"m{number}", "undeliverable", 0))
            enqueued_at_s = loop.time()
            assert (await discovery.final())["id"] == f"m{number}"
            await until(lambda number=number: accepted[-1:] == [number])
            assert loop.time() - enqueued_at_s < NOTICE_BOUND_S
            if later:  # the surplus arrives while the connection rests
                await until(lambda: notifier.connection.closed)
        assert accepted == list(range(6)) and discovery.finals.empty()  # each was sent once
        notifier.stop()
        await discovery.stop()

    asyncio.run(run())

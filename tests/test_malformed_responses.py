"""After a malformed or incomplete response, the messages of the call may or may not have been applied.

A 200 is the exception: its complete status line proves that a single message was applied.
"""

import asyncio
import time

import pytest
from loopback import Endpoint, answer, bounded, until, with_fleet
from test_endpoint_calls import RecordingObserver

from message_relay.model import AttemptResult
from message_relay.server.endpoint_calls import AttemptOutcome, EndpointCall
from message_relay.server.http.response_handler import ResponseHandler
from message_relay.server.http.response_parser import ResponseParser

OK = AttemptOutcome(AttemptResult.OK, message_ended=True)
MAY_HAVE_BEEN_APPLIED = AttemptOutcome(AttemptResult.ERROR, malformed=True)
ENDLESS = b"HTTP/1.1 %d x\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70000
MALFORMED = {
    "503 with an unparsable header": b"HTTP/1.1 503 x\r\nBad\x00Head: 1\r\n\r\n",
    "410 with two content lengths": b"HTTP/1.1 410 x\r\nContent-Length: 0\r\nContent-Length: 3\r\n\r\n",
    "504 with a negative content length": b"HTTP/1.1 504 x\r\nContent-Length: -5\r\n\r\n",
    "503 with unterminated headers": b"HTTP/1.1 503 x\r\n" + b"A: b\r\n" * 10,
    "503 with headers over the limit": b"HTTP/1.1 503 x\r\n" + b"A: b\r\n" * 20000,
    "503 with a truncated body": b"HTTP/1.1 503 x\r\nContent-Length: 10\r\n\r\nno",
    "410 with a body over the limit": ENDLESS % 410,
    "200 truncated before its reason": b"HTTP/1.1 200",
    "200 truncated in its reason": b"HTTP/1.1 200 O",
    "200 truncated in its line end": b"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 OK\r",
    "malformed chunk size": b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "arbitrary bytes": bytes(range(256)) * 4,
    "endless 1xx": b"HTTP/1.1 102 x\r\n\r\n" * 100,
    "protocol upgrade": b"HTTP/1.1 101 x\r\nUpgrade: y\r\nConnection: upgrade\r\n\r\n",
}
WELL_FORMED = {
    "1xx before the final response": (
        b"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\nLink: y\r\n\r\n" + answer(503),
        AttemptOutcome(AttemptResult.REJECTED),
    ),
    "a second response": (answer(503) * 2, AttemptOutcome(AttemptResult.REJECTED)),
    "503 with a body over its content length": (
        b"HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\nno room here",
        AttemptOutcome(AttemptResult.REJECTED),
    ),
    "malformed load report": (
        answer(429, Retry_After="0.2", X_Server_Load="x0=,=,nan"),
        AttemptOutcome(AttemptResult.REJECTED, retry_after_us=200_000),
    ),
    "200, then an unparsable header": (b"HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n", OK),
    "200, then a body over the limit": (ENDLESS % 200, OK),
    "200, then no further bytes": (b"HTTP/1.1 200 OK\r\n", OK),
    "200 without a reason, then no further bytes": (b"HTTP/1.1 100 x\r\nA: b\r\n\r\nHTTP/1.1 200\r\n", OK),
    "200, then trailing bytes": (answer(200) + b"\x00\x01noise", OK),
    "body that ends with the connection": ("close", AttemptOutcome(AttemptResult.REJECTED)),
    "Retry-After nan": (answer(429, Retry_After="nan"), AttemptOutcome(AttemptResult.REJECTED)),
    "Retry-After inf": (answer(429, Retry_After="inf"), AttemptOutcome(AttemptResult.REJECTED)),
    "Retry-After over the limit": (answer(429, Retry_After="1e9"), AttemptOutcome(AttemptResult.REJECTED)),
    "Retry-After negative": (answer(429, Retry_After="-3"), AttemptOutcome(AttemptResult.REJECTED)),
}


class ClosingEndpoint(Endpoint):
    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 x\r\n\r\nfull")


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_response_leaves_the_outcome_ambiguous(name):
    # The headers of a 503, 410 or 504 without the complete response do not prove that the message was not
    # applied. If they counted as a proof, a message that had been applied would be sent again.
    async def run():
        endpoint = await Endpoint(MALFORMED[name]).start()
        observer = RecordingObserver()
        assert await observer.send(endpoint.port, "a") == [("a", MAY_HAVE_BEEN_APPLIED)]
        await bounded(endpoint.closed_connections.get())  # the connection is closed, not reused
        assert not observer.client.in_flight and not observer.client.pools[1].idle
        await endpoint.stop()

    asyncio.run(run())


@pytest.mark.parametrize("name", WELL_FORMED)
def test_a_well_formed_response_with_missing_or_additional_bytes(name):
    async def run():
        step, outcome = WELL_FORMED[name]
        endpoint = await (ClosingEndpoint() if step == "close" else Endpoint(step)).start()
        observer = RecordingObserver()
        assert await observer.send(endpoint.port, "a") == [("a", outcome)]
        await until(lambda: not observer.client.in_flight)
        assert await observer.send(endpoint.port, "b") == [("b", outcome if step == "close" else OK)]
        reusable = name.startswith(("1xx", "malformed load report", "Retry-After"))
        assert endpoint.server is not None and observer.client.calls_on_new_connections == (
            1 if reusable else 2
        )
        await endpoint.stop()

    asyncio.run(run())


def test_a_response_received_byte_by_byte_reports_its_status_once():
    # The status is reported when the status line is complete, not when its digits have arrived.
    data, reported = b"HTTP/1.1 103 x\r\nA: b\r\n\r\n" + answer(200, b"body"), []

    class StatusRecorder(ResponseHandler):
        def status_received(self, status):
            reported.append((status, position))

    parser = ResponseParser(StatusRecorder())
    for position in range(len(data)):
        assert parser.feed(data[position : position + 1])
    assert reported == [(200, data.index(b"200 x\r\n") + 6)] and parser.complete


def test_the_body_of_a_response_to_a_single_message_is_not_stored():
    async def run():
        endpoint = await Endpoint(answer(200, b"x" * 60000)).start()
        observer = RecordingObserver()
        body_sizes = []
        original = EndpointCall.response_complete
        EndpointCall.response_complete = lambda call: (body_sizes.append(len(call.body)), original(call))
        try:
            assert await observer.send(endpoint.port, "a") == [("a", OK)]
            await until(lambda: not observer.client.in_flight)
        finally:
            EndpointCall.response_complete = original
        assert body_sizes == [0]
        await endpoint.stop()

    asyncio.run(run())


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100000,
        b"[1]",
        b'{"id":1}',
        b'[{"id":"a","state":[]}]',
        b'[{"id":"a","state":"done"}',
        b'[{"id":"a","state":"done"},{"id":"a","state":"busy"}]',
        b"\xff\xfe",
        b"x" * 70000,
    ],
)
def test_a_batch_with_a_malformed_response_may_have_been_applied(body):
    async def run():
        endpoint = await Endpoint(answer(200, body)).start()
        observer = RecordingObserver()
        outcomes = await observer.send(endpoint.port, "a", "b")
        assert outcomes == [("a", MAY_HAVE_BEEN_APPLIED), ("b", MAY_HAVE_BEEN_APPLIED)]
        await endpoint.stop()

    asyncio.run(run())


@with_fleet
async def test_malformed_responses_between_well_formed_ones_delay_no_message(fleet):
    # Any endpoint may send a malformed response. If it counted as a fault of the endpoint, each would delay
    # the endpoint's non-idempotent messages by seconds, and a few in a row would put it into slow start.
    endpoint = await fleet.endpoint("a", *([answer(200)] * 3 + [MALFORMED["arbitrary bytes"]] * 2))
    client = await fleet.start_relay()
    for number in range(3):
        await client.put(f"m{number}")
        await endpoint.call()
    for number in range(2):
        await client.put(f"s{number}", message_class="unsafe")
        await endpoint.call()
        assert (await fleet.discovery.final())["status"] == "undeliverable"
    started_at = time.monotonic()
    await client.put("u", message_class="unsafe")
    assert (await endpoint.call())[1]["x-request-id"] == "u" and time.monotonic() - started_at < 0.2

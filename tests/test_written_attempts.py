"""A request that was written whole may have run, however its call ends; only a whole answer disproves it."""

import asyncio
import socket
import struct

import pytest
from loopback import Endpoint, ScriptedServer, read_request
from test_endpoint_calls import RecordingObserver

from message_relay.model import RESULTS_NOT_APPLIED, AttemptResult
from message_relay.server.endpoint_calls import EndpointCall

ENDLESS_RESPONSES = [
    b"HTTP/1.1 %d x\r\nContent-Length: 1000000\r\n\r\n" % status + b"x" * 200_000
    for status in (429, 500, 503)
]
ENDS = {
    "time-out": EndpointCall.time_out,
    "connect time-out": lambda call: call._owner._connect_timed_out(call, call.connection),
    "loss of the connection": lambda call: call.connection_lost(True),
}


# Guards against a second call of a message that may have run: its response never ended, and its time-out fell
# into the same iteration of the event loop as the end of the connection.
@pytest.mark.parametrize("response", ENDLESS_RESPONSES)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("message_ids", ["a", "ab"])
def test_a_message_with_an_endless_response_may_have_run(message_ids, end, response, monkeypatch):
    body_received = EndpointCall.body_received

    def body_received_as_time_is_up(call, data):
        body_received(call, data)
        if call.connection.closed:  # what was due in this iteration runs before what is scheduled now
            ENDS[end](call)

    monkeypatch.setattr(EndpointCall, "body_received", body_received_as_time_is_up)

    async def run():
        endpoint = await Endpoint(response).start()
        observer = RecordingObserver()
        outcomes = await observer.send(endpoint.port, *message_ids)
        assert [message_id for message_id, _ in outcomes] == list(message_ids)
        assert not {outcome.result for _, outcome in outcomes} & set(RESULTS_NOT_APPLIED)
        await asyncio.sleep(0.01)
        assert observer.ended.empty() and not observer.client.in_flight
        observer.client.close()
        await endpoint.stop()

    asyncio.run(run())


class CutEndpoint(ScriptedServer):
    """Endpoint whose response has no length; it ends the connection properly, or by a reset."""

    def __init__(self, response, reset):
        super().__init__()
        self.response, self.reset = response, reset

    async def serve(self, reader, writer):
        await read_request(reader)
        writer.write(self.response)
        await asyncio.sleep(0.02)  # the caller reads it before the connection ends
        if self.reset:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


# Guards against a second call of a message that may have run: its response had no length, and a connection
# that broke was taken for the end of it.
@pytest.mark.parametrize("status", [400, 410, 429, 503, 504])
@pytest.mark.parametrize("message_ids", ["a", "ab"])
def test_a_response_without_a_length_is_not_complete_when_the_connection_breaks(message_ids, status):
    async def run(reset):
        endpoint = await CutEndpoint(b"HTTP/1.1 %d x\r\n\r\npart" % status, reset).start()
        observer = RecordingObserver()
        results = {outcome.result for _, outcome in await observer.send(endpoint.port, *message_ids)}
        assert observer.ended.empty()
        observer.client.close()
        await endpoint.stop()
        return results

    assert asyncio.run(run(reset=True)) == {AttemptResult.RESET}
    assert asyncio.run(run(reset=False)) <= set(RESULTS_NOT_APPLIED)

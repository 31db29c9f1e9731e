"""A request that was written whole may have run, however its call ends; only a whole answer disproves it."""

import asyncio

import pytest
from loopback import Endpoint
from test_endpoint_calls import RecordingObserver

from message_relay.model import RESULTS_NOT_APPLIED
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

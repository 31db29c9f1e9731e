"""Calls keep no more memory than they need: of a response's headers, of a written request, of a batch."""

import asyncio

from loopback import answer, until, with_fleet

from message_relay.server.http.response_handler import ResponseHandler
from message_relay.server.http.response_parser import ResponseParser

MANY_HEADERS = b"".join(b"h%d: v\r\n" % number for number in range(2000))


class Recorder(ResponseHandler):
    def __init__(self):
        self.headers = {}

    def headers_received(self, status, headers):
        self.headers = headers


# Guards against a response whose very many short headers are expanded into a table of several megabytes.
def test_only_the_headers_that_are_used_are_stored():
    recorder = Recorder()
    parser = ResponseParser(recorder)
    head = b"HTTP/1.1 429 x\r\n" + MANY_HEADERS + b"Retry-After: 1.5\r\nX-Server-Load: a=1\r\n"
    assert parser.feed(head + b"Content-Length: 0\r\n\r\n") and parser.complete
    assert recorder.headers == {"retry-after": "1.5", "x-server-load": "a=1", "content-length": "0"}


# Guards against written requests that stay in memory for as long as their connections are idle.
@with_fleet
async def test_an_idle_connection_holds_no_copy_of_its_last_request(fleet):
    await fleet.endpoint("a", answer(200), answer(500))
    client = await fleet.start_relay()
    for number in range(2):
        assert await client.put(f"m{number}", body=b"x" * 60_000) == "+OK"
        await until(lambda: not fleet.relay.calls.in_flight)
    await asyncio.sleep(0)
    idle = [connection for pool in fleet.relay.calls.pools.values() for connection in pool.idle]
    assert idle and all(connection._request == b"" and connection.request_written for connection in idle)

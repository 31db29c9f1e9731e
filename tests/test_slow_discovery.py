"""A discovery service that answers late: the watch must get its list in the end.

Guards against giving up each request after the same time: a service that always takes longer was never heard.
The test fires the timers of the watch itself; requests and responses pass through real connections.
"""

import asyncio
import json

from loopback import ScriptedServer, bounded, read_request, until

from message_relay.server.configuration import Address
from message_relay.server.discovery import endpoint_watch
from message_relay.server.discovery.endpoint_watch import EndpointWatch

HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Of a slow service; within the 4 s and the 6 s in which a change has to arrive.
WAIT_FOR_RESPONSE_S = 2.5


class HeldDiscovery(ScriptedServer):
    """Discovery service whose watches the test answers; `requests` holds the writer of each."""

    def __init__(self):
        super().__init__()
        self.requests = asyncio.Queue()

    async def serve(self, reader, writer):
        await read_request(reader)
        self.requests.put_nowait(writer)
        await reader.read()


class TimedWatch(EndpointWatch):
    """Watch whose timer the test fires; `timers` holds the delay and the action of each that was set."""

    def __init__(self, *args):
        super().__init__(*args)
        self.timers = []

    def set_timer(self, delay_s, action):
        self.timers.append((delay_s, action))

    def fire(self):
        self.timers[-1][1]()


def change_line(revision):
    line = json.dumps({"rev": revision, "all": True, "targets": []}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


def test_each_request_that_timed_out_is_followed_by_one_with_a_longer_limit():
    async def run():
        discovery, changes = await HeldDiscovery().start(), []
        address = Address("127.0.0.1", discovery.port)
        watch = TimedWatch(asyncio.get_running_loop(), address, 0, changes.append)
        watch.start()
        await bounded(discovery.requests.get())
        assert watch.timers[-1][0] == endpoint_watch.RESPONSE_TIMEOUT_S
        watch.fire()
        writer = await bounded(discovery.requests.get())
        limit_s = watch.timers[-1][0]
        assert limit_s > WAIT_FOR_RESPONSE_S
        assert endpoint_watch.RESPONSE_TIMEOUT_S + WAIT_FOR_RESPONSE_S < 6
        writer.write(HEADERS + change_line(5))
        await until(lambda: changes)
        assert changes[0].revision == 5
        writer.close()  # the next failure begins with the shorter limit again
        await until(lambda: watch.connection.closed)
        watch.fire()
        await bounded(discovery.requests.get())
        assert watch.timers[-1][0] == endpoint_watch.RESPONSE_TIMEOUT_S
        for _ in range(5):
            watch.fire()
            await bounded(discovery.requests.get())
        assert watch.timers[-1][0] == endpoint_watch.MAX_RESPONSE_TIMEOUT_S
        watch.change_address(address)  # after SIGHUP, too
        await bounded(discovery.requests.get())
        assert watch.timers[-1][0] == endpoint_watch.RESPONSE_TIMEOUT_S
        watch.stop()
        await discovery.stop()

    asyncio.run(run())

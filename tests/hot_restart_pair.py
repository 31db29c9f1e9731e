"""Two relay servers in one process, for tests of hot restarts.

The journal's lock belongs to its open file, so it excludes the other server as it would exclude a process.
"""

import asyncio
import socket

from loopback import Client, Endpoint, answer, bounded, read_request, settings, until, with_fleet

from message_relay.server.hot_restart import channel, new_process, old_process
from message_relay.server.configuration import load_configuration
from message_relay.server.relay_server import RelayServer


class BlockedEndpoint(Endpoint):
    """Endpoint that answers no request before `open` is set."""

    def __init__(self):
        super().__init__()
        self.open = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            _, path, headers, body = await read_request(reader)
            self.calls.put_nowait((path, headers, body, 0.0))
            await self.open.wait()
            writer.write(answer(200))


class ProcessPair:
    """The server that stands for the old process, and the one that stands for the new process."""

    def __init__(self, fleet):
        self.fleet, self.loop = fleet, asyncio.get_running_loop()
        self.path = fleet.folder / "hand.sock"
        self.old_process, self.new_process = fleet.relay, None
        self.listener = old_process.HotRestartListener(self.loop, self.old_process.transfer, self.path)
        self.old_process.lifecycle.reports_sent = lambda: self.listener.reports_sent
        self.listener.listen()

    def prepare_new_process(self):
        """Create the new process and prepare it up to the point where it requests a handover; return it."""
        self.fleet.raw_settings = self.fleet.raw_settings or settings()
        self.new_process = RelayServer(self.loop, load_configuration(self.fleet.write_configuration()))
        self.new_process.prepare()
        return self.new_process

    async def hot_restart(self):
        """Restart into a new process and return it."""
        new = self.prepare_new_process()
        await bounded(new_process.take_over(self.loop, new, self.path))
        self.fleet.relay = new  # closed with the fleet
        return new

    def close(self):
        self.listener.close()
        if self.fleet.relay is not self.old_process:
            self.old_process.close()
        elif self.new_process:
            self.new_process.close()


def with_process_pair(test):
    """Decorate a test coroutine, which receives a fleet and start().

    start() starts the old process and returns a client and the `ProcessPair`.
    """

    @with_fleet
    async def run(fleet):
        started = {}

        async def start():
            started["client"] = await fleet.start_relay()
            started["pair"] = ProcessPair(fleet)
            return started["client"], started["pair"]

        try:
            await test(fleet, start)
        finally:
            if "pair" in started:
                started["pair"].close()

    return run


async def add_blocked_endpoint(fleet, uid="g", dest=7):
    """Start a `BlockedEndpoint`, add it to the endpoint list and return it."""
    fleet.endpoints[uid] = await BlockedEndpoint().start()
    fleet.discovery.add_target(uid, fleet.endpoints[uid].port, dest)
    return fleet.endpoints[uid]


class ScriptedRequester:
    """Connection of a new process, whose frames the test sends and which may end at any step."""

    def __init__(self, pair):
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(str(pair.path))
        self.received_frames, self.disconnected = asyncio.Queue(), asyncio.Event()
        self.channel = channel.Channel(pair.loop, sock, self.frame_received, self.disconnected.set)

    def frame_received(self, frame):
        self.received_frames.put_nowait(frame.encode())

    async def wait_for_frame(self, name):
        """Receive frames up to the one with this name."""
        while (await bounded(self.received_frames.get()))[0] != name:
            pass


async def assert_still_serves(fleet, pair, client, endpoint, message_id):
    """Wait until the old process has ended the handover, then check that it serves old and new clients."""
    await until(lambda: not pair.old_process.events.paused and pair.listener.channel is None)
    assert pair.old_process.unready_reason() == "" and await client.put(message_id, dest=8) == "+OK"
    assert (await endpoint.call())[1]["x-request-id"] == message_id
    new_client = await Client().open(fleet.relay_port())
    assert await new_client.send(Client.command(b"PING")) == "+PONG"

"""Scripted endpoints, discovery and clients on loopback sockets, for tests of the relay server."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import signal
import socket
import struct
import sys

from wire_settings import settings

from message_relay.server.admin_console import AdminConsole
from message_relay.server.configuration import load_configuration
from message_relay.server.relay_server import RelayServer

ROOT = pathlib.Path(__file__).parent.parent
WAIT_TIMEOUT_S = 15.0


def free_port():
    """Return the number of a TCP port that is not in use."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


async def bounded(awaitable):
    """Return the result of the awaitable; raises TimeoutError after `WAIT_TIMEOUT_S`."""
    return await asyncio.wait_for(awaitable, WAIT_TIMEOUT_S)


async def until(condition):
    """Wait until the condition holds; raises TimeoutError after `WAIT_TIMEOUT_S`."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


class ScriptedServer:
    """TCP server whose subclasses handle a connection in `serve`; a restart uses the same port again."""

    def __init__(self):
        self.server, self.port, self.writers = None, 0, set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port or self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def drop(self):
        """Close all connections; the server still accepts new ones."""
        for writer in list(self.writers):
            writer.close()

    async def stop(self):
        self.server.close()
        self.drop()


async def read_request(reader):
    """Read an HTTP request; return its method, path, headers by lower-case name, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {
        name.lower(): value.strip() for name, value in (line.split(":", 1) for line in head[1:] if line)
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, path, _ = head[0].split()
    return method, path, headers, body


def answer(status, body=b"", **headers):
    """Return the bytes of an HTTP response; an underscore in a header name stands for a hyphen."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Endpoint(ScriptedServer):
    """Endpoint that takes a step of its script for each request, and answers 200 after the last step.

    A step is the response in bytes, a function that returns it for the request's body, "reset" (reset the
    connection) or "hang" (no response). `calls` holds the path, headers, body and time of each request,
    `closed_connections` an item for each connection that has ended.
    """

    def __init__(self, *script):
        super().__init__()
        self.script, self.calls, self.accepted = list(script), asyncio.Queue(), 0
        self.closed_connections = asyncio.Queue()

    async def serve(self, reader, writer):
        self.accepted += 1
        try:
            while True:
                method, path, headers, body = await read_request(reader)
                self.calls.put_nowait((path, headers, body, asyncio.get_running_loop().time()))
                step = self.script.pop(0) if self.script else answer(200)
                if step == "reset":
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return
                if step == "hang":
                    await reader.read()
                    return
                writer.write(step if isinstance(step, bytes) else step(body))
        finally:
            self.closed_connections.put_nowait(None)

    async def call(self):
        """Return the next request as path, headers, body and time; waits for it."""
        return await bounded(self.calls.get())


class GatedEndpoint(Endpoint):
    """Endpoint that answers each request when the test calls `release` with the id of its message."""

    def __init__(self):
        super().__init__()
        self.gates = {}

    async def serve(self, reader, writer):
        while True:
            path, headers, body = (await read_request(reader))[1:]
            gate = self.gates[headers["x-request-id"]] = asyncio.get_running_loop().create_future()
            self.calls.put_nowait((path, headers, body, asyncio.get_running_loop().time()))
            writer.write(await gate)

    def release(self, message_id, response):
        """Answer the request of the message, which has arrived, with these bytes."""
        self.gates.pop(message_id).set_result(response)


class Discovery(ScriptedServer):
    """Discovery service: sends its endpoint list and the changes to each watch, and receives final notices.

    `watches` holds the path of each watch request, `finals` each notice with the status that answered it.
    `notice_status` lists the statuses for the next requests with notices; after the last one it is 204.
    """

    def __init__(self):
        super().__init__()
        self.rev, self.targets, self.finals, self.watches = 1, {}, asyncio.Queue(), asyncio.Queue()
        self.watchers, self.notice_status, self.silent = [], [], False

    def add_target(self, uid, port, dest, destination_type="plain", state="in_service", rate=100.0):
        """Add an entry to the endpoint list, without sending it to the open watches; return the entry."""
        self.targets[uid] = {
            "uid": uid,
            "endpoint": f"127.0.0.1:{port}",
            "az": "here",
            "model": destination_type,
            "pod_group": dest,
            "state": state,
            "capacity_hint": rate,
            "boot_ms": 0,
        }
        return self.targets[uid]

    def complete_list(self):
        """Return the line of the watch that lists all targets."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def change(self, uid, **values):
        """Update fields of a target, raise the revision and send the target to the open watches."""
        self.rev += 1
        self.targets[uid].update(values)
        self._send_to_watches({"rev": self.rev, "all": False, "targets": [self.targets[uid]]})

    def _send_to_watches(self, line):
        for writer in self.watchers:
            self._write_chunk(writer, json.dumps(line).encode())

    @staticmethod
    def _write_chunk(writer, line):
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    async def serve(self, reader, writer):
        while True:
            method, path, headers, body = await read_request(reader)
            if path.startswith("/discovery"):
                self.watches.put_nowait(path)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._write_chunk(writer, json.dumps(self.complete_list()).encode())
                self.watchers.append(writer)
                await reader.read()
                self.watchers.remove(writer)
                return
            status = self.notice_status.pop(0) if self.notice_status else 204
            for line in body.splitlines():
                self.finals.put_nowait((status, json.loads(line)))
            writer.write(b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % status)

    async def final(self, status=204):
        """Return the next notice that was answered with the status; waits for it."""
        while True:
            response_status, notice = await bounded(self.finals.get())
            if response_status == status:
                return notice


class Client:
    """Client of the relay on one RESP connection."""

    def __init__(self):
        self.reader = self.writer = None
        self.count = 0

    async def open(self, port):
        self.reader, self.writer = await bounded(asyncio.open_connection("127.0.0.1", port))
        return self

    @staticmethod
    def command(*args):
        """Return the bytes of a RESP command."""
        return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(arg), arg) for arg in args)

    @classmethod
    def message(cls, message_id, message_class="safe", dest=7, lifetime_ms=6000, body=b"hello", key=""):
        """Return the bytes of a command that submits a message; the class is given by its name."""
        fields = f"c={message_class},t=t,d={lifetime_ms},dest={dest}" + (f",k={key}" if key else "")
        return cls.command(b"MSG.PUT", b"0" * 16, message_id.encode(), fields.encode(), body)

    async def line(self):
        """Return the next line that the relay sends, without its line end."""
        return (await bounded(self.reader.readuntil(b"\r\n"))).decode().strip()

    async def send(self, data):
        """Send the bytes and return the line that answers them."""
        self.writer.write(data)
        return await self.line()

    async def put(self, message_id, **fields):
        """Submit a message with the fields of `message` and return the line that answers it."""
        return await self.send(self.message(message_id, **fields))


class Fleet:
    """A relay with its endpoints and its discovery service.

    The relay runs in this process (`relay`) or in one of its own (`process`). `raw_settings` and `limits` are
    written into its configuration file and may be changed until it starts.
    """

    def __init__(self, folder, raw_settings=None, **limits):
        self.folder, self.raw_settings = folder, raw_settings or settings()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3, **limits}
        self.discovery, self.endpoints, self.relay, self.process = Discovery(), {}, None, None
        self.console, self.console_port = None, 0

    async def __aenter__(self):
        (self.folder / "state").mkdir(exist_ok=True)
        await self.discovery.start()
        return self

    async def __aexit__(self, *_):
        if self.console:
            self.console.close()
        if self.relay:
            self.relay.close()
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for server in (self.discovery, *self.endpoints.values()):
            await server.stop()

    async def endpoint(self, uid, *script, dest=7, destination_type="plain", rate=100.0):
        """Start an endpoint with the script, add it to the endpoint list and return it."""
        endpoint = self.endpoints[uid] = await Endpoint(*script).start()
        self.discovery.add_target(uid, endpoint.port, dest, destination_type, rate=rate)
        return endpoint

    def write_configuration(self):
        """Write the configuration file and return the environment variables of the relay."""
        config = {
            "name": "n0",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.discovery.complete_list(),
            "settings": self.raw_settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        return {
            "LB_NAME": "n0",
            "LB_LISTEN": "127.0.0.1:0",
            "LB_CONFIG": str(path),
            "LB_DISCOVERY": f"127.0.0.1:{self.discovery.port}",
            "LB_STATE": str(self.folder / "state"),
            "LB_CONSOLE": f"127.0.0.1:{self.console_port}" if self.console_port else "",
        }

    async def start_relay(self):
        """Start the relay in this process; return a client that is connected to it."""
        self.relay = RelayServer(asyncio.get_running_loop(), load_configuration(self.write_configuration()))
        self.console = AdminConsole(self.relay.operations)
        self.console_port = await self.console.listen(("127.0.0.1", 0))
        return await Client().open(await self.relay.start())

    async def run_command(self, command_line, port=0):
        """Run an operator's command on the admin console; return the complete answer."""
        reader, writer = await bounded(asyncio.open_connection("127.0.0.1", port or self.console_port))
        writer.write(command_line.encode() + b"\n")
        try:
            return (await bounded(reader.read())).decode()
        finally:
            writer.close()

    async def metrics(self):
        """Return the values of the metrics by name and labels, as read from the admin console."""
        lines = (await self.run_command("counters")).splitlines()
        assert lines[0] == "ACK" and lines[-1] == "--"
        return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines[1:-1])}

    def relay_port(self):
        """Return the port on which the relay in this process accepts clients."""
        return self.relay.clients.listening_socket.getsockname()[1]

    async def start_process(self, descriptor_limit=0):
        """Start the relay in a process of its own; return a client that is connected to it.

        The process may open up to `descriptor_limit` files; 0 leaves the limit as it is.
        """
        self.console_port = free_port()

        def limit_descriptors():
            if descriptor_limit:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))

        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "message_relay",
            env={**os.environ, **self.write_configuration()},
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=limit_descriptors,
        )
        while True:
            line = (await bounded(self.process.stderr.readline())).decode()
            assert line, "the relay process ended before it was ready"
            if "is ready on port" in line:
                self.port = int(line.split("is ready on port ")[1].split()[0])
                return await Client().open(self.port)

    async def kill(self):
        """Send SIGKILL to the process of the relay and wait for its end."""
        self.process.send_signal(signal.SIGKILL)
        await bounded(self.process.wait())


def with_fleet(test):
    """Decorate a coroutine so that pytest runs it with a started fleet in a temporary directory."""

    def run(tmp_path):
        async def inner():
            async with Fleet(tmp_path) as fleet:
                await test(fleet)

        asyncio.run(inner())

    return run

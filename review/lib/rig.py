"""Stand-ins for the platform, the endpoints, discovery and the clients, all on loopback addresses.

The relay runs as a separate process, started by the deploy file's `run` through /bin/sh from the root.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
START_LIMIT_S = 30.0  # the pages give a process 30 s to be ready


class CannotRunError(Exception):
    """The case could not be played; nothing is said about the rule."""


class Record:
    """record.txt of the case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.started_s = time.time()
        self.file = (pathlib.Path(folder) / "record.txt").open("w")

    def __call__(self, text):
        self.file.write(f"{time.time() - self.started_s:9.3f} {text}\n")
        self.file.flush()


def loopback_address():
    """Return a loopback address that this run has for itself."""
    return "127." + ".".join(str(number % 250 + 2) for number in os.urandom(3))


HOST = loopback_address()  # of the stand-ins
# Of the processes of the relay. Nothing else listens there: ports that were chosen for them stay free.
RELAY_HOST = loopback_address()
chosen_ports = set()


def free_port():
    while True:
        with socket.create_server((RELAY_HOST, 0)) as server:
            port = server.getsockname()[1]
        if port not in chosen_ports:
            chosen_ports.add(port)
            return port


def site_settings(**changes):
    """Settings of a small deployment: those of the sample in the wire page, for three instances.

    `group__key=value` changes the value of a key in a group.
    """
    settings = {
        "classes": [
            {
                "name": "status-update",
                "goalTimeUs": 800_000,
                "deadlineUs": 6_000_000,
                "idempotency": "read_like",
                "keyScope": "all",
                "keyTtlUs": 5_000_000,
                "lateShare": 0.1,
                "streamed": False,
                "worth": 1.0,
            },
            {
                "name": "ride-charge",
                "goalTimeUs": 4_000_000,
                "deadlineUs": 16_000_000,
                "idempotency": "non_idempotent",
                "keyScope": "all",
                "keyTtlUs": 5_000_000,
                "lateShare": 0.3,
                "streamed": False,
                "worth": 2.0,
            },
        ],
        "clients": {"marksRetry": False},
        "contract": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "coldShare": 0.31,
            "coldUs": 12_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 1.5,
            "fallUs": 2_000_000,
        },
        "family": "deliver",
        "familyInfo": {
            "carriage": [0.0, 0.0],
            "kindApart": [False, False],
            "kindBatch": [10, 1],
            "late": "line",
            "maxCalls": 16,
            "refusedPrice": 0.03,
        },
        "groupSize": 3,
        "localities": ["taller", "oficinas"],
        "me": 0,
        "membershipMode": "pushed",
        "overShareWorth": 0.1,
        "policyLimits": {
            "attemptsCap": 12,
            "connIdleUs": 5_000_000,
            "connectTimeoutUs": 1_500_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500_000,
            "maxOpen": 274,
            "maxRetryAfterUs": 3_000_000,
            "maxStreams": 1,
            "mayCancel": True,
            "peers": False,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "prices": {"handshake": 0.02, "lateFail": 0.02, "waste": 0.026, "crossZone": 0.01},
        "report": {"fields": ["x0", "x1"], "how": "piggyback"},
        "shapes": ["municipal", "small-partner"],
        "stepUs": 5000,
        "tenants": [],
        "tier": 0,
        "tiers": ["partner-systems"],
        "valueBy": "request",
        "weightSource": "silent",
        "zone": 0,
    }
    for name, value in changes.items():
        group, _, key = name.partition("__")
        if key:
            settings[group][key] = value
        else:
            settings[group] = value
    return settings


async def read_http(reader):
    """Read one HTTP request; return method, path, headers by lower-case name, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {n.lower(): v.strip() for n, v in (line.split(":", 1) for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, path, _ = head[0].split(" ")
    return method, path, headers, body


def http_answer(status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """TCP server on a loopback address; `serve` handles one connection."""

    def __init__(self, record, name, host=HOST):
        self.record, self.name, self.host = record, name, host
        self.server, self.port, self.writers = None, 0, set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, self.port, backlog=256)
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

    def reset_connections(self):
        for writer in list(self.writers):
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    def stop_listening(self):
        self.server.close()

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Endpoint(Server):
    """Endpoint of a destination: takes calls as the protocol page says and answers each after `work_s`.

    `calls` holds (time of the last byte, ids). `decide`, if set, is awaited with the ids and the attempt of
    the first one and returns the answer's bytes, or None for no answer.
    """

    def __init__(self, record, name, work_s=0.05):
        super().__init__(record, name)
        self.work_s, self.calls, self.runs, self.decide, self.draining = work_s, [], {}, None, False
        self.done = {}  # by message id: time at which its 200 was written

    async def serve(self, reader, writer):
        while True:
            _, path, headers, body = await read_http(reader)
            arrived_s = time.time()
            bundle = path == "/events/bundle"
            ids = [row["id"] for row in json.loads(body)] if bundle else [headers["x-request-id"]]
            self.calls.append((arrived_s, ids))
            self.record(f"endpoint {self.name} call {' '.join(ids)}")
            answer = await self.answer(ids, bundle)
            if answer is None:
                await reader.read()
                return
            writer.write(answer)
            await writer.drain()
            line = answer.split(b"\r\n", 1)[0].decode()
            if " 200 " in line:
                self.done.update((message_id, time.time()) for message_id in ids)
            self.record(f"endpoint {self.name} answer {line} {' '.join(ids)}")

    async def answer(self, ids, bundle):
        if self.decide is not None:
            return await self.decide(ids, bundle)
        if self.draining:
            return http_answer(503)
        return await self.run(ids, bundle)

    async def run(self, ids, bundle):
        for message_id in ids:
            self.runs[message_id] = self.runs.get(message_id, 0) + 1
        await asyncio.sleep(self.work_s)
        if bundle:
            rows = [{"id": message_id, "state": "done"} for message_id in ids]
            return http_answer(200, json.dumps(rows).encode())
        return http_answer(200)


class Discovery(Server):
    """Discovery's agent: the list, its changes to each watch, and the notices.

    While `down`, it is silent but for the notices, which are answered at once. `silent` holds the connections
    that have fallen silent: they stay open, and nothing that is written to them arrives.
    """

    def __init__(self, record, name="discovery"):
        super().__init__(record, name)
        self.rev, self.targets, self.changes = 1, {}, []
        self.down, self.watch_delay_s = False, 0.0
        self.watches, self.silent, self.notice_writers = {}, set(), set()
        self.finals = {}  # by message id: list of (time, status)

    def add(self, uid, endpoint, dest, model="small-partner", state="in_service"):
        self.targets[uid] = {
            "uid": uid,
            "endpoint": endpoint.address,
            "az": "taller",
            "model": model,
            "pod_group": dest,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def whole_list(self):
        return {"rev": self.rev, "all": True, "targets": [dict(entry) for entry in self.targets.values()]}

    def change(self, uid, state):
        """Change an endpoint's state and tell it to the open watches, unless discovery is down."""
        self.rev += 1
        self.targets[uid]["state"] = state
        self.changes.append((self.rev, dict(self.targets[uid])))
        self.record(f"{self.name} list: {uid} is {state}, rev {self.rev}")
        for writer in list(self.watches):
            self._tell(writer)

    def set_down(self, down):
        self.down = down
        self.record(f"{self.name} is {'down (silent)' if down else 'up'}")
        for writer in list(self.watches):
            self._tell(writer)

    def fall_silent(self, writers):
        self.silent |= set(writers)
        self.record(f"{self.name}: {len(set(writers))} open connections fall silent")

    def _tell(self, writer):
        told = self.watches[writer]
        if self.down or writer in self.silent or told >= self.rev:
            return
        missed = [entry for rev, entry in self.changes if rev > told]
        oldest = self.changes[0][0] if self.changes else self.rev + 1
        line = {"rev": self.rev, "all": False, "targets": missed}
        if told < oldest - 1 or not missed:
            line = self.whole_list()
        self._write_line(writer, json.dumps(line))
        self.watches[writer] = self.rev
        self.record(f"{self.name} tells a watch rev {self.rev}")

    @staticmethod
    def _write_line(writer, text):
        data = text.encode() + b"\n"
        with contextlib.suppress(ConnectionError):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def serve(self, reader, writer):
        while True:
            method, path, _, body = await read_http(reader)
            if writer in self.silent:
                await reader.read()
                return
            if method == "GET" and "watch=1" in path:
                await self._serve_watch(reader, writer, path)
                return
            if method == "GET":
                if self.down:
                    await reader.read()
                    return
                writer.write(http_answer(200, json.dumps(self.whole_list()).encode()))
                continue
            self.notice_writers.add(writer)
            for line in body.splitlines():
                notice = json.loads(line)
                self.finals.setdefault(notice["id"], []).append((time.time(), notice["status"]))
                self.record(f"{self.name} notice {line.decode()}")
            writer.write(http_answer(204))

    async def _serve_watch(self, reader, writer, path):
        told = int(path.split("from=")[1].split("&")[0])
        self.record(f"{self.name} watch opened from {told}")
        closed = asyncio.ensure_future(reader.read())
        try:
            if self.watch_delay_s:
                await asyncio.wait([closed], timeout=self.watch_delay_s)
            while self.down and not closed.done():  # silent: the answer begins when discovery is up again
                await asyncio.wait([closed], timeout=0.02)
            if closed.done():
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches[writer] = told if told else -1
            self._tell(writer)
            while not closed.done():
                await asyncio.wait([closed], timeout=2.0)
                if not self.down and writer not in self.silent:
                    self._write_line(writer, "")
        finally:
            closed.cancel()
            self.watches.pop(writer, None)


def resp(*args):
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in args)


def put_command(message_id, message_class, dest, lifetime_ms, body=b"hello", extra=""):
    fields = f"c={message_class},d={lifetime_ms},dest={dest}{extra}"
    return resp(b"MSG.PUT", b"0" * 16, message_id.encode(), fields.encode(), body)


class Client:
    """Client on one kept connection. `taken` of the rig holds what was answered +OK, and until when."""

    def __init__(self, rig):
        self.rig, self.reader, self.writer = rig, None, None

    async def open(self):
        host, port = self.rig.listen
        self.reader, self.writer = await asyncio.open_connection(host, port)
        return self

    async def put(self, message_id, message_class="status-update", dest=1, lifetime_ms=6000, body=b"hello"):
        """Hand in one message; return the answer, or None if none came within 400 ms.

        If a connection that was kept ends with no answer, the request crossed its end: it is sent once more
        on a new one.
        """
        self.rig.record(f"client put {message_id} c={message_class} d={lifetime_ms} dest={dest}")
        sent_s, kept = time.time(), self.writer is not None
        line = await self._exchange(put_command(message_id, message_class, dest, lifetime_ms, body))
        if line == b"" and kept:
            self.rig.record(f"client {message_id} sent once more on a new connection")
            line = await self._exchange(put_command(message_id, message_class, dest, lifetime_ms, body))
        if not line:
            self.rig.record(f"client {message_id} no answer")
            return None
        answer = line.decode().strip()
        self.rig.record(f"client {message_id} answered {answer}")
        if answer == "+OK":
            self.rig.taken[message_id] = sent_s + lifetime_ms / 1e3
        return answer

    async def _exchange(self, command):
        """Return the line that answers the command, empty if the connection ended, None after 400 ms."""
        try:
            if self.writer is None:
                await self.open()
            self.writer.write(command)
            line = await asyncio.wait_for(self.reader.readline(), 0.4)
        except TimeoutError:
            line = None
        except OSError:
            line = b""
        if not line:
            self.close()
        return line

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class Rig:
    """The platform: the folders, the configuration, and the processes of one instance."""

    def __init__(self, record, settings=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="relay-review-"))
        self.settings = settings or site_settings()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.discovery = Discovery(record)
        self.servers, self.processes, self.taken = [self.discovery], [], {}
        self.listen = (RELAY_HOST, free_port())
        self.console_port = free_port()
        self.known = None
        (self.folder / "state").mkdir()
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            self.run_command = tomllib.load(file)["run"]

    async def endpoint(self, name, dest, model="small-partner", work_s=0.05):
        endpoint = await Endpoint(self.record, name, work_s).start()
        self.servers.append(endpoint)
        self.discovery.add(name, endpoint, dest, model)
        return endpoint

    def write_configuration(self, discovery=None):
        document = {
            "name": "n0",
            "listen": f"{self.listen[0]}:{self.listen[1]}",
            "discovery": (discovery or self.discovery).address,
            "console": f"{RELAY_HOST}:{self.console_port}",
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "known": self.known if self.known is not None else self.discovery.whole_list(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(document))
        new.replace(path)
        return path

    async def start(self, wait=True, tmpdir="tmp"):
        """Start one process of the instance by the deploy file's command; wait until it answers PING."""
        path = self.write_configuration()
        temporary = self.folder / tmpdir
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "LB_NAME": "n0",
            "LB_LISTEN": f"{self.listen[0]}:{self.listen[1]}",
            "LB_CONFIG": str(path),
            "LB_DISCOVERY": self.discovery.address,
            "LB_STATE": str(self.folder / "state"),
            "LB_CONSOLE": f"{RELAY_HOST}:{self.console_port}",
            "TMPDIR": str(temporary),
        }
        log = (self.folder / f"log{len(self.processes)}").open("wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.run_command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes.append(process)
        self.record(f"platform starts process {process.pid}")
        process.started_s = time.time()
        if wait:
            await self.wait_ready(process)
        return process

    async def wait_ready(self, process):
        until_s = time.time() + START_LIMIT_S
        while time.time() < until_s:
            if process.returncode is not None:
                raise CannotRunError(f"the process ended with {process.returncode} before it was ready")
            with contextlib.suppress(OSError, TimeoutError):
                if await self.ping():
                    self.record(f"process {process.pid} is ready")
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError("the process was not ready in time")

    async def ping(self):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.listen), 1)
        try:
            writer.write(resp(b"PING"))
            return (await asyncio.wait_for(reader.readline(), 1)).startswith(b"+PONG")
        finally:
            writer.transport.abort()

    async def console(self, line, port=0):
        reader, writer = await asyncio.open_connection(RELAY_HOST, port or self.console_port)
        writer.write(line.encode() + b"\n")
        try:
            answer = (await asyncio.wait_for(reader.read(), 3)).decode()
        finally:
            writer.transport.abort()
        self.record(f"console {line}: {answer.splitlines()[0] if answer else ''}")
        return answer

    async def signal(self, process, number):
        self.record(f"platform sends {signal.Signals(number).name} to {process.pid}")
        process.send_signal(number)

    async def kill(self, process):
        await self.signal(process, signal.SIGKILL)
        await process.wait()

    def logs(self):
        return "\n".join(path.read_text(errors="replace") for path in sorted(self.folder.glob("log*")))

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        for server in self.servers:
            server.close()
        for line in self.logs().splitlines()[-200:]:
            self.record(f"log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play, folder, limit_s=110, settings=None):
    """Play one case: `play(rig)` returns the list of what broke the rule; exit with its result."""
    record = Record(folder)
    record(f"trouble: {'yes' if TROUBLE else 'no'}")

    async def run():
        rig = Rig(record, settings)
        try:
            await rig.discovery.start()
            return await asyncio.wait_for(play(rig), limit_s)
        finally:
            await rig.close()

    try:
        broken = asyncio.run(run())
    except BaseException as error:
        record("could not run: " + "".join(traceback.format_exception(error)))
        print(f"could not run: {error!r}")
        sys.exit(CANNOT_RUN)
    for line in broken:
        record(f"BROKEN {line}")
        print(f"broken: {line}")
    record("rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    sys.exit(BROKEN if broken else HELD)


def lost_messages(rig, endpoints, now_s, bound_s=0.5):
    """Return what was taken on and has no end `bound_s` after its time: neither delivered nor in a notice."""
    broken = []
    for message_id, until_s in rig.taken.items():
        ends = [at_s for at_s, _ in rig.discovery.finals.get(message_id, [])]
        ends += [endpoint.done[message_id] for endpoint in endpoints if message_id in endpoint.done]
        first_s = min(ends, default=None)
        if first_s is None and now_s > until_s + bound_s:
            broken.append(f"{message_id} has no end {now_s - until_s:.2f} s after its time")
        elif first_s is not None and first_s > until_s + bound_s:
            broken.append(f"{message_id} had its end {first_s - until_s:.2f} s after its time")
    return broken

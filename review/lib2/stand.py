"""Stand-ins of the second review: a relay process, endpoints, discovery, a proxy and clients, on loopback.

The scripts of the cases import this module. It uses the standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_LIMIT_S = 110.0
RELAY_HOST = "127.0.0.2"  # the stand-ins are at 127.0.0.1, so that no port is taken twice


class CannotRunError(Exception):
    """The case could not be played."""


def free_port():
    """Return a free port of the relay's address."""
    with socket.create_server((RELAY_HOST, 0)) as server:
        return server.getsockname()[1]


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = path.open("w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def settings(**changes):
    """Settings of a small deployment, shaped like the three sample sites."""
    raw = {
        "classes": [
            {
                "name": "status",
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
                "name": "charge",
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
            "kindApart": [False],
            "kindBatch": [1],
            "late": "line",
            "maxCalls": 16,
            "refusedPrice": 0.03,
        },
        "groupSize": 2,
        "localities": ["here", "there"],
        "me": 0,
        "membershipMode": "pushed",
        "overShareWorth": 0.1,
        "policyLimits": {
            "attemptsCap": 12,
            "connIdleUs": 5_000_000,
            "connectTimeoutUs": 1_500_000,
            "maxOpen": 200,
            "maxRetryAfterUs": 3_000_000,
            "maxStreams": 1,
            "mayCancel": True,
            "peers": False,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "report": {"fields": [], "how": "silent"},
        "shapes": ["plain"],
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
        raw[group][key] = value
    return raw


async def read_http(reader):
    """Read an HTTP request; return its path, headers by lower-case name, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0].split()[1], headers, body


def response(status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """TCP server on a loopback port."""

    def __init__(self):
        self.port, self.server, self.writers = 0, None, set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    async def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Endpoint(Server):
    """Endpoint; `behaviour(endpoint, message_id, headers, reader, writer)` answers a call.

    `runs` has a [message id, start, end] for each call whose last byte has arrived; the call is out until its
    answer is written or its connection ends.
    """

    def __init__(self, uid, record, behaviour=None):
        super().__init__()
        self.uid, self.record = uid, record
        self.behaviour = behaviour or answer_200
        self.runs = []

    async def serve(self, reader, writer):
        while True:
            _, headers, _ = await read_http(reader)
            message_id = headers.get("x-request-id", "")
            run = [message_id, self.record.now(), None]
            self.runs.append(run)
            self.record(f"endpoint {self.uid}: call arrived, message={message_id}")
            try:
                keep = await self.behaviour(self, message_id, headers, reader, writer)
            finally:
                run[2] = self.record.now()
                self.record(f"endpoint {self.uid}: call over, message={message_id}")
            if not keep:
                return


async def answer_200(endpoint, message_id, headers, reader, writer):
    endpoint.record(f"endpoint {endpoint.uid}: answers 200, message={message_id}")
    writer.write(response(200))
    return True


async def hang(endpoint, message_id, headers, reader, writer):
    """Give no answer until the caller ends the connection."""
    await until_gone(reader)
    return False


async def until_gone(reader):
    """Wait until the caller has ended the connection or its sending on it."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)


def slow_200(delay_s):
    """Answer 200 after the delay, or give up when the caller ends the connection before."""

    async def behaviour(endpoint, message_id, headers, reader, writer):
        ended = asyncio.ensure_future(until_gone(reader))
        done, _ = await asyncio.wait({ended}, timeout=delay_s)
        if done:
            endpoint.record(f"endpoint {endpoint.uid}: connection ended unanswered, message={message_id}")
            return False
        ended.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await ended
        return await answer_200(endpoint, message_id, headers, reader, writer)

    return behaviour


class Discovery(Server):
    """Discovery: tells the list and its changes to each watch, and answers each notice with 204 at once."""

    def __init__(self, record):
        super().__init__()
        self.record, self.rev, self.targets, self.watchers = record, 41, {}, []
        self.notices = {}  # by message id: (time, status)

    def add(self, uid, port, dest, state="in_service", model="plain", az="here"):
        self.targets[uid] = {
            "uid": uid,
            "endpoint": f"127.0.0.1:{port}",
            "az": az,
            "model": model,
            "pod_group": dest,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    @staticmethod
    def chunk(writer, line):
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def change(self, uid, **values):
        """Change an entry and tell it to the open watches."""
        self.rev += 1
        self.targets[uid].update(values)
        line = json.dumps({"rev": self.rev, "all": False, "targets": [self.targets[uid]]}).encode()
        for writer in self.watchers:
            self.chunk(writer, line)

    async def serve(self, reader, writer):
        while True:
            path, _, body = await read_http(reader)
            if path.startswith("/discovery"):
                await self._watch(path, reader, writer)
                return
            for line in body.splitlines():
                notice = json.loads(line)
                self.record(f"discovery: notice {line.decode()}")
                self.notices.setdefault(notice["id"], (self.record.now(), notice["status"]))
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    async def _watch(self, path, reader, writer):
        self.record(f"discovery: watch opened, {path}")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.chunk(writer, json.dumps(self.whole()).encode())
        self.watchers.append(writer)
        ended = asyncio.ensure_future(until_gone(reader))
        try:
            while not ended.done():
                await asyncio.wait({ended}, timeout=2.0)
                if not ended.done():
                    self.chunk(writer, b"")
        finally:
            ended.cancel()
            self.watchers.remove(writer)


class Proxy(Server):
    """Passes bytes on to a port; `silence()` makes the connections that are open now silent for good."""

    def __init__(self, record, target_port):
        super().__init__()
        self.record, self.target_port, self.silent, self.open = record, target_port, set(), set()

    def silence(self):
        self.silent |= self.open
        self.record(f"proxy: {len(self.open)} open connections fall silent, new ones work")

    async def serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        link = object()
        self.open.add(link)
        try:
            await asyncio.gather(
                self._pass(link, reader, far_writer),
                self._pass(link, far_reader, writer),
            )
        finally:
            self.open.discard(link)
            far_writer.close()

    async def _pass(self, link, reader, writer):
        while data := await reader.read(65536):
            if link not in self.silent:
                writer.write(data)
        if link not in self.silent:
            writer.close()


class Client:
    """A client on one connection to the relay."""

    def __init__(self, record, port):
        self.record, self.port, self.reader, self.writer = record, port, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(RELAY_HOST, self.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    @staticmethod
    def command(*args):
        return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(arg), arg) for arg in args)

    @classmethod
    def message(cls, message_id, message_class, dest, lifetime_ms, body=b"hello"):
        fields = f"c={message_class},d={lifetime_ms},dest={dest}"
        return cls.command(b"MSG.PUT", b"0" * 16, message_id.encode(), fields.encode(), body)

    async def line(self, timeout_s=0.4):
        """Return the next answer; "" if the connection ended, None if none came in time."""
        try:
            data = await asyncio.wait_for(self.reader.readline(), timeout_s)
        except TimeoutError:
            return None
        except ConnectionError:
            return ""
        return data.decode().strip()

    async def put(self, message_id, message_class, dest, lifetime_ms, body=b"hello"):
        """Hand in a message and return its answer and the time at which it was sent."""
        sent = self.record.now()
        self.writer.write(self.message(message_id, message_class, dest, lifetime_ms, body))
        answer = await self.line()
        self.record(
            f"client: message={message_id} dest={dest} d={lifetime_ms} sent={sent:.3f} answer={answer!r}"
        )
        return answer, sent

    def close(self):
        self.writer.close()


class Clients:
    """Clients that keep their connections and open more when all of them are busy."""

    def __init__(self, record, port):
        self.record, self.port, self.free = record, port, []

    async def put(self, *message):
        """Hand in a message and return its answer and the time at which it was sent.

        If its connection was closed between requests, it is sent once more on a new one.
        """
        client = self.free.pop() if self.free else await Client(self.record, self.port).open()
        answer, sent = await client.put(*message)
        if answer == "":
            client.close()
            client = await Client(self.record, self.port).open()
            answer, sent = await client.put(*message)
        if answer:
            self.free.append(client)
        else:
            client.close()
        return answer, sent


class Relay:
    """Processes of one relay, started by the `run` of the deploy file."""

    def __init__(self, folder, record, discovery, raw_settings, discovery_port=0, **limits):
        self.folder, self.record, self.discovery = folder, record, discovery
        self.raw_settings = raw_settings
        self.limits = {"cores": 1.0, "memory_mb": 128, "sockets": 512, "disk_mb": 3, **limits}
        self.discovery_port = discovery_port or discovery.port
        self.listen_port, self.processes = free_port(), []
        (folder / "state").mkdir()
        (folder / "tmp").mkdir()
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            self.run = tomllib.load(file)["run"]
        log_path = os.environ.get("RELAY_LOG") or folder / "relay.log"
        self.log = os.open(log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write_configuration(self, known=None):
        document = {
            "name": "n0",
            "listen": f"{RELAY_HOST}:{self.listen_port}",
            "discovery": f"127.0.0.1:{self.discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": known or self.discovery.whole(),
            "settings": self.raw_settings,
        }
        (self.folder / "config.json").write_text(json.dumps(document))

    async def start(self, known=None):
        """Start a process; return it once its console says that it is ready."""
        self.write_configuration(known)
        console = free_port()
        environment = {
            **os.environ,
            "LB_NAME": "n0",
            "LB_LISTEN": f"{RELAY_HOST}:{self.listen_port}",
            "LB_DISCOVERY": f"127.0.0.1:{self.discovery_port}",
            "LB_STATE": str(self.folder / "state"),
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_CONSOLE": f"{RELAY_HOST}:{console}",
            "TMPDIR": str(self.folder / "tmp"),
        }
        environment.pop("LB_FD", None)
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        process.console = console
        self.processes.append(process)
        self.record(f"platform: run started, pid={process.pid}")
        for _ in range(300):
            if process.returncode is not None:
                raise CannotRunError(f"the relay ended with {process.returncode}")
            if (await self.command(process, "health")).startswith("ACK"):
                self.record(f"platform: pid={process.pid} says that it is ready")
                return process
            await asyncio.sleep(0.1)
        raise CannotRunError("the relay was not ready after 30 s")

    async def command(self, process, line):
        """Return the answer of an operators' call; "" if there was none."""
        try:
            reader, writer = await asyncio.open_connection(RELAY_HOST, process.console)
        except OSError:
            return ""
        writer.write(line.encode() + b"\n")
        try:
            return (await asyncio.wait_for(reader.read(), 2.0)).decode()
        except (TimeoutError, ConnectionError):
            return ""
        finally:
            writer.close()

    def signal(self, process, number):
        self.record(f"platform: {signal.Signals(number).name} to pid={process.pid}")
        process.send_signal(number)

    async def kill(self, process):
        if process.returncode is None:
            self.signal(process, signal.SIGKILL)
        await process.wait()

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        os.close(self.log)


def judge_answers(record, discovery, endpoints, accepted, slack_s=0.55):
    """Return the ids of accepted messages that were lost.

    `accepted` gives by message id the time at which its time is up. A message is lost if it has neither been
    delivered nor ended by a notice half a second after its time, and 50 ms on sockets.
    """
    delivered = {run[0] for endpoint in endpoints for run in endpoint.runs if run[2] is not None}
    lost = []
    for message_id, deadline in accepted.items():
        notice = discovery.notices.get(message_id)
        if notice is None and message_id not in delivered:
            record(f"check: message={message_id} LOST, neither delivered nor ended by a notice")
            lost.append(message_id)
        elif notice is not None and message_id not in delivered and notice[0] > deadline + slack_s:
            record(f"check: message={message_id} LOST, notice {notice[0] - deadline:.3f} s after its time")
            lost.append(message_id)
        elif notice is not None:
            record(f"check: message={message_id} ended {notice[0] - deadline:+.3f} s from its time")
    return lost


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


def main(case_file, play):
    """Play a case: `play(folder, record)` returns whether the rule held, as HELD or BROKEN."""
    case_folder = pathlib.Path(case_file).resolve().parent
    record = Record(case_folder / "record.txt")
    record(f"trouble: {'yes' if TROUBLE else 'no'}")

    async def bounded():
        with tempfile.TemporaryDirectory(prefix="r2-") as folder:
            return await asyncio.wait_for(play(pathlib.Path(folder), record), RUN_LIMIT_S)

    try:
        result = asyncio.run(bounded())
    except Exception:
        record("not run: " + traceback.format_exc())
        result = NOT_RUN
    record(f"result: {['held', 'broken', 'not run'][result]}")
    print(["held", "broken", "not run"][result])
    sys.exit(result)

"""A seeded run of one relay process under misbehaving clients, failing endpoints and a series of signals.

Checks over the whole run, with the limits on memory and descriptors that operators give a small relay:

- the process ends only after a signal or after it has handed over, and stays below its memory limit;
- each message that was answered +OK is delivered or reported in a notice in time;
- an unsafe message reaches an endpoint once at most, and one that was refused never;
- no connection is ended in order over requests that were written completely and not answered.

By hand, from the root: `PYTHONPATH=. python tests/soak.py --seeds 1-50 --jobs 4`. A failure prints the
history of its message, and that of the process.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from client_crowd import BEHAVIOURS, BYTES_PER_MIB, LEAST_MEMORY_MB, MOST_DESCRIPTORS, crowd, resident_bytes
from loopback import ROOT, Client, Discovery, ScriptedServer, answer, free_port, read_request
from wire_settings import settings

DEFAULT_DURATION_S = 25.0
NOTICE_SLACK_S = 0.35  # after the deadline: 300 ms by the protocol, 50 ms for sockets
RESTART_SLACK_S = 1.5  # after the process is ready again
KILL_AFTER_TERM_S = 3.7
RESTART_PAUSE_S = 0.6
READY_TIMEOUT_S = 30.0
TCP_CLOSE_WAIT = 8  # the state of a connection that the other side has ended, and not reset
ANSWER_TIMEOUT_S = 0.4
KILL_EFFECT_S = 0.5  # until clients have seen that SIGKILL ended their connections


class History:
    """What happened, by message id, with the time since the start of the run."""

    def __init__(self):
        self.started_s = time.monotonic()
        self.lines = collections.defaultdict(list)

    def add(self, subject, text):
        self.lines[subject].append(f"{time.monotonic() - self.started_s:8.3f} {text}")


class FailingEndpoint(ScriptedServer):
    """Endpoint that answers after a random time, fails, resets or hangs."""

    def __init__(self, run, name):
        super().__init__()
        self.run, self.name, self.random = run, name, run.random_stream(name)

    async def serve(self, reader, writer):
        while True:
            _, _, headers, _ = await read_request(reader)
            message_id = headers["x-request-id"]
            fault = self.random.random()
            if fault < 0.06:  # turned away, never runs
                self.run.history.add(message_id, f"{self.name} rejects")
                writer.write(answer(self.random.choice([429, 503])))
                continue
            self.run.executed(message_id, self.name)
            if fault < 0.10:
                return  # the connection ends without a response
            if fault < 0.12:
                await reader.read()
                return
            await asyncio.sleep(self.random.uniform(0.01, 0.2))
            if fault < 0.16:
                writer.write(answer(500))
                continue
            writer.write(answer(200))
            await writer.drain()
            self.run.delivered(message_id)


class SoakDiscovery(Discovery):
    """Discovery service that records each notice with its time."""

    def __init__(self, run):
        super().__init__()
        self.run = run

    async def record_notices(self):
        while True:
            _, notice = await self.finals.get()
            self.run.ended_in_notice(notice["id"], notice["status"])


class SoakRun:
    """One run: the platform, the relay's processes, the clients and the checks."""

    def __init__(self, seed, duration_s, folder):
        self.seed, self.duration_s, self.folder = seed, duration_s, folder
        self.signal_random, self.crowd_random = self.random_stream("signals"), self.random_stream("crowds")
        self.history, self.violations = History(), []
        self.submitted_deadline_s, self.accepted = {}, {}  # deadlines on the monotonic clock
        self.ends_s, self.executions, self.refused = {}, collections.Counter(), set()
        self.classes, self.unanswered = {}, []  # the class of each message, and ids without an answer yet
        self.unsafe, self.process, self.serving_since_s = set(), None, 0.0
        self.gaps = []  # from each signal until the next process was ready
        self.port, self.peak_bytes, self.counts = free_port(), 0, collections.Counter()
        self.discovery = SoakDiscovery(self)
        self.expected_exits, self.stopped, self.killed_at_s = set(), False, 0.0

    def random_stream(self, name):
        """Return random numbers that depend on the seed and the name alone, not on the order of events."""
        return random.Random(f"{self.seed} {name}")

    # Observations

    def executed(self, message_id, endpoint):
        self.history.add(message_id, f"{endpoint} runs it")
        self.executions[message_id] += 1
        if message_id in self.unsafe and self.executions[message_id] > 1:
            self.violate(message_id, "an unsafe message ran twice")
        if message_id in self.refused:
            self.violate(message_id, "a refused message ran")

    def delivered(self, message_id):
        self.history.add(message_id, "delivered")
        self.ends_s.setdefault(message_id, time.monotonic())

    def ended_in_notice(self, message_id, status):
        self.history.add(message_id, f"notice {status}")
        self.ends_s.setdefault(message_id, time.monotonic())

    def violate(self, subject, text):
        self.history.add(subject, text)
        self.violations.append(subject)

    # Processes

    def environment(self):
        configuration = {
            "name": "n0",
            "seed": f"{self.signal_random.getrandbits(64):x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": LEAST_MEMORY_MB,
                "sockets": MOST_DESCRIPTORS,
                "disk_mb": 3,
            },
            "known": self.discovery.complete_list(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(configuration))
        path.with_suffix(".new").replace(path)
        return {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(self.folder),
            "LB_NAME": "n0",
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_CONFIG": str(path),
            "LB_DISCOVERY": f"127.0.0.1:{self.discovery.port}",
            "LB_STATE": str(self.folder / "state"),
        }

    async def start_process(self):
        log = (self.folder / "log").open("ab")
        arguments = [sys.executable, "-m", "message_relay"]
        process = await asyncio.create_subprocess_exec(
            *arguments, env=self.environment(), cwd=ROOT, stdout=log, stderr=log
        )
        log.close()
        return process

    async def wait_ready(self, process):
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.answers_ping():
                if process.returncode is not None:
                    self.violate("process", f"ended with {process.returncode} before it was ready")
                    return
                await asyncio.sleep(0.02)
        self.process, self.serving_since_s = process, time.monotonic()

    async def answers_ping(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            try:
                writer.write(Client.command(b"PING"))
                return await asyncio.wait_for(reader.readuntil(b"\r\n"), 1) == b"+PONG\r\n"
            finally:
                writer.transport.abort()
        return False

    def kill(self, process):
        if process.returncode is None:
            self.history.add("process", f"SIGKILL {process.pid}")
            self.killed_at_s = time.monotonic()
            process.kill()

    async def restart(self, *, gracefully):
        """End the process by signals, and start it again 0.6 s after SIGKILL."""
        signalled_s = time.monotonic()
        process, self.process = self.process, None
        self.expected_exits.add(process.pid)
        if gracefully:
            self.history.add("process", f"SIGTERM {process.pid}")
            process.send_signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), KILL_AFTER_TERM_S)
        self.kill(process)
        await process.wait()
        await asyncio.sleep(RESTART_PAUSE_S)
        await self.wait_ready(await self.start_process())
        self.gaps.append((signalled_s, time.monotonic()))

    async def upgrade(self):
        """Start a process beside the one that serves; it takes over, and the old one ends by itself."""
        signalled_s = time.monotonic()
        old = self.process
        self.expected_exits.add(old.pid)
        new = await self.start_process()
        self.history.add("process", f"upgrade from {old.pid} to {new.pid}")
        await asyncio.sleep(1.5)
        await self.wait_ready(new)
        if old.returncode is None:
            self.history.add("process", f"SIGTERM {old.pid}")
            old.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(old.wait(), KILL_AFTER_TERM_S)
        self.kill(old)
        await old.wait()
        self.gaps.append((signalled_s, time.monotonic()))

    async def send_signals(self):
        while not self.stopped:
            await asyncio.sleep(self.signal_random.uniform(1.0, 5.0))
            action = self.signal_random.choice(["kill", "kill", "term", "upgrade", "hup"])
            self.counts[action] += 1
            if action == "hup":
                self.process.send_signal(signal.SIGHUP)
            elif action == "upgrade":
                await self.upgrade()
            else:
                await self.restart(gracefully=action == "term")

    async def watch_process(self):
        while True:
            process = self.process
            if process is not None and process.pid not in self.expected_exits:
                if process.returncode is not None:
                    self.violate("process", f"ended by itself with {process.returncode}")
                    return
                with contextlib.suppress(OSError, StopIteration):
                    self.peak_bytes = max(self.peak_bytes, resident_bytes(process.pid))
            await asyncio.sleep(0.02)

    # Clients

    async def use_connections(self, name):
        """Submit messages on one connection for as long as it is open, one or several at once."""
        number, stream = 0, self.random_stream(name)
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            with contextlib.suppress(OSError):
                while not self.stopped:
                    count = stream.choice([1, 1, 1, 4, 40])
                    ids = [f"{name}-{number + offset}" for offset in range(count)]
                    number += count
                    if self.unanswered and stream.random() < 0.5:  # a client comes again under the same id
                        self.counts["same id"] += 1
                        ids[0] = self.unanswered.pop(stream.randrange(len(self.unanswered)))
                    if not await self.submit(reader, writer, ids, stream):
                        break
                    await asyncio.sleep(stream.uniform(0.0, 0.1))
            writer.transport.abort()

    async def submit(self, reader, writer, ids, stream):
        """Submit the messages at once, and wait for the answers; return whether the connection is usable."""
        sent_s, lifetime_s = time.monotonic(), stream.uniform(0.3, 6.0)
        for message_id in ids:  # one that comes again keeps its deadline
            self.submitted_deadline_s.setdefault(message_id, sent_s + lifetime_s)
        requests = [self.request(message_id, sent_s, stream) for message_id in ids]
        writer.write(b"".join(requests))
        if stream.random() < 0.05:
            self.counts["left"] += 1
            self.unanswered += ids[:3]
            return False  # leave without waiting for an answer
        for message_id in ids:
            self.unanswered.append(message_id)
            try:
                async with asyncio.timeout(sent_s + ANSWER_TIMEOUT_S - time.monotonic()):
                    line = await reader.readuntil(b"\r\n")
            except TimeoutError:
                self.counts["late answers"] += 1
                return False
            except asyncio.IncompleteReadError:
                self.counts["closed without an answer"] += 1
                if await self.all_was_read(writer) and time.monotonic() > self.killed_at_s + KILL_EFFECT_S:
                    self.violate(message_id, "read, and its connection ended without an answer")
                return False
            self.unanswered.remove(message_id)
            self.answered(message_id, line.strip())
        return True

    @staticmethod
    async def all_was_read(writer):
        """Return whether the relay ended the connection in order, without a reset over unread requests."""
        await asyncio.sleep(0.1)  # a reset would have come by then
        sock = writer.get_extra_info("socket")
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 8)[0] == TCP_CLOSE_WAIT

    def request(self, message_id, sent_s, stream):
        lifetime_s = max(0.0, self.submitted_deadline_s[message_id] - sent_s)
        message_class = self.classes.setdefault(message_id, stream.choice(["safe", "unsafe", "unsafe"]))
        if message_class == "unsafe":
            self.unsafe.add(message_id)
        body = b"x" * stream.choice([20, 200, 2000])
        self.history.add(message_id, f"submitted as {message_class} for {lifetime_s:.2f} s")
        return Client.message(message_id, message_class, 7, int(lifetime_s * 1000), body)

    def answered(self, message_id, line):
        self.history.add(message_id, f"answered {line.decode()}")
        self.counts[line.split()[0].decode()] += 1
        if line == b"+OK":
            self.accepted[message_id] = self.submitted_deadline_s[message_id]
        elif line.startswith(b"-BUSY"):
            self.refused.add(message_id)
            if self.executions[message_id]:
                self.violate(message_id, "refused, but it ran")

    async def crowds(self):
        while not self.stopped:
            behaviour = self.crowd_random.choice(BEHAVIOURS)
            self.counts[behaviour.__name__] += 1
            async with crowd(self.port, self.crowd_random.choice([60, 200, 400]), behaviour):
                await asyncio.sleep(self.crowd_random.uniform(2.0, 5.0))

    # The run

    async def play(self):
        self.settings = settings(policyLimits__maxOpen=274, policyLimits__probing=False)
        self.settings["weightSource"] = "silent"
        (self.folder / "state").mkdir()
        await self.discovery.start()
        endpoints = [await FailingEndpoint(self, f"e{number}").start() for number in range(3)]
        for number, endpoint in enumerate(endpoints):
            self.discovery.add_target(f"e{number}", endpoint.port, 7, rate=0.0)
        await self.wait_ready(await self.start_process())
        background = [self.watch_process(), self.discovery.record_notices()]
        clients = [self.use_connections(f"c{number}") for number in range(6)]
        tasks = [asyncio.ensure_future(item) for item in (*background, *clients)]
        platform = [asyncio.ensure_future(item) for item in (self.send_signals(), self.crowds())]
        try:
            await asyncio.wait(
                [asyncio.ensure_future(asyncio.sleep(self.duration_s)), *tasks[:1]],
                return_when="FIRST_COMPLETED",
            )
            self.stopped = True
            await asyncio.wait_for(asyncio.gather(*platform), READY_TIMEOUT_S)
            await asyncio.sleep(6.0 + NOTICE_SLACK_S + RESTART_SLACK_S)  # the longest lifetime
        finally:
            for task in (*tasks, *platform):
                task.cancel()
            await asyncio.wait(tasks)
            if self.process is not None and self.process.returncode is None:
                self.process.kill()
                await self.process.wait()
            for server in (self.discovery, *endpoints):
                await server.stop()
        self.check_memory()
        self.check_ends()

    def check_memory(self):
        if self.peak_bytes >= LEAST_MEMORY_MB * BYTES_PER_MIB:
            self.violate("process", f"resident memory reached {self.peak_bytes} bytes")

    def check_ends(self):
        for message_id, deadline_s in self.accepted.items():
            due_s = deadline_s + NOTICE_SLACK_S
            for signalled_s, ready_s in self.gaps:
                if signalled_s <= due_s <= ready_s + RESTART_SLACK_S:
                    due_s = ready_s + RESTART_SLACK_S
            end_s = self.ends_s.get(message_id)
            if end_s is None or end_s > due_s:
                self.violate(message_id, f"no end in time, {'none' if end_s is None else end_s - due_s}")


def play(seed, duration_s=DEFAULT_DURATION_S):
    """Play a run; return it with its violations."""
    with tempfile.TemporaryDirectory(prefix="relay-soak-") as folder:
        run = SoakRun(seed, duration_s, pathlib.Path(folder))
        asyncio.run(run.play())
        return run


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-50", help="first and last seed")
    parser.add_argument("--jobs", type=int, default=4, help="runs at the same time")
    parser.add_argument("--duration", type=float, default=DEFAULT_DURATION_S, help="seconds of each run")
    parser.add_argument("--seed", type=int, help="play this seed alone, in this process")
    arguments = parser.parse_args()
    if arguments.seed is not None:
        run = play(arguments.seed, arguments.duration)
        counts = " ".join(f"{name}={count}" for name, count in sorted(run.counts.items()))
        print(f"seed {arguments.seed}: peak {run.peak_bytes / BYTES_PER_MIB:.1f} MiB, {counts}")
        for subject in dict.fromkeys([*run.violations[:3], "process"] if run.violations else []):
            print("\n  ".join([f"{subject}:", *run.history.lines[subject]]))
        return bool(run.violations)
    first, last = map(int, arguments.seeds.split("-"))
    command = [sys.executable, __file__, "--duration", str(arguments.duration), "--seed"]
    failed, running, seeds = [], {}, collections.deque(range(first, last + 1))
    while seeds or running:
        while seeds and len(running) < arguments.jobs:
            seed = seeds.popleft()
            running[seed] = subprocess.Popen([*command, str(seed)], stdout=subprocess.PIPE, text=True)
        for seed in [seed for seed, process in running.items() if process.poll() is not None]:
            process = running.pop(seed)
            print(process.stdout.read().strip(), flush=True)
            failed += [seed] if process.returncode else []
        time.sleep(0.1)
    print(f"{last - first + 1 - len(failed)} held, {len(failed)} failed: {failed}")
    return bool(failed)


if __name__ == "__main__":
    sys.exit(main())

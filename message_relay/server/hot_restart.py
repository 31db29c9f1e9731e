"""An upgrade: the process that serves hands all on to the one that was started beside it.

Who holds the journal's lock owns the courier. The socket in $TMPDIR only carries the request and what is
known.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import os
import socket
import stat
import struct
import tempfile
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any, Protocol

import msgpack

from message_relay.server.journal import Journal, JournalLockedError

VERSION = 3  # of what is handed on; another one is told no, and starts from the journal instead
LENGTH = struct.Struct(">I")
MAX_FRAME = 1 << 26
BATCH = 64  # client connections in one frame; the kernel takes 253 descriptors at once
READ_BYTES = 1 << 16
LONGEST_PATH = 100  # bytes; the kernel's limit is 108
LIST_S = 0.6  # the new process waits so long for its first word of the list
ASK_S = 2.0  # and so long for what it asked for
OWN_S = 1.0  # the old one waits so long for the word that it is owned
LOCK_S = 0.3  # what was handed on is dropped if the lock is not free by then
AGAIN_S = 0.05
log = logging.getLogger(__name__)


def socket_path(env: Mapping[str, str], state: Path) -> Path:
    """Where the process that owns `state` is asked. Couriers that share a folder have names of their own."""
    name = hashlib.blake2b(str(state.resolve()).encode(), digest_size=6).hexdigest()
    return Path(env.get("TMPDIR") or tempfile.gettempdir()) / f"hopmill-{name}.sock"


@contextlib.contextmanager
def reachable(path: Path) -> Iterator[str]:
    """The path in a form that fits a socket's address."""
    if len(os.fsencode(path)) <= LONGEST_PATH:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class Channel:
    """Frames of msgpack, and descriptors beside them, on a connected Unix socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        told: Callable[[list[Any]], None],
        lost: Callable[[], None],
    ) -> None:
        self.loop, self.sock, self.told, self.lost = loop, sock, told, lost
        self.buffer = bytearray()
        self.fds: list[int] = []
        self.out: list[tuple[bytes, list[int]]] = []
        self.closed = False
        sock.setblocking(False)
        loop.add_reader(sock, self._readable)

    def send(self, message: list[Any], fds: list[int] | None = None) -> None:
        data = msgpack.packb(message)
        self.out.append((LENGTH.pack(len(data)) + data, fds or []))
        self._flush()

    def _flush(self) -> None:
        try:
            while self.out and not self.closed:
                data, fds = self.out[0]
                sent = socket.send_fds(self.sock, [data], fds) if fds else self.sock.send(data)
                if sent < len(data):
                    self.out[0] = (data[sent:], [])  # the descriptors went with the first byte
                else:
                    self.out.pop(0)
        except BlockingIOError:
            self.loop.add_writer(self.sock, self._flush)
            return
        except OSError as error:
            log.warning("handover: %s", error)
            self._lose()
            return
        if not self.closed:
            self.loop.remove_writer(self.sock)

    def _readable(self) -> None:
        try:
            data, fds, _, _ = socket.recv_fds(self.sock, READ_BYTES, 253, socket.MSG_CMSG_CLOEXEC)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data, fds = b"", []
        self.fds += fds
        self.buffer += data
        if not data:
            self._lose()
            return
        try:
            while not self.closed and (message := self._frame()) is not None:
                self.told(message)
        except (ValueError, TypeError, LookupError) as error:  # not of this version, or not ours at all
            log.error("handover: a frame that can't be used: %r", error)
            self._lose()

    def _frame(self) -> list[Any] | None:
        if len(self.buffer) < LENGTH.size:
            return None
        size = LENGTH.unpack_from(self.buffer)[0]
        if size > MAX_FRAME:
            raise ValueError("too long")
        if len(self.buffer) < LENGTH.size + size:
            return None
        message = msgpack.unpackb(bytes(self.buffer[LENGTH.size : LENGTH.size + size]), strict_map_key=False)
        del self.buffer[: LENGTH.size + size]
        if not isinstance(message, list) or not message:
            raise ValueError("no list")
        return message

    def _lose(self) -> None:
        if not self.closed:
            self.close()
            self.lost()

    def close(self) -> None:
        """Descriptors that nobody took are closed with it."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        for fd in self.fds:
            os.close(fd)
        self.fds.clear()


Handed = tuple[dict[str, Any], list[int], list[list[Any]]]  # what is known, descriptors, what clients sent


class Owner(Protocol):
    """The host, as the process that is asked."""

    journal: Journal

    def may_hand_over(self) -> str: ...  # why not, empty if it may
    def freeze(self, relay: Callable[[list[Any]], None]) -> Handed: ...
    def thaw(self) -> None: ...
    def retire(self) -> None: ...


class Predecessor:
    """The side that owns: it listens for the process that is to come after."""

    def __init__(self, loop: asyncio.AbstractEventLoop, host: Owner, path: Path) -> None:
        self.loop, self.host, self.path = loop, host, path
        self.sock: socket.socket | None = None
        self.mine: tuple[int, int] | None = None
        self.channel: Channel | None = None
        self.frozen = self.owned = False
        self.timer: asyncio.TimerHandle | None = None
        self.held_back: list[list[Any]] = []  # reports from before the other side owned

    def listen(self) -> None:
        """A file that is left there is of a process that owns no more, or was killed."""
        try:
            with contextlib.suppress(FileNotFoundError):
                if stat.S_ISSOCK(os.lstat(self.path).st_mode):
                    os.unlink(self.path)
            self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with reachable(self.path) as name:
                self.sock.bind(name)
            os.chmod(self.path, 0o600)
            info = os.lstat(self.path)
            self.mine = info.st_dev, info.st_ino
            self.sock.listen(4)
            self.sock.setblocking(False)
        except OSError as error:  # it serves all the same: an upgrade is then a restart
            log.error("handover: %s: %s", self.path, error)
            self.close()
            return
        self.loop.add_reader(self.sock, self._accept)

    def _accept(self) -> None:
        assert self.sock is not None
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
        if self.channel is not None or uid != os.geteuid():
            sock.close()
            return
        self.channel = Channel(self.loop, sock, self._told, self._lost)
        self._limit(ASK_S)

    def _limit(self, seconds: float) -> None:
        """One that connects and says nothing must not keep out the next."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(seconds, self._silent)

    def _silent(self) -> None:
        if self.channel is not None:
            self.channel.close()
            self._lost()

    def _told(self, message: list[Any]) -> None:
        assert self.channel is not None
        if message[0] == "take" and not self.frozen:
            why = self.host.may_hand_over()
            if message[1] != VERSION:
                why = "another version"
            if why:
                log.warning("not handed over: %s", why)
                self.channel.send(["no", why])
                return
            self._hand_over()
        elif message[0] == "owned" and self.frozen and not self.owned:
            self.owned = True
            if self.timer is not None:
                self.timer.cancel()
            log.info("handed over")
            for report in self.held_back:
                self.channel.send(report)
            self.held_back.clear()
            self.host.retire()

    def _hand_over(self) -> None:
        channel = self.channel
        assert channel is not None
        self.frozen = True
        self._limit(OWN_S)
        state, fds, clients = self.host.freeze(self.report)
        channel.send(["state", state, len(fds)], fds[:1])  # the listening socket comes first
        for at in range(0, len(clients), BATCH):
            channel.send(["clients", clients[at : at + BATCH]], fds[1 + at : 1 + at + BATCH])
        channel.send(["end"])

    def report(self, message: list[Any]) -> None:
        """What has come of a call that was out."""
        if not self.owned:
            self.held_back.append(message)
        elif self.channel is not None:
            self.channel.send(message)

    def _lost(self) -> None:
        """The other side has gone. Before it owned, this one goes on as if it had not been asked."""
        if self.timer is not None:
            self.timer.cancel()
        self.channel = None
        if not self.frozen or self.owned:
            return
        try:
            self.host.journal.reacquire()
        except JournalLockedError:  # it owns, and can't be told any more what comes of the calls that are out
            log.error("the other process has the journal but has let go of this one")
            self.owned = True
            self.host.retire()
            return
        log.warning("the other process has gone without owning: on as before")
        self.frozen = False
        self.held_back.clear()
        self.host.thaw()

    @property
    def reported(self) -> bool:
        """Whether all that was to be said has been written."""
        return self.channel is None or not self.channel.out

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        if self.mine is not None:
            with contextlib.suppress(OSError):
                info = os.lstat(self.path)
                if (info.st_dev, info.st_ino) == self.mine:  # not the next process's
                    os.unlink(self.path)
            self.mine = None
        if self.channel is not None:
            self.channel.close()
            self.channel = None


class Successor:
    """The side that asks."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: Path,
        reported: Callable[[list[Any]], None],
        ended: Callable[[], None],
    ) -> None:
        self.loop, self.path, self.reported, self.ended = loop, path, reported, ended
        self.channel: Channel | None = None
        self.answer: asyncio.Future[bool] = loop.create_future()
        self.state: dict[str, Any] = {}
        self.clients: list[list[Any]] = []
        self.due = 0  # descriptors that are to come
        self.owned = False

    async def ask(self) -> bool:
        """Whether all was handed on; then it is here, and the lock is about to be free."""
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with reachable(self.path) as name:
                sock.connect(name)
        except OSError as error:  # there is no such socket, or the platform refuses them
            if sock is not None:
                sock.close()
            log.info("handover: %s: %s", self.path, error)
            return False
        self.channel = Channel(self.loop, sock, self._told, self._lost)
        self.channel.send(["take", VERSION])
        try:
            async with asyncio.timeout(ASK_S):
                return await self.answer
        except TimeoutError:
            return False

    def _told(self, message: list[Any]) -> None:
        assert self.channel is not None
        kind = message[0]
        if self.owned:
            self.reported(message)
        elif kind == "state":
            self.state, self.due = message[1], message[2]
        elif kind == "clients":
            self.clients += message[1]
        elif kind == "end" and not self.answer.done():
            whole = len(self.channel.fds) == self.due == len(self.clients) + 1
            self.answer.set_result(bool(self.state) and whole)
        elif kind == "no":
            log.warning("the process that serves says no: %s", message[1])
            self._lost()

    def own(self) -> list[int]:
        """Say that this process owns now. Returns the descriptors: the listening socket, then the clients."""
        assert self.channel is not None
        self.owned = True
        fds, self.channel.fds = self.channel.fds, []
        self.channel.send(["owned"])
        return fds

    def _lost(self) -> None:
        if not self.answer.done():
            self.answer.set_result(False)
        if self.owned:
            self.ended()

    def close(self) -> None:
        if self.channel is not None:
            self.channel.close()


class Heir(Protocol):
    """The host, as the process that is started."""

    journal: Journal

    async def warmed(self, seconds: float) -> None: ...
    async def assume(
        self,
        given: dict[str, Any] | None = None,
        fds: list[int] | None = None,
        clients: list[list[Any]] | None = None,
    ) -> int: ...
    def outcome_reported(self, message: list[Any]) -> None: ...
    def reports_ended(self) -> None: ...


async def take_over(loop: asyncio.AbstractEventLoop, host: Heir, path: Path) -> int:
    """Own the courier: from the process that serves, or else from its journal once it has ended."""
    warm = False
    while True:
        with contextlib.suppress(JournalLockedError):
            host.journal.acquire()
            return await host.assume()
        if not warm:
            await host.warmed(LIST_S)
            warm = True
        successor = Successor(loop, path, host.outcome_reported, host.reports_ended)
        try:
            if await successor.ask() and await _lock(host.journal):
                # First of all: were it lost after a record of this process, the other one's would be behind.
                fds = successor.own()
                log.info("owns now, with %d clients", len(fds) - 1)
                port = await host.assume(successor.state, fds, successor.clients)
                if successor.channel is None or successor.channel.closed:  # before there was anything to end
                    host.reports_ended()
                return port
        finally:
            if not successor.owned:
                successor.close()
        await asyncio.sleep(AGAIN_S)


async def _lock(journal: Journal) -> bool:
    for _ in range(int(LOCK_S / 0.01)):
        try:
            journal.acquire()
        except JournalLockedError:
            await asyncio.sleep(0.01)
        else:
            return True
    return False

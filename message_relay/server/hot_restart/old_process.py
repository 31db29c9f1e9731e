"""The old process's side of a hot restart: it listens for the process that is to come after."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import stat
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from message_relay.server.hot_restart.channel import Channel, short_socket_name
from message_relay.server.hot_restart.frames import (
    ClientsHandedOver,
    Frame,
    HandoverComplete,
    HandoverRejected,
    HandoverRequested,
    OwnershipTaken,
    Report,
    StateHandedOver,
)
from message_relay.server.hot_restart.snapshot import VERSION, HandoverState
from message_relay.server.journal import Journal, JournalLockedError

CLIENTS_PER_FRAME = 64  # the kernel takes 253 descriptors at once
REQUEST_TIMEOUT_S = 2.0  # one that connects and asks nothing must not keep out the next
OWNERSHIP_TIMEOUT_S = 1.0  # the new process has so long to say that it holds the lock
BACKLOG = 4
PEER_CREDENTIALS = struct.Struct("3i")  # process, user, group
log = logging.getLogger(__name__)


class HandoverSource(Protocol):
    """The server, as the process that hands over."""

    journal: Journal

    def handover_blocked_reason(self) -> str:
        """Why it may not hand over, empty if it may."""

    def export_state(self, report: Callable[[Report], None]) -> HandoverState:
        """Stop serving and give everything; outcomes of calls in flight are reported."""

    def resume_serving(self) -> None:
        """The new process has gone without owning: go on."""

    def finish_handover(self) -> None:
        """The new process owns."""


class HotRestartListener:
    """Listens on the Unix socket and hands over to one process at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, source: HandoverSource, path: Path) -> None:
        self.sock: socket.socket | None = None
        self.channel: Channel | None = None
        self.exported = self.new_process_owns = False
        self.unsent_reports: list[Report] = []  # from before the new process owned
        self._loop = loop
        self._source = source
        self._path = path
        self._socket_identity: tuple[int, int] | None = None  # device and inode
        self._timer: asyncio.TimerHandle | None = None

    def listen(self) -> None:
        """Listen. A socket that is left there is of a process that owns no more, or was killed."""
        try:
            with contextlib.suppress(FileNotFoundError):
                if stat.S_ISSOCK(os.lstat(self._path).st_mode):
                    os.unlink(self._path)
            self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with short_socket_name(self._path) as name:
                self.sock.bind(name)
            os.chmod(self._path, 0o600)
            info = os.lstat(self._path)
            self._socket_identity = info.st_dev, info.st_ino
            self.sock.listen(BACKLOG)
            self.sock.setblocking(False)
        except OSError as error:  # it serves all the same: a hot restart is then a cold one
            log.error("hot restart: not available, path=%s error=%s", self._path, error)
            self.close()
            return
        self._loop.add_reader(self.sock, self._accept)

    def _accept(self) -> None:
        assert self.sock is not None
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        _, user, _ = PEER_CREDENTIALS.unpack(credentials)
        if self.channel is not None or user != os.geteuid():
            sock.close()
            return
        self.channel = Channel(self._loop, sock, self._received, self._lost)
        self._expect_within(REQUEST_TIMEOUT_S)

    def _expect_within(self, timeout_s: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(timeout_s, self.timed_out)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def timed_out(self) -> None:
        """The new process has been silent for too long."""
        if self.channel is not None:
            self.channel.close()
            self._lost()

    def _received(self, frame: Frame) -> None:
        if isinstance(frame, HandoverRequested) and not self.exported:
            self._answer_request(frame)
        elif isinstance(frame, OwnershipTaken) and self.exported and not self.new_process_owns:
            self._finish()

    def _answer_request(self, request: HandoverRequested) -> None:
        assert self.channel is not None
        reason = self._source.handover_blocked_reason()
        if request.version != VERSION:
            reason = "another version"
        if reason:
            log.warning("hot restart: rejected, reason=%s", reason)
            self.channel.send(HandoverRejected(reason))
            return
        self._hand_over(self.channel)

    def _hand_over(self, channel: Channel) -> None:
        self.exported = True
        self._expect_within(OWNERSHIP_TIMEOUT_S)
        handed_over = self._source.export_state(self.report)
        listener = [] if handed_over.listener_fd is None else [handed_over.listener_fd]
        clients = handed_over.clients
        channel.send(StateHandedOver(handed_over.state, len(listener) + len(clients)), listener)
        for start in range(0, len(clients), CLIENTS_PER_FRAME):
            some = clients[start : start + CLIENTS_PER_FRAME]
            descriptors = [client.descriptor for client in some]
            channel.send(ClientsHandedOver([client.state for client in some]), descriptors)
        channel.send(HandoverComplete())

    def _finish(self) -> None:
        assert self.channel is not None
        self.new_process_owns = True
        self._stop_timer()
        log.info("hot restart: handed over")
        for report in self.unsent_reports:
            self.channel.send(report)
        self.unsent_reports.clear()
        self._source.finish_handover()

    def report(self, report: Report) -> None:
        """Pass on what has come of a call that was in flight."""
        if not self.new_process_owns:
            self.unsent_reports.append(report)
        elif self.channel is not None:
            self.channel.send(report)

    def _lost(self) -> None:
        """The new process has gone. Before it owned, this one goes on as if it had not been asked."""
        self._stop_timer()
        self.channel = None
        if not self.exported or self.new_process_owns:
            return
        try:
            self._source.journal.reacquire()
        except JournalLockedError:  # it owns, and outcomes of calls in flight cannot be reported any more
            log.error("hot restart: the new process holds the journal but has closed the socket")
            self.new_process_owns = True
            self._source.finish_handover()
            return
        log.warning("hot restart: the new process has gone without owning, serving on")
        self.exported = False
        self.unsent_reports.clear()
        self._source.resume_serving()

    @property
    def reports_sent(self) -> bool:
        """Whether everything that was to be reported has been written."""
        return self.channel is None or self.channel.all_sent

    def close(self) -> None:
        """Stop listening, and remove the socket if it is still this process's."""
        self._stop_timer()
        if self.sock is not None:
            self._loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        if self._socket_identity is not None:
            with contextlib.suppress(OSError):
                info = os.lstat(self._path)
                if (info.st_dev, info.st_ino) == self._socket_identity:
                    os.unlink(self._path)
            self._socket_identity = None
        if self.channel is not None:
            self.channel.close()
            self.channel = None

"""The old process's side of a hot restart: listen for a new process and hand over to it."""

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

CLIENTS_PER_FRAME = 64  # the kernel's limit is 253 descriptors in one message
REQUEST_TIMEOUT_S = 2.0  # from connect to request: a silent process must not block the next one
OWNERSHIP_TIMEOUT_S = 1.0  # from request to the confirmation that the new process holds the lock
BACKLOG = 4
PEER_CREDENTIALS = struct.Struct("3i")  # process, user, group
log = logging.getLogger(__name__)


class HandoverSource(Protocol):
    """The server of the old process."""

    journal: Journal

    def handover_blocked_reason(self) -> str:
        """Return the reason that blocks a handover, empty if there is none."""

    def export_state(self, report: Callable[[Report], None]) -> HandoverState:
        """Stop serving, release the journal lock and return the state.

        From then on, the outcomes of calls in flight are passed to `report`.
        """

    def resume_serving(self) -> None:
        """Serve on: this process holds the journal lock again."""

    def finish_handover(self) -> None:
        """Drain: the new process owns the journal."""


class HotRestartListener:
    """Listens on the Unix socket and hands over to at most one process at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, source: HandoverSource, path: Path) -> None:
        self.sock: socket.socket | None = None
        self.channel: Channel | None = None
        self.state_exported = self.new_process_owns_journal = False
        self.unsent_reports: list[Report] = []  # held back until the new process owns the journal
        self._loop = loop
        self._source = source
        self._path = path
        self._socket_identity: tuple[int, int] | None = None  # device and inode
        self._timer: asyncio.TimerHandle | None = None

    def listen(self) -> None:
        """Listen on the Unix socket; if that fails, log the error and serve without hot restarts.

        A socket file that exists already is replaced: it belongs to a process that does not hold the journal
        lock any more.
        """
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
        except OSError as error:  # the next process then starts from the journal after this one has ended
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
        self.channel = Channel(self._loop, sock, self._frame_received, self._disconnected)
        self._start_timer(REQUEST_TIMEOUT_S)

    def _start_timer(self, timeout_s: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(timeout_s, self.abort_on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def abort_on_timeout(self) -> None:
        """Disconnect the new process, which exceeded the time limit of the current step."""
        if self.channel is not None:
            self.channel.close()
            self._disconnected()

    def _frame_received(self, frame: Frame) -> None:
        if isinstance(frame, HandoverRequested) and not self.state_exported:
            self._answer_request(frame)
        elif isinstance(frame, OwnershipTaken) and self.state_exported and not self.new_process_owns_journal:
            self._complete_handover()

    def _answer_request(self, request: HandoverRequested) -> None:
        assert self.channel is not None
        reason = self._source.handover_blocked_reason()
        if request.version != VERSION:
            reason = "another version"
        if reason:
            log.warning("hot restart: rejected, reason=%s", reason)
            self.channel.send(HandoverRejected(reason))
            return
        self._send_handover(self.channel)

    def _send_handover(self, channel: Channel) -> None:
        self.state_exported = True
        self._start_timer(OWNERSHIP_TIMEOUT_S)
        handover = self._source.export_state(self.report)
        listener_fds = [] if handover.listener_fd is None else [handover.listener_fd]
        clients = handover.clients
        channel.send(StateHandedOver(handover.state, len(listener_fds) + len(clients)), listener_fds)
        for start in range(0, len(clients), CLIENTS_PER_FRAME):
            group = clients[start : start + CLIENTS_PER_FRAME]
            descriptors = [client.descriptor for client in group]
            channel.send(ClientsHandedOver([client.state for client in group]), descriptors)
        channel.send(HandoverComplete())

    def _complete_handover(self) -> None:
        assert self.channel is not None
        self.new_process_owns_journal = True
        self._stop_timer()
        log.info("hot restart: handed over")
        for report in self.unsent_reports:
            self.channel.send(report)
        self.unsent_reports.clear()
        self._source.finish_handover()

    def report(self, report: Report) -> None:
        """Send a report, or hold it back until the new process owns the journal."""
        if not self.new_process_owns_journal:
            self.unsent_reports.append(report)
        elif self.channel is not None:
            self.channel.send(report)

    def _disconnected(self) -> None:
        """Handle the end of the connection to the new process.

        If the state was exported and the new process has not confirmed ownership, acquire the journal lock
        again and serve on. If the lock is held, or the journal has changed, the new process has become the
        owner: drain without reporting. In all other cases nothing changes: this process serves, or drains
        without reporting.
        """
        self._stop_timer()
        self.channel = None
        if not self.state_exported or self.new_process_owns_journal:
            return
        try:
            self._source.journal.reacquire()
        except JournalLockedError:
            log.error("hot restart: new process owns the journal but disconnected, outcomes not reported")
            self.new_process_owns_journal = True
            self._source.finish_handover()
            return
        log.warning("hot restart: new process disconnected before it owned the journal, serving on")
        self.state_exported = False
        self.unsent_reports.clear()
        self._source.resume_serving()

    @property
    def reports_sent(self) -> bool:
        """Whether all reports have been written to the socket, or cannot be because it is closed."""
        return self.channel is None or self.channel.all_sent

    def close(self) -> None:
        """Disconnect, stop listening, and remove the socket file unless another process has replaced it."""
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

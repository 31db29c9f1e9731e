"""The new process's side of a hot restart: it requests a handover, or starts from the journal."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from message_relay.server.hot_restart.channel import Channel, short_socket_name
from message_relay.server.hot_restart.frames import (
    AttemptEndedReport,
    ClientsHandedOver,
    Frame,
    HandoverComplete,
    HandoverRejected,
    HandoverRequested,
    LoadReport,
    OwnershipTaken,
    Report,
    RetryAfterReport,
    StateHandedOver,
)
from message_relay.server.hot_restart.snapshot import HandoverState, ServerSnapshot, TransferredClient
from message_relay.server.journal import Journal, JournalLockedError

LIST_TIMEOUT_S = 0.6  # time for a first word of discovery, before the old process is asked
REQUEST_TIMEOUT_S = 2.0  # time for the old process to hand everything over
LOCK_TIMEOUT_S = 0.3  # what was handed over is dropped if the lock is not free by then
LOCK_RETRY_S = 0.01
RETRY_S = 0.05  # between two tries to take over
log = logging.getLogger(__name__)


class HandoverTarget(Protocol):
    """The server, as the process that takes over."""

    journal: Journal

    async def wait_for_list(self, timeout_s: float) -> None:
        """Wait for a first word of discovery."""

    async def begin_serving(self, handed_over: HandoverState | None = None) -> int:
        """Restore and serve; returns the port."""

    def report_received(self, report: Report) -> None:
        """What has come of a call of the old process."""

    def reports_ended(self) -> None:
        """The old process reports no more."""


class HotRestartRequester:
    """Requests the handover from the old process once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: Path,
        on_report: Callable[[Report], None],
        on_reports_ended: Callable[[], None],
    ) -> None:
        self.channel: Channel | None = None
        self.owns = False
        self._loop = loop
        self._path = path
        self._on_report = on_report
        self._on_reports_ended = on_reports_ended
        self._complete: asyncio.Future[bool] = loop.create_future()
        self._state: ServerSnapshot | None = None
        self._client_states: list[list[Any]] = []
        self._descriptor_count = 0

    async def request_handover(self) -> bool:
        """Whether everything was handed over; then the lock is about to be free."""
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with short_socket_name(self._path) as name:
                sock.connect(name)
        except OSError as error:  # there is no such socket, or the platform refuses them
            if sock is not None:
                sock.close()
            log.info("hot restart: no old process, path=%s error=%s", self._path, error)
            return False
        self.channel = Channel(self._loop, sock, self._received, self._lost)
        self.channel.send(HandoverRequested())
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await self._complete
        except TimeoutError:
            return False

    def _received(self, frame: Frame) -> None:
        if self.owns:
            if isinstance(frame, AttemptEndedReport | RetryAfterReport | LoadReport):
                self._on_report(frame)
        elif isinstance(frame, StateHandedOver):
            self._state, self._descriptor_count = frame.state, frame.descriptor_count
        elif isinstance(frame, ClientsHandedOver):
            self._client_states += frame.states
        elif isinstance(frame, HandoverComplete) and not self._complete.done():
            self._complete.set_result(self._everything_received())
        elif isinstance(frame, HandoverRejected):
            log.warning("hot restart: rejected by the old process, reason=%s", frame.reason)
            self._lost()

    def _everything_received(self) -> bool:
        assert self.channel is not None
        descriptors = len(self.channel.received_descriptors)
        return (
            self._state is not None and descriptors == self._descriptor_count == len(self._client_states) + 1
        )

    def take_ownership(self) -> HandoverState:
        """Say that this process holds the lock. Returns what was handed over."""
        assert self.channel is not None
        assert self._state is not None
        self.owns = True
        descriptors, self.channel.received_descriptors = self.channel.received_descriptors, []
        self.channel.send(OwnershipTaken())
        listener_fd, *client_fds = descriptors
        clients = [
            TransferredClient(descriptor, state)
            for descriptor, state in zip(client_fds, self._client_states, strict=True)
        ]
        return HandoverState(self._state, listener_fd, clients)

    def _lost(self) -> None:
        if not self._complete.done():
            self._complete.set_result(False)
        if self.owns:
            self._on_reports_ended()

    @property
    def reports_over(self) -> bool:
        """Whether the old process has closed the socket."""
        return self.channel is None or self.channel.closed

    def close(self) -> None:
        """Give up."""
        if self.channel is not None:
            self.channel.close()


async def take_over(loop: asyncio.AbstractEventLoop, target: HandoverTarget, path: Path) -> int:
    """Serve: with what the old process hands over, or else from the journal once that one has ended.

    Returns the port.
    """
    waited_for_list = False
    while True:
        with contextlib.suppress(JournalLockedError):
            target.journal.acquire()
            return await target.begin_serving()
        if not waited_for_list:
            await target.wait_for_list(LIST_TIMEOUT_S)
            waited_for_list = True
        requester = HotRestartRequester(loop, path, target.report_received, target.reports_ended)
        try:
            if await requester.request_handover() and await _acquire(target.journal):
                # First of all: were it lost after a record of this process, the old one's would stand behind.
                handed_over = requester.take_ownership()
                log.info("hot restart: this process owns, clients=%d", len(handed_over.clients))
                port = await target.begin_serving(handed_over)
                if requester.reports_over:  # before there was anything to end
                    target.reports_ended()
                return port
        finally:
            if not requester.owns:
                requester.close()
        await asyncio.sleep(RETRY_S)


async def _acquire(journal: Journal) -> bool:
    for _ in range(int(LOCK_TIMEOUT_S / LOCK_RETRY_S)):
        try:
            journal.acquire()
        except JournalLockedError:
            await asyncio.sleep(LOCK_RETRY_S)
        else:
            return True
    return False

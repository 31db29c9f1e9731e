"""The new process's side of a hot restart: request a handover, or else start from the journal."""

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

ENDPOINT_LIST_TIMEOUT_S = 0.6  # limit for the first endpoint list, before the handover is requested
REQUEST_TIMEOUT_S = 2.0  # limit from the request to the complete handover
LOCK_TIMEOUT_S = 0.3  # limit for acquiring the lock after a handover, which is dropped otherwise
LOCK_RETRY_INTERVAL_S = 0.01
RETRY_INTERVAL_S = 0.05  # pause before the next attempt to take over
log = logging.getLogger(__name__)


class HandoverTarget(Protocol):
    """The server of the new process."""

    journal: Journal

    async def wait_for_list(self, timeout_s: float) -> None:
        """Wait until discovery has sent an endpoint list, or until the timeout."""

    async def begin_serving(self, handover: HandoverState | None = None) -> int:
        """Restore the state, start serving, and return the port; this process holds the journal lock."""

    def report_received(self, report: Report) -> None:
        """Process a report about a call that the old process has in flight."""

    def reports_ended(self) -> None:
        """Treat attempts without a report as possibly applied, because the old process disconnected."""


class HotRestartRequester:
    """Requests a handover from the old process once, then receives its reports."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: Path,
        on_report: Callable[[Report], None],
        on_reports_ended: Callable[[], None],
    ) -> None:
        self.channel: Channel | None = None
        self.owns_journal = False
        self._loop = loop
        self._path = path
        self._on_report = on_report
        self._on_reports_ended = on_reports_ended
        self._handover_received: asyncio.Future[bool] = loop.create_future()
        self._state: ServerSnapshot | None = None
        self._client_states: list[list[Any]] = []
        self._descriptor_count = 0

    async def request_handover(self) -> bool:
        """Request the handover and return whether it was received completely.

        The old process has released the journal lock then. Returns False if there is no old process, it
        rejects the request, it disconnects, or the handover takes longer than `REQUEST_TIMEOUT_S`.
        """
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with short_socket_name(self._path) as name:
                sock.connect(name)
        except OSError as error:  # the socket does not exist, or the platform does not permit Unix sockets
            if sock is not None:
                sock.close()
            log.info("hot restart: cannot connect to an old process, path=%s error=%s", self._path, error)
            return False
        self.channel = Channel(self._loop, sock, self._frame_received, self._disconnected)
        self.channel.send(HandoverRequested())
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await self._handover_received
        except TimeoutError:
            return False

    def _frame_received(self, frame: Frame) -> None:
        if self.owns_journal:
            if isinstance(frame, AttemptEndedReport | RetryAfterReport | LoadReport):
                self._on_report(frame)
        elif isinstance(frame, StateHandedOver):
            self._state, self._descriptor_count = frame.state, frame.descriptor_count
        elif isinstance(frame, ClientsHandedOver):
            self._client_states += frame.states
        elif isinstance(frame, HandoverComplete) and not self._handover_received.done():
            self._handover_received.set_result(self._handover_is_complete())
        elif isinstance(frame, HandoverRejected):
            log.warning("hot restart: rejected by the old process, reason=%s", frame.reason)
            self._disconnected()

    def _handover_is_complete(self) -> bool:
        """Return whether the state, the listening socket and the descriptor of each client were received."""
        assert self.channel is not None
        descriptors = len(self.channel.received_descriptors)
        return (
            self._state is not None and descriptors == self._descriptor_count == len(self._client_states) + 1
        )

    def confirm_ownership(self) -> HandoverState:
        """Report to the old process that this process holds the journal lock, and return the handover.

        From then on, reports of the old process are passed to `on_report`, and the caller has to close the
        descriptors.
        """
        assert self.channel is not None
        assert self._state is not None
        self.owns_journal = True
        descriptors, self.channel.received_descriptors = self.channel.received_descriptors, []
        self.channel.send(OwnershipTaken())
        listener_fd, *client_fds = descriptors
        clients = [
            TransferredClient(descriptor, state)
            for descriptor, state in zip(client_fds, self._client_states, strict=True)
        ]
        return HandoverState(self._state, listener_fd, clients)

    def _disconnected(self) -> None:
        if not self._handover_received.done():
            self._handover_received.set_result(False)
        if self.owns_journal:
            self._on_reports_ended()

    @property
    def old_process_disconnected(self) -> bool:
        """Whether the connection to the old process is closed, so that no more reports arrive."""
        return self.channel is None or self.channel.closed

    def close(self) -> None:
        """Close the connection; the old process serves on if ownership was not confirmed."""
        if self.channel is not None:
            self.channel.close()


async def take_over(loop: asyncio.AbstractEventLoop, target: HandoverTarget, path: Path) -> int:
    """Start serving and return the port.

    Starts from the journal if its lock is free. Otherwise a process is serving: requests a handover from
    it, and repeats both until one succeeds. The lock is held on return.
    """
    waited_for_list = False
    while True:
        with contextlib.suppress(JournalLockedError):
            target.journal.acquire()
            return await target.begin_serving()
        if not waited_for_list:
            await target.wait_for_list(ENDPOINT_LIST_TIMEOUT_S)
            waited_for_list = True
        requester = HotRestartRequester(loop, path, target.report_received, target.reports_ended)
        try:
            if await requester.request_handover() and await _acquire_within_timeout(target.journal):
                # Before any record is written: an old process without the confirmation could otherwise
                # acquire the lock again and append its records after those of this process.
                handover = requester.confirm_ownership()
                log.info("hot restart: journal acquired, clients=%d", len(handover.clients))
                port = await target.begin_serving(handover)
                if requester.old_process_disconnected:  # possibly before the calls in flight were imported
                    target.reports_ended()
                return port
        finally:
            if not requester.owns_journal:
                requester.close()
        await asyncio.sleep(RETRY_INTERVAL_S)


async def _acquire_within_timeout(journal: Journal) -> bool:
    for _ in range(int(LOCK_TIMEOUT_S / LOCK_RETRY_INTERVAL_S)):
        try:
            journal.acquire()
        except JournalLockedError:
            await asyncio.sleep(LOCK_RETRY_INTERVAL_S)
        else:
            return True
    return False

"""One relay instance on real sockets: puts its parts together, starts and closes them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os

from message_relay.model import EndpointCordoned, EndpointListForm
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.server.attempt_runner import AttemptRunner
from message_relay.server.configuration import Address, RelayConfiguration
from message_relay.server.discovery.endpoint_watch import EndpointListChange, EndpointWatch
from message_relay.server.discovery.final_notifier import FinalNotifier
from message_relay.server.endpoint_calls import EndpointCallClient
from message_relay.server.endpoint_directory import EndpointDirectory
from message_relay.server.event_queue import EventQueue
from message_relay.server.final_answers import FinalAnswers
from message_relay.server.hot_restart.frames import Report
from message_relay.server.hot_restart.snapshot import HandoverState
from message_relay.server.hot_restart.state_transfer import StateTransfer
from message_relay.server.journal import AcceptedMessage, Journal
from message_relay.server.lifecycle import Lifecycle
from message_relay.server.metrics import Metrics
from message_relay.server.operations import Operations
from message_relay.server.policy_runner import PolicyRunner
from message_relay.server.resp.server import ClientServer
from message_relay.server.retry_after import RetryAfterTable
from message_relay.server.submission import Submissions, submitted_event

# Shares of the limit on open files; the rest is for calls, discovery, the journal and Python itself.
CLIENT_CONNECTION_SHARE, IDLE_CONNECTION_SHARE = 0.5, 0.2
MIN_CLIENT_CONNECTIONS = 8
log = logging.getLogger(__name__)


class RelayServer:
    """Owns the parts of one instance."""

    def __init__(self, loop: asyncio.AbstractEventLoop, configuration: RelayConfiguration) -> None:
        self.configuration = configuration
        self.settings = configuration.settings
        self._loop = loop
        self._list_received = asyncio.Event()
        self._create_core()
        self._create_delivery()
        self._create_client_side()
        self._create_discovery()
        self.transfer = StateTransfer(self)
        self._connect_parts()

    def _create_core(self) -> None:
        """The policy, the journal, the events between the parts."""
        settings, configuration = self.settings, self.configuration
        key_window_s = max(message_class.key_window_us for message_class in settings.classes) / 1e6
        self.policy = DeliveryPolicy(settings, configuration.seed)
        self.journal = Journal(configuration.state_directory, configuration.disk_limit_bytes, key_window_s)
        self.metrics = Metrics([message_class.name for message_class in settings.classes])
        self.events = EventQueue(self._loop, settings.tick_interval_us)
        self.answers = FinalAnswers(self._loop, self.journal, self.events, self.metrics)

    def _create_delivery(self) -> None:
        """Attempts, calls to endpoints, and the directory of endpoints."""
        settings = self.settings
        self.retry_after = RetryAfterTable(settings.destination_types)
        self.attempts = AttemptRunner(
            settings=settings,
            policy=self.policy,
            journal=self.journal,
            events=self.events,
            answers=self.answers,
            metrics=self.metrics,
            retry_after=self.retry_after,
        )
        self.calls = EndpointCallClient(
            self._loop,
            self.attempts,
            settings.connection_idle_timeout_us,
            settings.connect_timeout_us,
            int(self.configuration.max_descriptors * IDLE_CONNECTION_SHARE),
        )
        self.directory = EndpointDirectory(settings, self.configuration.zones, self.calls, self.retry_after)
        self.attempts.calls, self.attempts.directory = self.calls, self.directory

    def _create_client_side(self) -> None:
        """Submissions, client connections, ticks, and the operators' commands."""
        self.submissions = Submissions(
            settings=self.settings,
            policy=self.policy,
            journal=self.journal,
            events=self.events,
            directory=self.directory,
            attempts=self.attempts,
            answers=self.answers,
            metrics=self.metrics,
        )
        max_connections = int(self.configuration.max_descriptors * CLIENT_CONNECTION_SHARE)
        self.clients = ClientServer(
            self.submissions.submit, max(MIN_CLIENT_CONNECTIONS, max_connections), self.unready_reason
        )
        self.lifecycle = Lifecycle(
            loop=self._loop,
            events=self.events,
            journal=self.journal,
            clients=self.clients,
            calls=self.calls,
            submissions=self.submissions,
        )
        self.operations = Operations(
            policy=self.policy,
            events=self.events,
            journal=self.journal,
            directory=self.directory,
            calls=self.calls,
            metrics=self.metrics,
            lifecycle=self.lifecycle,
        )
        self.policy_runner = PolicyRunner(
            loop=self._loop,
            policy=self.policy,
            events=self.events,
            submissions=self.submissions,
            attempts=self.attempts,
            answers=self.answers,
            calls=self.calls,
        )

    def _create_discovery(self) -> None:
        """The connections to the discovery service."""
        address = self.configuration.discovery_address
        self.notifier = FinalNotifier(self._loop, address, self._finals_accepted)
        self.watch = EndpointWatch(
            self._loop,
            address,
            self.configuration.cached_list.revision,
            self._list_changed,
            self.settings.instance_count,
        )

    def _connect_parts(self) -> None:
        self.events.on_tick = self.lifecycle.run_tick = self.policy_runner.run
        self.answers.notifier = self.notifier
        self.answers.on_ended = self._message_ended
        self.attempts.on_idle = self.lifecycle.exit_if_done
        self.submissions.is_closed = self.lifecycle.rejects_clients

    def unready_reason(self) -> str:
        """Why this process is not to be sent clients, empty if it is."""
        return self.lifecycle.unready_reason()

    # Start

    def prepare(self) -> None:
        """Do what can be done before this process owns anything."""
        cached = self.configuration.cached_list
        self.apply_list(EndpointListChange(cached.revision, True, cached.targets), EndpointListForm.CACHED)
        self.watch.start()

    async def wait_for_list(self, timeout_s: float) -> None:
        """Wait for a first word of discovery; it may be down."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._list_received.wait()

    async def start(self) -> int:
        """Start with no other process serving. Returns the port; JournalLockedError if one does."""
        self.prepare()
        self.journal.acquire()
        return await self.begin_serving()

    async def begin_serving(self, handed_over: HandoverState | None = None) -> int:
        """Restore, run the first tick, then listen: clients are accepted from here on. Returns the port.

        The journal is this process's. ``handed_over`` is what the old process passed on, where there is one.
        """
        self.submissions.last_number = self.journal.last_number
        known = self.transfer.import_state(handed_over.state) if handed_over else frozenset()
        for uid in self.journal.cordoned:
            if uid in self.directory.numbers:
                self.events.add_without_tick(EndpointCordoned(self.directory.numbers[uid]))
        for message in list(self.journal.messages.values()):
            self._restore(message, message.number in known)
        self.policy_runner.run()
        port = await self._listen(handed_over)
        self.lifecycle.serving = True
        return port

    def _restore(self, message: AcceptedMessage, known: bool) -> None:
        if message.final_status:
            self.answers.notify(message.number, message.id, message.final_status, message.retry_after_ms)
            return
        if not known:
            self.events.add_without_tick(submitted_event(message, restored=True))
        self.answers.watch_deadline(message)

    async def _listen(self, handed_over: HandoverState | None) -> int:
        descriptor = self.configuration.listen_fd
        if handed_over and handed_over.listener_fd is not None:
            if descriptor < 0:
                descriptor = handed_over.listener_fd
            else:
                os.close(handed_over.listener_fd)
        address = self.configuration.listen_address
        port = await self.clients.listen(address.host, address.port, descriptor)
        for client in handed_over.clients if handed_over else ():
            self.clients.adopt(client.descriptor, client.state)
        return port

    # Discovery

    def _list_changed(self, change: EndpointListChange) -> None:
        self.apply_list(change, EndpointListForm.COMPLETE if change.complete else EndpointListForm.DELTA)

    def apply_list(self, change: EndpointListChange, form: EndpointListForm) -> None:
        """Take over an endpoint list or a change of it."""
        event = self.directory.apply(change.targets, form)
        if form is not EndpointListForm.CACHED:
            self._list_received.set()
        self.events.add(event)
        for entry in event.entries:  # in the same tick: the list lifts no cordon, nor does a new number
            if self.directory.uids.get(entry.endpoint) in self.journal.cordoned:
                self.events.add(EndpointCordoned(entry.endpoint))

    def move_discovery(self, address: Address) -> None:
        """Discovery is at another address: the watch and the notices both go there."""
        if address != self.watch.address:
            log.info("discovery moves: address=%s:%d", *address)
            self.watch.change_address(address)
            self.notifier.change_address(address)

    # Reports of the old process in a hot restart (HandoverTarget)

    def report_received(self, report: Report) -> None:
        """What has come of a call of the old process."""
        self.transfer.report_received(report)

    def reports_ended(self) -> None:
        """The old process reports no more."""
        self.transfer.reports_ended()

    # Ends of messages

    def _message_ended(self, number: int) -> None:
        self.attempts.next_attempts.pop(number, None)

    def _finals_accepted(self, numbers: list[int]) -> None:
        if self.transfer.defer_finals(numbers):
            return
        self.answers.record_notified(numbers)
        self.lifecycle.exit_if_done()

    # The end

    def close(self) -> None:
        """Let go of everything at once; the journal already holds what is open."""
        self.events.paused = True  # a tick that is due would find no journal
        self.watch.stop()
        self.notifier.stop()
        self.calls.close()
        self.clients.close()
        self.journal.close()

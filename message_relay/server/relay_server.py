"""One relay instance: creates its parts, connects them, starts and closes them."""

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
from message_relay.server.memory_limits import MemoryLimits
from message_relay.server.metrics import Metrics
from message_relay.server.operations import Operations
from message_relay.server.policy_runner import PolicyRunner
from message_relay.server.resp.server import ClientServer
from message_relay.server.retry_after import RetryAfterTable
from message_relay.server.submission import Submissions, submitted_event

# Shares of the limit on open files; the rest is for calls, discovery, the journal and the Python runtime.
CLIENT_CONNECTION_SHARE = 0.5
IDLE_CONNECTION_SHARE = 0.2  # idle connections to endpoints
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
        """Create the policy, the journal, the event queue and the final answers."""
        settings, configuration = self.settings, self.configuration
        key_window_s = max(message_class.key_window_us for message_class in settings.classes) / 1e6
        self.policy = DeliveryPolicy(settings, configuration.seed)
        self.journal = Journal(
            configuration.state_directory,
            configuration.disk_limit_bytes,
            key_window_s,
            # A client may submit a message again for as long as its class allows.
            id_retention_s=max(message_class.deadline_us for message_class in settings.classes) / 1e6,
        )
        self.metrics = Metrics([message_class.name for message_class in settings.classes])
        self.events = EventQueue(self._loop, settings.tick_interval_us)
        self.answers = FinalAnswers(self._loop, self.journal, self.events, self.metrics)

    def _create_delivery(self) -> None:
        """Create the attempt runner, the client for calls to endpoints, and the directory of endpoints."""
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
        """Create submissions, the client server, the lifecycle, operators' commands and the policy runner."""
        memory_limits = MemoryLimits.of_process(self.configuration.memory_limit_bytes)
        self.submissions = Submissions(
            settings=self.settings,
            policy=self.policy,
            journal=self.journal,
            events=self.events,
            directory=self.directory,
            attempts=self.attempts,
            answers=self.answers,
            metrics=self.metrics,
            memory_limits=memory_limits,
        )
        max_connections = int(self.configuration.max_descriptors * CLIENT_CONNECTION_SHARE)
        self.clients = ClientServer(
            submit=self.submissions.submit,
            refuse=self.submissions.refuse_discarded,
            unready_reason=self.unready_reason,
            max_connections=max(MIN_CLIENT_CONNECTIONS, max_connections),
            max_buffer_bytes=memory_limits.client_buffer_bytes,
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
            clients=self.clients,
            submissions=self.submissions,
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
        """Create the endpoint watch and the notifier, which connect to discovery."""
        address = self.configuration.discovery_address
        self.notifier = FinalNotifier(self._loop, address, self._notices_accepted)
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
        self.answers.on_message_ended = self._message_ended
        self.attempts.on_attempt_ended = self.lifecycle.exit_if_done
        self.submissions.rejects_new_messages = self.lifecycle.quiesced_accept_period_over

    def unready_reason(self) -> str:
        """Return why clients must not be directed to this process, empty if it is ready for them."""
        return self.lifecycle.unready_reason()

    # Start

    def prepare(self) -> None:
        """Apply the cached endpoint list and start the endpoint watch; neither requires the journal."""
        cached = self.configuration.cached_list
        self.apply_list(EndpointListChange(cached.revision, True, cached.targets), EndpointListForm.CACHED)
        self.watch.start()

    async def wait_for_list(self, timeout_s: float) -> None:
        """Wait for the first endpoint list, but no longer than ``timeout_s``, as discovery may be down."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._list_received.wait()

    async def start(self) -> int:
        """Start without a handover and return the port.

        Raises JournalLockedError if another process owns the journal.
        """
        self.prepare()
        self.journal.acquire()
        return await self.begin_serving()

    async def begin_serving(self, handover: HandoverState | None = None) -> int:
        """Restore the messages, run the first tick, then accept clients; return the port.

        This process must own the journal. ``handover`` is the state that an old process handed over, None
        if there was no handover.
        """
        self.submissions.last_number = self.journal.last_number
        transferred_numbers = self.transfer.import_state(handover.state) if handover else frozenset()
        for uid in self.journal.cordoned:
            if uid in self.directory.numbers:
                self.events.add_without_tick(EndpointCordoned(self.directory.numbers[uid]))
        for message in list(self.journal.messages.values()):
            self._restore_message(message, message.number in transferred_numbers)
        self.policy_runner.run()
        port = await self._listen(handover)
        self.lifecycle.serving = True
        return port

    def _restore_message(self, message: AcceptedMessage, transferred: bool) -> None:
        """Restore a message of the journal; one that was transferred is not submitted to the policy again."""
        if message.final_status:
            self.answers.enqueue_notice(
                message.number, message.id, message.final_status, message.retry_after_ms
            )
            return
        if not transferred:
            self.events.add_without_tick(submitted_event(message, restored=True))
        self.answers.start_deadline_timer(message)

    async def _listen(self, handover: HandoverState | None) -> int:
        """Accept new clients, continue the connections that were handed over, and return the port.

        The listening socket is the one that the platform has opened, else the one that was handed over, else
        a new one at the configured address.
        """
        descriptor = self.configuration.listen_fd
        if handover and handover.listener_fd is not None:
            if descriptor < 0:
                descriptor = handover.listener_fd
            else:
                os.close(handover.listener_fd)
        address = self.configuration.listen_address
        port = await self.clients.listen(address.host, address.port, descriptor)
        for client in handover.clients if handover else ():
            self.clients.import_connection(client.descriptor, client.state)
        return port

    # Discovery

    def _list_changed(self, change: EndpointListChange) -> None:
        self.apply_list(change, EndpointListForm.COMPLETE if change.complete else EndpointListForm.DELTA)

    def apply_list(self, change: EndpointListChange, form: EndpointListForm) -> None:
        """Apply an endpoint list or a change of it, and report it to the policy."""
        event = self.directory.apply(change.targets, form)
        if form is not EndpointListForm.CACHED:
            self._list_received.set()
        self.events.add(event)
        # Cordons are applied in the same tick: neither a list nor a new endpoint number lifts them.
        for entry in event.entries:
            if self.directory.uids.get(entry.endpoint) in self.journal.cordoned:
                self.events.add(EndpointCordoned(entry.endpoint))

    def change_discovery_address(self, address: Address) -> None:
        """Change the address of discovery that the endpoint watch and the notices use."""
        if address != self.watch.address:
            log.info("discovery address changed: address=%s:%d", *address)
            self.watch.change_address(address)
            self.notifier.change_address(address)

    # Reports of the old process in a hot restart (HandoverTarget)

    def report_received(self, report: Report) -> None:
        """Apply a report of the old process on one of its calls in flight."""
        self.transfer.report_received(report)

    def reports_ended(self) -> None:
        """Treat attempts without a report as possibly applied, because the old process disconnected."""
        self.transfer.reports_ended()

    # Completion of messages

    def _message_ended(self, number: int) -> None:
        self.attempts.next_attempts.pop(number, None)

    def _notices_accepted(self, numbers: list[int]) -> None:
        if self.transfer.defer_notice_records(numbers):
            return
        self.answers.record_notices_accepted(numbers)
        self.lifecycle.exit_if_done()

    # Exit

    def close(self) -> None:
        """Close all connections and the journal at once; the journal already holds the open messages."""
        self.events.paused = True  # a scheduled tick would use the closed journal
        self.watch.stop()
        self.notifier.stop()
        self.calls.close()
        self.clients.close()
        self.journal.close()

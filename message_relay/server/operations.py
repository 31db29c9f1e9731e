"""Operators' commands, which the admin console receives."""

from __future__ import annotations

import logging

from message_relay.model import EndpointCordoned
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.server.admin_console import CommandRejectedError
from message_relay.server.endpoint_calls import EndpointCallClient
from message_relay.server.endpoint_directory import EndpointDirectory
from message_relay.server.event_queue import EventQueue
from message_relay.server.journal import Journal
from message_relay.server.lifecycle import Lifecycle
from message_relay.server.metrics import Gauges, Metrics
from message_relay.server.resource_metrics import ResourceUsage, render_counts_by_reason, render_usage
from message_relay.server.resp.server import ClientServer
from message_relay.server.submission import Submissions

MAX_CORDONS = 1 << 14  # upper bound: cordons of endpoints that are never listed again accumulate
log = logging.getLogger(__name__)


class Operations:
    """Executes the commands (see AdminCommands); each raises CommandRejectedError if it is not executed."""

    def __init__(
        self,
        *,
        policy: DeliveryPolicy,
        events: EventQueue,
        journal: Journal,
        directory: EndpointDirectory,
        calls: EndpointCallClient,
        metrics: Metrics,
        lifecycle: Lifecycle,
        clients: ClientServer,
        submissions: Submissions,
    ) -> None:
        self._policy = policy
        self._events = events
        self._journal = journal
        self._directory = directory
        self._calls = calls
        self._metrics = metrics
        self._lifecycle = lifecycle
        self._clients = clients
        self._submissions = submissions

    def check_health(self) -> None:
        """Raise CommandRejectedError with the reason if this process is not ready for clients."""
        if reason := self._lifecycle.unready_reason():
            raise CommandRejectedError(reason)

    def render_metrics(self) -> str:
        """Return the metrics, one per line."""
        entries = self._directory.entries
        out_of_rotation = sum(
            1 for endpoint in self._policy.endpoints_out_of_rotation() if endpoint in entries
        )
        gauges = Gauges(self._journal.open_count, len(entries), out_of_rotation)
        return "".join(
            [
                self._metrics.render(gauges),
                render_usage(self._resource_usage()),
                render_counts_by_reason("client_connections_closed", self._clients.close_counts),
                render_counts_by_reason("refused", self._submissions.refusal_counts),
            ]
        )

    def _resource_usage(self) -> ResourceUsage:
        journal, clients = self._journal, self._clients
        return ResourceUsage(
            client_connections=len(clients.connections),
            client_buffer_bytes=clients.unfinished_requests.total_bytes,
            message_bytes=self._submissions.message_bytes,
            stored_identifiers=len(journal.completed_ids) + len(journal.idempotency_keys),
        )

    def quiesce(self) -> None:
        """Report the instance as unready and close its idle client connections."""
        self._lifecycle.quiesce()

    def resume(self) -> None:
        """Undo quiesce()."""
        self._lifecycle.resume()

    def cordon(self, uid: str) -> None:
        """Start no further attempts at a listed endpoint until it is uncordoned.

        The cordon stays in force after changes of the endpoint list and after a restart.
        """
        self._lifecycle.require_serving()
        if uid in self._journal.cordoned:
            return
        if uid not in self._directory.numbers:
            raise CommandRejectedError(f"endpoint must be listed by discovery, got {uid!r}")
        if len(self._journal.cordoned) >= MAX_CORDONS:
            raise CommandRejectedError(f"at most {MAX_CORDONS} endpoints may be cordoned, uncordon one first")
        self._set_cordon(uid, cordoned=True)

    def uncordon(self, uid: str) -> None:
        """Allow attempts at a cordoned endpoint again; they begin with a slow start."""
        self._lifecycle.require_serving()
        if uid in self._journal.cordoned:
            self._set_cordon(uid, cordoned=False)
        elif uid not in self._directory.numbers:
            raise CommandRejectedError(f"endpoint must be listed by discovery, got {uid!r}")

    def _set_cordon(self, uid: str, *, cordoned: bool) -> None:
        """Record the change, then apply it: an acknowledged command stays in force after a restart."""
        try:
            self._journal.record_cordon(uid, cordoned)
        except OSError as error:
            raise CommandRejectedError(f"not recorded in the journal: {error}") from None
        log.info("endpoint %s: uid=%s", "cordoned" if cordoned else "uncordoned", uid)
        if (endpoint := self._directory.numbers.get(uid)) is not None:
            self._calls.close_idle_connections(endpoint)
            self._events.add(EndpointCordoned(endpoint, cordoned))

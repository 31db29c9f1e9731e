"""The operators' commands, as the admin console gives them."""

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

MAX_CORDONS = 1 << 14  # at once; those of endpoints that never come back would pile up
log = logging.getLogger(__name__)


class Operations:
    """Carries out the commands (see AdminCommands); each raises CommandRejectedError with a reason."""

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
    ) -> None:
        self._policy = policy
        self._events = events
        self._journal = journal
        self._directory = directory
        self._calls = calls
        self._metrics = metrics
        self._lifecycle = lifecycle

    def check_health(self) -> None:
        """Whether this process is ready to serve."""
        if reason := self._lifecycle.unready_reason():
            raise CommandRejectedError(reason)

    def render_metrics(self) -> str:
        """The figures, a line for each."""
        entries = self._directory.entries
        out_of_rotation = sum(
            1 for endpoint in self._policy.endpoints_out_of_rotation() if endpoint in entries
        )
        return self._metrics.render(Gauges(self._journal.open_count, len(entries), out_of_rotation))

    def quiesce(self) -> None:
        """Send clients away."""
        self._lifecycle.quiesce()

    def resume(self) -> None:
        """Serve clients again."""
        self._lifecycle.resume()

    def cordon(self, uid: str) -> None:
        """Keep new attempts from an endpoint, whatever the endpoint list says."""
        self._lifecycle.require_serving()
        if uid in self._journal.cordoned:
            return
        if uid not in self._directory.numbers:
            raise CommandRejectedError("no such endpoint")
        if len(self._journal.cordoned) >= MAX_CORDONS:
            raise CommandRejectedError("too many are cordoned")
        self._set_cordon(uid, cordoned=True)

    def uncordon(self, uid: str) -> None:
        """Put an endpoint back."""
        self._lifecycle.require_serving()
        if uid in self._journal.cordoned:
            self._set_cordon(uid, cordoned=False)
        elif uid not in self._directory.numbers:
            raise CommandRejectedError("no such endpoint")

    def _set_cordon(self, uid: str, *, cordoned: bool) -> None:
        """Recorded first: what an operator was told outlasts the process."""
        try:
            self._journal.record_cordon(uid, cordoned)
        except OSError as error:
            raise CommandRejectedError(f"can't be recorded: {error}") from None
        log.info("endpoint %s, uid=%s", "cordoned" if cordoned else "put back", uid)
        if (endpoint := self._directory.numbers.get(uid)) is not None:
            self._calls.close_idle_connections(endpoint)
            self._events.add(EndpointCordoned(endpoint, cordoned))

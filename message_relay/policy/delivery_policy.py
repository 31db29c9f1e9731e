"""The delivery policy of one relay instance: the entry point that turns the events of a tick into actions.

Each event goes to the module that handles it. Then overdue messages get their final answers, calls are
dispatched to the free slots, and messages are shed if too many are open.
"""

import functools
import heapq
from collections.abc import Callable, Iterable
from typing import Any

from message_relay import model
from message_relay.policy import admission, attempts, final_answer, membership, rate_limiter, slow_start
from message_relay.policy.limits import derive_limits
from message_relay.policy_snapshot import restore
from message_relay.policy_state import PolicyState

LIMIT_FIELD = "x1"  # of a load report: rate limit in calls a second, for all instances together
LIMIT_REMAINING_FIELD = "x0"  # of a load report: unused share of that limit, 0 to 1


class DeliveryPolicy:
    """Delivery policy of one instance, with its state and the event handlers."""

    def __init__(self, settings: model.Settings, seed: int) -> None:
        self.state = PolicyState(settings, seed, derive_limits(settings))
        # Other events need no handler: a fired timer only starts a tick.
        self._handlers: dict[type[model.Event], Callable[[Any], None]] = {
            model.MessageSubmitted: functools.partial(admission.submit, self.state),
            model.AttemptEnded: functools.partial(attempts.record_outcome, self.state),
            model.LoadReportReceived: self._record_load,
            model.EndpointListReceived: self._apply_list,
            model.MessageWithdrawn: self._withdraw,
            model.EndpointCordoned: self._cordon,
            model.StateImported: self._import_state,
            model.ShutdownScheduled: self._schedule_shutdown,
            model.ResponseStarted: self._record_response_started,
        }

    def handle(self, now_us: int, events: Iterable[model.Event]) -> list[model.Action]:
        """Run one tick and return its actions.

        ``now_us`` and all times in events are microseconds on one monotonic clock.
        """
        state = self.state
        state.now_us, state.actions = now_us, []
        if state.started_at_us < 0:
            state.started_at_us = now_us
            if state.settings.endpoint_list_requires_subscription:
                state.actions.append(model.SubscribeEndpointList())
        for event in events:
            if handler := self._handlers.get(type(event)):
                handler(event)
        while state.scheduled_ticks and state.scheduled_ticks[0] <= now_us:
            heapq.heappop(state.scheduled_ticks)
        final_answer.expire(state)
        attempts.dispatch(state)
        admission.shed_load(state)
        if state.expiries:
            state.schedule_tick(state.expiries[0][0])
        return state.actions

    def endpoints_out_of_rotation(self) -> list[int]:
        """Return the endpoints that get no ordinary calls: cordoned ones and those with an open circuit."""
        return [e.id for e in self.state.endpoints.values() if e.cordoned or e.circuit.open]

    def capacity_retry_after_us(self) -> int:
        """Return a Retry-After in microseconds for a message that exceeds the capacity."""
        return admission.capacity_retry_after_us(self.state)

    def _record_load(self, event: model.LoadReportReceived) -> None:
        endpoint, settings = self.state.endpoints.get(event.endpoint), self.state.settings
        values = dict(zip(settings.load_report_fields, event.values, strict=False))
        limit = values.get(LIMIT_FIELD, 0.0)
        if endpoint and 0 < limit < float("inf") and not settings.rate_limits_advertised:
            remaining_share = values.get(LIMIT_REMAINING_FIELD, -1.0)
            rate_limiter.record_reported_limit(self.state, endpoint.group, limit, remaining_share)

    def _apply_list(self, event: model.EndpointListReceived) -> None:
        if event.form is model.EndpointListForm.FAILED:
            self.state.actions.append(model.SubscribeEndpointList())
        else:
            membership.apply_list(self.state, event)

    def _withdraw(self, event: model.MessageWithdrawn) -> None:
        if message := self.state.messages.get(event.message):
            self.state.close_message(message)

    def _cordon(self, event: model.EndpointCordoned) -> None:
        if endpoint := self.state.endpoints.get(event.endpoint):
            if endpoint.cordoned and not event.cordoned:  # cordoned endpoints are usually restarted
                slow_start.reset_for_slow_start(self.state, endpoint)
            endpoint.cordoned = event.cordoned

    def _import_state(self, event: model.StateImported) -> None:
        restore(self.state, event.snapshot, event.endpoints)

    def _schedule_shutdown(self, event: model.ShutdownScheduled) -> None:
        self.state.shutdown_at_us = event.deadline_us

    def _record_response_started(self, event: model.ResponseStarted) -> None:
        if message := self.state.messages.get(event.message):
            message.response_started = True

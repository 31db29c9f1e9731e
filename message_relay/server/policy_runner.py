"""Ticks: the policy handles the queued events, and the server executes the actions that it returns."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from message_relay.model import (
    Action,
    CancelAttempt,
    CheckEndpointHealth,
    CloseIdleConnections,
    FailMessage,
    LogMessage,
    RejectMessage,
    SendAttempt,
    SetTimer,
    TimerFired,
)
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.server.attempt_runner import AttemptRunner
from message_relay.server.endpoint_calls import CallAttempt, EndpointCallClient
from message_relay.server.event_queue import EventQueue
from message_relay.server.final_answers import FinalAnswers
from message_relay.server.resp import replies
from message_relay.server.submission import PendingSubmission, Submissions

TIMER_ROUNDING_S = 5e-5  # added to each delay: the event loop may fire a timer this much too early
log = logging.getLogger(__name__)


class PolicyRunner:
    """Runs the ticks that the event queue schedules."""

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        policy: DeliveryPolicy,
        events: EventQueue,
        submissions: Submissions,
        attempts: AttemptRunner,
        answers: FinalAnswers,
        calls: EndpointCallClient,
    ) -> None:
        self._loop = loop
        self._policy = policy
        self._events = events
        self._submissions = submissions
        self._attempts = attempts
        self._answers = answers
        self._calls = calls
        self._batches: dict[int, list[CallAttempt]] = {}
        # Actions without a handler are ignored: the server has no gossip channel to other instances, and it
        # watches the endpoint list without a request of the policy.
        self._handlers: dict[type[Action], Callable[[Any], None]] = {
            SendAttempt: self._send,
            RejectMessage: answers.execute_action,
            FailMessage: answers.execute_action,
            SetTimer: self._set_timer,
            CloseIdleConnections: self._close_idle_connections,
            CancelAttempt: self._cancel,
            CheckEndpointHealth: self._check_health,
            LogMessage: self._log,
        }

    def run(self) -> None:
        """Run one tick, unless the event queue is paused."""
        self._events.clear_scheduled_tick()
        if self._events.paused:
            return
        now_us, events = self._events.begin_tick()
        pending = self._submissions.take_pending()
        try:
            actions = self._policy.handle(now_us, events)
        except Exception:  # a failed tick must not end the process; accepted messages have deadline timers
            log.exception("policy failed: events=%d", len(events))
            actions = [FailMessage(number) for number in pending]
        try:
            self._execute_actions(list(actions), pending)
        except Exception:
            log.exception("executing the actions of the policy failed")
            for submission in pending.values():
                submission.answer(replies.INTERNAL_ERROR)

    def _execute_actions(self, actions: list[Action], pending: dict[int, PendingSubmission]) -> None:
        """Reject or accept the pending submissions, then execute the actions in order."""
        for action in actions:
            if isinstance(action, RejectMessage | FailMessage) and action.message in pending:
                self._submissions.reject(pending.pop(action.message), action)
        for submission in pending.values():
            self._submissions.accept(submission)
        self._batches = {}
        for action in actions:
            if handler := self._handlers.get(type(action)):
                handler(action)
        self._attempts.send_batches(self._batches)

    def _send(self, action: SendAttempt) -> None:
        self._attempts.send(action, self._batches)

    def _set_timer(self, action: SetTimer) -> None:
        delay_s = action.delay_us / 1e6 + TIMER_ROUNDING_S
        self._loop.call_later(delay_s, self._events.add, TimerFired(action.token))

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        self._calls.close_idle_connections(action.endpoint)

    def _cancel(self, action: CancelAttempt) -> None:
        self._calls.cancel(action.message, action.attempt)

    def _check_health(self, action: CheckEndpointHealth) -> None:
        self._calls.check_health(action.endpoint)

    def _log(self, action: LogMessage) -> None:
        log.info("%s", action.text)

"""The final answer of an accepted message: recorded, then sent to the client's side by way of discovery."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from message_relay.model import FailMessage, MessageWithdrawn, RejectMessage
from message_relay.server.discovery.final_notifier import FinalNotice, FinalNotifier
from message_relay.server.event_queue import EventQueue
from message_relay.server.journal import AcceptedMessage, FinalStatus, Journal
from message_relay.server.metrics import Metrics

# A message that is so long past its deadline with no final answer gets it here: the last line of defence.
OVERDUE_S = 0.1
log = logging.getLogger(__name__)


def milliseconds(duration_us: int) -> int:
    """Microseconds as milliseconds, rounded up."""
    return -(-duration_us // 1000)


class FinalAnswers:
    """Ends accepted messages, and watches over the deadline of each."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, journal: Journal, events: EventQueue, metrics: Metrics
    ) -> None:
        self.notifier: FinalNotifier | None = None
        self.on_ended: Callable[[int], None] = lambda number: None
        self.deadline_timers: dict[int, asyncio.TimerHandle] = {}
        self._loop = loop
        self._journal = journal
        self._events = events
        self._metrics = metrics

    def finish(self, action: RejectMessage | FailMessage) -> None:
        """Carry out the policy's final answer."""
        message = self._journal.messages.get(action.message)
        if message is None or message.final_status:
            return
        if isinstance(action, RejectMessage):
            self.end(message, FinalStatus.DEFERRED, milliseconds(action.retry_after_us))
        else:
            self.end(message, FinalStatus.UNDELIVERABLE)

    def end(self, message: AcceptedMessage, status: FinalStatus, retry_after_ms: int = 0) -> None:
        """Record the final answer, then send it."""
        self.count(message.message_class, rejected=status is FinalStatus.DEFERRED)
        try:
            self._journal.record_final(message.number, status, retry_after_ms)
        except OSError as error:  # sent all the same: to end it once more after a restart does no harm
            log.error("journal: final answer not recorded, message=%s error=%s", message.id, error)
            self._journal.mark_final(message, status, retry_after_ms)
        self.stop_deadline(message.number)
        self.on_ended(message.number)
        self.notify(message.number, message.id, status, retry_after_ms)

    def notify(self, number: int, message_id: str, status: FinalStatus, retry_after_ms: int) -> None:
        """Have the notice sent."""
        assert self.notifier is not None
        self.notifier.enqueue(FinalNotice(number, message_id, status.value, retry_after_ms))

    def count(self, message_class: int, *, rejected: bool) -> None:
        """Count a final answer other than a delivery."""
        if rejected:
            self._metrics.record_rejected(message_class)
        else:
            self._metrics.record_failed(message_class)

    def watch_deadline(self, message: AcceptedMessage) -> None:
        """End the message here if nothing else does."""
        delay_s = max(0.0, message.deadline_s + OVERDUE_S - time.time())
        self.deadline_timers[message.number] = self._loop.call_later(delay_s, self._overdue, message.number)

    def _overdue(self, number: int) -> None:
        message = self._journal.messages.get(number)
        if self._events.paused:
            self.deadline_timers[number] = self._loop.call_later(OVERDUE_S, self._overdue, number)
        elif message and not message.final_status:
            log.error("message overdue: ended here, message=%s", message.id)
            self._events.add(MessageWithdrawn(number))
            self.end(message, FinalStatus.UNDELIVERABLE)

    def stop_deadline(self, number: int) -> None:
        """The message has ended."""
        if timer := self.deadline_timers.pop(number, None):
            timer.cancel()

    def stop_all_deadlines(self) -> None:
        """Another process owns the messages."""
        for timer in self.deadline_timers.values():
            timer.cancel()
        self.deadline_timers.clear()

    def record_notified(self, numbers: list[int]) -> None:
        """Notices were accepted: nothing more is owed for these messages."""
        record_best_effort(self._journal.record_completed, numbers)


def record_best_effort(write: Callable[[list[int]], None], numbers: list[int]) -> None:
    """Write a record as a best effort: if it is lost, a restart takes the more careful view."""
    try:
        write(numbers)
    except OSError as error:
        log.error("journal: not recorded, error=%s", error)

"""Final answers of accepted messages: recorded in the journal, then reported to discovery in a notice."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from message_relay.model import FailMessage, MessageWithdrawn, RejectMessage
from message_relay.server import clock
from message_relay.server.discovery.final_notifier import FinalNotice, FinalNotifier
from message_relay.server.event_queue import EventQueue
from message_relay.server.journal import AcceptedMessage, FinalStatus, Journal
from message_relay.server.log_output import LogThrottle
from message_relay.server.metrics import Metrics

# A message without a final answer this long after its deadline is ended by its deadline timer. This is a
# fallback for the case that the policy has not ended it.
OVERDUE_GRACE_S = 0.1
log = logging.getLogger(__name__)


def to_milliseconds(duration_us: int) -> int:
    """Return a duration in milliseconds, rounded up."""
    return -(-duration_us // 1000)


class FinalAnswers:
    """Ends accepted messages, and runs a timer for the deadline of each."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, journal: Journal, events: EventQueue, metrics: Metrics
    ) -> None:
        self.notifier: FinalNotifier | None = None
        self.on_message_ended: Callable[[int], None] = lambda number: None
        self.deadline_timers: dict[int, asyncio.TimerHandle] = {}  # by message number
        self._loop = loop
        self._journal = journal
        self._events = events
        self._metrics = metrics
        self._log_throttle = LogThrottle()

    def execute_action(self, action: RejectMessage | FailMessage) -> None:
        """Execute an action of the policy that ends a message; ignore it if the message has ended already."""
        message = self._journal.messages.get(action.message)
        if message is None or message.final_status:
            return
        if isinstance(action, RejectMessage):
            self.end_message(message, FinalStatus.DEFERRED, to_milliseconds(action.retry_after_us))
        else:
            self.end_message(message, FinalStatus.UNDELIVERABLE)

    def end_message(self, message: AcceptedMessage, status: FinalStatus, retry_after_ms: int = 0) -> None:
        """Record the final answer of the message and queue its notice."""
        self.count_outcome(message.message_class, rejected=status is FinalStatus.DEFERRED)
        if self._log_throttle.permits_line():
            log.info(
                "message ended: message=%s status=%s attempts=%d", message.id, status.value, message.attempts
            )
        try:
            self._journal.record_final(message.number, status, retry_after_ms)
        except OSError as error:  # the notice is sent all the same: a second one after a restart does no harm
            log.error("final answer not recorded in the journal: message=%s error=%s", message.id, error)
            self._journal.mark_final(message, status, retry_after_ms)
        self.cancel_deadline_timer(message.number)
        self.on_message_ended(message.number)
        self.enqueue_notice(message.number, message.id, status, retry_after_ms)

    def enqueue_notice(self, number: int, message_id: str, status: FinalStatus, retry_after_ms: int) -> None:
        """Queue the notice of a final answer, which is sent to discovery."""
        assert self.notifier is not None
        self.notifier.enqueue(FinalNotice(number, message_id, status.value, retry_after_ms))

    def count_outcome(self, message_class: int, *, rejected: bool) -> None:
        """Count a message as rejected or as failed in the metrics."""
        if rejected:
            self._metrics.record_rejected(message_class)
        else:
            self._metrics.record_failed(message_class)

    def start_deadline_timer(self, message: AcceptedMessage) -> None:
        """Start the timer that ends the message OVERDUE_GRACE_S after its deadline."""
        delay_s = max(0.0, message.deadline_s + OVERDUE_GRACE_S - clock.now_s())
        self.deadline_timers[message.number] = self._loop.call_later(
            delay_s, self._end_overdue_message, message.number
        )

    def _end_overdue_message(self, number: int) -> None:
        message = self._journal.messages.get(number)
        if self._events.paused:
            self.deadline_timers[number] = self._loop.call_later(
                OVERDUE_GRACE_S, self._end_overdue_message, number
            )
        elif message and not message.final_status:
            log.error("overdue message ended: message=%s", message.id)
            self._events.add(MessageWithdrawn(number))
            self.end_message(message, FinalStatus.UNDELIVERABLE)

    def cancel_deadline_timer(self, number: int) -> None:
        """Cancel the deadline timer of a message that has ended."""
        if timer := self.deadline_timers.pop(number, None):
            timer.cancel()

    def cancel_all_deadline_timers(self) -> None:
        """Cancel the deadline timers of all messages, as another process owns the messages now."""
        for timer in self.deadline_timers.values():
            timer.cancel()
        self.deadline_timers.clear()

    def record_notices_accepted(self, numbers: list[int]) -> None:
        """Record that discovery accepted the notices of these messages, which completes them."""
        record_best_effort(self._journal.record_completed, numbers)


def record_best_effort(write: Callable[[list[int]], None], numbers: list[int]) -> None:
    """Call ``write`` with the message numbers; log an OSError instead of raising it.

    If the record is lost, a restart makes the safer assumption: that the message is not completed yet, or
    that its latest attempt was possibly applied.
    """
    try:
        write(numbers)
    except OSError as error:
        log.error("best-effort record not written to the journal: messages=%d error=%s", len(numbers), error)

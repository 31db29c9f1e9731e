"""Messages that clients submit: checked, put to the policy, recorded, and only then answered."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

from message_relay.model import (
    FailMessage,
    Idempotency,
    MessageSubmitted,
    MessageWithdrawn,
    RejectMessage,
    Settings,
)
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.server import clock
from message_relay.server.attempt_runner import AttemptRunner
from message_relay.server.endpoint_directory import EndpointDirectory
from message_relay.server.event_queue import EventQueue
from message_relay.server.final_answers import FinalAnswers
from message_relay.server.journal import AcceptedMessage, FinalStatus, Journal
from message_relay.server.metrics import Metrics
from message_relay.server.resp import replies
from message_relay.server.resp.commands import InvalidRequestError, SubmitRequest
from message_relay.server.resp.connection import ReplyHandle

MAX_LIFETIME_DEADLINES = (
    10  # a message that wants to live longer than so many deadlines of its class is an error
)
log = logging.getLogger(__name__)


@dataclass(slots=True)
class PendingSubmission:
    """A message that the policy has not seen yet; it is submitted again on another connection at times."""

    message: AcceptedMessage
    replies: list[ReplyHandle]

    def answer(self, text: bytes) -> None:
        """Answer each of its submissions."""
        for reply in self.replies:
            reply.send(text)


def submitted_event(message: AcceptedMessage, *, restored: bool = False) -> MessageSubmitted:
    """The event that tells the policy of a message."""
    applied_at_s = message.possibly_applied_at_s
    return MessageSubmitted(
        message=message.number,
        message_class=message.message_class,
        destination=message.destination,
        deadline_us=clock.monotonic_at_us(message.deadline_s),
        tenant=message.tenant,
        order_key=message.order_key,
        resubmitted=message.resubmitted,
        restored=restored,
        attempts=message.attempts,
        possibly_applied_at_us=clock.monotonic_at_us(applied_at_s) if applied_at_s else -1,
        possibly_applied_zone=message.possibly_applied_zone,
    )


class Submissions:
    """Takes messages from clients."""

    def __init__(
        self,
        *,
        settings: Settings,
        policy: DeliveryPolicy,
        journal: Journal,
        events: EventQueue,
        directory: EndpointDirectory,
        attempts: AttemptRunner,
        answers: FinalAnswers,
        metrics: Metrics,
    ) -> None:
        self.pending: dict[int, PendingSubmission] = {}
        self.pending_ids: dict[str, int] = {}
        self.is_closed: Callable[[], bool] = lambda: False  # whether nothing new is accepted
        self.last_number = 0
        self._settings = settings
        self._class_numbers = {item.name: number for number, item in enumerate(settings.classes)}
        self._tenant_numbers = {tenant.name: number for number, tenant in enumerate(settings.tenants)}
        self._policy = policy
        self._journal = journal
        self._events = events
        self._directory = directory
        self._attempts = attempts
        self._answers = answers
        self._metrics = metrics

    def submit(self, request: SubmitRequest, reply: ReplyHandle) -> None:
        """A client submits a message; it is answered in the tick that follows. InvalidRequestError if it is
        not a message of this relay's.
        """
        message_class, tenant = self._check(request)
        if self._events.paused:
            reply.send(replies.busy(self._policy.capacity_retry_after_us()))
            return
        if request.message_id in self.pending_ids:
            self.pending[self.pending_ids[request.message_id]].replies.append(reply)
            return
        if self._is_known(request.message_id):
            reply.send(replies.OK)  # submitted again on a new connection: it is, or was, taken care of
            return
        open_messages = self._journal.open_count + len(self.pending)
        if self.is_closed() or open_messages >= self._settings.max_open_messages:
            self._metrics.record_rejected(message_class)
            reply.send(replies.busy(self._policy.capacity_retry_after_us()))
            return
        self._add(self._new_message(request, message_class, tenant), reply)

    def _is_known(self, message_id: str) -> bool:
        return message_id in self._journal.numbers_by_id or message_id in self._journal.finished_ids

    def _check(self, request: SubmitRequest) -> tuple[int, int]:
        """The numbers of its class and tenant."""
        class_number = self._class_numbers.get(request.class_name)
        if class_number is None:
            raise InvalidRequestError("c: no such class")
        tenant = self._tenant_numbers.get(request.tenant_name or "", -1) if self._tenant_numbers else 0
        if tenant < 0:
            raise InvalidRequestError("t: no such tenant")
        message_class = self._settings.classes[class_number]
        if message_class.idempotency is Idempotency.KEYED and not request.idempotency_key:
            raise InvalidRequestError("k: lacks, and the class is keyed")
        if request.lifetime_ms * 1000 > MAX_LIFETIME_DEADLINES * message_class.deadline_us:
            raise InvalidRequestError("d: far over the deadline of the class")
        if self._directory.destinations and request.destination not in self._directory.destinations:
            raise InvalidRequestError("dest: no such destination")
        return class_number, tenant

    def _new_message(self, request: SubmitRequest, message_class: int, tenant: int) -> AcceptedMessage:
        deadline_s = time.time() + request.lifetime_ms / 1e3
        self.last_number += 1
        return AcceptedMessage(
            number=self.last_number,
            id=request.message_id,
            message_class=message_class,
            tenant=tenant,
            destination=request.destination,
            idempotency_key=request.idempotency_key,
            deadline_s=deadline_s,
            resubmitted=request.resubmitted,
            body=request.body,
            order_key=request.order_key,
            earlier_attempt_at_s=self._journal.key_applied_at_s(request.idempotency_key),
            earlier_attempt_zone=self._journal.key_applied_zone(request.idempotency_key),
        )

    def _add(self, message: AcceptedMessage, reply: ReplyHandle) -> None:
        self._replace_older(message)
        self.pending[message.number] = PendingSubmission(message, [reply])
        self.pending_ids[message.id] = message.number
        self._events.add(submitted_event(message))

    def _replace_older(self, message: AcceptedMessage) -> None:
        """A key that is still open here comes again only from a client that gave the older message up."""
        number = self._journal.open_number_by_key.get(message.idempotency_key, 0)
        older = self._journal.messages.get(number)
        if older is None:
            return
        if not message.earlier_attempt_at_s:
            message.earlier_attempt_at_s = older.possibly_applied_at_s
            message.earlier_attempt_zone = older.possibly_applied_zone
        self._events.add(MessageWithdrawn(older.number))
        last_attempt = self._attempts.next_attempts.get(older.number, 0) - 1
        self._answers.end(older, FinalStatus.DEFERRED)
        self._attempts.cancel(older.number, last_attempt)

    def take_pending(self) -> dict[int, PendingSubmission]:
        """What the policy sees in this tick, by number."""
        pending, self.pending = self.pending, {}
        self.pending_ids.clear()
        return pending

    def reject(self, pending: PendingSubmission, action: RejectMessage | FailMessage) -> None:
        """The policy ended the message at once: it is not accepted."""
        rejection = action if isinstance(action, RejectMessage) else None
        text = replies.busy(rejection.retry_after_us) if rejection else replies.FAILED
        self._answers.count(pending.message.message_class, rejected=rejection is not None)
        pending.answer(text)

    def accept(self, pending: PendingSubmission) -> None:
        """Record the message, then say so."""
        message = pending.message
        if not any(reply.client_connected for reply in pending.replies):
            self._events.add(MessageWithdrawn(message.number))  # nobody would hear that it was accepted
            return
        try:
            self._journal.accept(message)
        except OSError as error:
            log.error("message not accepted: message=%s error=%s", message.id, error)
            self._metrics.record_rejected(message.message_class)
            self._events.add(MessageWithdrawn(message.number))
            pending.answer(replies.busy(self._policy.capacity_retry_after_us()))
            return
        self._answers.watch_deadline(message)
        pending.answer(replies.OK)

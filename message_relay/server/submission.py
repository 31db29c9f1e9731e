"""Messages that clients submit: validated, passed to the policy, recorded in the journal, then answered."""

from __future__ import annotations

import logging
from collections import Counter
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
from message_relay.server.log_output import LogThrottle
from message_relay.server.memory_limits import MemoryLimits
from message_relay.server.metrics import Metrics
from message_relay.server.refusal import RefusalReason
from message_relay.server.resp import replies
from message_relay.server.resp.commands import InvalidRequestError, SubmitRequest
from message_relay.server.resp.reply_handle import ReplyHandle

BYTES_PER_MESSAGE = 1024  # memory of an open message besides its body, id and key
MAX_LIFETIME_DEADLINE_RATIO = 10  # limit of a message's lifetime, in multiples of the deadline of its class
log = logging.getLogger(__name__)


@dataclass(slots=True)
class PendingSubmission:
    """A message that was submitted since the last tick and waits for the policy's decision.

    Clients may submit it again in that time: each submission gets the same reply.
    """

    message: AcceptedMessage
    replies: list[ReplyHandle]

    @property
    def client_connected(self) -> bool:
        """Whether at least one of its clients can receive the reply."""
        return any(reply.client_connected for reply in self.replies)

    def answer(self, text: bytes) -> None:
        """Send the reply to each submission of the message."""
        for reply in self.replies:
            reply.send(text)


def submitted_event(message: AcceptedMessage, *, restored: bool = False) -> MessageSubmitted:
    """Return the event that reports the message to the policy."""
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
    """Accepts or rejects the messages that clients submit."""

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
        memory_limits: MemoryLimits,
    ) -> None:
        self._memory_limits = memory_limits
        self._pending_bytes = 0  # bodies of the pending messages
        self.pending: dict[int, PendingSubmission] = {}
        self.pending_ids: dict[str, int] = {}  # the keys of `pending` by message id
        # Set by the server: returns whether new messages are rejected, whatever the policy decides.
        self.rejects_new_messages: Callable[[], bool] = lambda: False
        self.last_number = 0  # number of the latest message
        self.refusal_counts: Counter[RefusalReason] = Counter()
        self._log_throttle = LogThrottle()
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
        """Submit a client's message to the policy; the reply is sent in the next tick.

        Replies at once if the message was accepted before or cannot be accepted now; if it is pending, this
        submission gets the same reply. Raises InvalidRequestError if its class, tenant, key or lifetime is
        not valid. A destination that is not listed is no such error: the list may come after its clients.
        """
        message_class, tenant = self._validate(request)
        if not self._is_listed(request.destination):
            self._count_refusal(request.message_id, RefusalReason.DESTINATION)
            text = f"dest: must be a destination listed by discovery, got {request.destination}"
            reply.send(replies.error(text))
            return
        if request.message_id in self.pending_ids:
            self.pending[self.pending_ids[request.message_id]].replies.append(reply)
            return
        if self._is_duplicate(request.message_id):
            # Accepted before, so it is acknowledged but not added again.
            reply.send(replies.OK)
            return
        if self._events.paused:
            self._refuse(request.message_id, reply, RefusalReason.HANDOVER)
            return
        reason = self._refusal_reason(request)
        if reason is not None:
            self._metrics.record_rejected(message_class)
            self._refuse(request.message_id, reply, reason)
            return
        message = self._new_message(request, message_class, tenant, reply.waited_s)
        self._enqueue(message, reply)

    def _refusal_reason(self, request: SubmitRequest) -> RefusalReason | None:
        """Return why no message is accepted now, whatever the policy decides; None if one may be."""
        if self.rejects_new_messages():
            return RefusalReason.QUIESCED
        if self._journal.open_count + len(self.pending) >= self._settings.max_open_messages:
            return RefusalReason.OPEN_MESSAGES
        if request.body_discarded or not self._fits_memory(request):
            return RefusalReason.MEMORY
        self._journal.expire()
        if self._journal.identifier_memory_bytes > self._memory_limits.identifier_bytes:
            return RefusalReason.IDENTIFIERS
        return None

    def _fits_memory(self, request: SubmitRequest) -> bool:
        """Return whether the message fits into the memory for open and pending messages."""
        return self.message_bytes + len(request.body) + BYTES_PER_MESSAGE <= self._memory_limits.message_bytes

    @property
    def message_bytes(self) -> int:
        """Memory of the open messages and of the pending ones, in bytes."""
        message_count = len(self._journal.messages) + len(self.pending)
        return self._journal.open_bytes + self._pending_bytes + message_count * BYTES_PER_MESSAGE

    def refuse_discarded(self, reply: ReplyHandle) -> None:
        """Refuse a request whose content was discarded while it was received."""
        self._refuse("", reply, RefusalReason.MEMORY)

    def _refuse(self, message_id: str, reply: ReplyHandle, reason: RefusalReason) -> None:
        self._count_refusal(message_id, reason)
        reply.send(replies.busy(self._policy.capacity_retry_after_us()))

    def _count_refusal(self, message_id: str, reason: RefusalReason) -> None:
        self.refusal_counts[reason] += 1
        if self._log_throttle.permits_line():
            log.info("message refused: message=%s reason=%s", message_id, reason.value)

    def _is_duplicate(self, message_id: str) -> bool:
        """Return whether a message with this id was accepted before."""
        return message_id in self._journal.numbers_by_id or message_id in self._journal.completed_ids

    def _validate(self, request: SubmitRequest) -> tuple[int, int]:
        """Return the numbers of the message's class and tenant. Raises InvalidRequestError."""
        class_number = self._class_numbers.get(request.class_name)
        if class_number is None:
            raise InvalidRequestError(
                f"c: must be the name of a configured class, got {request.class_name!r:.80}"
            )
        tenant = self._tenant_numbers.get(request.tenant_name or "", -1) if self._tenant_numbers else 0
        if tenant < 0:
            raise InvalidRequestError(
                f"t: must be the name of a configured tenant, got {request.tenant_name!r:.80}"
            )
        message_class = self._settings.classes[class_number]
        if message_class.idempotency is Idempotency.KEYED and not request.idempotency_key:
            raise InvalidRequestError(f"k: must be set for the keyed class {request.class_name!r:.80}")
        if request.lifetime_ms * 1000 > MAX_LIFETIME_DEADLINE_RATIO * message_class.deadline_us:
            raise InvalidRequestError(
                f"d: must be at most {MAX_LIFETIME_DEADLINE_RATIO} times the class deadline"
                f" of {message_class.deadline_us // 1000} ms, got {request.lifetime_ms} ms"
            )
        return class_number, tenant

    def _is_listed(self, destination: int) -> bool:
        """Return whether discovery has listed the destination; before the first list, any may be."""
        return not self._directory.destinations or destination in self._directory.destinations

    def _new_message(
        self, request: SubmitRequest, message_class: int, tenant: int, waited_s: float
    ) -> AcceptedMessage:
        deadline_s = clock.now_s() + request.lifetime_ms / 1e3 - waited_s
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

    def _enqueue(self, message: AcceptedMessage, reply: ReplyHandle) -> None:
        self._withdraw_older_message(message)
        self._pending_bytes += len(message.body)
        self.pending[message.number] = PendingSubmission(message, [reply])
        self.pending_ids[message.id] = message.number
        self._events.add(submitted_event(message))

    def _withdraw_older_message(self, message: AcceptedMessage) -> None:
        """Withdraw the open message that has the same idempotency key, if there is one.

        A client uses the key of an open message again only after it has stopped waiting for that message. The
        new message takes over the time and zone of the older one's possibly applied attempt.
        """
        number = self._journal.open_number_by_key.get(message.idempotency_key, 0)
        older_message = self._journal.messages.get(number)
        if older_message is None:
            return
        if not message.earlier_attempt_at_s:
            message.earlier_attempt_at_s = older_message.possibly_applied_at_s
            message.earlier_attempt_zone = older_message.possibly_applied_zone
        self._events.add(MessageWithdrawn(older_message.number))
        last_attempt = self._attempts.next_attempts.get(older_message.number, 0) - 1
        self._answers.end_message(older_message, FinalStatus.DEFERRED)
        self._attempts.cancel(older_message.number, last_attempt)

    def take_pending(self) -> dict[int, PendingSubmission]:
        """Return the pending submissions by message number and start an empty set for the next tick."""
        pending, self.pending = self.pending, {}
        self.pending_ids.clear()
        self._pending_bytes = 0
        return pending

    def reject(self, pending: PendingSubmission, action: RejectMessage | FailMessage) -> None:
        """Reply to a message that the policy rejected or failed at once; the journal does not record it."""
        rejection = action if isinstance(action, RejectMessage) else None
        text = replies.busy(rejection.retry_after_us) if rejection else replies.FAILED
        self._count_refusal(pending.message.id, RefusalReason.POLICY)
        self._answers.count_outcome(pending.message.message_class, rejected=rejection is not None)
        pending.answer(text)

    def accept(self, pending: PendingSubmission) -> None:
        """Record the message in the journal, then send the reply.

        The message is withdrawn instead if its clients have disconnected or if it cannot be recorded. If the
        clients turn out to have left before the reply, its acceptance is revoked.
        """
        message = pending.message
        if not pending.client_connected:
            self._events.add(MessageWithdrawn(message.number))
            self._count_refusal(message.id, RefusalReason.CLIENT_LEFT)
            return
        try:
            self._journal.accept(message)
        except OSError as error:
            log.error("message not accepted: message=%s error=%s", message.id, error)
            self._count_refusal(message.id, RefusalReason.JOURNAL)
            self._metrics.record_rejected(message.message_class)
            self._events.add(MessageWithdrawn(message.number))
            pending.answer(replies.busy(self._policy.capacity_retry_after_us()))
            return
        self._answers.start_deadline_timer(message)
        clients_stopped_sending = all(reply.client_stopped_sending for reply in pending.replies)
        pending.answer(replies.OK)
        if clients_stopped_sending and all(reply.connection_failed for reply in pending.replies):
            self._revoke(message)

    def _revoke(self, message: AcceptedMessage) -> None:
        """Revoke the acceptance of a message whose clients had left before the reply was sent.

        A reply resets a connection that the client has closed. One that is reset for another reason may have
        carried the reply to its client, and the message stays accepted.
        """
        try:
            self._journal.revoke(message.number)
        except OSError as error:
            log.error("acceptance not revoked: message=%s error=%s", message.id, error)
            return
        self._answers.cancel_deadline_timer(message.number)
        self._events.add(MessageWithdrawn(message.number))
        self._count_refusal(message.id, RefusalReason.CLIENT_LEFT)

"""The current state of the journal in memory, built by applying its records in order."""

from __future__ import annotations

from collections.abc import Iterator

from message_relay.server import clock
from message_relay.server.journal.expiring_index import STORED_BYTES_PER_ENTRY, ExpiringIndex
from message_relay.server.journal.records import (
    AcceptanceRevoked,
    AcceptedMessage,
    AttemptNotApplied,
    AttemptStarted,
    EndpointCordonChanged,
    FinalAnswerRecorded,
    FinalStatus,
    JournalRecord,
    JournalSummary,
    MessageAccepted,
    MessagesCompleted,
)

# Time for which the id of a completed message is stored after its deadline, or after the retention time.
COMPLETED_ID_GRACE_S = 2.0
KEY_GRACE_S = 2.0  # time for which an idempotency key is stored after its window
STORED_BYTES_PER_CORDON = 32  # upper bound in a compacted file, without the uid itself
STORED_BYTES_BASE = 512  # size of an empty compacted file, rounded up to a block


def _cordon_bytes(uid: str) -> int:
    return len(uid.encode()) + STORED_BYTES_PER_CORDON


class JournalIndex:
    """Open messages, pending final answers, cordons, ids of completed messages, and idempotency keys.

    Each record is applied after it was written, and again, in the order of the file, when a restart restores
    the journal. Both give the same state.
    """

    def __init__(self, key_window_s: float, id_retention_s: float = 0.0) -> None:
        self.messages: dict[int, AcceptedMessage] = {}
        self.numbers_by_id: dict[str, int] = {}
        self.open_count = 0  # open messages: those without an outcome yet
        self.open_number_by_key: dict[str, int] = {}  # open messages only
        self.open_bytes = 0  # upper bound of the size of all `messages` in a compacted file
        self.last_number = 0  # highest message number that was ever accepted
        self.cordoned: dict[str, None] = {}  # uids, the oldest cordon first
        self.cordon_bytes = 0  # upper bound of the cordons' size in a compacted file
        self.completed_ids = ExpiringIndex()
        self.idempotency_keys = ExpiringIndex()  # start and zone of the key's first possibly applied attempt
        self._id_retention_s = id_retention_s  # from the completion, if the deadline is earlier
        self._key_lifetime_s = key_window_s + KEY_GRACE_S

    @property
    def live_bytes(self) -> int:
        """Upper bound of the size of a compacted file in bytes.

        The bound includes what the later records of the stored messages add: no record but a new message or
        a cordon raises it, see `growth_bytes`.
        """
        identifier_bytes = self.completed_ids.stored_bytes + self.idempotency_keys.stored_bytes
        return self.open_bytes + identifier_bytes + self.cordon_bytes + STORED_BYTES_BASE

    def growth_bytes(self, record: JournalRecord) -> int:
        """Return by how many bytes, at most, the record will raise `live_bytes` when it is applied."""
        match record:
            case MessageAccepted(message):
                key = message.idempotency_key
                return message.stored_bytes + (len(key) + STORED_BYTES_PER_ENTRY if key else 0)
            case EndpointCordonChanged(uid, True):
                return _cordon_bytes(uid)
            case _:
                return 0

    def key_applied_at_s(self, key: str) -> float:
        """Return the start of the key's first possibly applied attempt, 0 if none is stored or it expired.

        The time is in wall clock seconds.
        """
        at_s = self.idempotency_keys.time_of(key)
        return at_s if clock.now_s() - at_s < self._key_lifetime_s else 0.0

    def expire(self, now_s: float) -> None:
        """Remove the ids of completed messages and the idempotency keys that have expired."""
        self.completed_ids.expire(now_s)
        self.idempotency_keys.expire(now_s)

    def apply(self, record: JournalRecord) -> None:
        """Apply one record; a record about a message that is no longer stored has no effect."""
        match record:
            case MessageAccepted():
                self._add_message(record.message)
            case AttemptStarted():
                self._start_attempt(record)
            case AttemptNotApplied():
                self._revoke_attempt(record)
            case MessagesCompleted():
                self._complete(record)
            case FinalAnswerRecorded():
                message = self.messages.get(record.number)
                if message is not None:
                    self.mark_final(message, record.status, record.retry_after_ms)
            case AcceptanceRevoked():
                self._remove_message(record.number)
            case EndpointCordonChanged():
                self._change_cordon(record)
            case JournalSummary():
                self._restore_summary(record)

    def mark_final(self, message: AcceptedMessage, status: FinalStatus, retry_after_ms: int) -> None:
        """Store the message's final answer and remove its body, which is not sent any more."""
        self._remove_from_open(message)
        self.open_bytes -= len(message.body)
        message.final_status = status
        message.retry_after_ms = retry_after_ms
        message.body = b""

    def drop_messages(self) -> None:
        """Remove all messages from memory after another process became the owner; other state stays."""
        self.messages.clear()
        self.open_count = 0

    def compacted_records(self) -> Iterator[JournalRecord]:
        """Yield the records of a compacted file in their order: summary, cordons, messages."""
        yield self.summary()
        for uid in self.cordoned:
            yield EndpointCordonChanged(uid, True)
        for message in self.messages.values():
            yield MessageAccepted(message)

    def summary(self) -> JournalSummary:
        """Return the record that holds the ids of completed messages and the idempotency keys."""
        completed_ids = {
            identifier: entry.expires_at_s for identifier, entry in self.completed_ids.entries.items()
        }
        keys = {
            identifier: (entry.at_s, entry.zone)
            for identifier, entry in self.idempotency_keys.entries.items()
        }
        return JournalSummary(self.last_number, completed_ids, keys)

    def _add_message(self, message: AcceptedMessage) -> None:
        self.messages[message.number] = message
        self.numbers_by_id[message.id] = message.number
        self.last_number = max(self.last_number, message.number)
        self.open_bytes += message.stored_bytes
        if message.final_status is not None:
            return
        self.open_count += 1
        if message.idempotency_key:
            self.open_number_by_key[message.idempotency_key] = message.number
            self.idempotency_keys.reserve(message.idempotency_key)  # its first attempt stores the key

    def _start_attempt(self, record: AttemptStarted) -> None:
        for number in record.numbers:
            message = self.messages.get(number)
            if message is None:
                continue
            # Both properties depend on the earlier and the latest attempt: read them before either changes.
            first_possibly_applied = message.possibly_applied_at_s, message.possibly_applied_zone
            message.earlier_attempt_at_s, message.earlier_attempt_zone = first_possibly_applied
            message.attempts += 1
            message.latest_attempt_at_s = record.at_s
            message.latest_attempt_zone = record.zone
            if message.idempotency_key:
                self._add_key(
                    message.idempotency_key, message.possibly_applied_at_s, message.possibly_applied_zone
                )

    def _revoke_attempt(self, record: AttemptNotApplied) -> None:
        message = self.messages.get(record.number)
        if message is None:
            return
        message.latest_attempt_at_s = 0.0
        if message.idempotency_key and not message.earlier_attempt_at_s:
            self.idempotency_keys.remove(message.idempotency_key)

    def _complete(self, record: MessagesCompleted) -> None:
        for number in record.numbers:
            message = self._remove_message(number)
            if message is not None:
                expires_at_s = max(message.deadline_s, record.at_s + self._id_retention_s)
                self.completed_ids.add(message.id, record.at_s, expires_at_s + COMPLETED_ID_GRACE_S)

    def _remove_message(self, number: int) -> AcceptedMessage | None:
        """Remove the message and return it, None if it is not stored."""
        message = self.messages.pop(number, None)
        if message is not None:
            self.numbers_by_id.pop(message.id, None)
            self._remove_from_open(message)
            self.open_bytes -= message.stored_bytes
        return message

    def _remove_from_open(self, message: AcceptedMessage) -> None:
        """Remove the message from the open messages, unless its final answer has done that already.

        Must be called before the final status is set.
        """
        if message.final_status is not None:
            return
        self.open_count -= 1
        if message.idempotency_key:
            self.idempotency_keys.release(message.idempotency_key)
        # A newer message with the same key may have replaced this one in the mapping.
        if self.open_number_by_key.get(message.idempotency_key) == message.number:
            del self.open_number_by_key[message.idempotency_key]

    def _change_cordon(self, record: EndpointCordonChanged) -> None:
        if record.cordoned == (record.uid in self.cordoned):
            return
        if record.cordoned:
            self.cordoned[record.uid] = None
            self.cordon_bytes += _cordon_bytes(record.uid)
        else:
            del self.cordoned[record.uid]
            self.cordon_bytes -= _cordon_bytes(record.uid)

    def _restore_summary(self, record: JournalSummary) -> None:
        self.last_number = max(self.last_number, record.last_number)
        for message_id, expires_at_s in record.completed_ids.items():
            self.completed_ids.add(message_id, expires_at_s, expires_at_s)
        for key, (at_s, zone) in record.idempotency_keys.items():
            self._add_key(key, at_s, zone)

    def _add_key(self, key: str, at_s: float, zone: int) -> None:
        if not self.key_applied_at_s(key):
            self.idempotency_keys.add(key, at_s, at_s + self._key_lifetime_s, zone)

"""The journal of accepted messages: an append-only file, and in memory what its records add up to.

Each record is written before the effect that it records, and applied in memory after it is written. A restart
applies the same records. Compaction replaces the file by one that holds only what is still needed.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

from message_relay.server.journal.errors import JournalFullError
from message_relay.server.journal.expiring_index import ExpiringIndex
from message_relay.server.journal.file import BLOCK_BYTES, JournalFile, round_up_to_blocks
from message_relay.server.journal.index import JournalIndex
from message_relay.server.journal.records import (
    UNKNOWN_ZONE,
    AcceptedMessage,
    AttemptNotApplied,
    AttemptStarted,
    EndpointCordonChanged,
    FinalAnswerRecorded,
    FinalStatus,
    JournalRecord,
    MessageAccepted,
    MessagesCompleted,
    decode_record,
    encode_frame,
)

SPARE_SHARE = 1 / 8  # of the limit is kept free: near the limit every record would need a compaction
EXPIRY_INTERVAL_S = 1.0  # at least this long between two expiries of ids and keys
MIN_COMPACTED_BYTES = 1 << 17  # a file under this size is not worth compacting
COMPACTION_FACTOR = 4  # a file this many times as large as what is still needed is compacted


class Journal:
    """The messages that the relay has accepted, and what is still known of those that are finished.

    One process writes to it at a time: the one that holds the lock. Methods that record something raise
    `JournalFullError` if the limit or the disk allows no more, `JournalError` if this process does not own
    the journal, and `OSError` if the write failed; nothing is recorded then.
    """

    def __init__(self, folder: Path, limit_bytes: int, key_window_s: float = 0.0) -> None:
        self.limit_bytes = limit_bytes
        self._file = JournalFile(folder)
        self._index = JournalIndex(key_window_s)
        self._expired_at_s = 0.0

    # What the records add up to, to be read only.

    @property
    def messages(self) -> dict[int, AcceptedMessage]:
        """The messages for which an outcome or a notice is owed, by their numbers."""
        return self._index.messages

    @property
    def numbers_by_id(self) -> dict[str, int]:
        """The numbers of `messages` by their ids."""
        return self._index.numbers_by_id

    @property
    def open_count(self) -> int:
        """How many of `messages` have no outcome yet."""
        return self._index.open_count

    @property
    def open_number_by_key(self) -> dict[str, int]:
        """The numbers of the messages without an outcome, by their idempotency keys."""
        return self._index.open_number_by_key

    @property
    def cordoned(self) -> dict[str, None]:
        """The uids of cordoned endpoints, the oldest cordon first."""
        return self._index.cordoned

    @property
    def finished_ids(self) -> ExpiringIndex:
        """The ids of finished messages, for as long as they may be submitted again."""
        return self._index.finished_ids

    @property
    def idempotency_keys(self) -> ExpiringIndex:
        """The keys with an attempt that was possibly applied, by the start of the first such attempt."""
        return self._index.idempotency_keys

    @property
    def last_number(self) -> int:
        """The highest message number so far."""
        return self._index.last_number

    @property
    def open_bytes(self) -> int:
        """Upper bound of the bytes that `messages` take in a compacted file."""
        return self._index.open_bytes

    @property
    def live_bytes(self) -> int:
        """Upper bound of the bytes that a compacted file would take."""
        return self._index.live_bytes

    def key_applied_at_s(self, key: str) -> float:
        """Return when the key's first possibly applied attempt started, 0 if none is known."""
        return self._index.key_applied_at_s(key)

    def key_applied_zone(self, key: str) -> int:
        """Return the zone of the key's first possibly applied attempt, -1 if it is not known."""
        return self._index.idempotency_keys.zone_of(key)

    # Ownership

    def acquire(self) -> Journal:
        """Become the owner and restore what the file holds; returns the journal itself.

        Raises `JournalLockedError` if another process is the owner.
        """
        for values in self._file.acquire():
            record = decode_record(values)
            if record is not None:
                self._index.apply(record)
        return self

    def reacquire(self) -> None:
        """Become the owner again, with what is in memory.

        Raises `JournalLockedError` if another process is the owner or has written to the file.
        """
        self._file.reacquire()

    def close(self) -> None:
        """Release the journal: from here on another process may own it."""
        self._file.close()

    def forget_messages(self) -> None:
        """Drop the messages from memory, as another process owns them now."""
        self._index.forget_messages()

    # Records

    def accept(self, message: AcceptedMessage) -> None:
        """Record that the message is accepted. The journal owns the object from then on."""
        if not self._has_room_for(message.stored_bytes):
            raise JournalFullError(f"no room for {message.stored_bytes} bytes")
        self._write(MessageAccepted(message))

    def record_attempt(self, numbers: Sequence[int], at_s: float, zone: int = UNKNOWN_ZONE) -> None:
        """Record that an attempt of these messages is about to be written."""
        self._write(AttemptStarted(numbers, at_s, zone))

    def record_not_applied(self, number: int) -> None:
        """Record that the message's latest attempt is known not to have been applied."""
        self._write(AttemptNotApplied(number))

    def record_completed(self, numbers: Sequence[int]) -> None:
        """Record that nothing more is owed: delivered, withdrawn, or the notice was accepted."""
        self._write(MessagesCompleted(numbers, time.time()))

    def record_final(self, number: int, status: FinalStatus, retry_after_ms: int) -> None:
        """Record the message's final answer, which is pending until discovery accepts it."""
        self._write(FinalAnswerRecorded(number, status, retry_after_ms))

    def record_cordon(self, uid: str, cordoned: bool) -> None:
        """Record that operators cordoned an endpoint or lifted its cordon."""
        self._write(EndpointCordonChanged(uid, cordoned))

    def mark_final(self, message: AcceptedMessage, status: FinalStatus, retry_after_ms: int) -> None:
        """Give the message its outcome in memory alone: for when it could not be recorded."""
        self._index.mark_final(message, status, retry_after_ms)

    def compact(self) -> None:
        """Replace the file by one with only what is still needed, if both fit beside each other."""
        data = b"".join(encode_frame(record.to_stored()) for record in self._index.compacted_records())
        both_bytes = round_up_to_blocks(self._file.size_bytes) + round_up_to_blocks(len(data))
        if both_bytes <= self.limit_bytes:
            self._file.replace(data)

    def _write(self, record: JournalRecord) -> None:
        self._file.require_owned()
        data = encode_frame(record.to_stored())
        self._expire()
        if self._needs_compaction(len(data)):
            self.compact()
        if round_up_to_blocks(self._file.size_bytes + len(data)) > self.limit_bytes:
            raise JournalFullError("the disk limit is reached")
        self._file.append(data)
        self._index.apply(record)

    def _expire(self) -> None:
        now_s = time.time()
        if now_s - self._expired_at_s > EXPIRY_INTERVAL_S:
            self._expired_at_s = now_s
            self._index.expire(now_s)

    def _has_room_for(self, more_bytes: int) -> bool:
        """Whether two copies of all that is needed, and of this, would stay under the limit."""
        two_copies = 2 * (self.live_bytes + more_bytes)
        return round_up_to_blocks(int(two_copies + SPARE_SHARE * self.limit_bytes)) <= self.limit_bytes

    def _needs_compaction(self, more_bytes: int) -> bool:
        size_bytes = self._file.size_bytes + more_bytes
        live_bytes = self.live_bytes
        if size_bytes > max(MIN_COMPACTED_BYTES, COMPACTION_FACTOR * live_bytes):
            return True
        # A compacted copy must always fit beside the file.
        both_bytes = round_up_to_blocks(size_bytes) + round_up_to_blocks(live_bytes) + BLOCK_BYTES
        return both_bytes > self.limit_bytes

"""The journal of accepted messages: an append-only file, and the state in memory that its records give.

A record is written to the file first and applied in memory afterwards. A restart reads the file and applies
the same records. The records are written at these points:

- `MessageAccepted` before the client receives +OK;
- `AttemptStarted` before the first byte of an attempt is written to an endpoint;
- `AttemptNotApplied` when the outcome of an attempt shows that the endpoint did not apply the message;
- `FinalAnswerRecorded` before the final answer is sent to discovery;
- `MessagesCompleted` when a response ended the message, or discovery accepted its final answer;
- `EndpointCordonChanged` when operators cordon an endpoint or remove its cordon;
- `AcceptanceRevoked` when the client left before it could receive +OK, and no attempt has started;
- `JournalSummary` as the first record of a compacted file.

At a restart, an attempt is possibly applied if the journal has its start but no outcome: neither
`AttemptNotApplied` nor `MessagesCompleted` follows. The endpoint may or may not have executed it, so the
policy sends the message again only if a repetition is safe.

Compaction replaces the file by one that holds only the current state. A record is written only if a
compaction stays possible after it, see `disk_budget`.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from message_relay.server import clock
from message_relay.server.journal.disk_budget import DiskBudget
from message_relay.server.journal.errors import JournalFullError
from message_relay.server.journal.expiring_index import MEMORY_BYTES_PER_ENTRY, ExpiringIndex
from message_relay.server.journal.file import JournalFile
from message_relay.server.journal.frames import (
    Frame,
    FrameMark,
    StoredValues,
    decode_values,
    encode_frame,
)
from message_relay.server.journal.index import JournalIndex
from message_relay.server.journal.records import (
    UNKNOWN_ZONE,
    AcceptanceRevoked,
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
)

EXPIRY_INTERVAL_S = 1.0  # minimum interval between two expiries of ids and keys
MIN_COMPACTED_BYTES = 1 << 17  # smaller files are compacted only if the disk limit requires it
COMPACTION_FACTOR = 4  # a file larger than this multiple of its live data is compacted
COMPACTION_RETRY_INTERVAL_S = 0.1  # after a compaction that failed


class Journal:
    """Records accepted messages until they are completed, and ids, keys and cordons beyond that.

    Only the owner, the process that holds the journal lock, writes to the file. Methods that write a record
    raise `JournalFullError` if the disk limit is reached or the disk is full, `JournalError` if this process
    is not the owner, and `OSError` if the write failed. The record is then neither stored nor applied, except
    for that of completed messages, which is applied.

    Changes that were applied although they could not be written are stored by the next compaction, which is
    due with the next record.
    """

    def __init__(
        self, folder: Path, limit_bytes: int, key_window_s: float = 0.0, id_retention_s: float = 0.0
    ) -> None:
        self.limit_bytes = limit_bytes
        self._file = JournalFile(folder)
        self._index = JournalIndex(key_window_s, id_retention_s)
        self._last_expiry_at_s = 0.0
        # What the state that a restart would read from the file has more than the state in memory.
        self._unwritten_reduction_bytes = 0
        self._unwritten_changes = False
        self._compaction_allowed_at_s = 0.0  # monotonic clock

    # Current state, read-only for callers

    @property
    def messages(self) -> dict[int, AcceptedMessage]:
        """Messages without an outcome, or whose final answer discovery has not accepted, by their numbers."""
        return self._index.messages

    @property
    def numbers_by_id(self) -> dict[str, int]:
        """Numbers of `messages` by their ids."""
        return self._index.numbers_by_id

    @property
    def open_count(self) -> int:
        """Number of open messages: those of `messages` without an outcome yet."""
        return self._index.open_count

    @property
    def open_number_by_key(self) -> dict[str, int]:
        """Numbers of the open messages by their idempotency keys."""
        return self._index.open_number_by_key

    @property
    def cordoned(self) -> dict[str, None]:
        """Uids of the cordoned endpoints, the oldest cordon first."""
        return self._index.cordoned

    @property
    def completed_ids(self) -> ExpiringIndex:
        """Ids of completed messages, stored for as long as clients may submit them again."""
        return self._index.completed_ids

    @property
    def idempotency_keys(self) -> ExpiringIndex:
        """Idempotency keys with a possibly applied attempt; the time and zone are those of the first one."""
        return self._index.idempotency_keys

    @property
    def identifier_memory_bytes(self) -> int:
        """Memory of the stored ids and keys in bytes, with an id and a key for each open message."""
        open_messages = 2 * self.open_count * MEMORY_BYTES_PER_ENTRY
        return self.completed_ids.memory_bytes + self.idempotency_keys.memory_bytes + open_messages

    @property
    def last_number(self) -> int:
        """Highest message number that was ever accepted."""
        return self._index.last_number

    @property
    def open_bytes(self) -> int:
        """Upper bound of the size of `messages` in a compacted file, in bytes."""
        return self._index.open_bytes

    @property
    def live_bytes(self) -> int:
        """Upper bound of the size of a compacted file, in bytes."""
        return self._index.live_bytes

    def key_applied_at_s(self, key: str) -> float:
        """Return the start of the key's first possibly applied attempt in wall clock seconds, 0 if none."""
        return self._index.key_applied_at_s(key)

    def key_applied_zone(self, key: str) -> int:
        """Return the zone of the key's first possibly applied attempt, -1 if no zone is stored."""
        return self._index.idempotency_keys.zone_of(key)

    # Ownership

    def acquire(self) -> Journal:
        """Acquire the lock, restore the state from the file, and return the journal itself.

        Raises `JournalLockedError` if another process holds the lock.
        """
        self._file.acquire(self._restore_record)
        return self

    def _restore_record(self, values: StoredValues) -> None:
        record = decode_record(values)
        if record is not None:
            self._index.apply(record)

    def reacquire(self) -> None:
        """Acquire the lock again after `close()` and continue with the state in memory.

        Raises `JournalLockedError` if another process holds the lock or has changed the file.
        """
        self._file.reacquire()

    def close(self) -> None:
        """Close the file and release the lock; the state in memory stays."""
        self._file.close()

    def drop_messages(self) -> None:
        """Remove all messages from memory after another process became the owner."""
        self._index.drop_messages()

    # Records

    def accept(self, message: AcceptedMessage) -> None:
        """Record that the message is accepted; the journal stores and updates this object from then on."""
        self.expire()  # here too: without open messages nothing else is written, and nothing would expire
        record = MessageAccepted(message)
        self._require_permission(self._budget.permits_message, record)
        self._write(record)

    def revoke(self, number: int) -> None:
        """Record that the message is as if it had never been accepted; no attempt may have started."""
        self._write(AcceptanceRevoked(number))

    def record_attempt(self, numbers: Sequence[int], at_s: float, zone: int = UNKNOWN_ZONE) -> None:
        """Record that an attempt with these messages is about to be written to an endpoint."""
        self._write(AttemptStarted(numbers, at_s, zone))

    def record_not_applied(self, number: int) -> None:
        """Record that the endpoint did not apply the message's latest attempt."""
        self._write(AttemptNotApplied(number))

    def record_completed(self, numbers: Sequence[int]) -> None:
        """Record that the messages are completed: by a response, or because discovery accepted the answer.

        If the record cannot be written they are completed in memory all the same, as nothing else ends them;
        a restart before the next compaction finds them open.
        """
        record = MessagesCompleted(numbers, clock.now_s())
        try:
            self._write(record)
        except OSError:
            with self._unwritten_change():
                self._index.apply(record)
            raise

    def record_final(self, number: int, status: FinalStatus, retry_after_ms: int) -> None:
        """Record the message's final answer; it is pending until discovery accepts it."""
        self._write(FinalAnswerRecorded(number, status, retry_after_ms))

    def record_cordon(self, uid: str, cordoned: bool) -> None:
        """Record that operators cordoned an endpoint or removed its cordon."""
        record = EndpointCordonChanged(uid, cordoned)
        if cordoned:
            self._require_permission(self._budget.permits_cordon, record)
        self._write(record)

    def mark_final(self, message: AcceptedMessage, status: FinalStatus, retry_after_ms: int) -> None:
        """Store the message's final answer in memory only, for use when it could not be recorded."""
        with self._unwritten_change():
            self._index.mark_final(message, status, retry_after_ms)

    @contextlib.contextmanager
    def _unwritten_change(self) -> Iterator[None]:
        """Note the change that is applied to the index in this context, but not written to the file."""
        live_bytes = self.live_bytes
        yield
        self._unwritten_reduction_bytes += max(0, live_bytes - self.live_bytes)
        self._unwritten_changes = True

    def compact(self) -> None:
        """Replace the file by one that holds only the current state; the old one stays if that fails.

        Both files exist until the new one is complete, and together they stay within the disk limit. A file
        that leaves no room for the new one, from an earlier build or a higher limit, is shortened first.
        """
        max_file_bytes = self._budget.max_file_bytes(self.live_bytes)
        if self._file.occupied_bytes > max_file_bytes:
            summary = encode_frame(self._index.summary().to_stored())
            self._file.shorten(max_file_bytes, self._obsolete_frames(), summary)
        frames = (encode_frame(record.to_stored()) for record in self._index.compacted_records())
        if self._file.replace(frames, self._budget.copy_limit_bytes(self._file.occupied_bytes)):
            self._unwritten_reduction_bytes = 0
            self._unwritten_changes = False
        else:
            self._compaction_allowed_at_s = time.monotonic() + COMPACTION_RETRY_INTERVAL_S

    def _obsolete_frames(self) -> Iterator[Frame]:
        """Yield the frames of the file whose records can be missing, without their payloads.

        Those are the accepted messages that are completed; their ids and keys are in the summary.
        """
        for frame in self._file.frames():
            if self._is_obsolete(frame):
                yield frame._replace(payload=b"")

    def _is_obsolete(self, frame: Frame) -> bool:
        if frame.mark is not FrameMark.RECORD:
            return frame.mark is FrameMark.OBSOLETE
        record = decode_record(decode_values(frame.payload))
        return isinstance(record, MessageAccepted) and record.message.number not in self.messages

    def _write(self, record: JournalRecord) -> None:
        self._file.require_owned()
        data = encode_frame(record.to_stored())
        growth_bytes = self._index.growth_bytes(record)
        self.expire()
        fits = self._leaves_room(len(data), growth_bytes)
        compaction_due = not fits or self._unwritten_changes or self._exceeds_live_data(len(data))
        if compaction_due and time.monotonic() >= self._compaction_allowed_at_s:
            self.compact()
            fits = self._leaves_room(len(data), growth_bytes)
        if not fits:
            raise JournalFullError(
                f"disk limit: record_bytes={len(data)} file_bytes={self._file.occupied_bytes}"
                f" live_bytes={self._restored_live_bytes} limit_bytes={self.limit_bytes}"
            )
        self._file.append(data)
        self._index.apply(record)

    def expire(self) -> None:
        """Remove the ids and keys that have expired, at most once in EXPIRY_INTERVAL_S."""
        now_s = clock.now_s()
        if now_s - self._last_expiry_at_s > EXPIRY_INTERVAL_S:
            self._last_expiry_at_s = now_s
            self._index.expire(now_s)

    @property
    def _budget(self) -> DiskBudget:
        return DiskBudget(self.limit_bytes)

    @property
    def _restored_live_bytes(self) -> int:
        """Upper bound of the live data that a restart would find in the file, in bytes."""
        return self.live_bytes + self._unwritten_reduction_bytes

    def _require_permission(self, permits: Callable[[int], bool], record: JournalRecord) -> None:
        """Raise JournalFullError unless the live data may grow by this record."""
        live_bytes = self._restored_live_bytes + self._index.growth_bytes(record)
        if not permits(live_bytes):
            raise JournalFullError(f"disk limit: live_bytes={live_bytes} limit_bytes={self.limit_bytes}")

    def _leaves_room(self, record_bytes: int, growth_bytes: int) -> bool:
        """Return whether a record of this size may be appended: a compaction still fits the disk limit."""
        if self._file.relocated:
            return False
        file_bytes = self._file.occupied_bytes + record_bytes
        return self._budget.permits_file(file_bytes, self._restored_live_bytes + growth_bytes)

    def _exceeds_live_data(self, record_bytes: int) -> bool:
        """Return whether most of the file is obsolete."""
        file_bytes = self._file.occupied_bytes + record_bytes
        return file_bytes > max(MIN_COMPACTED_BYTES, COMPACTION_FACTOR * self.live_bytes)

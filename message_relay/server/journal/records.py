"""The journal's records: their types and their stored form.

A record is stored as a MessagePack list whose first value is its record code. Lists written by older builds
may have fewer values and are still readable.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from message_relay.server.journal.frames import StoredValues

RESERVED_BYTES_PER_MESSAGE = 160  # counted for the other fields and for the message's later records
UNKNOWN_ZONE = -1
ZONE_POSITION = 3  # index of the zone in a stored attempt; older builds did not store a zone

ACCEPTED = "take"
ATTEMPT_STARTED = "try"
ATTEMPT_NOT_APPLIED = "miss"
COMPLETED = "over"
FINAL_ANSWER_RECORDED = "final"
CORDON_CHANGED = "cordon"
ACCEPTANCE_REVOKED = "revoked"
SUMMARY = "known"


class FinalStatus(enum.Enum):
    """The final answer that a notice reports to discovery; the values are stored and sent."""

    DEFERRED = "deferred"
    UNDELIVERABLE = "undeliverable"


@dataclass(slots=True)
class AcceptedMessage:
    """A message without an outcome, or whose final answer discovery has not accepted yet.

    An attempt is possibly applied if its start is recorded and `AttemptNotApplied` is not: the endpoint may
    have executed it. The latest attempt is stored and, of all attempts before it, the first possibly
    applied one. Attempts of a previous message with the same idempotency key count as earlier attempts.

    The fields are in the order of the stored values. Times are in wall clock seconds, 0 if there is none.
    """

    number: int
    id: str
    message_class: int
    tenant: int
    destination: int
    idempotency_key: str
    deadline_s: float
    resubmitted: bool
    body: bytes
    order_key: int = 0
    attempts: int = 0
    latest_attempt_at_s: float = 0.0  # start; reset to 0 when it is recorded that it was not applied
    earlier_attempt_at_s: float = 0.0  # start of the first possibly applied one before the latest
    final_status: FinalStatus | None = None  # final answer that discovery has not accepted yet
    retry_after_ms: int = 0
    latest_attempt_zone: int = UNKNOWN_ZONE
    earlier_attempt_zone: int = UNKNOWN_ZONE

    @property
    def possibly_applied_at_s(self) -> float:
        """Start of the first possibly applied attempt, 0 if there is none."""
        return self.earlier_attempt_at_s or self.latest_attempt_at_s

    @property
    def possibly_applied_zone(self) -> int:
        """Zone of the first possibly applied attempt, -1 if no zone is stored."""
        return self.earlier_attempt_zone if self.earlier_attempt_at_s else self.latest_attempt_zone

    @property
    def stored_bytes(self) -> int:
        """Upper bound of the message's size in the file in bytes, including its later records."""
        return len(self.body) + len(self.id) + len(self.idempotency_key) + RESERVED_BYTES_PER_MESSAGE

    def to_stored(self) -> StoredValues:
        """Return the field values in their stored order."""
        return [
            self.number,
            self.id,
            self.message_class,
            self.tenant,
            self.destination,
            self.idempotency_key,
            self.deadline_s,
            self.resubmitted,
            self.body,
            self.order_key,
            self.attempts,
            self.latest_attempt_at_s,
            self.earlier_attempt_at_s,
            self.final_status.value if self.final_status is not None else "",
            self.retry_after_ms,
            self.latest_attempt_zone,
            self.earlier_attempt_zone,
        ]

    @classmethod
    def from_stored(cls, values: Sequence[Any]) -> AcceptedMessage:
        """Build a message from stored values; values that an older build did not store get their defaults.

        Raises `TypeError` if there are too few or too many values, `ValueError` for an unknown final status.
        """
        message = cls(*values)
        status: Any = message.final_status  # a string here, as stored
        message.final_status = FinalStatus(status) if status else None
        return message


class MessageAccepted(NamedTuple):
    """The relay accepted the message; in a compacted file, the message with its state at the compaction.

    Written before the client receives +OK.
    """

    message: AcceptedMessage

    def to_stored(self) -> StoredValues:
        """Return the record's stored form."""
        return [ACCEPTED, *self.message.to_stored()]

    @classmethod
    def from_stored(cls, values: StoredValues) -> MessageAccepted:
        """Build the record from its stored form."""
        return cls(AcceptedMessage.from_stored(values[1:]))


class AttemptStarted(NamedTuple):
    """An attempt with these messages is about to be written to a connection.

    Written before the first byte is sent. From then on the attempt is possibly applied.
    """

    numbers: Sequence[int]
    at_s: float
    zone: int = UNKNOWN_ZONE

    def to_stored(self) -> StoredValues:
        """Return the record's stored form."""
        return [ATTEMPT_STARTED, self.numbers, self.at_s, self.zone]

    @classmethod
    def from_stored(cls, values: StoredValues) -> AttemptStarted:
        """Build the record from its stored form; the zone is unknown if an older build did not store it."""
        zone = values[ZONE_POSITION] if len(values) > ZONE_POSITION else UNKNOWN_ZONE
        return cls(values[1], values[2], zone)


class AttemptNotApplied(NamedTuple):
    """The endpoint did not apply the message's latest attempt.

    Written when the outcome of the attempt shows this. Without the record, the attempt counts as possibly
    applied after a restart.
    """

    number: int

    def to_stored(self) -> StoredValues:
        """Return the record's stored form."""
        return [ATTEMPT_NOT_APPLIED, self.number]

    @classmethod
    def from_stored(cls, values: StoredValues) -> AttemptNotApplied:
        """Build the record from its stored form."""
        return cls(values[1])


class MessagesCompleted(NamedTuple):
    """The messages are completed.

    Written when a response ended the message, or when discovery accepted its final answer.
    """

    numbers: Sequence[int]
    at_s: float

    def to_stored(self) -> StoredValues:
        """Return the record's stored form."""
        return [COMPLETED, self.numbers, self.at_s]

    @classmethod
    def from_stored(cls, values: StoredValues) -> MessagesCompleted:
        """Build the record from its stored form."""
        return cls(values[1], values[2])


class FinalAnswerRecorded(NamedTuple):
    """The message has its final answer, which discovery has not accepted yet.

    Written before the answer is sent to discovery; after a restart it is sent again.
    """

    number: int
    status: FinalStatus
    retry_after_ms: int

    def to_stored(self) -> StoredValues:
        """Return the record's stored form."""
        return [FINAL_ANSWER_RECORDED, self.number, self.status.value, self.retry_after_ms]

    @classmethod
    def from_stored(cls, values: StoredValues) -> FinalAnswerRecorded:
        """Build the record from its stored form; raises `ValueError` for an unknown status."""
        return cls(values[1], FinalStatus(values[2]), values[3])


class AcceptanceRevoked(NamedTuple):
    """The message is as if it had never been accepted: its client left before it could receive +OK.

    Written before any attempt. The client may submit the message again under the same id. Builds that do not
    know this record deliver the message.
    """

    number: int

    def to_stored(self) -> StoredValues:
        """Return the record's stored form."""
        return [ACCEPTANCE_REVOKED, self.number]

    @classmethod
    def from_stored(cls, values: StoredValues) -> AcceptanceRevoked:
        """Build the record from its stored form."""
        return cls(values[1])


class EndpointCordonChanged(NamedTuple):
    """Operators cordoned an endpoint or removed its cordon."""

    uid: str
    cordoned: bool

    def to_stored(self) -> StoredValues:
        """Return the record's stored form."""
        return [CORDON_CHANGED, self.uid, self.cordoned]

    @classmethod
    def from_stored(cls, values: StoredValues) -> EndpointCordonChanged:
        """Build the record from its stored form."""
        return cls(values[1], values[2])


class JournalSummary(NamedTuple):
    """Highest message number, ids of completed messages and idempotency keys; first in a compacted file."""

    last_number: int
    completed_ids: dict[str, float]  # expiry of each id in wall clock seconds
    idempotency_keys: dict[str, tuple[float, int]]  # start and zone of the first possibly applied attempt

    def to_stored(self) -> StoredValues:
        """Return the record's stored form."""
        return [SUMMARY, self.last_number, self.completed_ids, self.idempotency_keys]

    @classmethod
    def from_stored(cls, values: StoredValues) -> JournalSummary:
        """Build the record from its stored form; zones that an older build did not store are unknown."""
        keys: dict[str, tuple[float, int]] = {}
        for key, stored in values[3].items():
            if isinstance(stored, list):
                at_s, zone = stored
            else:
                at_s, zone = stored, UNKNOWN_ZONE
            keys[key] = at_s, zone
        return cls(values[1], values[2], keys)


JournalRecord = (
    MessageAccepted
    | AttemptStarted
    | AttemptNotApplied
    | MessagesCompleted
    | FinalAnswerRecorded
    | AcceptanceRevoked
    | EndpointCordonChanged
    | JournalSummary
)

DECODERS: dict[str, Callable[[StoredValues], JournalRecord]] = {
    ACCEPTED: MessageAccepted.from_stored,
    ATTEMPT_STARTED: AttemptStarted.from_stored,
    ATTEMPT_NOT_APPLIED: AttemptNotApplied.from_stored,
    COMPLETED: MessagesCompleted.from_stored,
    FINAL_ANSWER_RECORDED: FinalAnswerRecorded.from_stored,
    ACCEPTANCE_REVOKED: AcceptanceRevoked.from_stored,
    CORDON_CHANGED: EndpointCordonChanged.from_stored,
    SUMMARY: JournalSummary.from_stored,
}


def decode_record(values: StoredValues) -> JournalRecord | None:
    """Return the record that the values were stored from, None if this build does not define its code."""
    decoder = DECODERS.get(values[0])
    return decoder(values) if decoder is not None else None

"""An index of identifiers (message ids or idempotency keys) that expire."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

STORED_BYTES_PER_ENTRY = 24  # upper bound in a compacted file, without the identifier itself
MEMORY_BYTES_PER_ENTRY = 256  # with the shares of the tables, without the identifier itself


class ExpiringEntry(NamedTuple):
    """The time, zone and expiry of one identifier; times are in wall clock seconds."""

    at_s: float
    zone: int
    expires_at_s: float


class ExpiringIndex:
    """Stores a time and a zone for each identifier until the identifier expires.

    Identifiers are grouped by their expiry time into buckets of one second, so that `expire` examines only
    the buckets that are due. The space of an identifier can be reserved before it has an entry.
    """

    __slots__ = ("_buckets", "_reservations", "entries", "stored_bytes")

    def __init__(self) -> None:
        self.entries: dict[str, ExpiringEntry] = {}
        # Upper bound of the size in a compacted file: of the entries, and of the reserved identifiers.
        self.stored_bytes = 0
        self._buckets: dict[int, list[str]] = {}
        self._reservations: Counter[str] = Counter()  # by identifier

    def __contains__(self, identifier: str) -> bool:
        return identifier in self.entries

    def __len__(self) -> int:
        return len(self.entries)

    @property
    def memory_bytes(self) -> int:
        """Memory of the entries in bytes, approximately."""
        return self.stored_bytes + len(self.entries) * (MEMORY_BYTES_PER_ENTRY - STORED_BYTES_PER_ENTRY)

    def time_of(self, identifier: str) -> float:
        """Return the time stored for the identifier in wall clock seconds, 0 if there is no entry."""
        entry = self.entries.get(identifier)
        return entry.at_s if entry is not None else 0.0

    def zone_of(self, identifier: str) -> int:
        """Return the zone stored for the identifier, -1 if there is no entry or no zone in it."""
        entry = self.entries.get(identifier)
        return entry.zone if entry is not None else -1

    def add(self, identifier: str, at_s: float, expires_at_s: float, zone: int = -1) -> None:
        """Add an entry for the identifier, or replace its entry; times are in wall clock seconds."""
        if not self._counted(identifier):
            self.stored_bytes += self._size_bytes(identifier)
        self.entries[identifier] = ExpiringEntry(at_s, zone, expires_at_s)
        self._buckets.setdefault(int(expires_at_s) + 1, []).append(identifier)

    def remove(self, identifier: str) -> None:
        """Remove the identifier's entry if there is one."""
        if self.entries.pop(identifier, None) is not None and not self._counted(identifier):
            self.stored_bytes -= self._size_bytes(identifier)

    def reserve(self, identifier: str) -> None:
        """Count the identifier in `stored_bytes` until release(), also while it has no entry.

        Reservations of the same identifier are counted: each has to be released.
        """
        if not self._counted(identifier):
            self.stored_bytes += self._size_bytes(identifier)
        self._reservations[identifier] += 1

    def release(self, identifier: str) -> None:
        """End one reservation of the identifier."""
        self._reservations[identifier] -= 1
        if not self._reservations[identifier]:
            del self._reservations[identifier]
        if not self._counted(identifier):
            self.stored_bytes -= self._size_bytes(identifier)

    def _counted(self, identifier: str) -> bool:
        """Return whether the identifier is counted in `stored_bytes`."""
        return identifier in self.entries or identifier in self._reservations

    @staticmethod
    def _size_bytes(identifier: str) -> int:
        return len(identifier) + STORED_BYTES_PER_ENTRY

    def expire(self, now_s: float) -> None:
        """Remove the entries that have expired; an entry is removed at most one second after its expiry."""
        due = [bucket for bucket in self._buckets if bucket <= now_s]
        for bucket in due:
            for identifier in self._buckets.pop(bucket):
                # It may have been replaced or removed since it was added to the bucket.
                entry = self.entries.get(identifier)
                if entry is not None and entry.expires_at_s <= now_s:
                    self.remove(identifier)

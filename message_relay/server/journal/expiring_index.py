"""An index of texts that expire."""

from __future__ import annotations

from typing import NamedTuple

STORED_BYTES_PER_ENTRY = 24  # that an entry takes in a compacted file, its text not counted


class ExpiringEntry(NamedTuple):
    """What is known of one text. Times are wall clock seconds."""

    at_s: float
    zone: int
    expires_at_s: float


class ExpiringIndex:
    """Keeps a time and a zone for each text until the text expires.

    Texts are grouped into buckets of one second by when they expire, so that expiry never searches all of
    them.
    """

    __slots__ = ("_buckets", "entries", "stored_bytes")

    def __init__(self) -> None:
        self.entries: dict[str, ExpiringEntry] = {}
        self.stored_bytes = 0  # upper bound of what the entries take in a compacted file
        self._buckets: dict[int, list[str]] = {}

    def __contains__(self, text: str) -> bool:
        return text in self.entries

    def __len__(self) -> int:
        return len(self.entries)

    def time_of(self, text: str) -> float:
        """Return the text's time in wall clock seconds, 0 if it is not known."""
        entry = self.entries.get(text)
        return entry.at_s if entry is not None else 0.0

    def zone_of(self, text: str) -> int:
        """Return the text's zone, -1 if it is not known."""
        entry = self.entries.get(text)
        return entry.zone if entry is not None else -1

    def add(self, text: str, at_s: float, expires_at_s: float, zone: int = -1) -> None:
        """Add the text, or replace what is known of it. Times are wall clock seconds."""
        if text not in self.entries:
            self.stored_bytes += len(text) + STORED_BYTES_PER_ENTRY
        self.entries[text] = ExpiringEntry(at_s, zone, expires_at_s)
        self._buckets.setdefault(int(expires_at_s) + 1, []).append(text)

    def remove(self, text: str) -> None:
        """Remove the text if it is there."""
        if self.entries.pop(text, None) is not None:
            self.stored_bytes -= len(text) + STORED_BYTES_PER_ENTRY

    def expire(self, now_s: float) -> None:
        """Remove the texts whose time is up; up to a second later than their expiry."""
        due = [bucket for bucket in self._buckets if bucket <= now_s]
        for bucket in due:
            for text in self._buckets.pop(bucket):
                entry = self.entries.get(text)  # it may have been replaced or removed meanwhile
                if entry is not None and entry.expires_at_s <= now_s:
                    self.remove(text)

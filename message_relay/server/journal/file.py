"""The journal's file, and the lock that decides which process may write to it.

The owner of the journal is the process that holds an exclusive `flock` on `owner.lock`. The kernel releases
the lock when the owner exits, however it exits.

Data is written with `os.write`, without fsync: it survives SIGKILL, but not a crash of the machine.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import logging
import os
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from message_relay.server.journal.errors import JournalError, JournalFullError, JournalLockedError
from message_relay.server.journal.frames import Frame, FrameMark, StoredValues, scan_frames
from message_relay.server.journal.relocation import (
    JournalReader,
    Part,
    capacity_bytes,
    read_segments,
    relocate,
    select_end,
)

FILE_NAME = "messages.journal"
REPLACEMENT_NAME = "messages.journal.new"
LOCK_NAME = "owner.lock"
FILE_MODE = 0o600
UNSUPPORTED_LOCK_ERRORS = (errno.ENOSYS, errno.ENOLCK, errno.EOPNOTSUPP)  # no file locks on this platform
WRITE_BYTES = 1 << 16  # of a compacted file, at once
NOT_OPEN = -1  # descriptor value while the file is not open

log = logging.getLogger(__name__)


class JournalFile:
    """The journal's file; only the process that holds the lock appends to it."""

    def __init__(self, folder: Path) -> None:
        self.size_bytes = 0
        self.relocated = False  # the file has relocated parts: it has to be replaced before it is appended to
        self._path = folder / FILE_NAME
        self._replacement_path = folder / REPLACEMENT_NAME
        self._lock_path = folder / LOCK_NAME
        self._descriptor = self._lock_descriptor = NOT_OPEN
        self._incomplete_at_end = False  # the file may end with a part of a record
        self._released_identity = (-1, -1)  # inode and size when this process released the file

    def acquire(self, on_record: Callable[[StoredValues], None]) -> None:
        """Lock and open the file, and pass the stored values of each record to `on_record`.

        An incomplete record at the end, which an interrupted write left behind, is removed from the file, as
        is the end of a file that was relocated. Raises `JournalLockedError` if another process holds the
        lock, `OSError` if the file is not accessible.
        """
        self._acquire_lock()
        self._remove_replacement()
        self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, FILE_MODE)
        size_bytes = os.fstat(self._descriptor).st_size
        with self._path.open("rb") as file:
            reader = JournalReader(file, size_bytes)
            for values in reader.records():
                on_record(values)
        self.size_bytes, self.relocated = reader.end, reader.relocated
        if self.size_bytes < size_bytes:
            removed_bytes = size_bytes - self.size_bytes
            log.warning("journal: incomplete end of the file removed, bytes=%d", removed_bytes)
            self._incomplete_at_end = True
            try:
                self._truncate()
            except OSError as error:  # before the first record is appended, it is tried again
                log.error("journal: incomplete record not removed, error=%s", error)

    def reacquire(self) -> None:
        """Lock and open the file again if it has not changed since this process released it.

        The state that this process still has in memory then matches the file. Raises `JournalLockedError` if
        another process holds the lock, or if the file has changed (its inode or size differs) or can't be
        opened; the lock is then not held.
        """
        self._acquire_lock()
        with contextlib.suppress(OSError):
            self._descriptor = os.open(self._path, os.O_RDWR | os.O_APPEND)
            if self._identity() == self._released_identity:
                return
        self.close()
        raise JournalLockedError(f"journal file {str(self._path)!r} changed since this process released it")

    def close(self) -> None:
        """Close the file and release the lock, so that another process can acquire it."""
        if self._descriptor != NOT_OPEN:
            self._released_identity = self._identity()
            os.close(self._descriptor)
        if self._lock_descriptor != NOT_OPEN:
            os.close(self._lock_descriptor)
        self._descriptor = self._lock_descriptor = NOT_OPEN

    def require_owned(self) -> None:
        """Raise `JournalError` unless this process holds the lock and has the file open."""
        if self._descriptor == NOT_OPEN:
            raise JournalError(f"this process does not hold the journal lock {str(self._lock_path)!r}")

    def append(self, data: bytes) -> None:
        """Append data; if that fails, truncate the file to its previous size.

        Raises `OSError` if the write failed, or if the file could not be truncated after an earlier failure.
        """
        if self.relocated:
            raise JournalError("the end of the journal's file was relocated, and it is not compacted yet")
        if self._incomplete_at_end:
            self._truncate()
        self._incomplete_at_end = True
        try:
            _write_all(self._descriptor, data)
        except OSError:
            self._truncate()
            raise
        self._incomplete_at_end = False
        self.size_bytes += len(data)

    def _truncate(self) -> None:
        """Remove what was appended incompletely: decoding stops there, and later records would be lost."""
        os.ftruncate(self._descriptor, self.size_bytes)
        self._incomplete_at_end = False

    @property
    def occupied_bytes(self) -> int:
        """Size of the file in bytes, with what could not be truncated after a write that failed."""
        if not self._incomplete_at_end:
            return self.size_bytes
        return max(self.size_bytes, os.fstat(self._descriptor).st_size)

    def replace(self, frames: Iterable[bytes], max_bytes: int) -> bool:
        """Replace the file atomically by a new one with these frames; return whether that succeeded.

        The old file stays in use if the new one would exceed `max_bytes`, or if creating, writing or renaming
        it fails, which is logged.
        """
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        replacement = NOT_OPEN
        try:
            replacement = os.open(self._replacement_path, flags, FILE_MODE)
            size_bytes = _write_frames(replacement, frames, max_bytes)
            os.rename(self._replacement_path, self._path)
        except OSError as error:
            log.error("journal: compaction failed, error=%s", error)
            self._discard_replacement(replacement)
            return False
        os.close(self._descriptor)
        self._descriptor = replacement
        self._incomplete_at_end = self.relocated = False
        self.size_bytes = size_bytes
        return True

    def frames(self) -> Iterator[Frame]:
        """Yield the frames of the file, without the records of relocated parts."""
        with self._path.open("rb") as file:
            yield from scan_frames(file, self.size_bytes)

    def shorten(self, max_bytes: int, obsolete: Iterable[Frame], summary: bytes) -> None:
        """Relocate the end of the file into obsolete frames until the file has at most `max_bytes`.

        obsolete: in the order of their offsets; summary: frame with what is lost with them. The file may stay
        longer if the frames do not suffice, or if a system call fails, which is logged.
        """
        try:
            if self._incomplete_at_end:
                self._truncate()
            descriptor = os.open(self._path, os.O_RDWR)  # with O_APPEND, writes ignore their offset
            try:
                self._relocate(descriptor, max_bytes, deque(obsolete), summary)
            finally:
                os.close(descriptor)
        except OSError as error:
            log.error("journal: end of the file not relocated, error=%s", error)

    def _relocate(self, descriptor: int, max_bytes: int, obsolete: deque[Frame], summary: bytes) -> None:
        # A relocated frame is not relocated itself.
        min_bytes = max(
            (frame.end for frame in self.frames() if frame.mark is FrameMark.RELOCATED), default=0
        )
        if not self.relocated and obsolete:
            self.relocated = True
            min_bytes = self._store_summary(descriptor, obsolete, summary)
        while obsolete and self.size_bytes > max(min_bytes, max_bytes):
            target = obsolete.popleft()
            min_bytes = max(min_bytes, target.end)
            size_bytes, segments = select_end(self.size_bytes, max(min_bytes, max_bytes), target, obsolete)
            if segments:
                relocate(descriptor, target, Part(size_bytes, read_segments(descriptor, segments)))
            self.size_bytes = size_bytes
            self._incomplete_at_end = True
            self._truncate()

    def _store_summary(self, descriptor: int, obsolete: deque[Frame], summary: bytes) -> int:
        """Store the summary behind the end of the file; return the offset behind the frames that it takes."""
        min_bytes, remaining_bytes = 0, len(summary)
        while obsolete and remaining_bytes:
            target = obsolete.popleft()
            part_bytes = min(remaining_bytes, capacity_bytes(target))
            if part_bytes <= 0:
                continue
            remaining_bytes -= part_bytes
            data = summary[remaining_bytes : remaining_bytes + part_bytes]
            relocate(descriptor, target, Part(self.size_bytes + remaining_bytes, data))
            min_bytes = target.end
        return min_bytes

    def _discard_replacement(self, descriptor: int) -> None:
        """Close and remove a replacement that is not complete."""
        if descriptor != NOT_OPEN:
            os.close(descriptor)
        self._remove_replacement()

    def _remove_replacement(self) -> None:
        """Remove the replacement, or at least free its space; the next compaction empties it anyway."""
        try:
            self._replacement_path.unlink(missing_ok=True)
        except OSError as error:
            log.error("journal: replacement not removed, error=%s", error)
            with contextlib.suppress(OSError):
                os.truncate(self._replacement_path, 0)

    def _acquire_lock(self) -> None:
        descriptor = os.open(self._lock_path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            raise JournalLockedError(f"another process holds {str(self._lock_path)!r}") from None
        except OSError as error:
            if error.errno not in UNSUPPORTED_LOCK_ERRORS:
                os.close(descriptor)
                raise
            log.error("journal: file locks not supported, hot restart disabled, error=%s", error)
        self._lock_descriptor = descriptor

    def _identity(self) -> tuple[int, int]:
        status = os.fstat(self._descriptor)
        return status.st_ino, status.st_size


def _write_frames(descriptor: int, frames: Iterable[bytes], max_bytes: int) -> int:
    """Write the frames in chunks of about `WRITE_BYTES` and return their size in bytes.

    Raises `JournalFullError` if the size exceeds `max_bytes`, `OSError` if writing fails.
    """
    chunk, size_bytes = bytearray(), 0
    for frame in frames:
        chunk += frame
        size_bytes += len(frame)
        if size_bytes > max_bytes:
            raise JournalFullError(f"compacted file exceeds {max_bytes} bytes")
        if len(chunk) >= WRITE_BYTES:
            _write_all(descriptor, chunk)
            chunk.clear()
    _write_all(descriptor, chunk)
    return size_bytes


def _write_all(descriptor: int, data: bytes | bytearray) -> None:
    """Write all data; the rest after a short write is written by further calls, which raise `OSError`."""
    written = 0
    while written < len(data):
        written += os.write(descriptor, data[written:])

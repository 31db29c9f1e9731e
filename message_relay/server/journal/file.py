"""The journal's file and the lock that says which process owns it.

Data is written with `os.write`, without fsync: it outlasts SIGKILL, not a crash of the machine.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import logging
import os
from pathlib import Path

from message_relay.server.journal.errors import JournalError, JournalFullError, JournalLockedError
from message_relay.server.journal.records import StoredValues, decode_frames

FILE_NAME = "messages.journal"
REPLACEMENT_NAME = "messages.journal.new"
LOCK_NAME = "owner.lock"
FILE_MODE = 0o600
BLOCK_BYTES = 512  # the disk limit counts files in whole blocks
UNSUPPORTED_LOCK_ERRORS = (errno.ENOSYS, errno.ENOLCK, errno.EOPNOTSUPP)  # the platform has no locks
NOT_OPEN = -1  # in place of a descriptor

log = logging.getLogger(__name__)


def round_up_to_blocks(size_bytes: int) -> int:
    """Return the bytes that a file of this size takes in whole blocks."""
    return -(-size_bytes // BLOCK_BYTES) * BLOCK_BYTES


class JournalFile:
    """The file that one process at a time appends to: the one that holds the lock."""

    def __init__(self, folder: Path) -> None:
        self.size_bytes = 0
        self._path = folder / FILE_NAME
        self._replacement_path = folder / REPLACEMENT_NAME
        self._lock_path = folder / LOCK_NAME
        self._descriptor = self._lock_descriptor = NOT_OPEN
        self._released_identity = (-1, -1)  # inode and size when this process released the file

    def acquire(self) -> list[StoredValues]:
        """Lock and open the file, cut off a torn tail, and return the values of its records.

        Raises `JournalLockedError` if another process has the lock, `OSError` if the file is not accessible.
        """
        self._acquire_lock()
        self._replacement_path.unlink(missing_ok=True)
        self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, FILE_MODE)
        data = self._path.read_bytes()
        records, end = decode_frames(data)
        if end < len(data):
            log.warning("journal: torn tail cut off bytes=%d", len(data) - end)
            os.ftruncate(self._descriptor, end)
        self.size_bytes = end
        return records

    def reacquire(self) -> None:
        """Lock and open the file again, provided that it is as this process released it.

        Raises `JournalLockedError` if another process has the lock or has written to the file.
        """
        self._acquire_lock()
        with contextlib.suppress(OSError):
            self._descriptor = os.open(self._path, os.O_RDWR | os.O_APPEND)
            if self._identity() == self._released_identity:
                return
        self.close()
        raise JournalLockedError("another process has written to the journal")

    def close(self) -> None:
        """Release the file and the lock: from here on another process may own them."""
        if self._descriptor != NOT_OPEN:
            self._released_identity = self._identity()
            os.close(self._descriptor)
        if self._lock_descriptor != NOT_OPEN:
            os.close(self._lock_descriptor)
        self._descriptor = self._lock_descriptor = NOT_OPEN

    def require_owned(self) -> None:
        """Raise `JournalError` unless this process owns the file."""
        if self._descriptor == NOT_OPEN:
            raise JournalError("this process does not own the journal")

    def append(self, data: bytes) -> None:
        """Append data, or leave the file as it was.

        Raises `JournalFullError` if only a part could be written, `OSError` if the write failed.
        """
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            os.ftruncate(self._descriptor, self.size_bytes)
            raise
        if written != len(data):  # a part of a record would hide all records after it
            os.ftruncate(self._descriptor, self.size_bytes)
            raise JournalFullError("the disk is full")
        self.size_bytes += written

    def replace(self, data: bytes) -> None:
        """Put a new file with this data in the file's place; if that fails, the old file stays in use.

        Raises `OSError` only if the new file can't be created.
        """
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        replacement = os.open(self._replacement_path, flags, FILE_MODE)
        try:
            if os.write(replacement, data) != len(data):
                raise JournalFullError("the disk is full")
            os.rename(self._replacement_path, self._path)
        except OSError as error:
            log.error("journal: not compacted error=%s", error)
            os.close(replacement)
            self._replacement_path.unlink(missing_ok=True)
            return
        os.close(self._descriptor)
        self._descriptor = replacement
        self.size_bytes = len(data)

    def _acquire_lock(self) -> None:
        descriptor = os.open(self._lock_path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            raise JournalLockedError("another process has the journal") from None
        except OSError as error:
            if error.errno not in UNSUPPORTED_LOCK_ERRORS:
                os.close(descriptor)
                raise
            log.error("journal: no locks here, so no hot restarts error=%s", error)
        self._lock_descriptor = descriptor

    def _identity(self) -> tuple[int, int]:
        status = os.fstat(self._descriptor)
        return status.st_ino, status.st_size

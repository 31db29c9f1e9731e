"""Errors raised by the journal. All are `OSError`s, as are the failures of the file system itself."""


class JournalError(OSError):
    """Base class of the journal's errors; raised itself if this process does not own the journal."""


class JournalFullError(JournalError):
    """The record would need more than the disk limit allows, or the disk is full."""


class JournalLockedError(JournalError):
    """Another process owns the journal, or has written to it since this process released it."""

"""Errors raised by the journal; all are subclasses of `OSError`, like the errors of the file system."""


class JournalError(OSError):
    """Base class of the journal's errors; raised directly if this process does not hold the journal lock."""


class JournalFullError(JournalError):
    """Raised if a record would exceed the disk limit, or if only a part of the data could be written."""


class JournalLockedError(JournalError):
    """Raised if another process holds the journal lock, or changed the file after this one released it."""

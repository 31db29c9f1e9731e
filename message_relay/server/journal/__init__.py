"""The journal: an append-only file of accepted messages, attempts and final answers, read at a restart.

`Journal` is the interface to the rest of the server. It combines `JournalFile` (the file and its lock),
`JournalIndex` (the current state in memory) and the record types of `records`.
"""

from message_relay.server.journal.errors import JournalError, JournalFullError, JournalLockedError
from message_relay.server.journal.journal import Journal
from message_relay.server.journal.records import AcceptedMessage, FinalStatus

__all__ = [
    "AcceptedMessage",
    "FinalStatus",
    "Journal",
    "JournalError",
    "JournalFullError",
    "JournalLockedError",
]

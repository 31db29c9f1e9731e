"""The journal of accepted messages: what the relay owes, kept on disk across restarts."""

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

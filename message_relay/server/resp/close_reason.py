"""Reasons for which client connections are closed."""

from __future__ import annotations

import enum


class CloseReason(enum.Enum):
    """Why a client connection was closed; the value is the label of the metric and of the log line."""

    CLIENT_CLOSED = "client_closed"
    CONNECTION_ERROR = "connection_error"  # the connection broke, or was reset by the client
    QUIT = "quit"
    PROTOCOL_ERROR = "protocol_error"
    INVALID_REQUESTS = "invalid_requests"  # too many of them
    REQUEST_TIMEOUT = "request_timeout"  # a request was not complete in time
    REPLIES_NOT_READ = "replies_not_read"
    SILENT = "silent"  # no valid request in time
    IDLE = "idle"  # no open request for longer than the idle timeout, or while the process drains
    EVICTED = "evicted"  # to make room for another connection
    HANDED_OVER = "handed_over"  # another process continues the connection
    PROCESS_EXIT = "process_exit"

    @property
    def expected(self) -> bool:
        """Whether connections end for this reason without a fault of a client or a shortage."""
        return self in EXPECTED_REASONS


EXPECTED_REASONS = frozenset(
    {
        CloseReason.CLIENT_CLOSED,
        CloseReason.QUIT,
        CloseReason.IDLE,
        CloseReason.HANDED_OVER,
        CloseReason.PROCESS_EXIT,
    }
)

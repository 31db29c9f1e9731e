"""Table of the open client connections; it selects the ones to close when their number reaches the limit."""

from __future__ import annotations

import itertools

from message_relay.server.resp.close_reason import CloseReason
from message_relay.server.resp.connection import SILENT_CONNECTION_AGE_S, ClientConnection

# Idle connections that are examined to close one of them. Each takes a system call.
MAX_IDLE_CANDIDATES = 4
IDLE_CONNECTION_SHARE = 0.25  # of max_connections: upper bound for idle connections, and for silent ones


class ConnectionTable:
    """Open client connections in the order in which they were accepted, with a limit on their number."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections: dict[ClientConnection, None] = {}  # oldest first
        # Connections that have sent a valid request and have no open one, longest idle first.
        self.idle: dict[ClientConnection, None] = {}

    @property
    def full(self) -> bool:
        """Whether the number of connections has reached the limit."""
        return len(self.connections) >= self.max_connections

    @property
    def max_idle_connections(self) -> float:
        """Upper bound for the number of idle connections, and for that of silent ones."""
        return self.max_connections * IDLE_CONNECTION_SHARE

    def add(self, connection: ClientConnection) -> None:
        """Add a newly accepted connection."""
        self.connections[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_active(self, connection: ClientConnection) -> None:
        """Record that a connection has an open request."""
        self.idle.pop(connection, None)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection has no open request; close the longest idle one if too many are idle.

        Clients that submit once and keep their connections open would otherwise use up the limit, and new
        clients could not connect.
        """
        self.idle.pop(connection, None)
        self.idle[connection] = None
        if len(self.idle) > self.max_idle_connections:
            self._close_longest_idle()

    def evict_connection(self, now_s: float) -> bool:
        """Close one connection without an open request; return whether one was closed.

        The candidates are, in this order: the oldest connection that has sent no valid request, if it is
        older than SILENT_CONNECTION_AGE_S; the longest idle connection; the oldest connection that has sent
        no valid request, at any age. A new connection comes last because its first request is probably on its
        way. If more than half of max_connections have sent no valid request, the oldest of them comes first
        at any age: connections that send nothing would otherwise displace those of clients that submit
        messages.
        """
        without_request = self._without_valid_request()
        oldest = without_request[0] if without_request else None
        if oldest is not None:
            exceed_half = 2 * len(without_request) > self.max_connections
            silent = now_s - oldest.connected_at_s > SILENT_CONNECTION_AGE_S
            if (exceed_half or silent) and oldest.close_if_nothing_unread(CloseReason.EVICTED):
                return True
        if self._close_longest_idle():
            return True
        if oldest is None or oldest.closed:
            return False
        return oldest.close_if_nothing_unread(CloseReason.EVICTED)

    def sweep(self, now_s: float) -> None:
        """Close overdue connections, and the oldest silent ones in excess of max_idle_connections."""
        overdue = [c for c in self.connections if c.close_at_s <= now_s]
        for connection in overdue:
            connection.close_if_overdue(now_s)
        silent = [
            c for c in self._without_valid_request() if now_s - c.connected_at_s > SILENT_CONNECTION_AGE_S
        ]
        excess = max(0, len(silent) - int(self.max_idle_connections))
        for connection in silent[:excess]:
            connection.close_if_nothing_unread(CloseReason.SILENT)

    def _without_valid_request(self) -> list[ClientConnection]:
        return [c for c in self.connections if not c.has_sent_valid_request and not c.pending_replies]

    def _close_longest_idle(self) -> bool:
        """Close one of the longest idle connections; return whether one was closed.

        One on which a request has begun or data waits is not idle any more, and is moved to the end.
        """
        for connection in list(itertools.islice(self.idle, MAX_IDLE_CANDIDATES)):
            if connection.between_requests and connection.close_if_nothing_unread(CloseReason.EVICTED):
                return True
            self.idle.pop(connection, None)
            self.idle[connection] = None
        return False

"""The open client connections, and which of them are closed when places run short."""

from __future__ import annotations

from message_relay.server.resp.connection import SILENT_CONNECTION_S, ClientConnection

IDLE_CONNECTION_SHARE = 0.25  # of the places for clients may be taken by connections with no request open


class ConnectionTable:
    """Open connections in the order in which they came, with a limit on their number."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections: dict[ClientConnection, None] = {}  # the oldest first
        self.idle: dict[
            ClientConnection, None
        ] = {}  # with a valid request and none open, the longest idle first

    @property
    def full(self) -> bool:
        """Whether all places are taken."""
        return len(self.connections) >= self.max_connections

    @property
    def max_idle_connections(self) -> float:
        """How many connections with no request open are kept."""
        return self.max_connections * IDLE_CONNECTION_SHARE

    def add(self, connection: ClientConnection) -> None:
        """Add a connection as the newest."""
        self.connections[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self.connections.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_active(self, connection: ClientConnection) -> None:
        """Note that a connection has a request open."""
        self.idle.pop(connection, None)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Note that a connection has no request open any more; close the longest idle if there are too many.

        Where each client submits once and keeps its connection, the idle ones would take the places of
        new clients.
        """
        self.idle.pop(connection, None)
        self.idle[connection] = None
        if len(self.idle) > self.max_idle_connections:
            self._close_longest_idle()

    def make_room(self, now_s: float) -> bool:
        """Close one connection, never one with a request open; return whether a place is free now.

        The first choice is one that has been silent since it came, then the longest idle, then the oldest
        without a valid request. A new connection is about to send, so it is spared, but not where most places
        are taken by such ones: a crowd that sends nothing would displace the clients that do.
        """
        unproven = self._without_valid_request()
        oldest = unproven[0] if unproven else None
        if oldest is not None:
            crowded = 2 * len(unproven) > self.max_connections
            silent = now_s - oldest.connected_at_s > SILENT_CONNECTION_S
            if (crowded or silent) and oldest.close_if_nothing_unread():
                return True
        if self._close_longest_idle():
            return True
        return oldest is not None and not oldest.closed and oldest.close_if_nothing_unread()

    def sweep(self, now_s: float) -> None:
        """Close overdue connections, and the oldest silent ones beyond their share of the places."""
        overdue = [c for c in self.connections if c.close_at_s <= now_s]
        for connection in overdue:
            connection.close_if_overdue(now_s)
        silent = [c for c in self._without_valid_request() if now_s - c.connected_at_s > SILENT_CONNECTION_S]
        excess = max(0, len(silent) - int(self.max_idle_connections))
        for connection in silent[:excess]:
            connection.close_if_nothing_unread()

    def _without_valid_request(self) -> list[ClientConnection]:
        return [c for c in self.connections if not c.has_sent_valid_request and not c.pending_replies]

    def _close_longest_idle(self) -> bool:
        candidates = (c for c in list(self.idle) if c.between_requests)
        return any(c.close_if_nothing_unread() for c in candidates)

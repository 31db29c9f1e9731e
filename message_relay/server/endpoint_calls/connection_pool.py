"""Pools of idle keep-alive connections to the endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from message_relay.server.configuration import Address
from message_relay.server.http.connection import HttpConnection

MAX_IDLE_PER_ENDPOINT = 8  # idle connections


def _ignore_close() -> None:
    """Do nothing when a connection outside of the pools is closed."""


@dataclass(slots=True)
class ConnectionPool:
    """Idle connections to one endpoint, each with the timer that closes it."""

    address: Address
    idle: list[HttpConnection] = field(default_factory=list)  # most recently used last
    timers: dict[HttpConnection, asyncio.TimerHandle] = field(default_factory=dict)


class ConnectionPools:
    """Pools of all endpoints, with a limit on their idle connections together."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, idle_timeout_s: float, max_idle_connections: int
    ) -> None:
        self.by_endpoint: dict[int, ConnectionPool] = {}
        self.idle_connections = 0
        self._loop = loop
        self._idle_timeout_s = idle_timeout_s  # 0: connections are not reused
        self._max_idle_connections = max_idle_connections

    def set_address(self, endpoint: int, address: Address) -> None:
        """Set the address of the endpoint; idle connections to a previous address are closed."""
        pool = self.by_endpoint.get(endpoint)
        if pool is None or pool.address != address:
            self.close_idle(endpoint)
            self.by_endpoint[endpoint] = ConnectionPool(address)

    def remove(self, endpoint: int) -> None:
        """Close the idle connections to the endpoint and remove its pool."""
        self.close_idle(endpoint)
        self.by_endpoint.pop(endpoint, None)

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to the endpoint."""
        if pool := self.by_endpoint.get(endpoint):
            for connection in list(pool.idle):
                connection.close()

    def take_idle(self, pool: ConnectionPool) -> HttpConnection | None:
        """Remove the most recently used connection from the pool and return it, or None if there is none.

        Stale connections are closed and skipped.
        """
        while pool.idle:
            connection = pool.idle.pop()
            pool.timers.pop(connection).cancel()
            self.idle_connections -= 1
            connection.on_close = _ignore_close
            if not connection.is_stale():
                return connection
            connection.close()
        return None

    def return_to_pool(self, endpoint: int, connection: HttpConnection) -> None:
        """Add an open connection to the idle pool of its endpoint, or close it.

        It is closed if the endpoint was removed or has another address, if connections are not reused, or if
        the pool or all pools together are at their limit. A pooled connection is closed after the idle
        timeout.
        """
        if connection.closed:
            return
        pool = self.by_endpoint.get(endpoint)
        if pool is None or pool.address != connection.address or self._idle_timeout_s <= 0:
            connection.close()
            return
        if len(pool.idle) >= MAX_IDLE_PER_ENDPOINT or self.idle_connections >= self._max_idle_connections:
            connection.close()
            return
        pool.idle.append(connection)
        self.idle_connections += 1
        pool.timers[connection] = self._loop.call_later(self._idle_timeout_s, connection.close)
        connection.on_close = lambda: self._idle_connection_closed(pool, connection)

    def _idle_connection_closed(self, pool: ConnectionPool, connection: HttpConnection) -> None:
        if connection in pool.timers:
            self.idle_connections -= 1
            pool.timers.pop(connection).cancel()
            pool.idle.remove(connection)

"""The idle keep-alive connections to all endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from message_relay.server.configuration import Address
from message_relay.server.http.connection import HttpConnection

MAX_IDLE_PER_ENDPOINT = 8  # idle connections kept to one endpoint


def _ignore_close() -> None:
    """Do nothing: the connection is in no pool any more."""


@dataclass(slots=True)
class ConnectionPool:
    """The idle connections to one endpoint."""

    address: Address
    idle: list[HttpConnection] = field(default_factory=list)  # the most recently used last
    timers: dict[HttpConnection, asyncio.TimerHandle] = field(default_factory=dict)


class ConnectionPools:
    """The pools of all endpoints, with a limit on the idle connections of all of them."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, idle_timeout_s: float, max_idle_connections: int
    ) -> None:
        self.by_endpoint: dict[int, ConnectionPool] = {}
        self.idle_connections = 0
        self._loop = loop
        self._idle_timeout_s = idle_timeout_s  # 0: no connection is kept
        self._max_idle_connections = max_idle_connections

    def set_address(self, endpoint: int, address: Address) -> None:
        """Set where the endpoint is; the idle connections to another address are closed."""
        pool = self.by_endpoint.get(endpoint)
        if pool is None or pool.address != address:
            self.close_idle(endpoint)
            self.by_endpoint[endpoint] = ConnectionPool(address)

    def remove(self, endpoint: int) -> None:
        """Close the idle connections to the endpoint and forget its address."""
        self.close_idle(endpoint)
        self.by_endpoint.pop(endpoint, None)

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to the endpoint."""
        if pool := self.by_endpoint.get(endpoint):
            for connection in list(pool.idle):
                connection.close()

    def take_idle(self, pool: ConnectionPool) -> HttpConnection | None:
        """Take the most recently used connection that is not stale; stale ones are closed."""
        while pool.idle:
            connection = pool.idle.pop()
            pool.timers.pop(connection).cancel()
            self.idle_connections -= 1
            connection.on_close = _ignore_close
            if not connection.is_stale():
                return connection
            connection.close()
        return None

    def keep(self, endpoint: int, connection: HttpConnection) -> None:
        """Keep a connection that is no longer used, or close it if it is of no use or one too many."""
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

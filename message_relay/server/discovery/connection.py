"""Connection to the discovery service that is reopened with a backoff after each failure."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from message_relay.server.configuration import Address
from message_relay.server.discovery.backoff import ReconnectBackoff
from message_relay.server.http.connection import HttpConnection

# An attempt to connect is repeated after this time, which is part of the 6 s described in `endpoint_watch`.
CONNECT_TIMEOUT_S = 1.0

log = logging.getLogger(__name__)


class DiscoveryError(Exception):
    """Base of the errors in data that the discovery service sends."""


class DiscoveryConnection:
    """Base of the clients of the discovery service: one HTTP connection, one timer, one backoff.

    A subclass sends its request in `connected` and calls `retry` when the request has failed. The timer is
    used for the time-out of an attempt to connect, for that of a request, and for the wait before the next
    attempt.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.loop = loop
        self.address = address
        self.connection: HttpConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.backoff = ReconnectBackoff()
        self.stopped = False

    def connected(self) -> None:
        """Send the request on the connection, which has just been established."""
        raise NotImplementedError

    def set_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule the action after the delay, in place of the action that was scheduled before."""
        self.cancel_timer()
        self.timer = self.loop.call_later(delay_s, action)

    def cancel_timer(self) -> None:
        """Cancel the scheduled action, if there is one."""
        if self.timer:
            self.timer.cancel()

    def close_connection(self) -> None:
        """Close the HTTP connection, if there is one; its response handler is not called afterwards."""
        if self.connection is not None:
            self.connection.close()

    def reconnect(self) -> None:
        """Close the connection and open a new one at once, unless this client is stopped."""
        if self.stopped:
            return
        self.close_connection()
        try:
            self.connection = HttpConnection(self.loop, self.address)
            self.connection.connect(self._connect_finished)
        except OSError as error:
            log.warning("cannot open a connection to discovery: error=%s", error)
            self.set_timer(self.backoff.next_wait_s(), self.reconnect)
            return
        self.set_timer(CONNECT_TIMEOUT_S, self.reconnect)

    def _connect_finished(self, error: OSError | None) -> None:
        if error is None:
            self.connected()
        else:
            self.retry()

    def retry(self, backoff: ReconnectBackoff | None = None) -> None:
        """Close the connection and, unless this client is stopped, open a new one after the next wait.

        The wait is taken from the given backoff, by default from `self.backoff`.
        """
        self.close_connection()
        if not self.stopped:
            self.set_timer((backoff or self.backoff).next_wait_s(), self.reconnect)

    def change_address(self, address: Address) -> None:
        """Set the address of the discovery service, reset the backoff and drop the request in flight."""
        self.address = address
        self.backoff.reset()
        self.close_connection()

    def stop(self) -> None:
        """Close the connection and open no further one."""
        self.stopped = True
        self.cancel_timer()
        self.close_connection()

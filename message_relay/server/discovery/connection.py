"""A connection to the discovery service that is opened again whenever it is lost."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from message_relay.server.configuration import Address
from message_relay.server.discovery.backoff import ReconnectBackoff
from message_relay.server.http.connection import HttpConnection

# A connection that is not up after this long is given up: part of the 6 s in `endpoint_watch`.
CONNECT_TIMEOUT_S = 1.0

log = logging.getLogger(__name__)


class DiscoveryError(Exception):
    """Base of what can be wrong in what the discovery service sends."""


class DiscoveryConnection:
    """Base of the clients of the discovery service: one HTTP connection, one timer, one backoff.

    A subclass sends its request in `connected` and calls `retry` when the attempt has failed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.loop = loop
        self.address = address
        self.connection: HttpConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.backoff = ReconnectBackoff()
        self.stopped = False

    def connected(self) -> None:
        """The connection is up: send the request."""
        raise NotImplementedError

    def set_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call the action after the delay, in place of what the timer was set for before."""
        self.cancel_timer()
        self.timer = self.loop.call_later(delay_s, action)

    def cancel_timer(self) -> None:
        """Drop what the timer is set for, if anything."""
        if self.timer:
            self.timer.cancel()

    def close_connection(self) -> None:
        """Close the HTTP connection, if there is one; its response handler hears no more."""
        if self.connection is not None:
            self.connection.close()

    def reconnect(self) -> None:
        """Close the connection and open a new one, unless this client is stopped."""
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
        """Close the connection and open a new one after a wait.

        The wait comes from the given backoff, or from this client's own.
        """
        self.close_connection()
        if not self.stopped:
            self.set_timer((backoff or self.backoff).next_wait_s(), self.reconnect)

    def move(self, address: Address) -> None:
        """Use the discovery service at another address; requests in flight at the old one are dropped."""
        self.address = address
        self.backoff.reset()
        self.close_connection()

    def stop(self) -> None:
        """Close the connection for good."""
        self.stopped = True
        self.cancel_timer()
        self.close_connection()

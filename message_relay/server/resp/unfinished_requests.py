"""Limit on the memory that the unfinished requests of all client connections use together."""

from __future__ import annotations

import logging
from typing import Protocol

log = logging.getLogger(__name__)


class RequestHolder(Protocol):
    """Connection that holds the bytes of an unfinished request."""

    def discard_request(self) -> None:
        """Free the memory of the unfinished request; it is refused when it is complete."""


class UnfinishedRequests:
    """Bytes of unfinished requests by connection, the request that began first being the first.

    When their sum exceeds the limit, the requests that began first are discarded: a client that stops in the
    middle of a request, or sends it slowly, holds memory for longer than one that sends it at once.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.discarded_count = 0  # since the start of the process
        self._held_bytes: dict[RequestHolder, int] = {}

    def update(self, connection: RequestHolder, held_bytes: int) -> None:
        """Set the bytes that the connection holds, and discard requests if the limit is exceeded."""
        self.total_bytes += held_bytes - self._held_bytes.get(connection, 0)
        if held_bytes:
            self._held_bytes[connection] = held_bytes
        else:
            self._held_bytes.pop(connection, None)
        while self.total_bytes > self.limit_bytes:
            self._discard_oldest()

    def remove(self, connection: RequestHolder) -> None:
        """Remove the connection, whose request is complete or discarded."""
        self.total_bytes -= self._held_bytes.pop(connection, 0)

    def _discard_oldest(self) -> None:
        oldest = next(iter(self._held_bytes))
        log.warning(
            "unfinished request discarded: held_bytes=%d total_bytes=%d limit_bytes=%d",
            self._held_bytes[oldest],
            self.total_bytes,
            self.limit_bytes,
        )
        self.discarded_count += 1
        self.remove(oldest)
        oldest.discard_request()

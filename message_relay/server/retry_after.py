"""Waits that endpoints requested with Retry-After; they are checked again just before a call is written."""

from __future__ import annotations

from typing import NamedTuple

from message_relay.model import DestinationType, EndpointEntry
from message_relay.server import clock

ANY_ENDPOINT = -1


class RetryAfterScope(NamedTuple):
    """Scope of a Retry-After: all endpoints of a destination, or one endpoint of independent endpoints."""

    destination: int
    endpoint: int = ANY_ENDPOINT


class RetryAfterTable:
    """The end of each wait, in monotonic microseconds."""

    def __init__(self, destination_types: tuple[DestinationType, ...]) -> None:
        self._destination_types = destination_types
        self._until_us: dict[RetryAfterScope, int] = {}

    def __len__(self) -> int:
        return len(self._until_us)

    def record(self, entry: EndpointEntry, retry_after_us: int) -> None:
        """Record a Retry-After that the endpoint sent; of two waits of one scope, the later end applies."""
        scope = self._scope(entry)
        until_us = clock.monotonic_us() + retry_after_us
        self._until_us[scope] = max(self._until_us.get(scope, 0), until_us)

    def has_expired(self, entry: EndpointEntry) -> bool:
        """Return whether no wait applies to the endpoint now."""
        return self._until_us.get(self._scope(entry), 0) <= clock.monotonic_us()

    def remove_wait(self, entry: EndpointEntry) -> None:
        """Remove the wait of one endpoint; a wait of its destination stays."""
        self._until_us.pop(RetryAfterScope(entry.destination, entry.endpoint), None)

    def _scope(self, entry: EndpointEntry) -> RetryAfterScope:
        destination_type = self._destination_types[min(entry.type_index, len(self._destination_types) - 1)]
        endpoint = entry.endpoint if destination_type.independent_endpoints else ANY_ENDPOINT
        return RetryAfterScope(entry.destination, endpoint)

    def export_waits(self) -> list[tuple[RetryAfterScope, int]]:
        """Return all waits, for the handover of a hot restart."""
        return list(self._until_us.items())

    def import_wait(self, scope: RetryAfterScope, until_us: int) -> None:
        """Store a wait that the old process of a hot restart handed over."""
        self._until_us[scope] = until_us

"""The Retry-After that destinations gave: looked at once more before a call is written."""

from __future__ import annotations

from typing import NamedTuple

from message_relay.model import DestinationType, EndpointEntry
from message_relay.server import clock

ANY_ENDPOINT = -1


class RetryAfterScope(NamedTuple):
    """What one Retry-After holds for: a destination, or one endpoint where these are independent."""

    destination: int
    endpoint: int = ANY_ENDPOINT


class RetryAfterTable:
    """When each wait ends, in monotonic microseconds."""

    def __init__(self, destination_types: tuple[DestinationType, ...]) -> None:
        self._destination_types = destination_types
        self._until_us: dict[RetryAfterScope, int] = {}

    def __len__(self) -> int:
        return len(self._until_us)

    def record(self, entry: EndpointEntry, wait_us: int) -> None:
        """The endpoint gave a Retry-After."""
        scope = self._scope(entry)
        until_us = clock.monotonic_us() + wait_us
        self._until_us[scope] = max(self._until_us.get(scope, 0), until_us)

    def is_over(self, entry: EndpointEntry) -> bool:
        """Whether the endpoint may be called, as far as it is known here."""
        return self._until_us.get(self._scope(entry), 0) <= clock.monotonic_us()

    def forget_endpoint(self, entry: EndpointEntry) -> None:
        """The endpoint has been removed."""
        self._until_us.pop(RetryAfterScope(entry.destination, entry.endpoint), None)

    def _scope(self, entry: EndpointEntry) -> RetryAfterScope:
        destination_type = self._destination_types[min(entry.type_index, len(self._destination_types) - 1)]
        endpoint = entry.endpoint if destination_type.independent_endpoints else ANY_ENDPOINT
        return RetryAfterScope(entry.destination, endpoint)

    def export_waits(self) -> list[tuple[RetryAfterScope, int]]:
        """All waits, for a hot restart."""
        return list(self._until_us.items())

    def import_wait(self, scope: RetryAfterScope, until_us: int) -> None:
        """A wait that the old process knew."""
        self._until_us[scope] = until_us

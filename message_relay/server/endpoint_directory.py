"""The endpoints that discovery lists: their uids, the numbers that stand for them here, and their entries."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Any

from message_relay.model import EndpointEntry, EndpointListForm, EndpointListReceived, EndpointState, Settings
from message_relay.server.configuration import Address, ConfigurationError, parse_address
from message_relay.server.endpoint_calls import EndpointCallClient
from message_relay.server.retry_after import RetryAfterTable

STATES_BY_NAME = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
Target = dict[str, Any]  # a raw entry of the endpoint list, as discovery sends it
log = logging.getLogger(__name__)


class EndpointDirectory:
    """Applies endpoint lists: numbers the endpoints and keeps the call client's addresses up to date."""

    def __init__(
        self,
        settings: Settings,
        zones: Iterable[str],
        calls: EndpointCallClient,
        retry_after: RetryAfterTable,
    ) -> None:
        self.entries: dict[int, EndpointEntry] = {}
        self.targets: dict[int, Target] = {}  # the raw entries of the same endpoints
        self.numbers: dict[str, int] = {}  # by uid
        self.uids: dict[int, str] = {}
        # Destinations listed so far. One without endpoints stays, as this may be temporary.
        self.destinations: set[int] = set()
        self._last_number = 0
        self._destination_types = settings.destination_types
        self._type_indexes = {
            destination_type.name: number
            for number, destination_type in enumerate(settings.destination_types)
        }
        self._zone_numbers = {zone: number for number, zone in enumerate(zones)}
        self._calls = calls
        self._retry_after = retry_after

    def apply(self, targets: Iterable[Target], form: EndpointListForm) -> EndpointListReceived:
        """Apply a list or a change of it and return the event for the policy.

        Invalid entries are logged and skipped.
        """
        entries = [entry for target in targets if (entry := self._update_entry(target)) is not None]
        if form is not EndpointListForm.DELTA:
            listed = {entry.endpoint for entry in entries}
            for number in [number for number in self.entries if number not in listed]:
                self._remove(number)
        for entry in entries:
            if entry.state is EndpointState.REMOVED:
                self._remove(entry.endpoint)
            elif entry.state is EndpointState.DRAINING:
                self._calls.close_idle_connections(entry.endpoint)
        return EndpointListReceived(form, tuple(entries))

    def _update_entry(self, target: Target) -> EndpointEntry | None:
        """Store the entry and return it, None if it is invalid."""
        try:
            entry, address = self._parse_target(target)
        except (KeyError, TypeError, ValueError, ConfigurationError) as error:
            log.error("invalid entry of the endpoint list skipped: error=%r", error)
            return None
        self.entries[entry.endpoint], self.targets[entry.endpoint] = entry, target
        self.destinations.add(entry.destination)
        self._calls.set_address(entry.endpoint, address)
        return entry

    def _parse_target(self, target: Target) -> tuple[EndpointEntry, Address]:
        uid = str(target["uid"])
        if uid not in self.numbers:
            self.numbers[uid] = self.reserve_number()
            self.uids[self.numbers[uid]] = uid
        entry = EndpointEntry(
            self.numbers[uid],
            int(target["pod_group"]),
            STATES_BY_NAME[target["state"]],
            float(target.get("capacity_hint") or 0.0),
            self._type_indexes.get(target.get("model", ""), 0),
            self._zone_numbers.get(target.get("az", ""), 0),
        )
        return entry, parse_address(target["endpoint"], "endpoint")

    def reserve_number(self) -> int:
        """Return a number that has not been used for any endpoint before."""
        self._last_number += 1
        return self._last_number

    def _remove(self, number: int) -> None:
        self.targets.pop(number, None)
        if entry := self.entries.pop(number, None):
            self._retry_after.remove_wait(entry)
        self.numbers.pop(self.uids.pop(number, ""), None)  # listed again, it gets a new number
        self._calls.remove_endpoint(number)

    def batch_size(self, number: int) -> int:
        """Return the maximum number of messages in one call to the endpoint, 1 if it is not listed."""
        entry = self.entries.get(number)
        return (
            self._destination_types[min(entry.type_index, len(self._destination_types) - 1)].max_batch_size
            if entry
            else 1
        )

    def zone(self, number: int) -> int:
        """Return the endpoint's zone, -1 if it is not listed."""
        return self.entries[number].zone if number in self.entries else -1

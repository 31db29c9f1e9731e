"""The watch on the endpoint list: a long response of the discovery service, one JSON line for each change.

An endpoint list change must reach this instance within 6 s of when the discovery service had it and could be
reached, whatever failed before. A silence, one failed request and the longest wait after it fit into that
together; after SIGHUP the last two fit into 4 s. The timeouts below are chosen for it.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from message_relay.server.configuration import Address
from message_relay.server.discovery.backoff import CeilingLimits, ReconnectBackoff
from message_relay.server.discovery.connection import DiscoveryConnection, DiscoveryError
from message_relay.server.http.response_handler import ResponseHandler

# The service sends an empty line every 2 s: a watch that is silent for longer is taken for dead.
SILENCE_TIMEOUT_S = 2.7
# For the first byte of the response and for the rest of a line: a busy service may need a while.
RESPONSE_TIMEOUT_S = 2.2
# A lost watch is opened again without long waits, in a fleet of any size.
LOST_WATCH_LIMITS = CeilingLimits(first_s=2.0, longest_s=3.0)
# A service that rejects again and again is overloaded by the requests of the whole fleet: each instance then
# sends as rarely as the 6 s allow.
REJECTED_WATCH_LIMITS = CeilingLimits(first_s=3.0, longest_s=5.6)
REJECTED_WATCH_FLOOR_SHARE = 1 / 2
# An unfinished line longer than this is no change of an endpoint list; it would only fill the memory.
MAX_LINE_BYTES = 1 << 24

STATUS_OK = 200

log = logging.getLogger(__name__)


class MalformedChangeError(DiscoveryError):
    """A line of the watch that is not an endpoint list change."""


class EndpointListChange(NamedTuple):
    """One change of the endpoint list.

    revision: the list's revision after the change; complete: whether the targets are the complete list, or
    only those that changed; targets: the entries as they came.
    """

    revision: int
    complete: bool
    targets: list[dict[str, Any]]

    @classmethod
    def from_line(cls, line: bytes) -> EndpointListChange:
        """Parse a line of the watch; MalformedChangeError says what was wrong with it."""
        try:
            fields = json.loads(line)
            revision = int(fields["rev"])
            targets = fields["targets"]
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise MalformedChangeError(f"expected a JSON object with rev and targets: {error!r}") from error
        if not isinstance(targets, list):
            raise MalformedChangeError(f"targets must be a list, not {type(targets).__name__}")
        return cls(revision, bool(fields.get("all")), targets)


class EndpointWatch(DiscoveryConnection, ResponseHandler):
    """Follows the endpoint list from a revision on and reports each change.

    `revision` is that of the latest change reported, 0 to be sent the complete list.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        revision: int,
        on_change: Callable[[EndpointListChange], None],
        instance_count: int = 1,
    ) -> None:
        super().__init__(loop, address)
        self.revision = revision
        self.backoff = ReconnectBackoff(instance_count, LOST_WATCH_LIMITS)
        self._rejected_backoff = ReconnectBackoff(
            instance_count, REJECTED_WATCH_LIMITS, REJECTED_WATCH_FLOOR_SHARE
        )
        self._on_change = on_change
        self._unfinished_line = b""
        self._status = 0

    def start(self) -> None:
        """Open the watch."""
        self.reconnect()

    def move(self, address: Address) -> None:
        """Follow the list at another address at once, from the same revision on."""
        super().move(address)
        self._rejected_backoff.reset()
        self.reconnect()

    def connected(self) -> None:
        """Ask for the changes after the latest revision."""
        assert self.connection is not None
        self._unfinished_line = b""
        self._status = 0
        self.set_timer(RESPONSE_TIMEOUT_S, self.reconnect)
        target = f"/discovery/hosts?watch=1&from={self.revision}"
        self.connection.send_request("GET", target, [], b"", self)

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """Retry later if the watch was rejected; the body of such a response is no endpoint list."""
        self._status = status
        if status == STATUS_OK:
            self.set_timer(SILENCE_TIMEOUT_S, self.reconnect)
        else:
            log.warning("discovery rejected the watch: status=%d", status)
            self.retry(self._rejected_backoff)

    def body_received(self, data: bytes) -> None:
        """Report the changes whose lines are complete now."""
        if self._status != STATUS_OK:
            return
        *lines, self._unfinished_line = (self._unfinished_line + data).split(b"\n")
        self.set_timer(RESPONSE_TIMEOUT_S if self._unfinished_line else SILENCE_TIMEOUT_S, self.reconnect)
        if len(self._unfinished_line) > MAX_LINE_BYTES:
            self.retry()
            return
        for line in lines:
            if line.strip():
                self._line_received(line)

    def _line_received(self, line: bytes) -> None:
        try:
            change = EndpointListChange.from_line(line)
        except MalformedChangeError as error:
            log.error("malformed endpoint list change: error=%s", error)
            # The change that the line carried is lost: the complete list replaces it.
            self.revision = 0
            self.retry()
            return
        self.backoff.reset()
        self._rejected_backoff.reset()
        self.revision = change.revision
        self._on_change(change)

    def response_complete(self, trailing_bytes: bool) -> None:
        """The service ended the watch: open it again."""
        self.retry()

    def connection_lost(self, request_written: bool) -> None:
        """The connection broke: open the watch again."""
        self.retry()

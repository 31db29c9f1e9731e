"""Watch on the endpoint list: an endless response of the discovery service, with a JSON line for each change.

An endpoint list change must reach this instance at most 6 s after the discovery service has it and is
reachable, whatever failed before. The time-outs and waits below ensure this: the time until a silent watch is
found broken, one failed request and the longest wait that can follow it take less than 6 s together. When
SIGHUP changes the address, which resets the backoffs, one failed request and the longest wait that can follow
it take less than 4 s.

A service that is slow or crowded may answer later than that. A request that is repeated at once each time
would never be answered, and would add to the load: after a time-out, the next one has a longer limit.

The watch is reopened from the revision of the latest change reported, so a change that was missed while it
was broken is sent then. A malformed change cannot be skipped: the watch is reopened from revision 0, and the
service sends the complete list, which replaces the lost change.
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

# The service sends an empty line every 2 s: a watch that is silent for longer is assumed to be broken.
SILENCE_TIMEOUT_S = 2.7
# Limit for the headers of the response, and for each further part of an unfinished line: a busy service may
# take longer than usual.
RESPONSE_TIMEOUT_S = 2.2
# The limit for the headers grows by this factor after each time-out, up to a maximum. After a time-out, one
# request with the maximum is answered within 6 s of the first.
RESPONSE_TIMEOUT_FACTOR = 1.5
MAX_RESPONSE_TIMEOUT_S = 3.3
# A lost watch is reopened without long waits, in a fleet of any size.
LOST_WATCH_LIMITS = CeilingLimits(initial_s=2.0, maximum_s=3.0)
# A service that rejects repeatedly is overloaded by the requests of the fleet: each instance then waits
# nearly as long as the 6 s permit.
REJECTED_WATCH_LIMITS = CeilingLimits(initial_s=3.0, maximum_s=5.6)
REJECTED_WATCH_FLOOR_SHARE = 1 / 2
# A longer unfinished line is not an endpoint list change and would exhaust the memory.
MAX_LINE_BYTES = 1 << 24

STATUS_OK = 200

log = logging.getLogger(__name__)


class MalformedChangeError(DiscoveryError):
    """A line of the watch is not a valid endpoint list change."""


class EndpointListChange(NamedTuple):
    """One change of the endpoint list.

    revision: revision of the list after the change; complete: whether the targets are the complete list, not
    only those that changed; targets: the entries as received.
    """

    revision: int
    complete: bool
    targets: list[dict[str, Any]]

    @classmethod
    def from_line(cls, line: bytes) -> EndpointListChange:
        """Parse a line of the watch; raises `MalformedChangeError` if it is not a valid change."""
        try:
            fields = json.loads(line)
            revision = int(fields["rev"])
            targets = fields["targets"]
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise MalformedChangeError(
                f"expected JSON with rev and targets, not {line[:80]!r}: {type(error).__name__}: {error}"
            ) from error
        if not isinstance(targets, list):
            raise MalformedChangeError(f"targets must be a list, not {type(targets).__name__}: {line[:80]!r}")
        return cls(revision, bool(fields.get("all")), targets)


class EndpointWatch(DiscoveryConnection, ResponseHandler):
    """Requests the changes of the endpoint list after a revision and reports each to `on_change`.

    `revision` is the revision of the latest change reported; 0 requests the complete list.
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
        self._response_timeout_s = RESPONSE_TIMEOUT_S

    def start(self) -> None:
        """Open the watch."""
        self.reconnect()

    def change_address(self, address: Address) -> None:
        """Set the address of the discovery service and reopen the watch there at once, from `revision`."""
        super().change_address(address)
        self._rejected_backoff.reset()
        self._response_timeout_s = RESPONSE_TIMEOUT_S
        self.reconnect()

    def connected(self) -> None:
        """Request the changes after the latest revision."""
        assert self.connection is not None
        self._unfinished_line = b""
        self._status = 0
        self.set_timer(self._response_timeout_s, self._response_timed_out)
        target = f"/discovery/hosts?watch=1&from={self.revision}"
        self.connection.send_request("GET", target, [], b"", self)

    def _response_timed_out(self) -> None:
        """Repeat the request with a longer limit."""
        log.warning("discovery did not answer the watch: timeout_s=%.1f", self._response_timeout_s)
        longer_timeout_s = self._response_timeout_s * RESPONSE_TIMEOUT_FACTOR
        self._response_timeout_s = min(MAX_RESPONSE_TIMEOUT_S, longer_timeout_s)
        self.reconnect()

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """Wait for the first line, or reopen the watch after a wait if the service rejected it."""
        self._status = status
        self._response_timeout_s = RESPONSE_TIMEOUT_S
        if status == STATUS_OK:
            self.set_timer(SILENCE_TIMEOUT_S, self.reconnect)
        else:
            log.warning("discovery rejected the watch: status=%d", status)
            self.retry(self._rejected_backoff)

    def body_received(self, data: bytes) -> None:
        """Report each change whose line is complete; store an unfinished line."""
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
            # The change in this line is lost: revision 0 requests the complete list, which replaces it.
            self.revision = 0
            self.retry()
            return
        self.backoff.reset()
        self._rejected_backoff.reset()
        self.revision = change.revision
        self._on_change(change)

    def response_complete(self) -> None:
        """Reopen the watch after a wait, since the service ended it."""
        self.retry()

    def connection_lost(self, request_written: bool) -> None:
        """Reopen the watch after a wait, since the connection was lost."""
        self.retry()

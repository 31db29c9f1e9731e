"""Notices to the discovery service: the final answers of messages that were not delivered."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from message_relay.server.configuration import Address
from message_relay.server.discovery.connection import DiscoveryConnection
from message_relay.server.http.response_handler import ResponseHandler

# The service answers notices at once; a batch without a response in this time is sent again.
RESPONSE_TIMEOUT_S = 1.0
MAX_BATCH_SIZE = 200  # notices in one request

NOTICES_TARGET = "/v2/finals"
NOTICES_HEADERS = (("Content-Type", "application/x-ndjson"),)
STATUS_ACCEPTED = 204
STATUS_MALFORMED = 400

log = logging.getLogger(__name__)


class FinalNotice(NamedTuple):
    """Final answer of one message.

    message_number: number of the message in the journal, not sent; retry_after_ms: time after which the
    client may resubmit the message, 0 if it is not stated.
    """

    message_number: int
    message_id: str
    status: str
    retry_after_ms: int

    def to_line(self) -> bytes:
        """Return the notice as a line of JSON."""
        fields: dict[str, Any] = {"id": self.message_id, "status": self.status}
        if self.retry_after_ms:
            fields["again_ms"] = self.retry_after_ms
        return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class FinalNotifier(DiscoveryConnection, ResponseHandler):
    """Sends notices in batches, one batch at a time, and repeats each until the service accepts it with 204.

    Notices are idempotent, so one may be sent twice. `pending` holds the JSON lines of the notices that were
    not accepted yet, by message number. `on_accepted` is called with the message numbers of each batch that
    was accepted, and of each single notice that was rejected as malformed, which is not repeated.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        on_accepted: Callable[[list[int]], None],
    ) -> None:
        super().__init__(loop, address)
        self.pending: dict[int, bytes] = {}
        self.batch: list[int] = []
        self._on_accepted = on_accepted
        self._sending = False
        self._batch_limit = MAX_BATCH_SIZE
        self._status = 0

    def enqueue(self, notice: FinalNotice) -> None:
        """Add the notice to the pending ones and start to send them if no batch is in flight.

        The first batch is sent in the next iteration of the event loop, with the notices added until then.
        """
        self.pending[notice.message_number] = notice.to_line()
        if not self._sending:
            self._sending = True
            self.loop.call_soon(self._send_next)

    def change_address(self, address: Address) -> None:
        """Set the address of the discovery service and send the pending notices there at once."""
        super().change_address(address)
        if self._sending:
            self.reconnect()

    def _send_next(self) -> None:
        if not self.pending:
            self._sending = False
            self.cancel_timer()
            return
        connection = self.connection
        if connection is None or connection.closed or connection.is_stale():
            self.reconnect()
        else:
            self.connected()

    def connected(self) -> None:
        """Send the next batch of pending notices."""
        assert self.connection is not None
        self.batch = list(self.pending)[: self._batch_limit]
        body = b"".join(self.pending[number] for number in self.batch)
        self._status = 0
        self.set_timer(RESPONSE_TIMEOUT_S, self.reconnect)
        self.connection.send_request("POST", NOTICES_TARGET, NOTICES_HEADERS, body, self)

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """Store the status until the response is complete."""
        self._status = status

    def response_complete(self) -> None:
        """Send the next batch if this one was accepted; retry, halve or drop it if it was not."""
        if self._status == STATUS_ACCEPTED:
            self.backoff.reset()
            self._remove_batch()
            self._batch_limit = MAX_BATCH_SIZE
        elif self._status == STATUS_MALFORMED and len(self.batch) > 1:
            # Halve the batch until the notice that the service rejects as malformed is the only one in it.
            self._batch_limit = len(self.batch) // 2
        elif self._status == STATUS_MALFORMED:
            log.error("discovery rejected a notice as malformed: notice=%r", self.pending[self.batch[0]])
            self._remove_batch()
        else:
            log.warning("discovery did not accept the notices: status=%d", self._status)
            self.retry()
            return
        self._send_next()

    def _remove_batch(self) -> None:
        for number in self.batch:
            self.pending.pop(number, None)
        self._on_accepted(self.batch)

    def connection_lost(self, request_written: bool) -> None:
        """Send the batch again after a wait, since the connection was lost."""
        self.retry()

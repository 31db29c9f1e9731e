"""Notices to the discovery service of the messages that ended undelivered."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from message_relay.server.configuration import Address
from message_relay.server.discovery.connection import DiscoveryConnection
from message_relay.server.http.response_handler import ResponseHandler

# The service answers notices at once: after this long the batch is sent again.
RESPONSE_TIMEOUT_S = 1.0
# Notices in one request.
MAX_BATCH_SIZE = 200

NOTICES_TARGET = "/v2/finals"
NOTICES_HEADERS = (("Content-Type", "application/x-ndjson"),)
STATUS_ACCEPTED = 204
STATUS_MALFORMED = 400

log = logging.getLogger(__name__)


class FinalNotice(NamedTuple):
    """The final status of one message.

    message_number: the message's number in the journal, which is not sent; retry_after_ms: when the client
    may submit the message again, 0 for no statement.
    """

    message_number: int
    message_id: str
    status: str
    retry_after_ms: int

    def to_line(self) -> bytes:
        """The notice as a line of JSON."""
        fields: dict[str, Any] = {"id": self.message_id, "status": self.status}
        if self.retry_after_ms:
            fields["again_ms"] = self.retry_after_ms
        return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class FinalNotifier(DiscoveryConnection, ResponseHandler):
    """Sends notices in batches, one batch at a time, each until the service accepts it with 204.

    Notices are idempotent: sending one twice does no harm. `pending` holds the lines by message number;
    `on_accepted` is called with the message numbers of a batch that needs no more sending.
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
        """Send the notice, together with others that are enqueued in the same loop turn."""
        self.pending[notice.message_number] = notice.to_line()
        if not self._sending:
            self._sending = True
            self.loop.call_soon(self._send_next)

    def move(self, address: Address) -> None:
        """Send what is not accepted yet to another address, at once."""
        super().move(address)
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
        """Send the next batch."""
        assert self.connection is not None
        self.batch = list(self.pending)[: self._batch_limit]
        body = b"".join(self.pending[number] for number in self.batch)
        self._status = 0
        self.set_timer(RESPONSE_TIMEOUT_S, self.reconnect)
        self.connection.send_request("POST", NOTICES_TARGET, NOTICES_HEADERS, body, self)

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """Keep the status until the response is complete."""
        self._status = status

    def response_complete(self, trailing_bytes: bool) -> None:
        """Go on with the next batch, or retry this one."""
        if self._status == STATUS_ACCEPTED:
            self.backoff.reset()
            self._remove_batch()
            self._batch_limit = MAX_BATCH_SIZE
        elif self._status == STATUS_MALFORMED and len(self.batch) > 1:
            # Halve the batch until the notice that the service finds malformed is alone in one.
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
        """The connection broke: send the batch again."""
        self.retry()

"""HTTP requests to endpoints: single messages, batches and health checks."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from typing import NamedTuple

from message_relay.server.endpoint_calls.attempt import CallAttempt

HEALTH_CHECK_PATH = "/alive"
SINGLE_PATH = "/events"
BATCH_PATH = "/events/bundle"
MIN_TIMEOUT_MS = 1  # the header must be positive even if the deadline passes while the request is built
MS_PER_S = 1e3


class EndpointRequest(NamedTuple):
    """Parts of an HTTP request that depend on the call."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


def health_check_request() -> EndpointRequest:
    """Return the request of a health check."""
    return EndpointRequest("GET", HEALTH_CHECK_PATH, [], b"")


def delivery_request(
    attempts: list[CallAttempt], deadline_s: float, clock: Callable[[], float]
) -> EndpointRequest:
    """Return the request for one message or a batch.

    deadline_s: time of `clock`, in seconds, at which the call times out; the time that remains until then is
    sent to the endpoint.
    """
    if len(attempts) > 1:
        body = _batch_body(attempts)  # before the header, so that the remaining time excludes the encoding
        headers = [_timeout_header(deadline_s - clock()), ("Content-Type", "application/json")]
        return EndpointRequest("POST", BATCH_PATH, headers, body)
    attempt = attempts[0]
    headers = [("X-Request-ID", attempt.message_id), _timeout_header(deadline_s - clock())]
    if attempt.idempotency_key:
        headers.append(("Idempotency-Key", attempt.idempotency_key))
    return EndpointRequest("POST", SINGLE_PATH, headers, attempt.body)


def _timeout_header(remaining_s: float) -> tuple[str, str]:
    timeout_ms = max(MIN_TIMEOUT_MS, int(remaining_s * MS_PER_S))
    return "X-Timeout-Ms", str(timeout_ms)


def _batch_body(attempts: list[CallAttempt]) -> bytes:
    rows = [_batch_row(attempt) for attempt in attempts]
    return json.dumps(rows, separators=(",", ":")).encode()


def _batch_row(attempt: CallAttempt) -> dict[str, str]:
    row = {"id": attempt.message_id, "body": base64.b64encode(attempt.body).decode()}
    if attempt.idempotency_key:
        row["key"] = attempt.idempotency_key
    return row

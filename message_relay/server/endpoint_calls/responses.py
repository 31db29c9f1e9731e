"""Parsers of endpoint responses: statuses, batch bodies, Retry-After and load reports."""

from __future__ import annotations

import json
import math

from message_relay.model import AttemptResult
from message_relay.server.endpoint_calls.attempt import AttemptOutcome

STATUS_OK = 200
STATUS_MESSAGE_ENDED = 410  # the endpoint did nothing, and the message needs no further attempt
OVERLOAD_STATUSES = (429, 503)
NOT_EXECUTED_STATUSES = (400, 413, 504)  # the endpoint did nothing

RETRY_AFTER_HEADER = "retry-after"
LOAD_REPORT_HEADER = "x-server-load"
NO_SLOT_HEADER = "slots-taken"  # "1": no slot was free at this endpoint, which does not count as overload

MAX_RETRY_AFTER_S = 120.0  # longest wait of any destination; a higher value is invalid and ignored
MAX_LOAD_REPORT_LENGTH = 1024  # characters; a longer report is invalid, the settings name four values at most
US_PER_S = 1e6

BATCH_RESULTS = {
    "done": AttemptResult.OK,
    "failed": AttemptResult.ERROR,
    "busy": AttemptResult.REJECTED,
    "void": AttemptResult.NOT_ATTEMPTED,
    "used_up": AttemptResult.NOT_ATTEMPTED,
}
BATCH_STATES_THAT_END_MESSAGES = ("done", "void")


def outcome_of_status(status: int, headers: dict[str, str]) -> AttemptOutcome:
    """Return the outcome that a complete, well-formed response to a single message states."""
    retry_after_us = parse_retry_after_us(headers)
    if status == STATUS_OK:
        return AttemptOutcome(AttemptResult.OK, message_ended=True, retry_after_us=retry_after_us)
    if status in OVERLOAD_STATUSES:
        no_slot = headers.get(NO_SLOT_HEADER) == "1"
        result = AttemptResult.NOT_ATTEMPTED if no_slot else AttemptResult.REJECTED
        return AttemptOutcome(result, retry_after_us=retry_after_us)
    if status == STATUS_MESSAGE_ENDED:
        return AttemptOutcome(AttemptResult.NOT_ATTEMPTED, message_ended=True, retry_after_us=retry_after_us)
    if status in NOT_EXECUTED_STATUSES:
        return AttemptOutcome(AttemptResult.NOT_ATTEMPTED, retry_after_us=retry_after_us)
    # 500, or a status that the protocol does not define: the message may have been applied.
    return AttemptOutcome(AttemptResult.ERROR, retry_after_us=retry_after_us)


def parse_retry_after_us(headers: dict[str, str]) -> int:
    """Return the Retry-After in microseconds, 0 if it is missing or invalid."""
    try:
        seconds = float(headers.get(RETRY_AFTER_HEADER, "0"))
    except ValueError:
        return 0
    usable = 0 < seconds <= MAX_RETRY_AFTER_S  # False for NaN, too
    return int(seconds * US_PER_S) if usable else 0


def parse_load_report(headers: dict[str, str]) -> dict[str, float]:
    """Return the values of a load report by field name; empty if it is missing, too long or malformed."""
    report = headers.get(LOAD_REPORT_HEADER, "")
    if len(report) > MAX_LOAD_REPORT_LENGTH:
        return {}
    try:
        pairs = (pair.split("=", 1) for pair in report.split(",") if pair)
        values = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return {}
    return values if all(math.isfinite(value) for value in values.values()) else {}


def parse_batch_outcomes(body: bytes, retry_after_us: int) -> dict[str, AttemptOutcome]:
    """Return the outcome of each message in a batch's response, by message id.

    The result is empty if the body is malformed, has an unknown state or contains a message twice. A message
    without an outcome in it may have been applied. retry_after_us: Retry-After of the response, which is part
    of each outcome.
    """
    try:
        rows = json.loads(body)
        results = {str(row["id"]): BATCH_RESULTS[row["state"]] for row in rows}
        ended_ids = {str(row["id"]) for row in rows if row["state"] in BATCH_STATES_THAT_END_MESSAGES}
        if len(results) != len(rows):
            return {}
    except (ValueError, KeyError, TypeError, RecursionError):
        return {}
    return {
        message_id: AttemptOutcome(result, message_id in ended_ids, retry_after_us)
        for message_id, result in results.items()
    }

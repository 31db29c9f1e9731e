"""What the responses of endpoints mean: statuses, batch bodies, Retry-After and load reports."""

from __future__ import annotations

import json
import math

from message_relay.model import AttemptResult
from message_relay.server.endpoint_calls.attempt import AttemptOutcome

STATUS_OK = 200
STATUS_MESSAGE_ENDED = 410  # the endpoint did nothing, and nothing more is to be done
OVERLOAD_STATUSES = (429, 503)
NOT_EXECUTED_STATUSES = (400, 413, 504)  # the endpoint did nothing

RETRY_AFTER_HEADER = "retry-after"
LOAD_REPORT_HEADER = "x-server-load"
NO_SLOT_HEADER = "slots-taken"  # "1": rejected for want of a slot at this endpoint, which is no overload

MAX_RETRY_AFTER_S = 120.0  # a destination asks for no longer wait: a higher value is an error
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
    """Return what the complete response to a call with one message means for the attempt."""
    wait_us = parse_retry_after_us(headers)
    if status == STATUS_OK:
        return AttemptOutcome(AttemptResult.OK, message_ended=True, retry_after_us=wait_us)
    if status in OVERLOAD_STATUSES:
        no_slot = headers.get(NO_SLOT_HEADER) == "1"
        result = AttemptResult.NOT_ATTEMPTED if no_slot else AttemptResult.REJECTED
        return AttemptOutcome(result, retry_after_us=wait_us)
    if status == STATUS_MESSAGE_ENDED:
        return AttemptOutcome(AttemptResult.NOT_ATTEMPTED, message_ended=True, retry_after_us=wait_us)
    if status in NOT_EXECUTED_STATUSES:
        return AttemptOutcome(AttemptResult.NOT_ATTEMPTED, retry_after_us=wait_us)
    # 500, or a status that the protocol does not name: the message may have been applied.
    return AttemptOutcome(AttemptResult.ERROR, retry_after_us=wait_us)


def parse_retry_after_us(headers: dict[str, str]) -> int:
    """Return the Retry-After in microseconds, 0 if there is none or none that can be used."""
    try:
        seconds = float(headers.get(RETRY_AFTER_HEADER, "0"))
    except ValueError:
        return 0
    usable = 0 < seconds <= MAX_RETRY_AFTER_S  # false for NaN, too
    return int(seconds * US_PER_S) if usable else 0


def parse_load_report(headers: dict[str, str]) -> dict[str, float]:
    """Return the values of a load report by their names, none if any of them is malformed."""
    try:
        pairs = (pair.split("=", 1) for pair in headers.get(LOAD_REPORT_HEADER, "").split(",") if pair)
        values = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return {}
    return values if all(math.isfinite(value) for value in values.values()) else {}


def parse_batch_outcomes(body: bytes, wait_us: int) -> dict[str, AttemptOutcome]:
    """Return the outcomes in a batch's response by message id.

    There are none if the body is malformed or names a message twice. wait_us: the response's Retry-After.
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
        message_id: AttemptOutcome(result, message_id in ended_ids, wait_us)
        for message_id, result in results.items()
    }

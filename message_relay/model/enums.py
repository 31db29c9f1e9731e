"""Enumerations used in settings, events and actions."""

from __future__ import annotations

from enum import Enum


class Idempotency(Enum):
    """Whether a message may be attempted again once an earlier attempt may have been applied."""

    # A second delivery has no further effect: attempts may be repeated at any endpoint.
    IDEMPOTENT = "idempotent"
    # The destination recognizes a second delivery by its idempotency key and ignores it. Attempts may be
    # repeated within MessageClass.key_window_us, at the endpoints that MessageClass.key_scope includes.
    KEYED = "keyed"
    # A second delivery takes effect a second time: the message is not attempted again.
    NON_IDEMPOTENT = "non_idempotent"


class KeyScope(Enum):
    """Endpoints that recognize an idempotency key once one of them has received it."""

    ALL = "all"  # all endpoints of the destination
    ZONE = "zone"  # the endpoints in the same zone
    CELL = "cell"  # the endpoints in the same cell


class AttemptResult(Enum):
    """Outcome of an attempt or of a health check.

    Only REJECTED, CONNECT_FAILED and NOT_ATTEMPTED prove that the message was not applied; after any other
    failure it may have been.
    """

    OK = "ok"  # the destination processed the message
    ERROR = "error"  # a response came, but it reports an error or cannot be read
    REJECTED = "rejected"  # the destination rejected the call because of overload
    TIMEOUT = "timeout"  # no response within the time-out
    CONNECT_FAILED = "connect_failed"  # no connection was established
    RESET = "reset"  # the connection broke before the response was complete
    CANCELLED = "cancelled"  # the caller stopped waiting for the response
    NOT_ATTEMPTED = "not_attempted"  # nothing was sent, or the destination reports that it did not process it


# Results that prove that the message was not applied.
RESULTS_NOT_APPLIED = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_ATTEMPTED)


class EndpointState(Enum):
    """State of an endpoint according to the endpoint list; the list does not report its health."""

    READY = "ready"  # accepts calls
    DRAINING = "draining"  # is about to be removed: it gets no new calls
    REMOVED = "removed"  # no longer exists


class EndpointListForm(Enum):
    """How the entries of an EndpointListReceived change the endpoint list."""

    DELTA = "delta"  # they are added or replace those of the same endpoint; all others stay
    COMPLETE = "complete"  # they replace the list; an endpoint without an entry is removed
    CACHED = "cached"  # the same as COMPLETE, with a list from before the start of the process
    FAILED = "failed"  # a request for the list failed: there are no entries, and the list stays as it is

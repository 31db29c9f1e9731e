"""Closed sets of values in settings, events and actions."""

from __future__ import annotations

from enum import Enum


class Idempotency(Enum):
    """What a second delivery of the same message does."""

    IDEMPOTENT = "idempotent"  # nothing: it may be repeated freely
    KEYED = "keyed"  # nothing, as long as the destination remembers its idempotency key
    NON_IDEMPOTENT = "non_idempotent"  # a second effect: never repeated once it may have been applied


class KeyScope(Enum):
    """The endpoints that recognize an idempotency key once one of them has seen it."""

    ALL = "all"  # all endpoints of the destination
    ZONE = "zone"  # those in the same zone
    CELL = "cell"  # those in the same cell


class AttemptResult(Enum):
    """How an attempt ended.

    Only REJECTED, CONNECT_FAILED and NOT_ATTEMPTED prove that the message was not applied.
    """

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # the destination refused it for overload
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_ATTEMPTED = "not_attempted"  # nothing was written, or the destination said that it did nothing


class EndpointState(Enum):
    """What the endpoint list says of an endpoint; it says nothing of its health."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointListForm(Enum):
    """How an endpoint list relates to the one before it."""

    DELTA = "delta"  # changes the list
    COMPLETE = "complete"  # replaces the list
    CACHED = "cached"  # replaces it, from what was known before the start
    FAILED = "failed"  # a request for the list failed

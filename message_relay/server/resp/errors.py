"""Base class of the errors that a client's input can cause."""

from __future__ import annotations


class RespError(ValueError):
    """Data from a client that is not a valid request."""

"""The base of the errors that a client's input can cause."""

from __future__ import annotations


class RespError(ValueError):
    """What a client has sent cannot be used."""

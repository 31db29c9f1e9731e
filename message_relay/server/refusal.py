"""Reasons for which a submitted message is refused: its client may submit it again."""

from __future__ import annotations

import enum


class RefusalReason(enum.Enum):
    """Why a message was not accepted; the value is the label of the metric and of the log line."""

    OPEN_MESSAGES = "open_messages"  # their number is at its limit
    QUIESCED = "quiesced"
    MEMORY = "memory"  # for messages, or for requests that are being received
    IDENTIFIERS = "identifiers"  # too many ids of completed messages and idempotency keys are stored
    HANDOVER = "handover"  # another process serves, or is about to
    DESTINATION = "destination"  # discovery has not listed it
    POLICY = "policy"
    JOURNAL = "journal"  # it could not be recorded
    CLIENT_LEFT = "client_left"  # no client would receive the reply

"""The commands that clients send, parsed into typed requests."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

from message_relay.server.resp.errors import RespError

PRINTABLE = re.compile(rb"[\x21-\x7e]{1,256}")  # ids and idempotency keys: they travel in HTTP headers
SUBMIT_ARGUMENTS = 4  # order key, message id, fields, body
MAX_PING_ARGUMENTS = 1  # the text that is to be echoed
MAX_NUMBER_DIGITS = 12  # bounds the cost of parsing; no valid field needs as many
ORDER_KEY_BYTES = 8  # of the digest that stands for an order key
CLASS_FIELD = "c"
TENANT_FIELD = "t"
LIFETIME_FIELD = "d"
DESTINATION_FIELD = "dest"
IDEMPOTENCY_KEY_FIELD = "k"
RESUBMITTED_FIELD = "r"


class InvalidRequestError(RespError):
    """A complete request is not valid. The text goes to the client in an -ERR reply."""


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """MSG.PUT: a message that a client submits."""

    message_id: str
    order_key: int  # shared by the messages of an ordered class that must keep their order, 0 for none
    class_name: str
    tenant_name: str | None
    lifetime_ms: int
    destination: int
    idempotency_key: str  # empty for none
    resubmitted: bool
    body: bytes


@dataclass(frozen=True, slots=True)
class PingRequest:
    """PING: asks whether the instance is ready for clients."""

    text: bytes | None  # to be echoed


@dataclass(frozen=True, slots=True)
class QuitRequest:
    """QUIT: the client ends its connection."""


Request = SubmitRequest | PingRequest | QuitRequest


def parse_request(arguments: list[bytes]) -> Request:
    """Parse a complete request, its name first. Raises InvalidRequestError."""
    name = arguments[0].upper() if arguments else b""
    parameters = arguments[1:]
    if name == b"MSG.PUT":
        return parse_submit(parameters)
    if name == b"PING" and len(parameters) <= MAX_PING_ARGUMENTS:
        return PingRequest(parameters[0] if parameters else None)
    if name == b"QUIT":
        return QuitRequest()
    raise InvalidRequestError("unknown command")


def parse_submit(arguments: list[bytes]) -> SubmitRequest:
    """Parse the arguments of MSG.PUT, without its name. Raises InvalidRequestError."""
    if len(arguments) != SUBMIT_ARGUMENTS:
        raise InvalidRequestError("wrong number of arguments for 'MSG.PUT'")
    order_text, message_id, field_text, body = arguments
    if not PRINTABLE.fullmatch(message_id):
        raise InvalidRequestError("id: must be printable characters")
    fields = _parse_fields(field_text)
    idempotency_key = fields.get(IDEMPOTENCY_KEY_FIELD, "")
    if idempotency_key and not PRINTABLE.fullmatch(idempotency_key.encode()):
        raise InvalidRequestError(f"{IDEMPOTENCY_KEY_FIELD}: must be printable characters")
    if CLASS_FIELD not in fields:
        raise InvalidRequestError(f"{CLASS_FIELD}: lacks")
    return SubmitRequest(
        message_id=message_id.decode(),
        order_key=order_key_of(order_text),
        class_name=fields[CLASS_FIELD],
        tenant_name=fields.get(TENANT_FIELD),
        lifetime_ms=_parse_number(fields, LIFETIME_FIELD),
        destination=_parse_number(fields, DESTINATION_FIELD),
        idempotency_key=idempotency_key,
        resubmitted=fields.get(RESUBMITTED_FIELD) == "1",
        body=body,
    )


def order_key_of(text: bytes) -> int:
    """Map any text to a number that is the same after a restart; zeros alone mean no order key."""
    if not text.strip(b"0"):
        return 0
    return int.from_bytes(hashlib.blake2b(text, digest_size=ORDER_KEY_BYTES).digest(), "big")


def _parse_fields(text: bytes) -> dict[str, str]:
    try:
        return dict(pair.split("=", 1) for pair in text.decode().split(",") if pair)
    except ValueError:
        raise InvalidRequestError("fields: must be name=value, with commas between") from None


def _parse_number(fields: dict[str, str], name: str) -> int:
    value = fields.get(name, "")
    if not value.isascii() or not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
        raise InvalidRequestError(f"{name}: must be a whole number")
    return int(value)

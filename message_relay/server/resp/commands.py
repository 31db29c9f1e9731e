"""Parser of the commands that clients send; it returns typed requests."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

from message_relay.server.resp.errors import RespError

PRINTABLE = re.compile(rb"[\x21-\x7e]{1,256}")  # message ids and idempotency keys, sent in HTTP headers
SUBMIT_ARGUMENTS = 4  # order key, message id, fields, body
MAX_PING_ARGUMENTS = 1  # the text to echo
MAX_PING_TEXT_BYTES = 64  # the echoes to a client that does not read them stay in memory
MAX_FIELDS_BYTES = 2048  # all fields with their longest values take less than half of it
MAX_NUMBER_DIGITS = 12  # bounds the cost of parsing; valid numbers are shorter
ORDER_KEY_BYTES = 8  # size of the hash that replaces the text of an order key
CLASS_FIELD = "c"
TENANT_FIELD = "t"
LIFETIME_FIELD = "d"
DESTINATION_FIELD = "dest"
IDEMPOTENCY_KEY_FIELD = "k"
RESUBMITTED_FIELD = "r"


class InvalidRequestError(RespError):
    """A complete request that is not valid. The text is sent to the client in an -ERR reply."""


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """MSG.PUT: submits a message."""

    message_id: str
    order_key: int  # equal for messages of an ordered class that must keep their order; 0 for none
    class_name: str
    tenant_name: str | None
    lifetime_ms: int
    destination: int
    idempotency_key: str  # empty if the message has none
    resubmitted: bool
    body: bytes
    body_discarded: bool  # the body was too long for the memory that is left; it is empty here


@dataclass(frozen=True, slots=True)
class PingRequest:
    """PING: checks whether the instance is ready for clients."""

    text: bytes | None  # echoed in the reply; without it the reply is +PONG


@dataclass(frozen=True, slots=True)
class QuitRequest:
    """QUIT: closes the connection."""


Request = SubmitRequest | PingRequest | QuitRequest


def parse_request(arguments: list[bytes], *, discarded: bool = False) -> Request:
    """Parse a complete request, whose first argument is the command name.

    discarded: the last argument was discarded while the request was received. Raises InvalidRequestError if
    the request is not valid.
    """
    name = arguments[0].upper() if arguments else b""
    parameters = arguments[1:]
    if name == b"MSG.PUT":
        return parse_submit(parameters, body_discarded=discarded)
    if name == b"PING" and len(parameters) <= MAX_PING_ARGUMENTS:
        return PingRequest(_parse_ping_text(parameters[0]) if parameters else None)
    if name == b"QUIT":
        return QuitRequest()
    raise InvalidRequestError("unknown command")


def _parse_ping_text(text: bytes) -> bytes:
    if len(text) > MAX_PING_TEXT_BYTES:
        raise InvalidRequestError(f"text: expected at most {MAX_PING_TEXT_BYTES} bytes, got {len(text)}")
    return text


def parse_submit(arguments: list[bytes], *, body_discarded: bool = False) -> SubmitRequest:
    """Parse the arguments of MSG.PUT, without the command name.

    Raises InvalidRequestError if they are not valid.
    """
    if len(arguments) != SUBMIT_ARGUMENTS:
        raise InvalidRequestError("wrong number of arguments for 'MSG.PUT'")
    order_text, message_id, field_text, body = arguments
    if not PRINTABLE.fullmatch(message_id):
        raise InvalidRequestError(
            f"id: expected 1 to 256 printable ASCII characters without spaces, got {message_id!r:.80}"
        )
    fields = _parse_fields(field_text)
    idempotency_key = fields.get(IDEMPOTENCY_KEY_FIELD, "")
    if idempotency_key and not PRINTABLE.fullmatch(idempotency_key.encode()):
        raise InvalidRequestError(
            f"{IDEMPOTENCY_KEY_FIELD}: expected 1 to 256 printable ASCII characters without spaces, "
            f"got {idempotency_key!r:.80}"
        )
    if CLASS_FIELD not in fields:
        raise InvalidRequestError(f"{CLASS_FIELD}: missing, expected the name of a message class")
    return SubmitRequest(
        message_id=message_id.decode(),
        order_key=hash_order_key(order_text),
        class_name=fields[CLASS_FIELD],
        tenant_name=fields.get(TENANT_FIELD),
        lifetime_ms=_parse_number(fields, LIFETIME_FIELD),
        destination=_parse_number(fields, DESTINATION_FIELD),
        idempotency_key=idempotency_key,
        resubmitted=fields.get(RESUBMITTED_FIELD) == "1",
        body=body,
        body_discarded=body_discarded,
    )


def hash_order_key(text: bytes) -> int:
    """Return a hash of an order key, the same after a restart.

    Returns 0, which means no order key, if the text is empty or consists of zeros.
    """
    if not text.strip(b"0"):
        return 0
    return int.from_bytes(hashlib.blake2b(text, digest_size=ORDER_KEY_BYTES).digest(), "big")


def _parse_fields(text: bytes) -> dict[str, str]:
    if len(text) > MAX_FIELDS_BYTES:
        raise InvalidRequestError(f"fields: expected at most {MAX_FIELDS_BYTES} bytes, got {len(text)}")
    try:
        return dict(pair.split("=", 1) for pair in text.decode().split(",") if pair)
    except ValueError:
        raise InvalidRequestError(
            f"fields: expected UTF-8 name=value pairs separated by commas, got {text!r:.80}"
        ) from None


def _parse_number(fields: dict[str, str], name: str) -> int:
    value = fields.get(name, "")
    if not value.isascii() or not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
        raise InvalidRequestError(
            f"{name}: expected a number of 1 to {MAX_NUMBER_DIGITS} decimal digits, got {value!r:.80}"
        )
    return int(value)

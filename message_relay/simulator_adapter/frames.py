"""Binary frames of the simulator: request frames are decoded to events, actions are encoded to reply frames.

A frame is a header followed by a body. The body consists of records of fixed size, then of a tail with data
of variable size, which records refer to by offset and size. One request frame carries the events of one tick
of several instances; the reply frame with the same sequence number carries their actions. Integers and floats
are big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, TypeVar

from message_relay import model
from message_relay.model import AttemptResult, EndpointEntry, EndpointListForm, EndpointState, Settings
from message_relay.simulator_adapter.settings_json import read_settings

REQUEST_HEADER = struct.Struct(">IIQI")  # the fields of RequestHeader, in their order
REPLY_HEADER = struct.Struct(">III")  # sequence number, number of records, body size in bytes
EVENT_SIZE_BYTES = 40  # a record of a request frame
ACTION_SIZE_BYTES = 16  # a record of a reply frame
ENTRY_SIZE_BYTES = 24  # an entry of an endpoint list
ALL_PEERS = 0xFFFFFFFF  # receiver of gossip that is sent to all other instances
MAX_U32 = 0xFFFFFFFF
MESSAGE_FLAG_RESUBMITTED = 2  # bit in the flags of a MESSAGE_SUBMITTED record

# Result codes of ATTEMPT_ENDED and HEALTH_CHECK records.
RESULTS = {
    200: AttemptResult.OK,
    408: AttemptResult.TIMEOUT,
    409: AttemptResult.NOT_ATTEMPTED,
    429: AttemptResult.REJECTED,
    444: AttemptResult.CANCELLED,
    502: AttemptResult.ERROR,
    520: AttemptResult.RESET,
    521: AttemptResult.CONNECT_FAILED,
}
# The code of each is its position, from 0.
LIST_FORMS = dict(
    enumerate(
        (EndpointListForm.DELTA, EndpointListForm.COMPLETE, EndpointListForm.CACHED, EndpointListForm.FAILED)
    )
)
ENDPOINT_STATES = dict(enumerate((EndpointState.REMOVED, EndpointState.READY, EndpointState.DRAINING)))

# Layouts of the event records; "x" skips the first byte, which holds the code.
_MESSAGE_SUBMITTED = struct.Struct(">xIBIQQIfH")
_HEALTH_CHECK_ENDED = struct.Struct(">xIHIHB4f")
_ENDPOINT_LIST = struct.Struct(">xBQB")
_REGISTER_LIST = struct.Struct(">xBII")
_INSTANCE_STARTED = struct.Struct(">xQII")
_ATTEMPT_ENDED = struct.Struct(">xIBIHHIBIB4f")
_GOSSIP = struct.Struct(">xIII")
_RESPONSE_STARTED = struct.Struct(">xIIHBI")
_ENTRY = struct.Struct(">IHHBfQBH")  # no record: an entry of an endpoint list, in the tail
_INSTANCE_NUMBER = struct.Struct(">xH")
_MESSAGE_NUMBER = struct.Struct(">xI")
_TIMER_TOKEN = struct.Struct(">xQ")

# Endpoint lists by the number under which a request registered them; later requests may refer to them.
EndpointLists = dict[int, tuple[EndpointEntry, ...]]
Code = TypeVar("Code")


class MalformedFrameError(ValueError):
    """The input is not a valid sequence of request frames."""


class EventCode(IntEnum):
    """First byte of an event record."""

    INSTANCE = 1  # no event: the records that follow belong to the instance of this number
    MESSAGE_SUBMITTED = 2
    HEALTH_CHECK = 3
    TIMER = 4
    ENDPOINT_LIST = 5
    REGISTER_LIST = 6  # no event: registers an endpoint list, which ENDPOINT_LIST records refer to
    INSTANCE_STARTED = 7
    ATTEMPT_ENDED = 8
    INSTANCE_STOPPED = 9
    MESSAGE_WITHDRAWN = 10
    GOSSIP = 11
    RESPONSE_STARTED = 12


class ActionCode(IntEnum):
    """First byte of an action record."""

    SEND = 1
    REJECT = 2
    FAIL = 3
    CANCEL = 4
    TIMER = 5
    HEALTH_CHECK = 6
    CLOSE_IDLE = 7
    GOSSIP = 8
    LOG = 9
    POLICY_ERROR = 10  # no action: the policy raised an exception
    SUBSCRIBE = 11
    FETCH_LIST = 12
    INSTANCE = 13  # no action: the records that follow belong to the instance of this number


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance is started, or restarted without its earlier state."""

    seed: int  # of the policy's random numbers
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance is stopped, and its state is lost."""


@dataclass(frozen=True, slots=True)
class RequestHeader:
    """Header of a request frame."""

    sequence: int  # number of the request, repeated in its reply
    body_size: int  # in bytes
    now_us: int  # time of the tick
    record_count: int  # event records at the beginning of the body


WireEvent = model.Event | InstanceStarted | InstanceStopped


def endpoint_id(address: int, port: int) -> int:
    """Return the endpoint number for an IPv4 address and a port."""
    return address << 16 | port


def _lookup_code(table: Mapping[int, Code], code: int, field: str) -> Code:
    try:
        return table[code]
    except KeyError:
        raise MalformedFrameError(
            f"unknown {field} {code}, expected one of {sorted(map(int, table))}"
        ) from None


def _tail_slice(tail: memoryview, offset: int, size: int, field: str) -> memoryview:
    if offset + size > len(tail):
        raise MalformedFrameError(
            f"{field} is outside the tail: offset={offset} size={size}, but the tail has {len(tail)} bytes"
        )
    return tail[offset : offset + size]


def read_request_header(header: bytes) -> RequestHeader:
    """Parse the header of a request frame. Raises MalformedFrameError if it is truncated."""
    if len(header) != REQUEST_HEADER.size:
        raise MalformedFrameError(f"truncated request header: {len(header)} of {REQUEST_HEADER.size} bytes")
    return RequestHeader(*REQUEST_HEADER.unpack(header))


def read_entries(data: memoryview) -> tuple[EndpointEntry, ...]:
    """Parse the entries of an endpoint list. Raises MalformedFrameError if a state is unknown."""
    return tuple(
        EndpointEntry(
            endpoint_id(address, port),
            destination,
            _lookup_code(ENDPOINT_STATES, state, "endpoint state"),
            rate_limit_per_s,
            type_index,
            zone,
        )
        for address, port, destination, state, rate_limit_per_s, _, type_index, zone in _ENTRY.iter_unpack(
            data
        )
    )


def read_events(body: bytes, count: int, lists: EndpointLists) -> Iterator[tuple[int, WireEvent]]:
    """Yield the number of the instance and the event for each event of a request frame, in order.

    ``count`` is the number of records. Lists that the frame registers are added to ``lists``. Raises
    MalformedFrameError if the body is inconsistent or has an unknown code, and ValueError for malformed
    settings.
    """
    if count * EVENT_SIZE_BYTES > len(body):
        raise MalformedFrameError(f"{count} event records do not fit in a body of {len(body)} bytes")
    view = memoryview(body)
    tail, instance = view[count * EVENT_SIZE_BYTES :], None
    instance_code, register_code = int(EventCode.INSTANCE), int(EventCode.REGISTER_LIST)
    for offset in range(0, count * EVENT_SIZE_BYTES, EVENT_SIZE_BYTES):
        code = view[offset]
        if code == instance_code:
            (instance,) = _INSTANCE_NUMBER.unpack_from(view, offset)
            continue
        if code == register_code:
            number, start, entries = _REGISTER_LIST.unpack_from(view, offset)
            lists[number] = read_entries(
                _tail_slice(tail, start, entries * ENTRY_SIZE_BYTES, "an endpoint list")
            )
            continue
        if instance is None:
            raise MalformedFrameError(f"event record with code {code} before any instance record")
        reader = _lookup_code(_EVENT_READERS, code, "event code")
        yield instance, reader(view, offset, tail, lists)
        if reader is _read_attempt_ended and (report := _read_load_report(view, offset)):
            yield instance, report


def _read_message_submitted(
    view: memoryview, offset: int, tail: memoryview, lists: EndpointLists
) -> WireEvent:
    number, message_class, tenant, order_key, deadline_us, _, destination, flags = (
        _MESSAGE_SUBMITTED.unpack_from(view, offset)
    )
    resubmitted = bool(flags & MESSAGE_FLAG_RESUBMITTED)
    return model.MessageSubmitted(
        number, message_class, int(destination), deadline_us, tenant, order_key, resubmitted
    )


def _read_health_check_ended(
    view: memoryview, offset: int, tail: memoryview, lists: EndpointLists
) -> WireEvent:
    latency_us, result, address, port, *_ = _HEALTH_CHECK_ENDED.unpack_from(view, offset)
    return model.HealthCheckEnded(
        endpoint_id(address, port), _lookup_code(RESULTS, result, "result"), latency_us
    )


def _read_timer_fired(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    return model.TimerFired(_TIMER_TOKEN.unpack_from(view, offset)[0])


def _read_endpoint_list(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    number, _, code = _ENDPOINT_LIST.unpack_from(view, offset)
    form = _lookup_code(LIST_FORMS, code, "list form")
    if form is EndpointListForm.FAILED:
        return model.EndpointListReceived(form)
    if number not in lists:
        raise MalformedFrameError(f"endpoint list {number} was not registered before")
    return model.EndpointListReceived(form, lists[number])


def _read_instance_started(
    view: memoryview, offset: int, tail: memoryview, lists: EndpointLists
) -> WireEvent:
    seed, start, size = _INSTANCE_STARTED.unpack_from(view, offset)
    return InstanceStarted(seed, read_settings(_tail_slice(tail, start, size, "settings text")))


def _read_attempt_ended(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    number, attempt, address, port, code, latency_us, ended, retry_after_ms, *_ = _ATTEMPT_ENDED.unpack_from(
        view, offset
    )
    result = _lookup_code(RESULTS, code, "result")
    retry_after_us = retry_after_ms * 1000 if result is AttemptResult.REJECTED else 0
    endpoint = endpoint_id(address, port)
    return model.AttemptEnded(number, attempt, endpoint, result, latency_us, bool(ended), retry_after_us)


def _read_load_report(view: memoryview, offset: int) -> model.LoadReportReceived | None:
    """Return the load report that an ATTEMPT_ENDED record carries, None if it carries none."""
    _, _, address, port, _, _, _, _, count, *values = _ATTEMPT_ENDED.unpack_from(view, offset)
    return model.LoadReportReceived(endpoint_id(address, port), tuple(values[:count])) if count else None


def _read_instance_stopped(
    view: memoryview, offset: int, tail: memoryview, lists: EndpointLists
) -> WireEvent:
    return InstanceStopped()


def _read_message_withdrawn(
    view: memoryview, offset: int, tail: memoryview, lists: EndpointLists
) -> WireEvent:
    return model.MessageWithdrawn(_MESSAGE_NUMBER.unpack_from(view, offset)[0])


def _read_gossip(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    peer, start, size = _GOSSIP.unpack_from(view, offset)
    return model.GossipReceived(peer, bytes(_tail_slice(tail, start, size, "gossip data")))


def _read_response_started(
    view: memoryview, offset: int, tail: memoryview, lists: EndpointLists
) -> WireEvent:
    number, address, port, attempt, _ = _RESPONSE_STARTED.unpack_from(view, offset)
    return model.ResponseStarted(number, attempt, endpoint_id(address, port))


_EVENT_READERS: dict[int, Callable[[memoryview, int, memoryview, EndpointLists], WireEvent]] = {
    EventCode.MESSAGE_SUBMITTED: _read_message_submitted,
    EventCode.HEALTH_CHECK: _read_health_check_ended,
    EventCode.TIMER: _read_timer_fired,
    EventCode.ENDPOINT_LIST: _read_endpoint_list,
    EventCode.INSTANCE_STARTED: _read_instance_started,
    EventCode.ATTEMPT_ENDED: _read_attempt_ended,
    EventCode.INSTANCE_STOPPED: _read_instance_stopped,
    EventCode.MESSAGE_WITHDRAWN: _read_message_withdrawn,
    EventCode.GOSSIP: _read_gossip,
    EventCode.RESPONSE_STARTED: _read_response_started,
}


class ReplyFrame:
    """Collects the actions that answer one request frame, and packs them as a frame."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def _add(self, fields: str, *values: Any) -> None:
        self.records.append(struct.pack(">" + fields, *values).ljust(ACTION_SIZE_BYTES, b"\0"))

    def _append_to_tail(self, data: bytes) -> tuple[int, int]:
        offset = len(self.tail)
        self.tail += data
        return offset, len(data)

    def add_instance(self, number: int) -> None:
        """Add an INSTANCE record: the actions that are added next belong to this instance."""
        self._add("BH", ActionCode.INSTANCE, number)

    def add_policy_error(self, text: str) -> None:
        """Add a POLICY_ERROR record: the policy of the instance raised an exception with this text."""
        self._add("BII", ActionCode.POLICY_ERROR, *self._append_to_tail(text.encode()))

    def add_action(self, action: model.Action) -> None:
        """Add an action of the current instance.

        Delays, time-outs and Retry-After values over 32 bits are reduced to the largest 32-bit number.
        """
        match action:
            case model.SendAttempt(message, endpoint, timeout_us):
                timeout_us = min(timeout_us, MAX_U32)
                self._add("BIIHI", ActionCode.SEND, message, endpoint >> 16, endpoint & 0xFFFF, timeout_us)
            case model.SetTimer(delay_us, token):
                self._add("BIQ", ActionCode.TIMER, min(delay_us, MAX_U32), token)
            case model.RejectMessage(message, retry_after_us):
                self._add("BII", ActionCode.REJECT, message, min(retry_after_us, MAX_U32))
            case model.FailMessage(message):
                self._add("BI", ActionCode.FAIL, message)
            case model.CancelAttempt(message, attempt):
                self._add("BIB", ActionCode.CANCEL, message, attempt)
            case model.CheckEndpointHealth(endpoint):
                self._add("BIH", ActionCode.HEALTH_CHECK, endpoint >> 16, endpoint & 0xFFFF)
            case model.CloseIdleConnections(endpoint):
                self._add("BIH", ActionCode.CLOSE_IDLE, endpoint >> 16, endpoint & 0xFFFF)
            case model.SendGossip(peer, data):
                receiver = ALL_PEERS if peer is None else peer
                self._add("BIII", ActionCode.GOSSIP, receiver, *self._append_to_tail(data))
            case model.LogMessage(text):
                self._add("BII", ActionCode.LOG, *self._append_to_tail(text.encode()))
            case model.SubscribeEndpointList(active):
                self._add("BB", ActionCode.SUBSCRIBE, int(active))
            case model.FetchEndpointList():
                self._add("B", ActionCode.FETCH_LIST)

    def pack(self, sequence: int) -> bytes:
        """Return the frame that answers the request of that sequence number."""
        body = b"".join(self.records) + bytes(self.tail)
        return REPLY_HEADER.pack(sequence, len(self.records), len(body)) + body

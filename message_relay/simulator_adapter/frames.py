"""The simulator's binary frames, to and from the events and actions of the model. No decisions here."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, TypeVar

from message_relay import model
from message_relay.model import AttemptResult, EndpointEntry, EndpointListForm, EndpointState, Settings
from message_relay.simulator_adapter.settings_json import read_settings

BATCH_HEADER = struct.Struct(">IIQI")
REPLY_HEADER = struct.Struct(">III")
EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 40, 16, 24  # bytes
ALL_PEERS = 0xFFFFFFFF
MAX_U32 = 0xFFFFFFFF
ORDER_FLAG_RESUBMITTED = 2

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
LIST_FORMS = dict(
    enumerate(
        (EndpointListForm.DELTA, EndpointListForm.COMPLETE, EndpointListForm.CACHED, EndpointListForm.FAILED)
    )
)
ENDPOINT_STATES = dict(enumerate((EndpointState.REMOVED, EndpointState.READY, EndpointState.DRAINING)))

_ARRIVAL = struct.Struct(">xIBIQQIfH")
_HEALTH = struct.Struct(">xIHIHB4f")
_DISCOVERY = struct.Struct(">xBQB")
_REGISTER = struct.Struct(">xBII")
_BEGIN = struct.Struct(">xQII")
_ANSWER = struct.Struct(">xIBIHHIBIB4f")
_PEER = struct.Struct(">xIII")
_OPENED = struct.Struct(">xIIHBI")
_ENTRY = struct.Struct(">IHHBfQBH")
_U16, _U32, _U64 = struct.Struct(">xH"), struct.Struct(">xI"), struct.Struct(">xQ")

EndpointLists = dict[int, tuple[EndpointEntry, ...]]  # numbered lists, kept across batches
Code = TypeVar("Code")


class MalformedFrameError(ValueError):
    """A frame that does not follow the wire's description."""


class EventCode(IntEnum):
    """The first byte of an event record."""

    INSTANCE = 1
    MESSAGE = 2
    HEALTH_CHECK = 3
    TIMER = 4
    ENDPOINT_LIST = 5
    REGISTER_LIST = 6
    BEGIN = 7
    ATTEMPT_ENDED = 8
    SHUTDOWN = 9
    WITHDRAWN = 10
    GOSSIP = 11
    RESPONSE_STARTED = 12


class ActionCode(IntEnum):
    """The first byte of an action record."""

    SEND = 1
    REJECT = 2
    FAIL = 3
    CANCEL = 4
    TIMER = 5
    HEALTH_CHECK = 6
    CLOSE_IDLE = 7
    GOSSIP = 8
    LOG = 9
    FAULT = 10
    SUBSCRIBE = 11
    FETCH_LIST = 12
    INSTANCE = 13


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance begins with these settings and this seed."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance was killed."""


@dataclass(frozen=True, slots=True)
class BatchHeader:
    """What stands before the body of a batch."""

    sequence: int
    body_size: int
    now_us: int
    record_count: int


WireEvent = model.Event | InstanceStarted | InstanceStopped


def endpoint_id(address: int, port: int) -> int:
    """The number that stands for an endpoint's address and port."""
    return address << 16 | port


def _decode(table: Mapping[int, Code], code: int, what: str) -> Code:
    try:
        return table[code]
    except KeyError:
        raise MalformedFrameError(f"unknown {what} {code}") from None


def _slice(tail: memoryview, offset: int, size: int, what: str) -> memoryview:
    if offset + size > len(tail):
        raise MalformedFrameError(
            f"{what} lies outside the tail: offset {offset}, {size} bytes, tail {len(tail)}"
        )
    return tail[offset : offset + size]


def read_header(header: bytes) -> BatchHeader:
    """The header of a batch."""
    if len(header) != BATCH_HEADER.size:
        raise MalformedFrameError(f"short batch header: {len(header)} of {BATCH_HEADER.size} bytes")
    return BatchHeader(*BATCH_HEADER.unpack(header))


def read_entries(data: memoryview) -> tuple[EndpointEntry, ...]:
    """The entries of an endpoint list."""
    return tuple(
        EndpointEntry(
            endpoint_id(address, port),
            destination,
            _decode(ENDPOINT_STATES, state, "endpoint condition"),
            rate_limit_per_s,
            type_index,
            zone,
        )
        for address, port, destination, state, rate_limit_per_s, _, type_index, zone in _ENTRY.iter_unpack(
            data
        )
    )


def read_events(body: bytes, count: int, lists: EndpointLists) -> Iterator[tuple[int, WireEvent]]:
    """(instance, event) for each record of a batch, in order."""
    if count * EVENT_SIZE > len(body):
        raise MalformedFrameError(f"{count} records do not fit a body of {len(body)} bytes")
    view = memoryview(body)
    tail, instance = view[count * EVENT_SIZE :], None
    instance_code, register_code = int(EventCode.INSTANCE), int(EventCode.REGISTER_LIST)
    for offset in range(0, count * EVENT_SIZE, EVENT_SIZE):
        code = view[offset]
        if code == instance_code:
            (instance,) = _U16.unpack_from(view, offset)
            continue
        if code == register_code:
            number, start, entries = _REGISTER.unpack_from(view, offset)
            lists[number] = read_entries(_slice(tail, start, entries * ENTRY_SIZE, "a list"))
            continue
        if instance is None:
            raise MalformedFrameError(f"record {code} before any instance was named")
        reader = _decode(_EVENT_READERS, code, "event code")
        yield instance, reader(view, offset, tail, lists)
        if reader is _read_attempt_ended and (report := _load_report(view, offset)):
            yield instance, report


def _read_message(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    number, message_class, tenant, order_key, deadline_us, _, destination, flags = _ARRIVAL.unpack_from(
        view, offset
    )
    resubmitted = bool(flags & ORDER_FLAG_RESUBMITTED)
    return model.MessageSubmitted(
        number, message_class, int(destination), deadline_us, tenant, order_key, resubmitted
    )


def _read_health_check(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    latency_us, result, address, port, *_ = _HEALTH.unpack_from(view, offset)
    return model.HealthCheckEnded(endpoint_id(address, port), _decode(RESULTS, result, "result"), latency_us)


def _read_timer(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    return model.TimerFired(_U64.unpack_from(view, offset)[0])


def _read_list(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    number, _, code = _DISCOVERY.unpack_from(view, offset)
    form = _decode(LIST_FORMS, code, "list form")
    if form is EndpointListForm.FAILED:
        return model.EndpointListReceived(form)
    if number not in lists:
        raise MalformedFrameError(f"list {number} was never declared")
    return model.EndpointListReceived(form, lists[number])


def _read_begin(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    seed, start, size = _BEGIN.unpack_from(view, offset)
    return InstanceStarted(seed, read_settings(_slice(tail, start, size, "the settings")))


def _read_attempt_ended(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    number, attempt, address, port, code, latency_us, ended, wait_ms, *_ = _ANSWER.unpack_from(view, offset)
    result = _decode(RESULTS, code, "result")
    retry_after_us = wait_ms * 1000 if result is AttemptResult.REJECTED else 0
    endpoint = endpoint_id(address, port)
    return model.AttemptEnded(number, attempt, endpoint, result, latency_us, bool(ended), retry_after_us)


def _load_report(view: memoryview, offset: int) -> model.LoadReportReceived | None:
    """The load report that an outcome carries, if any."""
    _, _, address, port, _, _, _, _, count, *values = _ANSWER.unpack_from(view, offset)
    return model.LoadReportReceived(endpoint_id(address, port), tuple(values[:count])) if count else None


def _read_shutdown(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    return InstanceStopped()


def _read_withdrawn(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    return model.MessageWithdrawn(_U32.unpack_from(view, offset)[0])


def _read_gossip(view: memoryview, offset: int, tail: memoryview, lists: EndpointLists) -> WireEvent:
    peer, start, size = _PEER.unpack_from(view, offset)
    return model.GossipReceived(peer, bytes(_slice(tail, start, size, "a note")))


def _read_response_started(
    view: memoryview, offset: int, tail: memoryview, lists: EndpointLists
) -> WireEvent:
    number, address, port, attempt, _ = _OPENED.unpack_from(view, offset)
    return model.ResponseStarted(number, attempt, endpoint_id(address, port))


_EVENT_READERS: dict[int, Callable[[memoryview, int, memoryview, EndpointLists], WireEvent]] = {
    EventCode.MESSAGE: _read_message,
    EventCode.HEALTH_CHECK: _read_health_check,
    EventCode.TIMER: _read_timer,
    EventCode.ENDPOINT_LIST: _read_list,
    EventCode.BEGIN: _read_begin,
    EventCode.ATTEMPT_ENDED: _read_attempt_ended,
    EventCode.SHUTDOWN: _read_shutdown,
    EventCode.WITHDRAWN: _read_withdrawn,
    EventCode.GOSSIP: _read_gossip,
    EventCode.RESPONSE_STARTED: _read_response_started,
}


class ReplyFrame:
    """Collects the actions of one batch and packs them as a frame."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def _add(self, form: str, *values: Any) -> None:
        self.records.append(struct.pack(">" + form, *values).ljust(ACTION_SIZE, b"\0"))

    def _place(self, data: bytes) -> tuple[int, int]:
        offset = len(self.tail)
        self.tail += data
        return offset, len(data)

    def add_instance(self, number: int) -> None:
        """The actions that follow are this instance's."""
        self._add("BH", ActionCode.INSTANCE, number)

    def add_fault(self, text: str) -> None:
        """The instance failed to handle its events."""
        self._add("BII", ActionCode.FAULT, *self._place(text.encode()))

    def add_action(self, action: model.Action) -> None:
        """One action of the instance."""
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
                to = ALL_PEERS if peer is None else peer
                self._add("BIII", ActionCode.GOSSIP, to, *self._place(data))
            case model.LogMessage(text):
                self._add("BII", ActionCode.LOG, *self._place(text.encode()))
            case model.SubscribeEndpointList(active):
                self._add("BB", ActionCode.SUBSCRIBE, int(active))
            case model.FetchEndpointList():
                self._add("B", ActionCode.FETCH_LIST)

    def pack(self, sequence: int) -> bytes:
        """The frame that answers the batch of that number."""
        body = b"".join(self.records) + bytes(self.tail)
        return REPLY_HEADER.pack(sequence, len(self.records), len(body)) + body

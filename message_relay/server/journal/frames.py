"""Framing of the journal's file: each record is prefixed with its length and its checksum.

The two highest bits of the length mark a frame. A marked frame holds no record: see `relocation`.
"""

from __future__ import annotations

import enum
import struct
import zlib
from collections.abc import Iterator
from typing import Any, BinaryIO, NamedTuple

import msgpack

HEADER = struct.Struct(">II")  # mark and payload length in bytes, CRC-32 of the payload
MARK_SHIFT = 24  # the mark is in the first byte, so that writing this byte changes the mark alone
MARK_MASK = 0xC0
LENGTH_MASK = 0x3FFFFFFF

StoredValues = list[Any]  # record code and values, as packed by MessagePack


class FrameMark(enum.IntEnum):
    """What a frame holds; the value is the mask of its mark in the first byte of the frame."""

    RECORD = 0
    OBSOLETE = 0x80  # nothing; its payload may be overwritten
    RELOCATED = 0xC0  # a part of the end of the file


MARKS_BY_VALUE = {mark.value: mark for mark in FrameMark}


class Frame(NamedTuple):
    """A frame as it is read; the payload of an obsolete one is not read, it is empty here."""

    offset: int
    end: int  # offset behind the frame
    mark: FrameMark
    payload: bytes


def encode_frame(values: StoredValues) -> bytes:
    """Pack the values of one record and prefix them with their length and checksum."""
    payload = msgpack.packb(values)
    return bytes(HEADER.pack(len(payload), zlib.crc32(payload)) + payload)


def decode_values(payload: bytes) -> StoredValues:
    """Return the values of a record from the payload of its frame."""
    values: StoredValues = msgpack.unpackb(payload)
    return values


def scan_frames(file: BinaryIO, size_bytes: int) -> Iterator[Frame]:
    """Yield the valid frames at the start of a file in their order; one payload at a time is in memory.

    Ends at the first frame that is incomplete, or whose record has a wrong checksum.
    """
    offset = 0
    while offset + HEADER.size <= size_bytes:
        marked_length, checksum = HEADER.unpack(file.read(HEADER.size))
        payload_bytes = marked_length & LENGTH_MASK
        end = offset + HEADER.size + payload_bytes
        mark = MARKS_BY_VALUE.get(marked_length >> MARK_SHIFT & MARK_MASK)
        if not payload_bytes or end > size_bytes or mark is None:
            return
        payload = b""
        if mark is FrameMark.OBSOLETE:
            file.seek(end)
        else:
            payload = file.read(payload_bytes)
        if mark is FrameMark.RECORD and zlib.crc32(payload) != checksum:
            return
        yield Frame(offset, end, mark, payload)
        offset = end

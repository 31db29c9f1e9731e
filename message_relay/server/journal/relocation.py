"""Relocation: the end of the file is moved into obsolete frames, so that the file becomes shorter.

A compaction needs room on the disk for the copy. A file that leaves none (of a build that did not keep it
free, or after the limit was lowered) cannot be extended by a byte, but the frames of completed messages in it
are obsolete. Parts of the end of the file are copied into them, from the last one to the first, and cut off.
What is obsolete in these parts is left out.

The process may be killed at any moment, also within a write. Each step leaves a file with the same records:

1. The frame is marked as obsolete. Nothing is lost, as its record has no effect any more.
2. The part is written into its payload, which nobody reads yet.
3. The frame is marked as relocated. From then on the file ends, for a reader, at the offset of this part, and
   the part follows there.
4. The file is truncated at that offset.

Ids and keys of completed messages come from these frames. Before the first part, a summary of them is stored
in the same way, as if it followed the end of the file.

A mark is a single byte, which is written or not. A file with relocated parts is only read and compacted; no
record is appended to it. Earlier builds do not know the marks: they stop reading at the first one.
"""

from __future__ import annotations

import io
import logging
import os
import struct
import zlib
from collections import deque
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

from message_relay.server.journal.errors import JournalError
from message_relay.server.journal.frames import (
    HEADER,
    Frame,
    FrameMark,
    StoredValues,
    decode_values,
    scan_frames,
)

log = logging.getLogger(__name__)
PART_HEADER = struct.Struct(">QII")  # offset in the file, length in bytes, CRC-32 of the part


class Segment(NamedTuple):
    """A range of bytes of the file, as offsets; `end` is behind the last byte."""

    start: int
    end: int


class Part(NamedTuple):
    """A part of the end of the file, as stored in the payload of a relocated frame.

    The end of the file begins at `offset`; `data` has it without the obsolete frames in it.
    """

    offset: int
    data: bytes

    def encode(self) -> bytes:
        """Return the stored form."""
        return PART_HEADER.pack(self.offset, len(self.data), zlib.crc32(self.data)) + self.data

    @classmethod
    def decode(cls, payload: bytes) -> Part | None:
        """Return the part that a payload starts with, None if it is damaged."""
        if len(payload) < PART_HEADER.size:
            return None
        offset, length, checksum = PART_HEADER.unpack_from(payload)
        data = payload[PART_HEADER.size : PART_HEADER.size + length]
        return cls(offset, data) if zlib.crc32(data) == checksum else None


class JournalReader:
    """Reads the records of a file in their order, with the parts of its end that were relocated."""

    def __init__(self, file: BinaryIO, size_bytes: int) -> None:
        self.end = 0  # offset behind the last record in the file that was read; what follows is not valid
        self.relocated = False  # the file has relocated parts
        self._file = file
        self._size_bytes = size_bytes

    def records(self) -> Iterator[StoredValues]:
        """Yield the values of each record."""
        parts: dict[int, bytes] = {}
        file_end = self._size_bytes
        for frame in scan_frames(self._file, self._size_bytes):
            if frame.end > file_end:  # the parts were not cut off yet
                break
            self.end = frame.end
            if frame.mark is FrameMark.RELOCATED:
                self.relocated = True
                part = Part.decode(frame.payload)
                if part is None:
                    log.error("journal: relocated part is damaged, frame_offset=%d", frame.offset)
                    continue
                parts[part.offset] = part.data
                file_end = min(parts)
            elif frame.mark is FrameMark.RECORD:
                yield decode_values(frame.payload)
        if parts:
            yield from self._relocated_records(parts, file_end)

    def _relocated_records(self, parts: dict[int, bytes], file_end: int) -> Iterator[StoredValues]:
        """Yield the records of the parts; the first one may begin before them, in the file."""
        self._file.seek(self.end)
        pieces = [self._file.read(file_end - self.end), *(parts[offset] for offset in sorted(parts))]
        self.end = min(file_end, self._size_bytes)
        data = b"".join(pieces)
        for frame in scan_frames(io.BytesIO(data), len(data)):
            if frame.mark is FrameMark.RECORD:
                yield decode_values(frame.payload)


def capacity_bytes(target: Frame) -> int:
    """Return the size of the largest part that an obsolete frame can take; it may be negative."""
    return target.end - target.offset - HEADER.size - PART_HEADER.size


def select_end(
    size_bytes: int, min_bytes: int, target: Frame, obsolete: deque[Frame]
) -> tuple[int, list[Segment]]:
    """Select how much of the end of a file fits into the target; return the remaining size and the segments.

    The segments leave out the obsolete frames in the end, which are removed from the deque. The remaining
    size is at least `min_bytes`, or the offset of such a frame.
    """
    free_bytes = capacity_bytes(target)
    segments: deque[Segment] = deque()
    while size_bytes > min_bytes:
        if obsolete and obsolete[-1].end == size_bytes:
            size_bytes = obsolete.pop().offset
            continue
        start = max(min_bytes, size_bytes - free_bytes, obsolete[-1].end if obsolete else 0)
        if start >= size_bytes:
            break
        segments.appendleft(Segment(start, size_bytes))
        free_bytes -= size_bytes - start
        size_bytes = start
    return size_bytes, list(segments)


def read_segments(descriptor: int, segments: list[Segment]) -> bytes:
    """Return the bytes of the segments. Raises OSError if they cannot be read."""
    return b"".join(_read_segment(descriptor, segment) for segment in segments)


def relocate(descriptor: int, target: Frame, part: Part) -> None:
    """Store a part in the payload of an obsolete frame; the caller truncates the file at the part's offset.

    descriptor: of the file, not opened for appending. Raises OSError if a system call fails; the part is not
    stored then.
    """
    first_byte = _read_segment(descriptor, Segment(target.offset, target.offset + 1))[0]
    _write_at(descriptor, target.offset, bytes([first_byte | FrameMark.OBSOLETE]))
    _write_at(descriptor, target.offset + HEADER.size, part.encode())
    _write_at(descriptor, target.offset, bytes([first_byte | FrameMark.RELOCATED]))


def _read_segment(descriptor: int, segment: Segment) -> bytes:
    data, offset = b"", segment.start
    while offset < segment.end:
        chunk = os.pread(descriptor, segment.end - offset, offset)
        if not chunk:
            raise JournalError(f"the journal's file ends at offset {offset}, expected {segment.end}")
        data += chunk
        offset += len(chunk)
    return data


def _write_at(descriptor: int, offset: int, data: bytes) -> None:
    written = 0
    while written < len(data):
        written += os.pwrite(descriptor, data[written:], offset + written)

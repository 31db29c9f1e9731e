"""A connected Unix socket that carries frames, and descriptors beside them."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import os
import socket
import struct
import tempfile
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgpack

from message_relay.server.hot_restart.frames import Frame, decode

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 26
READ_BYTES = 1 << 16
MAX_DESCRIPTORS = 253  # the kernel takes so many at once
MAX_PATH_BYTES = 100  # the kernel's limit is 108
log = logging.getLogger(__name__)


def socket_path(environment: Mapping[str, str], state_directory: Path) -> Path:
    """Where the process that owns the state directory listens. Instances that share $TMPDIR have names of
    their own.
    """
    digest = hashlib.blake2b(str(state_directory.resolve()).encode(), digest_size=6).hexdigest()
    return Path(environment.get("TMPDIR") or tempfile.gettempdir()) / f"hopmill-{digest}.sock"


@contextlib.contextmanager
def short_socket_name(path: Path) -> Iterator[str]:
    """The path in a form that fits a socket's address."""
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


class Channel:
    """Sends and receives frames; closes the socket at the first that cannot be read."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_frame: Callable[[Frame], None],
        on_lost: Callable[[], None],
    ) -> None:
        self.received_descriptors: list[int] = []
        self.closed = False
        self._loop = loop
        self._sock = sock
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._received = bytearray()
        self._unsent: list[tuple[bytes, list[int]]] = []
        sock.setblocking(False)
        loop.add_reader(sock, self._readable)

    @property
    def all_sent(self) -> bool:
        """Whether every frame has been written."""
        return not self._unsent

    def send(self, frame: Frame, descriptors: list[int] | None = None) -> None:
        """Send a frame, with descriptors beside it."""
        self.send_values(frame.encode(), descriptors)

    def send_values(self, values: list[Any], descriptors: list[int] | None = None) -> None:
        """Send a frame by its values."""
        data = msgpack.packb(values)
        self._unsent.append((LENGTH.pack(len(data)) + data, descriptors or []))
        self._flush()

    def _flush(self) -> None:
        try:
            while self._unsent and not self.closed:
                self._send_some()
        except BlockingIOError:
            self._loop.add_writer(self._sock, self._flush)
            return
        except OSError as error:
            log.warning("hot restart: send failed, error=%s", error)
            self._lose()
            return
        if not self.closed:
            self._loop.remove_writer(self._sock)

    def _send_some(self) -> None:
        data, descriptors = self._unsent[0]
        sent = socket.send_fds(self._sock, [data], descriptors) if descriptors else self._sock.send(data)
        if sent < len(data):
            self._unsent[0] = (data[sent:], [])  # the descriptors went with the first byte
        else:
            self._unsent.pop(0)

    def _readable(self) -> None:
        try:
            received = socket.recv_fds(self._sock, READ_BYTES, MAX_DESCRIPTORS, socket.MSG_CMSG_CLOEXEC)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._lose()
            return
        data, descriptors, _, _ = received
        self.received_descriptors += descriptors
        self._received += data
        if not data:
            self._lose()
            return
        try:
            while not self.closed and (values := self._next_values()) is not None:
                self._on_frame(decode(values))
        except (ValueError, TypeError, LookupError) as error:  # of another version, or no frame at all
            log.error("hot restart: malformed frame, error=%r", error)
            self._lose()

    def _next_values(self) -> list[Any] | None:
        if len(self._received) < LENGTH.size:
            return None
        size = LENGTH.unpack_from(self._received)[0]
        if size > MAX_FRAME_BYTES:
            raise ValueError(f"frame of {size} bytes, expected at most {MAX_FRAME_BYTES}")
        end = LENGTH.size + size
        if len(self._received) < end:
            return None
        values = msgpack.unpackb(bytes(self._received[LENGTH.size : end]), strict_map_key=False)
        del self._received[:end]
        if not isinstance(values, list) or not values:
            raise ValueError("a frame is a list of values with the kind first")
        return values

    def _lose(self) -> None:
        if not self.closed:
            self.close()
            self._on_lost()

    def close(self) -> None:
        """Close the socket, and the descriptors that nobody took."""
        if self.closed:
            return
        self.closed = True
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        for descriptor in self.received_descriptors:
            os.close(descriptor)
        self.received_descriptors.clear()

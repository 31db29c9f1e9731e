"""A connected Unix socket on which two processes exchange frames and file descriptors."""

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

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 26
MAX_READ_BYTES = 1 << 16
MAX_DESCRIPTORS_PER_READ = 253  # the kernel's limit for one message
MAX_PATH_BYTES = 100  # the kernel's limit is 108
log = logging.getLogger(__name__)


def socket_path(environment: Mapping[str, str], state_directory: Path) -> Path:
    """Return the path of the socket on which the owner of the state directory listens.

    The name depends on the state directory, so that instances which share $TMPDIR use different sockets.
    """
    digest = hashlib.blake2b(str(state_directory.resolve()).encode(), digest_size=6).hexdigest()
    return Path(environment.get("TMPDIR") or tempfile.gettempdir()) / f"hopmill-{digest}.sock"


@contextlib.contextmanager
def short_socket_name(path: Path) -> Iterator[str]:
    """Yield a name for the path that is short enough for a Unix socket address.

    A long path is replaced by one through an open descriptor of its directory, valid within the context.
    """
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


class Channel:
    """Sends and receives frames; closes the socket at the first malformed frame.

    `on_disconnected` is called when the other process closes the socket, a send or receive fails, or a
    frame is malformed, but not after `close()`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_frame: Callable[[Frame], None],
        on_disconnected: Callable[[], None],
    ) -> None:
        self.received_descriptors: list[int] = []
        self.closed = False
        self._loop = loop
        self._sock = sock
        self._on_frame = on_frame
        self._on_disconnected = on_disconnected
        self._receive_buffer = bytearray()
        self._unsent: list[tuple[bytes, list[int]]] = []
        sock.setblocking(False)
        loop.add_reader(sock, self._receive)

    @property
    def all_sent(self) -> bool:
        """Whether every frame has been written to the socket."""
        return not self._unsent

    def send(self, frame: Frame, descriptors: list[int] | None = None) -> None:
        """Send a frame together with descriptors."""
        self.send_values(frame.encode(), descriptors)

    def send_values(self, values: list[Any], descriptors: list[int] | None = None) -> None:
        """Send a frame, given as its list of values, together with descriptors."""
        data = msgpack.packb(values)
        self._unsent.append((LENGTH_PREFIX.pack(len(data)) + data, descriptors or []))
        self._flush()

    def _flush(self) -> None:
        try:
            while self._unsent and not self.closed:
                self._send_next()
        except BlockingIOError:
            self._loop.add_writer(self._sock, self._flush)
            return
        except OSError as error:
            log.warning("hot restart: send failed, error=%s", error)
            self._disconnect()
            return
        if not self.closed:
            self._loop.remove_writer(self._sock)

    def _send_next(self) -> None:
        data, descriptors = self._unsent[0]
        sent = socket.send_fds(self._sock, [data], descriptors) if descriptors else self._sock.send(data)
        if sent < len(data):
            self._unsent[0] = (data[sent:], [])  # the descriptors were sent with the first byte
        else:
            self._unsent.pop(0)

    def _receive(self) -> None:
        try:
            received = socket.recv_fds(
                self._sock, MAX_READ_BYTES, MAX_DESCRIPTORS_PER_READ, socket.MSG_CMSG_CLOEXEC
            )
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._disconnect()
            return
        data, descriptors, _, _ = received
        self.received_descriptors += descriptors
        self._receive_buffer += data
        if not data:
            self._disconnect()
            return
        try:
            while not self.closed and (values := self._next_values()) is not None:
                self._on_frame(decode(values))
        except (ValueError, TypeError, LookupError) as error:  # of another version, or not a frame
            log.error("hot restart: malformed frame, error=%r", error)
            self._disconnect()

    def _next_values(self) -> list[Any] | None:
        if len(self._receive_buffer) < LENGTH_PREFIX.size:
            return None
        size = LENGTH_PREFIX.unpack_from(self._receive_buffer)[0]
        if size > MAX_FRAME_BYTES:
            raise ValueError(f"frame of {size} bytes, expected at most {MAX_FRAME_BYTES}")
        end = LENGTH_PREFIX.size + size
        if len(self._receive_buffer) < end:
            return None
        values = msgpack.unpackb(bytes(self._receive_buffer[LENGTH_PREFIX.size : end]), strict_map_key=False)
        del self._receive_buffer[:end]
        if not isinstance(values, list) or not values:
            raise ValueError(f"expected a list of values that starts with the frame name, got {values!r:.80}")
        return values

    def _disconnect(self) -> None:
        if not self.closed:
            self.close()
            self._on_disconnected()

    def close(self) -> None:
        """Close the socket and all received descriptors that were not removed from `received_descriptors`."""
        if self.closed:
            return
        self.closed = True
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        self._sock.close()
        for descriptor in self.received_descriptors:
            os.close(descriptor)
        self.received_descriptors.clear()

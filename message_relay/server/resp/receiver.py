"""Receiving of requests on one connection: reads the socket into the reader, and times what waits there."""

from __future__ import annotations

import asyncio
import enum
import socket

from message_relay.server.resp.reader import RequestReader
from message_relay.server.resp.socket_state import TRANSIENT_ERRORS, was_reset

# Data in the kernel is received in the next iteration of the event loop, unless reading is suspended. What
# comes later than this after a receive was not there before.
MAX_ITERATION_S = 0.2
CLIENT_WAIT_S = 0.4  # a client waits so long for its answer, then the request counts for nothing


class Received(enum.Enum):
    """What a read of the socket gave."""

    DATA = enum.auto()
    NOTHING = enum.auto()
    END = enum.auto()  # the client has shut down its sending side
    FAILURE = enum.auto()  # the connection broke or was reset; what it sent before is dropped


class RequestReceiver:
    """Receives data into a reader, no more than may soon be handled."""

    __slots__ = (
        "_loop",
        "_more_to_receive",
        "_received_at_s",
        "_sock",
        "_suspended_since_receive",
        "_waiting_since_s",
        "reader",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.reader = RequestReader()
        self._loop = loop
        self._sock = sock
        # Time since which requests may wait here, in the buffer or in the kernel; None if none does.
        self._waiting_since_s: float | None = None
        self._more_to_receive = False  # the kernel probably holds further data
        self._received_at_s = 0.0
        self._suspended_since_receive = False

    def receive(self, buffer: memoryview) -> Received:
        """Read the socket once by means of the buffer, and pass the data to the reader."""
        wanted_bytes = self.reader.wanted_bytes
        try:
            received_bytes = self._sock.recv_into(buffer, wanted_bytes)
        except OSError as error:
            return Received.NOTHING if error.errno in TRANSIENT_ERRORS else Received.FAILURE
        if not received_bytes:
            return Received.END
        if was_reset(self._sock):  # nobody would receive the replies to what was sent before
            return Received.FAILURE
        self.reader.feed(buffer[:received_bytes])
        self._more_to_receive = received_bytes == wanted_bytes
        self._note_receive(self._loop.time())
        return Received.DATA

    def _note_receive(self, now_s: float) -> None:
        arrived_later = not self._suspended_since_receive and now_s - self._received_at_s > MAX_ITERATION_S
        if self._waiting_since_s is None or arrived_later:
            self._waiting_since_s = now_s
        self._received_at_s = now_s
        self._suspended_since_receive = False

    def reading_suspended(self) -> None:
        """Note that data may wait in the kernel until reading is resumed."""
        self._suspended_since_receive = True

    def all_handled(self) -> None:
        """Note that no complete request is left in the reader."""
        if not self._more_to_receive:
            self._waiting_since_s = None

    def waited_s(self) -> float:
        """Return the time in seconds for which the current request may have waited, CLIENT_WAIT_S at most."""
        if self._waiting_since_s is None:
            return 0.0
        return min(CLIENT_WAIT_S, self._loop.time() - self._waiting_since_s)

"""Flow control of one connection: when it reads, and when it continues with what was read already."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable


def _ignore_event() -> None:
    """Do nothing; the callback of a closed connection."""


class ReadControl:
    """Starts, suspends and stops the reading from one socket.

    Reading is suspended while complete requests wait in the connection's buffer. `suspended_controls` is
    shared by all connections and holds those on which requests wait.
    """

    __slots__ = (
        "_continuation",
        "_loop",
        "_on_readable",
        "_sock",
        "_suspended_controls",
        "pause_timer",
        "suspended",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_readable: Callable[[], None],
        suspended_controls: set[ReadControl],
    ) -> None:
        self.suspended = False
        self.pause_timer: asyncio.TimerHandle | None = None  # ends the pause after an invalid request
        self._loop = loop
        self._sock = sock
        self._on_readable = on_readable
        self._suspended_controls = suspended_controls
        self._continuation: asyncio.Handle | None = None
        loop.add_reader(sock, on_readable)

    def suspend(self) -> None:
        """Stop reading until resume()."""
        self.suspended = True
        self._suspended_controls.add(self)
        self._loop.remove_reader(self._sock)

    def resume(self) -> None:
        """Read again if reading was suspended."""
        if self.suspended:
            self._end_suspension()
            self._loop.add_reader(self._sock, self._on_readable)

    def continue_soon(self, action: Callable[[], None]) -> None:
        """Call the action once in the next iteration of the event loop, however often this is called."""
        if self._continuation is None:
            self._continuation = self._loop.call_soon(self._continue, action)

    def _continue(self, action: Callable[[], None]) -> None:
        self._continuation = None
        action()

    def pause_for(self, pause_s: float, action: Callable[[], None]) -> None:
        """Stop reading, and call the action after the pause; it has to suspend or resume the reading."""
        self._loop.remove_reader(self._sock)
        self.cancel_pause()
        self.pause_timer = self._loop.call_later(pause_s, self._end_pause, action)

    def _end_pause(self, action: Callable[[], None]) -> None:
        self.pause_timer = None
        action()

    def cancel_pause(self) -> None:
        """Cancel the pause if there is one; nothing is read until resume()."""
        if self.pause_timer is not None:
            self.pause_timer.cancel()
            self.pause_timer = None

    def stop(self) -> None:
        """Stop reading; a pause and a scheduled action still end."""
        self._loop.remove_reader(self._sock)

    def close(self) -> None:
        """Stop reading, cancel what is scheduled, and release the callback to the connection."""
        self.stop()
        self._on_readable = _ignore_event
        self._end_suspension()
        self.cancel_pause()
        if self._continuation is not None:
            self._continuation.cancel()

    def _end_suspension(self) -> None:
        self.suspended = False
        self._suspended_controls.discard(self)

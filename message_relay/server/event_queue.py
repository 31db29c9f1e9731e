"""The events of the next turn, and when that turn is taken."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from message_relay.model import Event
from message_relay.server import clock


class EventQueue:
    """Gathers events; a turn follows once what came in with them is read, an interval after the last."""

    def __init__(self, loop: asyncio.AbstractEventLoop, turn_interval_us: int) -> None:
        self.on_turn: Callable[[], None] = lambda: None
        self.paused = False  # another process decides, or is about to
        self._loop = loop
        self._turn_interval_us = turn_interval_us
        self._events: list[Event] = []
        self._scheduled = False
        self._last_turn_us = -turn_interval_us

    def __len__(self) -> int:
        return len(self._events)

    def add(self, event: Event) -> None:
        """Queue an event and have a turn."""
        self.add_silently(event)
        self.wake()

    def add_silently(self, event: Event) -> None:
        """Queue an event for a turn that is taken anyway."""
        self._events.append(event)

    def wake(self) -> None:
        """Have a turn, unless one is due."""
        if self._scheduled or self.paused:
            return
        self._scheduled = True
        early_us = self._last_turn_us + self._turn_interval_us - clock.monotonic_us()
        if early_us <= 0:
            self._loop.call_soon(self.on_turn)
        else:
            self._loop.call_later(early_us / 1e6, self.on_turn)

    def turn_due(self) -> None:
        """The turn that was asked for is here; another may be asked for."""
        self._scheduled = False

    def begin_turn(self) -> tuple[int, list[Event]]:
        """The time of the turn in microseconds, and its events."""
        self._last_turn_us = clock.monotonic_us()
        events, self._events = self._events, []
        return self._last_turn_us, events

"""The events of the next tick, and when that tick is run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from message_relay.model import Event
from message_relay.server import clock


class EventQueue:
    """Gathers events; a tick follows once what came in with them is read, an interval after the last."""

    def __init__(self, loop: asyncio.AbstractEventLoop, tick_interval_us: int) -> None:
        self.on_tick: Callable[[], None] = lambda: None
        self.paused = False  # another process decides, or is about to
        self._loop = loop
        self._tick_interval_us = tick_interval_us
        self._events: list[Event] = []
        self._scheduled = False
        self._last_tick_us = -tick_interval_us

    def __len__(self) -> int:
        return len(self._events)

    def add(self, event: Event) -> None:
        """Queue an event and schedule a tick."""
        self.add_without_tick(event)
        self.schedule_tick()

    def add_without_tick(self, event: Event) -> None:
        """Queue an event for a tick that is run anyway."""
        self._events.append(event)

    def schedule_tick(self) -> None:
        """Schedule a tick, unless one is scheduled."""
        if self._scheduled or self.paused:
            return
        self._scheduled = True
        early_us = self._last_tick_us + self._tick_interval_us - clock.monotonic_us()
        if early_us <= 0:
            self._loop.call_soon(self.on_tick)
        else:
            self._loop.call_later(early_us / 1e6, self.on_tick)

    def tick_due(self) -> None:
        """The tick that was scheduled is due; another may be scheduled."""
        self._scheduled = False

    def begin_tick(self) -> tuple[int, list[Event]]:
        """The time of the tick in microseconds, and its events."""
        self._last_tick_us = clock.monotonic_us()
        events, self._events = self._events, []
        return self._last_tick_us, events

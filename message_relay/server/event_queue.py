"""The queue of events for the policy, and the schedule of the ticks that handle them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from message_relay.model import Event
from message_relay.server import clock


class EventQueue:
    """Collects events and schedules the tick that handles them.

    A tick runs after the event loop callbacks that are already due, so that it handles their events too, and
    at the earliest one tick interval after the previous tick.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, tick_interval_us: int) -> None:
        self.on_tick: Callable[[], None] = lambda: None
        self.paused = False  # no tick runs: during and after a handover to another process, and after close()
        self._loop = loop
        self._tick_interval_us = tick_interval_us
        self._events: list[Event] = []
        self._tick_scheduled = False
        self._last_tick_us = -tick_interval_us

    def __len__(self) -> int:
        return len(self._events)

    def add(self, event: Event) -> None:
        """Queue an event and schedule a tick."""
        self.add_without_tick(event)
        self.schedule_tick()

    def add_without_tick(self, event: Event) -> None:
        """Queue an event without scheduling a tick; the next tick handles it."""
        self._events.append(event)

    def schedule_tick(self) -> None:
        """Schedule a tick, unless one is already scheduled or the queue is paused."""
        if self._tick_scheduled or self.paused:
            return
        self._tick_scheduled = True
        wait_us = self._last_tick_us + self._tick_interval_us - clock.monotonic_us()
        if wait_us <= 0:
            self._loop.call_soon(self.on_tick)
        else:
            self._loop.call_later(wait_us / 1e6, self.on_tick)

    def clear_scheduled_tick(self) -> None:
        """Record that the scheduled tick has begun, so that another one can be scheduled."""
        self._tick_scheduled = False

    def begin_tick(self) -> tuple[int, list[Event]]:
        """Return the time of the tick, in monotonic microseconds, and the queued events; empty the queue."""
        self._last_tick_us = clock.monotonic_us()
        events, self._events = self._events, []
        return self._last_tick_us, events

"""SIGHUP: read the configuration file again while the relay works."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from message_relay.server.configuration import Address, ConfigurationError, load_discovery_address
from message_relay.server.discovery.backoff import ReconnectBackoff

log = logging.getLogger(__name__)


class ConfigurationReloader:
    """Reads the configuration file on each SIGHUP, and again with growing waits while it cannot be used.

    The file may be half written when the signal comes. Until it can be used, the current configuration stays
    in force. `on_discovery_moved` is called with the address in the file after each successful read, also if
    it is the current one; `on_reloaded` with whether the configuration took effect, False at most once for
    each signal.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        environment: Mapping[str, str],
        on_discovery_moved: Callable[[Address], None],
        on_reloaded: Callable[[bool], None],
    ) -> None:
        self._loop = loop
        self._environment = environment
        self._on_discovery_moved = on_discovery_moved
        self._on_reloaded = on_reloaded
        self._failure_reported = False
        self._backoff = ReconnectBackoff()
        self._timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Read the file now: the action on SIGHUP."""
        self._backoff.reset()
        self._failure_reported = False
        self._read()

    def stop(self) -> None:
        """Give up the next read of a file that could not be used."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _read(self) -> None:
        self.stop()
        try:
            address = load_discovery_address(self._environment)
        except ConfigurationError as error:
            log.error("configuration reload failed, the current one stays in force: error=%s", error)
            self._report_failure()
            self._timer = self._loop.call_later(self._backoff.next_wait_s(), self._read)
            return
        self._on_reloaded(True)
        self._on_discovery_moved(address)

    def _report_failure(self) -> None:
        """Report the first failure since the signal, not that of each new read."""
        if not self._failure_reported:
            self._failure_reported = True
            self._on_reloaded(False)

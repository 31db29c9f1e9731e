"""Reload of the configuration file on SIGHUP, without a restart of the process."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from message_relay.server.configuration import Address, ConfigurationError, load_discovery_address
from message_relay.server.discovery.backoff import ReconnectBackoff

log = logging.getLogger(__name__)


class ConfigurationReloader:
    """Reads the configuration file on each SIGHUP and retries with backoff until the file is valid.

    The file may be partially written when the signal arrives. The current configuration stays in force until
    the file is valid. After each successful read, `on_discovery_address` is called with the address of the
    discovery service in the file, even if it has not changed. `on_reload_result` is called with True if the
    file was read and is valid, and with False if it is not, the latter at most once per signal.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        environment: Mapping[str, str],
        on_discovery_address: Callable[[Address], None],
        on_reload_result: Callable[[bool], None],
    ) -> None:
        self._loop = loop
        self._environment = environment
        self._on_discovery_address = on_discovery_address
        self._on_reload_result = on_reload_result
        self._failure_reported = False
        self._backoff = ReconnectBackoff()
        self._timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Read the file now; called on SIGHUP."""
        self._backoff.reset()
        self._failure_reported = False
        self._read()

    def stop(self) -> None:
        """Cancel the pending retry, if there is one."""
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
        self._on_reload_result(True)
        self._on_discovery_address(address)

    def _report_failure(self) -> None:
        """Report a failed reload, unless one was reported since the last signal."""
        if not self._failure_reported:
            self._failure_reported = True
            self._on_reload_result(False)

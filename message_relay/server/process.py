"""The process of one instance: signal handlers, admin console, hot restart and the relay server."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from typing import Any

from message_relay.server.admin_console import AdminConsole
from message_relay.server.configuration import RelayConfiguration
from message_relay.server.hot_restart.channel import socket_path
from message_relay.server.hot_restart.new_process import take_over
from message_relay.server.hot_restart.old_process import HotRestartListener
from message_relay.server.relay_server import RelayServer
from message_relay.server.reload import ConfigurationReloader

log = logging.getLogger(__name__)


async def serve(configuration: RelayConfiguration) -> None:
    """Run one instance until it has shut down or has handed over to another process.

    Raises OSError if it cannot start.
    """
    loop = asyncio.get_running_loop()
    server = RelayServer(loop, configuration)
    console = AdminConsole(server.operations)
    reloader = ConfigurationReloader(
        loop, os.environ, server.change_discovery_address, server.metrics.record_reload
    )
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)  # without a handler it ends the process
    loop.add_signal_handler(signal.SIGTERM, server.lifecycle.shut_down)
    loop.add_signal_handler(signal.SIGINT, server.lifecycle.shut_down)
    if configuration.console_address is not None:
        # Opened first, so that health checks get an answer during the start.
        await console.listen(configuration.console_address)
    server.prepare()
    path = socket_path(os.environ, configuration.state_directory)
    starting = loop.create_task(take_over(loop, server, path))
    started_or_closed: set[asyncio.Future[Any]] = {starting, server.lifecycle.closed}
    await asyncio.wait(started_or_closed, return_when=asyncio.FIRST_COMPLETED)
    listener = HotRestartListener(loop, server.transfer, path)
    if starting.done():
        port, restored = starting.result(), len(server.journal.messages)
        server.lifecycle.reports_sent = lambda: listener.reports_sent
        listener.listen()
        log.info("%s is ready on port %d with %d messages restored", configuration.name, port, restored)
    else:
        starting.cancel()
    await server.lifecycle.closed
    reloader.stop()
    console.close()
    listener.close()
    server.close()

"""`python -m message_relay`: one instance of the relay. Configuration, signals and wiring."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import Any

from message_relay.server.admin_console import AdminConsole
from message_relay.server.configuration import ConfigurationError, RelayConfiguration, load_configuration
from message_relay.server.hot_restart.channel import socket_path
from message_relay.server.hot_restart.new_process import take_over
from message_relay.server.hot_restart.old_process import HotRestartListener
from message_relay.server.log_output import configure_logging
from message_relay.server.relay_server import RelayServer
from message_relay.server.reload import ConfigurationReloader

EXIT_OK, EXIT_CANNOT_START, EXIT_BAD_CONFIGURATION = 0, 1, 2
log = logging.getLogger(__name__)


async def serve(configuration: RelayConfiguration) -> None:
    """Run one instance until it is told to end or another process has taken over.

    OSError if it cannot start.
    """
    loop = asyncio.get_running_loop()
    server = RelayServer(loop, configuration)
    console = AdminConsole(server.operations)
    reloader = ConfigurationReloader(loop, os.environ, server.move_discovery, server.metrics.record_reload)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)  # unhandled it would end the process
    loop.add_signal_handler(signal.SIGTERM, server.lifecycle.shut_down)
    loop.add_signal_handler(signal.SIGINT, server.lifecycle.shut_down)
    if configuration.console_address is not None:
        await console.listen(configuration.console_address)  # before all is ready: until then health says no
    server.prepare()
    path = socket_path(os.environ, configuration.state_directory)
    starting = loop.create_task(take_over(loop, server, path))
    first: set[asyncio.Future[Any]] = {starting, server.lifecycle.closed}
    await asyncio.wait(first, return_when=asyncio.FIRST_COMPLETED)
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


def main() -> int:
    """Run one instance.

    Exit status 2 for a bad configuration, 1 if it cannot start, with one line on standard error.
    """
    configure_logging()
    try:
        configuration = load_configuration(os.environ)
    except ConfigurationError as error:
        print(f"message-relay: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    try:
        asyncio.run(serve(configuration))
    except OSError as error:
        print(f"message-relay: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())

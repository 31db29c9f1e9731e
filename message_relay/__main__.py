"""The real courier's process: signals and wiring."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time
from typing import Any

from message_relay.server.configuration import Config, ConfigError, load
from message_relay.server.admin_console import AdminConsole
from message_relay.server.hot_restart import Predecessor, socket_path, take_over
from message_relay.server.relay_server import Host
from message_relay.server.reload import Reloader


class Bounded(logging.Filter):
    """At most so many lines a second: a flood of them would stall the loop."""

    def __init__(self, a_second: int) -> None:
        super().__init__()
        self.a_second, self.second, self.count = a_second, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.count = second, 0
        self.count += 1
        return self.count <= self.a_second


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    host = Host(loop, config)
    console = AdminConsole(host)
    reloader = Reloader(loop, os.environ, host.move, host.counters.record_reload)
    loop.add_signal_handler(signal.SIGHUP, reloader.hup)  # unhandled it would end the process
    loop.add_signal_handler(signal.SIGTERM, host.terminate)
    loop.add_signal_handler(signal.SIGINT, host.terminate)
    if config.console is not None:
        await console.listen(config.console)  # before all is ready: until then health says no
    host.warm()
    path = socket_path(os.environ, config.state)
    starting = loop.create_task(take_over(loop, host, path))
    waiting: set[asyncio.Future[Any]] = {starting, host.closed}
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    predecessor = Predecessor(loop, host, path)
    if starting.done():
        port = starting.result()
        host.handed_over = lambda: predecessor.reported
        predecessor.listen()
        logging.info(
            "%s is ready on port %d with %d messages restored", config.name, port, len(host.journal.held)
        )
    else:
        starting.cancel()
    await host.closed
    reloader.stop()
    console.close()
    predecessor.close()
    host.close()


def main() -> int:
    handler = logging.StreamHandler()
    handler.addFilter(Bounded(50))
    logging.basicConfig(
        level=logging.INFO, handlers=[handler], format="%(asctime)s %(levelname)s %(message)s"
    )
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"message-relay: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config))
    except OSError as error:
        print(f"message-relay: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

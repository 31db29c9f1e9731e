"""Idle clients that take all the descriptors they can get, while discovery is down."""

import asyncio
import contextlib

import pytest
from loopback import Client, Fleet, bounded


async def crowd(port, count):
    """Connections that send nothing; those that are turned away or closed are opened no more."""
    opened = []
    for _ in range(count):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            opened.append(await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 2))
    return opened


@pytest.mark.parametrize("files", [64, 128, 256])
@pytest.mark.parametrize("callers", [0, 40])
def test_idle_clients_leave_descriptors_for_all_else_when_discovery_is_back(tmp_path, files, callers):
    async def run():
        async with Fleet(tmp_path, sockets=files) as fleet:
            e = await fleet.endpoint("a")
            await fleet.discovery.stop()
            useful = await fleet.outside(files=files)
            assert await useful.put("before") == "+OK"
            assert (await e.call())[1]["x-request-id"] == "before"
            idle = await crowd(fleet.port, 2 * files)
            idle += await crowd(fleet.console_port, callers)
            late = await Client().open(fleet.port)
            await fleet.discovery.start()
            assert await late.send(Client.command(b"PING")) == "+PONG"
            assert await useful.put("after") == "+OK"  # the useful one was not cut
            assert (await e.call())[1]["x-request-id"] == "after"
            await bounded(fleet.discovery.watches.get())
            fleet.discovery.change("a", state="terminating")
            assert await useful.put("nowhere", life=1500) == "+OK"
            assert (await fleet.discovery.final())["id"] == "nowhere"  # its notice
            figures = await fleet.ask("counters")
            assert figures.startswith("ACK") and "app_hosts_listed 1\n" in figures
            for _, writer in idle:
                writer.close()

    asyncio.run(run())

"""Idle clients that take all the descriptors they can get, while discovery is down."""

import asyncio
import contextlib

import pytest
from loopback import Client, Fleet, bounded


async def open_silent_connections(port, count):
    """Connections that send nothing; those that are rejected or closed are not opened again."""
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
            endpoint = await fleet.endpoint("a")
            await fleet.discovery.stop()
            active_client = await fleet.start_process(files=files)
            assert await active_client.put("before") == "+OK"
            assert (await endpoint.call())[1]["x-request-id"] == "before"
            idle_connections = await open_silent_connections(fleet.port, 2 * files)
            idle_connections += await open_silent_connections(fleet.console_port, callers)
            late_client = await Client().open(fleet.port)
            await fleet.discovery.start()
            assert await late_client.send(Client.command(b"PING")) == "+PONG"
            assert await active_client.put("after") == "+OK"  # the active client was not disconnected
            assert (await endpoint.call())[1]["x-request-id"] == "after"
            await bounded(fleet.discovery.watches.get())
            fleet.discovery.change("a", state="terminating")
            assert await active_client.put("nowhere", life=1500) == "+OK"
            assert (await fleet.discovery.final())["id"] == "nowhere"  # its notice
            metrics = await fleet.run_command("counters")
            assert metrics.startswith("ACK") and "app_hosts_listed 1\n" in metrics
            for _, writer in idle_connections:
                writer.close()

    asyncio.run(run())

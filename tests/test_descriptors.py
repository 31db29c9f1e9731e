"""File descriptors: idle clients that open as many connections as they can while discovery is down.

The relay must still have descriptors for calls, discovery and the journal afterwards.
"""

import asyncio
import contextlib

import pytest
from loopback import Client, Fleet, bounded


async def open_silent_connections(port, count):
    """Open connections that send nothing, and return them; rejected ones are not retried."""
    opened = []
    for _ in range(count):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            opened.append(await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 2))
    return opened


@pytest.mark.parametrize("descriptor_limit", [64, 128, 256])
@pytest.mark.parametrize("console_connections", [0, 40])
def test_idle_clients_leave_descriptors_for_other_uses_when_discovery_recovers(
    tmp_path, descriptor_limit, console_connections
):
    async def run():
        async with Fleet(tmp_path, sockets=descriptor_limit) as fleet:
            endpoint = await fleet.endpoint("a")
            await fleet.discovery.stop()
            active_client = await fleet.start_process(descriptor_limit=descriptor_limit)
            assert await active_client.put("before") == "+OK"
            assert (await endpoint.call())[1]["x-request-id"] == "before"
            idle_connections = await open_silent_connections(fleet.port, 2 * descriptor_limit)
            idle_connections += await open_silent_connections(fleet.console_port, console_connections)
            late_client = await Client().open(fleet.port)
            await fleet.discovery.start()
            assert await late_client.send(Client.command(b"PING")) == "+PONG"
            assert await active_client.put("after") == "+OK"  # the active client was not disconnected
            assert (await endpoint.call())[1]["x-request-id"] == "after"
            await bounded(fleet.discovery.watches.get())
            fleet.discovery.change("a", state="terminating")
            assert await active_client.put("nowhere", lifetime_ms=1500) == "+OK"
            assert (await fleet.discovery.final())["id"] == "nowhere"  # notices are sent as well
            metrics = await fleet.run_command("counters")
            assert metrics.startswith("ACK") and "app_hosts_listed 1\n" in metrics
            for _, writer in idle_connections:
                writer.close()

    asyncio.run(run())

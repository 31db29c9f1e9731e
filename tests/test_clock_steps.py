"""Deadlines and the memory of ids are spans of real time, also when the wall clock is stepped."""

import asyncio
import time

import pytest
from loopback import Client, with_fleet


# Guards against an id that is forgotten at a step of the clock and takes effect again, and against late ends.
@pytest.mark.parametrize("step_s", [3600.0, 30.0, -30.0, -3600.0])
def test_a_step_of_the_wall_clock_changes_no_span(tmp_path, step_s, monkeypatch):
    @with_fleet
    async def run(fleet):
        hanging = await fleet.endpoint("a", "hang", dest=8)
        endpoint = await fleet.endpoint("b")
        client = await fleet.start_relay()
        assert await client.put("known", message_class="unsafe") == "+OK"
        await endpoint.call()
        started_s = time.monotonic()
        assert await client.put("before", message_class="unsafe", dest=8, lifetime_ms=1500) == "+OK"
        await hanging.call()
        wall_clock = time.time
        monkeypatch.setattr("time.time", lambda: wall_clock() + step_s)
        assert await client.put("after", message_class="unsafe", lifetime_ms=4000) == "+OK"
        assert (await endpoint.call())[1]["x-request-id"] == "after"
        notice = await fleet.discovery.final()
        assert notice == {"id": "before", "status": "undeliverable"}
        assert 0.4 < time.monotonic() - started_s < 1.5 + 0.35
        await asyncio.sleep(1.1)  # ids expire at most once a second
        later_client = await Client().open(fleet.relay_port())
        assert await later_client.put("other") == "+OK"  # they do when the journal writes
        await endpoint.call()
        for message_id in ("known", "after"):
            assert await later_client.put(message_id, message_class="unsafe") == "+OK"
        await asyncio.sleep(0.1)
        assert endpoint.calls.empty()

    run(tmp_path)

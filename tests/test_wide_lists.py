"""Endpoint lists of more than a thousand endpoints, in a fleet of as many instances."""

import asyncio
import json
import time

import pytest
from loopback import Fleet, settings

ENDPOINT_COUNT = 1100


def targets(state="in_service"):
    return [
        {
            "uid": f"s-{n:08x}",
            "endpoint": f"127.0.{n // 250}.{n % 250 + 1}:6379",
            "az": "here",
            "model": "plain",
            "pod_group": n % 60,
            "state": state,
            "capacity_hint": 30.0,
            "boot_ms": 0,
        }
        for n in range(ENDPOINT_COUNT)
    ]


def change_line(revision, complete, entries):
    return json.dumps({"rev": revision, "all": complete, "targets": entries}).encode() + b"\n"


# Each form splits a list into the pieces in which the watch receives it.


def one_line(entries):
    return [change_line(5, True, entries)]


def changes(entries):
    return [change_line(5 + n, False, entries[n : n + 100]) for n in range(0, ENDPOINT_COUNT, 100)]


def in_pieces(entries):
    data = change_line(5, True, entries)
    return [data[at : at + 4096] for at in range(0, len(data), 4096)]


@pytest.mark.parametrize("form", [one_line, changes, in_pieces])
def test_one_instance_of_1100_applies_a_list_of_1100_endpoints(tmp_path, form):
    async def run():
        async with Fleet(tmp_path, settings()) as fleet:
            fleet.raw_settings["groupSize"] = ENDPOINT_COUNT
            await fleet.endpoint("a")
            await fleet.start_relay()
            relay = fleet.relay
            relay.watch.headers_received(200, {})
            started_s = time.process_time()
            for piece in form(targets()):
                relay.watch.body_received(piece)
            relay.policy_runner.run()
            cpu_s = time.process_time() - started_s
            listed_entries = [
                e
                for e in relay.directory.entries.values()
                if relay.directory.uids[e.endpoint].startswith("s-")
            ]
            assert len(listed_entries) == ENDPOINT_COUNT
            assert len(relay.policy.state.endpoints) >= ENDPOINT_COUNT
            for piece in form(targets("terminating")):
                relay.watch.body_received(piece)
            relay.policy_runner.run()
            assert not [
                endpoint
                for endpoint in relay.policy.state.endpoints.values()
                if endpoint.state.value == "ready" and endpoint.group.destination.id != 7
            ]
            print(f"{form.__name__}: {cpu_s * 1000:.0f} ms of processor time")
            assert cpu_s < 1.0  # usually 10 to 20 ms

    asyncio.run(run())


def test_more_than_a_thousand_endpoints_can_be_cordoned(tmp_path):
    async def run():
        async with Fleet(tmp_path) as fleet:
            await fleet.endpoint("a")
            await fleet.start_relay()
            fleet.relay.watch.headers_received(200, {})
            fleet.relay.watch.body_received(change_line(5, True, targets()))
            for target in targets():
                fleet.relay.operations.cordon(target["uid"])
            assert len(fleet.relay.journal.cordoned) == ENDPOINT_COUNT

    asyncio.run(run())

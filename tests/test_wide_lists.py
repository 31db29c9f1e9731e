"""Lists of more than a thousand endpoints, for as many couriers."""

import asyncio
import json
import time

import pytest
from loopback import Fleet, settings

MANY = 1100


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
        for n in range(MANY)
    ]


def line(rev, whole, entries):
    return json.dumps({"rev": rev, "all": whole, "targets": entries}).encode() + b"\n"


def one_line(entries):
    return [line(5, True, entries)]


def changes(entries):
    return [line(5 + n, False, entries[n : n + 100]) for n in range(0, MANY, 100)]


def in_pieces(entries):
    data = line(5, True, entries)
    return [data[at : at + 4096] for at in range(0, len(data), 4096)]


@pytest.mark.parametrize("form", [one_line, changes, in_pieces])
def test_a_list_of_1100_endpoints_is_followed_by_one_of_1100_couriers(tmp_path, form):
    async def run():
        async with Fleet(tmp_path, settings()) as fleet:
            fleet.raw["groupSize"] = MANY
            await fleet.endpoint("a")
            await fleet.inside()
            host = fleet.host
            host.watch.headers_received(200, {})
            began = time.process_time()
            for piece in form(targets()):
                host.watch.body_received(piece)
            host.turn()
            took = time.process_time() - began
            assert len([e for e in host.entries.values() if host.names[e.endpoint].startswith("s-")]) == MANY
            assert len(host.policy.state.endpoints) >= MANY
            for piece in form(targets("terminating")):
                host.watch.body_received(piece)
            host.turn()
            assert not [
                ep
                for ep in host.policy.state.endpoints.values()
                if ep.state.value == "ready" and ep.group.destination.number != 7
            ]
            print(f"{form.__name__}: {took * 1000:.0f} ms of processor time")
            assert took < 1.0  # measured: 10 to 20 ms

    asyncio.run(run())


def test_more_than_a_thousand_endpoints_can_be_cordoned(tmp_path):
    async def run():
        async with Fleet(tmp_path) as fleet:
            await fleet.endpoint("a")
            await fleet.inside()
            fleet.host.watch.headers_received(200, {})
            fleet.host.watch.body_received(line(5, True, targets()))
            for target in targets():
                fleet.host.cordon(target["uid"])
            assert len(fleet.host.journal.cordoned) == MANY

    asyncio.run(run())

"""On SIGHUP the relay reads its configuration file again and connects to the discovery address in it."""

import json
import signal

from loopback import Discovery, answer, bounded, until, with_fleet

from message_relay.server.configuration import Address


def set_discovery_port(fleet, port):
    path = fleet.folder / "config.json"
    document = json.loads(path.read_text())
    document["discovery"] = f"127.0.0.1:{port}"
    path.write_text(json.dumps(document))


@with_fleet
async def test_sighup_moves_the_watch_and_the_notices_to_the_new_address(fleet):
    # Without a handler, SIGHUP would end the process.
    endpoint = await fleet.endpoint("a", answer(200), answer(500))
    client = await fleet.start_process()
    assert (await bounded(fleet.discovery.watches.get())).endswith("from=1")
    new_discovery = await Discovery().start()
    new_discovery.rev, new_discovery.targets = 2, dict(fleet.discovery.targets)
    new_discovery.add_target("b", endpoint.port, 8)
    (fleet.folder / "config.json").rename(fleet.folder / "old.json")
    # The file is missing, then partially written: the old configuration stays in force.
    fleet.process.send_signal(signal.SIGHUP)
    (fleet.folder / "partial.json").write_text((fleet.folder / "old.json").read_text()[:50])
    (fleet.folder / "partial.json").rename(fleet.folder / "config.json")
    fleet.process.send_signal(signal.SIGHUP)
    assert await client.put("m1") == "+OK"
    assert (await endpoint.call())[1]["x-request-id"] == "m1" and new_discovery.watches.empty()
    (fleet.folder / "old.json").rename(fleet.folder / "config.json")
    set_discovery_port(fleet, new_discovery.port)  # read by the relay's retry, without another signal
    assert (await bounded(new_discovery.watches.get())).endswith("from=1")
    assert await client.put("u1", message_class="unsafe") == "+OK"
    assert await new_discovery.final() == {"id": "u1", "status": "undeliverable"}
    assert fleet.discovery.finals.empty() and fleet.process.returncode is None
    await new_discovery.stop()


@with_fleet
async def test_notices_not_accepted_at_the_old_address_are_sent_to_the_new_one(fleet):
    class SilentDiscovery(Discovery):
        async def serve(self, reader, writer):
            await reader.read()

    await fleet.endpoint("a", answer(500))
    fleet.discovery = await SilentDiscovery().start()
    fleet.discovery.add_target("a", fleet.endpoints["a"].port, 7)
    client = await fleet.start_relay()
    assert await client.put("u1", message_class="unsafe") == "+OK"
    await until(lambda: fleet.relay.notifier.batch)
    new_discovery = await Discovery().start()
    new_discovery.targets = fleet.discovery.targets
    fleet.relay.change_discovery_address(Address("127.0.0.1", new_discovery.port))
    assert await new_discovery.final() == {"id": "u1", "status": "undeliverable"}
    await bounded(new_discovery.watches.get())
    await new_discovery.stop()

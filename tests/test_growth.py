"""Memory growth: entries of messages, connections and endpoints are removed with them.

Guards against containers that grow with every replaced endpoint or new message id.
"""

import asyncio

from loopback import bounded, with_fleet

from message_relay.server.resp import connection


def container_sizes(relay):
    """Return the sizes of the containers with an entry for each message, connection or endpoint."""
    state, journal, calls = relay.policy.state, relay.journal, relay.calls
    return {
        "uids": len(relay.directory.numbers),
        "names": len(relay.directory.uids),
        "entries": len(relay.directory.entries),
        "retry_after": len(relay.retry_after),
        "submissions": len(relay.submissions.pending),
        "pending ids": len(relay.submissions.pending_ids),
        "deadline timers": len(relay.answers.deadline_timers),
        "attempts": len(relay.attempts.next_attempts),
        "clients": len(relay.clients.connections),
        "journal messages": len(journal.messages),
        "ids": len(journal.numbers_by_id),
        "open": journal.open_count,
        "open keys": len(journal.open_number_by_key),
        "pools": len(calls.pools),
        "in_flight": len(calls.in_flight),
        "idle": calls.idle_connections - sum(len(p.idle) for p in calls.pools.values()),
        "endpoints": len(state.endpoints),
        "messages": len(state.messages),
        "calls": len(state.calls),
        "groups": sum(len(group.endpoints) for d in state.destinations.values() for group in d.groups),
        "keys": len(state.order_queues),
        "order pauses": len(state.order_pauses),
        "notices": len(relay.notifier.pending),
        "queued": sum(len(d.queue) for d in state.destinations.values()),
    }


@with_fleet
async def test_repeatedly_replaced_endpoints_leave_no_entries(fleet):
    # Each new uid at the address of a removed endpoint is a new endpoint, also while calls to the removed one
    # are in flight.
    endpoint = await fleet.endpoint("e0")
    client = await fleet.start_relay()
    relay = fleet.relay
    await bounded(fleet.discovery.watches.get())
    sizes = []
    for number in range(1, 60):
        assert await client.put(f"m{number}", message_class="keyed", key=f"k{number}") == "+OK"
        await endpoint.call()
        fleet.discovery.add_target(f"e{number}", endpoint.port, 7)
        fleet.discovery.change(f"e{number}", state="in_service")
        fleet.discovery.change(f"e{number - 1}", state="terminated")
        del fleet.discovery.targets[f"e{number - 1}"]
        while relay.watch.revision != fleet.discovery.rev or relay.journal.messages or relay.calls.in_flight:
            await asyncio.sleep(0.002)
        if number in (10, 59):
            await asyncio.sleep(0.05)
            sizes.append(container_sizes(relay))
    assert sizes[0] == sizes[1] and sizes[0]["uids"] == sizes[0]["endpoints"] == 1 == sizes[0]["pools"]


@with_fleet
async def test_an_endpoint_removed_with_its_call_in_flight_is_dropped_when_the_call_ends(fleet):
    endpoint = await fleet.endpoint("a", "hang")
    client = await fleet.start_relay()
    await bounded(fleet.discovery.watches.get())
    assert await client.put("u", message_class="unsafe", lifetime_ms=900) == "+OK"
    await endpoint.call()
    fleet.discovery.change("a", state="terminated")
    assert (await fleet.discovery.final())["id"] == "u"
    await asyncio.sleep(0.05)
    assert container_sizes(fleet.relay)["endpoints"] == container_sizes(fleet.relay)["groups"] == 0


@with_fleet
async def test_a_client_that_sends_once_and_keeps_its_connection_is_disconnected(fleet):
    await fleet.endpoint("a")
    client = await fleet.start_relay()
    assert await client.put("m1") == "+OK"
    assert await asyncio.wait_for(client.reader.read(), connection.IDLE_TIMEOUT_S + 1) == b""
    assert not fleet.relay.clients.connections

"""Hot restarts with both servers in one process: the transferred state, and the end of either process.

Guards against lost or repeated messages, and against two processes that serve or write records at once, when
a process ends in any step of a handover.
"""

from hot_restart_pair import ScriptedRequester, add_blocked_endpoint, assert_still_serves, with_process_pair
import asyncio
import os
import socket

import pytest
from loopback import Client, bounded, until

from message_relay.server.hot_restart import new_process
from message_relay.server.hot_restart.snapshot import VERSION
from message_relay.server.admin_console import CommandRejectedError
from message_relay.server.journal import Journal, JournalLockedError


@with_process_pair
async def test_a_hot_restart_transfers_clients_calls_and_cordons(fleet, start):
    blocked = await add_blocked_endpoint(fleet)
    endpoint_e = await fleet.endpoint("e", dest=8)
    endpoint_f = await fleet.endpoint("f", dest=8)
    client, pair = await start()
    old = pair.old_process
    partial_client = await Client().open(fleet.relay_port())
    partial_client.writer.write(Client.message("partial", dest=8)[:25])
    assert await client.put("u", message_class="unsafe") == "+OK"
    await blocked.call()
    old.operations.cordon("f")
    await until(lambda: any(c.reader.mid_request for c in old.clients.connections))
    new = await pair.hot_restart()
    assert new.unready_reason() == "" and old.unready_reason() == "handed over"
    assert await client.put("next", dest=8) == "+OK"  # on the transferred connection
    assert await partial_client.send(Client.message("partial", dest=8)[25:]) == "+OK"
    assert {(await endpoint_e.call())[1]["x-request-id"] for _ in range(2)} == {"next", "partial"}
    # The old process drains its call in flight.
    assert not old.lifecycle.closed.done() and new.journal.open_count >= 1
    blocked.open.set()
    await bounded(old.lifecycle.closed)
    await until(lambda: not new.journal.open_count)
    assert new.metrics.delivered[2] == 1 and blocked.calls.empty() and endpoint_f.calls.empty()
    assert fleet.discovery.finals.empty() and "f" in new.journal.cordoned


@with_process_pair
async def test_after_the_old_process_ends_its_unreported_attempts_are_possibly_applied(fleet, start):
    blocked, other_blocked = await add_blocked_endpoint(fleet), await add_blocked_endpoint(fleet, "k", dest=8)
    client, pair = await start()
    assert await client.put("u", message_class="unsafe") == "+OK"
    assert await client.put("s", dest=8) == "+OK"
    await blocked.call()
    await other_blocked.call()
    await pair.hot_restart()
    pair.listener.channel.close()  # as when the process ends: no more outcomes are reported
    pair.old_process.close()
    assert await fleet.discovery.final() == {"id": "u", "status": "undeliverable"}
    assert (await other_blocked.call())[1]["x-request-id"] == "s"  # idempotent, so it is sent again
    assert blocked.calls.empty()


@with_process_pair
async def test_if_the_old_process_ends_before_a_handover_the_new_one_starts_from_the_journal(fleet, start):
    endpoint = await fleet.endpoint("e", dest=8)
    await add_blocked_endpoint(fleet, dest=9)
    client, pair = await start()
    assert await client.put("m", dest=9) == "+OK"
    new = pair.prepare_new_process()
    starting = asyncio.ensure_future(new_process.take_over(pair.loop, new, pair.path))
    pair.old_process.transfer.handover_blocked_reason = lambda: "not yet"
    await until(lambda: new._list_received.is_set())
    await asyncio.sleep(0.1)
    assert not starting.done() and new.unready_reason() == "starting"
    with pytest.raises(JournalLockedError):
        new.journal.acquire()
    pair.listener.close()
    pair.old_process.close()
    await bounded(starting)
    pair.fleet.relay = new
    assert [m.id for m in new.journal.messages.values()] == ["m"] and new.unready_reason() == ""
    late_client = await Client().open(fleet.relay_port())
    assert await late_client.put("late", dest=8) == "+OK"
    await endpoint.call()


@with_process_pair
async def test_if_the_new_process_ends_before_it_owns_the_journal_the_old_one_keeps_serving(fleet, start):
    endpoint = await fleet.endpoint("e", dest=8)
    blocked = await add_blocked_endpoint(fleet)
    client, pair = await start()
    assert await client.put("in-flight") == "+OK"
    await blocked.call()
    # The new process connects and ends before it sends a request.
    requester = ScriptedRequester(pair)
    await until(lambda: pair.listener.channel is not None)
    requester.channel.close()
    await assert_still_serves(fleet, pair, client, endpoint, "a")
    # It ends before it receives the response to its request.
    requester = ScriptedRequester(pair)
    requester.channel.send_values(["take", VERSION])
    requester.channel.close()
    await assert_still_serves(fleet, pair, client, endpoint, "b")
    # It receives the complete handover and ends after a call in flight of the old process ended.
    requester = ScriptedRequester(pair)
    requester.channel.send_values(["take", VERSION])
    await requester.wait_for_frame("end")
    assert pair.old_process.unready_reason() == "handing over"
    blocked.open.set()
    await until(lambda: pair.listener.unsent_reports)
    requester.channel.close()
    await assert_still_serves(fleet, pair, client, endpoint, "c")
    await until(lambda: not pair.old_process.journal.open_count)
    assert pair.old_process.metrics.delivered[0] == 4 and blocked.calls.empty()
    # It acquires the lock and ends before it confirms this.
    requester = ScriptedRequester(pair)
    requester.channel.send_values(["take", VERSION])
    await requester.wait_for_frame("end")
    journal = Journal(fleet.folder / "state", 3_000_000).acquire()
    journal.close()
    requester.channel.close()
    await assert_still_serves(fleet, pair, client, endpoint, "d")


@with_process_pair
async def test_no_client_is_read_or_closed_during_a_handover(fleet, start):
    endpoint = await fleet.endpoint("e", dest=8)
    client, pair = await start()
    assert await client.put("a", dest=8) == "+OK"
    pair.old_process.operations.quiesce()
    requester = ScriptedRequester(pair)
    requester.channel.send_values(["take", VERSION])
    await requester.wait_for_frame("end")
    client.writer.write(Client.message("b", dest=8))
    for served in pair.old_process.clients.connections:
        served.close_at_s = 0.0
    pair.old_process.lifecycle._close_connections()
    pair.old_process.clients._sweep_periodically()
    fd = requester.channel.received_descriptors[1]
    # The request is unread and the connection is open.
    assert Client.message("b", dest=8) in socket.socket(fileno=os.dup(fd)).recv(1000)
    assert len(pair.old_process.clients.connections) == 1
    requester.channel.close()
    assert [(await endpoint.call())[1]["x-request-id"]] == ["a"]


@with_process_pair
async def test_the_old_process_writes_no_record_once_the_new_one_owns_the_journal(fleet, start):
    client, pair = await start()
    requester = ScriptedRequester(pair)
    requester.channel.send_values(["take", VERSION])
    await requester.wait_for_frame("end")
    journal = Journal(fleet.folder / "state", 3_000_000).acquire()
    requester.channel.close()  # without a confirmation, but the lock is held
    await bounded(pair.old_process.lifecycle.closed)
    assert pair.old_process.lifecycle.handed_over and pair.old_process.unready_reason() == "handed over"
    with pytest.raises(OSError):
        pair.old_process.journal.record_cordon("x", True)
    journal.close()


@with_process_pair
async def test_after_malformed_frames_other_versions_and_timeouts_the_old_process_keeps_serving(fleet, start):
    endpoint = await fleet.endpoint("e", dest=8)
    client, pair = await start()
    for number, message in enumerate(([], ["take", 99], ["take"], ["owned"], ["what", 1])):
        requester = ScriptedRequester(pair)
        requester.channel.send_values(message)
        if message == ["take", 99]:
            assert await bounded(requester.received_frames.get()) == ["no", "another version"]
        elif message and len(message) == 2:
            await asyncio.sleep(0.01)
        requester.channel.close()
        await assert_still_serves(fleet, pair, client, endpoint, f"m{number}")
    requester = ScriptedRequester(pair)
    requester.channel._sock.send(b"\xff" * 100)
    await bounded(requester.disconnected.wait())
    await assert_still_serves(fleet, pair, client, endpoint, "last")
    requester = ScriptedRequester(pair)
    await until(lambda: pair.listener.channel is not None)
    pair.listener.abort_on_timeout()  # as at the end of the time limit for a request
    await bounded(requester.disconnected.wait())
    await assert_still_serves(fleet, pair, client, endpoint, "after")


@with_process_pair
async def test_a_process_in_shutdown_rejects_a_handover(fleet, start):
    _, pair = await start()
    pair.old_process.lifecycle.shut_down()
    requester = ScriptedRequester(pair)
    requester.channel.send_values(["take", VERSION])
    assert await bounded(requester.received_frames.get()) == ["no", "ending"]
    requester.channel.close()


@with_process_pair
async def test_operators_commands_are_rejected_by_a_process_that_does_not_serve(fleet, start):
    await fleet.endpoint("e")
    _, pair = await start()
    new = pair.prepare_new_process()
    with pytest.raises(CommandRejectedError, match="starting"):
        new.operations.check_health()
    with pytest.raises(CommandRejectedError, match="starting"):
        new.operations.cordon("e")
    await bounded(new_process.take_over(pair.loop, new, pair.path))
    fleet.relay = new
    for call in (
        pair.old_process.operations.check_health,
        pair.old_process.operations.quiesce,
        pair.old_process.operations.resume,
    ):
        with pytest.raises(CommandRejectedError, match="handed over"):
            call()
    new.operations.check_health()
    new.operations.cordon("e")

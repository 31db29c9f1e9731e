"""Cordon and uncordon: their effect on attempts, and their persistence across lists and restarts."""

import asyncio

from loopback import answer, until, with_fleet

from message_relay.model import (
    AttemptEnded,
    AttemptResult,
    EndpointCordoned,
    EndpointEntry,
    EndpointListForm,
    EndpointListReceived,
    EndpointState,
    MessageClass,
    MessageSubmitted,
    SendAttempt,
    Settings,
)
from message_relay.policy.delivery_policy import DeliveryPolicy

LISTED = EndpointListReceived(
    EndpointListForm.COMPLETE,
    (EndpointEntry(1, 7, EndpointState.READY), EndpointEntry(2, 7, EndpointState.READY)),
)


def make_policy():
    return DeliveryPolicy(
        Settings(
            classes=(MessageClass("c", 800_000, 60_000_000),),
            call_slots=40,
            max_open_messages=1000,
            slow_start_share=0.3,
            slow_start_us=10_000_000,
            overload_factor=1.5,
        ),
        seed=1,
    )


def sent_attempts(policy, now, *events):
    """Run a tick with the events and return its SendAttempt actions."""
    return [action for action in policy.handle(now, events) if isinstance(action, SendAttempt)]


def test_cordoned_endpoint_gets_no_attempts_while_it_is_listed_as_ready():
    policy = make_policy()
    sent_attempts(policy, 0, LISTED, EndpointCordoned(1))
    used_endpoints, message, now = [], 0, 0
    for _ in range(200):
        message, now = message + 1, now + 50_000
        sent = sent_attempts(policy, now, LISTED, MessageSubmitted(message, 0, 7, now + 60_000_000))
        used_endpoints += [attempt.endpoint for attempt in sent]
        for attempt in sent:
            policy.handle(
                now + 1000, [AttemptEnded(attempt.message, 0, attempt.endpoint, AttemptResult.OK, 1000, True)]
            )
    assert set(used_endpoints) == {2} and len(used_endpoints) > 150
    assert policy.endpoints_out_of_rotation() == [1]


def test_uncordoned_endpoint_starts_slowly():
    def calls(*events):
        policy = make_policy()
        listed = EndpointListReceived(EndpointListForm.COMPLETE, (EndpointEntry(1, 7, EndpointState.READY),))
        sent_attempts(policy, 0, listed, *events)
        now, count = 0, 0
        for message in range(400):
            now += 5_000
            sent = sent_attempts(policy, now, MessageSubmitted(message, 0, 7, now + 60_000_000))
            count += len(sent)
            for attempt in sent:
                policy.handle(now + 1000, [AttemptEnded(attempt.message, 0, 1, AttemptResult.OK, 1000, True)])
        return count, policy

    without_cordon, _ = calls()
    after_uncordon, policy = calls(EndpointCordoned(1), EndpointCordoned(1), EndpointCordoned(1, False))
    uncordon_only, _ = calls(EndpointCordoned(1, False))  # without a cordon, uncordon has no effect
    assert without_cordon == uncordon_only == 400 and 0 < after_uncordon < without_cordon / 10
    assert policy.endpoints_out_of_rotation() == []


@with_fleet
async def test_a_cordon_persists_across_lists_and_restarts_until_it_is_removed(fleet):
    endpoint_a, endpoint_b = await fleet.endpoint("a"), await fleet.endpoint("b")
    client = await fleet.start_process()
    assert (await fleet.run_command("cordon unlisted")).startswith("NAK ")
    assert (await fleet.run_command("uncordon unlisted")).startswith("NAK ")
    assert await fleet.run_command("cordon a") == "ACK\n"
    assert await fleet.run_command("cordon a") == "ACK\n"
    while (await fleet.metrics())["app_hosts_down"] != 1:
        await asyncio.sleep(0.01)
    fleet.discovery.change("a", state="terminated")
    fleet.discovery.change("a", state="in_service")
    while (await fleet.metrics())["app_hosts_listed"] != 2:
        await asyncio.sleep(0.01)
    for number in range(10):
        assert await client.put(f"m{number}") == "+OK"
        await endpoint_b.call()
    await fleet.kill()
    client = await fleet.start_process()
    for number in range(10, 20):
        assert await client.put(f"m{number}") == "+OK"
        await endpoint_b.call()
    assert endpoint_a.calls.empty()
    assert await fleet.run_command("cordon b") == "ACK\n"
    assert await fleet.run_command("uncordon a") == "ACK\n"
    assert await fleet.run_command("uncordon a") == "ACK\n"
    assert await client.put("last") == "+OK"
    assert (await endpoint_a.call())[1]["x-request-id"] == "last"
    # Messages in flight at the kill were sent again, also to endpoint b; the last one must not be.
    assert all(
        endpoint_b.calls.get_nowait()[1]["x-request-id"] != "last" for _ in range(endpoint_b.calls.qsize())
    )


@with_fleet
async def test_a_call_that_waits_for_its_connection_is_not_written_after_the_cordon(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    relay = fleet.relay
    connected_calls = []
    original = relay.calls._connected  # the cordon is set after the connect starts and before the first byte

    def connected(call, connection, error):
        if not connected_calls:
            connected_calls.append(1)
            relay.operations.cordon("a")
        original(call, connection, error)

    relay.calls._connected = connected
    assert await client.put("m") == "+OK"
    await until(lambda: connected_calls)
    await asyncio.sleep(0.1)
    assert endpoint.calls.empty() and relay.journal.open_count == 1
    relay.operations.uncordon("a")
    assert (await endpoint.call())[1]["x-request-id"] == "m"


@with_fleet
async def test_a_cordon_that_cannot_be_recorded_is_rejected(fleet):
    endpoint = await fleet.endpoint("a", answer(200))
    client = await fleet.start_relay()
    fleet.relay.journal.limit_bytes = 0
    assert (await fleet.run_command("cordon a")).startswith("NAK not recorded in the journal: ")
    fleet.relay.journal.limit_bytes = 3_000_000
    assert await client.put("m") == "+OK"
    await endpoint.call()

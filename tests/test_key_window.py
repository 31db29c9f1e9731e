"""Keyed messages with a key window of one second are retried after a restart, but not after the window."""

import asyncio
import time

import pytest
from loopback import Fleet, bounded

from message_relay.server.journal import AcceptedMessage, Journal

WINDOW_S = 1.0
KEYED = 1  # index of the keyed class


class RestartedRelay:
    """A relay whose journal holds a keyed message with an attempt that started `age_s` seconds ago."""

    def __init__(self, folder, scope, age_s, zone=0):
        self.fleet = Fleet(folder)
        keyed = self.fleet.raw_settings["classes"][KEYED]
        keyed["keyTtlUs"], keyed["keyScope"] = int(WINDOW_S * 1e6), scope
        self.age_s, self.zone, self.folder = age_s, zone, folder

    async def __aenter__(self):
        await self.fleet.__aenter__()
        self.endpoint = await self.fleet.endpoint("a")
        journal = Journal(self.folder / "state", 3_000_000, WINDOW_S).acquire()
        self.started_at = time.time() - self.age_s
        journal.accept(AcceptedMessage(1, "m", KEYED, 0, 7, "k", self.started_at + 9, False, b"x"))
        journal.record_attempt([1], self.started_at, self.zone)
        journal.close()
        self.client = await self.fleet.start_relay()
        return self

    async def __aexit__(self, *exception_info):
        await self.fleet.__aexit__(*exception_info)


SCOPES = ["all", "zone", "cell"]


@pytest.mark.parametrize("scope", SCOPES)
def test_a_restart_after_the_window_retries_nothing_and_notifies_at_once(tmp_path, scope):
    async def run():
        async with RestartedRelay(tmp_path, scope, WINDOW_S) as restarted:
            final = await restarted.fleet.discovery.final()
            # The notice is not delayed until the message's lifetime of 9 s ends.
            assert final["id"] == "m" and time.time() - restarted.started_at < 2 * WINDOW_S
            assert final["status"] == ("deferred" if scope == "all" else "undeliverable")
            assert restarted.endpoint.calls.empty()

    asyncio.run(run())


@pytest.mark.parametrize("scope", SCOPES)
def test_a_restart_within_the_window_retries_in_time(tmp_path, scope):
    async def run():
        async with RestartedRelay(tmp_path, scope, 0.0) as restarted:
            assert (await restarted.endpoint.call())[1]["idempotency-key"] == "k"
            assert time.time() - restarted.started_at < WINDOW_S

    asyncio.run(run())


@pytest.mark.parametrize("scope", SCOPES)
def test_a_message_without_an_endpoint_in_its_window_is_notified_when_the_window_ends(tmp_path, scope):
    async def run():
        async with RestartedRelay(tmp_path, scope, 0.0) as restarted:
            fleet = restarted.fleet
            await restarted.endpoint.call()
            fleet.discovery.change("a", state="terminating")
            endpoint = await fleet.endpoint("b", "reset", "reset", "reset")
            fleet.discovery.change("b")
            await restarted.client.put("n", message_class="keyed", key="j", lifetime_ms=8000)
            *_, first_call_at = await endpoint.call()
            fleet.discovery.change("b", state="terminating")
            assert (await fleet.discovery.final())["id"] == "n"
            now = asyncio.get_running_loop().time()
            assert now - first_call_at < WINDOW_S + 0.5  # the message's lifetime is 8 s
            while not endpoint.calls.empty():  # sent before the relay received the endpoint's new state
                *_, call_at = await bounded(endpoint.calls.get())
                assert call_at - first_call_at < WINDOW_S

    asyncio.run(run())


def test_a_connection_established_as_the_window_ends_writes_no_retry(tmp_path, monkeypatch):
    async def run():
        async with RestartedRelay(tmp_path, "all", 0.0) as restarted:
            await restarted.endpoint.call()
            relay, now = restarted.fleet.relay, time.time()
            relay.journal.messages[2] = AcceptedMessage(
                2, "x", KEYED, 0, 7, "y", now + 9, False, b"x", earlier_attempt_at_s=now
            )
            monkeypatch.setattr("message_relay.server.clock.now_s", lambda: now + WINDOW_S / 2)
            assert not relay.attempts._key_window_expired(2)
            monkeypatch.setattr("message_relay.server.clock.now_s", lambda: now + WINDOW_S)
            assert relay.attempts._key_window_expired(2)

    asyncio.run(run())

"""Restored messages, which were accepted before a restart and not attempted, are attempted after it.

The policy may reject new messages if it has no capacity, but not restored ones, in small and in large fleets.
"""

import asyncio
import signal

import pytest
from loopback import Fleet, bounded
from policy_driver import CLASSES, SECOND, PolicyDriver, actions_of

from message_relay.model import AttemptResult, FailMessage, MessageSubmitted, RejectMessage, SendAttempt

SMALL, LARGE = 2, 200
RESTORED, SLOTS = 30, 4


class RestartedPolicy:
    """A policy that receives restored messages in its first tick and new messages afterwards."""

    def __init__(
        self,
        instance_count,
        message_class,
        lifetime_us,
        latency_us,
        result=AttemptResult.OK,
        retry_after_us=0,
    ):
        self.driver = PolicyDriver(
            call_slots=SLOTS, instance_count=instance_count, max_open_messages=RESTORED + 4
        )
        self.latency_us, self.result, self.retry_after_us = latency_us, result, retry_after_us
        self.attempted, self.ended, self.in_flight = [], [], []
        deadline_us = self.driver.now_us + lifetime_us
        restored = (
            MessageSubmitted(number, message_class, 1, deadline_us, restored=True)
            for number in range(1, RESTORED + 1)
        )
        self.record(self.driver.run_tick(*restored))
        self.driver.last_message = 1000

    def record(self, actions):
        """Record the messages that are attempted or get a final answer, and the end of each call."""
        self.attempted += [action.message for action in actions_of(SendAttempt, actions)]
        self.in_flight += [
            (self.driver.now_us + self.latency_us, action.message, action.endpoint)
            for action in actions_of(SendAttempt, actions)
        ]
        self.ended += [
            action.message for action in actions_of(RejectMessage, actions) + actions_of(FailMessage, actions)
        ]

    def run(self, seconds, new_messages=0):
        """Run a tick each 50 ms, with this number of new messages in every second one.

        Return the restored messages that were attempted.
        """
        for step in range(round(seconds * 20)):
            self.driver.now_us += 50_000
            self.record(self.driver.run_tick())
            for ended_call in [x for x in self.in_flight if x[0] <= self.driver.now_us]:
                self.in_flight.remove(ended_call)
                result, retry_after_us = self.result, self.retry_after_us
                self.result, self.retry_after_us = AttemptResult.OK, 0  # for all attempts after the first
                self.record(
                    self.driver.end_attempt(
                        ended_call[1], result, self.latency_us, 0, ended_call[2], retry_after_us
                    )
                )
            for _ in range(new_messages if step % 2 else 0):
                self.record(self.driver.submit(message_class=0))
        return {number for number in self.attempted if number <= RESTORED}


@pytest.mark.parametrize("message_class", range(len(CLASSES)), ids=[c.name for c in CLASSES])
@pytest.mark.parametrize("instance_count", [SMALL, LARGE])
def test_more_restored_messages_than_slots_are_attempted_before_new_ones(instance_count, message_class):
    assert (
        len(RestartedPolicy(instance_count, message_class, 3 * SECOND, 100_000).run(3, new_messages=3))
        == RESTORED
    )


@pytest.mark.parametrize("instance_count", [SMALL, LARGE])
def test_restored_messages_get_all_slots_of_a_slow_destination(instance_count):
    restarted = RestartedPolicy(instance_count, 0, 6 * SECOND, 500_000)
    assert len(restarted.run(6, new_messages=3)) > RESTORED / 2
    assert sorted(restarted.attempted[:RESTORED]) == list(range(1, RESTORED + 1))


@pytest.mark.parametrize("instance_count", [SMALL, LARGE])
def test_rejection_ends_one_restored_message_and_the_others_follow_after_the_wait(instance_count):
    restarted = RestartedPolicy(
        instance_count, 0, 9 * SECOND, 100_000, AttemptResult.REJECTED, retry_after_us=300_000
    )
    assert len(restarted.run(9, new_messages=1)) == RESTORED
    assert [number for number in restarted.ended if number <= RESTORED] == [1]


@pytest.mark.parametrize("instance_count", [SMALL, LARGE])
def test_new_messages_are_rejected_before_restored_ones(instance_count):
    # No further message can be sent: the only endpoint does not respond, so calls to it stay in flight.
    restarted = RestartedPolicy(instance_count, 0, 9 * SECOND, 99 * SECOND)
    restarted.run(5, new_messages=3)
    assert len([number for number in restarted.ended if number > RESTORED]) > 20
    assert [number for number in restarted.ended if number <= RESTORED] == []


def test_restored_message_with_the_earliest_deadline_is_attempted_first():
    driver = PolicyDriver()
    lifetimes_s = {1: 9, 2: 4, 3: 6}
    driver.run_tick(
        *(
            MessageSubmitted(number, 0, 1, driver.now_us + s * SECOND, restored=True)
            for number, s in lifetimes_s.items()
        )
    )
    driver.end_attempt(2, AttemptResult.OK)
    driver.end_attempt(3, AttemptResult.OK)
    assert list(driver.latest_attempts) == [2, 3, 1]


@pytest.mark.parametrize("instance_count", [SMALL, LARGE])
@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGKILL])
def test_messages_of_each_class_are_attempted_after_a_restart(tmp_path, stop_signal, instance_count):
    async def run():
        async with Fleet(tmp_path) as fleet:
            fleet.raw_settings["groupSize"] = instance_count
            fleet.raw_settings["familyInfo"]["maxCalls"] = SLOTS
            endpoint = await fleet.endpoint("a")
            fleet.discovery.targets["a"]["state"] = "terminating"  # no attempt starts before the restart
            client = await fleet.start_process()
            message_ids = [f"m{number}" for number in range(18)]
            for number, message_id in enumerate(message_ids):
                class_name = ("safe", "keyed", "unsafe")[number % 3]
                assert (
                    await client.put(
                        message_id,
                        message_class=class_name,
                        key=f"k{number}" * (number % 3 == 1),
                        lifetime_ms=6000,
                    )
                    == "+OK"
                )
            fleet.process.send_signal(stop_signal)
            await bounded(fleet.process.wait())
            assert endpoint.calls.empty()
            fleet.discovery.targets["a"]["state"] = "in_service"
            await fleet.start_process()
            assert {(await endpoint.call())[1]["x-request-id"] for _ in message_ids} == set(message_ids)
            assert fleet.discovery.finals.empty()

    asyncio.run(run())

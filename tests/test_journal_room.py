"""The journal always leaves the room on the disk that a compaction needs."""

import errno
import itertools
import os
import random
import time

import pytest

from message_relay.server.journal import AcceptedMessage, FinalStatus, Journal, journal as journal_module

LIMIT = 3_000_000
BODY_BYTES = (500, 30_000, 60_000)  # a body may have 64 KiB


def message(number, body_bytes=50, key="", lifetime_s=16.0):
    deadline_s = time.time() + lifetime_s
    return AcceptedMessage(number, f"m{number}", 0, 0, 7, key, deadline_s, False, b"x" * body_bytes)


def folder_bytes(folder):
    return sum(-(-file.stat().st_size // 512) * 512 for file in folder.iterdir())


@pytest.fixture
def checked_disk(tmp_path, monkeypatch):
    """Check the disk limit whenever a replacement is complete and the old file still exists."""
    rename = os.rename

    def checking_rename(source, target):
        assert folder_bytes(tmp_path) <= LIMIT
        rename(source, target)

    monkeypatch.setattr(os, "rename", checking_rename)
    monkeypatch.setattr(journal_module, "COMPACTION_RETRY_INTERVAL_S", 0.0)
    return tmp_path


def accepted(journal, new_message):
    try:
        journal.accept(new_message)
    except OSError:
        return False
    return True


# Guards against a journal that is full for good: messages that stay open while others come and go took the
# room for the compacted copy, and everything was refused from then on, also after a restart.
@pytest.mark.parametrize("restart", [False, True])
@pytest.mark.parametrize("open_share", [0.25, 0.5, 0.9])
def test_a_journal_accepts_messages_again_after_many_stayed_open(open_share, restart, checked_disk):
    chance = random.Random(5)
    journal, waiting = Journal(checked_disk, LIMIT).acquire(), []

    def end(number):
        journal.record_final(number, FinalStatus.UNDELIVERABLE, 0)
        journal.record_completed([number])

    for number in range(1, 2_000):
        if waiting and waiting[0] < number - 200:
            end(waiting.pop(0))
        if not accepted(journal, message(number, chance.choice(BODY_BYTES), lifetime_s=-99.0)):
            continue
        journal.record_attempt([number], time.time())
        if chance.random() < open_share:
            waiting.append(number)
        else:
            journal.record_completed([number])
        assert folder_bytes(checked_disk) <= LIMIT
    for number in waiting:
        end(number)
    if restart:
        journal.close()
        journal = Journal(checked_disk, LIMIT).acquire()
        assert not journal.messages
    assert all(accepted(journal, message(number, 60_000)) for number in range(3_000, 3_010))
    journal.close()


# Guards against records that use up the headroom, since nobody counted what they add to the state: keys,
# which are stored with the first attempt, and cordons.
def test_what_is_written_for_open_messages_always_fits(checked_disk):
    journal = Journal(checked_disk, LIMIT, key_window_s=60.0).acquire()
    numbers = list(
        itertools.takewhile(
            lambda number: accepted(journal, message(number, 0, f"{number:0256d}")), itertools.count(1)
        )
    )
    for number in range(1, 20_000):
        try:
            journal.record_cordon(f"endpoint-{number}-\N{SNOWMAN}", True)
        except OSError:
            break
    assert len(numbers) > 1_000 and len(journal.cordoned) > 1_000
    for _ in range(3):
        for number in numbers:
            journal.record_attempt([number], time.time())
            journal.record_not_applied(number)
    for number in numbers:
        journal.record_attempt([number], time.time())
        journal.record_final(number, FinalStatus.UNDELIVERABLE, 0)
        journal.record_completed([number])
        assert folder_bytes(checked_disk) <= LIMIT
    journal.compact()
    assert folder_bytes(checked_disk) <= journal.live_bytes + 512
    journal.close()


class FailingDisk:
    """Makes some calls of the operating system fail, at random from a seed, while `active` is set."""

    CALLS = ("open", "write", "rename", "ftruncate", "unlink")

    def __init__(self, monkeypatch, chance):
        self.active, self.chance = False, chance
        for name in self.CALLS:
            monkeypatch.setattr(os, name, self._failing(name, getattr(os, name)))

    def _failing(self, name, call):
        def maybe_fail(*args, **kwargs):
            if not self.active or self.chance.random() < 0.3:
                return call(*args, **kwargs)
            if name == "write":
                part = args[1][: self.chance.randint(0, len(args[1]))]
                if part and self.chance.random() < 0.5:
                    return call(args[0], part)  # a short write
            number = self.chance.choice([errno.ENOSPC, errno.EIO])
            raise OSError(number, os.strerror(number))

        return maybe_fail


# Guards against every order of records, failures of the disk and restarts that leaves no room to compact.
@pytest.mark.parametrize("seed", range(6))
def test_a_compaction_stays_possible_through_failures_and_restarts(seed, checked_disk, monkeypatch):
    chance = random.Random(seed)
    disk = FailingDisk(monkeypatch, chance)
    journal, owed = Journal(checked_disk, LIMIT, key_window_s=5.0).acquire(), set()

    def record(write, *args):
        try:
            write(*args)
        except OSError:
            return False
        return True

    for number in range(1, 3_000):
        disk.active = number // 100 % 3 == 1
        if chance.random() < 0.003:
            active, disk.active = disk.active, False
            journal.close()
            journal = Journal(checked_disk, LIMIT, key_window_s=5.0).acquire()
            disk.active = active
            assert owed <= journal.messages.keys()
        key = f"{number:0100d}" if chance.random() < 0.3 else ""
        if accepted(journal, message(number, chance.choice(BODY_BYTES), key)):
            owed.add(number)
        for other in chance.sample(sorted(owed), min(2, len(owed))):
            if record(journal.record_attempt, [other], time.time()) and chance.random() < 0.3:
                record(journal.record_not_applied, other)
            if chance.random() < 0.2 and not record(journal.record_final, other, FinalStatus.DEFERRED, 9):
                journal.mark_final(journal.messages[other], FinalStatus.DEFERRED, 9)
            if chance.random() < 0.45:
                record(journal.record_completed, [other])
                owed.discard(other)
        record(journal.record_cordon, f"e{number % 30}", chance.random() < 0.5)
        assert folder_bytes(checked_disk) <= LIMIT
    disk.active = False
    journal.record_cordon("last", False)
    journal.compact()
    assert (checked_disk / "messages.journal").stat().st_size <= journal.live_bytes
    for number in list(journal.messages):
        journal.record_completed([number])
    now_s = time.time() + 60.0  # ids and keys have expired
    monkeypatch.setattr("message_relay.server.clock.now_s", lambda: now_s)
    assert accepted(journal, message(4_000, 60_000))
    journal.close()

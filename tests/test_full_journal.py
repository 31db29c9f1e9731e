"""A journal that leaves no room for a compaction, from an earlier build or a higher limit, is used again."""

import errno
import os
import random
import time

import pytest
from test_journal_room import LIMIT, accepted, folder_bytes, message

from message_relay.server.journal import Journal
from message_relay.server.journal import journal as journal_module
from message_relay.server.journal.frames import encode_frame
from message_relay.server.journal.records import (
    AttemptStarted,
    EndpointCordonChanged,
    MessageAccepted,
    MessagesCompleted,
)
import contextlib

BODY_BYTES = (500, 30_000, 60_000)
SMALL_BODY_BYTES = (500, 2_000)
KEY_WINDOW_S = 60.0


def frames(*records):
    return b"".join(encode_frame(record.to_stored()) for record in records)


def fill(folder, open_bytes, limit=LIMIT, body_bytes=BODY_BYTES):
    """Write a journal that fills the limit, as earlier builds left it; return its open messages by number.

    The messages that stay open take `open_bytes` together, and are spread over the file.
    """
    chance = random.Random(3)
    data = bytearray(frames(EndpointCordonChanged("host-a", True)))
    open_messages, number, left_bytes = {}, 0, open_bytes
    whole_blocks = limit // 512 * 512
    while True:
        number += 1
        new_message = message(number, chance.choice(body_bytes), key=f"k{number}" if number % 2 else "")
        records = [MessageAccepted(new_message), AttemptStarted([number], time.time())]
        # About a third of the messages, until they take enough.
        if left_bytes > 0 and chance.random() < 0.35 + open_bytes / limit / 2:
            open_messages[number] = new_message
            left_bytes -= len(new_message.body)
        else:
            records.append(MessagesCompleted([number], time.time()))
        added = frames(*records)
        if len(data) + len(added) > whole_blocks:
            open_messages.pop(number, None)
            break
        data += added
    record = frames(EndpointCordonChanged("host-b", True))
    data += record * ((whole_blocks - len(data)) // len(record))
    (folder / "messages.journal").write_bytes(data)
    assert whole_blocks - 64 < len(data) <= whole_blocks
    return open_messages


def stored(messages):
    return {
        number: (item.id, bytes(item.body), item.possibly_applied_at_s > 0)
        for number, item in messages.items()
    }


def expected(open_messages):
    return {number: (item.id, item.body, True) for number, item in open_messages.items()}


def identifiers(journal):
    return set(journal.completed_ids.entries), set(journal.idempotency_keys.entries)


class Killed(BaseException):
    """The process was killed by SIGKILL."""


class FaultyCalls:
    """Lets the `number`th call that changes the folder fail, half done, by an error or the process's end."""

    CALLS = ("write", "pwrite", "rename", "ftruncate", "unlink", "truncate")

    def __init__(self, monkeypatch, folder, number, error):
        self.count, self.number, self.error, self.folder = 0, number, error, folder
        for name in self.CALLS:
            monkeypatch.setattr(os, name, self._faulty(name, getattr(os, name)))

    def _faulty(self, name, call):
        def faulty(*args, **kwargs):
            self.count += 1
            assert folder_bytes(self.folder) <= LIMIT
            if self.count == self.number:
                if name in ("write", "pwrite"):
                    call(args[0], args[1][: len(args[1]) // 2], *args[2:])
                raise self.error
            return call(*args, **kwargs)

        return faulty


@pytest.fixture(autouse=True)
def compact_at_once(monkeypatch):
    monkeypatch.setattr(journal_module, "COMPACTION_RETRY_INTERVAL_S", 0.0)


# Guards against a folder of an earlier build that stays full for good, although little of it is live.
@pytest.mark.parametrize("open_bytes", [0, 100_000, 500_000, 1_000_000])
@pytest.mark.parametrize("body_bytes", [BODY_BYTES, SMALL_BODY_BYTES])
def test_a_full_journal_of_an_earlier_build_is_used(tmp_path, body_bytes, open_bytes):
    open_messages = fill(tmp_path, open_bytes, body_bytes=body_bytes)
    journal = Journal(tmp_path, LIMIT, KEY_WINDOW_S).acquire()
    assert stored(journal.messages) == expected(open_messages)
    journal.record_attempt(list(open_messages), time.time())
    assert folder_bytes(tmp_path) <= LIMIT and not journal._file.relocated
    assert accepted(journal, message(10_000, 60_000))
    journal.close()
    restored = Journal(tmp_path, LIMIT, KEY_WINDOW_S).acquire()
    assert stored(restored.messages) == stored(journal.messages)
    assert set(restored.cordoned) == {"host-a", "host-b"}
    assert identifiers(restored) == identifiers(journal) and len(restored.completed_ids) > 20
    restored.close()


# Guards against the same after the limit was lowered.
def test_a_journal_above_a_lowered_limit_is_used(tmp_path):
    open_messages = fill(tmp_path, 100_000, limit=3 * LIMIT)
    journal = Journal(tmp_path, LIMIT, KEY_WINDOW_S).acquire()
    journal.record_attempt(list(open_messages), time.time())
    assert folder_bytes(tmp_path) <= LIMIT and stored(journal.messages) == expected(open_messages)
    journal.close()


# Guards against messages that are lost when the process is killed, or a call fails, while room is made.
@pytest.mark.parametrize("error", [Killed(), OSError(errno.EIO, "I/O error"), OSError(errno.ENOSPC, "full")])
@pytest.mark.parametrize("body_bytes", [BODY_BYTES, SMALL_BODY_BYTES])
def test_a_full_journal_survives_a_fault_at_each_call(tmp_path, monkeypatch, body_bytes, error):
    number, calls = 0, None
    while calls is None or calls.count >= number:
        number += 1 if number < 20 else 97  # with small bodies there are many parts
        for file in tmp_path.iterdir():
            file.unlink()
        open_messages = fill(tmp_path, 500_000, body_bytes=body_bytes)
        journal = Journal(tmp_path, LIMIT, KEY_WINDOW_S).acquire()
        known = identifiers(journal)
        with monkeypatch.context() as patch:
            calls = FaultyCalls(patch, tmp_path, number, error)
            with contextlib.suppress(Killed, OSError):
                journal.record_attempt([next(iter(open_messages))], time.time())
        assert folder_bytes(tmp_path) <= LIMIT
        if not isinstance(error, Killed):  # the process goes on
            journal.record_attempt([next(iter(open_messages))], time.time())
        journal.close()
        restored = Journal(tmp_path, LIMIT, KEY_WINDOW_S).acquire()
        assert stored(restored.messages) == expected(open_messages)
        assert set(restored.cordoned) == {"host-a", "host-b"}
        # The frames that take the summary lose theirs until it is complete.
        missing = [len(before - after) for before, after in zip(known, identifiers(restored), strict=True)]
        assert max(missing) <= max(1, sum(map(len, known)) // 10)
        restored.record_attempt(list(open_messages), time.time())
        assert accepted(restored, message(10_000, 60_000)) and folder_bytes(tmp_path) <= LIMIT
        restored.close()
    assert number > 10

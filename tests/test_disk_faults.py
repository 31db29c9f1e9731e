"""Writes to the journal fail for a while: what was accepted is still owed, and what has ended is not held."""

import asyncio
import errno
import os
import time

import pytest
from loopback import answer, until, with_fleet

from message_relay.server.journal import AcceptedMessage, Journal


def message(number):
    return AcceptedMessage(number, f"m{number}", 0, 0, 7, "", time.time() + 60, False, b"body")


def failing(error_number):
    def fail(*_):
        raise OSError(error_number, os.strerror(error_number))

    return fail


# Guards against records that cannot be read because a part of an earlier one stands before them.
@pytest.mark.parametrize("written_bytes", [0, 1, 9, 30])
@pytest.mark.parametrize("truncate_fails", [False, True])
def test_messages_accepted_after_a_failed_write_are_restored(tmp_path, written_bytes, truncate_fails):
    journal, write = Journal(tmp_path, 100_000).acquire(), os.write

    def write_a_part(descriptor, data):
        write(descriptor, data[:written_bytes])
        raise OSError(errno.EIO, "a part was written")

    journal.accept(message(1))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(os, "write", write_a_part)
        if truncate_fails:
            patch.setattr(os, "ftruncate", failing(errno.EIO))
        for number in (2, 3):
            with pytest.raises(OSError):
                journal.accept(message(number))
    journal.accept(message(4))
    journal.close()
    restored = Journal(tmp_path, 100_000).acquire()
    assert list(restored.messages) == [1, 4]
    restored.close()


# Guards against a process that does not start because the rest of an interrupted write cannot be removed.
def test_a_journal_whose_end_cannot_be_truncated_is_used(tmp_path):
    journal = Journal(tmp_path, 100_000).acquire()
    journal.accept(message(1))
    journal.close()
    with (tmp_path / "messages.journal").open("ab") as file:
        file.write(b"part of a record")
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(os, "ftruncate", failing(errno.EIO))
        journal = Journal(tmp_path, 100_000).acquire()
        with pytest.raises(OSError):
            journal.accept(message(2))
    journal.accept(message(3))
    journal.close()
    restored = Journal(tmp_path, 100_000).acquire()
    assert list(restored.messages) == [1, 3]
    restored.close()


# Guards against delivered messages that stay open and use up the limit when nothing can be written.
@with_fleet
async def test_a_delivered_message_is_ended_although_the_journal_cannot_record_it(fleet):
    fleet.raw_settings["policyLimits"]["maxOpen"] = 3
    endpoint = await fleet.endpoint("a", *[answer(200)] * 8)
    client = await fleet.start_relay()
    journal = fleet.relay.journal
    for number in range(6):
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(journal, "record_completed", without_space(journal))
            assert await client.put(f"m{number}", message_class="unsafe") == "+OK"
            await endpoint.call()
            await until(lambda: not journal.open_count)
    assert await client.put("m0", message_class="unsafe") == "+OK"  # its id is known
    await asyncio.sleep(0.05)
    assert endpoint.calls.empty()


def without_space(journal):
    """Return the journal's method that records completed messages, with a disk that is full meanwhile."""
    record_completed = journal.record_completed

    def record(numbers):
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(os, "write", failing(errno.ENOSPC))
            record_completed(numbers)

    return record

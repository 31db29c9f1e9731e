"""The journal is restored and compacted one record at a time, in little memory."""

import time
import tracemalloc

from message_relay.server.journal import AcceptedMessage, Journal

JOURNAL_BYTES = 3_000_000
MAX_EXTRA_BYTES = 400_000  # a small part of the journal


def message(number, body):
    return AcceptedMessage(number, f"m{number}", 0, 0, 7, "", time.time() + 60, False, body)


def peak_bytes(action):
    """Return the memory that the action allocates at most, beyond what is left of it afterwards."""
    tracemalloc.start()
    try:
        action()
        remaining, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return peak - remaining


# Guards against a start that exceeds the memory limit because all records are decoded at once.
def test_the_restore_does_not_hold_all_records_at_once(tmp_path, monkeypatch):
    monkeypatch.setattr("message_relay.server.journal.journal.MIN_COMPACTED_BYTES", JOURNAL_BYTES)
    journal = Journal(tmp_path, JOURNAL_BYTES).acquire()
    journal.accept(message(1, b"x"))
    for _ in range(40_000):
        journal.record_attempt([1], 1.0)
    journal.close()
    assert (tmp_path / "messages.journal").stat().st_size > 1_000_000
    restored = Journal(tmp_path, JOURNAL_BYTES)
    assert peak_bytes(restored.acquire) < MAX_EXTRA_BYTES
    assert restored.messages[1].attempts == 40_000
    restored.close()


# Guards against a compaction that holds two further copies of all messages.
def test_the_compaction_does_not_hold_all_messages_at_once(tmp_path):
    journal = Journal(tmp_path, JOURNAL_BYTES).acquire()
    for number in range(1, 201):
        journal.accept(message(number, b"x" * 5_000))
    assert peak_bytes(journal.compact) < MAX_EXTRA_BYTES
    journal.close()
    restored = Journal(tmp_path, JOURNAL_BYTES).acquire()
    assert [item.body for item in restored.messages.values()] == [b"x" * 5_000] * 200
    restored.close()

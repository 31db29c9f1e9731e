"""The journal's file format: files of the build e83b7b3 are restored, and the same bytes are written.

Guards against a change of a record code, of the order of values or of the framing, which would make journals
of earlier builds unreadable.
"""

import pathlib

import pytest

from message_relay.server.journal import AcceptedMessage, FinalStatus, Journal

FIXTURES = pathlib.Path(__file__).parent / "fixtures"
START_S = 1_800_000_000.0  # wall clock of the process that wrote the journal


@pytest.fixture
def clock(monkeypatch):
    """Replace the wall clock by a list whose only item is the time in seconds."""
    now = [START_S]
    monkeypatch.setattr("message_relay.server.clock.now_s", lambda: now[0])
    return now


def restored(directory, name, limit=1_000_000):
    """Return a journal that is restored from a copy of the fixture."""
    (directory / "messages.journal").write_bytes((FIXTURES / name).read_bytes())
    return Journal(directory, limit, 9.0).acquire()


def test_a_journal_of_the_earlier_build_is_restored_field_by_field(tmp_path, clock):
    journal = restored(tmp_path, "journal-e83b7b3.bin")
    assert list(journal.messages) == [3, 4, 5, 6, 7, 8, 9, 10, 11, 14]
    messages = journal.messages
    assert (messages[3].id, messages[3].message_class, messages[3].tenant, messages[3].destination) == (
        "waiting",
        0,
        1,
        3_000_000_000,
    )
    assert (messages[3].idempotency_key, messages[3].deadline_s, messages[3].resubmitted) == (
        "",
        START_S + 12.25,
        False,
    )
    assert (messages[3].body, messages[3].order_key) == (bytes(range(256)), 0xFFFF_FFFF_FFFF_FFFF)
    assert (
        messages[3].attempts,
        messages[3].possibly_applied_at_s,
        messages[3].possibly_applied_zone,
        messages[3].final_status,
    ) == (0, 0.0, -1, None)
    assert (
        messages[4].message_class,
        messages[4].idempotency_key,
        messages[4].resubmitted,
        messages[4].body,
    ) == (1, "key-attempted", True, b"body")
    attempts = {
        n: (
            x.attempts,
            x.latest_attempt_at_s,
            x.latest_attempt_zone,
            x.earlier_attempt_at_s,
            x.earlier_attempt_zone,
        )
        for n, x in messages.items()
    }
    assert attempts == {
        3: (0, 0.0, -1, 0.0, -1),
        4: (1, START_S + 0.25, 1, 0.0, -1),
        5: (2, START_S + 1.0, 0, START_S + 0.25, 1),
        6: (1, 0.0, 1, 0.0, -1),
        7: (2, 0.0, 0, START_S + 0.5, 1),
        8: (1, START_S + 1.0, 2, 0.0, -1),
        9: (1, START_S + 1.0, 2, 0.0, -1),
        10: (1, START_S + 1.0, 0, 0.0, -1),
        11: (0, 0.0, -1, 0.0, -1),
        14: (0, 0.0, -1, START_S - 3.0, 2),
    }
    possibly_applied = {
        n: (x.possibly_applied_at_s, x.possibly_applied_zone)
        for n, x in messages.items()
        if x.possibly_applied_at_s
    }
    assert possibly_applied == {
        4: (START_S + 0.25, 1),
        5: (START_S + 0.25, 1),
        7: (START_S + 0.5, 1),
        8: (START_S + 1.0, 2),
        9: (START_S + 1.0, 2),
        10: (START_S + 1.0, 0),
        14: (START_S - 3.0, 2),
    }
    assert (messages[10].final_status, messages[10].retry_after_ms, messages[10].body) == (
        FinalStatus.DEFERRED,
        1500,
        b"",
    )
    assert (messages[11].final_status, messages[11].retry_after_ms) == (FinalStatus.UNDELIVERABLE, 0)
    assert [n for n, x in messages.items() if x.final_status] == [10, 11]
    assert journal.numbers_by_id == {x.id: n for n, x in messages.items()}
    assert (journal.open_count, journal.last_number, journal.open_bytes) == (8, 15, 2031)
    assert journal.open_number_by_key == {
        "key-attempted": 4,
        "key-twice": 5,
        "key-missed": 6,
        "key-known": 14,
    }
    assert list(journal.cordoned) == ["host-b", "host-c"]
    assert {x: journal.completed_ids.entries[x][2] for x in journal.completed_ids.entries} == {
        "done-early": START_S + 7.0,
        "zone-unknown": START_S + 62.0,
        "told-a": START_S + 32.0,
        "told-b": START_S + 33.0,
        "delivered": START_S + 42.0,
    }
    assert journal.idempotency_keys.entries == {
        "key-done": (START_S - 1.5, 2, START_S + 9.5),
        "key-nozone": (START_S - 0.5, -1, START_S + 10.5),
        "key-attempted": (START_S + 0.25, 1, START_S + 11.25),
        "key-twice": (START_S + 0.25, 1, START_S + 11.25),
        "key-owed": (START_S + 1.0, 0, START_S + 12.0),
    }
    stored_bytes = (FIXTURES / "journal-e83b7b3.bin").read_bytes()
    # The incomplete record at the end is removed.
    assert (tmp_path / "messages.journal").read_bytes() == stored_bytes[:1860]
    journal.close()


def test_a_journal_of_the_earlier_build_is_compacted_byte_for_byte(tmp_path, clock):
    journal = restored(tmp_path, "journal-e83b7b3.bin")
    clock[0] = START_S + 2
    journal.compact()
    journal.close()
    compacted = (tmp_path / "messages.journal").read_bytes()
    assert compacted == (FIXTURES / "journal-e83b7b3-compacted.bin").read_bytes()


def test_records_of_builds_before_e83b7b3_are_read(tmp_path, clock):
    journal = restored(tmp_path, "journal-older.bin")
    message = journal.messages[1]
    assert (message.id, message.idempotency_key, message.deadline_s, message.body) == (
        "old-take",
        "key-old",
        START_S + 60,
        b"body",
    )
    assert (message.attempts, message.possibly_applied_at_s, message.possibly_applied_zone) == (
        1,
        START_S + 0.5,
        -1,
    )
    assert journal.idempotency_keys.entries == {
        "key-plain": (START_S - 1.0, -1, START_S + 10.0),
        "key-old": (START_S + 0.5, -1, START_S + 11.5),
    }
    assert "old-id" in journal.completed_ids
    journal.close()


def message(number, message_id, key="", message_class=0, body=b"body", **overrides):
    fields = {"tenant": 0, "destination": 7, "deadline_s": START_S + 60, "resubmitted": False, **overrides}
    return AcceptedMessage(
        number=number,
        id=message_id,
        message_class=message_class,
        idempotency_key=key,
        body=body,
        **fields,
    )


def test_records_are_written_byte_for_byte(tmp_path, clock):
    journal = Journal(tmp_path, 1_000_000, 9.0).acquire()
    journal.accept(message(1, "done-early", "key-done", message_class=1, deadline_s=START_S + 5))
    journal.record_attempt([1], START_S - 1.5, 2)
    journal.record_completed([1])
    journal.accept(message(2, "zone-unknown", "key-nozone", message_class=1))
    journal.record_attempt([2], START_S - 0.5)
    journal.record_completed([2])
    journal.record_cordon("host-a", True)
    journal.record_cordon("host-b", True)
    journal.compact()
    all_byte_values = bytes(range(256))
    journal.accept(
        message(
            3,
            "waiting",
            body=all_byte_values,
            tenant=1,
            destination=3_000_000_000,
            order_key=2**64 - 1,
            deadline_s=START_S + 12.25,
        )
    )
    journal.accept(message(4, "attempted", "key-attempted", message_class=1, resubmitted=True))
    journal.record_attempt([4], START_S + 0.25, 1)
    journal.accept(message(5, "twice", "key-twice", message_class=1))
    journal.record_attempt([5], START_S + 0.25, 1)
    clock[0] = START_S + 1
    journal.record_attempt([5], START_S + 1.0, 0)
    journal.accept(message(6, "missed", "key-missed", message_class=1))
    journal.record_attempt([6], START_S + 1.0, 1)
    journal.record_not_applied(6)
    journal.accept(message(7, "missed-second"))
    journal.record_attempt([7], START_S + 0.5, 1)
    journal.record_attempt([7], START_S + 1.0, 0)
    journal.record_not_applied(7)
    journal.accept(message(8, "batched-a"))
    journal.accept(message(9, "batched-b"))
    journal.record_attempt([8, 9], START_S + 1.0, 2)
    journal.accept(message(10, "owed-deferred", "key-owed", message_class=1))
    journal.record_attempt([10], START_S + 1.0, 0)
    journal.record_final(10, FinalStatus.DEFERRED, 1500)
    journal.accept(message(11, "owed-undeliverable"))
    journal.record_final(11, FinalStatus.UNDELIVERABLE, 0)
    journal.accept(message(12, "told-a", deadline_s=START_S + 30))
    journal.record_final(12, FinalStatus.DEFERRED, 0)
    journal.accept(message(13, "told-b", deadline_s=START_S + 31))
    journal.record_final(13, FinalStatus.UNDELIVERABLE, 0)
    journal.record_completed([12, 13])
    journal.accept(
        message(
            14,
            "known-key",
            "key-known",
            message_class=1,
            earlier_attempt_at_s=START_S - 3.0,
            earlier_attempt_zone=2,
        )
    )
    journal.accept(message(15, "delivered", deadline_s=START_S + 40))
    journal.record_attempt([15], START_S + 1.0, 0)
    journal.record_completed([15])
    journal.record_cordon("host-a", False)
    journal.record_cordon("host-c", True)
    journal.close()
    expected = (FIXTURES / "journal-e83b7b3.bin").read_bytes()[:1860]
    assert (tmp_path / "messages.journal").read_bytes() == expected

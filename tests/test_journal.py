"""The journal: restoring, compaction, expiry and the disk limit."""

import contextlib
import time

import pytest

from message_relay.server.journal import AcceptedMessage, Journal, JournalFullError
from message_relay.server.journal.frames import encode_frame
from message_relay.server.journal.records import MessageAccepted


def test_a_journal_without_zones_is_read(tmp_path):
    message = AcceptedMessage(1, "m", 1, 0, 7, "k", time.time() + 9, False, b"x")
    (tmp_path / "messages.journal").write_bytes(
        encode_frame(["known", 0, {}, {"old": time.time()}])
        + encode_frame(MessageAccepted(message).to_stored()[:15])
        + encode_frame(["try", [1], 5.0])
    )
    journal = Journal(tmp_path, 100_000, 9.0).acquire()
    assert (journal.messages[1].possibly_applied_at_s, journal.messages[1].possibly_applied_zone) == (5.0, -1)
    assert journal.key_applied_at_s("old") and journal.key_applied_zone("old") == -1
    journal.close()


def test_compaction_keeps_open_messages_and_stays_under_the_limit(tmp_path):
    limit = 60_000
    journal = Journal(tmp_path, limit).acquire()
    open_message = AcceptedMessage(1, "keep", 0, 0, 7, "k", time.time() + 9, False, b"body")
    journal.accept(open_message)
    journal.record_attempt([1], 123.0)
    for number in range(2, 1500):
        journal.accept(AcceptedMessage(number, f"m{number}", 0, 0, 7, "", time.time() + 9, False, b"x" * 300))
        journal.record_attempt([number], 1.0)
        journal.record_not_applied(number)
        journal.record_completed([number])
        journal.completed_ids.expire(time.time() + 60)
        assert sum(-(-f.stat().st_size // 512) * 512 for f in tmp_path.iterdir()) <= limit
    journal.close()
    restored = Journal(tmp_path, limit).acquire()
    assert (
        restored.messages[1].id,
        restored.messages[1].attempts,
        restored.messages[1].possibly_applied_at_s,
    ) == (
        "keep",
        1,
        123.0,
    )
    assert list(restored.messages) == [1] and restored.last_number == 1499
    restored.close()


def test_records_after_one_with_a_wrong_checksum_are_dropped(tmp_path):
    valid_record = encode_frame(["known", 5, {}, {}])
    path = tmp_path / "messages.journal"
    path.write_bytes(valid_record + valid_record[:-1] + b"\xff" + valid_record)
    journal = Journal(tmp_path, 100_000).acquire()
    assert journal.last_number == 5 and path.stat().st_size == len(valid_record)
    journal.close()


def test_ids_and_keys_are_removed_when_they_expire(tmp_path, monkeypatch):
    # Ids and keys that are stored too long exhaust the disk limit: stored for 30 s at 160 bytes each, and
    # counted twice, those of a few hundred messages a second did. Every message was then rejected, and each
    # attempt to accept one compacted the journal.
    now = [1000.0]
    monkeypatch.setattr("message_relay.server.clock.now_s", lambda: now[0])
    journal = Journal(tmp_path, 1_000_000, key_window_s=12.0).acquire()
    compactions = []
    compact = journal.compact
    monkeypatch.setattr(journal, "compact", lambda: (compactions.append(1), compact()))
    for number in range(1, 12001):  # 300 messages a second for 40 s
        now[0] += 1 / 300
        journal.accept(
            AcceptedMessage(
                number, f"{number:016x}", 1, 0, 7, f"{number:016x}", now[0] + 12, False, b"x" * 200
            )
        )
        journal.record_attempt([number], now[0])
        journal.record_completed([number])
    assert (
        14 * 300 <= len(journal.completed_ids) <= 16 * 300
        and 14 * 300 <= len(journal.idempotency_keys) <= 16 * 300
    )
    assert len(compactions) < 60
    assert f"{12000:016x}" in journal.completed_ids and journal.key_applied_at_s(f"{12000:016x}") == now[0]
    now[0] += 30
    journal.accept(AcceptedMessage(12001, "last", 1, 0, 7, "", now[0] + 12, False, b""))
    assert not journal.completed_ids and not journal.idempotency_keys and journal.live_bytes < 2000
    journal.close()


# Guards against a relay that refuses every message for ever once the ids of completed ones fill the journal.
@pytest.mark.parametrize("restart", [False, True])
def test_a_journal_that_is_full_of_ids_accepts_messages_again_when_they_have_expired(
    restart, tmp_path, monkeypatch
):
    now = [1000.0]
    monkeypatch.setattr("message_relay.server.clock.now_s", lambda: now[0])
    journal = Journal(tmp_path, 60_000).acquire()

    def accept(number):
        journal.accept(AcceptedMessage(number, f"m{number}", 0, 0, 7, "", now[0] + 1, False, b""))

    number = 0
    with contextlib.suppress(JournalFullError):
        while True:
            number += 1
            accept(number)
            journal.record_completed([number])
    assert not journal.messages and len(journal.completed_ids) == number - 1 > 300
    now[0] += 5
    if restart:
        journal.close()
        journal = Journal(tmp_path, 60_000).acquire()
    accept(number)
    journal.record_completed([number])
    assert len(journal.completed_ids) == 1
    journal.close()


def test_a_journal_near_its_limit_is_not_compacted_for_each_record(tmp_path, monkeypatch):
    journal = Journal(tmp_path, 200_000).acquire()
    accepted = 0
    with contextlib.suppress(JournalFullError):
        while True:
            accepted += 1
            journal.accept(
                AcceptedMessage(accepted, f"m{accepted}", 0, 0, 7, "", time.time() + 9, False, b"x" * 300)
            )
    compactions = []
    compact = journal.compact
    monkeypatch.setattr(journal, "compact", lambda: (compactions.append(1), compact()))
    for number in range(1, accepted):
        journal.record_attempt([number], 1.0)
        journal.record_not_applied(number)
    with contextlib.suppress(JournalFullError):
        for _ in range(100):
            journal.accept(
                AcceptedMessage(accepted + 9, "no", 0, 0, 7, "", time.time() + 9, False, b"x" * 300)
            )
    assert accepted > 100 and len(compactions) < 5
    journal.close()

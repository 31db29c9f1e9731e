"""Messages, and what is stored of completed ones, have a limit on memory beside the one on their number."""

import asyncio

from loopback import until, with_fleet

from message_relay.server.submission import BYTES_PER_MESSAGE

BODY = b"x" * 60_000


# Guards against complete messages that wait for the policy, whose number is limited but not their size.
@with_fleet
async def test_messages_beyond_the_memory_for_messages_are_refused(fleet):
    await fleet.endpoint("a", *["hang"] * 40)
    fleet.limits["memory_mb"] = 16  # half a megabyte for messages
    client = await fleet.start_relay()
    lines = [await client.put(f"m{number}", body=BODY) for number in range(12)]
    assert lines[:7] == ["+OK"] * 7 and all(line.startswith("-BUSY") for line in lines[8:])
    assert fleet.relay.submissions.message_bytes <= 500_000
    assert await client.put("small") == "+OK"


# Guards against one client that fills the memory with the ids and keys of messages under ever new names.
@with_fleet
async def test_messages_beyond_the_memory_for_identifiers_are_refused_until_some_expire(fleet):
    await fleet.endpoint("a", rate=0.0)
    fleet.raw_settings["weightSource"] = "silent"
    fleet.limits["memory_mb"] = 2  # room for about 310 identifiers
    client = await fleet.start_relay()
    accepted = 0
    while (answer := await client.put(f"m{accepted}", message_class="keyed", key=f"k{accepted}")) == "+OK":
        accepted += 1
        await until(lambda: not fleet.relay.journal.messages)
        for index in (fleet.relay.journal.completed_ids, fleet.relay.journal.idempotency_keys):
            assert len(index) == accepted
    assert answer.startswith("-BUSY") and 100 < accepted < 200
    assert (await fleet.metrics())['app_refused_total{reason="identifiers"}'] == 1
    for index in (fleet.relay.journal.completed_ids, fleet.relay.journal.idempotency_keys):
        for identifier in list(index.entries)[:50]:
            index.add(identifier, 1.0, 1.0)
    await asyncio.sleep(1.1)  # until the next expiry
    assert await client.put("later") == "+OK"


# Guards against final answers that discovery does not accept, which stay in memory and are not counted.
@with_fleet
async def test_messages_whose_final_answer_is_pending_count_as_memory(fleet):
    await fleet.endpoint("a", "reset")
    fleet.discovery.notice_status = [503] * 1000
    client = await fleet.start_relay()
    assert await client.put("u", message_class="unsafe") == "+OK"
    await until(lambda: fleet.relay.journal.messages and not fleet.relay.journal.open_count)
    assert fleet.relay.submissions.message_bytes > BYTES_PER_MESSAGE

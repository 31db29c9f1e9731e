"""Batches: messages that the relay sends in one call, and the outcome of each."""

import json

from loopback import answer, until, with_fleet


@with_fleet
async def test_a_batch_with_mixed_outcomes(fleet):
    def mixed(body):
        rows = b'[{"id":"b1","state":"done"},{"id":"b2","state":"failed"},{"id":"b3","state":"busy"}]'
        return answer(200, rows, Retry_After="0.3")

    # A successful first call lets the policy send more than one message at once: the next three form a batch.
    endpoint = await fleet.endpoint("a", answer(200), mixed, dest=9, destination_type="bundles")
    client = await fleet.start_relay()
    await client.put("b0", dest=9)
    await endpoint.call()
    client.writer.write(b"".join(client.message(f"b{n}", message_class="unsafe", dest=9) for n in (1, 2, 3)))
    assert [await client.line() for _ in range(3)] == ["+OK"] * 3
    assert (await endpoint.call())[0] == "/events/bundle"
    finals = [await fleet.discovery.final() for _ in range(2)]
    assert {final["id"]: final["status"] for final in finals} == {"b2": "undeliverable", "b3": "deferred"}
    assert "b1" in fleet.relay.journal.completed_ids


@with_fleet
async def test_the_message_with_the_latest_deadline_is_first_in_its_batch(fleet):
    # The receiving side regards a batch as ended with the deadline of its first message. With the oldest
    # message first, the call went on for the others after that deadline, and a complete response that arrived
    # 0.01 to 0.4 s later, with all messages as done, counted for none of them.
    endpoint = await fleet.endpoint("a", answer(200), b"", dest=9, destination_type="bundles")
    client = await fleet.start_relay()
    await client.put("b0", dest=9)
    await endpoint.call()
    lifetimes_ms = {"b1": 700, "b2": 5000, "b3": 2000}
    client.writer.write(
        b"".join(
            client.message(message_id, dest=9, lifetime_ms=lifetime_ms)
            for message_id, lifetime_ms in lifetimes_ms.items()
        )
    )
    assert [await client.line() for _ in lifetimes_ms] == ["+OK"] * 3
    _, headers, body, _ = await endpoint.call()
    assert [row["id"] for row in json.loads(body)] == ["b2", "b3", "b1"]
    assert (await fleet.discovery.final())["id"] == "b1"  # its deadline has passed, the call continues
    rows = json.dumps([{"id": message_id, "state": "done"} for message_id in lifetimes_ms]).encode()
    endpoint.writers.copy().pop().write(answer(200, rows))
    await until(lambda: not fleet.relay.journal.messages)
    assert fleet.discovery.finals.empty() and endpoint.calls.empty()

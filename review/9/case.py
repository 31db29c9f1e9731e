"""The list comes late: messages for a destination that it does not name yet cost those sent behind them."""

import asyncio
import sys

sys.path.insert(0, __file__.rsplit("/", 2)[0] + "/lib2")
import stand

LATE_S = 5.0
BEHIND = 4


async def play(folder, record):
    discovery = await stand.Discovery(record).start()
    first = await stand.Endpoint("s-1", record).start()
    second = await stand.Endpoint("s-2", record).start()
    discovery.add("s-1", first.port, 1)
    known = discovery.whole()
    known["targets"] = list(known["targets"])
    relay = stand.Relay(folder, record, discovery, stand.settings())
    unanswered = 0
    try:
        await relay.start(known)
        # The first endpoint of destination 2 joins. Its clients use it, the list names it late.
        discovery.add("s-2", second.port, 2)
        if not stand.TROUBLE:
            discovery.change("s-2")
        await asyncio.sleep(1.0)
        for batch in range(3):
            client = await stand.Client(record, relay.listen_port).open()
            sent = [(f"new-{batch}-{number}", 2) for number in range(3)]
            sent += [(f"known-{batch}-{number}", 1) for number in range(BEHIND)]
            client.writer.write(
                b"".join(client.message(message_id, "status", dest, 6000) for message_id, dest in sent)
            )
            record(f"client: one write with {', '.join(message_id for message_id, _ in sent)}")
            for message_id, _ in sent:
                try:
                    answer = await asyncio.wait_for(client.reader.readline(), 3.0)
                except ConnectionError as error:  # bytes were left unread: the excuse of the page applies
                    raise stand.CannotRunError("the connection was reset") from error
                record(f"client: message={message_id} answer={answer!r}")
                if not answer:
                    record(f"check: message={message_id} LOST, its connection was closed with no answer")
                    unanswered += 1
            client.close()
        await asyncio.sleep(LATE_S - 1.0)
        if stand.TROUBLE:
            discovery.change("s-2")
        await asyncio.sleep(0.5)
        return stand.BROKEN if unanswered else stand.HELD
    finally:
        await relay.stop()
        for server in (discovery, first, second):
            await server.stop()


if __name__ == "__main__":
    stand.main(__file__, play)

"""Answers that never end: a message that may not be repeated is sent again."""

import asyncio
import random
import sys

sys.path.insert(0, __file__.rsplit("/", 2)[0] + "/lib2")
import stand

LENGTH_S = 60.0
DESTINATIONS = 4
CLUMP = 20  # charges that come together
CLUMP_EVERY_S = 4.5
STATUS_EVERY_S = 0.025
PIECE = b"x" * 16_384


async def play(folder, record):
    chance = random.Random(8)

    async def behaviour(endpoint, message_id, headers, reader, writer):
        if message_id.startswith("status") or message_id in endpoint.spoilt or not stand.TROUBLE:
            return await stand.answer_200(endpoint, message_id, headers, reader, writer)
        # A late answer, which the caller cannot read: it never ends. The call may have run.
        endpoint.spoilt.add(message_id)
        wait_s = int(headers["x-timeout-ms"]) / 1000
        await asyncio.sleep(max(0.0, wait_s - chance.uniform(0.0, 0.015)))
        record(f"endpoint {endpoint.uid}: begins an answer that never ends, message={message_id}")
        writer.write(b"HTTP/1.1 500 x\r\nContent-Length: 1000000000\r\n\r\n")
        for _ in range(1000):
            writer.write(PIECE)
            await writer.drain()  # raises ConnectionError once the caller has closed the connection
            await asyncio.sleep(0)
        return False

    discovery = await stand.Discovery(record).start()
    endpoints = []
    for number in range(DESTINATIONS):
        endpoint = await stand.Endpoint(f"s-{number}", record, behaviour).start()
        endpoint.spoilt = set()
        endpoints.append(endpoint)
        discovery.add(f"s-{number}", endpoint.port, number + 1)
    relay = stand.Relay(folder, record, discovery, stand.settings(familyInfo__maxCalls=32))
    clients, tasks = stand.Clients(record, relay.listen_port), []

    async def send_all(name, clump, every_s, lifetime_ms):
        number = 0
        while record.now() - start < LENGTH_S:
            for _ in range(clump):
                dest = number % DESTINATIONS + 1
                message = (f"{name}-{number}", name, dest, lifetime_ms)
                tasks.append(asyncio.create_task(clients.put(*message)))
                number += 1
            await asyncio.sleep(every_s)

    try:
        await relay.start()
        start = record.now()
        await asyncio.gather(
            send_all("status", 1, STATUS_EVERY_S, 6000), send_all("charge", CLUMP, CLUMP_EVERY_S, 16000)
        )
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(8.0)
        runs = {}
        for endpoint in endpoints:
            for run in endpoint.runs:
                if run[0].startswith("charge"):
                    runs.setdefault(run[0], []).append(run[1])
        if len(runs) < 20:
            raise stand.CannotRunError(f"only {len(runs)} messages were sent")
        twice = {message_id: times for message_id, times in runs.items() if len(times) > 1}
        record(f"check: {len(runs)} messages that may not be repeated were sent, {len(twice)} of them again")
        for message_id, times in twice.items():
            record(f"check: message={message_id} was sent at {', '.join(f'{at:.3f}' for at in times)}")
        return stand.BROKEN if twice else stand.HELD
    finally:
        for task in tasks:
            task.cancel()
        await relay.stop()
        for server in (discovery, *endpoints):
            await server.stop()


if __name__ == "__main__":
    stand.main(__file__, play)

"""One of twenty endpoints hangs for 18 s: after it the relay takes on and attempts nothing any more."""

import asyncio
import contextlib
import random
import sys

sys.path.insert(0, __file__.rsplit("/", 2)[0] + "/lib2")
import stand

RATE_PER_S = 20
ENDPOINTS = 20  # one of each destination
HANGING_SHARE = 0.25  # of the messages go to the destination whose endpoint hangs
BODY_BYTES = (500, 30_000, 60_000)  # the page allows 64 KiB
HANG_S = 18.0
BEFORE_S, AFTER_S = 4.0, 16.0
REST_S = 6.0  # after the end of the trouble, before the relay is judged
REFUSALS, REFUSING_S = 15, 4.0  # the page's "15 or more" and "4 s on end"


def refusing_span(answers, runs, since):
    """Return the longest span in which all messages were refused and none was attempted, and their number."""
    events = sorted(
        [(sent, answer != "+OK") for answer, sent in answers if sent >= since]
        + [(run[1], False) for run in runs if run[1] >= since]
    )
    best = (0.0, 0)
    start, count = None, 0
    for at, refused in events:
        if not refused:
            start, count = None, 0
            continue
        start, count = (at if start is None else start), count + 1
        best = max(best, (at - start, count))
    return best


async def play(folder, record):
    chance = random.Random(5)
    hanging = asyncio.Event()  # set: endpoint s-0 hangs
    back = asyncio.Event()

    def behaviour(may_hang):
        usual = stand.slow_200(0.3)

        async def serve(endpoint, message_id, headers, reader, writer):
            if may_hang and hanging.is_set() and not back.is_set():
                ended = asyncio.ensure_future(stand.until_gone(reader))
                waiting = asyncio.ensure_future(back.wait())
                await asyncio.wait({ended, waiting}, return_when=asyncio.FIRST_COMPLETED)
                waiting.cancel()
                if ended.done():
                    return False
                ended.cancel()
                return False  # what hung is not answered
            return await usual(endpoint, message_id, headers, reader, writer)

        return serve

    discovery = await stand.Discovery(record).start()
    endpoints = []
    for number in range(ENDPOINTS):
        endpoint = await stand.Endpoint(f"s-{number}", record, behaviour(number == 0)).start()
        endpoints.append(endpoint)
        discovery.add(f"s-{number}", endpoint.port, number + 1)
    raw = stand.settings(policyLimits__maxOpen=274)
    relay = stand.Relay(folder, record, discovery, raw)
    clients, answers, tasks = stand.Clients(record, relay.listen_port), [], []

    async def hand_in(number):
        dest = 1 if chance.random() < HANGING_SHARE else chance.randint(2, ENDPOINTS)
        message_class, lifetime_ms = chance.choice([("status", 6000), ("charge", 16000)])
        body = b"x" * chance.choice(BODY_BYTES)
        with contextlib.suppress(OSError):
            answers.append(await clients.put(f"m-{number}", message_class, dest, lifetime_ms, body))

    try:
        process = await relay.start()
        start, number = record.now(), 0
        while (passed := record.now() - start) < BEFORE_S + HANG_S + AFTER_S:
            if stand.TROUBLE and passed >= BEFORE_S and not hanging.is_set():
                hanging.set()
                record("endpoints: s-0 of twenty hangs")
            if passed >= BEFORE_S + HANG_S and not back.is_set():
                back.set()
                record("endpoints: s-0 answers again")
            tasks.append(asyncio.create_task(hand_in(number)))
            number += 1
            await asyncio.sleep(max(0.0, start + number / RATE_PER_S - record.now()))
        await asyncio.gather(*tasks)
        runs = [run for endpoint in endpoints for run in endpoint.runs]
        judged_from = start + BEFORE_S + HANG_S + REST_S
        span_s, refusals = refusing_span(answers, runs, judged_from)
        size = (folder / "state" / "messages.journal").stat().st_size
        late = [answer for answer, sent in answers if sent >= judged_from]
        record(
            f"check: from {REST_S:.0f} s after the trouble on, {late.count('+OK')} of {len(late)} taken on"
        )
        record(
            f"check: all {refusals} refused and none attempted for {span_s:.2f} s on end; file_bytes={size}"
        )
        if refusals < REFUSALS or span_s < REFUSING_S:
            return stand.HELD
        # Not judged: does a restart help?
        await relay.kill(process)
        clients.free.clear()
        answers.clear()
        await asyncio.sleep(0.6)
        await relay.start()
        for number in range(20):
            await hand_in(f"restarted-{number}")
        taken = [answer for answer, _ in answers].count("+OK")
        record(f"note: after a restart {taken} of {len(answers)} messages were taken on")
        return stand.BROKEN
    finally:
        for task in tasks:
            task.cancel()
        await relay.stop()
        for server in (discovery, *endpoints):
            await server.stop()


if __name__ == "__main__":
    stand.main(__file__, play)

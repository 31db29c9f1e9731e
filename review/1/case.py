"""The connection on which the courier sends its notices falls silent and stays open."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as r

LIFETIME_MS = 3000
BOUND_S = 0.5  # later than this after its time, a message is lost
COUNT = 4


async def play(rig):
    hanging = await rig.endpoint("e1", dest=1)

    async def hang(ids, bundle):
        return None

    hanging.decide = hang
    await rig.start()
    client = r.Client(rig)
    # The first notice opens the connection that the courier keeps for the next ones.
    if await client.put("a" * 16, "status-update", 1, LIFETIME_MS) != "+OK":
        raise r.CannotRunError("the first message was not taken on")
    await asyncio.sleep(LIFETIME_MS / 1e3 + 0.5)
    if not rig.discovery.notice_writers:
        raise r.CannotRunError("no notice came")
    if r.TROUBLE:
        rig.discovery.fall_silent(rig.discovery.notice_writers)
    for number in range(COUNT):
        if await client.put(f"{number:016x}", "status-update", 1, LIFETIME_MS) != "+OK":
            raise r.CannotRunError("a message was not taken on")
        await asyncio.sleep(0.05)
    await asyncio.sleep(LIFETIME_MS / 1e3 + 4)
    return r.lost_messages(rig, [hanging], time.time(), BOUND_S)


r.main(play, pathlib.Path(__file__).parent)

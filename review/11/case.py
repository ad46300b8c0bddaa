"""The store is down for 4.4 s, and the owner is restarted as planned meanwhile. When the store is
back, the entries of two members are still missing for 1.2 s."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stage-3"))

from stage import Stage
from stage import play

OUTAGE_S = 4.4
DEAF_AFTER_S = 0.3
RESTART_AFTER_S = 1.0
DEAF_S = 6.4
MISSING_S = 1.2


async def case(stage):
    group, store = stage.group, stage.store
    owner = stage.owner()
    entry = next(daemon for daemon in stage.daemons if daemon is not owner)
    stage.record.tell(f"the owner is {owner.name}; the client's host is {entry.name}")
    client = stage.client("crew", entry)
    writing = asyncio.create_task(stage.write_on(client))
    await asyncio.sleep(2.0)
    late = group.member("i-m3")
    begin = time.monotonic()
    if stage.trouble:
        store.is_down = True
        stage.record.tell("the store answers 503")
    await asyncio.sleep(DEAF_AFTER_S)
    if stage.trouble:
        late.is_deaf = True
        stage.record.tell("i-m3 receives nothing")
    await asyncio.sleep(RESTART_AFTER_S)
    owner.signal(signal.SIGTERM)
    stopping = asyncio.create_task(owner.wait(6.0))
    await asyncio.sleep(max(0.0, begin + OUTAGE_S - time.monotonic()))
    if stage.trouble:
        back = time.monotonic()
        group.unlisted_until = {"i-m1": back + MISSING_S, "i-m2": back + MISSING_S}
        store.is_down = False
        stage.record.tell("the store is back;", f"acknowledged so far: {len(group.acknowledged)}")
    await stopping
    await asyncio.sleep(0.1)
    owner.start()
    await asyncio.sleep(max(0.0, begin + DEAF_AFTER_S + DEAF_S - time.monotonic()))
    late.is_deaf = False
    stage.record.say("i-m3 receives again")
    await asyncio.sleep(8.0)
    writing.cancel()
    stage.record.tell(f"acknowledged writes: {len(group.acknowledged)}; promotions: {group.promotions}")


play(Stage(pathlib.Path(__file__).resolve().parent, promote_s=1.0), case)

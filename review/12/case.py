"""The primary is lost for good, and its successor crashes for 6.9 s, while the last member receives
nothing for 5.9 s."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stage-3"))

from stage import Stage
from stage import play

DEAF_S = 5.9
LOST_AFTER_S = 0.7
CRASH_AFTER_S = 5.0
CRASH_S = 6.9


async def case(stage):
    group = stage.group
    client = stage.client("crew", stage.daemons[0])
    writing = asyncio.create_task(stage.write_on(client))
    await asyncio.sleep(2.0)
    first, second, late = (group.member(f"i-m{number}") for number in (1, 2, 3))
    if stage.trouble:
        late.is_deaf = True
        stage.record.tell("i-m3 receives nothing")
    await asyncio.sleep(LOST_AFTER_S)
    if stage.trouble:
        await first.crash()
        stage.record.tell(f"i-m1 is lost for good; acknowledged so far: {len(group.acknowledged)}")
    await asyncio.sleep(CRASH_AFTER_S)
    if stage.trouble:
        await second.crash()
    await asyncio.sleep(DEAF_S - LOST_AFTER_S - CRASH_AFTER_S)
    late.is_deaf = False
    stage.record.tell("i-m3 receives again")
    await asyncio.sleep(CRASH_S - (DEAF_S - LOST_AFTER_S - CRASH_AFTER_S))
    if stage.trouble:
        await second.restart()
    await asyncio.sleep(8.0)
    writing.cancel()
    stage.record.tell(f"acknowledged writes: {len(group.acknowledged)}; promotions: {group.promotions}")


play(Stage(pathlib.Path(__file__).resolve().parent, promote_s=1.0), case)

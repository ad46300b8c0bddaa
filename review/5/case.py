"""STALE: a primary is partitioned with one replica, and the owner that had it replaced is lost."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stage.stage import main

CUT_S = 7.0
FIRST_KILL_S = 0.2
RESTART_S = 0.3
SECOND_KILL_S = 3.0
DOWN_S = 3.5
PAUSE_S = 0.1


async def work(client, acknowledged, reads):
    """Writes and reads in turn. Opens a new session if one ends."""
    number = 0
    while True:
        try:
            await client.open()
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(PAUSE_S)
            continue
        while True:
            number += 1
            reply = await client.query(f"STORE {client.name}{number} value")
            if reply is None:
                break
            if reply.is_success:
                acknowledged[client.last_id] = time.monotonic()
            sent_at = time.monotonic()
            reply = await client.query(f"FETCH {client.name}{number}")
            if reply is None:
                break
            if reply.is_success:
                reads[client.last_id] = sent_at
            await asyncio.sleep(PAUSE_S)


async def case(stage):
    await stage.start(daemons=3, promote_s=0.3, has_links=True)
    owner = stage.owner()
    others = [one for one in stage.fleet.daemons if one is not owner]
    primary, second, third = stage.group.members
    acknowledged, reads = {}, {}
    running = [asyncio.create_task(work(stage.client(f"c{n}x", daemon), acknowledged, reads))
               for n, daemon in enumerate(others + others)]
    await asyncio.sleep(3.0)
    started_at = time.monotonic()
    if stage.has_trouble:
        # The primary and one replica are on the side of the other daemons.
        far_side, near_side = [primary, second], [third]
        cut = [stage.links[owner.name, member.name] for member in far_side]
        cut += [stage.links[daemon.name, member.name] for daemon in others for member in near_side]
        stage.group.partition(far_side)
        for link in cut:
            link.cut()
        await asyncio.sleep(FIRST_KILL_S)
        await owner.restart(RESTART_S)
        await asyncio.sleep(started_at + SECOND_KILL_S - time.monotonic())
        owner.signal(signal.SIGKILL)
        owner.process.wait()
        await asyncio.sleep(DOWN_S)
        owner.start()
        await asyncio.sleep(started_at + CUT_S - time.monotonic())
        for link in cut:
            link.heal()
        stage.group.partition([])
    await asyncio.sleep(5.0)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    return findings(stage, acknowledged, reads)


def findings(stage, acknowledged, reads):
    broken = []
    survived = {entry[2]: entry[:2] for entry in stage.group.leader.log}
    for member, _, _, query_id, text, _, position in stage.group.runs:
        if query_id not in reads:
            continue
        lacking = [one for one, at in acknowledged.items()
                   if at < reads[query_id] and one in survived and survived[one] > position]
        if lacking:
            term, number = survived[lacking[-1]]
            broken.append(
                f"STALE: {member} ran {query_id} ({text}) on a log that stood at "
                f"{position[0]}.{position[1]} and lacked {len(lacking)} commits that had been "
                f"acknowledged before it was sent, the last {lacking[-1]} at {term}.{number}")
    return broken


main(__file__, case)

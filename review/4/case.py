"""ONE: a primary is to be replaced while clients have transactions open and the store is slow."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stage.stage import main

CLIENTS = 16
STATEMENTS = 8
PAUSES_S = (0.15, 0.45)
STORE_SLOWNESS = 60.0
SLOW_S = 4.5
DRAIN_MS = 7_000


async def transactions(stage, client, acknowledged, random_source):
    """Runs transactions of several writes one after the other, with pauses, until it is cancelled."""
    round_number = 0
    while True:
        round_number += 1
        await client.open()
        reply = await client.query("BEGIN")
        for number in range(STATEMENTS):
            if reply is None or not reply.is_success:
                break
            reply = await client.query(f"STORE {client.name}{round_number}{number} value")
            await asyncio.sleep(random_source.uniform(*PAUSES_S))
        if reply is not None and reply.is_success:
            sent_at = time.monotonic()
            reply = await client.query("COMMIT")
            if reply is not None and reply.is_success:
                acknowledged[client.last_id] = sent_at
        elif client.state in ("T", "E"):
            await client.query("ROLLBACK")
        client.close()
        await asyncio.sleep(0.05)


async def case(stage):
    await stage.start(daemons=3, promote_s=1.0)
    random_source = random.Random(23)
    acknowledged = {}
    clients = [stage.client(f"c{n}x", stage.fleet.daemons[n % 3]) for n in range(CLIENTS)]
    running = []
    for client in clients:
        running.append(asyncio.create_task(transactions(stage, client, acknowledged, random_source)))
        await asyncio.sleep(0.15)
    await asyncio.sleep(1.0)
    primary = stage.group.leader
    if stage.has_trouble:
        stage.record.write("platform", "the store is slow")
        stage.store.slowness = STORE_SLOWNESS
        primary.state = "draining"
        primary.beat()
        stage.record.write(primary.name, "reports draining")
    await asyncio.sleep(SLOW_S)
    stage.store.slowness = 1.0
    await asyncio.sleep(DRAIN_MS / 1_000 - SLOW_S)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    if not stage.group.promotes:
        stage.record.write("case", "no member was promoted")
    return findings(stage, acknowledged)


def findings(stage, acknowledged):
    broken = []
    logs = {member.name: {entry[2] for entry in member.log} for member in stage.group.members}
    for at, member, entry in stage.group.commits:
        commit_id = entry[2].split("/")[-1]
        effective = [one for one in stage.group.promotes if one[0] <= at]
        if not effective or commit_id not in acknowledged:
            continue
        promoted_at, leader, term, _, _ = effective[-1]
        if leader == member or acknowledged[commit_id] < promoted_at:
            continue
        kept = [name for name, log in logs.items() if entry[2] in log]
        broken.append(
            f"ONE: {member} committed {entry[2]} {1_000 * (at - promoted_at):.0f} ms after {leader} "
            f"had become primary of term {term}; sent after that, and acknowledged to the client; "
            f"in the logs of {', '.join(kept) or 'no member'} at the end")
    return broken


main(__file__, case)

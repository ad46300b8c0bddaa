"""ONE: a primary is to be replaced while clients have transactions open at it."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stage.stage import main

CLIENTS = 18
MAX_WRITES = 10
PAUSE_S = 0.28
PROMOTE_S = 1.0
LEAD_S = 0.08
STEP_S = 0.012
LATEST_S = 3.0


async def transaction(stage, client, number, started_at, acknowledged):
    """Runs one transaction of writes with pauses. It commits at about the time of the promote."""
    reply = await client.query("BEGIN")
    for write in range(MAX_WRITES):
        commit_at = started_at + LATEST_S + number * STEP_S
        if stage.duties.calls:
            commit_at = stage.duties.calls[0][0] + PROMOTE_S - LEAD_S + number * STEP_S
        left_s = commit_at - time.monotonic()
        if reply is None or not reply.is_success or left_s <= 0:
            break
        reply = await client.query(f"STORE {number}a{write} value")
        await asyncio.sleep(min(PAUSE_S, max(0.0, commit_at - time.monotonic())))
    if reply is not None and reply.is_success:
        sent_at = time.monotonic()
        reply = await client.query("COMMIT")
        if reply is not None and reply.is_success:
            acknowledged[client.last_id] = sent_at
    client.close()


async def case(stage):
    await stage.start(daemons=3, promote_s=PROMOTE_S)
    acknowledged = {}
    clients = [await stage.client(f"c{n}x", stage.fleet.daemons[n % 3]).open() for n in range(CLIENTS)]
    # The daemons move the service to the data centre of its primary at first.
    zone = stage.group.leader.zone
    await stage.wait_for(lambda: stage.owner() and stage.owner().zone == zone, 20, "no settled owner")
    await asyncio.sleep(2.0)
    started_at = time.monotonic()
    running = [asyncio.create_task(transaction(stage, client, n, started_at, acknowledged))
               for n, client in enumerate(clients)]
    primary = stage.group.leader
    await asyncio.sleep(0.2)
    if stage.has_trouble:
        primary.state = "draining"
        primary.beat()
        stage.record.write(primary.name, "reports draining")
    await asyncio.gather(*running)
    await asyncio.sleep(3.0)
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

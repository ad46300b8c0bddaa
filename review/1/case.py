"""PINNED: the owner of a service is killed and starts again while transactions are open."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stage.stage import main

RESTART_S = 0.3


async def case(stage):
    await stage.start(daemons=3)
    owner = stage.owner()
    first_entry, second_entry = [one for one in stage.fleet.daemons if one is not owner]
    # Two clients of one tenant, each in a transaction with a pause between its statements.
    early = [await stage.client(f"early-{n}", first_entry).open() for n in (1, 2)]
    for client in early:
        await client.query("BEGIN")
        await client.query(f"STORE 1a{client.name[-1]} of-{client.name}")
    if stage.has_trouble:
        await owner.restart(RESTART_S)
    await stage.wait_for(lambda: stage.serves(second_entry), 2.4, "the service did not come back")
    # Two clients of another tenant begin, at another daemon.
    late = [await stage.client(f"late-{n}", second_entry, tenant="tive77").open() for n in (1, 2)]
    for client in late:
        await client.query("BEGIN")
        await client.query(f"STORE 2b{client.name[-1]} of-{client.name}")
    # The first two go on after their pause: one with a statement, the other with its commit.
    await early[0].query("STORE 3c1 of-early-1")
    if early[1].state == "T":
        await early[1].query("COMMIT")
    await asyncio.sleep(0.2)
    for client in late + early:
        if client.state in ("T", "E"):
            await client.query("ROLLBACK")
    await asyncio.sleep(0.3)
    return findings(stage, early + late)


def findings(stage, clients):
    sender = {query_id: client.name for client in clients for query_id, _ in client.sent}
    broken = []
    for member, connection, begin_id, query_id, text, tenant, _ in stage.group.runs:
        if begin_id in sender and query_id in sender and sender[begin_id] != sender[query_id]:
            broken.append(
                f"PINNED: {member} ran {query_id} ({text}) of {sender[query_id]} on connection "
                f"{connection}, opened for {tenant}, inside the transaction {begin_id} of "
                f"{sender[begin_id]}")
    for _, member, (term, number, who, ids) in stage.group.commits:
        begin_id, _, commit_id = who.partition("/")
        if commit_id in sender and sender.get(begin_id) != sender[commit_id]:
            broken.append(
                f"UNASKED: {member} committed at {term}.{number} the transaction {begin_id} of "
                f"{sender.get(begin_id)}, with {', '.join(ids)}, for {commit_id} of {sender[commit_id]}")
    return broken


main(__file__, case)

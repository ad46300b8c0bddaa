"""A small deployment: store, duties, one service with three members, and daemons."""

import asyncio
import os
import pathlib
import signal
import sys

from stage.client import Client
from stage.daemons import Fleet
from stage.daemons import ROOT
from stage.link import Link
from stage.members import Duties
from stage.members import Group
from stage.record import Record
from stage.store import Store

SERVICE = "huvo11a"
ZONES = ["almaty-a", "almaty-b", "almaty-c"]
KEYS = {"nypu920": "u6wsjnbanfqasnmgkcuy", "tive77": "p3mnq8w2c5zrt7ykd4ha"}
DATABASES = {"primary": "lepu270", "read_own_writes": "fiti832ti23", "bounded_staleness": "xapu221ny95"}


class CannotRun(Exception):
    """The case could not run."""


class Stage:
    """The deployment of one case."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.write("case", f"TROUBLE={int(self.has_trouble)}")
        self.store = Store()
        self.fleet = Fleet(self.record)
        self.version = 7
        self.links = {}

    def manifest(self, sync_replicas):
        def route(kind, timeout_ms, objective_ms, stale_ms):
            entry = {"name": f"r-{kind}", "host": DATABASES[kind], "pathPrefix": "/", "kind": kind,
                     "timeoutMs": timeout_ms, "sloMs": objective_ms, "priority": 1,
                     "service": SERVICE, "attempts": 2, "public": False}
            return entry | ({"maxStalenessMs": stale_ms} if stale_ms else {})

        return {
            "version": self.version,
            "routes": [route("bounded_staleness", 2000, 500, 1500), route("primary", 800, 150, 0),
                       route("read_own_writes", 800, 250, 2500)],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 22, "protocol": "h1",
                          "tls": False, "coldS": 0.0, "coldPerS": 0.0, "syncReplicas": sync_replicas}],
            "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000,
                       "txIdleMs": 3000},
            "tenants": [{"name": name, "apiKeys": [key], "priority": 1, "ratePerS": 134, "burst": 134}
                        for name, key in KEYS.items()],
        }

    async def start(self, daemons=3, members=("i-7f3a91c2", "i-a1b20c3d", "i-c94e55f0"), primary=0,
                    sync_replicas=0, promote_s=0.3, has_links=False):
        await self.store.start()
        self.store.put("op", "config", self.manifest(sync_replicas))
        self.group = Group(self.record, self.store, SERVICE, sync_replicas, promote_s)
        self.duties = Duties(self.record, [self.group])
        await self.duties.start()
        for number, name in enumerate(members):
            role = "primary" if number == primary else "replica"
            await self.group.add(name, role, ZONES[number % len(ZONES)])
        self.fleet.add(daemons, ZONES)
        stores = [self.store.port] * daemons
        if has_links:
            stores = [await self.start_links(daemon) for daemon in self.fleet.daemons]
        await self.fleet.start(stores, self.duties.port)
        await self.wait_for(self.owner_serves, 10, "no owner serves")

    async def start_links(self, daemon):
        """Puts a link between a daemon and each member. Returns the daemon's port of the store."""
        addresses = {}
        for member in self.group.members:
            link = await Link(member.port).start()
            self.links[daemon.name, member.name] = link
            addresses[member.name] = f"127.0.0.1:{link.port}"
        return await self.store.start_view(addresses)

    def lease(self):
        """Returns the record that names the owner of the service, and its version."""
        found = self.store.decoded("snipehead").get(f"lease/{SERVICE}")
        return found or (None, 0)

    def owner(self):
        """Returns the daemon that owns the service."""
        record, _ = self.lease()
        return self.fleet.named(record["holder"]) if record and not record["is_released"] else None

    async def owner_serves(self):
        owner = self.owner()
        return owner is not None and await self.serves(owner)

    async def serves(self, daemon):
        """Returns whether a read on the `primary` route succeeds at a daemon."""
        try:
            probe = await self.client("probe", daemon).open()
            reply = await probe.query("FETCH 0", 2)
            probe.close()
            return reply is not None and reply.is_success
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False

    async def wait_for(self, condition, limit_s, reason):
        for _ in range(int(limit_s / 0.02)):
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.02)
        raise CannotRun(reason)

    def client(self, name, daemon, kind="primary", tenant="nypu920"):
        return Client(self.record, name, daemon.caller, DATABASES[kind], KEYS[tenant])


def main(file, case, limit_s=110):
    """Runs a case. It exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    if not (ROOT / "target/release/snipehead-entryd").exists():
        print("the build of the deploy file is missing")
        sys.exit(2)

    async def run():
        stage = Stage(pathlib.Path(file).resolve().parent)
        try:
            return await asyncio.wait_for(case(stage), limit_s), stage
        finally:
            stage.fleet.end()

    # Ends the daemons also when the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken, stage = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, RuntimeError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        stage.record.write("verdict", line)
        print(line)
    if not broken:
        stage.record.write("verdict", "the rule held")
        print("the rule held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)

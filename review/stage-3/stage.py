"""Stand-ins for the platform's store, its promotion call, members and clients, and the control of
the daemons under test. One event loop runs all of it; only loopback addresses are used."""

import asyncio
import base64
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target/release/snipehead-entryd"
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def say(self, *words):
        line = f"{time.monotonic() - self.start:9.4f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()

    def tell(self, *words):
        self.say(*words)
        print(*words, flush=True)


class CannotRun(Exception):
    """The case could not run."""


def free_port():
    """Returns a free port below those that the system gives to connections."""
    while True:
        port = random.randint(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def response(status, value):
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Store:
    """The platform's store with its tables of rows."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 100
        self.zero = time.monotonic() - 50.0
        self.is_down = False
        self.last_ms = 0.0
        self.address = None

    async def serve(self):
        server = await asyncio.start_server(self.serve_one, "127.0.0.1", 0, limit=1 << 22)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return server

    def now_ms(self):
        self.last_ms = max(self.last_ms + 0.001, (time.monotonic() - self.zero) * 1000.0)
        return self.last_ms

    def put(self, table, part, key, value):
        self.version += 1
        self.rows[(table, part, key)] = (base64.b64encode(value).decode(), self.version)

    def put_json(self, table, key, value):
        self.put(table, "", key, json.dumps(value).encode())

    def drop(self, table, key):
        if self.rows.pop((table, "", key), None):
            self.version += 1

    def lease_holder(self, service):
        for (table, _, key), (value, _) in self.rows.items():
            if table == "snipehead" and key == "lease/" + service:
                lease = json.loads(base64.b64decode(value))
                return None if lease["is_released"] else lease["holder"]
        return None

    async def serve_one(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                method, target, _, body = request
                await asyncio.sleep(0.004)
                if self.is_down:
                    writer.write(response(503, {}))
                else:
                    writer.write(response(*self.answer(method, target, body)))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "schemaVersion": version}

    def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if method == "POST" and url.path == "/-/rows-tx":
            return self.transact(json.loads(body))
        tail = {"hasMore": False, "schemaVersion": self.version, "nowMs": self.now_ms()}
        if url.path == "/-/rows-get":
            keys = sorted(key for key in self.rows
                          if key[:2] == (query["table"], query.get("part", ""))
                          and key[2] >= query.get("from", "")
                          and ("to" not in query or key[2] < query["to"]))
            return 200, {"rows": [self.row(key) for key in keys], **tail}
        if url.path == "/-/rows-parts":
            parts = sorted({key[1] for key in self.rows if key[0] == query["table"]})
            return 200, {"parts": parts, "hasMore": False}
        if url.path == "/-/rows-feed":
            after = int(query["after"])
            keys = sorted((self.rows[key][1], key) for key in self.rows
                          if key[0] == query["table"] and self.rows[key][1] > after)
            return 200, {"rows": [self.row(key) for _, key in keys], **tail}
        return 404, {}

    def transact(self, call):
        place = lambda row: (row["table"], row["part"], row["key"])
        expected = [(place(row), row["schemaVersion"]) for row in call.get("expect", [])]
        if any(self.rows.get(key, ("", 0))[1] != version for key, version in expected):
            rows = [self.row(key) for key, _ in expected if key in self.rows]
            return 412, {"rows": rows, "schemaVersion": self.version, "nowMs": self.now_ms()}
        self.version += 1
        for row in call.get("upsertRows", []):
            self.rows[place(row)] = (row["value"], self.version)
        for row in call.get("deleteKeys", []):
            self.rows.pop(place(row), None)
        return 200, {"schemaVersion": self.version, "nowMs": self.now_ms()}


class Member:
    """A member of a service: a replicated log and the connections to it."""

    def __init__(self, group, name, zone, role):
        self.group, self.id, self.zone, self.role = group, name, zone, role
        self.term = 1
        self.log = [(1, number, None, None) for number in range(1, 11)]
        self.is_deaf = False
        self.is_up = True
        self.is_dark = False
        self.server = None
        self.port = None
        self.writers = set()
        self.beat_at = 0.0
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(3)

    @property
    def position(self):
        return self.log[-1][:2] if self.log else (0, 0)

    def position_text(self):
        return "%d.%d" % self.position if self.log else "-"

    async def start(self):
        self.server = await asyncio.start_server(self.serve_one, "127.0.0.1", self.port or 0, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True

    async def crash(self):
        """Ends the member as a kill does. Its log is kept."""
        self.group.record.tell(self.id, "crashes")
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        """Comes back with the log, under a new id, and as a replica if another member was promoted."""
        if self.group.leader() is not self:
            self.role = "replica"
        self.id, self.beat_at, self.seq, self.born = self.id + "n", 0.0, 0, int(time.time() * 1000)
        self.slots = asyncio.Semaphore(3)
        await self.start()
        self.group.record.tell(self.id, "is back as", self.role, self.position_text())

    async def light(self):
        """Waits while the member is dark: it keeps what arrives and does nothing."""
        while self.is_dark:
            await asyncio.sleep(0.01)

    def entry(self):
        self.seq += 1
        return {"service": self.group.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 3, "state": "ready", "coldMs": 0, "dbRole": self.role,
                "seq": self.seq, "born": self.born}

    async def serve_one(self, reader, writer):
        self.writers.add(writer)
        connection = {"state": "I", "prepared": {}, "writes": [], "plain": False}
        send = lambda *lines: writer.write("".join(line + "\r\n" for line in lines).encode())
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                await self.light()
                word, _, rest = line.partition(" ")
                if word == "STARTUP":
                    fields = rest.split(" ")
                    async with self.slots:
                        await asyncio.sleep(0.012)
                    if fields[0] != self.group.service or (len(fields) > 2 and fields[2] != self.id):
                        send(f"ERROR WRONGNODE {self.id}")
                        await writer.drain()
                        return
                    send("READY I " + self.position_text())
                elif word == "QUERY":
                    id_, _, text = rest.partition(" ")
                    lines = await self.run(connection, id_, text)
                    await self.light()
                    send(*lines, f"READY {connection['state']} {self.position_text()}")
                else:
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, connection, id_, text):
        record = self.group.record
        verb, _, rest = text.partition(" ")
        if verb == "STATUS":
            return [f"DATA {self.role} {self.term} {self.position_text()} 0 0 0 1", "COMPLETE -"]
        if verb == "STEPDOWN":
            if self.role == "primary" and int(rest) > self.term:
                self.group.step_down(self)
            return [f"DATA {self.role} {self.term} {self.position_text()} 0 0 0 1", "COMPLETE -"]
        if verb in ("RESET", "SET", "DEALLOC"):
            if verb == "RESET":
                connection["prepared"].clear()
            return ["COMPLETE -"]
        if verb == "PREPARE":
            name, _, definition = rest.partition(" ")
            connection["prepared"][name] = definition
            return ["COMPLETE -"]
        if verb == "SYNCPOS":
            floor, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
            if self.position < tuple(int(part) for part in floor.split(".")):
                return [f"ERROR LAGGING {self.id}"]
        if connection["state"] == "E" and verb != "ROLLBACK":
            return ["ERROR MALFORMED the transaction has failed"]
        if verb == "BEGIN":
            if self.role != "primary" and rest != "FETCH":
                return [f"ERROR READONLY {self.id}"]
            connection.update(state="T", plain=rest != "FETCH", writes=[])
            return ["COMPLETE -"]
        if verb == "ROLLBACK":
            connection.update(state="I", writes=[])
            return ["COMPLETE -"]
        if verb == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            verb = connection["prepared"].get(name, "").split(" ")[0]
            rest = arguments
            if not verb:
                return [f"ERROR NOSTMT {name}"]
        async with self.slots:
            await asyncio.sleep(0.005)
            in_block = connection["state"] == "T"
            if self.role != "primary" and (verb == "STORE" or (in_block and connection["plain"]
                                                               and (verb != "COMMIT" or connection["writes"]))):
                connection["state"] = "E" if in_block else "I"
                return [f"ERROR READONLY {self.id}"]
            mac = "COMPLETE 7." + secrets.token_hex(8)
            if verb == "FETCH":
                found = [data for _, _, _, writes in self.log for item, data in writes or [] if item == rest]
                record.say(self.id, "ran", id_, "read at", self.position_text())
                self.group.on_read(self, id_, rest)
                return [f"DATA {found[-1] if found else 'none'}", mac]
            if verb == "STORE":
                item, _, data = rest.partition(" ")
                if in_block:
                    connection["writes"].append((item, data))
                    return [mac]
                return [await self.commit(id_, [(item, data)]) or mac]
            if verb == "COMMIT":
                writes, connection["writes"] = connection["writes"], []
                connection["state"] = "I"
                if writes:
                    await self.commit(id_, writes)
                return [mac]
        return ["ERROR MALFORMED unknown"]

    async def commit(self, id_, writes):
        entry = (self.term, self.position[1] + 1, id_, writes)
        self.log.append(entry)
        self.group.record.say(self.id, "ran", id_, f"commit {entry[0]}.{entry[1]}")
        self.group.on_commit(self, entry)
        await self.group.replicate(self, entry)


class Group:
    """The members of a service and the platform's promotion call."""

    def __init__(self, record, store, service, sync, promote_s):
        self.record, self.store, self.service, self.sync, self.promote_s = record, store, service, sync, promote_s
        self.members = []
        self.newest_term = 1
        self.acknowledged = {}
        self.broken = []
        self.promotions = []
        self.unlisted_until = {}
        self.reported = {}
        self.address = None
        self.on_commit = lambda member, entry: None
        self.on_read = lambda member, id_, item: None
        self.on_promote = lambda member, lost: None
        self.order_delay_s = 0.0

    def member(self, name):
        return next(member for member in self.members if member.id == name)

    def leader(self):
        leaders = [member for member in self.members if member.role == "primary"]
        return max(leaders, key=lambda member: member.term)

    async def serve(self):
        server = await asyncio.start_server(self.serve_call, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return server

    async def replicate(self, primary, entry):
        """Waits until the commit may be acknowledged."""
        while True:
            if entry not in primary.log or not primary.is_up:
                raise ConnectionError("the commit was rolled back")
            received = sum(1 for member in self.members if member is not primary and entry in member.log)
            if received >= self.sync:
                return
            await asyncio.sleep(0.001)

    async def follow(self):
        """Each replica that hears of the leader receives its log; one that was ahead is rolled back."""
        while True:
            await asyncio.sleep(0.002)
            leader = self.leader()
            for member in self.members:
                if member is leader or member.is_deaf or not member.is_up or not leader.is_up:
                    continue
                if member.is_dark or leader.is_dark:
                    continue
                if member.role == "replica" and member.log != leader.log:
                    member.log = list(leader.log)
                if member.role == "replica":
                    member.term = leader.term

    def step_down(self, member):
        self.record.say(member.id, "steps down")
        member.role = "replica"

    async def promote(self, member):
        await asyncio.sleep(self.promote_s)
        former = self.leader()
        if former is member or not member.is_up:
            return
        self.newest_term += 1
        member.role, member.term = "primary", self.newest_term
        held = {entry[2] for entry in member.log}
        lost = [id_ for id_ in self.acknowledged if id_ not in held]
        self.record.tell(f"{member.id} leads term {member.term} with the log up to {member.position_text()};",
                         f"acknowledged writes that it lacks: {len(lost)}")
        self.promotions.append((member.id, len(lost)))
        self.on_promote(member, lost)
        if lost and self.sync:
            self.broken.append(f"LOST: {len(lost)} acknowledged writes are not in the log of {member.id}: {lost[:5]}")
        await asyncio.sleep(1.0)
        while former.is_dark or not former.is_up:
            await asyncio.sleep(0.05)
        if former.role == "primary" and former is not self.leader():
            self.step_down(former)

    async def serve_call(self, reader, writer):
        try:
            _, target, headers, body = await read_request(reader)
            call = json.loads(body)
            await asyncio.sleep(self.order_delay_s)
            member = next((m for m in self.members if m.id == call["id"]), None)
            status = 200 if member and member.is_up and not member.is_dark else 409
            self.record.tell(f"POST {target} id={call['id']} holder={headers['x-duty-holder']}",
                             f"token={headers['x-fence-token']} -> {status}")
            if status == 200 and member is not self.leader():
                asyncio.create_task(self.promote(member))
            writer.write(response(status, {}))
            await writer.drain()
        except (ConnectionError, TypeError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def report(self):
        """Members report to the store; it removes entries after three intervals of silence."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for member in self.members:
                may_report = member.is_up and not member.is_dark and now >= self.unlisted_until.get(member.id, 0.0)
                if may_report and not self.store.is_down and now >= member.beat_at + HEARTBEAT_S:
                    if ("servers", "", member.id) not in self.store.rows:
                        self.record.say(member.id, "is listed")
                    self.store.put_json("servers", member.id, member.entry())
                    member.beat_at = now
                    self.reported[member.id] = now
            for name, reported_at in list(self.reported.items()):
                if now >= reported_at + EXPIRY_S:
                    self.store.drop("servers", name)
                    del self.reported[name]
                    self.record.say(name, "is removed from the list after three intervals of silence")


class Daemon:
    """A daemon under test, started with the command of the deploy file."""

    def __init__(self, record, folder, name, zone, store, cloud):
        self.record, self.name, self.process = record, name, None
        ports = [free_port() for _ in range(4)]
        self.front, self.ready, self.peer, self.metrics = ports
        self.log = open(folder / f"{name}.log", "a", encoding="utf-8")
        self.path = folder / f"{name}.json"
        self.settings = {
            "host": name, "data_centre": zone, "caller_address": f"127.0.0.1:{self.front}",
            "ready_address": f"127.0.0.1:{self.ready}", "peer_address": f"127.0.0.1:{self.peer}",
            "metrics_address": f"127.0.0.1:{self.metrics}", "store_address": store,
            "promotion_address": cloud, "seeds": [], "processor_cores": 0.25, "link_mbps": 1000.0,
            "revoke_limit_ms": 5000, "apply_limit_ms": 3000, "grace_s": 6, "memory_mb": 260,
            "max_descriptors": 4200}

    def start(self):
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")
        environment = {"PATH": os.environ["PATH"], "SNIPEHEAD_BOOT": str(self.path)}
        self.process = subprocess.Popen([str(DAEMON)], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.say(self.name, "starts")

    def signal(self, number):
        self.record.say(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait(self, limit_s):
        until = time.monotonic() + limit_s
        while self.process.poll() is None:
            if time.monotonic() > until:
                self.signal(signal.SIGKILL)
                self.process.wait()
                break
            await asyncio.sleep(0.01)
        self.record.say(self.name, "has ended with", self.process.returncode)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False


class Client:
    """A client's session. It waits for one answer after the other."""

    def __init__(self, record, name, port, database, key):
        self.record, self.name, self.port, self.database, self.key = record, name, port, database, key
        self.reader = self.writer = None
        self.count = 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 21)
        self.writer.write(f"STARTUP {self.database} {self.key}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)).decode().strip()
        if not line.startswith("READY"):
            self.close()
            raise ConnectionError(line)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    def next_id(self):
        self.count += 1
        return f"{self.name}{self.count:06x}"

    async def query(self, text, limit_s=10.0):
        """Sends a statement. Returns its id, its outcome and its rows."""
        id_ = self.next_id()
        try:
            if self.writer is None:
                await self.open()
            self.record.say(self.name, "sends", id_, text)
            self.writer.write(f"QUERY {id_} {text}\r\n".encode())
            rows, outcome = [], None
            while True:
                line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit_s)).decode()[:-2]
                word, _, rest = line.partition(" ")
                if word == "DATA":
                    rows.append(rest)
                elif word == "COMPLETE":
                    outcome = "COMPLETE"
                elif word == "ERROR":
                    outcome = rest
                elif word == "READY":
                    break
            if outcome is None:
                outcome = "closed"
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            rows, outcome = [], f"closed ({error!r})"
            self.close()
        self.record.say(self.name, "gets", id_, outcome, *rows)
        return id_, outcome, rows


class Stage:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, daemons=3, sync=1, promote_s=0.3, kind="primary", staleness_ms=1500):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="stage-3-"))
        self.store = Store(self.record)
        self.group = Group(self.record, self.store, "ledger-db", sync, promote_s)
        self.kind, self.staleness_ms, self.count = kind, staleness_ms, daemons
        self.daemons = []
        self.tasks = []
        self.version = 7

    def manifest(self, **changes):
        service = {"name": "ledger-db", "healthPath": "/health", "maxConns": 37, "protocol": "h1", "tls": False,
                   "coldS": 0.0, "coldPerS": 0.0, "syncReplicas": self.group.sync}
        route = {"name": "r-filing", "host": "filing", "pathPrefix": "/", "kind": self.kind, "timeoutMs": 800,
                 "sloMs": 200, "priority": 1, "service": "ledger-db", "attempts": 2, "public": False,
                 "maxStalenessMs": self.staleness_ms}
        tenant = {"name": "crew", "apiKeys": ["k3yofcrew0000001"], "priority": 1, "ratePerS": 500, "burst": 500}
        return {"version": self.version, "routes": [route], "services": [service],
                "limits": {"txIdleMs": 3000}, "tenants": [tenant], **changes}

    async def start(self):
        if not DAEMON.exists():
            raise CannotRun("the daemon is not built")
        self.servers = [await self.store.serve(), await self.group.serve()]
        for index, zone in enumerate(("zone-a", "zone-b", "zone-c")):
            role = "primary" if index == 0 else "replica"
            member = Member(self.group, f"i-m{index + 1}", zone, role)
            await member.start()
            self.group.members.append(member)
        self.store.put_json("op", "config", self.manifest())
        self.tasks += [asyncio.create_task(self.group.follow()), asyncio.create_task(self.group.report())]
        for index in range(self.count):
            zone = ("zone-a", "zone-b", "zone-c")[index % 3]
            daemon = Daemon(self.record, self.folder, f"front-{index + 1}", zone, self.store.address, self.group.address)
            self.daemons.append(daemon)
        seeds = [f"127.0.0.1:{daemon.peer}" for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.settings["seeds"] = seeds
            daemon.start()
        await self.until(self.all_ready, 15.0, "the daemons are not ready")
        client = self.client("warm", self.daemons[0])
        until = time.monotonic() + 15.0
        while (await client.query("STORE warm up"))[1] != "COMPLETE":
            if time.monotonic() > until:
                raise CannotRun("no write succeeds")
            await asyncio.sleep(0.2)
        client.close()
        self.record.say("the deployment serves")

    async def all_ready(self):
        return all([await daemon.is_ready() for daemon in self.daemons])

    async def until(self, check, limit_s, reason):
        end = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > end:
                raise CannotRun(reason)
            await asyncio.sleep(0.1)

    def client(self, name, daemon):
        return Client(self.record, name, daemon.front, "filing", "k3yofcrew0000001")

    def owner(self):
        holder = self.store.lease_holder("ledger-db")
        return next(daemon for daemon in self.daemons if daemon.name == holder)

    async def write_on(self, client, pause_s=0.02):
        """Sends single writes until it is cancelled, and notes which were acknowledged."""
        number = 0
        while True:
            number += 1
            id_, outcome, _ = await client.query(f"STORE item-{client.name}-{number} d{number}")
            if outcome == "COMPLETE":
                self.group.acknowledged[id_] = time.monotonic()
            await asyncio.sleep(pause_s)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(stage, case):
    """Runs a case. Exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run."""

    async def run():
        await stage.start()
        await case(stage)

    code = 2
    loop = asyncio.new_event_loop()
    try:
        loop.run_until_complete(asyncio.wait_for(run(), 110.0))
        code = 1 if stage.group.broken else 0
        for line in stage.group.broken:
            stage.record.tell(line)
        stage.record.tell({0: "the rules held", 1: "a rule was broken"}[code])
    except CannotRun as error:
        stage.record.tell(f"the case could not run: {error}")
    except Exception as error:
        stage.record.tell(f"the case could not run: {error!r}")
    finally:
        stage.stop()
    # The other tasks are left as they are.
    sys.stdout.flush()
    os._exit(code)

"""Stand-ins for the members of a service, with their replication, and for the call `/failover`."""

import asyncio
import itertools
import json
import time

from stage import http

HANDSHAKE_S = 0.012
LAG_S = 0.008
BEAT_S = 1.2
SECOND_AFTER_CONTACT_S = 1.0


class Connection:
    """A connection to a member, with its transaction."""

    numbers = itertools.count(1)

    def __init__(self, tenant):
        self.number = next(self.numbers)
        self.tenant = tenant
        self.begin_id = None
        self.is_read_only = False
        self.has_failed = False
        self.writes = []
        self.prepared = {}


class Member:
    """One member. While it is dark it neither reads nor sends, and new connections hang."""

    def __init__(self, group, name, role, zone):
        self.group = group
        self.name = name
        self.role = role
        self.zone = zone
        self.term = 1
        self.log = []
        self.state = "ready"
        self.is_dark = False
        self.is_deaf = False
        self.is_gone = False
        self.light = asyncio.Event()
        self.light.set()
        self.work_s = 0.006
        self.port = None
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat()
        self.beating = asyncio.create_task(self.keep_beating())

    def beat(self):
        """Writes this member's entry to the store."""
        self.sequence += 1
        entry = {
            "service": self.group.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 3, "state": self.state, "coldMs": 0, "dbRole": self.role,
            "seq": self.sequence, "born": self.born,
        }
        self.group.store.put("servers", self.name, entry)

    async def keep_beating(self):
        while True:
            await asyncio.sleep(BEAT_S)
            if not self.is_dark and not self.is_gone:
                self.beat()

    def go_dark(self):
        """Makes the member silent, as if it had no power or no network."""
        self.is_dark = True
        self.light.clear()
        self.group.record.write(self.name, "goes dark")

    def return_from_dark(self):
        """Ends the silence."""
        self.is_dark = False
        self.light.set()
        self.group.record.write(self.name, f"is back ({self.role}, term {self.term})")
        self.group.on_contact(self)

    def crash(self):
        """Ends the member for good."""
        self.is_gone = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.group.record.write(self.name, "crashes")

    def position(self):
        term, number = self.log[-1][:2] if self.log else (1, 0)
        return f"{term}.{number}"

    def position_pair(self):
        return self.log[-1][:2] if self.log else (1, 0)

    async def serve(self, reader, writer):
        await self.light.wait()
        self.writers.add(writer)
        connection = None
        try:
            await asyncio.sleep(HANDSHAKE_S)
            words = (await reader.readline()).decode().strip().split(" ")
            if len(words) < 3 or words[1] != self.group.service or (
                    len(words) > 3 and words[3] != self.name):
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            connection = Connection(words[2])
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = await reader.readline()
                await self.light.wait()
                if not line or line.startswith(b"TERM"):
                    return
                _, query_id, text = line.decode().rstrip("\r\n").split(" ", 2)
                rows, result = await self.run(connection, query_id, text)
                await self.light.wait()
                state = "I" if connection.begin_id is None else "E" if connection.has_failed else "T"
                lines = [f"DATA {row}" for row in rows] + [result, f"READY {state} {self.position()}"]
                writer.write("".join(f"{one}\r\n" for one in lines).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if connection and connection.begin_id:
                self.group.record.write(
                    self.name, f"connection {connection.number} closed, rolls back {connection.begin_id}")
            self.writers.discard(writer)
            writer.close()

    def mac(self):
        return f"COMPLETE {self.term}.{self.group.next_mac()}"

    async def run(self, connection, query_id, text):
        """Runs one statement. Returns its rows and the last line before READY."""
        verb, _, rest = text.partition(" ")
        if verb == "SYNCPOS":
            floor, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
            term, number = floor.split(".")
            if self.position_pair() < (int(term), int(number)):
                return [], "ERROR LAGGING -"
        if verb == "STATUS":
            held = len(self.writers)
            return [f"{self.role} {self.term} {self.position()} {self.term} 0 0 {held}"], "COMPLETE -"
        if verb == "STEPDOWN":
            self.group.record.write(self.name, f"STEPDOWN {rest}")
            self.group.step_down(self, int(rest))
            return [f"{self.role} {self.term} {self.position()} {self.term} 0 0 0"], "COMPLETE -"
        if verb == "RESET":
            connection.prepared.clear()
            return [], "COMPLETE -"
        if verb in ("SET", "DEALLOC"):
            return [], "COMPLETE -"
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            connection.prepared[name] = (access, shape)
            return [], "COMPLETE -"
        if verb == "ROLLBACK":
            self.note(connection, query_id, text)
            connection.begin_id, connection.has_failed, connection.writes = None, False, []
            return [], "COMPLETE -"
        if connection.has_failed and verb != "COMMIT":
            return [], "ERROR MALFORMED -"
        if verb == "BEGIN":
            if rest != "FETCH" and self.role != "primary":
                return [], f"ERROR READONLY {self.name}"
            connection.begin_id, connection.is_read_only = query_id, rest == "FETCH"
            connection.writes = []
            self.note(connection, query_id, text)
            return [], "COMPLETE -"
        is_plain = connection.begin_id is not None and not connection.is_read_only
        is_write = verb == "STORE" or (
            verb == "EXECUTE" and connection.prepared.get(rest.split(" ")[0], ("", ""))[0] == "STORE")
        commits_write = verb == "COMMIT" and connection.writes
        if self.role != "primary" and (is_write or commits_write or (is_plain and verb != "COMMIT")):
            connection.has_failed = connection.begin_id is not None
            return [], f"ERROR READONLY {self.name}"
        await asyncio.sleep(self.work_s)
        await self.light.wait()
        if self.role != "primary" and (is_write or commits_write):
            connection.has_failed = connection.begin_id is not None
            return [], f"ERROR READONLY {self.name}"
        self.note(connection, query_id, text)
        if is_write:
            if connection.begin_id:
                connection.writes.append((query_id, text))
                return [], self.mac()
            await self.commit(query_id, [(query_id, text)])
            return [], self.mac()
        if verb == "COMMIT":
            writes, begin_id = connection.writes, connection.begin_id
            connection.begin_id, connection.has_failed, connection.writes = None, False, []
            if writes:
                await self.commit(f"{begin_id}/{query_id}", writes)
            return [], self.mac()
        return [f"row-of-{rest.replace(' ', '-')}"], self.mac()

    def note(self, connection, query_id, text):
        self.group.runs.append((self.name, connection.number, connection.begin_id, query_id, text,
                                connection.tenant, self.position_pair()))
        self.group.record.write(
            self.name, f"runs {query_id} {text} (connection {connection.number} of "
            f"{connection.tenant}, transaction {connection.begin_id or '-'})")

    async def commit(self, who, writes):
        _, number = self.position_pair()
        entry = (self.term, number + 1, who, [query_id for query_id, _ in writes])
        self.log.append(entry)
        self.group.record.write(self.name, f"commits {who} at {entry[0]}.{entry[1]}")
        self.group.commits.append((time.monotonic(), self.name, entry))
        received = [self.group.replicate(self, other) for other in self.group.members if other is not self]
        if self.group.sync_replicas:
            waiting = [asyncio.ensure_future(one) for one in received]
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            while not any(task.result() for task in done if not task.cancelled()):
                rest = [task for task in waiting if task not in done]
                if not rest:
                    await asyncio.Event().wait()
                more, _ = await asyncio.wait(rest, return_when=asyncio.FIRST_COMPLETED)
                done |= more
        else:
            for one in received:
                asyncio.ensure_future(one)


class Group:
    """The members of one service, and their replication."""

    def __init__(self, record, store, service, sync_replicas=0, promote_s=0.3):
        self.record = record
        self.store = store
        self.service = service
        self.sync_replicas = sync_replicas
        self.promote_s = promote_s
        self.members = []
        self.leader = None
        self.runs = []
        self.commits = []
        self.promotes = []
        self.apart = set()
        self.macs = itertools.count(1)

    def next_mac(self):
        return f"{next(self.macs):x}.90e1c4d2"

    async def add(self, name, role, zone):
        member = Member(self, name, role, zone)
        self.members.append(member)
        if role == "primary":
            self.leader = member
        await member.start()
        return member

    def member(self, name):
        return next((one for one in self.members if one.name == name), None)

    async def replicate(self, source, target):
        """Brings a replica up to date after a short delay. Returns whether it received the log."""
        await asyncio.sleep(LAG_S)
        while target.is_deaf or target.is_dark or not self.are_connected(source, target):
            await asyncio.sleep(0.02)
        if target.is_gone or source.is_gone or target.role != "replica" or target.term != source.term:
            return False
        if source.role == "primary" and len(source.log) > len(target.log):
            target.log = list(source.log)
        return True

    def promote(self, member):
        """Makes a member the primary of the next term, with the log that it has."""
        term = max(one.term for one in self.members) + 1
        former = self.leader
        member.role, member.term = "primary", term
        self.leader = member
        member.beat()
        self.promotes.append((time.monotonic(), member.name, term, list(member.log), former.name))
        self.record.write(member.name, f"leads term {term} from {member.position()}; before: {former.name}")
        for other in self.members:
            if other is not member:
                self.on_contact(other)

    def are_connected(self, one, other):
        """Returns whether no partition lies between two members."""
        return (one.name in self.apart) == (other.name in self.apart)

    def partition(self, members):
        """Cuts some members off from the others. Without members, it ends the partition."""
        self.apart = {member.name for member in members}
        self.record.write("network", f"members apart: {', '.join(sorted(self.apart)) or 'none'}")
        for member in self.members:
            self.on_contact(member)

    def on_contact(self, member):
        """Lets a member follow the newest leader, at once if it is a replica, else a second later."""
        leader = self.leader
        if member.is_dark or member.is_gone or leader.is_dark or leader.is_gone:
            return
        if not self.are_connected(member, leader):
            return
        if member is leader:
            for other in self.members:
                if other is not leader and other.term < leader.term:
                    self.on_contact(other)
            return
        if member.role == "replica":
            self.follow(member)
        else:
            asyncio.get_running_loop().call_later(SECOND_AFTER_CONTACT_S, self.follow, member)

    def follow(self, member):
        leader = self.leader
        if member is leader or member.is_dark or member.is_gone or leader.is_dark or leader.is_gone:
            return
        if member.term >= leader.term or not self.are_connected(member, leader):
            return
        if member.role == "primary":
            self.record.write(member.name, f"becomes a replica of term {leader.term}")
        member.role, member.term = "replica", leader.term
        if not member.is_deaf:
            member.log = list(leader.log)
        member.beat()

    def step_down(self, member, term):
        if member.role == "primary" and member.term < term:
            self.follow(member)


class Duties:
    """The platform's calls that one node at a time makes: `POST /failover`."""

    def __init__(self, record, groups):
        self.record = record
        self.groups = groups
        self.port = None
        self.calls = []
        self.slow_until = 0.0

    async def start(self):
        self.server, self.port = await http.serve("127.0.0.1", self.handle)

    async def handle(self, method, path, _query, headers, body):
        if (method, path) != ("POST", "/failover"):
            return 404, {}
        call = json.loads(body)
        holder, token = headers["x-duty-holder"], int(headers["x-fence-token"])
        self.calls.append((time.monotonic(), holder, token, call["id"]))
        self.record.write("platform", f"/failover {call['id']} from {holder}, fence {token}")
        left = self.slow_until - time.monotonic()
        await asyncio.sleep(max(0.02, left))
        group = next(one for one in self.groups if one.service == call["service"])
        member = group.member(call["id"])
        if member is None or member.is_gone or member.is_dark:
            self.record.write("platform", f"answers 409 for {call['id']}")
            return 409, {}
        if member is not group.leader:
            asyncio.get_running_loop().call_later(group.promote_s, self.carry_out, group, member)
        return 200, {}

    def carry_out(self, group, member):
        if member is not group.leader and not member.is_gone and not member.is_dark:
            group.promote(member)

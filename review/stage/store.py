"""Stand-in for the platform's store: rows in tables, with conditional transactions."""

import asyncio
import base64
import json
import time

from stage import http

READ_S = 0.004
TRANSACTION_S = 0.008


class Store:
    """The platform's store. `slowness` multiplies the time of each answer."""

    def __init__(self):
        self.rows = {}
        self.dropped = {}
        self.version = 0
        self.slowness = 1.0
        self.port = None
        self.parts = {}
        self.views = []

    async def start(self):
        """Starts to serve."""
        self.server, self.port = await http.serve("127.0.0.1", self.handle)

    async def start_view(self, addresses):
        """Serves one daemon, which sees other addresses of the members. Returns the port."""

        async def handle(method, path, query, headers, body):
            status, value = await self.handle(method, path, query, headers, body)
            if query.get("table") == "servers":
                for row in value["rows"]:
                    entry = json.loads(base64.b64decode(row["value"]))
                    entry["address"] = addresses.get(row["key"], entry["address"])
                    row["value"] = base64.b64encode(json.dumps(entry).encode()).decode()
            return status, value

        server, port = await http.serve("127.0.0.1", handle)
        self.views.append(server)
        return port

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or a member does."""
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, part, key)] = (text, self.version)
        self.dropped.pop((table, part, key), None)

    def drop(self, table, key, part=""):
        """Drops a row."""
        self.version += 1
        if self.rows.pop((table, part, key), None):
            self.dropped[(table, part, key)] = self.version

    def decoded(self, table):
        """Returns the rows of a table by key."""
        found = {}
        for (name, _, key), (text, version) in self.rows.items():
            if name == table:
                found[key] = (json.loads(base64.b64decode(text)), version)
        return found

    def tail(self):
        return {"schemaVersion": self.version, "nowMs": time.monotonic() * 1_000}

    def row(self, place):
        table, part, key = place
        text, version = self.rows[place]
        return {"table": table, "part": part, "key": key, "value": text, "schemaVersion": version}

    async def handle(self, method, path, query, _headers, body):
        if path == "/-/rows-tx" and method == "POST":
            call = json.loads(body)
            part = (call.get("expect") or call.get("upsertRows") or [{}])[0].get("part", "")
            lock = self.parts.setdefault(part, asyncio.Lock())
            async with lock:
                await asyncio.sleep(TRANSACTION_S * self.slowness)
                return self.transact(call)
        await asyncio.sleep(READ_S * self.slowness)
        if path == "/-/rows-get":
            table, part, start = query["table"], query.get("part", ""), query.get("from", "")
            places = sorted(p for p in self.rows if p[0] == table and p[1] == part and p[2] >= start)
            return 200, {"rows": [self.row(p) for p in places], "hasMore": False} | self.tail()
        if path == "/-/rows-parts":
            parts = sorted({p[1] for p in self.rows if p[0] == query["table"]})
            after = query.get("after", "")
            return 200, {"parts": [p for p in parts if p > after], "hasMore": False} | self.tail()
        if path == "/-/rows-feed":
            after = int(query["after"])
            places = [p for p, (_, v) in self.rows.items() if p[0] == query["table"] and v > after]
            rows = [self.row(p) for p in sorted(places, key=lambda p: self.rows[p][1])]
            return 200, {"rows": rows} | self.tail()
        return 404, {}

    def transact(self, call):
        for expected in call.get("expect", []):
            place = (expected["table"], expected.get("part", ""), expected["key"])
            if self.rows.get(place, ("", 0))[1] != expected["schemaVersion"]:
                wanted = [(e["table"], e.get("part", ""), e["key"]) for e in call["expect"]]
                rows = [self.row(p) for p in wanted if p in self.rows]
                return 412, {"rows": rows} | self.tail()
        self.version += 1
        for row in call.get("upsertRows", []):
            place = (row["table"], row.get("part", ""), row["key"])
            self.rows[place] = (row["value"], self.version)
        for row in call.get("deleteKeys", []):
            self.rows.pop((row["table"], row.get("part", ""), row["key"]), None)
        return 200, self.tail()

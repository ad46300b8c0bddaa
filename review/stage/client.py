"""A client of the wire protocol."""

import asyncio
import itertools


class Reply:
    """The complete answer to one query."""

    def __init__(self, rows, result, state, position):
        self.rows, self.result, self.state, self.position = rows, result, state, position

    @property
    def is_success(self):
        return self.result.startswith("COMPLETE")


class Client:
    """One session."""

    numbers = itertools.count(1)

    def __init__(self, record, name, port, database, key):
        self.record, self.name, self.port = record, name, port
        self.database, self.key = database, key
        self.state = "-"
        self.sent = []

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(f"STARTUP {self.database} {self.key}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readline(), 2)).decode().strip()
        if not line.startswith("READY"):
            raise ConnectionError(line or "closed")
        return self

    async def query(self, text, wait_s=10.0):
        """Sends a query and reads its answer. Returns `None` if the connection ends before it."""
        query_id = f"{self.name}-{next(self.numbers)}"
        self.sent.append((query_id, text))
        self.record.write(self.name, f"sends {query_id} {text}")
        rows, result = [], None
        try:
            self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
            await self.writer.drain()
            while True:
                line = await asyncio.wait_for(self.reader.readline(), wait_s)
                word, _, rest = line.decode().rstrip("\r\n").partition(" ")
                if not line:
                    self.record.write(self.name, f"connection ended, {query_id}: {result}")
                    return None
                if word == "DATA":
                    rows.append(rest)
                elif word == "READY":
                    state, _, position = rest.partition(" ")
                    self.state = state
                    self.record.write(self.name, f"gets {query_id} {result} READY {rest}")
                    return Reply(rows, result, state, position)
                else:
                    result = f"{word} {rest}"
        except (ConnectionError, asyncio.TimeoutError) as error:
            self.record.write(self.name, f"no answer, {query_id}: {error!r}")
            return None

    @property
    def last_id(self):
        return self.sent[-1][0]

    def close(self):
        self.writer.close()

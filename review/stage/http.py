"""A small HTTP/1.1 server for the stand-ins of the platform."""

import asyncio
import json
import urllib.parse


async def read_request(reader):
    """Reads a request. Returns method, path, query, headers and body, or `None` at the end."""
    head = await reader.readline()
    if not head:
        return None
    method, target, _ = head.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
    return method, url.path, query, headers, body


def response(status, value):
    """Encodes a response with a JSON body."""
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def serve(host, handler):
    """Serves requests at a free port. `handler` returns a status and a JSON value. Returns the port."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, value = await handler(*request)
                writer.write(response(status, value))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, 0)
    return server, server.sockets[0].getsockname()[1]

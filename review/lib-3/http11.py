"""HTTP/1.1 over asyncio: a server for stand-ins and a client connection."""
import asyncio
import json


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns the start line, the headers and the body of one message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return lines[0], headers, await reader.readexactly(length) if length else b""


def response(status, body, content_type="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(address, handler):
    """Serves HTTP at (host, port). The handler returns the response bytes."""

    async def connected(reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                writer.write(await handler(Request(method, target, headers,
                                                   body)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, *address)


async def call(address, method, target, body=None, headers=(), timeout=2.0):
    """One request on a new connection. Returns (status, body); the status is 0
    after no response or a broken connection."""
    data = b"" if body is None else json.dumps(body).encode()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Content-Type: application/json",
                  f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        start, _, answer = await read_message(reader)
        return int(start.split(" ")[1]), answer.decode("utf-8", "replace")

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
        return 0, ""
    finally:
        if writer:
            writer.close()

"""HTTP/1.1 server and client of the review's stand-ins, on asyncio streams."""
import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)


async def read_message(reader):
    """Start line, headers and body of one message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def response(status, body=b"", content_type="application/json"):
    return (f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(host, port, handler):
    """The handler returns the bytes of a response, or None for no answer."""
    writers = set()

    async def connected(reader, writer):
        writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                answer = await handler(Request(method, target, headers, body))
                if answer is None:
                    while await reader.read(65536):
                        pass
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connected, host, port, backlog=1024)
    server.writers = writers
    return server


async def call(address, method, target, body=b"", headers=(), timeout=2.0):
    """One request on a new connection: (status, headers, body), or None after
    no answer or a broken connection."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            if not any(n == "Host" for n, _ in headers):
                lines.append(f"Host: {address[0]}")
            lines += [f"{n}: {v}" for n, v in headers]
            if body:
                lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(body)}\r\n\r\n")
            writer.write("\r\n".join(lines).encode() + body)
            start, answer_headers, answer = await read_message(reader)
            return int(start.split(" ")[1]), answer_headers, answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError,
            ValueError):
        return None

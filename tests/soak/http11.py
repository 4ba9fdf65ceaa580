"""A small HTTP/1.1 server and client connection for the soak's stand-ins."""
import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)


async def read_message(reader):
    """Start line, headers and body, or None at the end of the stream."""
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
    """Handler returns response bytes, or None to leave the caller waiting.

    The result has the open connections in `writers`, so that a crash can break
    them.
    """
    writers = set()

    async def connected(reader, writer):
        writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                answer = await handler(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(20)
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connected, host, port)
    server.writers = writers
    return server


async def call(address, method, target, body=b"", headers=(), timeout=2.0):
    """One request on a new connection: (status, body), or None."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {target} HTTP/1.1\r\n"
            if not any(n == "Host" for n, _ in headers):
                head += f"Host: {address[0]}\r\n"
            head += "".join(f"{n}: {v}\r\n" for n, v in headers)
            writer.write((head + f"Content-Length: {len(body)}\r\n\r\n")
                         .encode() + body)
            start, _, answer = await read_message(reader)
            return int(start.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError,
            ValueError):
        return None

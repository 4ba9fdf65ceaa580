"""Crowds of clients that don't behave. Each case leaves its connections open
while an ordinary caller must still be answered, unless it says otherwise."""
import asyncio
import base64
import json
import os
import socket
import struct

from fleet import Failure, Fleet, now

CASES = {}
MB = 1 << 20


def case(*roles, descriptors=1000):
    """Registers a case, which gets a fleet of these roles."""
    def register(function):
        CASES[function.__name__] = (function, roles, descriptors)
        return function
    return register


DISPATCH = ("dispatch-entry", "dispatch-agent")


class Client:
    """One connection. It reads nothing unless told to."""

    def __init__(self, address, receive_bytes=None):
        self.address, self.receive_bytes = address, receive_bytes
        self.socket = None

    async def connect(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if self.receive_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                   self.receive_bytes)
            # Small segments keep the send buffer of the peer small as well.
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(
                loop.sock_connect(self.socket, self.address), 3)
        except (OSError, asyncio.TimeoutError):
            pass
        return self

    async def send(self, data, within_s=10.0):
        """Sends until all is sent, the time is over or the peer has closed."""
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(loop.sock_sendall(self.socket, data),
                                   within_s)
            return True
        except (OSError, asyncio.TimeoutError):
            return False

    async def send_endless(self, piece, total):
        """Sends piece after piece until total bytes or the connection ends."""
        for _ in range(total // len(piece)):
            if not await self.send(piece):
                return

    async def receive(self, size, within_s=5.0):
        loop = asyncio.get_running_loop()
        try:
            return await asyncio.wait_for(
                loop.sock_recv(self.socket, size), within_s)
        except (OSError, asyncio.TimeoutError):
            return b""

    def close(self):
        self.socket.close()


async def crowd(address, count, behave, receive_bytes=None):
    """Connects count clients, which then all behave at the same time."""
    clients = [Client(address, receive_bytes) for _ in range(count)]
    for client in clients:
        await client.connect()
    await asyncio.gather(*(behave(c, i) for i, c in enumerate(clients)))
    return clients


def post_head(number, fields):
    return (f"POST /q0/{number:016x} HTTP/1.1\r\nHost: h\r\n"
            f"X-Deadline-Ms: 60000\r\n{fields}").encode()


def job(number, spec="60000 x", **fields):
    """A complete request for a job that waits while the worker is busy.

    It needs memory only: the expected wait, which could have it refused, is
    that for processors.
    """
    step = {"count": 1, "memMb": Fleet.WORKER_MEMORY_MB, "estRuntimeMs": 60000}
    step.update(fields)
    body = json.dumps({"spec": spec, "bestEffort": True,
                       "steps": [step]}).encode()
    return post_head(number, f"Content-Length: {len(body)}\r\n\r\n") + body


async def occupy_worker(fleet):
    """Has a job of a minute take all of the worker's memory."""
    clients = await crowd(fleet.address("callers"), 1,
                          lambda c, i: c.send(job(1)))
    while not fleet.worker.running:
        fleet.check_alive()
        await asyncio.sleep(0.05)
    return clients


# Guards against trailers that no limit counts: the process ran out of memory.
@case(*DISPATCH)
async def trailers_without_end(fleet, listener="callers"):
    async def behave(client, i):
        await client.send(post_head(1000 + i, "Transfer-Encoding: chunked\r\n"
                                    "\r\n1\r\nx\r\n0\r\n"))
        await client.send_endless(b"X-Field: " + b"v" * 1000 + b"\r\n", 8 * MB)
    return await crowd(fleet.address(listener), 20, behave)


# Guards against a chunk extension that is buffered until its line ends.
@case(*DISPATCH)
async def chunk_extension_without_end(fleet, listener="callers"):
    async def behave(client, i):
        await client.send(post_head(1000 + i, "Transfer-Encoding: chunked\r\n"
                                    "\r\n1;x="))
        await client.send_endless(b"v" * 65536, 8 * MB)
    return await crowd(fleet.address(listener), 20, behave)


# Guards against bodies that are each within the limit and together are not.
@case(*DISPATCH)
async def unfinished_bodies(fleet):
    async def behave(client, i):
        await client.send(post_head(1000 + i, "Content-Length: 262144\r\n\r\n")
                          + b"x" * 250000)
    return await crowd(fleet.address("callers"), 400, behave)


# Guards against many short header fields, each of which takes a hundred bytes.
@case(*DISPATCH)
async def unfinished_requests_of_many_fields(fleet):
    async def behave(client, i):
        await client.send(post_head(1000 + i, "Content-Length: 100\r\n" +
                                    "a:\r\n" * 4000 + "\r\n"))
    return await crowd(fleet.address("callers"), 300, behave)


# Guards against waiting jobs that hold texts beyond the limit of a job's text.
@case(*DISPATCH)
async def waiting_jobs_of_long_text(fleet):
    busy = await occupy_worker(fleet)

    async def behave(client, i):
        await client.send(job(1000 + i, "60000 " + "x" * 250000))
    clients = await crowd(fleet.address("callers"), 400, behave)
    await asyncio.sleep(1)
    fleet.check_bounds()
    for client in clients + busy:
        client.close()
    return []


# Guards against short requests that turn into jobs of hundreds of kilobytes.
@case(*DISPATCH)
async def waiting_jobs_of_many_tasks(fleet):
    busy = await occupy_worker(fleet)

    async def behave(client, i):
        await client.send(job(1000 + i, count=1700))
    clients = await crowd(fleet.address("callers"), 500, behave)
    await asyncio.sleep(1)
    fleet.check_bounds()
    for client in clients + busy:
        client.close()
    return []


# Guards against callers of one and the same job that take all connections.
@case(*DISPATCH, descriptors=200)
async def connections_on_one_job(fleet):
    running = job(1000, cpu=1000, memMb=10)
    return await crowd(fleet.address("callers"), 250,
                       lambda c, i: c.send(running))


# Guards against bytes that are read and kept behind a pending reply.
@case(*DISPATCH)
async def requests_behind_pending_replies(fleet):
    busy = await occupy_worker(fleet)

    async def behave(client, i):
        await client.send(job(1000 + i) + b"x" * 100000, within_s=3)
    clients = await crowd(fleet.address("callers"), 900, behave)
    await asyncio.sleep(1)
    fleet.check_bounds()
    for client in clients + busy:
        client.close()
    return []


# Guards against connections that are kept and send nothing.
@case(*DISPATCH, descriptors=200)
async def idle_connections(fleet, listener="callers"):
    async def behave(client, i):
        pass
    return await crowd(fleet.address(listener), 300, behave)


# Guards against headers that come byte by byte, on connections that are opened
# again when they are closed.
@case(*DISPATCH, descriptors=200)
async def slow_headers(fleet, listener="callers"):
    stopping = False

    async def keep_sending(number):
        while not stopping:
            client = await Client(fleet.address(listener)).connect()
            for byte in post_head(number, "X-Field: " + "v" * 1000):
                if stopping or not await client.send(bytes([byte])):
                    break
                await asyncio.sleep(0.2)
            client.close()
            await asyncio.sleep(1)
    tasks = [asyncio.ensure_future(keep_sending(i)) for i in range(1000)]
    await asyncio.sleep(3)
    try:
        await fleet.check_answered()
    finally:
        stopping = True
        await asyncio.gather(*tasks)
    return []


async def send_requests_unread(fleet, listener, request, count):
    """Pipelines requests until the peer takes no more, and reads no answer."""
    async def behave(client, i):
        for _ in range(200):
            if not await client.send(request * 100, within_s=1):
                return
    return await crowd(fleet.address(listener), count, behave, 2048)


# Guards against answers that nobody reads, which held their connections.
@case(*DISPATCH, descriptors=200)
async def unread_answers(fleet):
    return await send_requests_unread(
        fleet, "callers", b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n", 250)


# Guards against answers that nobody reads and that the kernel keeps: its buffer
# of one connection grows to megabytes.
@case(*DISPATCH)
async def unread_answers_in_kernel(fleet):
    async def behave(client, i):
        request = b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n" * 500
        for _ in range(50):
            if not await client.send(request, within_s=2):
                return
    clients = await crowd(fleet.address("callers"), 40, behave)
    # What the clients have sent is answered, as far as there is room.
    queued = -2
    while fleet.queued_mb() > queued + 1:
        queued = fleet.queued_mb()
        await asyncio.sleep(1)
    return clients


# Guards against bytes that are lost if they arrive in two parts while a reply
# is pending: the second request was read with bytes of its own header as body.
@case(*DISPATCH)
async def pipelined_request(fleet):
    client = await Client(fleet.address("callers")).connect()
    second = job(1001, "10 x")
    head_end = second.index(b"\r\n\r\n") + 4
    await client.send(job(1000, "500 x"))
    await asyncio.sleep(0.1)
    await client.send(second[:head_end])
    answers = await client.receive(65536)
    await asyncio.sleep(0.1)
    await client.send(second[head_end:])
    answers += await client.receive(65536)
    if answers.count(b'"completed"') != 2:
        raise Failure(f"not both jobs are completed: {answers}")
    return [client]


# Guards against a write of "100 Continue" that waits for the client, and with
# it the whole process.
@case(*DISPATCH)
async def unread_continue_responses(fleet):
    async def behave(client, i):
        # Each connection begins with another number of responses, so that the
        # buffers are full at different points of a request.
        await client.send(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n" * i)
        request = post_head(1000 + i, "Expect: 100-continue\r\n"
                            "Content-Length: 2\r\n\r\n")
        for _ in range(800):
            # The pause lets the server read the request without its body.
            for part in (request, b"{}"):
                if not await client.send(part, within_s=1):
                    return
                await asyncio.sleep(0.005)
    return await crowd(fleet.address("callers"), 40, behave, 2048)


# Guards against connections to the peer listener that hold all descriptors.
@case(*DISPATCH, descriptors=200)
async def slow_handshakes(fleet):
    return await slow_headers(fleet, "peers")


# Guards against bodies of tens of megabytes in the handshake of a peer.
@case(*DISPATCH)
async def handshakes_with_bodies(fleet):
    async def behave(client, i):
        await client.send(b"POST /link HTTP/1.1\r\nHost: h\r\n"
                          b"Content-Length: 30000000\r\n\r\n")
        await client.send_endless(b"x" * 65536, 29 * MB)
    return await crowd(fleet.address("peers"), 8, behave)


async def open_websocket(client):
    key = base64.b64encode(os.urandom(16))
    await client.send(b"GET /link HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
                      b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                      b"Sec-WebSocket-Key: " + key + b"\r\n\r\n")
    head = b""
    while b"\r\n\r\n" not in head:
        part = await client.receive(1)
        if not part:
            return False
        head += part
    return True


# Guards against pings whose pongs are queued without a bound.
@case(*DISPATCH)
async def unread_pongs(fleet):
    ping = b"\x89\xfd\0\0\0\0" + b"p" * 125

    async def behave(client, i):
        if await open_websocket(client):
            await client.send_endless(ping * 500, 32 * MB)
    return await crowd(fleet.address("peers"), 20, behave, 2048)


# Guards against frames that are each within the limit and together are not.
@case(*DISPATCH)
async def unfinished_frames(fleet):
    async def behave(client, i):
        if await open_websocket(client):
            await client.send(b"\x82\xff" + struct.pack(">Q", 2000000) +
                              b"\0\0\0\0")
            await client.send_endless(b"x" * 65536, 1900000)
    return await crowd(fleet.address("peers"), 100, behave)


# Guards against a load balancer that finds no connection for its check.
@case(*DISPATCH)
async def idle_connections_to_readiness(fleet):
    clients = await crowd(fleet.address("ready"), 80,
                          lambda c, i: asyncio.sleep(0))
    await fleet.check_get("ready", "/ready")
    return clients


# Guards against metrics that nobody reads, which held all connections.
@case(*DISPATCH)
async def unread_metrics(fleet):
    clients = await send_requests_unread(
        fleet, "metrics", b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 40)
    await fleet.check_get("metrics", "/metrics")
    return clients


# Guards against connections that keep the worker's heartbeats out.
@case(*DISPATCH)
async def idle_connections_to_agent(fleet):
    clients = await crowd(fleet.address("agent"), 150,
                          lambda c, i: asyncio.sleep(0))
    await fleet.check_get("agent", "/", status=400)
    return clients


# Guards against log lines that are as long as a request.
@case(*DISPATCH)
async def long_names_in_log(fleet):
    async def behave(client, i):
        body = json.dumps({"spec": "x", "bestEffort": True, "steps": [{}],
                           "f" * 200000: 1}).encode()
        await client.send(f"GET /{'p' * 15000} HTTP/1.1\r\nHost: h\r\n\r\n"
                          .encode())
        await client.send(post_head(
            1000 + i, f"Content-Length: {len(body)}\r\n\r\n") + body)
        await client.receive(65536)
    clients = await crowd(fleet.address("callers"), 20, behave)
    await asyncio.sleep(1)
    longest = max(map(len, fleet.processes["dispatch-entry"].log()
                      .splitlines()))
    if longest > 4096:
        raise Failure(f"a log line has {longest} characters")
    return clients


# Guards against trailers of an endpoint's answer that no limit counts.
@case(*DISPATCH)
async def trailers_of_endpoint_without_end(fleet):
    fleet.worker.server.close()
    for writer in list(fleet.worker.server.writers):
        writer.transport.abort()

    async def answer(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         b"\r\n1\r\nx\r\n0\r\n")
            for _ in range(64 * 1024):
                writer.write(b"X-Field: " + b"v" * 1000 + b"\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(answer, *fleet.address("worker"))
    await asyncio.sleep(5)
    fleet.check_bounds()
    server.close()
    fleet.worker.alive = False
    await asyncio.sleep(0.5)
    await fleet.worker.start_incarnation()
    return []


# The same faults at the listeners of the role "entry".
@case("entry")
async def entry_trailers_without_end(fleet):
    return await trailers_without_end(fleet)


@case("entry")
async def entry_unfinished_bodies(fleet):
    async def behave(client, i):
        await client.send(b"POST /v1/jobs HTTP/1.1\r\nHost: h\r\n"
                          b"Content-Length: 4000000\r\n\r\n")
        await client.send_endless(b"x" * 65536, 3900000)
    return await crowd(fleet.address("callers"), 30, behave)


# Guards against waiting jobs whose callers are gone, so that their bytes count
# for no connection any more. Each is of a kind of its own: a second one of a kind
# without endpoints is refused.
@case("entry")
async def entry_waiting_jobs_of_gone_callers(fleet):
    token = json.loads(await fleet.get("callers", "/v1/token"))["token"]

    async def submit_and_leave(client, i):
        body = json.dumps({"token": token, "key": f"k{i}", "service": "service",
                           "kind": f"kind{i}", "tasks": [
                               {"id": "t", "payload": "x" * 3900000}]}).encode()
        await client.send(
            f"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nChivelanding-Team: team\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        while entry.log().count(f"/k{i}\"") == 0:
            entry.check_alive()
            await asyncio.sleep(0.02)
        client.close()
    entry = fleet.processes["entry"]
    for number in range(30):
        client = await Client(fleet.address("callers")).connect()
        await submit_and_leave(client, number)
    return []


@case("entry", descriptors=200)
async def entry_idle_connections(fleet):
    return await idle_connections(fleet)


@case("entry", descriptors=200)
async def entry_idle_admin_connections(fleet):
    clients = await idle_connections(fleet, "admin")
    await fleet.check_get("admin", "/healthz")
    return clients


async def run(name, binary):
    """Runs one case; returns what the processes held. Raises Failure."""
    function, roles, descriptors = CASES[name]
    fleet = Fleet(binary, roles, descriptors)
    try:
        await fleet.start()
        clients = await function(fleet)
        if "dispatch-entry" in roles:
            await fleet.check_answered()
        else:
            await fleet.check_get("callers", "/healthz")
        figures = fleet.check_bounds()
        for client in clients:
            client.close()
        fleet.check_alive()
        return figures
    finally:
        fleet.stop()

"""Links between the programs that can be cut: every connection to the peer
listener of an entry passes a proxy, which knows the program that opened it."""
import asyncio
import os

import fleet
from fleet import PORT_RANGE


def socket_inode(port):
    """Inode of the local socket that is bound to this port of 127.0.0.1 or of
    another loopback address and is connected."""
    with open("/proc/net/tcp", encoding="ascii") as f:
        next(f)
        for line in f:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == port and fields[3] == "01":
                yield fields[9]


def owner(port, processes):
    """The process of the fleet that opened the connection from this port."""
    inodes = {f"socket:[{i}]" for i in socket_inode(port)}
    for process in processes:
        folder = f"/proc/{process.child.pid}/fd"
        try:
            for name in os.listdir(folder):
                if os.readlink(f"{folder}/{name}") in inodes:
                    return process.name
        except OSError:
            continue
    return ""


class LinkProxy:
    """Stands in front of the peer listener of one entry."""

    def __init__(self, links, name, listen, target):
        self.links, self.name = links, name
        self.listen, self.target = listen, target

    async def start(self):
        await asyncio.start_server(self.connected, *self.listen, backlog=256)

    async def connected(self, reader, writer):
        port = writer.get_extra_info("peername")[1]
        ends = {self.name, owner(port, self.links.processes())}
        await self.links.wait_open(ends)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, far_writer, ends),
                             self.pump(far_reader, writer, ends))

    async def pump(self, reader, writer, ends):
        try:
            while True:
                data = await reader.read(65536)
                await self.links.wait_open(ends)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Links:
    """All links of a fleet. A cut process neither sends nor receives anything
    on its links; its bytes are held up until the cut ends."""

    def __init__(self, deployment):
        self.fleet = deployment
        self.cut_off = set()

    def processes(self):
        return [p for p in self.fleet.entries + self.fleet.agents if p.child]

    async def wait_open(self, ends):
        while ends & self.cut_off:
            await asyncio.sleep(0.01)

    def cut(self, name):
        self.fleet.record.write(f"{name} is cut off from all other machines")
        self.cut_off.add(name)

    def heal(self, name):
        self.fleet.record.write(f"{name} is reached again")
        self.cut_off.discard(name)


class LinkedFleet(fleet.Fleet):
    """A fleet whose entries advertise the addresses of the proxies."""

    def proxy_ip(self, i):
        return f"127.{self.net}.4.{i + 1}"

    def process(self, role, ip, i):
        entry_ips = self.entry_ips
        self.entry_ips = [self.proxy_ip(k) for k in range(len(entry_ips))]
        process = super().process(role, ip, i)  # seeds are the proxies
        self.entry_ips = entry_ips
        if role == "entry":
            with open(process.path, "a", encoding="utf-8") as f:
                f.write(f'\npeer_advertise = "{self.proxy_ip(i)}:'
                        f'{PORT_RANGE[0]}"\n')
        return process

    async def start(self):
        self.links = Links(self)
        for i, ip in enumerate(self.entry_ips):
            await LinkProxy(self.links, f"entry-{i + 1}",
                            (self.proxy_ip(i), PORT_RANGE[0]),
                            (ip, PORT_RANGE[0])).start()
        await super().start()

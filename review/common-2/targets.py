"""Stand-in for a backend server: datagrams, a health check, and its registry entry."""

import asyncio
import random
import time

import packets
from packets import ACK, FIN, RST, SYN, Packet

FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 1.6
MAX_RETRIES = 8


class TargetFlow:
    """A flow at a target."""

    def __init__(self, packet, own_seq):
        self.echo = packet.echo
        self.opening = packet
        self.peer_next = packets.advance(packet.seq, 1)
        self.own_seq = own_seq
        self.own_next = packets.advance(own_seq, 1)
        self.open = False
        self.received = b""
        self.unacked = []
        self.closed = False


class Target(asyncio.DatagramProtocol):
    """One lifetime of a backend server."""

    def __init__(self, world, service, zone, host, name=""):
        self.world = world
        self.service = service
        self.zone = zone
        self.host = host
        self.name = name or f"i-{random.getrandbits(32):08x}"
        self.number = int(self.name.partition("-")[2], 16)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.flows = {}
        self.alive = False
        self._transport = None
        self._server = None
        self._tasks = set()

    @property
    def spec(self):
        """Its registry entry."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def start(self):
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(self._serve_health, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        address = (self.host, self.port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        self.alive = True
        self.world.store.put("servers", self.name, self.spec)
        self._spawn(self._check_in())

    async def stop(self):
        """End: the sockets close and the flows are gone."""
        self.alive = False
        for task in list(self._tasks):
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        self.flows.clear()

    def drain(self):
        """Report that it drains; return when the store acknowledged it."""
        self.state = "draining"
        return self.world.store.put("servers", self.name, self.spec)

    def datagram_received(self, data, _address):
        """Handle a datagram from a machine."""
        number, packet = int.from_bytes(data[:8], "big"), packets.decode(data[8:])
        if packet is None or number not in (0, self.number):
            return
        if not packet.is_genuine:
            self.world.record.add("forged packet at a target", target=self.name)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self._on_opening(key, packet)
            return
        flow = self.flows.get(key)
        if flow is not None and not flow.open:
            flow.open = packet.ack == flow.own_next
            if flow.open:
                self.world.record.opened(self, key)
        if flow is None or not flow.open:
            if not packet.flags & RST:
                self._reset(packet)
            return
        self._on_packet(key, flow, packet)

    def _on_opening(self, key, packet):
        flow = self.flows.get(key)
        if flow is None:
            flow = TargetFlow(packet, random.getrandbits(32))
            self.flows[key] = flow
            self.world.record.opening(self, key)
        flow.echo = packet.echo
        if not flow.open:
            self._send(flow, SYN | ACK, flow.own_seq)

    def _on_packet(self, key, flow, packet):
        flow.echo = packet.echo
        flow.unacked = [
            each
            for each in flow.unacked
            if packets.distance(packet.ack, packets.advance(each[0], len(each[1]))) < 0
        ]
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packets.distance(packet.seq, flow.peer_next) <= 0:
            known = packets.distance(flow.peer_next, packet.seq)
            flow.received += packet.data[known:]
            flow.peer_next = packets.advance(
                flow.peer_next, max(0, len(packet.data) - known)
            )
            self._send(flow, ACK, flow.own_next)
            self._read_requests(key, flow)
        if packet.flags & FIN:
            self._send(flow, ACK | FIN, flow.own_next)
            flow.closed = True
            del self.flows[key]

    def _read_requests(self, key, flow):
        while b"\r\n\r\n" in flow.received:
            head, _, rest = flow.received.partition(b"\r\n\r\n")
            fields = dict(
                line.split(": ", 1) for line in head.decode().split("\r\n")[1:]
            )
            size = int(fields.get("Content-Length", "0"))
            if len(rest) < size:
                return
            flow.received = rest[size:]
            self._spawn(self._work(key, flow, fields["X-Request-Id"]))

    async def _work(self, key, flow, request):
        self.world.record.ran(self, key, request)
        await asyncio.sleep(self.world.work_s)
        if self.flows.get(key) is not flow:
            return
        body = f"{request} ran at {self.name}\n".encode().ljust(600, b".")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        sent = (flow.own_next, data)
        flow.own_next = packets.advance(flow.own_next, len(data))
        flow.unacked.append(sent)
        pause_s = FIRST_RETRY_S
        for _ in range(MAX_RETRIES + 1):
            if sent not in flow.unacked or self.flows.get(key) is not flow:
                return
            self._send(flow, ACK, *sent)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_RETRY_S)

    def _send(self, flow, flags, seq, data=b""):
        first = flow.opening
        packet = Packet(
            *(flow.echo, 0, seq, flow.peer_next),
            *(first.dst, first.dport, first.sport, first.src, flags, data),
        )
        self._send_to_client(packet)

    def _reset(self, packet):
        answer = Packet(
            *(packet.echo, 0, packet.ack, packet.seq),
            *(packet.dst, packet.dport, packet.sport, packet.src, RST),
        )
        self._send_to_client(answer)

    def _send_to_client(self, packet):
        address = (packets.to_text(packet.dst), self.world.data_port)
        self._transport.sendto(packets.encode(packet), address)

    async def _check_in(self):
        while True:
            await asyncio.sleep(self.world.heartbeat_s)
            self.sequence += 1
            self.world.store.refresh("servers", self.name, self.spec)

    async def _serve_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = 200 if self.state == "ready" else 503
            body = b'{"born":%d}' % self.born
            writer.write(
                b"HTTP/1.1 %d X\r\nX-Instance-Id: %b\r\nX-Server-Load: 0,0,2\r\n"
                b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                % (status, self.name.encode(), len(body), body)
            )
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

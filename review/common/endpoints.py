"""Targets, clients and the routers between clients and machines."""

import asyncio
import random
import time
import zlib
from dataclasses import dataclass, field

from common.packets import ACK, FIN, RST, SYN, Packet, decode, encode, is_genuine

__all__ = ["Client", "Flow", "Outcome", "Router", "Target"]

REPEAT_S = 0.2
MAX_REPEAT_S = 1.6
SYN_COPIES_S = (0.0, 0.2, 0.6)
OPEN_LIMIT_S = 1.4
PROBE_PERIOD_S = 0.5
SLOTS, QUEUE = 2, 8
"""Requests that a target processes concurrently, and further ones that it queues."""
PACKET_BYTES = 1200
ANSWER_BYTES = 600


def quick_work(_request):
    """Return work and answer size of a request: 20 ms and one packet."""
    return 0.02, ANSWER_BYTES


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_packet):
        self._on_packet = on_packet

    def datagram_received(self, data, address):
        self._on_packet(data, address)

    def error_received(self, error):
        """Ignore refused datagrams: a machine may be down."""


async def _open_datagrams(host, port, on_packet):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(on_packet), local_addr=(host, port)
    )
    return transport


@dataclass
class _TargetFlow:
    seq: int
    opened: bool = False
    received: int = 0
    answered: dict = field(default_factory=dict)


class Target:
    """Target that answers requests, and health checks over TCP at its address.

    Each datagram begins with the number of the target for which it is meant, or 0.
    """

    slot_count, queue_size = SLOTS, QUEUE
    work = staticmethod(quick_work)
    """Returns the time that a request takes, in seconds, and its answer's size."""

    def __init__(self, world, name, service, zone, host, port):
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.host, self.port = host, port
        self.slots = asyncio.Semaphore(self.slot_count)
        self.waiting = 0
        self.number = int(name.partition("-")[2], 16)
        self.flows = {}
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.alive = False

    @property
    def spec(self):
        """The registry entry."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slot_count,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        }

    async def start(self):
        """Start a lifetime, which knows nothing of former ones, and register it."""
        self.flows = {}
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self._datagrams = await _open_datagrams(self.host, self.port, self._receive)
        self._health = await asyncio.start_server(
            self._serve_health, self.host, self.port
        )
        self.alive = True
        return await self.register()

    async def register(self):
        """Write the entry; return the time of the store's answer."""
        return await self.world.store.put("servers", self.name, self.spec)

    async def drain(self):
        """Report that the target leaves; return the time of the store's answer."""
        self.state = "draining"
        return await self.register()

    def end(self):
        """End the process; the entry stays."""
        if self.alive:
            self.alive = False
            self._datagrams.close()
            self._health.close()

    async def leave(self):
        """End the process and remove the entry."""
        self.end()
        await self.world.store.delete("servers", self.name)

    async def _serve_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            good = self.state == "ready"
            status = "200 OK" if good else "503 Service Unavailable"
            body = f'{{"born": {self.born_ms}}}'
            writer.write(
                f"HTTP/1.1 {status}\r\nX-Instance-Id: {self.name}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )
            await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    def _receive(self, data, address):
        if int.from_bytes(data[:8], "big") not in (0, self.number):
            return
        packet = decode(data[8:])
        if not is_genuine(packet):
            self.world.record(
                f"target {self.name}: a packet that its sender didn't write"
            )
            self.world.forged += 1
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self._on_syn(key, packet, address[0])
            return
        flow = self.flows.get(key)
        if flow is None:
            if not packet.flags & RST:
                self._send(packet, RST, packet.ack, 0)
            return
        if packet.flags & RST:
            del self.flows[key]
        elif packet.ack > flow.seq:
            self._on_flow_packet(key, flow, packet)

    def _on_syn(self, key, packet, machine):
        flow = self.flows.get(key)
        if flow is None:
            flow = self.flows[key] = _TargetFlow(random.randrange(1, 2**31))
            self.world.on_opening(self, key, machine)
        self._send(packet, SYN | ACK, flow.seq, packet.seq + 1)

    def _on_flow_packet(self, key, flow, packet):
        if not flow.opened:
            flow.opened = True
            flow.received = packet.seq
            self.world.on_flow_open(self, key)
        if packet.data:
            self._on_data(flow, packet)
        if packet.flags & FIN:
            self._send(packet, FIN | ACK, packet.ack, packet.seq + 1)
            self.flows.pop(key, None)

    def _on_data(self, flow, packet):
        end = packet.seq + len(packet.data)
        if packet.seq in flow.answered:
            self._send_answer(packet, end, flow.answered[packet.seq])
            return
        self._send(packet, ACK, packet.ack, end)
        if packet.seq >= flow.received:
            flow.received = end
            asyncio.ensure_future(self._serve(flow, packet, end))

    async def _serve(self, flow, packet, end):
        request = packet.data.decode()
        if self.waiting >= self.slot_count + self.queue_size:
            # Turned away: it has not run.
            self._send_answer(packet, end, b"421 4\n")
            return
        self.waiting += 1
        flows = self.flows
        try:
            async with self.slots:
                work_s, size = self.work(request)
                self.world.on_run(self, request)
                await asyncio.sleep(work_s)
        finally:
            self.waiting -= 1
        if not self.alive or self.flows is not flows:
            return
        head = f"200 {size}\n{request} by {self.name} of {self.service} ".encode()
        flow.answered[packet.seq] = head.ljust(size, b".")
        self._send_answer(packet, end, flow.answered[packet.seq])

    def _send_answer(self, packet, end, answer):
        for offset in range(0, len(answer), PACKET_BYTES):
            part = answer[offset : offset + PACKET_BYTES]
            self._send(packet, ACK, packet.ack + offset, end, part)

    def _send(self, packet, flags, seq, ack, data=b""):
        if not self.alive:
            return
        answer = Packet(
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            flags,
            seq,
            ack,
            packet.echo,
            data,
        )
        self._datagrams.sendto(encode(answer), (packet.src, self.world.data_port))


@dataclass
class Outcome:
    """What a client saw of one request."""

    request: str
    sent_s: float
    machine: str
    result: str = "no answer"
    server: str = ""
    reset_by: str = ""


class Flow:
    """A client's end of one flow."""

    def __init__(self, client, sport, dst, dport):
        self.client, self.sport, self.dst, self.dport = client, sport, dst, dport
        self.seq = random.randrange(1, 2**31)
        self.ack = 0
        self.echo = 0
        self.open = False
        self.reset_by = ""
        self.answers = asyncio.Queue()
        self.last_machine = ""

    def _make(self, flags, seq, ack, data=b""):
        return Packet(
            self.client.host,
            self.sport,
            self.dst,
            self.dport,
            flags,
            seq,
            ack,
            self.echo,
            data,
        )

    def find_machine(self):
        """Return the machine to which the routers send the flow now."""
        packet = self._make(ACK, self.seq, self.ack)
        return self.client.world.router.choose(self.client.zone, packet)

    def _send(self, packet):
        self.last_machine = self.client.send(packet)

    async def connect(self):
        """Open the flow; return whether it opened."""
        began_s = time.monotonic()
        for copy, next_s in enumerate((*SYN_COPIES_S[1:], OPEN_LIMIT_S)):
            self._send(self._make(SYN, self.seq, copy))
            left_s = began_s + next_s - time.monotonic()
            try:
                kind, packet = await asyncio.wait_for(self.answers.get(), left_s)
            except TimeoutError:
                continue
            if kind != "opened":
                return False
            self.seq += 1
            self.ack = packet.seq + 1
            self.open = True
            return True
        return False

    async def ask(self, text, budget_s):
        """Send a request; return the answer's text, "reset" or "no answer"."""
        data = text.encode()
        end_s, wait_s = time.monotonic() + budget_s, REPEAT_S
        end = self.seq + len(data)
        parts, size, acknowledged = {}, None, False
        while time.monotonic() < end_s:
            if not acknowledged:
                self._send(self._make(ACK, self.seq, self.ack, data))
            limit_s = min(time.monotonic() + wait_s, end_s)
            wait_s = min(2 * wait_s, MAX_REPEAT_S)
            while (left_s := limit_s - time.monotonic()) > 0:
                try:
                    kind, packet = await asyncio.wait_for(self.answers.get(), left_s)
                except TimeoutError:
                    break
                if kind == "reset":
                    return "reset"
                acknowledged = acknowledged or packet.ack == end
                if packet.ack != end or not packet.data:
                    continue
                parts[packet.seq - self.ack] = packet.data
                answer = b"".join(parts[key] for key in sorted(parts))
                if 0 in parts and size is None:
                    size = int(parts[0].split(b"\n")[0].split()[1])
                complete = size is not None and len(answer) >= size
                if complete or len(parts) % 2 == 0:
                    self._send(self._make(ACK, end, self.ack + len(answer)))
                if complete:
                    self.seq = end
                    self.ack += len(answer)
                    return answer.decode().rstrip(".").strip()
        return "no answer"

    def close(self):
        """Close the flow."""
        if self.open and not self.reset_by:
            self._send(self._make(FIN | ACK, self.seq, self.ack))
        self.client.flows.pop((self.sport, self.dst, self.dport), None)

    def receive(self, packet, sender):
        """Take a packet that arrived for the flow."""
        if packet.flags & RST:
            in_range = abs(packet.seq - self.ack) <= 76_800
            if not self.open or in_range or packet.sum:
                self.reset_by = sender
                self.open = False
                self.answers.put_nowait(("reset", packet))
            return
        if not is_genuine(packet):
            self.client.world.record("client: a packet that its sender didn't write")
            self.client.world.forged += 1
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if not self.open:
                self.answers.put_nowait(("opened", packet))
        else:
            self.answers.put_nowait(("data", packet))


class Client:
    """Clients of one zone at one address."""

    def __init__(self, world, zone, host):
        self.world, self.zone, self.host = world, zone, host
        self.flows = {}
        self._next_port = 20_000

    async def start(self):
        """Bind the clients' address."""
        self._datagrams = await _open_datagrams(
            self.host, self.world.data_port, self._receive
        )

    def stop(self):
        """Release the address."""
        self._datagrams.close()

    def open_flow(self, dst, dport):
        """Return a new flow from a new port; `Flow.connect` opens it."""
        self._next_port += 1
        flow = Flow(self, self._next_port, dst, dport)
        self.flows[flow.sport, dst, dport] = flow
        return flow

    def send(self, packet):
        """Give a packet to the routers; return the machine that gets it."""
        machine = self.world.router.choose(self.zone, packet)
        self._datagrams.sendto(encode(packet), (machine.host, self.world.data_port))
        return machine.name

    def _receive(self, data, address):
        packet = decode(data)
        flow = self.flows.get((packet.dport, packet.src, packet.sport))
        if flow is not None:
            flow.receive(packet, self.world.names.get(address[0], address[0]))

    async def request(self, dst, dport, text, budget_s=1.0):
        """Send one request on a flow of its own."""
        flow = self.open_flow(dst, dport)
        outcome = Outcome(text, time.monotonic(), "")
        try:
            if not await flow.connect():
                outcome.result = "reset" if flow.reset_by else "not opened"
            else:
                outcome.result = await flow.ask(text, budget_s)
            outcome.machine = flow.last_machine
            outcome.reset_by = flow.reset_by
        finally:
            flow.close()
        return outcome


class Router:
    """Sends each flow of a zone to one of the zone's machines that are in rotation."""

    def __init__(self, world):
        self.world = world
        self.in_rotation = {}
        self.pins = {}
        """Machine of single flows; set by a case whose machines leave the rotation."""
        self._misses = {}

    async def watch(self, machine):
        """Ask a machine twice a second whether it is ready."""
        while True:
            ready = await self._is_ready(machine)
            misses = 0 if ready else self._misses.get(machine.name, 0) + 1
            self._misses[machine.name] = misses
            was = self.in_rotation.get(machine.name, False)
            now = ready or (was and misses < 2)
            if now != was:
                word = "in" if now else "out of"
                self.world.record(f"router: {machine.name} is {word} rotation")
            self.in_rotation[machine.name] = now
            await asyncio.sleep(PROBE_PERIOD_S)

    async def _is_ready(self, machine):
        try:
            async with asyncio.timeout(PROBE_PERIOD_S):
                reader, writer = await asyncio.open_connection(
                    machine.host, self.world.ready_port
                )
                try:
                    writer.write(
                        b"GET /v1/readiness HTTP/1.1\r\nHost: machine\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    return b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    def choose(self, zone, packet):
        """Return the machine of a packet: the highest hash of those in rotation."""
        machines = self.world.machines
        of_zone = [m for m in machines if m.zone == zone]
        ready = [m for m in of_zone if self.in_rotation.get(m.name)]
        if not ready:
            others = [m for m in machines if self.in_rotation.get(m.name)]
            candidates = others or of_zone
        elif 2 * len(ready) < len(of_zone):
            candidates = of_zone
        else:
            candidates = ready
        flow = f"{packet.src}:{packet.sport}>{packet.dst}:{packet.dport}"
        return max(candidates, key=lambda m: zlib.crc32(f"{flow} {m.name}".encode()))

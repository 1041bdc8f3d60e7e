"""Stand-in for clients: flows over datagrams that carry HTTP requests."""

import asyncio
import random
import time

import packets
from packets import ACK, FIN, RST, SYN, Packet

COPIES_S = (0.2, 0.6)
OPENING_GIVEN_UP_S = 1.4
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 1.6
RESET_RANGE = 76_800
REFUSED, SILENT, BROKEN, LATE, SERVED = "refused", "silent", "broken", "late", "served"


class Flow:
    """A flow at its client."""

    def __init__(self, client, sport, host, port):
        self.client = client
        self.sport = sport
        self.host, self.port = packets.to_int(host), port
        self.seq = random.getrandbits(32)
        self.next = packets.advance(self.seq, 1)
        self.peer_next = 0
        self.echo = 0
        self.open = False
        self.reset_by = ""
        self.received = b""
        self.changed = asyncio.Event()
        self.opened_at_s = None

    @property
    def key(self):
        """Addresses and ports of the flow."""
        return (packets.to_int(self.client.host), self.sport, self.host, self.port)

    def on_packet(self, packet):
        """Handle a packet for this flow."""
        if packet.flags & RST:
            self._on_reset(packet)
        elif packet.flags & SYN:
            if not self.open:
                self.echo, self.open = packet.echo, True
                self.opened_at_s = time.monotonic()
                self.peer_next = packets.advance(packet.seq, 1)
        elif self.open:
            self.echo = packet.echo
            known = packets.distance(self.peer_next, packet.seq)
            if packet.data and known >= 0:
                fresh = packet.data[known:]
                self.received += fresh
                self.peer_next = packets.advance(self.peer_next, len(fresh))
                self.send(ACK)
        self.changed.set()

    def _on_reset(self, packet):
        own = packet.total == 0
        if self.open and own:
            far = abs(packets.distance(packet.seq, self.peer_next)) > RESET_RANGE
            self.client.world.record.reset(self, far)
            if far:
                return
        self.reset_by = "machine" if own else "target"

    def send(self, flags, seq=None, data=b"", ack=None):
        """Send a packet through the machine that the router selects."""
        numbers = (
            self.next if seq is None else seq,
            self.peer_next if ack is None else ack,
        )
        echo = 0 if flags & SYN else self.echo
        addresses = (*self.key[:2], self.port, self.host)
        packet = Packet(echo, 0, *numbers, *addresses, flags, data)
        self.client.send(self, packets.encode(packet))

    async def establish(self):
        """Open the flow; return "" or why it did not open."""
        began_s = time.monotonic()
        for copy, until_s in enumerate((*COPIES_S, OPENING_GIVEN_UP_S)):
            self.send(SYN, self.seq, ack=copy)
            while not (self.open or self.reset_by):
                if not await self._wait(began_s + until_s):
                    break
            if self.open or self.reset_by:
                break
        if self.open:
            return ""
        return REFUSED if self.reset_by else SILENT

    async def ask(self, request, budget_s):
        """Send a request and return how it ended."""
        data = (
            f"POST /work HTTP/1.1\r\nHost: route\r\nX-Request-Id: {request}\r\n"
            f"Content-Length: 0\r\n\r\n"
        ).encode()
        seq, self.next = self.next, packets.advance(self.next, len(data))
        until_s, pause_s = time.monotonic() + budget_s, FIRST_RETRY_S
        while time.monotonic() < until_s:
            self.send(ACK, seq, data)
            resend_s = min(time.monotonic() + pause_s, until_s)
            while time.monotonic() < resend_s:
                if self.reset_by:
                    return BROKEN
                if self._take_answer(request):
                    return SERVED
                await self._wait(resend_s)
            pause_s = min(2 * pause_s, LONGEST_RETRY_S)
        return LATE

    def _take_answer(self, request):
        head, found, rest = self.received.partition(b"\r\n\r\n")
        if not found:
            return False
        size = int(head.rpartition(b"Content-Length: ")[2])
        if len(rest) < size:
            return False
        body, self.received = rest[:size], rest[size:]
        if not body.startswith(f"{request} ran at ".encode()):
            self.client.world.record.add("foreign answer", request=request)
        return True

    async def _wait(self, until_s):
        self.changed.clear()
        left_s = until_s - time.monotonic()
        if left_s <= 0:
            return False
        try:
            async with asyncio.timeout(left_s):
                await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def close(self):
        """Close the flow."""
        if self.open and not self.reset_by:
            self.send(ACK | FIN)
        self.client.flows.pop(self.sport, None)


class Client(asyncio.DatagramProtocol):
    """A client with an address of its own."""

    def __init__(self, world, host, zone):
        self.world = world
        self.host = host
        self.zone = zone
        self.flows = {}
        self._sport = random.randint(20_000, 40_000)
        self._transport = None

    async def start(self):
        """Bind the client's address."""
        loop = asyncio.get_running_loop()
        address = (self.host, self.world.data_port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def stop(self):
        """Close the client's socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data, _address):
        """Handle a packet for one of the flows."""
        packet = packets.decode(data)
        if packet is None:
            return
        if packet.total != 0 and not packet.is_genuine:
            self.world.record.add("forged packet at a client", client=self.host)
            return
        flow = self.flows.get(packet.dport)
        if flow is not None and (packet.src, packet.sport) == (flow.host, flow.port):
            flow.on_packet(packet)

    def new_flow(self, route):
        """Return a new flow to a route, from a new port."""
        self._sport += 1
        flow = Flow(self, self._sport, *route)
        self.flows[self._sport] = flow
        return flow

    def send(self, flow, datagram):
        """Send a packet to the machine that the router selects for its flow."""
        node = self.world.router.select(self.zone, flow.key)
        if node is not None:
            self._transport.sendto(datagram, (node.host, self.world.data_port))

"""Caller that sends chosen datagrams: in copies, late, and through any instance."""

import itertools
import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import gevent
from gevent import socket

from endivepick.core.messages import (
    Acknowledge,
    AnswerPart,
    Cancel,
    FlowClosed,
    InstancePacket,
    Open,
    Opened,
    Outcome,
    Refused,
    Reissued,
    RequestHead,
    RequestPart,
)
from endivepick.core.packet_codec import (
    decode_instance_packet,
    encode_packet,
    encode_struct,
)
from standins.control import parse_address

__all__ = ["RawCaller", "RawFlow", "RawRequest", "Word"]

Word = AnswerPart | Refused | Outcome
"""What ends a request, or begins its answer."""
CLOSINGS = 3
_BUFFER_BYTES = 4 << 20
_RECEIVE_BYTES = 2048
_REPEAT_S = 0.1
_OPEN_S = 20.0


@dataclass(frozen=True)
class RawFlow:
    """A flow as its ``Opened`` told it."""

    flow_id: int
    binding: int
    token: bytes


@dataclass(frozen=True)
class RawRequest:
    """A request of one datagram, which stays the same in all its copies."""

    flow: RawFlow
    seq: int
    echo: str
    idempotent: bool
    datagram: bytes

    @property
    def key(self) -> str:
        """Idempotency key that the target's log shows."""
        return f"{self.flow.flow_id:016x}-{self.flow.binding:016x}-{self.seq}"


class RawCaller:
    """Sends datagrams as told and keeps what comes back; repeats nothing.

    Parameters
    ----------
    fabric_address : str
        ``host:port`` of the fabric.
    name : str
        Beginning of the ``echo`` of each request.
    """

    def __init__(self, fabric_address: str, name: str) -> None:
        self.requests: list[RawRequest] = []
        self.received = 0
        self._name = name
        self._numbers = itertools.count(1)
        self._opened: dict[int, Opened] = {}
        self._words: dict[tuple[int, int], list[InstancePacket]] = defaultdict(list)
        self._reissued: dict[int, list[Reissued]] = defaultdict(list)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        self._socket.connect(parse_address(fabric_address))
        self._reader = gevent.spawn(self._read)

    def close(self) -> None:
        """End the task and close the socket."""
        self._reader.kill()
        self._socket.close()

    def _read(self) -> None:
        while True:
            packet = decode_instance_packet(self._socket.recv(_RECEIVE_BYTES))
            self.received += 1
            match packet:
                case Opened(open_id=open_id):
                    self._opened.setdefault(open_id, packet)
                case Reissued(old_binding=binding):
                    self._reissued[binding].append(packet)
                case _ if hasattr(packet, "seq"):
                    self._words[packet.binding, packet.seq].append(packet)

    # Sending.

    def open(self, service: str) -> RawFlow:
        """Open a flow."""
        open_id = next(self._numbers)
        datagram = encode_packet(Open(open_id, service))
        with gevent.Timeout(_OPEN_S, TimeoutError(f"no flow to {service}")):
            while open_id not in self._opened:
                self._socket.send(datagram)
                gevent.sleep(_REPEAT_S)
        opened = self._opened[open_id]
        return RawFlow(opened.flow_id, opened.binding, opened.token)

    def request(
        self,
        flow: RawFlow,
        work_ms: float = 0,
        answer_bytes: int = 10,
        idempotent: bool = False,
        deadline_ms: int = 30_000,
    ) -> RawRequest:
        """Build a request for a target's ``/work``; it is not sent yet."""
        seq = 1 + sum(known.flow == flow for known in self.requests)
        echo = f"{self._name}.{next(self._numbers)}"
        body = {"work_ms": work_ms, "answer_bytes": answer_bytes, "echo": echo}
        head = RequestHead("POST", "/work", [], json.dumps(body).encode())
        part = RequestPart(
            flow.token, seq, 0, 1, idempotent, deadline_ms, encode_struct(head)
        )
        made = RawRequest(flow, seq, echo, idempotent, encode_packet(part))
        self.requests.append(made)
        return made

    def send(self, requests: Iterable[RawRequest], copies: int = 1) -> None:
        """Send copies of requests, in turn."""
        wanted = list(requests)
        for _ in range(copies):
            for request in wanted:
                self._socket.send(request.datagram)
            gevent.sleep(0)

    def ask(self, request: RawRequest, next_index: int = 0, window: int = 64) -> None:
        """Ask for the answer from a part on."""
        self._acknowledge(request, next_index, window, done=False)

    def forget(self, request: RawRequest) -> None:
        """Tell the owner that the answer arrived."""
        self._acknowledge(request, 0, 64, done=True)

    def cancel(self, request: RawRequest) -> None:
        """Give a request up."""
        self._socket.send(encode_packet(Cancel(request.flow.token, request.seq)))

    def close_flow(self, flow: RawFlow) -> None:
        """Say that the flow is closed, more than once as the library does."""
        for _ in range(CLOSINGS):
            self._socket.send(encode_packet(FlowClosed(flow.token)))

    def _acknowledge(
        self, request: RawRequest, next_index: int, window: int, done: bool
    ) -> None:
        packet = Acknowledge(
            request.flow.token, request.seq, next_index, [], window, done
        )
        self._socket.send(encode_packet(packet))

    # What came back.

    def packets(self, request: RawRequest) -> list[InstancePacket]:
        """Return all that came for a request."""
        return self._words[request.flow.binding, request.seq]

    def words(self, request: RawRequest) -> list[Word]:
        """Return answer parts and final words that came for a request."""
        return [packet for packet in self.packets(request) if isinstance(packet, Word)]

    def reissued(self, flow: RawFlow) -> list[Reissued]:
        """Return the tokens that were offered in place of a flow's first."""
        return self._reissued[flow.binding]

    def renewed(self, flow: RawFlow) -> RawFlow:
        """Return a flow with the last token that was offered for it."""
        last = self.reissued(flow)[-1]
        return RawFlow(flow.flow_id, last.binding, last.token)

    def was_refused(self, request: RawRequest) -> bool:
        """Tell whether anyone said "not run"."""
        return any(isinstance(word, Refused) for word in self.words(request))

    def heard(self, request: RawRequest) -> int:
        """Count the packets that came for a request or replaced its token."""
        return len(self.packets(request)) + len(self.reissued(request.flow))

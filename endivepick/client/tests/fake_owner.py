"""A fake owner behind a lossy path, driven by a simulated clock."""

import heapq
import json
import random
from dataclasses import dataclass, field

from endivepick.client import CallerSettings
from endivepick.client._core import (
    CallerCore,
    Completed,
    EventArrived,
    FlowOpened,
    OpenFailed,
    RequestCall,
    SendDatagram,
)
from endivepick.core.answer_buffer import AnswerBuffer
from endivepick.core.messages import (
    Accepted,
    Acknowledge,
    AnswerHead,
    Cancel,
    Open,
    Opened,
    Renew,
    RequestHead,
    RequestPart,
    RequestProgress,
)
from endivepick.core.packet_codec import (
    decode_caller_packet,
    decode_struct,
    encode_packet,
)

SETTINGS = CallerSettings(fabric_address="127.0.0.1:7000")


@dataclass
class Path:
    """Faults of the simulated network, as shares of the datagrams."""

    loss: float = 0.0
    duplicates: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.0
    spacing_s: float = 20e-6


@dataclass
class FakeOwner:
    """Answers each request with its own body, reversed; binding 1 at first."""

    binding: int = 1
    flow_id: int = 77
    silent: bool = False
    body: bytes | None = None
    parts: dict[int, dict[int, bytes]] = field(default_factory=dict)
    answers: dict[int, AnswerBuffer] = field(default_factory=dict)
    runs: list[int] = field(default_factory=list)
    heads: list[RequestHead] = field(default_factory=list)
    received: list = field(default_factory=list)

    def on_packet(self, packet) -> list:
        self.received.append(packet)
        if self.silent:
            return []
        match packet:
            case Open(open_id):
                return [Opened(open_id, self.flow_id, b"token", 3600.0, self.binding)]
            case RequestPart():
                return self._on_part(packet)
            case Acknowledge():
                return self._on_acknowledge(packet)
        return []

    def _on_part(self, packet) -> list:
        ids = (self.flow_id, self.binding, packet.seq)
        if packet.seq not in self.answers:
            parts = self.parts.setdefault(packet.seq, {})
            parts[packet.index] = packet.data
            first = next(i for i in range(packet.count + 1) if i not in parts)
            missing = [i for i in range(first, max(parts)) if i not in parts]
            if first < packet.count:
                return [RequestProgress(*ids, first, missing)]
            self._run(packet.seq, b"".join(parts[i] for i in range(packet.count)))
        return [Accepted(*ids), *self._send_new(packet.seq)]

    def _run(self, seq, payload) -> None:
        head = decode_struct(payload, RequestHead)
        self.runs.append(seq)
        self.heads.append(head)
        answer = self.answers[seq] = AnswerBuffer()
        answer.begin(AnswerHead(200, [("Path", head.path)]))
        answer.extend(self.body if self.body is not None else head.body[::-1])
        if not head.stream:
            answer.finish()

    def _send_new(self, seq) -> list:
        answer = self.answers[seq]
        return [self._part(seq, index) for index in answer.unsent()]

    def _part(self, seq, index):
        return self.answers[seq].packet(self.flow_id, self.binding, seq, index)

    def _on_acknowledge(self, packet) -> list:
        answer = self.answers.get(packet.seq)
        if answer is None:
            ids = (self.flow_id, self.binding, packet.seq)
            return [RequestProgress(*ids, 0, [])]
        if packet.done:
            return []
        again = answer.acknowledge(packet.next_index, packet.missing, packet.window)
        repeated = [self._part(packet.seq, index) for index in again]
        packets = repeated + self._send_new(packet.seq)
        return packets or [Accepted(self.flow_id, self.binding, packet.seq)]

    def sent(self, kind) -> list:
        return [packet for packet in self.received if isinstance(packet, kind)]


class Simulation:
    """Core and fake owner on one simulated clock."""

    def __init__(self, path=None, owner=None, seed=1, settings=SETTINGS):
        self.core = CallerCore(settings)
        self.owner = owner or FakeOwner()
        self.path = path or Path()
        self.now_s = 0.0
        self.results = {}
        self.events = []
        self.flows = {}
        self._random = random.Random(seed)
        self._queue = []
        self._free_at_s = {}
        self._count = 0

    def open(self, deadline_s=5.0):
        self._perform(self.core.open(7, "notes", self.now_s + deadline_s, self.now_s))
        self.run_until(lambda: 7 in self.flows)
        return self.flows[7]

    def request(self, request_id, body=b"", idempotent=False, deadline_s=60.0, **head):
        request = RequestHead("POST", head.get("path", "/"), [], body, "stream" in head)
        call = RequestCall(
            request_id, self.owner.flow_id, request, idempotent, self.now_s + deadline_s
        )
        self._perform(self.core.request(call, self.now_s))

    def deliver(self, *packets):
        """Hand packets to the core at once."""
        for packet in packets:
            self._perform(self.core.datagram(encode_packet(packet), self.now_s))

    def cancel(self, request_id):
        self._perform(self.core.cancel(request_id, self.now_s))

    def run_for(self, duration_s):
        end_s = self.now_s + duration_s
        self.run_until(lambda: self.now_s >= end_s, end_s)

    def run_until(self, condition, limit_s=600.0):
        while not condition():
            queued_s = self._queue[0][0] if self._queue else limit_s
            next_s = min(queued_s, self.core.next_tick_at_s, limit_s)
            assert next_s < limit_s or condition is not None
            self.now_s = max(self.now_s, next_s)
            self._step()
            if self.now_s >= limit_s:
                assert condition(), "condition did not come true"

    def _step(self):
        self._perform(self.core.tick(self.now_s))
        while self._queue and self._queue[0][0] <= self.now_s:
            _, _, to_owner, datagram = heapq.heappop(self._queue)
            if to_owner:
                for packet in self.owner.on_packet(decode_caller_packet(datagram)):
                    self._transmit(False, encode_packet(packet))
            else:
                self._perform(self.core.datagram(datagram, self.now_s))

    def _transmit(self, to_owner, datagram):
        sent_at_s = max(self.now_s, self._free_at_s.get(to_owner, 0.0))
        self._free_at_s[to_owner] = sent_at_s + self.path.spacing_s
        copies = 1 + (self._random.random() < self.path.duplicates)
        for _ in range(copies):
            if self._random.random() < self.path.loss:
                continue
            delay_s = self.path.delay_s + self._random.random() * self.path.jitter_s
            self._count += 1
            entry = (sent_at_s + delay_s, self._count, to_owner, datagram)
            heapq.heappush(self._queue, entry)

    def _perform(self, actions):
        for action in actions:
            match action:
                case SendDatagram(datagram):
                    self._transmit(True, datagram)
                case Completed(request_id, result):
                    assert request_id not in self.results
                    self.results[request_id] = result
                case EventArrived(_, event):
                    self.events.append(event)
                case FlowOpened(open_id, flow_id):
                    self.flows[open_id] = flow_id
                case OpenFailed(open_id, error):
                    self.flows[open_id] = error


__all__ = ["SETTINGS", "Cancel", "FakeOwner", "Path", "Renew", "Simulation"]


def measure_loss() -> None:
    """Print how an 8 MB answer fares on a simulated path, one line per loss."""
    for loss in (0.0, 0.05, 0.1, 0.2):
        body = random.Random(1).randbytes(8 << 20)
        owner = FakeOwner(body=body)
        simulation = Simulation(Path(loss=loss, jitter_s=0.001), owner)
        simulation.open()
        began_s = simulation.now_s
        simulation.request(1)
        simulation.run_until(lambda results=simulation.results: results)
        line = {"loss": loss, "whole": simulation.results[1].body == body}
        line["time_s"] = round(simulation.now_s - began_s, 2)
        print(json.dumps(line | simulation.core.counts))


if __name__ == "__main__":
    measure_loss()

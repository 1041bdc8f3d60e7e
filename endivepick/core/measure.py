"""Measures what flows and requests cost their owner; prints JSON lines.

Run ``python -m endivepick.core.measure``.  The whole decision core of one instance
is driven directly: a packet is decoded, its token verified and the action built,
while sockets, the encoding of answers and the target are left out.  Times are
processor time and hold for the given number of flows; sizes of memory are those
of the Python objects, as ``tracemalloc`` counts them.
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from itertools import count
from random import Random

import fire

from endivepick.core.actions import SendToCaller, SendToPeer, StartAttempt
from endivepick.core.core_settings import CoreSettings
from endivepick.core.dispatch import ProbeResult, TargetHealth
from endivepick.core.events import (
    AttemptAnswered,
    CallerDatagram,
    ObjectsListed,
    PeerMessage,
    Probed,
    Tick,
)
from endivepick.core.instance import InstanceCore
from endivepick.core.keyring import first_keyring, keyring_to_body
from endivepick.core.messages import (
    Acknowledge,
    Open,
    Opened,
    RequestHead,
    RequestPart,
)
from endivepick.core.packet_codec import encode_packet, encode_struct
from endivepick.core.token import FlowToken, TokenCodec
from endivepick.membership.peer_messages import (
    Liveness,
    MemberUpdate,
    Phase,
    SyncPage,
)
from endivepick.platform.answers import ObjectList
from endivepick.records.objects import KEYRING_KIND, SERVICE_KIND, StoredObject

__all__ = ["OwnerUnderTest", "measure_memory", "measure_times", "run"]

SIZES = (1_000, 4_000, 16_000, 64_000)
CALLS = 2_000
MEMORY_FLOWS = 1_000
REQUESTS = 16
WIDEST_GAP = 512
"""Claimed numbers of a window whose first request never came."""
ANSWER_BYTES = 300
_HEAD = encode_struct(RequestHead("POST", "/notes", [], bytes(200)))
_SERVICE, _PEER, _PEER_INCARNATION = "notes", "entry-2", 2
_NOW_S = 1_700_000_000.0
_MICROSECONDS = 1e6


class OwnerUnderTest:
    """One instance that owns a service with one target; it knows one peer."""

    def __init__(self) -> None:
        self._random = Random(1)
        self._numbers = count(1)
        self.core = InstanceCore(
            CoreSettings("entry-1", "thamel"),
            1,
            "127.0.0.1:1",
            lambda: self._random.getrandbits(64),
            _NOW_S,
        )
        self.core.start()
        keyring = keyring_to_body(first_keyring(bytes(32), 0.0))
        self._list(KEYRING_KIND, "tokens", keyring)
        self._list(SERVICE_KIND, _SERVICE, _record_body())
        # Leaving, so that it holds flows but takes no role.
        peer = MemberUpdate(
            _PEER,
            "thamel",
            "127.0.0.1:2",
            _PEER_INCARNATION,
            int(_NOW_S * 1000),
            Phase.LEAVING,
            0,
            Liveness.ALIVE,
        )
        page = SyncPage(0, [], [peer], [])
        self.core.handle(PeerMessage(_PEER, _PEER_INCARNATION, page), _NOW_S)
        self.core.handle(Tick(), _NOW_S)
        self.open()
        ready = ProbeResult(TargetHealth.READY, _SERVICE, 7, slots=1000)
        self.core.handle(Probed(_SERVICE, "target-1", ready), _NOW_S)

    def _list(self, kind: str, name: str, body: dict[str, object]) -> None:
        stored = StoredObject(kind, name, 1, body)
        self.core.handle(ObjectsListed(ObjectList(kind, 1, (stored,))), _NOW_S)

    def open(self) -> bytes:
        """Open a flow from an address of its own and return its token."""
        number = next(self._numbers)
        caller = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 40_000)
        datagram = encode_packet(Open(number, _SERVICE))
        for action in self.core.handle(CallerDatagram(caller, datagram), _NOW_S):
            match action:
                case SendToCaller(packet=Opened(token=token)):
                    return token
        raise AssertionError("no flow opened")

    def foreign_token(self) -> bytes:
        """Return the token of a flow that the peer owns."""
        token = FlowToken(
            _SERVICE, 1, 2, _PEER, _PEER_INCARNATION, "target-1", int(_NOW_S)
        )
        return TokenCodec(self.core.catalog.keys, 1.0).seal(token)

    def relay(self, token: bytes) -> None:
        """Relay a request of a flow that the peer owns."""
        event = CallerDatagram(("10.0.0.1", 40_000), _request_datagram(token, 1))
        actions = self.core.handle(event, _NOW_S)
        assert isinstance(actions[0], SendToPeer)

    def request(self, token: bytes, seq: int, acknowledge: bool = True) -> None:
        """Run a request up to its answer, which the caller may acknowledge."""
        caller = (f"10.0.{seq >> 8 & 255}.{seq & 255}", 40_000)
        event = CallerDatagram(caller, _request_datagram(token, seq))
        for action in self.core.handle(event, _NOW_S):
            match action:
                case StartAttempt(request_id=request_id, attempt=attempt):
                    answered = AttemptAnswered(
                        request_id, attempt, 200, [], bytes(ANSWER_BYTES), 0.01
                    )
                    self.core.handle(answered, _NOW_S)
        if acknowledge:
            done = encode_packet(Acknowledge(token, seq, 2, [], 64, True))
            self.core.handle(CallerDatagram(caller, done), _NOW_S)


def _request_datagram(token: bytes, seq: int) -> bytes:
    return encode_packet(RequestPart(token, seq, 0, 1, False, 10_000, _HEAD))


def _record_body() -> dict[str, object]:
    target = {
        "name": "target-1",
        "zone": "thamel",
        "address": "127.0.0.1:8080",
        "slots": 1000,
        "connections": 2000,
        "draining": False,
    }
    return {
        "schema_version": 2,
        "write_id": "0123456789abcdef",
        "affinity": "request",
        "request_timeout_s": 30,
        "waiting_per_slot": 8,
        "targets": [target],
    }


@contextmanager
def _collector_off() -> Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _time_us(call: Callable[[int], object], calls: int) -> float:
    with _collector_off():
        started_s = time.process_time()
        for number in range(calls):
            call(number)
        return (time.process_time() - started_s) / calls * _MICROSECONDS


def measure_times(flows: int, calls: int = CALLS) -> dict[str, float]:
    """Measure the time of one open, one relayed packet and one request.

    Parameters
    ----------
    flows : int
        Flows that the owner holds meanwhile.
    calls : int
        Calls of each kind that are averaged.

    Returns
    -------
    dict
        Processor times in microseconds, by name.
    """
    owner = OwnerUnderTest()
    tokens = [owner.open() for _ in range(flows)]
    foreign = owner.foreign_token()
    requested = tokens[:calls]
    return {
        "relayed_packet_us": _time_us(lambda _: owner.relay(foreign), calls),
        "request_us": _time_us(
            lambda number: owner.request(requested[number], 1), len(requested)
        ),
        "open_us": _time_us(lambda _: owner.open(), calls),
    }


def _bytes_per_flow(build: Callable[[OwnerUnderTest], object], flows: int) -> float:
    owner = OwnerUnderTest()
    owner.request(owner.open(), 1)
    gc.collect()
    tracemalloc.start()
    try:
        for _ in range(flows):
            build(owner)
        gc.collect()
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return held_bytes / flows


def _flow_with(
    seqs: Iterable[int], acknowledge: bool = True
) -> Callable[[OwnerUnderTest], None]:
    numbers = list(seqs)

    def build(owner: OwnerUnderTest) -> None:
        token = owner.open()
        for seq in numbers:
            owner.request(token, seq, acknowledge)

    return build


def measure_memory(flows: int = MEMORY_FLOWS) -> dict[str, float]:
    """Measure what a flow and its requests hold at their owner.

    Parameters
    ----------
    flows : int
        Flows over which the memory is averaged.

    Returns
    -------
    dict
        Bytes by name: a flow without a request; one after acknowledged requests
        in order; each further number claimed beyond a gap in the window; each
        answer that its caller has not acknowledged, and the part of it that is
        not the body.
    """
    in_order = range(1, REQUESTS + 1)
    idle = _bytes_per_flow(_flow_with(()), flows)
    few = -(-flows // 50)
    beyond_gap = _bytes_per_flow(_flow_with(range(2, 2 + WIDEST_GAP)), few)
    unanswered = _bytes_per_flow(_flow_with(in_order, acknowledge=False), few)
    per_answer = (unanswered - idle) / REQUESTS
    return {
        "idle_flow_bytes": idle,
        f"flow_after_{REQUESTS}_requests_bytes": _bytes_per_flow(
            _flow_with(in_order), flows
        ),
        "claimed_beyond_gap_bytes": (beyond_gap - idle) / WIDEST_GAP,
        "unacknowledged_answer_bytes": per_answer,
        "unacknowledged_overhead_bytes": per_answer - ANSWER_BYTES,
    }


def run(
    flows: Iterable[int] = SIZES, calls: int = CALLS, memory_flows: int = MEMORY_FLOWS
) -> None:
    """Measure all and print one JSON line for each case.

    Parameters
    ----------
    flows : iterable of int
        Numbers of flows at which times are measured.
    calls : int
        Calls of each kind that are averaged.
    memory_flows : int
        Flows over which memory is averaged.
    """
    _print({"case": "memory", **measure_memory(memory_flows)})
    for size in flows:
        _print({"case": "times", "flows": size, **measure_times(size, calls)})


def _print(line: dict[str, object]) -> None:
    rounded = {
        name: round(value, 1) if isinstance(value, float) else value
        for name, value in line.items()
    }
    print(json.dumps(rounded), flush=True)


if __name__ == "__main__":
    fire.Fire(run)

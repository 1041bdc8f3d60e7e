"""Measure how many datagrams a second the caller's core handles.

Run ``python -m endivepick.client.measure``; it prints one JSON line per case.
"""

import json
import statistics
import time
from collections.abc import Callable, Iterable

from endivepick.client._core import Action, CallerCore, RequestCall, SendDatagram
from endivepick.client.settings import CallerSettings
from endivepick.core.messages import (
    PART_SIZE_BYTES,
    Accepted,
    AnswerHead,
    AnswerPart,
    Opened,
    RequestHead,
)
from endivepick.core.packet_codec import encode_packet, encode_struct

__all__ = ["measure_large_answer", "measure_small_requests"]

FLOW_ID = 77
BINDING = 78
LARGE_PARTS = 8192
LOSS_EVERY_PARTS = 20
SMALL_REQUESTS = 10_000
SMALL_BODY_BYTES = 300
ROUNDS = 5
DEADLINE_S = 1e6


def _open_core() -> CallerCore:
    core = CallerCore(CallerSettings(fabric_address="127.0.0.1:7000"))
    core.open(1, "notes", DEADLINE_S, now_s=0.0)
    core.datagram(
        encode_packet(Opened(1, FLOW_ID, bytes(96), 3600.0, BINDING)), now_s=0.0
    )
    return core


def _request(core: CallerCore, request_id: int, body: bytes) -> list[Action]:
    head = RequestHead("POST", "/notes", [], body)
    call = RequestCall(request_id, FLOW_ID, head, False, DEADLINE_S)
    return core.request(call, now_s=0.0)


def _sent(actions: Iterable[Action]) -> int:
    return sum(isinstance(action, SendDatagram) for action in actions)


def _answer(seq: int, body_parts: int, size_bytes: int) -> list[bytes]:
    head = encode_struct(AnswerHead(200, [("Content-Type", "application/json")]))
    datas = [head] + [bytes(size_bytes)] * body_parts
    return [
        encode_packet(
            AnswerPart(FLOW_ID, BINDING, seq, index, index == body_parts, data)
        )
        for index, data in enumerate(datas)
    ]


def _with_losses(parts: list[bytes]) -> list[bytes]:
    """Move every 20th part behind the next 16, as after a loss and its repair."""
    late = {index: parts[index] for index in range(5, len(parts), LOSS_EVERY_PARTS)}
    arriving: list[bytes] = []
    for index, part in enumerate(parts):
        if index not in late:
            arriving.append(part)
        if index - 16 in late:
            arriving.append(late.pop(index - 16))
    return arriving + list(late.values())


def measure_large_answer() -> tuple[int, float]:
    """Receive an 8 MB answer of which 5 % of the parts come late.

    Returns
    -------
    datagrams : int
        Datagrams received and sent.
    elapsed_s : float
        Time taken, in seconds.
    """
    core = _open_core()
    datagrams = _sent(_request(core, 1, b""))
    parts = _with_losses(_answer(1, LARGE_PARTS, PART_SIZE_BYTES))
    began_s = time.perf_counter()
    for count, part in enumerate(parts):
        datagrams += 1 + _sent(core.datagram(part, now_s=count * 1e-5))
    return datagrams, time.perf_counter() - began_s


def measure_small_requests() -> tuple[int, float]:
    """Send requests of one part each and receive answers of two parts each.

    Returns
    -------
    datagrams : int
        Datagrams received and sent.
    elapsed_s : float
        Time taken, in seconds.
    """
    core = _open_core()
    arriving = [
        [encode_packet(Accepted(FLOW_ID, BINDING, seq)), *_answer(seq, 1, 300)]
        for seq in range(1, SMALL_REQUESTS + 1)
    ]
    body = bytes(SMALL_BODY_BYTES)
    datagrams = 0
    began_s = time.perf_counter()
    for seq, received in enumerate(arriving, start=1):
        datagrams += _sent(_request(core, seq, body))
        for datagram in received:
            datagrams += 1 + _sent(core.datagram(datagram, now_s=seq * 1e-5))
    return datagrams, time.perf_counter() - began_s


def _report(name: str, case: Callable[[], tuple[int, float]]) -> None:
    rounds = [case() for _ in range(ROUNDS)]
    rates_per_s = [datagrams / elapsed_s for datagrams, elapsed_s in rounds]
    line = {
        "case": name,
        "datagrams": rounds[0][0],
        "rounds": ROUNDS,
        "min_per_s": round(min(rates_per_s)),
        "median_per_s": round(statistics.median(rates_per_s)),
        "max_per_s": round(max(rates_per_s)),
    }
    print(json.dumps(line))


def main() -> None:
    """Print one line per case."""
    _report("large_answer", measure_large_answer)
    _report("small_requests", measure_small_requests)


if __name__ == "__main__":
    main()

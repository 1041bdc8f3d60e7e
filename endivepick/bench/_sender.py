"""Load generator that sends packets to one instance with a bounded window."""

import socket
import time
from collections.abc import Callable, Iterable
from itertools import cycle

from endivepick.core.messages import CallerAddress, Open, Opened, Renew
from endivepick.core.packet_codec import decode_instance_packet, encode_packet
from endivepick.daemon.fabric import PREFIX_SIZE_BYTES, pack_prefix

__all__ = ["Sender"]

WINDOW_PACKETS = 128
"""Maximum number of unanswered packets."""
LOSS_TIMEOUT_S = 0.2
"""Time without an answer after which packets in flight count as lost, in seconds."""
OPEN_TIMEOUT_S = 30.0
_BUFFER_BYTES = 4 << 20


class Sender:
    """Simulates the fabric and its callers; create it before the instances start.

    Attributes
    ----------
    address : str
        Address for answers, the ``fabric.return_address`` of the instances.
    lost : int
        Number of packets without an answer.
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.settimeout(LOSS_TIMEOUT_S)
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self._prefix = pack_prefix((host, port))
        self.lost = 0

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def open(self, to: CallerAddress, service: str, count: int) -> list[bytes]:
        """Open flows and return their tokens."""
        tokens: list[bytes] = []
        end_s = time.monotonic() + OPEN_TIMEOUT_S
        while len(tokens) < count and time.monotonic() < end_s:
            wanted = count - len(tokens)
            opens = (encode_packet(Open(n, service)) for n in range(wanted))
            self._exchange(
                to, opens, lambda answer: tokens.extend(_extract_token(answer))
            )
        return tokens[:count]

    def flood(self, to: CallerAddress, tokens: list[bytes], duration_s: float) -> int:
        """Request renewed tokens for a duration and return the number of answers."""
        end_s = time.monotonic() + duration_s
        renews = cycle([encode_packet(Renew(token)) for token in tokens])
        answers = 0

        def count(answer: bytes) -> None:
            nonlocal answers
            answers += 1

        def until_end() -> Iterable[bytes]:
            while time.monotonic() < end_s:
                yield next(renews)

        self._exchange(to, until_end(), count)
        return answers

    def _exchange(
        self,
        to: CallerAddress,
        packets: Iterable[bytes],
        on_answer: Callable[[bytes], None],
    ) -> None:
        """Send all packets, with at most ``WINDOW_PACKETS`` unanswered ones."""
        in_flight = 0
        for packet in packets:
            self._socket.sendto(self._prefix + packet, to)
            in_flight += 1
            while in_flight >= WINDOW_PACKETS:
                in_flight = self._receive(in_flight, on_answer)
        while in_flight:
            in_flight = self._receive(in_flight, on_answer)

    def _receive(self, in_flight: int, on_answer: Callable[[bytes], None]) -> int:
        try:
            datagram = self._socket.recv(2048)
        except TimeoutError:
            self.lost += in_flight
            return 0
        on_answer(datagram[PREFIX_SIZE_BYTES:])
        return in_flight - 1


def _extract_token(answer: bytes) -> Iterable[bytes]:
    match decode_instance_packet(answer):
        case Opened(token=token):
            yield token

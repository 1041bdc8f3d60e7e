"""Caller that sends many packets straight to one instance, with a bound."""

import socket
import time
from collections.abc import Callable, Iterable
from itertools import cycle

from endivepick.core.messages import CallerAddress, Open, Opened, Renew
from endivepick.core.packet_codec import decode_instance_packet, encode_packet
from endivepick.daemon.fabric import PREFIX_SIZE_BYTES, pack_prefix

__all__ = ["Sender"]

WINDOW_PACKETS = 128
"""Packets without an answer that may be under way."""
SILENCE_S = 0.2
"""Silence after which what is under way counts as lost, in seconds."""
GIVE_UP_S = 30.0
_BUFFER_BYTES = 4 << 20


class Sender:
    """Stands for fabric and callers at once; bind it before the instances start.

    Attributes
    ----------
    address : str
        Where instances answer: their ``fabric.return_address``.
    lost : int
        Packets without an answer.
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.settimeout(SILENCE_S)
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
        end_s = time.monotonic() + GIVE_UP_S
        while len(tokens) < count and time.monotonic() < end_s:
            wanted = count - len(tokens)
            opens = (encode_packet(Open(n, service)) for n in range(wanted))
            self._exchange(to, opens, lambda answer: tokens.extend(_token(answer)))
        return tokens[:count]

    def flood(self, to: CallerAddress, tokens: list[bytes], duration_s: float) -> int:
        """Ask for renewed tokens for a while; returns the answers."""
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
        take: Callable[[bytes], None],
    ) -> None:
        """Send all packets, at most ``WINDOW_PACKETS`` ahead of the answers."""
        under_way = 0
        for packet in packets:
            self._socket.sendto(self._prefix + packet, to)
            under_way += 1
            while under_way >= WINDOW_PACKETS:
                under_way = self._receive(under_way, take)
        while under_way:
            under_way = self._receive(under_way, take)

    def _receive(self, under_way: int, take: Callable[[bytes], None]) -> int:
        try:
            datagram = self._socket.recv(2048)
        except TimeoutError:
            self.lost += under_way
            return 0
        take(datagram[PREFIX_SIZE_BYTES:])
        return under_way - 1


def _token(answer: bytes) -> Iterable[bytes]:
    match decode_instance_packet(answer):
        case Opened(token=token):
            yield token

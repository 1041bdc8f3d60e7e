"""Caller that sends requests under tokens of its own making."""

import json
import select
import socket
from dataclasses import dataclass
from typing import Any

from endivepick.core.messages import InstancePacket, Open, Opened, RequestHead
from endivepick.core.messages import RequestPart as Part
from endivepick.core.packet_codec import (
    decode_instance_packet,
    encode_packet,
    encode_struct,
)
from endivepick.core.token import FlowToken, TokenCodec, TokenKeys
from standins.control import parse_address
from standins.process import wait_until

__all__ = ["Forger", "seal"]

_RECEIVE_BYTES = 2048
_REPEAT_S = 0.2
_LIFETIME_S = 86_400.0
_DEADLINE_MS = 10_000


def seal(keys: TokenKeys, token: FlowToken) -> bytes:
    """Sign a token."""
    return TokenCodec(keys, _LIFETIME_S).seal(token)


@dataclass(frozen=True)
class Forger:
    """Sends single datagrams and reads what comes back; repeats nothing else.

    Attributes
    ----------
    socket : socket.socket
        Connected to the fabric.
    """

    socket: socket.socket

    @staticmethod
    def connected(fabric_address: str) -> "Forger":
        """Return one that talks to a fabric."""
        connection = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        connection.connect(parse_address(fabric_address))
        return Forger(connection)

    def open(self, service: str) -> Opened:
        """Open a flow."""
        found: list[Opened] = []

        def opened() -> bool:
            self.socket.send(encode_packet(Open(1, service)))
            replies = [p for p in self._replies() if isinstance(p, Opened)]
            found.extend(replies)
            return bool(found)

        wait_until(opened, f"a flow to {service}")
        return found[0]

    def _replies(self) -> list[InstancePacket]:
        ready, _, _ = select.select([self.socket], [], [], _REPEAT_S)
        return [decode_instance_packet(self.socket.recv(_RECEIVE_BYTES)) for _ in ready]

    def send_request(self, sealed: bytes, echo: str, seq: int = 1) -> None:
        """Send a request of one datagram under a token."""
        body: dict[str, Any] = {"work_ms": 0, "answer_bytes": 0, "echo": echo}
        head = RequestHead("POST", "/work", [], json.dumps(body).encode())
        data = encode_struct(head)
        part = Part(sealed, seq, 0, 1, False, _DEADLINE_MS, data)
        self.socket.send(encode_packet(part))

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()

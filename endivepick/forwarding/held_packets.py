"""Packets that are held until their target, or all routes, are known.

Scenario: an instance has just started, or receives packets of a flow whose target
was registered a moment ago, while many packets of other flows arrive.  The number of
held packets and the time are bounded, since the caller retransmits soon anyway.
"""

from collections import deque

from msgspec import Struct

from endivepick.forwarding.actions import DecisionRecord
from endivepick.forwarding.model import Packet
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["HeldPacket", "HeldPackets", "describe_held_packet"]


class HeldPacket(Struct, frozen=True):
    """A held packet.

    Attributes
    ----------
    packet : Packet
        Its header.
    data : bytes
        The whole datagram.
    since_s : float
        Time of arrival, in seconds.
    """

    packet: Packet
    data: bytes
    since_s: float


class HeldPackets:
    """Held packets, in order of arrival.

    Parameters
    ----------
    settings : ForwardingSettings
        Limits on their number and on the time that they are held.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._waiting: deque[HeldPacket] = deque()

    def add(self, held: HeldPacket) -> bool:
        """Hold a packet; returns False if the limit is reached."""
        if len(self._waiting) >= self._settings.held_packets:
            return False
        self._waiting.append(held)
        return True

    def take_all(self) -> deque[HeldPacket]:
        """Return all held packets and clear the queue."""
        waiting, self._waiting = self._waiting, deque()
        return waiting

    def expire(self, now_s: float) -> list[DecisionRecord]:
        """Drop packets that were held for too long."""
        notes = []
        limit_s = now_s - self._settings.held_s
        while self._waiting and self._waiting[0].since_s <= limit_s:
            held = self._waiting.popleft()
            age_s = now_s - held.since_s
            note = describe_held_packet(
                "packet_dropped", held.packet, "nothing learnt", age_s
            )
            notes.append(note)
        return notes


def describe_held_packet(
    name: str, packet: Packet, reason: str, age_s: float
) -> DecisionRecord:
    """Return the log record of a packet that is held or was dropped after a hold."""
    cookie = f"cookie {packet.cookie:08x}"
    return DecisionRecord(name, packet.flow, "", f"{reason}, {cookie}", age_s=age_s)

"""Packets that wait until their target, or all routes, are known.

Load pattern: an instance has just started, or a flow comes here whose target was
registered a moment ago, while many packets of others arrive.  What waits is bounded in
number and in time, since the caller repeats it soon.
"""

from collections import deque

from msgspec import Struct

from endivepick.forwarding.actions import DecisionRecord
from endivepick.forwarding.model import Packet
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["HeldPacket", "HeldPackets", "held_note"]


class HeldPacket(Struct, frozen=True):
    """A packet that waits.

    Attributes
    ----------
    packet : Packet
        Its head.
    data : bytes
        All of it.
    since_s : float
        When it came, in seconds.
    """

    packet: Packet
    data: bytes
    since_s: float


class HeldPackets:
    """Packets in the order in which they came.

    Parameters
    ----------
    settings : ForwardingSettings
        How many wait, and for how long.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._waiting: deque[HeldPacket] = deque()

    def add(self, held: HeldPacket) -> bool:
        """Let a packet wait; returns False if too many do."""
        if len(self._waiting) >= self._settings.held_packets:
            return False
        self._waiting.append(held)
        return True

    def take_all(self) -> deque[HeldPacket]:
        """Return all that wait, and keep none."""
        waiting, self._waiting = self._waiting, deque()
        return waiting

    def expire(self, now_s: float) -> list[DecisionRecord]:
        """Drop what has waited too long."""
        notes = []
        limit_s = now_s - self._settings.held_s
        while self._waiting and self._waiting[0].since_s <= limit_s:
            held = self._waiting.popleft()
            age_s = now_s - held.since_s
            note = held_note("packet_dropped", held.packet, "nothing learnt", age_s)
            notes.append(note)
        return notes


def held_note(name: str, packet: Packet, reason: str, age_s: float) -> DecisionRecord:
    """Return a note on a packet that waits, or that waited in vain."""
    cookie = f"cookie {packet.cookie:08x}"
    return DecisionRecord(name, packet.flow, "", f"{reason}, {cookie}", age_s=age_s)

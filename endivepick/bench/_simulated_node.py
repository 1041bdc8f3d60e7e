"""The decision core of one node in a made-up fleet, driven without sockets."""

import time
from collections import Counter
from itertools import count
from random import Random
from typing import Any

from endivepick.bench._fleet import Fleet
from endivepick.core.actions import Action, SendToPeer
from endivepick.core.core_settings import CoreSettings
from endivepick.core.events import (
    Event,
    InstancesListed,
    ObjectsListed,
    PeerMessage,
    Tick,
)
from endivepick.core.instance import InstanceCore
from endivepick.core.keyring import first_keyring, keyring_to_body
from endivepick.core.peer_envelope import Envelope, encode_envelope
from endivepick.membership import ListedInstance
from endivepick.membership.peer_messages import (
    Ack,
    Liveness,
    MemberUpdate,
    Phase,
    Ping,
    SyncPage,
)
from endivepick.platform.answers import ObjectList
from endivepick.records.cache import CACHED_KINDS
from endivepick.records.objects import KEYRING_KIND, SERVICE_KIND, StoredObject
from endivepick.records.peer_messages import ConfigDigest

__all__ = ["SimulatedNode", "instance_name", "member_update", "record_object"]

TICK_S = 0.05
PING_EVERY_TICKS = 5
START_S = 1_700_000_000.0
_REVISION = 1_000_000


def instance_name(number: int) -> str:
    """Return the name of an instance of a made-up fleet."""
    return f"entry-{number:05d}"


def member_update(fleet: Fleet, number: int) -> MemberUpdate:
    """Return the news about an instance that is alive and ready."""
    return MemberUpdate(
        instance_name(number),
        fleet.zone_of(number),
        f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000",
        2**63 + number,
        int(START_S * 1000) - 1,
        Phase.READY,
        0,
        Liveness.ALIVE,
    )


def record_object(fleet: Fleet, number: int, version: int = 0) -> StoredObject:
    """Return the record of a service whose targets stand in one region."""
    zones = fleet.zones_of_region(number % fleet.regions)
    targets = [
        {
            "name": f"target-{index}",
            "zone": zones[index % len(zones)],
            "address": f"10.20.{number & 255}.{index}:8080",
            "slots": 2,
            "connections": 2000,
            "draining": False,
        }
        for index in range(fleet.targets_per_record)
    ]
    body = {
        "schema_version": 2,
        "write_id": "0123456789abcdef",
        "affinity": "request",
        "request_timeout_s": 30.0,
        "waiting_per_slot": 8,
        "spill_share": 1.0,
        "targets": targets,
    }
    return StoredObject(
        SERVICE_KIND, f"service-{number:05d}", version or number + 1, body
    )


class SimulatedNode:
    """One core whose peers answer each probe.

    Parameters
    ----------
    fleet : Fleet
        Instances and records that it knows.
    seed : int
        Seed of all random numbers.

    Attributes
    ----------
    busy_s : float
        Processor time of the core since the last ``reset``, in seconds.
    sent_bytes : Counter of str
        Bytes of encoded envelopes, by type of the message.
    """

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self.fleet = fleet
        self.now_s = START_S
        self.random = Random(seed)
        self.busy_s = 0.0
        self.longest_s = 0.0
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self._ticks = count()
        self._silent: set[str] = set()
        self._peers = [member_update(fleet, n) for n in range(1, fleet.instances)]
        settings = CoreSettings(instance_name(0), fleet.zone_of(0))
        self.core = InstanceCore(
            settings,
            2**63,
            "10.0.0.0:7000",
            lambda: self.random.getrandbits(64),
            self.now_s,
        )
        self.core.start()

    def join(self) -> None:
        """Give the core its peers and all records, and let it become ready."""
        self.take_members()
        self.take_records()
        self.run(1.0)

    def take_members(self) -> None:
        """Give the core its peers, as on join."""
        entries = [ListedInstance(p.name, p.zone, p.peer_address) for p in self._peers]
        self.handle(InstancesListed(tuple(entries), 0.0))
        self.deliver_message(SyncPage(0, [], self._peers, []))

    def take_records(self) -> None:
        """Give the core the keyring and all records."""
        keyring = keyring_to_body(first_keyring(bytes(32), 0.0))
        keys = StoredObject(KEYRING_KIND, "tokens", _REVISION, keyring)
        records = [record_object(self.fleet, n) for n in range(self.fleet.records)]
        objects = {SERVICE_KIND: records, KEYRING_KIND: [keys]}
        for kind in CACHED_KINDS:
            listed = ObjectList(kind, _REVISION, tuple(objects.get(kind, ())))
            self.handle(ObjectsListed(listed))

    def reset(self) -> None:
        """Count anew."""
        self.busy_s = self.longest_s = 0.0
        self.sent.clear()
        self.sent_bytes.clear()

    def run(self, duration_s: float) -> None:
        """Let time pass, with one probe by a peer in each period."""
        for _ in range(round(duration_s / TICK_S)):
            self.now_s += TICK_S
            self.handle(Tick())
            number = next(self._ticks)
            if number % PING_EVERY_TICKS == 0 and self._peers:
                self.deliver_message(Ping(number, 1, 0, [], []))

    def deliver_message(
        self, message: Any, sender: MemberUpdate | None = None
    ) -> list[Action]:
        """Give the core a message of a peer, a random one by default."""
        peer = sender or self.random.choice(self._peers)
        return self.handle(PeerMessage(peer.name, peer.incarnation, message))

    def get_member_update(self, number: int) -> MemberUpdate:
        """Return the news about a peer; ``number`` is at least 1."""
        return self._peers[number - 1]

    def handle(self, event: Event) -> list[Action]:
        """Give the core an event; peers answer at once."""
        started_s = time.process_time()
        actions = self.core.handle(event, self.now_s)
        took_s = time.process_time() - started_s
        self.busy_s += took_s
        self.longest_s = max(self.longest_s, took_s)
        for action in actions:
            if isinstance(action, SendToPeer):
                self._sent(action)
        return actions

    def _sent(self, action: SendToPeer) -> None:
        kind = type(action.message).__name__
        envelope = Envelope(self.core.me.name, 2**63, 2**60, action.message)
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(encode_envelope(envelope))
        match action.message:
            case Ping(sequence=sequence):
                self.answer(action.name, Ack(sequence, [], []))
            case ConfigDigest(reply=True, question=question):
                self.answer(action.name, self._digest(question))

    def silence(self, names: set[str]) -> None:
        """Let peers answer no more."""
        self._silent |= names

    def answer(self, name: str, message: Any) -> list[Action]:
        """Give the core a message of the peer of this name."""
        if name in self._silent:
            return []
        peer = self.get_member_update(int(name.rpartition("-")[2]))
        return self.handle(PeerMessage(peer.name, peer.incarnation, message))

    def _digest(self, question: int) -> ConfigDigest:
        held = self.core.configuration.cache.digest
        return ConfigDigest(held.root, held.revision, ready=True, answered=question)

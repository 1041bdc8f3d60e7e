"""Instances and a store joined by queues, for tests of the decisions alone."""

import random
from collections import deque

from endivepick.core.actions import SendToPeer
from endivepick.core.events import PeerMessage
from endivepick.core.packet_codec import decode_struct, encode_struct
from endivepick.membership.view import InstanceView, PeerState
from endivepick.platform.answers import ObjectList, WatchResult
from endivepick.records.cache import CACHED_KINDS, RecordCache
from endivepick.records.dissemination import Dissemination
from endivepick.records.events import (
    ConfigurationReady,
    ListReceived,
    MembersChanged,
    PlatformFailed,
    RecordsChanged,
    StartWatch,
    StopWatch,
    Tick,
    WatchReceived,
)
from endivepick.records.objects import StoredObject
from endivepick.records.settings import DisseminationSettings

TICK_S = 0.1


class Store:
    """History of a store and who can reach it."""

    def __init__(self):
        self.events = []
        self.cut_off = set()

    def put(self, name, body=None, kind="service"):
        version = len(self.events) + 1
        body = {"text": "x" * 200} if body is None else body
        self.events.append(StoredObject(kind, name, version, body))
        return version

    def delete(self, name, kind="service"):
        self.events.append(StoredObject(kind, name, len(self.events) + 1, None))

    def live(self, kind):
        newest = {event.key: event for event in self.events}
        return tuple(e for e in newest.values() if not e.deleted and e.kind == kind)


class Node:
    """One instance: its decisions, and the watch that they asked for."""

    def __init__(self, name, zone, settings, incarnation):
        self.name, self.zone = name, zone
        self.cache = RecordCache()
        self.core = Dissemination(settings, name, zone, self.cache, incarnation)
        self.watch_after = None
        self.sent_bytes = 0
        self.deltas = 0


class Network:
    """Steps all nodes; messages arrive within the step unless cut or lost."""

    def __init__(self, zones, settings=None, seed=1):
        self.settings = settings or DisseminationSettings()
        self.random = random.Random(seed)
        self.store = Store()
        self.nodes = {}
        self.cuts = set()
        self.loss = 0.0
        self.delay = 0.0
        self.delayed = []
        self.now_s = 0.0
        self.calls = 0
        self.started = 0
        for zone, count in zones.items():
            for index in range(count):
                self.start(f"{zone}-{index}", zone)
        self.refresh_members()

    def start(self, name, zone):
        self.started += 1
        self.nodes[name] = Node(name, zone, self.settings, self.started)

    def refresh_members(self, suspects=()):
        alive, suspect = PeerState.ALIVE, PeerState.SUSPECT
        states = {name: suspect if name in suspects else alive for name in self.nodes}
        for node in self.nodes.values():
            peers = tuple(
                InstanceView(peer.name, peer.zone, 1, "", states[peer.name])
                for peer in self.nodes.values()
                if peer is not node
            )
            self.deliver(node, MembersChanged(peers))

    def cut_zone(self, zone, from_peers=False):
        names = {node.name for node in self.nodes.values() if node.zone == zone}
        self.store.cut_off |= names
        if from_peers:
            others = self.nodes.keys() - names
            self.cuts |= {(a, b) for a in names for b in others}

    def silence(self, names):
        """Cut all links of some instances, as if they had been killed."""
        self.store.cut_off |= set(names)
        self.cuts |= {(name, other) for name in names for other in self.nodes}

    def heal(self):
        self.store.cut_off.clear()
        self.cuts.clear()

    def run(self, condition, limit_s=60.0):
        """Step until the condition holds; returns the time it took."""
        start_s = self.now_s
        while not condition():
            if self.now_s - start_s > limit_s:
                raise AssertionError(f"not reached within {limit_s} s")
            self.step()
        return self.now_s - start_s

    def step(self):
        self.now_s += TICK_S
        late, self.delayed = self.delayed, []
        self.random.shuffle(late)
        for node, event in late:
            # A restarted instance gets what was meant for the one before.
            self.deliver(self.nodes[node.name], event)
        for node in list(self.nodes.values()):
            self.deliver(node, Tick(self.random.random()))
            self.watch(node)

    def watch(self, node):
        if node.watch_after is None:
            return
        if node.name in self.store.cut_off:
            self.deliver(node, PlatformFailed())
            return
        if node.watch_after == 0:
            for kind in CACHED_KINDS:
                self.calls += 1
                revision = len(self.store.events)
                listed = ObjectList(kind, revision, self.store.live(kind))
                self.deliver(node, ListReceived(listed))
            node.watch_after = revision
        events = tuple(self.store.events[node.watch_after :])
        if events:
            self.calls += 1
            result = WatchResult(node.watch_after, len(self.store.events), events)
            node.watch_after = result.revision
            self.deliver(node, WatchReceived(result))

    def deliver(self, node, event):
        queue = deque([(node, event)])
        while queue:
            node, event = queue.popleft()
            for action in node.core.handle(event, self.now_s):
                queue.extend(self.perform(node, action))

    def perform(self, node, action):
        match action:
            case SendToPeer(name, message):
                return self.send(node, name, message)
            case StartWatch(after):
                node.watch_after = after
            case StopWatch():
                node.watch_after = None
            case RecordsChanged() | ConfigurationReady():
                pass
        return []

    def send(self, node, name, message):
        data = encode_struct(message)
        node.sent_bytes += len(data)
        node.deltas += type(message).__name__ == "ConfigDelta"
        link = (node.name, name)
        cut = link in self.cuts or link[::-1] in self.cuts
        if cut or name not in self.nodes or self.random.random() < self.loss:
            return []
        received = decode_struct(data, type(message))
        event = (self.nodes[name], PeerMessage(node.name, 1, received))
        if self.random.random() < self.delay:
            # Late, and sometimes twice.
            self.delayed += [event] * self.random.choice((1, 2))
            return []
        return [event]

    def check_claims(self):
        """Each cache holds all that its revision claims, and nothing deleted."""
        for node in self.nodes.values():
            revision = node.cache.revision
            newest = {event.key: event for event in self.store.events[:revision]}
            truth = {e.key: e.version for e in newest.values() if not e.deleted}
            live = {stored.key: stored.version for stored in node.cache.live()}
            for key, version in truth.items():
                held = node.cache.get(key.kind, key.name)
                if held is None or held.version < version:
                    raise AssertionError(f"{node.name} lacks {key} at {revision}")
            for key, version in live.items():
                if version <= revision and truth.get(key) != version:
                    raise AssertionError(f"{node.name} went back to {key}@{version}")

    def in_force(self, name, version, zones=None):
        held = (
            node.cache.get("service", name)
            for node in self.nodes.values()
            if zones is None or node.zone in zones
        )
        return all(stored is not None and stored.version >= version for stored in held)

    def holds(self, node, name, version):
        stored = self.nodes[node].cache.get("service", name)
        return stored is not None and stored.version >= version

    def all_ready(self):
        return all(node.core.ready for node in self.nodes.values())

    def all_at_head(self):
        head = len(self.store.events)
        return all(node.cache.revision == head for node in self.nodes.values())

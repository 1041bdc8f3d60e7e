"""A zone of status writers over a store with conditional writes, in made-up time."""

import random

import msgspec

from endivepick.cli.status_view import StatusSources, view_system
from endivepick.core.actions import CallPlatform, SendToPeer
from endivepick.core.platform_calls import (
    CallFailed,
    ObjectRead,
    ObjectWritten,
    ReadObject,
    WriteObject,
)
from endivepick.core.zone_status import ZoneStatusReporter
from endivepick.membership import InstanceView, PeerState
from endivepick.platform.answers import ListedInstance
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import (
    InstanceStatus,
    SubtreeReport,
    TargetStatus,
)
from endivepick.records.roles import compute_zone_roles, hash_names
from endivepick.records.schema import parse_service
from endivepick.records.settings import DisseminationSettings, StatusSettings
from endivepick.records.status import StatusView
from endivepick.records.status_groups import find_status_group, select_rows
from endivepick.records.tests.test_schema import body_v2

ZONE = "thamel"
SETTINGS = StatusSettings(group_instances=8)
STEP_S = 0.25
DAY_S = 86_400.0


class Node:
    """One instance: its beliefs are set by the test."""

    def __init__(self, name, members, records):
        self.name = name
        self.records = records
        self.believe(members)
        self.load = 0
        self.status = ZoneStatusReporter(SETTINGS, name, ZONE, self)

    def believe(self, members):
        self.members = tuple(members)
        peers = [InstanceView(n, ZONE, 1, "", PeerState.ALIVE) for n in members]
        self._roles = compute_zone_roles(ZONE, peers, DisseminationSettings())
        self.group = find_status_group(
            self.name, ZONE, self._roles, SETTINGS.group_instances
        )

    @property
    def status_writer(self):
        return self._roles.status_writer

    def build_own_status(self):
        target = TargetStatus(self.name, "t1", "ready", self.load % 3, 0, 2)
        return InstanceStatus("ready", DAY_S, (2,), (target,))

    def view(self):
        return self._view(of_group=False)

    def group_view(self):
        return self._view(of_group=True)

    def _view(self, of_group):
        members = self.members
        revision = max(record.version for record in self.records)
        report = SubtreeReport(revision, len(members), hash_names(members))
        writes_zone = self.status_writer == self.name
        shown = select_rows(self.name, members, self.group, writes_zone, of_group)
        states = dict.fromkeys(members, "alive")
        records = () if of_group else self.records
        return StatusView(records, report, members, states, shown)


class StatusZone:
    """Nodes, the store, and what an operator would see.

    Services have one target each and are named like the instance that owns it.
    """

    def __init__(self, names):
        self.random = random.Random(7)
        self.now_s = 2 * DAY_S
        self.outage = False
        self.objects = {}
        self.revision = 10_000
        self.written = []
        names = list(names)
        body = body_v2()
        body["targets"] = [{**body["targets"][0], "name": "t1"}]
        self.services = [
            StoredObject("service", name, 1000 + n, body)
            for n, name in enumerate(names)
        ]
        self.records = [
            parse_service(stored.name, stored.version, stored.body).unwrap()
            for stored in self.services
        ]
        self.nodes = {name: Node(name, names, self.records) for name in names}

    def believe(self, members, names=None):
        """Let nodes believe in these members."""
        for name in names or members:
            self.nodes[name].believe(members)

    def run(self, duration_s, check=None):
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            for node in list(self.nodes.values()):
                node.load += self.random.random() < 0.1
                self._act(node, node.status.tick(self.random.random(), self.now_s))
            if check:
                check()

    def _act(self, node, actions):
        for action in actions:
            match action:
                case SendToPeer(name, part):
                    if name in self.nodes:
                        self.nodes[name].status.record_part(node.name, part, self.now_s)
                case CallPlatform(call=call):
                    answer = self._call(call)
                    share = self.random.random()
                    node.status.answered(answer, share, self.now_s)

    def _call(self, call):
        if self.outage:
            return CallFailed("outage")
        stored = self.objects.get(call.name)
        match call:
            case ReadObject():
                return ObjectRead(stored)
            case WriteObject(body=body, if_version=if_version):
                if if_version != (stored.version if stored else 0):
                    return CallFailed("conflict")
                self.revision += 1
                body = {**body, "write_id": str(self.revision)}
                data = msgspec.json.encode(body)
                self.written.append((self.now_s, call.name, len(data)))
                stored = StoredObject(
                    "status", call.name, self.revision, msgspec.json.decode(data)
                )
                self.objects[call.name] = stored
                return ObjectWritten(stored)

    def shown(self):
        """Return what the status command makes of the store."""
        listed = [
            ListedInstance(name, ZONE, "127.0.0.1:1", "127.0.0.1:2", "live")
            for name in self.nodes
        ]
        objects = list(self.objects.values())
        return view_system(StatusSources(self.services, objects, listed, self.now_s))

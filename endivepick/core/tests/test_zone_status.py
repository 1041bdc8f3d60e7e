import unittest
from dataclasses import replace

from endivepick.core.actions import CallPlatform, SendToPeer
from endivepick.core.platform_calls import (
    CallFailed,
    ObjectRead,
    ObjectWritten,
    ReadObject,
    WriteObject,
)
from endivepick.core.zone_status import ZoneStatusReporter
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import (
    InstanceStatus,
    SubtreeReport,
    TargetStatus,
)
from endivepick.records.roles import hash_names
from endivepick.records.settings import StatusSettings
from endivepick.records.status import RowSelection, StatusView
from endivepick.records.status_groups import StatusGroup

MEMBERS = ("a", "b")
SETTINGS = StatusSettings()


class FixedSources:
    """What an instance knows, set by the test."""

    def __init__(self, writer):
        self.status_writer = writer
        self.group = None
        self.part = InstanceStatus("ready", 1.0, (2,), ())

    def build_own_status(self):
        return self.part

    def group_view(self):
        view = self.view()
        return replace(view, shown=RowSelection(MEMBERS, group=2))

    def view(self):
        report = SubtreeReport(5, 2, hash_names(MEMBERS))
        groups = self.group.groups if self.group else 0
        shown = RowSelection((), (), groups) if groups else RowSelection()
        return StatusView([], report, MEMBERS, {}, shown)


class TestZoneStatus(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0

    def status(self, writer):
        self.sources = FixedSources(writer)
        return ZoneStatusReporter(SETTINGS, "a", "north", self.sources)

    def tick(self, status, after_s=0.05):
        self.now_s += after_s
        return status.tick(0.0, self.now_s)

    def call(self, status):
        """Let time pass until the platform is called."""
        for _ in range(1000):
            for action in self.tick(status):
                if isinstance(action, CallPlatform):
                    return action.call
        raise AssertionError("no call")

    def sent(self, status, duration_s):
        actions = []
        for _ in range(round(duration_s / 0.05)):
            actions += self.tick(status)
        return [action for action in actions if isinstance(action, SendToPeer)]

    def test_part_goes_to_the_writer_again_before_it_expires(self):
        status = self.status("b")
        sent = self.sent(status, SETTINGS.part_expiry_s)
        self.assertEqual({action.name for action in sent}, {"b"})
        self.assertGreaterEqual(len(sent), 2)
        self.assertLessEqual(len(sent), 5)

    def test_change_of_state_is_told_soon_and_load_with_the_next_part(self):
        status = self.status("b")
        self.sent(status, 1.0)
        target = TargetStatus("leave", "t1", "ready", 0, 0, 2)
        self.sources.part = InstanceStatus("ready", 1.0, (2,), (target,))
        self.assertEqual(len(self.sent(status, SETTINGS.write_interval_s)), 1)
        target = TargetStatus("leave", "t1", "ready", 1, 4, 2)
        self.sources.part = InstanceStatus("ready", 1.0, (2,), (target,))
        self.assertEqual(self.sent(status, SETTINGS.write_interval_s), [])
        [action] = self.sent(status, SETTINGS.part_expiry_s / 3)
        self.assertEqual(action.message.targets, (target,))

    def test_new_writer_gets_the_part_at_once(self):
        status = self.status("b")
        self.sent(status, 1.0)
        self.sources.status_writer = "c"
        [action] = self.sent(status, SETTINGS.write_interval_s)
        self.assertEqual(action.name, "c")

    def test_writer_reads_and_writes_with_all_parts(self):
        status = self.status("a")
        self.assertEqual(self.call(status), ReadObject("status", "north"))
        status.record_part("b", InstanceStatus("leaving", 2.0, (2,), ()), self.now_s)
        status.answered(ObjectRead(None), 0.0, self.now_s)
        call = self.call(status)
        self.assertIsInstance(call, WriteObject)
        self.assertEqual(call.if_version, 0)
        self.assertEqual(call.body["instances"]["a"]["state"], "ready")
        self.assertEqual(call.body["instances"]["b"]["state"], "leaving")
        stored = StoredObject("status", "north", 9, call.body)
        status.answered(ObjectWritten(stored), 0.0, self.now_s)
        self.assertEqual(self.sent(status, 1.0), [])

    def test_failed_call_is_followed_by_a_read_after_a_wait(self):
        status = self.status("a")
        self.call(status)
        status.answered(CallFailed("outage"), 1.0, self.now_s)
        failed_s = self.now_s
        self.assertEqual(self.call(status), ReadObject("status", "north"))
        first_wait_s = self.now_s - failed_s
        status.answered(CallFailed("outage"), 1.0, self.now_s)
        failed_s = self.now_s
        self.call(status)
        self.assertGreater(self.now_s - failed_s, first_wait_s)

    def test_who_no_longer_writes_reads_before_it_writes_again(self):
        status = self.status("a")
        self.call(status)
        status.answered(ObjectRead(None), 0.0, self.now_s)
        self.sources.status_writer = "b"
        self.tick(status)
        self.sources.status_writer = "a"
        self.assertIsInstance(self.call(status), ReadObject)

    def grouped(self, writer):
        status = self.status("a")
        self.sources.group = StatusGroup("north", 2, 3, frozenset(MEMBERS), writer)
        return status

    def test_part_goes_to_the_writer_of_the_group(self):
        status = self.grouped("b")
        [action] = self.sent(status, SETTINGS.write_interval_s)
        self.assertEqual(action.name, "b")

    def test_writer_of_zone_and_group_makes_one_call_at_a_time(self):
        status = self.grouped("a")
        status.record_part("b", InstanceStatus("ready", 2.0, (2,), ()), self.now_s)
        names, written = [], {}
        for _ in range(4):
            call = self.call(status)
            self.assertEqual(
                [a for a in self.tick(status) if isinstance(a, CallPlatform)], []
            )
            names.append(call.name)
            if isinstance(call, ReadObject):
                status.answered(ObjectRead(None), 0.0, self.now_s)
            else:
                written[call.name] = call.body
                stored = StoredObject("status", call.name, 9, call.body)
                status.answered(ObjectWritten(stored), 0.0, self.now_s)
        self.assertEqual(sorted(names), ["north", "north", "north.2", "north.2"])
        self.assertEqual(written["north"]["groups"], 3)
        self.assertEqual(written["north"]["instances"], {})
        self.assertEqual(sorted(written["north.2"]["instances"]), ["a", "b"])

    def test_who_no_longer_writes_for_the_group_reads_before_it_writes_again(self):
        status = self.grouped("a")
        self.sources.status_writer = "c"
        self.assertEqual(self.call(status), ReadObject("status", "north.2"))
        status.answered(ObjectRead(None), 0.0, self.now_s)
        known, self.sources.group = self.sources.group, None
        self.tick(status)
        self.sources.group = known
        self.assertEqual(self.call(status), ReadObject("status", "north.2"))

    def test_nothing_is_written_without_a_configuration(self):
        status = self.status(None)
        actions = [action for _ in range(100) for action in self.tick(status)]
        self.assertEqual(actions, [])

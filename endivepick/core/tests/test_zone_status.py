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
    """Inputs of the zone status that the test sets."""

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

    def create_status(self, writer):
        self.sources = FixedSources(writer)
        return ZoneStatusReporter(SETTINGS, "a", "north", self.sources)

    def tick(self, status, after_s=0.05):
        self.now_s += after_s
        return status.tick(0.0, self.now_s)

    def next_call(self, status):
        """Advance time until the platform is called and return the call."""
        for _ in range(1000):
            for action in self.tick(status):
                if isinstance(action, CallPlatform):
                    return action.call
        raise AssertionError("no call")

    def collect_sent(self, status, duration_s):
        actions = []
        for _ in range(round(duration_s / 0.05)):
            actions += self.tick(status)
        return [action for action in actions if isinstance(action, SendToPeer)]

    def test_status_is_sent_again_before_it_expires(self):
        status = self.create_status("b")
        sent = self.collect_sent(status, SETTINGS.part_expiry_s)
        self.assertEqual({action.name for action in sent}, {"b"})
        self.assertGreaterEqual(len(sent), 2)
        self.assertLessEqual(len(sent), 5)

    def test_state_change_is_sent_soon_and_load_with_the_next_status(self):
        status = self.create_status("b")
        self.collect_sent(status, 1.0)
        target = TargetStatus("leave", "t1", "ready", 0, 0, 2)
        self.sources.part = InstanceStatus("ready", 1.0, (2,), (target,))
        self.assertEqual(len(self.collect_sent(status, SETTINGS.write_interval_s)), 1)
        target = TargetStatus("leave", "t1", "ready", 1, 4, 2)
        self.sources.part = InstanceStatus("ready", 1.0, (2,), (target,))
        self.assertEqual(self.collect_sent(status, SETTINGS.write_interval_s), [])
        [action] = self.collect_sent(status, SETTINGS.part_expiry_s / 3)
        self.assertEqual(action.message.targets, (target,))

    def test_new_writer_receives_the_status_at_once(self):
        status = self.create_status("b")
        self.collect_sent(status, 1.0)
        self.sources.status_writer = "c"
        [action] = self.collect_sent(status, SETTINGS.write_interval_s)
        self.assertEqual(action.name, "c")

    def test_writer_reads_and_writes_all_statuses(self):
        status = self.create_status("a")
        self.assertEqual(self.next_call(status), ReadObject("status", "north"))
        status.record_part("b", InstanceStatus("leaving", 2.0, (2,), ()), self.now_s)
        status.answered(ObjectRead(None), 0.0, self.now_s)
        call = self.next_call(status)
        self.assertIsInstance(call, WriteObject)
        self.assertEqual(call.if_version, 0)
        self.assertEqual(call.body["instances"]["a"]["state"], "ready")
        self.assertEqual(call.body["instances"]["b"]["state"], "leaving")
        stored = StoredObject("status", "north", 9, call.body)
        status.answered(ObjectWritten(stored), 0.0, self.now_s)
        self.assertEqual(self.collect_sent(status, 1.0), [])

    def test_failed_call_is_followed_by_a_read_after_backoff(self):
        status = self.create_status("a")
        self.next_call(status)
        status.answered(CallFailed("outage"), 1.0, self.now_s)
        failed_s = self.now_s
        self.assertEqual(self.next_call(status), ReadObject("status", "north"))
        first_wait_s = self.now_s - failed_s
        status.answered(CallFailed("outage"), 1.0, self.now_s)
        failed_s = self.now_s
        self.next_call(status)
        self.assertGreater(self.now_s - failed_s, first_wait_s)

    def test_former_zone_writer_reads_before_it_writes_again(self):
        status = self.create_status("a")
        self.next_call(status)
        status.answered(ObjectRead(None), 0.0, self.now_s)
        self.sources.status_writer = "b"
        self.tick(status)
        self.sources.status_writer = "a"
        self.assertIsInstance(self.next_call(status), ReadObject)

    def create_grouped_status(self, writer):
        status = self.create_status("a")
        self.sources.group = StatusGroup("north", 2, 3, frozenset(MEMBERS), writer)
        return status

    def test_status_is_sent_to_the_group_writer(self):
        status = self.create_grouped_status("b")
        [action] = self.collect_sent(status, SETTINGS.write_interval_s)
        self.assertEqual(action.name, "b")

    def test_writer_of_zone_and_group_makes_one_call_at_a_time(self):
        status = self.create_grouped_status("a")
        status.record_part("b", InstanceStatus("ready", 2.0, (2,), ()), self.now_s)
        names, written = [], {}
        for _ in range(4):
            call = self.next_call(status)
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

    def test_former_group_writer_reads_before_it_writes_again(self):
        status = self.create_grouped_status("a")
        self.sources.status_writer = "c"
        self.assertEqual(self.next_call(status), ReadObject("status", "north.2"))
        status.answered(ObjectRead(None), 0.0, self.now_s)
        known, self.sources.group = self.sources.group, None
        self.tick(status)
        self.sources.group = known
        self.assertEqual(self.next_call(status), ReadObject("status", "north.2"))

    def test_nothing_is_written_without_a_configuration(self):
        status = self.create_status(None)
        actions = [action for _ in range(100) for action in self.tick(status)]
        self.assertEqual(actions, [])

import unittest

from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import (
    InstanceStatus,
    RefusedRecord,
    SubtreeReport,
    TargetStatus,
)
from endivepick.records.roles import hash_names
from endivepick.records.schema import parse_service
from endivepick.records.settings import StatusSettings
from endivepick.records.status import (
    ReadStatus,
    StatusView,
    StatusWriter,
    WriteStatus,
)
from endivepick.records.tests.test_schema import body_v2

MEMBERS = ("a", "b", "c")


def view(version, revision, reporting=MEMBERS, refused=()):
    record = parse_service("leave", version, body_v2()).unwrap()
    report = SubtreeReport(revision, len(reporting), hash_names(reporting), refused)
    return StatusView([record], report, MEMBERS, {})


class TestStatusWriter(unittest.TestCase):
    def setUp(self):
        self.writer = StatusWriter(StatusSettings(), "thamel")
        self.now_s = 0.0
        self.version = 0

    def step(self, shown):
        self.now_s += 2.0
        return self.writer.step(shown, self.now_s, 0.5)

    def store(self, body):
        self.version += 1
        return StoredObject("status", "thamel", self.version, body)

    def write(self, shown):
        action = self.step(shown)
        if isinstance(action, ReadStatus):
            self.writer.on_read(None)
            action = self.step(shown)
        self.assertIsInstance(action, WriteStatus)
        self.writer.on_written(self.store(action.body))
        return action.body["records"]["leave"]

    def test_in_force_only_once_every_instance_reported_it(self):
        self.assertEqual(self.write(view(5, 5))["in_force"], 5)
        late = self.write(view(7, 6))
        self.assertEqual((late["accepted"], late["in_force"]), (7, 5))
        missing = self.write(view(8, 9, reporting=("a", "b")))
        self.assertEqual((missing["accepted"], missing["in_force"]), (8, 5))
        double = self.write(view(8, 9, reporting=("a", "b", "b")))
        self.assertEqual(double["in_force"], 5)
        self.assertEqual(self.write(view(8, 9))["in_force"], 8)

    def test_refused_version_shows_with_its_reason(self):
        refused = (RefusedRecord("leave", 9, 4, "schema 3 is newer"),)
        entry = self.write(view(5, 9, refused=refused))
        self.assertEqual((entry["accepted"], entry["in_force"]), (5, 4))
        self.assertEqual(entry["refused"]["version"], 9)
        self.assertNotIn("refused", self.write(view(10, 10)))

    def test_writes_on_change_only_and_at_a_bounded_rate(self):
        self.write(view(5, 5))
        self.assertIsNone(self.step(view(5, 6)))
        self.assertIsNotNone(self.writer.step(view(6, 6), self.now_s + 2.0, 0.5))
        self.writer.on_written(self.store({}))
        self.assertIsNone(self.writer.step(view(7, 7), self.now_s + 2.1, 0.5))

    def test_fields_of_a_newer_writer_stay(self):
        self.step(view(5, 5))
        newer = {
            "schema_version": 2,
            "weather": "fair",
            "records": {"leave": {"in_force": 3, "since_s": 12}},
        }
        self.writer.on_read(self.store(newer))
        action = self.step(view(5, 5))
        self.assertEqual(action.if_version, 1)
        self.assertEqual(action.body["schema_version"], 2)
        self.assertEqual(action.body["weather"], "fair")
        self.assertEqual(action.body["records"]["leave"]["since_s"], 12)

    def test_conflict_reads_again(self):
        self.write(view(5, 5))
        self.assertIsInstance(self.step(view(6, 6)), WriteStatus)
        self.assertIsNone(self.step(view(6, 6)))
        self.writer.failed(self.now_s, 3.0)
        self.assertIsNone(self.step(view(6, 6)))
        self.assertIsInstance(self.step(view(6, 6)), ReadStatus)

    def test_parts_of_instances_are_joined_and_expire(self):
        target = TargetStatus("leave", "t1", "ready", 1, 0, 3)
        part = InstanceStatus("serving", 100.0, (1, 2), (target,))
        self.writer.record_part("a", part, self.now_s)
        self.step(view(5, 5))
        self.writer.on_read(None)
        body = self.step(view(5, 5)).body
        self.assertEqual(body["instances"]["a"]["state"], "serving")
        self.assertEqual(body["targets"]["leave/t1"]["owner"], "a")
        self.writer.on_written(self.store(body))
        self.now_s += 60.0
        self.assertEqual(self.step(view(5, 5)).body["targets"], {})

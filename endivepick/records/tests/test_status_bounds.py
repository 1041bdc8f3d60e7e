import unittest

import msgspec

from endivepick.records._status_body import (
    RECORD_ROWS,
    TARGET_ROWS,
    RowSelection,
    StatusNews,
    StatusView,
    merge_status,
)
from endivepick.records.model import Affinity, ServiceRecord
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import (
    InstanceStatus,
    RefusedRecord,
    SubtreeReport,
    TargetStatus,
)
from endivepick.records.roles import hash_names
from endivepick.records.settings import StatusSettings
from endivepick.records.status import ReadStatus, StatusWriter

MEMBERS = tuple(f"entry-{number}" for number in range(600))
MANY = 2_000
BASE_VERSION = 10_000


def record(number, version):
    return ServiceRecord(f"service-{number}", version, 2, "", Affinity.FLOW, ())


def view(changed=0, revision=None, refused=(), reporting=MEMBERS, all_refusals=True):
    """Return a view of many records, the first ones changed after the others."""
    records = [
        record(n, BASE_VERSION + (MANY + n if n < changed else n)) for n in range(MANY)
    ]
    revision = BASE_VERSION + MANY - 1 if revision is None else revision
    report = SubtreeReport(revision, len(reporting), hash_names(reporting), refused)
    shown = RowSelection((), MEMBERS, 19)
    return StatusView(records, report, MEMBERS, {}, shown, all_refusals)


class LongListOfRecordsTest(unittest.TestCase):
    def test_records_in_force_have_no_row(self):
        body = merge_status("thamel", {}, view(), StatusNews())
        self.assertEqual(body["records"], {})
        self.assertEqual(body["in_force_up_to"], BASE_VERSION + MANY - 1)

    def test_changed_record_shows_the_version_that_is_in_force(self):
        writer = StatusWriter(StatusSettings(), "thamel")
        writer.step(view(), 0.0, 0.5)
        writer.on_read(None)
        first = writer.step(view(), 10.0, 0.5)
        writer.on_written(StoredObject("status", "thamel", 1, first.body))
        body = writer.step(view(changed=2), 20.0, 0.5).body
        self.assertEqual(sorted(body["records"]), ["service-0", "service-1"])
        row = body["records"]["service-1"]
        self.assertEqual(row["accepted"], BASE_VERSION + MANY + 1)
        self.assertEqual(row["in_force"], BASE_VERSION + 1)

    def test_floor_does_not_rise_without_the_report_of_each_instance(self):
        base = merge_status("thamel", {}, view(), StatusNews())
        late = view(changed=5, revision=10**6, reporting=MEMBERS[1:])
        body = merge_status("thamel", base, late, StatusNews())
        self.assertEqual(body["in_force_up_to"], base["in_force_up_to"])
        self.assertEqual(len(body["records"]), 5)

    def test_report_cut_short_proves_nothing_about_later_names(self):
        refused = (RefusedRecord("service-1", 99_999, 4, "schema 3"),)
        shown = view(changed=3, revision=10**6, refused=refused, all_refusals=False)
        base = {"in_force_up_to": BASE_VERSION + MANY - 1}
        rows = merge_status("thamel", base, shown, StatusNews())["records"]
        self.assertEqual(rows["service-1"]["in_force"], 4)
        self.assertEqual(rows["service-0"]["in_force"], BASE_VERSION + MANY)
        self.assertEqual(rows["service-2"]["in_force"], 0)

    def test_object_is_bounded_with_everything_late(self):
        body = merge_status("thamel", {}, view(revision=0), StatusNews())
        self.assertEqual(len(body["records"]), RECORD_ROWS)
        self.assertLess(len(msgspec.json.encode(body)), 10_000)

    def test_row_with_a_newer_field_stays(self):
        row = {"accepted": 1, "in_force": 1, "since_s": 12}
        base = {"records": {"service-7": row, "gone": row}}
        body = merge_status("thamel", base, view(), StatusNews())
        self.assertEqual(sorted(body["records"]), ["service-7"])
        self.assertEqual(body["records"]["service-7"]["since_s"], 12)

    def test_what_an_earlier_build_wrote_is_taken_over(self):
        rows = {
            f"service-{n}": {"accepted": BASE_VERSION, "in_force": BASE_VERSION - 7}
            for n in range(MANY)
        }
        late = view(revision=0, reporting=MEMBERS[1:])
        body = merge_status("thamel", {"records": rows}, late, StatusNews())
        found = {row["in_force"] for row in body["records"].values()}
        self.assertEqual(found, {BASE_VERSION - 7})


class RowsTest(unittest.TestCase):
    def test_targets_not_ready_are_shown_first_and_the_others_counted(self):
        states = ["cold" if n % 100 == 0 else "ready" for n in range(700)]
        targets = tuple(
            TargetStatus("notes", f"t{n}", state, 0, 0, 2)
            for n, state in enumerate(states)
        )
        part = InstanceStatus("ready", 1.0, (2,), targets, more_targets=300)
        report = SubtreeReport(1, 1, 0)
        shown = StatusView([], report, ["a"], {})
        body = merge_status("thamel", {}, shown, StatusNews({"a": part}))
        self.assertEqual(len(body["targets"]), TARGET_ROWS)
        self.assertEqual(body["more_targets"], 700 - TARGET_ROWS + 300)
        cold = [row for row in body["targets"].values() if row["state"] == "cold"]
        self.assertEqual(len(cold), 7)

    def test_instance_of_an_earlier_build_is_shown_by_the_zone(self):
        part = InstanceStatus("ready", 1.0, (2,), ())
        body = merge_status("thamel", {}, view(), StatusNews({"entry-3": part}))
        self.assertEqual(sorted(body["instances"]), ["entry-3"])

    def test_object_of_a_group_keeps_fields_of_a_newer_build(self):
        shown = RowSelection(("entry-3",), group=4)
        base = {
            "schema_version": 9,
            "weather": "fair",
            "instances": {"entry-3": {"state": "ready", "since_s": 12}},
        }
        report = SubtreeReport(1, 1, 0)
        of_group = StatusView((), report, MEMBERS, {}, shown)
        part = InstanceStatus("leaving", 1.0, (2,), ())
        news = StatusNews({"entry-3": part, "entry-9": part})
        body = merge_status("thamel", base, of_group, news)
        self.assertEqual((body["schema_version"], body["weather"]), (9, "fair"))
        self.assertEqual((body["zone"], body["group"]), ("thamel", 4))
        [row] = body["instances"].values()
        self.assertEqual((row["state"], row["since_s"]), ("leaving", 12))

    def test_large_object_is_written_less_often(self):
        settings = StatusSettings()
        writer = StatusWriter(settings, "thamel")
        report = SubtreeReport(1, 1, 0)
        shown = StatusView([], report, ["a"], {})
        sizes = []
        for second in range(300):
            targets = tuple(
                TargetStatus("notes", f"t{n}", "ready", second, 0, 2)
                for n in range(100)
            )
            part = InstanceStatus("ready", 1.0, (2,), targets)
            writer.record_part("a", part, float(second))
            action = writer.step(shown, float(second), 0.5)
            if isinstance(action, ReadStatus):
                writer.on_read(None)
            elif action is not None:
                sizes.append(len(msgspec.json.encode(action.body)))
                stored = StoredObject("status", "thamel", second, action.body)
                writer.on_written(stored)
        self.assertGreater(len(sizes), 10)
        self.assertLessEqual(sum(sizes[:-1]), 300 * settings.write_bytes_per_s)


if __name__ == "__main__":
    unittest.main()

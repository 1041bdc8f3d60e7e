import json
import time

from endivepick.cli.tests.support import PlatformCase
from standins.platform_handle import ListedInstance

KUMAMOTO = {
    "schema_version": 9,
    "zone": "kumamoto",
    "records": {"notes": {"accepted": 1, "in_force": 1, "instances": 1, "new": 0}},
    "instances": {
        "entry-1": {"state": "ready", "started_at_s": time.time() - 7200},
        "entry-9": {"state": "dead"},
    },
    "targets": {
        "notes/notes-1": {
            **{"owner": "entry-1", "state": "ready", "slots": 2},
            **{"in_progress": 1, "waiting": 3},
        }
    },
}
FUKUOKA = {
    "records": {
        "notes": {"in_force": 0, "refused": {"version": 1, "reason": "old program"}}
    }
}


class StatusTest(PlatformCase):
    def setUp(self):
        super().setUp()
        self.apply()
        listed = [("entry-1", "kumamoto"), ("entry-2", "fukuoka"), ("entry-3", "kyoto")]
        self.platform.list_instances(
            [ListedInstance(n, z, "127.0.0.1:1", "127.0.0.1:2") for n, z in listed]
        )
        self.platform.put("status", "kumamoto", KUMAMOTO)
        self.platform.put("status", "fukuoka", FUKUOKA)
        self.platform.put("status", "kyoto", {"records": "not readable"})

    def view(self):
        return json.loads(self.run_on_platform("status", "--json").out)

    def test_record_by_zone(self):
        (row,) = self.view()["records"]
        self.assertEqual(row["accepted"], 1)
        self.assertEqual(row["in_force"], {"kumamoto": 1, "fukuoka": 0, "kyoto": 0})
        self.assertEqual(row["not_reached"], ["fukuoka", "kyoto"])
        self.assertIn("old program", row["refused"]["fukuoka"])

    def test_targets(self):
        first, second = self.view()["targets"]
        self.assertEqual((first["owner"], first["waiting"]), ("entry-1", 3))
        self.assertEqual(second["state"], "not reported")

    def test_newest_report_of_a_target_counts(self):
        old = {"targets": {"notes/notes-1": {"owner": "entry-7", "state": "cold"}}}
        self.platform.put("status", "sendai", old)
        self.platform.put("status", "kumamoto", KUMAMOTO)
        self.assertEqual(self.view()["targets"][0]["owner"], "entry-1")

    def test_instances(self):
        rows = {row["instance"]: row for row in self.view()["instances"]}
        self.assertAlmostEqual(rows["entry-1"]["age_s"], 7200, delta=600)
        self.assertEqual(rows["entry-2"]["state"], "live, no report")
        self.assertEqual(rows["entry-9"]["state"], "dead, not listed")

    def test_text(self):
        text = self.run_on_platform("status").out
        self.assertRegex(
            text, r"notes +1 +fukuoka:0 kumamoto:1 kyoto:0 +fukuoka, kyoto"
        )
        self.assertRegex(text, r"notes-1 .* 1/2 busy, 3 waiting")
        self.assertRegex(text, r"entry-1 +kumamoto +ready +2.0 h")


GROUPED = {
    "schema_version": 1,
    "zone": "kumamoto",
    "records": {},
    "in_force_up_to": 10_000,
    "groups": 2,
    "instances": {"entry-1": {"state": "alive"}},
    "targets": {},
}


def group(number, instances, targets=None):
    return {
        **{"zone": "kumamoto", "group": number},
        **{"instances": instances, "targets": targets or {}},
    }


class StatusOfGroupsTest(PlatformCase):
    """A zone whose rows are dealt to groups, each with an object of its own."""

    def setUp(self):
        super().setUp()
        self.apply()
        listed = [(f"entry-{n}", "kumamoto") for n in (1, 2)]
        self.platform.list_instances(
            [ListedInstance(n, z, "127.0.0.1:1", "127.0.0.1:2") for n, z in listed]
        )
        started = {"state": "ready", "started_at_s": time.time() - 7200}
        notes = {"owner": "entry-2", "state": "ready", "slots": 2}
        self.platform.put("status", "kumamoto.1", group(1, {"entry-1": started}))
        self.platform.put(
            "status",
            "kumamoto.2",
            group(2, {"entry-2": started}, {"notes/notes-1": notes}),
        )
        # Left behind when the zone was larger.
        old = {"owner": "entry-8", "state": "cold", "slots": 2}
        self.platform.put(
            "status",
            "kumamoto.3",
            group(3, {"entry-8": started}, {"notes/notes-1": old}),
        )
        self.platform.put("status", "kumamoto", GROUPED)

    def view(self):
        return json.loads(self.run_on_platform("status", "--json").out)

    def test_record_without_a_row_is_in_force_up_to_the_floor(self):
        (row,) = self.view()["records"]
        self.assertEqual(row["not_reached"], [])
        self.assertEqual(row["in_force"], {"kumamoto": row["accepted"]})

    def test_row_of_an_earlier_build_does_not_hide_the_floor(self):
        row = {"accepted": 1, "in_force": 0}
        self.platform.put("status", "kumamoto", GROUPED | {"records": {"notes": row}})
        (shown,) = self.view()["records"]
        self.assertEqual(shown["not_reached"], [])

    def test_record_above_the_floor_is_not(self):
        self.platform.put("status", "kumamoto", GROUPED | {"in_force_up_to": 0})
        (row,) = self.view()["records"]
        self.assertEqual(row["not_reached"], ["kumamoto"])

    def test_rows_of_all_groups_but_those_left_behind(self):
        view = self.view()
        self.assertEqual(view["targets"][0]["owner"], "entry-2")
        rows = {row["instance"]: row for row in view["instances"]}
        self.assertEqual(set(rows), {"entry-1", "entry-2"})
        self.assertEqual({row["state"] for row in rows.values()}, {"ready"})
        self.assertEqual({row["zone"] for row in rows.values()}, {"kumamoto"})

    def test_long_table_shows_what_needs_a_look_and_counts_the_rest(self):
        self.platform.put(
            "status", "kumamoto.1", group(1, {"entry-1": {"state": "leaving"}})
        )
        text = self.run_on_platform("status", "--rows=1").out
        self.assertRegex(text, r"entry-1 +kumamoto +leaving")
        self.assertIn("and 1 more: 1 ready", text)
        self.assertRegex(text, r"notes-2 +kumamoto +not reported")
        self.assertNotIn("entry-2 ", text.split("instance")[-1])
        self.assertNotIn(" more:", self.run_on_platform("status", "--rows=0").out)

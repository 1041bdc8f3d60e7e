import tempfile
import unittest
from pathlib import Path

from endivepick.bench.worth_bound import (
    DarkSpan,
    Day,
    RequestKind,
    Weights,
    best_parts,
    read_day,
)
from endivepick.errors import SettingsInvalidError

ALERT = RequestKind("alert", 90.0, aim_ms=400.0, deadline_ms=2000.0)
NOTE = RequestKind("note", 10.0, 400.0, 2000.0, worth=2.0, late_worth=0.2)
WEIGHTS = Weights(day=0.3, windows=0.3, kind=0.1, zone=0.1, nines=0.2)


class TestBestParts(unittest.TestCase):
    def parts(self, *dark, kinds=(ALERT, NOTE), length_s=40.0):
        return best_parts(Day(length_s, kinds, WEIGHTS, dark))

    def test_a_day_without_outages_has_the_full_score(self):
        self.assertEqual(self.parts().worth, 1.0)

    def test_requests_shortly_before_an_instance_runs_are_in_time(self):
        self.assertEqual(self.parts(DarkSpan(10.0, 200.0)).worth, 1.0)

    def test_earlier_requests_are_answered_late(self):
        parts = self.parts(DarkSpan(10.0, 600.0))
        # Requests of 0.4 s out of 40 s keep a tenth of their score.
        self.assertAlmostEqual(parts.day, 1.0 - 0.9 * 0.4 / 40.0, places=6)
        self.assertAlmostEqual(parts.windows, 1.0 - 0.9 * 0.4 / 2.0 / 2, places=6)
        self.assertEqual(parts.nines, 1.0)

    def test_requests_that_reach_no_instance_before_their_deadline_are_lost(self):
        parts = self.parts(DarkSpan(10.0, 2400.0))
        lost_share = 1.0 / 40.0
        self.assertAlmostEqual(parts.nines, 1.602 / 3.0, places=3)
        self.assertLess(parts.day, 1.0 - lost_share)

    def test_an_outage_across_two_windows_reduces_both(self):
        self.assertAlmostEqual(
            self.parts(DarkSpan(9.8, 600.0)).windows,
            self.parts(DarkSpan(10.0, 600.0)).windows,
            places=6,
        )

    def test_partial_outage_loses_its_share(self):
        whole, part = DarkSpan(10.0, 1000.0), DarkSpan(10.0, 1000.0, share=0.25)
        lost = [1.0 - self.parts(span).day for span in (whole, part)]
        self.assertAlmostEqual(lost[1], 0.25 * lost[0])

    def test_losses_of_outages_add_up(self):
        one = 1.0 - self.parts(DarkSpan(10.0, 800.0)).day
        both = 1.0 - self.parts(DarkSpan(10.0, 800.0), DarkSpan(20.0, 800.0)).day
        self.assertAlmostEqual(both, 2 * one)

    def test_the_kind_with_the_shortest_aim_is_served_worst(self):
        urgent = RequestKind("urgent", 10.0, aim_ms=100.0, deadline_ms=2000.0)
        parts = self.parts(DarkSpan(10.0, 150.0), kinds=(ALERT, urgent))
        self.assertLess(parts.kind, parts.day)


class TestReadDay(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "day.json"
            path.write_text(text)
            return read_day(path)

    def test_comments_are_accepted(self):
        day = self.read(
            """{
              length_s: 20,  // seconds
              kinds: [{name: "alert", per_s: 9, aim_ms: 400, deadline_ms: 2000}],
              weights: {day: 1, windows: 0, kind: 0, zone: 0},
              dark: [{begin_s: 3, dark_ms: 500}],
            }"""
        )
        self.assertEqual(day.dark, (DarkSpan(3.0, 500.0),))

    def test_an_unknown_field_is_named(self):
        with self.assertRaisesRegex(SettingsInvalidError, "lenght_s"):
            self.read("{lenght_s: 20, length_s: 20, kinds: [], weights: {}}")

    def test_a_day_without_requests_is_refused(self):
        weights = "{day: 1, windows: 0, kind: 0, zone: 0}"
        with self.assertRaisesRegex(SettingsInvalidError, "kinds"):
            self.read(f"{{length_s: 20, kinds: [], weights: {weights}}}")

    def test_invalid_json_is_refused(self):
        with self.assertRaises(SettingsInvalidError):
            self.read("length = 20")


if __name__ == "__main__":
    unittest.main()

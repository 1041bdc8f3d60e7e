import unittest

from endivepick.forwarding.load.reports import (
    LoadReport,
    ServiceLoad,
    TargetLoad,
    ZoneLoad,
    ZoneTotals,
)
from endivepick.forwarding.load.tests.support import make_report
from endivepick.forwarding.load.view import (
    MIN_ANSWERS_PER_S,
    OPEN_FLOW_WEIGHT,
    VIEW_VALID_S,
    LoadView,
)
from endivepick.forwarding.load.zone_sums import TOTALS_VALID_S
from endivepick.forwarding.tests.support import make_core, make_target


class ViewCase(unittest.TestCase):
    def setUp(self):
        core = make_core([make_target("i-1"), make_target("i-2", born_ms=8)])
        self.first, self.second = core.registry.get("i-1"), core.registry.get("i-2")
        self.view = LoadView("a")

    def query_all(self, now_s):
        return (
            self.view.target_load(self.first, now_s),
            self.view.zone_busy("notes", "a", now_s),
            self.view.short_share("notes", now_s),
            self.view.others_age_s(now_s),
        )


class TestValidity(ViewCase):
    def test_nothing_is_known_without_a_feeder(self):
        self.view.record_placement(self.first, 1.0)
        self.assertEqual(self.query_all(1.0), (None,) * 4)

    def test_view_expires_without_news(self):
        own = make_report(2.0, answered_per_s=10.0, short_per_s=1.0)
        others = [ZoneTotals("b", 0.2, own.services)]
        self.view.update(ZoneLoad(own, others), 5.0)
        self.assertNotIn(None, self.query_all(5.0 + VIEW_VALID_S))
        self.assertEqual(self.query_all(5.1 + VIEW_VALID_S), (None,) * 4)


class TestTargetLoad(ViewCase):
    def test_load_is_that_of_the_whole_zone(self):
        self.view.update(ZoneLoad(make_report(2.5, 10)), 5.0)
        expected = 2.5 + 10 * OPEN_FLOW_WEIGHT
        self.assertAlmostEqual(self.view.target_load(self.first, 5.0), expected)
        self.assertEqual(self.view.target_load(self.second, 5.0), 0.0)

    def test_unlisted_target_of_a_large_zone_may_be_as_busy_as_the_news_say(self):
        self.view.update(ZoneLoad(make_report(2.5, 0), unlisted_busy=0.5), 5.0)
        self.assertEqual(self.view.target_load(self.second, 5.0), 0.5)
        self.view.update(ZoneLoad(make_report(), unlisted_busy=-4.0), 5.0)
        self.assertEqual(self.view.target_load(self.second, 5.0), 0.0)

    def test_load_of_a_former_incarnation_does_not_count(self):
        report = LoadReport([TargetLoad("i-2", 7, 3.0, 0)])
        self.view.update(ZoneLoad(report), 5.0)
        self.assertEqual(self.view.target_load(self.second, 5.0), 0.0)

    def test_placements_count_until_the_news_include_them(self):
        self.view.update(ZoneLoad(make_report(1.0, 0)), 5.0)
        self.view.record_placement(self.first, 5.1)
        self.view.record_placement(self.first, 5.3)
        self.view.record_placement(self.second, 5.3)
        self.assertEqual(self.view.target_load(self.first, 5.4), 3.0)
        self.assertEqual(self.view.target_load(self.second, 5.4), 1.0)
        self.view.update(ZoneLoad(make_report(2.0, 0)), 5.7, included_s=5.2)
        self.assertEqual(self.view.target_load(self.first, 5.7), 3.0)
        self.view.update(ZoneLoad(make_report(3.0, 0)), 6.0)
        self.assertEqual(self.view.target_load(self.first, 6.0), 3.0)
        self.assertEqual(self.view.target_load(self.second, 6.0), 0.0)

    def test_placements_do_not_gather_without_news(self):
        for number in range(1000):
            self.view.record_placement(self.first, number * 0.1)
        self.assertLessEqual(len(self.view._placements), 10 * VIEW_VALID_S + 1)


class TestServices(ViewCase):
    def update(self, b_age_s=0.5):
        own = [ServiceLoad("notes", "a", 3.0, 6.0, 3.0)]
        others = [
            ServiceLoad("notes", "a", 1.0, 2.0, 0.0),
            ServiceLoad("notes", "b", 8.0, 4.0, 0.0),
            ServiceLoad("mail", "a", 50.0, 99.0, 99.0),
        ]
        totals = [ZoneTotals("b", b_age_s, others)]
        self.view.update(ZoneLoad(LoadReport([], own), totals), 5.0)

    def test_sums_are_over_the_callers_of_all_zones(self):
        self.update()
        self.assertEqual(self.view.zone_busy("notes", "a", 5.0), 4.0)
        self.assertEqual(self.view.zone_busy("notes", "b", 5.0), 8.0)
        self.assertEqual(self.view.zone_busy("chess", "a", 5.0), 0.0)
        self.assertEqual(self.view.short_share("notes", 5.0), 0.25)
        self.assertEqual(self.view.others_age_s(5.5), 1.0)

    def test_totals_of_a_zone_that_is_cut_off_expire(self):
        self.update(b_age_s=TOTALS_VALID_S - 1.0)
        self.assertEqual(self.view.zone_busy("notes", "b", 5.9), 8.0)
        self.assertIsNone(self.view.zone_busy("notes", "b", 6.1))
        self.assertEqual(self.view.zone_busy("notes", "a", 6.1), 3.0)
        self.assertEqual(self.view.short_share("notes", 6.1), 0.5)
        self.assertIsNone(self.view.others_age_s(6.1))

    def test_share_of_few_answers_is_unknown(self):
        few = make_report(answered_per_s=MIN_ANSWERS_PER_S - 0.1, short_per_s=4.0)
        self.view.update(ZoneLoad(few), 5.0)
        self.assertIsNone(self.view.short_share("notes", 5.0))

    def test_impossible_news_are_left_out(self):
        bad = [ServiceLoad("notes", "a", -3.0, 6.0, 3.0)]
        totals = [ZoneTotals("b", float("nan"), []), ZoneTotals("c", 0.1, bad)]
        self.view.update(ZoneLoad(LoadReport([], bad), totals), 5.0)
        self.assertEqual(self.view.zone_busy("notes", "a", 5.0), 0.0)
        self.assertAlmostEqual(self.view.others_age_s(5.0), 0.1)


if __name__ == "__main__":
    unittest.main()

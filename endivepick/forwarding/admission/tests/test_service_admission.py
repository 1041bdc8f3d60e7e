import unittest

from endivepick.forwarding.admission.overload_state import (
    OverloadReading,
    OverloadState,
)
from endivepick.forwarding.admission.service_admission import ServiceAdmission

FREE = OverloadReading(0.0, 0.2)


class TestServiceAdmission(unittest.TestCase):
    def setUp(self):
        self.admission = ServiceAdmission()
        self.admission.limits.set_priorities([0, 2])
        self.now_s = 0.0

    def run_for(self, duration_s, reading):
        """Apply a reading until a time has passed; returns the share of priority 2."""
        for _ in range(round(duration_s * 8)):
            self.now_s += 0.125
            for priority in (0, 1, 2):
                self.admission.record_opening(priority, self.now_s)
            self.admission.update(reading, self.now_s)
        return self.admission.limits.get_share(2)

    def test_priority_with_few_openings_takes_no_room_from_others(self):
        """A route of the highest priority is only tested, once in five seconds."""
        self.admission.limits.set_priorities([0, 1, 2])
        for tick in range(240):
            now_s = 0.125 * (tick + 1)
            if tick % 40 == 0:
                self.admission.record_opening(0, now_s)
            for priority in (1, 2):
                self.admission.record_opening(priority, now_s)
            self.admission.update(OverloadReading(0.5, 4.0), now_s)
        self.assertEqual(self.admission.limits.get_share(1), 1.0)
        self.assertAlmostEqual(self.admission.limits.get_share(2), 0.1)

    def test_cut_is_not_repeated_while_the_last_one_works(self):
        share = self.run_for(0.75, OverloadReading(0.5, 4.0))
        for short_share in (0.4, 0.3, 0.2, 0.1):
            reading = OverloadReading(short_share, 2.0)
            self.assertEqual(self.run_for(1.0, reading), share)
        self.assertLess(self.run_for(2.0, OverloadReading(0.1, 2.0)), share)

    def test_milder_overload_after_a_heavy_one_is_cut_at_once(self):
        self.run_for(3.0, OverloadReading(0.9, 5.0))
        self.assertEqual(self.run_for(8.0, FREE), 1.0)
        self.assertIs(self.admission.tracker.state, OverloadState.NORMAL)
        self.assertEqual(self.run_for(0.75, OverloadReading(0.1, 1.5)), 0.6)

    def test_shares_stay_while_slots_are_used_and_nothing_is_shed(self):
        share = self.run_for(2.0, OverloadReading(0.5, 4.0))
        self.assertEqual(self.run_for(20.0, OverloadReading(0.0, 1.5)), share)

    def test_less_urgent_priority_waits_while_most_slots_are_used(self):
        self.admission.limits.set_priorities([0, 1, 2])
        self.run_for(12.0, OverloadReading(0.5, 4.0))
        share = self.run_for(2.0, OverloadReading(0.0, 0.9))
        self.assertAlmostEqual(share, 0.1)
        self.assertGreater(self.admission.limits.get_share(1), 0.2)


if __name__ == "__main__":
    unittest.main()

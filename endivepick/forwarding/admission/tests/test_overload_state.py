import unittest

from endivepick.forwarding.admission.overload_state import (
    OverloadReading,
    OverloadState,
    OverloadTracker,
)

FULL = OverloadReading(0.2, 3.0)
SHEDS_WITH_FREE_SLOTS = OverloadReading(0.2, 0.6)
BUSY_WITHOUT_SHEDDING = OverloadReading(0.0, 2.0)
FREE = OverloadReading(0.0, 0.4)
STEP_S = 0.125
"""A power of two, so that sums of steps are exact."""


class TestOverloadTracker(unittest.TestCase):
    def setUp(self):
        self.tracker = OverloadTracker()
        self.now_s = 0.0

    def run_for(self, duration_s, reading):
        """Apply a reading until a time has passed; returns the state."""
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            self.tracker.update(reading, self.now_s)
        return self.tracker.state

    def test_full_service_is_overloaded_after_half_a_second(self):
        self.assertIs(self.run_for(0.5, FULL), OverloadState.NORMAL)
        self.assertIs(self.run_for(STEP_S, FULL), OverloadState.OVERLOADED)

    def test_usual_short_answers_of_a_busy_service_are_no_overload(self):
        """A part of the requests asks for little, so their answers are short."""
        self.run_for(10.0, OverloadReading(0.12, 0.5))
        state = self.run_for(30.0, OverloadReading(0.12, 1.5))
        self.assertIs(state, OverloadState.NORMAL)
        state = self.run_for(1.0, OverloadReading(0.18, 1.5))
        self.assertIs(state, OverloadState.OVERLOADED)

    def test_shares_of_an_overload_are_not_learnt_as_usual(self):
        self.run_for(10.0, FREE)
        self.run_for(30.0, FULL)
        self.run_for(1.5, SHEDS_WITH_FREE_SLOTS)
        self.tracker.on_all_admitted(self.now_s)
        self.assertIs(self.run_for(1.0, FULL), OverloadState.OVERLOADED)

    def test_few_targets_that_shed_beside_free_slots_are_no_overload(self):
        state = self.run_for(30.0, SHEDS_WITH_FREE_SLOTS)
        self.assertIs(state, OverloadState.NORMAL)

    def test_busy_slots_without_shedding_are_no_overload(self):
        state = self.run_for(30.0, BUSY_WITHOUT_SHEDDING)
        self.assertIs(state, OverloadState.NORMAL)

    def test_bursts_shorter_than_half_a_second_are_no_overload(self):
        for _ in range(20):
            self.run_for(0.375, FULL)
            self.assertIs(self.run_for(0.25, FREE), OverloadState.NORMAL)

    def test_recovery_begins_after_a_second_with_room(self):
        self.run_for(1.0, FULL)
        self.assertIs(self.run_for(1.0, FREE), OverloadState.OVERLOADED)
        self.assertIs(self.run_for(STEP_S, FREE), OverloadState.RECOVERING)
        self.tracker.on_all_admitted(self.now_s)
        self.assertIs(self.tracker.state, OverloadState.NORMAL)

    def test_no_recovery_while_all_slots_are_used(self):
        self.run_for(1.0, FULL)
        state = self.run_for(10.0, BUSY_WITHOUT_SHEDDING)
        self.assertIs(state, OverloadState.OVERLOADED)

    def test_recovery_although_single_targets_go_on_shedding(self):
        self.run_for(1.0, FULL)
        state = self.run_for(1.5, SHEDS_WITH_FREE_SLOTS)
        self.assertIs(state, OverloadState.RECOVERING)

    def test_overload_that_returns_ends_the_recovery(self):
        self.run_for(1.0, FULL)
        self.assertIs(self.run_for(1.5, FREE), OverloadState.RECOVERING)
        self.assertIs(self.run_for(1.0, FULL), OverloadState.OVERLOADED)

    def test_lost_signals_keep_the_state_for_two_seconds(self):
        for before in (FULL, FREE):
            self.run_for(1.0, FULL)
            state = self.run_for(1.5, before)
            with self.subTest(state=state):
                self.assertIs(self.run_for(2.0, None), state)
                self.assertIs(self.run_for(STEP_S, None), OverloadState.NORMAL)

    def test_time_without_signals_does_not_count_as_overload(self):
        self.run_for(0.375, FULL)
        self.run_for(1.0, None)
        self.assertIs(self.run_for(0.375, FULL), OverloadState.NORMAL)


if __name__ == "__main__":
    unittest.main()

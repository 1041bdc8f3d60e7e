import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from endivepick.core.replay_window import ReplayWindow, SeqState

SIZE = 16
steps = st.lists(st.tuples(st.booleans(), st.integers(0, 40)), max_size=60)


class Reference:
    """Every number below the floor and every claimed one, kept one by one."""

    def __init__(self):
        self.claimed = {0}

    @property
    def floor(self):
        return next(n for n in range(1, 100) if n not in self.claimed)

    def claim(self, seq):
        if seq in self.claimed or seq >= self.floor + SIZE:
            return False
        self.claimed.add(seq)
        return True

    def skip_below(self, seq):
        self.claimed.update(range(seq))


class TestReplayWindow(unittest.TestCase):
    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @given(steps)
    def test_is_the_set_of_all_claimed_numbers(self, drawn):
        window, reference = ReplayWindow(SIZE), Reference()
        for skips, seq in drawn:
            if skips:
                window.skip_below(seq)
                reference.skip_below(seq)
            else:
                self.assertEqual(window.claim(seq), reference.claim(seq))
            self.assertEqual(window.floor, reference.floor)
            restored = ReplayWindow.restore(window.snapshot(), SIZE)
            for number in range(60):
                expected = number in reference.claimed
                for one in (window, restored):
                    claimed = one.state(number) is SeqState.CLAIMED
                    self.assertEqual(claimed, expected, number)

    def test_idle_windows_hold_no_set_of_their_own(self):
        unused, used = ReplayWindow(SIZE), ReplayWindow(SIZE)
        for seq in (2, 1, 3):
            used.claim(seq)
        self.assertIs(used._claimed, unused._claimed)
        self.assertEqual(used.floor, 4)


if __name__ == "__main__":
    unittest.main()

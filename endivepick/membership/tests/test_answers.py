import unittest

from endivepick.membership._recent_answers import RecentAnswers


class RecentAnswersTest(unittest.TestCase):
    def setUp(self):
        self.answers = RecentAnswers(kept_s=1.0)

    def test_lost_answer_is_returned_once(self):
        self.answers.note_sent("a", 7, 0.0)
        self.answers.note_lost("a")
        self.assertEqual(self.answers.take_lost(0.1), {"a": 7})
        self.assertEqual(self.answers.take_lost(0.2), {})

    def test_only_the_last_answer_counts(self):
        self.answers.note_sent("a", 7, 0.0)
        self.answers.note_sent("a", 8, 0.1)
        self.answers.note_lost("a")
        self.assertEqual(self.answers.take_lost(0.2), {"a": 8})

    def test_answer_that_nobody_awaits_is_left_out(self):
        self.answers.note_sent("a", 7, 0.0)
        self.answers.note_lost("a")
        self.assertEqual(self.answers.take_lost(1.1), {})

    def test_peer_that_never_asked_is_owed_nothing(self):
        self.answers.note_lost("b")
        self.assertEqual(self.answers.take_lost(0.0), {})

    def test_peers_that_come_and_go_take_bounded_memory(self):
        for number in range(1000):
            self.answers.note_sent(f"peer-{number}", number, 0.0)
            self.answers.note_lost(f"peer-{number}")
        self.assertEqual(len(self.answers._answers), 256)
        self.assertEqual(self.answers.take_lost(2.0), {})


if __name__ == "__main__":
    unittest.main()

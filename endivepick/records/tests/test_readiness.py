import unittest

from endivepick.records._readiness import Readiness
from endivepick.records.peer_messages import ConfigDigest
from endivepick.records.settings import DisseminationSettings

SETTINGS = DisseminationSettings()
QUESTION, EARLIER = 7, 6
"""Number of this process's question, and of an earlier process's."""


class TestReadiness(unittest.TestCase):
    def setUp(self):
        self.readiness = Readiness(SETTINGS, "a", QUESTION)
        self.readiness.choose_peers_to_ask(["b"], [], 0.0)

    def hear(self, revision, ready=True, answered=QUESTION):
        digest = ConfigDigest(0, revision, ready, answered=answered)
        self.readiness.record_digest("b", digest)

    def test_stale_list_is_not_enough_while_a_peer_holds_more(self):
        self.readiness.record_full_listing()
        self.hear(15)
        self.assertFalse(self.readiness.update(10, ["b"], 0.1))
        self.assertTrue(self.readiness.update(15, ["b"], 0.2))

    def test_peer_that_is_gone_holds_nobody_up(self):
        self.readiness.record_full_listing()
        self.hear(15)
        self.assertTrue(self.readiness.update(10, [], 0.1))

    def test_peer_that_was_asked_is_waited_for(self):
        self.readiness.record_full_listing()
        self.assertFalse(self.readiness.update(10, ["b"], 0.1))
        patience_s = SETTINGS.ask_patience_s
        self.assertTrue(self.readiness.update(10, ["b"], patience_s + 0.1))

    def test_answer_to_an_earlier_process_is_no_answer(self):
        for answered in (EARLIER, 0):
            self.setUp()
            self.readiness.record_full_listing()
            self.hear(10, answered=answered)
            self.assertFalse(self.readiness.update(10, ["b"], 0.1))
            self.hear(15)
            self.hear(10, answered=answered)
            self.assertFalse(self.readiness.update(10, ["b"], 0.2))
            self.assertTrue(self.readiness.update(15, ["b"], 0.3))

    def test_digest_that_answers_nothing_shows_what_exists(self):
        self.readiness.record_full_listing()
        self.hear(10)
        self.hear(15, answered=0)
        self.assertFalse(self.readiness.update(10, ["b"], 0.1))

    def test_peer_of_a_build_that_repeats_no_number_holds_up_for_a_while(self):
        self.hear(15, answered=0)
        patience_s = SETTINGS.ask_patience_s
        self.assertFalse(self.readiness.update(15, ["b"], 0.1))
        self.assertFalse(self.readiness.update(10, ["b"], patience_s + 0.1))
        self.assertTrue(self.readiness.update(15, ["b"], patience_s + 0.2))

    def test_peer_that_started_again_with_less_holds_nobody_up(self):
        self.readiness.record_full_listing()
        self.hear(15)
        self.hear(10, ready=False)
        self.assertTrue(self.readiness.update(10, ["b"], 0.1))

    def test_peer_that_does_not_serve_has_no_whole_configuration_to_give(self):
        self.hear(15, ready=False)
        self.assertFalse(self.readiness.update(15, ["b"], 0.1))
        self.hear(15)
        self.assertTrue(self.readiness.update(15, ["b"], 0.2))


if __name__ == "__main__":
    unittest.main()

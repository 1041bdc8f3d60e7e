import unittest

from endivepick.records._readiness import Readiness
from endivepick.records.peer_messages import ConfigDigest
from endivepick.records.settings import DisseminationSettings

SETTINGS = DisseminationSettings()
QUESTION, EARLIER = 7, 6
"""Question numbers of this process and of an earlier process."""


class TestReadiness(unittest.TestCase):
    def setUp(self):
        self.readiness = Readiness(SETTINGS, "a", QUESTION)
        self.readiness.choose_peers_to_ask(["b"], [], 0.0)

    def receive_digest(self, revision, ready=True, answered=QUESTION):
        digest = ConfigDigest(0, revision, ready, answered=answered)
        self.readiness.record_digest("b", digest)

    def test_stale_listing_does_not_suffice_while_a_peer_has_a_newer_revision(self):
        self.readiness.record_full_listing()
        self.receive_digest(15)
        self.assertFalse(self.readiness.update(10, ["b"], 0.1))
        self.assertTrue(self.readiness.update(15, ["b"], 0.2))

    def test_removed_peer_does_not_delay_readiness(self):
        self.readiness.record_full_listing()
        self.receive_digest(15)
        self.assertTrue(self.readiness.update(10, [], 0.1))

    def test_asked_peer_delays_readiness_until_timeout(self):
        self.readiness.record_full_listing()
        self.assertFalse(self.readiness.update(10, ["b"], 0.1))
        patience_s = SETTINGS.ask_patience_s
        self.assertTrue(self.readiness.update(10, ["b"], patience_s + 0.1))

    def test_reply_to_an_earlier_process_does_not_count(self):
        for answered in (EARLIER, 0):
            self.setUp()
            self.readiness.record_full_listing()
            self.receive_digest(10, answered=answered)
            self.assertFalse(self.readiness.update(10, ["b"], 0.1))
            self.receive_digest(15)
            self.receive_digest(10, answered=answered)
            self.assertFalse(self.readiness.update(10, ["b"], 0.2))
            self.assertTrue(self.readiness.update(15, ["b"], 0.3))

    def test_unsolicited_digest_raises_the_required_revision(self):
        self.readiness.record_full_listing()
        self.receive_digest(10)
        self.receive_digest(15, answered=0)
        self.assertFalse(self.readiness.update(10, ["b"], 0.1))

    def test_peer_of_an_earlier_build_delays_readiness_until_timeout(self):
        self.receive_digest(15, answered=0)
        patience_s = SETTINGS.ask_patience_s
        self.assertFalse(self.readiness.update(15, ["b"], 0.1))
        self.assertFalse(self.readiness.update(10, ["b"], patience_s + 0.1))
        self.assertTrue(self.readiness.update(15, ["b"], patience_s + 0.2))

    def test_restarted_peer_with_a_lower_revision_does_not_delay_readiness(self):
        self.readiness.record_full_listing()
        self.receive_digest(15)
        self.receive_digest(10, ready=False)
        self.assertTrue(self.readiness.update(10, ["b"], 0.1))

    def test_peer_that_is_not_ready_is_no_source_of_a_full_configuration(self):
        self.receive_digest(15, ready=False)
        self.assertFalse(self.readiness.update(15, ["b"], 0.1))
        self.receive_digest(15)
        self.assertTrue(self.readiness.update(15, ["b"], 0.2))


if __name__ == "__main__":
    unittest.main()

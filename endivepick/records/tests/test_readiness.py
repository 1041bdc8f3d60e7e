import unittest

from endivepick.records._readiness import Readiness
from endivepick.records.peer_messages import ConfigDigest
from endivepick.records.settings import DisseminationSettings

SETTINGS = DisseminationSettings()


class TestReadiness(unittest.TestCase):
    def setUp(self):
        self.readiness = Readiness(SETTINGS, "a")
        self.readiness.ask(["b"], [], 0.0)

    def hear(self, revision, ready=True):
        self.readiness.heard("b", ConfigDigest(0, revision, ready, False, False, None))

    def test_stale_list_is_not_enough_while_a_peer_holds_more(self):
        self.readiness.listed()
        self.hear(15)
        self.assertFalse(self.readiness.update(10, ["b"], 0.1))
        self.assertTrue(self.readiness.update(15, ["b"], 0.2))

    def test_peer_that_is_gone_holds_nobody_up(self):
        self.readiness.listed()
        self.hear(15)
        self.assertTrue(self.readiness.update(10, [], 0.1))

    def test_peer_that_was_asked_is_waited_for(self):
        self.readiness.listed()
        self.assertFalse(self.readiness.update(10, ["b"], 0.1))
        patience_s = SETTINGS.ask_patience_s
        self.assertTrue(self.readiness.update(10, ["b"], patience_s + 0.1))

    def test_peer_that_does_not_serve_has_no_whole_configuration_to_give(self):
        self.hear(15, ready=False)
        self.assertFalse(self.readiness.update(15, ["b"], 0.1))
        self.hear(15)
        self.assertTrue(self.readiness.update(15, ["b"], 0.2))


if __name__ == "__main__":
    unittest.main()

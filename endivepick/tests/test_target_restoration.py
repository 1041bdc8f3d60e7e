"""Targets that a test drove out of service are in service again after it."""

import signal
import unittest

from endivepick.tests.promises._configuration_case import SESSIONS
from endivepick.tests.promises._load_case import LoadedTestCase
from standins.process import wait_until


class TestPutBack(LoadedTestCase):
    def states(self, target):
        shown = [self.seen(name, target) for name in self.names()]
        return {one["state"] for one in shown if one}

    def test_a_target_that_was_ejected_when_the_load_ended(self):
        # Only a request that succeeds ends its trial, and none comes any more.
        target = self.cluster.targets["sessions-1"]
        with self.load(SESSIONS):
            self.wait_busy(SESSIONS, "sessions-1", "sessions-2")
            target.process.signal(signal.SIGSTOP)
            self.addCleanup(target.process.signal, signal.SIGCONT)
            wait_until(lambda: "ejected" in self.states(target), "an ejection")
        target.process.signal(signal.SIGCONT)
        self.put_back()
        self.assertEqual(self.states(target), {"ready"})


if __name__ == "__main__":
    unittest.main()

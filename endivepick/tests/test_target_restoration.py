"""Restoring the cluster returns ejected targets to service after a test."""

import signal
import unittest

from endivepick.tests.promises._configuration_case import SESSIONS
from endivepick.tests.promises._load_case import LoadTestCase
from standins.process import wait_until


class TestTargetRestoration(LoadTestCase):
    def states(self, target):
        views = [self.target_view(name, target) for name in self.names()]
        return {view["state"] for view in views if view}

    def test_ejected_target_serves_again(self):
        # Probation ends only with a successful request, and the load is over.
        target = self.cluster.targets["sessions-1"]
        with self.load(SESSIONS):
            self.wait_busy(SESSIONS, "sessions-1", "sessions-2")
            target.process.signal(signal.SIGSTOP)
            self.addCleanup(target.process.signal, signal.SIGCONT)
            wait_until(lambda: "ejected" in self.states(target), "an ejection")
        target.process.signal(signal.SIGCONT)
        self.restore_targets()
        self.assertEqual(self.states(target), {"ready"})


if __name__ == "__main__":
    unittest.main()

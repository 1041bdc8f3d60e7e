import unittest

from endivepick.cli.tests.support import run_command
from standins.cluster import ClusterSettings, cluster
from standins.process import wait_until
from standins.shapes import SMALL
from standins.versions import wait_in_force

NAME = "north-2"
STOP_TIMEOUT_S = 60.0


class DrainInstanceTest(unittest.TestCase):
    def setUp(self):
        self.cluster = self.enterContext(cluster(ClusterSettings(SMALL)))

    def drain(self):
        platform = f"--platform={self.cluster.platform.api}"
        self.assertEqual(run_command("drain", "instance", NAME, platform).code, 0)

    def finish(self):
        process = self.cluster.instances[NAME].process
        self.assertEqual(process.wait(STOP_TIMEOUT_S), 0)
        self.cluster.unlist_instance(NAME)

    def test_instance_stops_and_its_replacement_stays(self):
        self.drain()
        self.finish()
        self.assertEqual(len(self.cluster.instances), 2)
        replacement = self.cluster.start_instance(NAME)
        # This change arrives over the same path as the earlier stop request.
        written = self.cluster.drain_target("sessions", "sessions-2")
        wait_in_force(self.cluster, "sessions", written["version"])
        self.assertTrue(replacement.process.running)
        self.assertEqual(replacement.status()["state"], "ready")
        self.drain()
        wait_until(lambda: not replacement.process.running, "the second drain")
        self.finish()

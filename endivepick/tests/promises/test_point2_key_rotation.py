from gevent import monkey

monkey.patch_all()

# ruff: noqa: E402
import unittest

from returns.pipeline import is_successful

from endivepick.cli.tests.support import run_command
from endivepick.client import CallerSettings, open_caller
from endivepick.tests.metrics_reader import read_metrics
from standins.cluster import ClusterSettings, cluster
from standins.process import wait_until
from standins.shapes import SMALL
from standins.versions import wait_peers_ready

SERVICE = SMALL.services[0].name
LAGGING = "south-1"
SETTINGS = {
    "membership": {"mass_dead_after_s": 3.0},
    "status": {"write_interval_s": 0.2},
    "keys": {"check_every_s": 0.2, "pending_min_s": 0.5},
}
LOAD = {
    "service": SERVICE,
    "flows": 4,
    "work_ms": 2,
    "think_ms": 10,
    "requests_per_flow": 5,
    "idempotent_share": 1,
}


class TestKeyRotation(unittest.TestCase):
    """No token of a new key may meet an instance that lacks the key."""

    def setUp(self):
        settings = ClusterSettings(SMALL, faults=True, instance_settings=SETTINGS)
        self.cluster = self.enterContext(cluster(settings))
        # An instance that is ready may not have found its peers yet.
        wait_peers_ready(self.cluster)

    def start_load(self):
        settings = {
            "name": "caller",
            "fabric_address": self.cluster.fabric_address,
            "log_path": str(self.cluster.launcher.log_path("callers", "caller")),
            "workloads": [LOAD],
        }
        path = self.cluster.launcher.write_settings("caller", settings)
        process = self.cluster.launcher.spawn(
            "caller", "standins.load", [f"--settings={path}"]
        )
        process.wait_ready()

    def rotate(self):
        platform = f"--platform={self.cluster.platform.api}"
        outcome = run_command("keys", "rotate", platform)
        self.assertEqual(outcome.code, 0, outcome.err)

    def signing(self):
        """Return the number of the key that each instance signs with."""
        instances = self.cluster.instances.values()
        return {one.status()["keyring"]["current"] for one in instances}

    def count(self, name, label, *instances):
        return sum(
            read_metrics(self.cluster.instances[one].http_address).get(
                f"endivepick_{name}_total{label}", 0.0
            )
            for one in instances or self.cluster.instances
        )

    def lagging_is_dead(self):
        peers = self.cluster.instances["north-1"].status()["peers"]
        states = {peer["name"]: peer["state"] for peer in peers}
        return states[LAGGING] == "dead"

    def wait_for_further_checks(self):
        """Wait until the pending key was looked at twice more, or signs."""

        def checks():
            return self.count("key_checks", '{result="waits"}', "north-1", "north-2")

        wanted = checks() + 2
        wait_until(
            lambda: checks() >= wanted or self.signing() != {1},
            "two further looks at the pending key",
        )

    def test_instance_that_lags_is_waited_for(self):
        settings = CallerSettings(fabric_address=self.cluster.fabric_address)
        caller = self.enterContext(open_caller(settings))
        flow = caller.open(SERVICE).unwrap()
        self.assertTrue(is_successful(flow.request(path="/health")))
        self.start_load()
        self.cluster.cut_zone("south")
        self.rotate()
        wait_until(self.lagging_is_dead, f"{LAGGING} to be given up")
        self.wait_for_further_checks()
        self.assertEqual(self.signing(), {1})
        self.cluster.heal()
        wait_until(lambda: self.signing() == {2}, "the second key to sign everywhere")
        self.rotate()
        wait_until(lambda: self.signing() == {3}, "the third key to sign everywhere")
        relayed = self.count("packets_relayed", "")
        wait_until(
            lambda: self.count("packets_relayed", "") > relayed + 100,
            "packets with tokens of the third key",
        )
        self.assertEqual(self.count("packets_dropped", '{reason="unknown_key"}'), 0)
        flow_before = flow.flow_id
        self.assertTrue(is_successful(flow.request(path="/health", idempotent=True)))
        self.assertEqual(flow.flow_id, flow_before)

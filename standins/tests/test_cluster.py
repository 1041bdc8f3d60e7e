import signal
import unittest
from dataclasses import replace

from standins.cluster import ClusterSettings, cluster
from standins.endpoint import EndpointError, call, call_ok
from standins.process import exit_on_signal, wait_until
from standins.shapes import HARADA, LEAVE_DESK, SMALL

WITHOUT_INSTANCES = replace(SMALL, instances=())


class TestShapes(unittest.TestCase):
    def test_sizes(self):
        for shape, zones, instances, targets in (
            (HARADA, 3, 8, [7, 3]),
            (LEAVE_DESK, 4, 9, [7, 4]),
            (SMALL, 2, 3, [2, 2]),
        ):
            self.assertEqual(len(shape.zones), zones)
            self.assertEqual(len(shape.instances), instances)
            self.assertEqual([len(s.targets) for s in shape.services], targets)
            plans = [*shape.instances, *(t for s in shape.services for t in s.targets)]
            self.assertEqual(len({plan.host for plan in plans}), len(plans))


class TestSideBySide(unittest.TestCase):
    def test_installations_share_neither_addresses_nor_secrets(self):
        first, second = (
            self.enterContext(cluster(ClusterSettings(WITHOUT_INSTANCES)))
            for _ in range(2)
        )
        one, other = (
            {target.address.partition(":")[0] for target in c.targets.values()}
            for c in (first, second)
        )
        self.assertEqual(one & other, set())
        for name in ("peer_secret_hex", "key_secret_hex"):
            values = {getattr(c.settings, name) for c in (first, second)}
            self.assertEqual(len(values), 2, name)


class TestClusterWithoutInstances(unittest.TestCase):
    def setUp(self):
        settings = ClusterSettings(WITHOUT_INSTANCES, faults=True)
        self.cluster = self.enterContext(cluster(settings))

    def test_records_name_running_targets(self):
        record = self.cluster.platform.get("service", "sessions")["body"]
        self.assertEqual(len(record["targets"]), 2)
        for entry in record["targets"]:
            health = call_ok(entry["address"], "GET", "/health")
            self.assertEqual(health["target"], entry["name"])

    def test_drain_changes_the_record(self):
        before = self.cluster.platform.get("service", "sessions")
        after = self.cluster.drain_target("sessions", "sessions-2")
        self.assertGreater(after["version"], before["version"])
        draining = [entry["draining"] for entry in after["body"]["targets"]]
        self.assertEqual(draining, [False, True])

    def test_platform_outage(self):
        self.cluster.platform.control(outage="unavailable")
        with self.assertRaises(EndpointError):
            self.cluster.platform.list("service")
        self.cluster.platform.control(outage=None)
        self.assertEqual(len(self.cluster.platform.list("service")), 2)

    def test_blocked_link_and_heal(self):
        target = self.cluster.targets["sessions-1"]
        self.cluster.faults.add_rule({"type": "cut"}, route="target:sessions-1")
        with self.assertRaises(OSError):
            call(target.address, "GET", "/health")
        self.cluster.heal()
        self.assertEqual(call(target.address, "GET", "/health").status, 200)


class TestClusterWithInstances(unittest.TestCase):
    def setUp(self):
        self.cluster = self.enterContext(cluster(ClusterSettings(SMALL, faults=True)))
        for observer in self.cluster.instances:
            for name in self.cluster.instances:
                self.wait_state(observer, name, "alive")

    def states(self, observer):
        peers = self.cluster.instances[observer].status()["peers"]
        return {peer["name"]: peer["state"] for peer in peers}

    def wait_state(self, observer, name, *states):
        def has_state():
            return self.states(observer).get(name, "absent") in states

        wait_until(has_state, f"{observer} to see {name} as {states}")

    def test_planned_stop_and_replacement(self):
        before = self.cluster.instances["north-2"].process.ready["incarnation"]
        self.assertEqual(self.cluster.stop_instance("north-2"), 0)
        self.assertNotIn("north-2", self.cluster.instances)
        after = self.cluster.start_instance("north-2")
        self.assertNotEqual(after.process.ready["incarnation"], before)

    def test_cut_zone_and_heal(self):
        self.cluster.cut_zone("south")
        self.wait_state("north-1", "south-1", "dead", "absent")
        self.wait_state("south-1", "north-1", "dead", "absent")
        self.assertEqual(self.states("north-1")["north-2"], "alive")
        self.cluster.heal()
        self.wait_state("north-1", "south-1", "alive")
        self.wait_state("south-1", "north-1", "alive")

    def test_frozen_instance_is_given_up_and_returns(self):
        self.cluster.freeze_instance("south-1")
        self.wait_state("north-1", "south-1", "dead", "absent")
        self.cluster.thaw_instance("south-1")
        self.wait_state("north-1", "south-1", "alive")

    def test_killed_instance_is_given_up(self):
        self.cluster.kill_instance("south-1")
        self.wait_state("north-1", "south-1", "dead", "absent")


class TestClusterEnds(unittest.TestCase):
    def test_nothing_runs_after_the_block(self):
        settings = ClusterSettings(WITHOUT_INSTANCES)
        with self.assertRaises(KeyError), cluster(settings) as running:
            processes = [target.process for target in running.targets.values()]
            processes += [running.platform.process, running.fabric]
            raise KeyError
        self.assertFalse(any(process.running for process in processes))

    def test_nothing_runs_after_a_signal(self):
        settings = ClusterSettings(WITHOUT_INSTANCES)
        with (
            self.assertRaises(SystemExit),
            exit_on_signal(),
            cluster(settings) as running,
        ):
            signal.raise_signal(signal.SIGTERM)
        self.assertFalse(running.platform.process.running)


if __name__ == "__main__":
    unittest.main()

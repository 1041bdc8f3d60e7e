from gevent import monkey

monkey.patch_all()

# ruff: noqa: E402
import unittest

from standins.cluster import ClusterSettings, cluster
from standins.process import wait_until
from standins.shapes import SMALL

SERVICE = SMALL.services[0].name


class TestInForceEverywhere(unittest.TestCase):
    """Changes of records in a cluster of real processes."""

    @classmethod
    def setUpClass(cls):
        running = cluster(ClusterSettings(SMALL, faults=True))
        cls.cluster = cls.enterClassContext(running)

    def setUp(self):
        self.addCleanup(self.cluster.heal)

    def change(self, **fields):
        stored = self.cluster.platform.change_record(
            SERVICE, lambda body: body.update(fields)
        )
        return stored["version"]

    def versions_in_force(self):
        instances = self.cluster.instances.values()
        return [instance.status()["records"].get(SERVICE) for instance in instances]

    def wait_in_force(self, version):
        everywhere = [version] * len(self.cluster.instances)
        wait_until(
            lambda: self.versions_in_force() == everywhere,
            f"version {version} everywhere",
        )

    def test_change_is_in_force_everywhere(self):
        self.wait_in_force(self.change(write_id="plain"))

    def test_zone_cut_from_the_platform_follows_its_peers(self):
        for kind in ("cut", "blackhole"):
            self.cluster.faults.add_rule(
                {"type": kind}, source_zone=SMALL.zones[0], route="platform"
            )
            self.wait_in_force(self.change(write_id=kind))
            self.cluster.heal()

    def test_refused_version_leaves_the_last_valid_in_force(self):
        valid = self.change(write_id="valid")
        self.wait_in_force(valid)
        self.change(schema_version=99)
        self.addCleanup(self.change, schema_version=2)

        def refused_everywhere():
            return all(i.status()["refused"] for i in self.cluster.instances.values())

        wait_until(refused_everywhere, "the refusal at every instance")
        self.assertEqual(set(self.versions_in_force()), {valid})
        self.wait_in_force(self.change(schema_version=2))

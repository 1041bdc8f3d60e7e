import unittest

from standins.cluster import ClusterSettings, cluster
from standins.shapes import SMALL
from standins.time_to_answer import CASES, measure_case


class TestMeasureCase(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(cluster(ClusterSettings(SMALL)))

    def measure(self, name):
        case = next(case for case in CASES if case.name == name)
        return measure_case(self.cluster, case, rounds=1)

    def test_stop_loses_no_request(self):
        figures = self.measure("stop")
        self.assertGreater(figures["ends"].pop("whole"), 0)
        # The few targets of this shape may shed load.
        self.assertLessEqual(figures["ends"].keys(), {"not_run"})
        request, flow = figures["request_ms"], figures["longest_of_flow_ms"]
        self.assertLessEqual(request["median"], flow["median"])
        self.assertEqual(request["max"], flow["max"])
        self.assertEqual(len(self.cluster.instances), len(SMALL.instances))

    def test_kill_is_measured(self):
        figures = self.measure("kill")
        self.assertGreater(figures["ends"]["whole"], 0)
        self.assertTrue(all(one.is_ready for one in self.cluster.instances.values()))


if __name__ == "__main__":
    unittest.main()

import inspect
import unittest
from collections import defaultdict
from pathlib import Path

from endivepick.bench import _core_slopes, _target_slopes, packets
from endivepick.bench._capacity_model import capacity_lines
from endivepick.bench._fleet import LIMITS, PLANNED_FLEET
from endivepick.bench._simulated_node import SimulatedNode
from endivepick.bench._slopes import Measured, format_slopes, measure
from endivepick.bench.capacity import MEASUREMENTS, format_lines

SMALL = (20, 40, 60, 80)


def same_slopes(value):
    """Return slopes under any name that all have the same value at any size."""
    runs = ((value,) * len(SMALL),)
    return defaultdict(lambda: Measured("any", "B", "flow", SMALL, runs))


class SlopeTest(unittest.TestCase):
    def test_slope_and_spread_of_repeated_runs(self):
        gains = iter((2.0, 3.0, 5.0))
        gain = 0.0

        def once(size):
            nonlocal gain
            if size == SMALL[0]:
                gain = next(gains)
            return {"cost": 10.0 + gain * size}

        found = measure("flow", SMALL, {"cost": "us"}, once, repeats=3)["cost"]
        self.assertEqual([round(slope, 6) for slope in found.slopes], [2.0, 3.0, 5.0])
        self.assertAlmostEqual(found.at(1000), 3010.0)
        self.assertAlmostEqual(found.last, 250.0)
        self.assertIn("3/flow (2 to 5), 10", format_slopes([found]))

    def test_costs_are_never_below_zero(self):
        falling = Measured("x", "us", "flow", SMALL, ((90.0, 60.0, 30.0, 0.0),))
        self.assertEqual(falling.at(1_000_000), 0.0)


class FleetTest(unittest.TestCase):
    def test_services_are_dealt_out_unevenly(self):
        self.assertEqual(PLANNED_FLEET.targets_per_record, 7)
        self.assertGreater(PLANNED_FLEET.most_records, 3)
        self.assertLess(PLANNED_FLEET.most_records, 10)

    def test_every_zone_belongs_to_one_region(self):
        zones = [
            zone
            for region in range(PLANNED_FLEET.regions)
            for zone in PLANNED_FLEET.zones_of_region(region)
        ]
        self.assertEqual(len(zones), PLANNED_FLEET.zones)
        self.assertEqual(len(set(zones)), PLANNED_FLEET.zones)

    def test_smaller_fleet_keeps_the_proportions(self):
        half = PLANNED_FLEET.scaled(4_000)
        self.assertEqual((half.records, half.targets), (3_150, 22_000))


class LinesTest(unittest.TestCase):
    def test_every_role_of_the_page_has_lines(self):
        lines = capacity_lines(PLANNED_FLEET, LIMITS, same_slopes(1.0))
        roles = {line.role for line in lines}
        wanted = {"relay", "owner", "placer", "prober", "configuration", "key holder"}
        self.assertLessEqual(wanted | {"status writer", "platform"}, roles)

    def test_line_over_its_limit_says_by_how_much(self):
        lines = capacity_lines(PLANNED_FLEET, LIMITS, same_slopes(1e6))
        text = format_lines([line for line in lines if line.what == "object of a zone"])
        self.assertIn("1,000,000", text)
        self.assertNotIn("OVER", text)
        lines = capacity_lines(PLANNED_FLEET, LIMITS, same_slopes(3e6))
        text = format_lines([line for line in lines if line.what == "object of a zone"])
        self.assertIn("OVER x3.0", text)

    def test_lines_ask_only_for_what_is_measured(self):
        asked = same_slopes(1.0)
        capacity_lines(PLANNED_FLEET, LIMITS, asked)
        source = "".join(
            Path(inspect.getfile(one)).read_text() for one in MEASUREMENTS.values()
        )
        for name in asked:
            prefix, _, rest = name.partition("_")
            known = f'"{name}"' in source or f'"{{prefix}}_{rest}"' in source
            self.assertTrue(known, name)


class MeasurementTest(unittest.TestCase):
    def test_driven_node_joins_a_made_up_fleet(self):
        node = SimulatedNode(PLANNED_FLEET.scaled(128))
        node.join()
        node.run(2.0)
        self.assertEqual(node.core.lifecycle.state, "ready")
        self.assertEqual(len(node.core.membership.live_names()), 128)
        self.assertGreater(node.sent_bytes["Ping"], 0)

    def test_flows_cost_memory_and_are_all_handed_over(self):
        memory = _core_slopes.measure_memory(SMALL)
        self.assertGreater(memory["flow_used_bytes"].slope, 100)
        moved = _core_slopes.measure_flows(SMALL)["hand_over_bytes"]
        self.assertGreater(moved.slope, 20)

    def test_probes_and_calls_count_the_bytes_of_both_directions(self):
        probes = _target_slopes.measure_probes((2, 4))["probe_round_bytes"]
        self.assertGreater(probes.slope, 200)
        calls = _target_slopes.measure_calls((1_000, 2_000))["platform_call_bytes"]
        self.assertAlmostEqual(calls.slope, 1.0, places=2)

    def test_flood_of_real_instances_is_answered(self):
        with packets.running_pair() as pair:
            tokens = pair.open(50)
            self.assertEqual(pair.owner.status()["flows"], 50)
            for instance in (pair.owner, pair.relay):
                address = packets.data_address(instance)
                self.assertGreater(pair.sender.flood(address, tokens, 0.2), 0)


if __name__ == "__main__":
    unittest.main()

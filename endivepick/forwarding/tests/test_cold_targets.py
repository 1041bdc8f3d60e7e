import random
import unittest

from endivepick.forwarding import (
    ColdStart,
    Configuration,
    EvacuatedZone,
    Forward,
    Reset,
    ResetReason,
)
from endivepick.forwarding.tests.support import (
    flow_key,
    make_core,
    make_target,
    opening,
)

RATE_PER_S = 3.0
OVERAGE = 1.5
SLACK = 5
COLD_S = 2.0
FED_MOST = 24


def make_cold_core(targets, seed, instances=None, rate_per_s=RATE_PER_S):
    core = make_core(targets, zones=3, seed=seed)
    known = core.routes.configuration
    starts = {"notes": ColdStart(COLD_S, rate_per_s)}
    newer = Configuration(8, 2, known.routes, known.health_paths, 60.0, starts)
    core.on_configuration(newer, 0.0)
    if instances is not None:
        core.set_instance_bound(instances)
    return core


class TestReturningZone(unittest.TestCase):
    """All instances of a zone place their flows on its cold targets at once.

    No instance sees the openings of the others.  Summed over all of them, a target may
    get ``rate * OVERAGE + SLACK`` openings in any span of a second.
    """

    TARGETS = 10
    OPENINGS_PER_S = 40.0
    """Openings per second of each instance."""

    def run_installation(self, instances, seed):
        """Return the times of the openings at each target of the returned zone."""
        targets = [
            make_target(f"i-{n:x}", zone="abc"[n % 3])
            for n in range(1, 3 * self.TARGETS + 1)
        ]
        rng = random.Random(seed)
        times_s = {}
        bound = max(3, -(-instances // (FED_MOST + 1))) * (FED_MOST + 1)
        for index in range(instances):
            core = make_cold_core(targets, seed * 1000 + index, bound)
            core.evacuations.apply_list([EvacuatedZone("a", 20)], 21, 1.0)
            core.evacuations.apply_list([], 30, 10.0)
            now_s = 10.0
            port = 1000
            while now_s < 10.0 + COLD_S:
                now_s += rng.expovariate(self.OPENINGS_PER_S)
                port += 1
                verdict = core.on_packet(opening(flow_key(port)), b"", now_s)
                self.assertIsInstance(verdict, Forward)
                if now_s < verdict.belief.cold_until_s:
                    times_s.setdefault(verdict.belief.name, []).append(now_s)
        return times_s

    def find_busiest_second(self, times_s):
        times_s = sorted(times_s)
        return max(
            sum(begin_s <= each < begin_s + 1.0 for each in times_s)
            for begin_s in times_s
        )

    def test_rate_is_kept_by_all_instances_together(self):
        for instances in (1, 7, 70):
            for seed in (1, 2, 3):
                times_s = self.run_installation(instances, seed)
                with self.subTest(instances=instances, seed=seed):
                    for of_target in times_s.values():
                        busiest = self.find_busiest_second(of_target)
                        self.assertLessEqual(busiest, RATE_PER_S * OVERAGE + SLACK)


class TestAdmission(unittest.TestCase):
    def open(self, core, now_s, port=1000):
        return core.on_packet(opening(flow_key(port)), b"", now_s)

    def cold_target(self, name="i-1", zone="a"):
        return make_target(name, zone=zone, cold_s=COLD_S)

    def test_warm_targets_take_the_flows(self):
        core = make_cold_core([self.cold_target(), make_target("i-2", zone="b")], 1, 75)
        names = {self.open(core, 0.1, port).belief.name for port in range(50)}
        self.assertEqual(names, {"i-2"})

    def test_reset_at_once_if_all_targets_are_cold(self):
        core = make_cold_core([self.cold_target()], 1, 750)
        verdict = self.open(core, 0.0)
        self.assertIsInstance(verdict, Reset)
        self.assertIs(verdict.reason, ResetReason.TARGETS_COLD)
        self.assertIsInstance(self.open(core, COLD_S + 0.1), Forward)

    def test_unknown_number_of_instances_keeps_cold_targets_free(self):
        core = make_cold_core([self.cold_target(), make_target("i-2", zone="b")], 1)
        self.assertEqual(self.open(core, 1.9).belief.name, "i-2")

    def test_instance_with_few_openings_gets_its_share(self):
        """The turn of an instance does not pass while it has no opening."""
        target = make_target("i-1", cold_s=60.0)
        core = make_cold_core([target], 1, 75)
        verdicts = []
        for tenth in range(1, 600):
            core.tick(tenth / 10)
            if not tenth % 100:
                verdicts.append(self.open(core, tenth / 10, tenth))
        self.assertTrue(any(isinstance(verdict, Forward) for verdict in verdicts))

    def test_no_limit_without_a_rate(self):
        core = make_cold_core([self.cold_target()], 1, 75, rate_per_s=0.0)
        for port in range(50):
            self.assertIsInstance(self.open(core, 0.1, port), Forward)


if __name__ == "__main__":
    unittest.main()

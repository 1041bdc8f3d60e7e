"""No flow is reset while instances stop, start and join, and all targets serve."""

import unittest

from endivepick.forwarding import FitnessReport, merge_reports
from endivepick.forwarding.outlier_detector import START_S
from endivepick.forwarding.tests.fabric import NAMES, PORTS, FabricZone
from endivepick.forwarding.tests.support import make_core

SHORT_PAUSE_S, LONG_PAUSE_S = (0.05, 0.2), (2.0, 5.0)
SHORT_WORK_S, LONG_WORK_S = (0.05, 0.1), (0.3, 0.4)
LEARNT_S = 10.0
STOP_GAP_S = 2.0
BURST = 60
"""Flows that are opened within `BURST_S` when a target starts."""
BURST_S = 1.2


def make_zone(seed, running, joining=0):
    """Return a zone whose first target has most requests in progress."""
    zone = FabricZone(seed, running, joining)
    for number in range(64):
        zone.add_caller(NAMES[0], PORTS[number % 4 == 0], LONG_WORK_S, LONG_PAUSE_S)
    for number in range(32):
        pause_s = SHORT_PAUSE_S if number % 4 == 0 else LONG_PAUSE_S
        zone.add_caller(NAMES[1], PORTS[number % 4 == 0], SHORT_WORK_S, pause_s)
    zone.run(LEARNT_S)
    return zone


def start_target(zone):
    """Start a target, and let callers open many flows at once."""
    zone.start_target()
    for number in range(BURST):
        zone.at(zone.now_s + number * BURST_S / BURST, zone.open_flow)


def restart_most(zone):
    """Restart all instances but one within 0.3 s of each other."""
    for number, instance in enumerate(zone.instances[1:]):
        zone.restart(instance, zone.now_s + 0.1 + 0.3 * (number > 0))


def restart_in_turn(zone):
    for number, instance in enumerate(zone.instances):
        zone.restart(instance, zone.now_s + 0.1 + number * STOP_GAP_S)


class TestPlannedWork(unittest.TestCase):
    """Guards against resets for requests whose flows have moved."""

    def test_instances_that_restart_in_turn(self):
        for seed in range(1, 4):
            zone = make_zone(seed, running=3)
            start_target(zone)
            restart_in_turn(zone)
            zone.run(3 * STOP_GAP_S + 5.0)
            with self.subTest(seed):
                self.assertEqual(zone.resets, [])

    def test_fewer_than_half_of_the_instances_in_rotation(self):
        for seed in range(1, 11):
            zone = make_zone(seed, running=4)
            restart_most(zone)
            zone.run(8.0)
            with self.subTest(seed):
                self.assertEqual(zone.resets, [])

    def test_many_instances_that_join_at_once(self):
        for joining in (1, 2, 4):
            zone = make_zone(joining, running=2, joining=joining)
            start_target(zone)
            zone.join()
            zone.run(8.0)
            with self.subTest(joining):
                self.assertEqual(zone.resets, [])

    def test_target_that_answers_nothing_after_the_restarts(self):
        zone = make_zone(1, running=4)
        restart_most(zone)
        zone.run(4.0)
        zone.mute_name = NAMES[0]
        zone.run(8.0)
        self.assertEqual({reset.target for reset in zone.resets}, {NAMES[0]})


class TestSteadyWork(unittest.TestCase):
    """Guards against resets of a target whose callers ask for longer requests."""

    def test_callers_of_one_target_ask_for_more_from_the_start(self):
        for seed in (130, 139, 148):
            zone = FabricZone(seed, 2)
            for number in range(96):
                port = PORTS[number % 4 == 0]
                zone.add_caller(NAMES[0], port, SHORT_WORK_S, SHORT_PAUSE_S)
            for number in range(24):
                port = PORTS[number % 4 == 0]
                zone.add_caller(NAMES[1], port, LONG_WORK_S, LONG_PAUSE_S)
            zone.run(LEARNT_S)
            with self.subTest(seed):
                self.assertEqual(zone.resets, [])


class TestMovingFlows(unittest.TestCase):
    """Guards the report of instances that stop or have just started."""

    def count_moving(self, core, now_s):
        return core.build_report(now_s).moving

    def test_instance_reports_its_start_and_its_stop(self):
        core = make_core()
        core.tick(1.0)
        self.assertEqual(self.count_moving(core, 1.0), 1)
        self.assertEqual(self.count_moving(core, 1.0 + START_S), 0)
        core.begin_stop()
        self.assertEqual(self.count_moving(core, 1.0 + START_S), 1)

    def test_merged_report_counts_each_instance_once(self):
        reports = [FitnessReport([], [], moving=moving) for moving in (0, 1, 9, -5)]
        self.assertEqual(merge_reports(reports).moving, 2)


if __name__ == "__main__":
    unittest.main()

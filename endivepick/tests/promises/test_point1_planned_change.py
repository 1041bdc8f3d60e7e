"""Point 1: established flows survive the replacement of everything, under load."""

import signal
import unittest

import gevent

from endivepick.tests.promises._planned_change import (
    EXPORTS,
    SESSIONS,
    PlannedChangeTestCase,
    roomy,
)
from endivepick.tests.promises._waiting import wait
from standins.checker import check
from standins.cluster import ClusterSettings
from standins.evidence import read_evidence
from standins.shapes import SMALL

LOSSY = {"loss": 0.05, "duplicate": 0.05, "delay_ms_max": 5.0}


class TestReplacementUnderLoad(PlannedChangeTestCase):
    settings = ClusterSettings(roomy(SMALL))

    def start_load(self):
        services = (SESSIONS, EXPORTS)
        short = {"work_ms": 20, "think_ms": 50, "stream_interval_ms": 50}
        long = {"work_ms": 1000, "think_ms": 10, "deadline_s": 25}
        large = {"think_ms": 10, "answer_bytes": 1_000_000, "deadline_s": 25}
        workloads = [
            {"service": service, "flows": flows, **kind}
            for service in services
            for flows, kind in ((5, short), (3, long), (1, large))
        ]
        launcher = self.cluster.launcher
        settings = {
            "name": "load",
            "fabric_address": self.cluster.fabric_address,
            "log_path": str(launcher.log_path("callers", "load")),
            "workloads": workloads,
        }
        path = launcher.write_settings("load", settings)
        process = launcher.spawn("load", "standins.load", [f"--settings={path}"])
        process.wait_ready()
        return process

    def replace_target(self, service, name):
        plan = self.cluster.targets[name].plan
        self.cluster.drain_target(service, name)
        target = self.cluster.targets[name]
        wait(lambda: not target.load()["in_progress"], f"{name} to be idle")
        target.process.terminate(5.0)
        self.cluster.start_target(plan)
        self.cluster.write_record(self.cluster.shape.service(service))

    def replace_targets(self):
        for service in self.cluster.shape.services:
            for target in service.targets:
                self.replace_target(service.name, target.name)

    def test_everything_is_replaced_in_turn_and_at_once(self):
        self.cluster.control_fabric(to_instances=LOSSY, to_callers=LOSSY)
        load = self.start_load()
        targets = gevent.get_hub().threadpool.spawn(self.replace_targets)
        for plan in self.cluster.shape.instances:
            self.assertEqual(self.stop(plan.name), 0, plan.name)
            self.start_missing()
        targets.get()
        load.signal(signal.SIGTERM)
        load.wait(60.0)
        logs = self.cluster.launcher.logs
        evidence = read_evidence(logs("callers"), logs("targets"), logs("platform"))
        report = check(evidence)
        self.assertEqual([str(violation) for violation in report.violations], [])
        self.assertGreater(report.counts["answer_whole"], 100)
        self.assertEqual(report.counts["not_run"], 0, report.counts)


if __name__ == "__main__":
    unittest.main()

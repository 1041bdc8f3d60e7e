import unittest
from collections import defaultdict

from endivepick.timeline import merge_logs
from standins.cluster import ClusterSettings, cluster
from standins.shapes import SMALL

SERVICE = SMALL.services[0].name
LOAD = {
    "service": SERVICE,
    "flows": 3,
    "work_ms": 5,
    "think_ms": 5,
    "requests_per_flow": 3,
}
LOAD_S = 2.0
STOP_TIMEOUT_S = 60.0
ORDER = (
    ("caller", "request_sent"),
    ("instance", "request_accepted"),
    ("instance", "attempt_started"),
    ("target", "start"),
    ("target", "end"),
    ("instance", "request_answered"),
    ("caller", "answer_received"),
)


class RealRunTest(unittest.TestCase):
    """Merged logs of real processes."""

    @classmethod
    def setUpClass(cls):
        settings = ClusterSettings(SMALL, instance_settings={"log": {"level": "debug"}})
        with cluster(settings) as running:
            launcher = running.launcher
            caller = {
                "name": "caller-1",
                "fabric_address": running.fabric_address,
                "log_path": str(launcher.log_path("callers", "caller-1")),
                "trace_path": str(launcher.log_path("traces", "caller-1")),
                "workloads": [LOAD],
                "run_s": LOAD_S,
            }
            path = launcher.write_settings("caller-1", caller)
            process = launcher.spawn(
                "caller-1", "standins.load", [f"--settings={path}"]
            )
            process.wait_ready()
            process.wait(STOP_TIMEOUT_S)
            cls.kinds = {name: "instance" for name in running.instances}
            cls.kinds |= {name: "target" for name in running.targets}
            parts = ("traces", "instances", "targets", "platform")
            logs = [path for part in parts for path in launcher.logs(part)]
            cls.timeline = merge_logs(logs)

    def steps(self):
        """Return the events of each request in timeline order."""
        steps = defaultdict(list)
        for event in self.timeline.events:
            if event.log.request is not None:
                log = event.log
                kind = self.kinds.get(log.target or "", "instance")
                if log.clock is not None:
                    kind = "instance"
                elif log.process == "caller-1":
                    kind = "caller"
                steps[log.request].append((kind, log.event))
        return steps

    def test_no_contradiction(self):
        self.assertEqual(self.timeline.contradictions, 0)

    def test_events_of_each_request_are_in_causal_order(self):
        steps = self.steps()
        self.assertGreater(len(steps), 20)
        for request, events in steps.items():
            with self.subTest(request):
                self.assertEqual([e for e in events if e in ORDER], list(ORDER))

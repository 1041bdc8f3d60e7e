import json
import unittest
from unittest.mock import patch

from endivepick.forwarder import tasks
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.tasks import spawn_supervised


class TestSpawnSupervised(unittest.TestCase):
    def test_failed_task_is_logged_and_restarted(self):
        lines = []
        log = BoundedLog("a", lambda data: lines.append(data) or len(data))
        decisions = DecisionLog(log, ForwarderMetrics())
        runs = []

        def work():
            runs.append(1)
            if len(runs) < 3:
                raise KeyError("gone")

        with patch.object(tasks, "RESTART_AFTER_S", 0.0):
            spawn_supervised("registry", work, decisions).get(timeout=20)
        self.assertEqual(len(runs), 3)
        events = [json.loads(line) for line in lines]
        self.assertEqual([e["event"] for e in events], ["task_failed"] * 2)
        self.assertIn("KeyError", events[0]["error"])
        self.assertEqual(decisions.metrics.counts["tasks_failed", "registry"], 2)

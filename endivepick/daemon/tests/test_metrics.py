import ast
import unittest
from pathlib import Path

import endivepick.core
from endivepick.daemon.metrics import COUNTERS, DaemonMetrics

CORE = Path(endivepick.core.__file__).parent
DAEMON = CORE.parent / "daemon"


def counted(folder, function):
    """Return the first argument of each call of a function, as far as it is text."""
    names = set()
    for path in folder.rglob("*.py"):
        if path.parent.name == "tests":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and _called(node) == function:
                first = node.args[0]
                names.add(getattr(first, "value", ast.unparse(first)))
    return names


def _called(node):
    return getattr(node.func, "id", getattr(node.func, "attr", ""))


class MetricsTest(unittest.TestCase):
    def test_every_count_of_the_core_has_a_metric_and_the_reverse(self):
        in_core = counted(CORE, "Count")
        self.assertIn("flows_handed_over", in_core)
        in_daemon = {"platform_calls"}
        self.assertEqual(in_core | in_daemon, set(COUNTERS))

    def test_every_observation_of_the_core_has_a_metric(self):
        self.assertEqual(counted(CORE, "Observe"), {"time_to_answer_s"})

    def test_counts_of_several_add_up(self):
        metrics = DaemonMetrics()
        metrics.count("flows_handed_over", "", 3)
        metrics.count("flows_handed_over", "", 2)
        body, _ = metrics.render([])
        self.assertIn(b"endivepick_flows_handed_over_total 5", body)

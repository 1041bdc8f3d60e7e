import ast
import unittest
from pathlib import Path

import endivepick.core
from endivepick.daemon.metrics import COUNTERS, DaemonMetrics

CORE = Path(endivepick.core.__file__).parent
DAEMON = CORE.parent / "daemon"


def find_first_arguments(folder, function):
    """Return the first argument of each call of a function, or its source text."""
    names = set()
    for path in folder.rglob("*.py"):
        if path.parent.name == "tests":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and _called_name(node) == function:
                first = node.args[0]
                names.add(getattr(first, "value", ast.unparse(first)))
    return names


def _called_name(node):
    return getattr(node.func, "id", getattr(node.func, "attr", ""))


class MetricsTest(unittest.TestCase):
    def test_counters_match_the_counts_of_the_core(self):
        in_core = find_first_arguments(CORE, "Count")
        self.assertIn("flows_handed_over", in_core)
        in_daemon = {"platform_calls"}
        self.assertEqual(in_core | in_daemon, set(COUNTERS))

    def test_histograms_match_the_observations_of_the_core(self):
        self.assertEqual(find_first_arguments(CORE, "Observe"), {"time_to_answer_s"})

    def test_amounts_are_added(self):
        metrics = DaemonMetrics()
        metrics.count("flows_handed_over", "", 3)
        metrics.count("flows_handed_over", "", 2)
        body, _ = metrics.render([])
        self.assertIn(b"endivepick_flows_handed_over_total 5", body)

import unittest
from importlib import resources

from endivepick.core.chart import load_chart
from endivepick.core.chart_tables import render_tables
from endivepick.forwarding.belief import (
    Reachability,
    ReachabilityEvent,
    TargetEvent,
    TargetState,
)


class TestChartTables(unittest.TestCase):
    def test_the_tables_are_those_of_the_charts(self):
        path = resources.files("endivepick") / "forwarding" / "_charts.py"
        self.assertEqual(path.read_text(encoding="utf-8"), render_tables())

    def test_states_and_events_of_the_charts_are_those_of_the_code(self):
        kinds = {
            "registered_target": (TargetState, TargetEvent),
            "reachability": (Reachability, ReachabilityEvent),
        }
        for name, (states, events) in kinds.items():
            transitions = load_chart(name).transitions
            before = {state for state, _ in transitions}
            after = set(transitions.values())
            self.assertEqual(before | after, {state.value for state in states})
            named = {event for _, event in transitions}
            self.assertEqual(named, {event.value for event in events})

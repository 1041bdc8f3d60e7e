import unittest
from importlib import resources

from endivepick.core.chart import load_chart
from endivepick.core.chart_tables import render_tables
from endivepick.forwarding.admission.overload_state import (
    OverloadEvent,
    OverloadState,
)
from endivepick.forwarding.belief import (
    Reachability,
    ReachabilityEvent,
    TargetEvent,
    TargetState,
)


class TestChartTables(unittest.TestCase):
    def test_generated_module_is_up_to_date(self):
        path = resources.files("endivepick") / "forwarding" / "_charts.py"
        self.assertEqual(path.read_text(encoding="utf-8"), render_tables())

    def test_charts_and_enumerations_have_the_same_states_and_events(self):
        enumerations = {
            "registered_target": (TargetState, TargetEvent),
            "overload": (OverloadState, OverloadEvent),
            "reachability": (Reachability, ReachabilityEvent),
        }
        for name, (states, events) in enumerations.items():
            transitions = load_chart(name).transitions
            sources = {state for state, _ in transitions}
            destinations = set(transitions.values())
            self.assertEqual(sources | destinations, {state.value for state in states})
            charted_events = {event for _, event in transitions}
            self.assertEqual(charted_events, {event.value for event in events})

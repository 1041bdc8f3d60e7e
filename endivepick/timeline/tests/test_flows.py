import json
import tempfile
import unittest
from pathlib import Path

from endivepick.timeline import (
    EventFilter,
    merge_logs,
    read_log,
    render_text,
    select_events,
    trace_flow,
)

FLOW = "100.64.0.7:40001>198.18.0.1:443"
OTHER = "100.64.0.8:40001>198.18.0.1:443"


def line(at_s, process, part, event, **fields):
    head = {"at_s": at_s, "process": process, "part": part, "event": event}
    return json.dumps(head | fields)


LINES = {
    "front-1": [
        line(80, "front-1", "store", "store_lost"),
        line(95, "front-1", "store", "store_regained"),
        line(99, "front-1", "target", "target_belief", target="i-1", after="silent"),
        line(99, "front-1", "target", "target_belief", target="i-2", after="dead"),
        line(100, "front-1", "flow", "flow_placed", target="i-1", flow_key=FLOW),
        line(100, "front-1", "flow", "flow_placed", target="i-1", flow_key=OTHER),
    ],
    "front-2": [
        line(99, "front-2", "store", "store_lost"),
        line(101, "front-2", "flow", "flow_reset", target="i-1", flow_key=FLOW),
    ],
    "front-3": [line(100, "front-3", "store", "store_lost")],
}
WANTED = [
    ("front-1", "store_regained"),
    ("front-1", "target_belief"),
    ("front-2", "store_lost"),
    ("front-1", "flow_placed"),
    ("front-2", "flow_reset"),
]


class TestFlows(unittest.TestCase):
    """A flow over two forwarders, with the related events of its target."""

    def setUp(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.paths = []
        for name, lines in LINES.items():
            path = folder / f"{name}.log"
            path.write_text("\n".join([*lines, "noise", '{"torn']) + "\n")
            self.paths.append(path)

    def events(self):
        return [event for path in self.paths for event in read_log(path)]

    def test_events_of_a_flow_its_target_and_its_forwarders(self):
        found = trace_flow(self.events(), "100.64.0.7:40001")
        self.assertEqual([(e.process, e.event) for e in found], WANTED)

    def test_timeline_filter_selects_the_same_events(self):
        wanted = EventFilter(flow_key="100.64.0.7:40001")
        shown = select_events(merge_logs(self.paths), wanted)
        found = [(e.log.process, e.log.event) for e in shown.events]
        self.assertEqual(sorted(found), sorted(WANTED))
        self.assertEqual(len(render_text(shown).splitlines()), len(WANTED))

    def test_unknown_flow(self):
        self.assertEqual(trace_flow(self.events(), "100.64.0.9:1"), [])
        wanted = EventFilter(flow_key="100.64.0.9:1")
        self.assertEqual(select_events(merge_logs(self.paths), wanted).events, ())

    def test_prefix_of_a_log_collector_is_skipped(self):
        path = self.paths[0].with_name("collected")
        path.write_text(f"12.5 front-9 {LINES['front-3'][0]}\n")
        (event,) = read_log(path)
        self.assertEqual((event.process, event.event), ("front-3", "store_lost"))


def overload(at_s, process, service, state):
    fields = {"service": service, "state": state, "short_share": 0.3}
    fields |= {"busy_per_slot": 1.5, "age_s": 0.4}
    return line(at_s, process, "load", "overload_changed", **fields)


def belief(at_s, target, service):
    fields = {"target": target, "service": service, "after": "ready"}
    return line(at_s, "front-1", "target", "target_belief", **fields)


REJECTED = line(
    100, "front-1", "flow", "flow_reset", target="", flow_key=FLOW, reason="overloaded"
)


class TestOverload(unittest.TestCase):
    """A flow, with the changes of overload of its service."""

    def trace(self, *lines):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / "front-1.log"
        path.write_text("\n".join(lines) + "\n")
        self.path = path
        return trace_flow(list(read_log(path)), FLOW)

    def changes(self, *lines):
        return [
            (event.fields["service"], event.fields["state"])
            for event in self.trace(*lines)
            if event.event == "overload_changed"
        ]

    def test_opening_rejected_long_after_its_service_became_overloaded(self):
        found = self.trace(
            overload(10, "front-1", "notes", "overloaded"),
            overload(20, "front-1", "notes", "recovering"),
            overload(40, "front-1", "notes", "overloaded"),
            REJECTED,
            overload(101, "front-1", "notes", "recovering"),
            overload(190, "front-1", "notes", "normal"),
        )
        self.assertEqual([event.at_s for event in found], [40, 100, 101])

    def test_overload_of_another_service_is_left_out(self):
        found = self.changes(
            belief(1, "i-1", "notes"),
            belief(1, "i-2", "mail"),
            overload(98, "front-1", "notes", "overloaded"),
            overload(99, "front-1", "mail", "overloaded"),
            line(100, "front-1", "flow", "flow_placed", target="i-1", flow_key=FLOW),
        )
        self.assertEqual(found, [("notes", "overloaded")])

    def test_flow_that_names_its_service(self):
        found = self.changes(
            overload(50, "front-1", "mail", "overloaded"),
            overload(50, "front-1", "notes", "overloaded"),
            json.dumps(json.loads(REJECTED) | {"service": "notes"}),
        )
        self.assertEqual(found, [("notes", "overloaded")])

    def test_overload_of_any_service_if_that_of_the_flow_is_unknown(self):
        found = self.changes(
            overload(50, "front-1", "mail", "overloaded"),
            overload(99, "front-1", "notes", "overloaded"),
            REJECTED,
        )
        self.assertEqual(found, [("mail", "overloaded"), ("notes", "overloaded")])

    def test_overload_at_an_instance_that_did_not_see_the_flow(self):
        found = self.changes(overload(99, "front-2", "notes", "overloaded"), REJECTED)
        self.assertEqual(found, [])

    def test_timeline_shows_reason_and_values(self):
        self.trace(overload(99, "front-1", "notes", "overloaded"), REJECTED)
        shown = select_events(merge_logs([self.path]), EventFilter(flow_key=FLOW))
        change, reset = render_text(shown).splitlines()
        self.assertIn("state=overloaded", change)
        self.assertIn("short_share=0.3 busy_per_slot=1.5 age_s=0.4", change)
        self.assertIn("reason=overloaded", reset)

    def test_changes_of_a_service_are_selected_by_its_name(self):
        self.trace(
            overload(98, "front-1", "notes", "overloaded"),
            overload(99, "front-1", "mail", "overloaded"),
        )
        shown = select_events(merge_logs([self.path]), EventFilter(record="notes"))
        self.assertEqual([each.log.at_s for each in shown.events], [98])

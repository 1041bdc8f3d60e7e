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

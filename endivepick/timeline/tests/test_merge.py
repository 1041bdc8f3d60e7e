import json
import random
import tempfile
import unittest
from pathlib import Path

from endivepick.timeline import (
    EventFilter,
    HybridClock,
    LogEvent,
    RequestKey,
    merge_events,
    merge_logs,
    render_html,
    render_json,
    render_text,
    select_events,
)

FLOW, BINDING = 0xF, 0xB
SKEWS_S = {"caller": -40.0, "entry-1": 7.0, "entry-2": -3.0, "a": 90.0, "platform": 5}
CLOCKED = ("entry-1", "entry-2")


class SimulatedProcesses:
    """Logs events in true order with a skewed clock per process."""

    def __init__(self, skews_s):
        self.skews_s = skews_s
        self.clocks = {name: HybridClock() for name in CLOCKED}
        self.true_s = 1e9
        self.events = []

    def log(self, process, event, seq=1, **fields):
        self.true_s += 0.001
        now_s = self.true_s + self.skews_s[process]
        clock = self.clocks[process].tick(now_s) if process in CLOCKED else None
        key = RequestKey(FLOW, BINDING, seq) if seq else None
        self.events.append(
            LogEvent(
                *(process, len(self.events), process, now_s, clock, event, event),
                *(fields, key),
            )
        )

    def send_to_peer(self, sender, receiver):
        stamp = self.clocks[sender].tick(self.true_s + self.skews_s[sender])
        self.clocks[receiver].observe(stamp, self.true_s + self.skews_s[receiver])

    def serve_request(self, seq):
        self.log("caller", "request_sent", seq)
        self.log("entry-1", "request_relayed", seq)
        self.send_to_peer("entry-1", "entry-2")
        self.log("entry-2", "request_accepted", seq)
        self.log("entry-2", "attempt_started", seq, target="a")
        self.log("a", "start", seq, target="a")
        self.log("a", "end", seq, target="a")
        self.log("entry-2", "request_answered", seq)
        self.log("caller", "answer_received", seq)


def merged_order(events):
    return [event.log for event in merge_events(events).events]


class MergeTest(unittest.TestCase):
    def test_one_request_is_in_true_order_under_any_skew(self):
        random_source = random.Random(5)
        for trial in range(100):
            skews_s = {name: random_source.uniform(-500, 500) for name in SKEWS_S}
            processes = SimulatedProcesses(skews_s)
            processes.serve_request(1)
            shuffled = random_source.sample(processes.events, len(processes.events))
            with self.subTest(trial):
                self.assertEqual(merged_order(shuffled), processes.events)

    def test_consecutive_requests_are_in_true_order(self):
        processes = SimulatedProcesses(SKEWS_S)
        for seq in range(1, 20):
            processes.serve_request(seq)
        self.assertEqual(merged_order(processes.events[::-1]), processes.events)

    def test_the_answer_follows_the_last_attempt(self):
        processes = SimulatedProcesses(SKEWS_S | {"b": -70.0})
        processes.log("entry-1", "request_accepted")
        processes.log("entry-1", "attempt_started", target="b")
        processes.log("b", "start", target="b")
        processes.log("entry-1", "attempt_failed")
        processes.log("entry-1", "attempt_started", target="a")
        processes.log("a", "start", target="a")
        processes.log("a", "end", target="a")
        processes.log("entry-1", "request_answered")
        processes.log("b", "end", target="b")
        self.assertEqual(merged_order(processes.events[::-1]), processes.events)

    def test_record_is_in_force_after_its_write(self):
        processes = SimulatedProcesses(SKEWS_S)
        record = {"kind": "service", "name": "notes", "version": 4}
        processes.log("platform", "write", None, **record)
        processes.log("entry-1", "record_in_force", None, record="notes", version=4)
        self.assertEqual(merged_order(processes.events[::-1]), processes.events)

    def test_equal_clocks_are_not_adjusted(self):
        processes = SimulatedProcesses(dict.fromkeys(SKEWS_S, 0.0))
        processes.serve_request(1)
        times_s = [e.time_s for e in merge_events(processes.events).events]
        for time_s, event in zip(times_s, processes.events, strict=True):
            self.assertAlmostEqual(time_s, event.at_s, delta=0.002)

    def test_contradicting_logs_are_merged_and_counted(self):
        processes = SimulatedProcesses(SKEWS_S)
        processes.log("caller", "answer_received")
        processes.log("caller", "request_sent")
        processes.log("entry-1", "request_answered")
        timeline = merge_events(processes.events)
        self.assertEqual(len(timeline.events), 3)
        self.assertGreater(timeline.contradictions, 0)


class SelectTest(unittest.TestCase):
    def setUp(self):
        processes = SimulatedProcesses(SKEWS_S)
        processes.serve_request(1)
        processes.serve_request(2)
        processes.log("entry-1", "role_taken", None, service="notes")
        self.timeline = merge_events(processes.events)

    def count(self, **wanted):
        return len(select_events(self.timeline, EventFilter(**wanted)).events)

    def test_filters(self):
        self.assertEqual(self.count(), 17)
        self.assertEqual(self.count(flow=FLOW), 16)
        self.assertEqual(self.count(flow=1), 0)
        self.assertEqual(self.count(request=RequestKey(FLOW, BINDING, 2)), 8)
        self.assertEqual(self.count(target="a"), 6)
        self.assertEqual(self.count(record="notes"), 1)
        middle_s = self.timeline.events[8].time_s
        self.assertEqual(self.count(since_s=middle_s), 9)
        self.assertEqual(self.count(until_s=middle_s, flow=FLOW), 9)

    def test_causes_are_renumbered(self):
        wanted = EventFilter(request=RequestKey(FLOW, BINDING, 2))
        events = select_events(self.timeline, wanted).events
        self.assertEqual(events[1].causes, (0,))

    def test_renderers(self):
        self.assertEqual(len(render_text(self.timeline).splitlines()), 17)
        entries = [json.loads(line) for line in render_json(self.timeline).split("\n")]
        self.assertEqual(entries[0]["event"], "request_sent")
        page = render_html(self.timeline, "<Run>")
        self.assertEqual(page.count("<circle"), 17)
        self.assertIn("&lt;Run&gt;", page)
        self.assertNotRegex(page, r"(src|href)=")


class ReadTest(unittest.TestCase):
    def test_lines_of_all_kinds_of_processes(self):
        lines = [
            '{"at_s": 1, "clock": 5, "process": "entry-1", "event": "x", '
            '"message": "owner: x", "flow": "0f", "binding": "0b", "seq": 1}',
            '{"at_s": 2, "event": "start", "key": "f-b-1", "target": "a"}',
            "Traceback (most recent call last):",
            '{"at_s": 3, "event": "torn',
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "notes-a.jsonl"
            path.write_text("\n".join(lines))
            events = [event.log for event in merge_logs([path]).events]
        self.assertEqual([e.process for e in events], ["entry-1", "notes-a"])
        self.assertEqual(events[0].request, RequestKey(FLOW, BINDING, 1))
        self.assertEqual(events[0].request, events[1].request)

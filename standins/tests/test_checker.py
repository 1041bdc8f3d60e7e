import json
import tempfile
import unittest
from pathlib import Path

from standins.checker import Promise, UnplannedFailure, check
from standins.evidence import read_evidence
from standins.imbalance import measure_imbalance


class LogFolder:
    """Logs in the format of the stand-ins."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.lines = {"callers": [], "targets": [], "platform": []}

    def caller(self, at_s, event, echo="e", **fields):
        common = {"service": "s", "flow": "f", "echo": echo, "idempotent": False}
        self._add("callers", at_s, event, common, fields)

    def request(self, end, sent_s=1.0, ended_s=2.0, echo="e", **fields):
        self.caller(sent_s, "sent", echo)
        self.caller(ended_s, "ended", echo, end=end, **fields)

    def stream(self, longest_gap_s=(1.0, 1.1), **fields):
        ending = {"events": 9, "wrong": 0, "by_caller": True, "error": ""}
        ending |= {"longest_gap_s": longest_gap_s, "sent_s": 1.0, **fields}
        self.caller(20.0, "stream_ended", "stream", **ending)

    def target(self, at_s, event, echo="e", **fields):
        common = {"service": "s", "target": "t", "key": "k", "idempotent": False}
        common |= {"named_service": "s", "echo": echo}
        self._add("targets", at_s, event, common, fields)

    def record(self, at_s, draining, name="t"):
        target = {"name": name, "address": "127.0.0.1:1", "draining": draining}
        self.record_body(at_s, {"schema_version": 2, "targets": [target]})

    def record_of_schema_1(self, at_s, drain):
        addresses = ["127.0.0.1:1"]
        body = {"schema_version": 1, "targets": addresses, "drain": addresses * drain}
        self.record_body(at_s, body)

    def record_body(self, at_s, body):
        fields = {"type": "put", "kind": "service", "name": "s", "body": body}
        self._add("platform", at_s, "write", fields, {})

    def _add(self, part, at_s, event, common, fields):
        self.lines[part].append({"at_s": at_s, "event": event, **common, **fields})

    def read(self):
        paths = {}
        for part, lines in self.lines.items():
            paths[part] = self.folder / part
            paths[part].write_text("".join(json.dumps(e) + "\n" for e in lines))
        return read_evidence(*([path] for path in paths.values()))


class TestChecker(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.logs = LogFolder(folder)

    def broken(self, *unplanned_failures):
        report = check(self.logs.read(), unplanned_failures)
        return [violation.promise for violation in report.violations]

    def test_good_run(self):
        self.logs.request("answer", verdict="whole")
        self.logs.target(1.1, "start")
        self.logs.target(1.9, "end")
        self.logs.request("not_run", echo="other")
        self.logs.stream()
        self.assertEqual(self.broken(), [])

    def test_run_twice(self):
        self.logs.request("answer", verdict="whole")
        self.logs.target(1.1, "start")
        self.logs.target(1.2, "start", key="another", target="u")
        self.assertEqual(self.broken(), [Promise.ONCE])

    def test_idempotent_may_run_twice(self):
        self.logs.caller(1.0, "sent", idempotent=True)
        self.logs.target(1.1, "start")
        self.logs.target(1.2, "start")
        self.assertEqual(self.broken(), [])

    def test_refused_but_ran(self):
        self.logs.request("not_run")
        self.logs.target(1.1, "start")
        self.assertEqual(self.broken(), [Promise.NOT_RUN])

    def test_wrong_service(self):
        self.logs.target(1.1, "misdirected", named_service="other")
        self.logs.target(1.1, "misdirected", named_service="s")
        self.assertEqual(self.broken(), [Promise.SERVICE])

    def test_run_at_another_service(self):
        self.logs.request("answer", verdict="whole")
        self.logs.target(1.1, "start", service="other")
        self.assertEqual(self.broken(), [Promise.SERVICE])

    def test_torn_answer_and_answer_from_nowhere(self):
        self.logs.request("answer", verdict="torn")
        self.logs.target(1.1, "start")
        self.logs.request("answer", echo="nowhere", verdict="whole")
        self.assertEqual(self.broken(), [Promise.WHOLE, Promise.WHOLE])

    def test_unknown_outcome_needs_an_unplanned_failure(self):
        self.logs.request("unknown")
        self.assertEqual(self.broken(), [Promise.GRACEFUL])
        self.assertEqual(self.broken(UnplannedFailure(1.5, 1.5)), [])
        self.assertEqual(self.broken(UnplannedFailure(2.5, 2.5)), [Promise.GRACEFUL])

    def test_flow_without_further_answers_is_lost(self):
        self.logs.request("unknown", echo="a")
        self.logs.request("gave_up", echo="b", sent_s=3.0, ended_s=4.0)
        self.assertEqual(self.broken(UnplannedFailure(1.5, 1.5)), [Promise.FLOWS])

    def test_stream_that_ends_or_stands_still(self):
        self.logs.stream(by_caller=False, error="OutcomeUnknown")
        self.assertEqual(self.broken(), [Promise.FLOWS])
        self.logs.lines["callers"].clear()
        self.logs.stream(longest_gap_s=(2.0, 9.0))
        self.assertEqual(self.broken(), [Promise.FLOWS])
        self.assertEqual(self.broken(UnplannedFailure(2.5, 2.5)), [])
        self.assertEqual(self.broken(UnplannedFailure(8.5, 8.5)), [Promise.FLOWS])

    def test_wrong_events_of_a_stream(self):
        self.logs.stream(wrong=1)
        self.assertEqual(self.broken(), [Promise.WHOLE])

    def test_work_on_a_leaving_target(self):
        self.logs.record(1.0, draining=False)
        self.logs.record(5.0, draining=True)
        self.logs.target(7.9, "start", echo="within")
        self.assertEqual(self.broken(), [])
        self.logs.target(8.1, "start", echo="late")
        self.assertEqual(self.broken(), [Promise.LEAVING])
        self.logs.record(8.05, draining=False)
        self.assertEqual(self.broken(), [])

    def test_work_on_a_target_that_schema_1_names_by_its_address(self):
        self.logs.record(1.0, draining=False)
        self.logs.record_of_schema_1(2.0, drain=False)
        self.logs.record(3.0, draining=False, name="127.0.0.1:1")
        self.logs.target(7.9, "start", echo="serves")
        self.assertEqual(self.broken(), [])
        self.logs.record_of_schema_1(4.0, drain=True)
        self.assertEqual(self.broken(), [Promise.LEAVING])

    def test_target_that_took_over_an_address(self):
        self.logs.record(1.0, draining=False)
        self.logs.record(2.0, draining=False, name="u")
        self.logs.target(5.1, "start")
        self.assertEqual(self.broken(), [Promise.LEAVING])

    def test_target_that_says_itself_that_it_drains(self):
        self.logs.target(1.0, "control", change={"drain": True})
        self.logs.target(4.1, "stream_start")
        self.assertEqual(self.broken(), [Promise.LEAVING])

    def test_imbalance_is_peak_over_mean_by_slots(self):
        for echo, target in (("a", "t"), ("b", "t"), ("c", "u"), ("d", "u")):
            self.logs.request("answer", 1.0, 2.0, echo, verdict="whole")
            self.logs.target(1.5, "start", echo=echo, target=target, key=echo)
            self.logs.target(2.0, "end", echo=echo, target=target, key=echo)
        evidence = self.logs.read()
        self.assertEqual(measure_imbalance(evidence, {"t": 2, "u": 2}).median, 1.0)
        self.assertEqual(measure_imbalance(evidence, {"t": 2, "u": 6}).median, 2.0)


if __name__ == "__main__":
    unittest.main()

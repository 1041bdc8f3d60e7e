import unittest

from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.tests.test_logs import Reader
from endivepick.forwarding import (
    FaultConfirmed,
    FlowKey,
    OpeningRejected,
    OverloadChanged,
    ProbeCause,
    ProbeOutcome,
    ProbeResult,
    Reset,
    ResetReason,
)
from endivepick.forwarding.admission.decisions import Rejected
from endivepick.forwarding.admission.overload_state import OverloadState
from endivepick.forwarding.fault_confirmation import ConfirmedFault


class TestFaultConfirmed(unittest.TestCase):
    def line(self, told_before_s):
        reader = Reader()
        log = BoundedLog("a", reader.write)
        reason = "6.0 failed, 0.0 poor and 0.0 late of 6.0 here"
        DecisionLog(log, ForwarderMetrics()).log_fault_confirmed(
            FaultConfirmed(
                "i-3", "notes", ConfirmedFault.FAILING, reason, told_before_s
            )
        )
        log.flush()
        (line,) = reader.events
        return line

    def test_line_tells_the_routes_of_overdue_requests(self):
        confirmed = FaultConfirmed(
            "i-3", "notes", ConfirmedFault.SLOW, "", None, "198.18.0.1:443: 7"
        )
        reader = Reader()
        log = BoundedLog("a", reader.write)
        DecisionLog(log, ForwarderMetrics()).log_fault_confirmed(confirmed)
        log.flush()
        (line,) = reader.events
        self.assertEqual(line["overdue_routes"], "198.18.0.1:443: 7")

    def test_line_contains_fault_and_reason(self):
        line = self.line(0.25)
        self.assertEqual(line["event"], "fault_confirmed")
        self.assertEqual(line["message"], "target: i-3 is failing")
        self.assertEqual((line["target"], line["fault"]), ("i-3", "failing"))
        self.assertIn("6.0 failed", line["reason"])
        self.assertEqual(line["told_before_s"], 0.25)

    def test_age_is_none_without_a_zone_report(self):
        self.assertIsNone(self.line(None)["told_before_s"])


class TestOverload(unittest.TestCase):
    def setUp(self):
        self.reader = Reader()
        self.metrics = ForwarderMetrics()
        self.decisions = DecisionLog(BoundedLog("a", self.reader.write), self.metrics)

    def read_line(self):
        self.decisions.log.flush()
        (line,) = self.reader.events
        return line

    def test_change_names_service_and_grounds(self):
        self.decisions.log_overload_changed(
            OverloadChanged("notes", OverloadState.OVERLOADED, 0.25, 3.5, 0.125)
        )
        line = self.read_line()
        self.assertEqual(line["event"], "overload_changed")
        self.assertEqual(line["message"], "service: notes is overloaded")
        self.assertEqual((line["short_share"], line["busy_per_slot"]), (0.25, 3.5))
        self.assertEqual(line["signals_age_s"], 0.125)
        self.assertEqual(self.metrics.counts["overload_changes", "overloaded"], 1)

    def test_rejection_is_a_reset_with_its_grounds(self):
        flow = FlowKey(0x64400007, 40001, 0xC6120001, 443)
        decision = Rejected("notes", 2, 0.6, 0.25, 3.5, 0.125)
        self.decisions.log_opening_rejected(OpeningRejected(flow, decision, 7))
        line = self.read_line()
        self.assertEqual((line["event"], line["reason"]), ("flow_reset", "overloaded"))
        self.assertEqual(line["flow_key"], str(flow))
        self.assertEqual((line["service"], line["priority"]), ("notes", 2))
        self.assertEqual((line["admitted_share"], line["config_version"]), (0.6, 7))
        self.assertEqual(self.metrics.counts["openings_rejected", "2"], 1)


class TestEvidence(unittest.TestCase):
    """A reset that answers no packet can be traced to the probe behind it."""

    FLOW = FlowKey(0x64400007, 40001, 0xC6120001, 443)

    def setUp(self):
        self.reader = Reader()
        self.metrics = ForwarderMetrics()
        self.decisions = DecisionLog(BoundedLog("a", self.reader.write), self.metrics)

    def read_line(self):
        self.decisions.log.flush()
        (line,) = self.reader.events
        return line

    def test_probe_line_contains_cause_duration_and_comparison(self):
        cause = ProbeCause.OPENING_UNANSWERED
        self.decisions.log_probe(
            ProbeResult("i-3", ProbeOutcome.SILENT, cause=cause, took_s=0.268)
        )
        line = self.read_line()
        self.assertEqual((line["outcome"], line["cause"]), ("silent", cause.value))
        self.assertEqual((line["took_s"], line["compared"]), (0.268, False))
        self.assertEqual(self.metrics.counts["probe_causes", cause.value], 1)

    def test_reset_line_contains_the_age_of_flow_and_evidence(self):
        silent = ResetReason.TARGET_SILENT
        self.decisions.log_target_reset(Reset(self.FLOW, 1, silent, "i-3", 5.1, 0.25))
        line = self.read_line()
        self.assertEqual((line["reason"], line["target"]), ("target_silent", "i-3"))
        self.assertEqual((line["quiet_s"], line["evidence_age_s"]), (5.1, 0.25))


if __name__ == "__main__":
    unittest.main()

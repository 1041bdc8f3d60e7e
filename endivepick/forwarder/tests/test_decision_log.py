import unittest

from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.tests.test_logs import Reader
from endivepick.forwarding import FaultConfirmed
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

    def test_line_contains_fault_and_reason(self):
        line = self.line(0.25)
        self.assertEqual(line["event"], "fault_confirmed")
        self.assertEqual(line["message"], "target: i-3 is failing")
        self.assertEqual((line["target"], line["fault"]), ("i-3", "failing"))
        self.assertIn("6.0 failed", line["reason"])
        self.assertEqual(line["told_before_s"], 0.25)

    def test_age_is_none_without_a_zone_report(self):
        self.assertIsNone(self.line(None)["told_before_s"])


class TestOverloadChange(unittest.TestCase):
    def setUp(self):
        self.reader = Reader()
        self.log = BoundedLog("a", self.reader.write)
        self.metrics = ForwarderMetrics()

    def line(self, *change):
        DecisionLog(self.log, self.metrics).log_overload_change(*change)
        self.log.flush()
        return self.reader.events[-1]

    def test_overload_is_a_warning_with_its_basis(self):
        line = self.line("notes", "overloaded", 0.25, 1.5004, 0.4)
        self.assertEqual(line["event"], "overload_changed")
        self.assertEqual(line["level"], "warning")
        self.assertEqual(line["message"], "load: notes is overloaded")
        self.assertEqual((line["service"], line["state"]), ("notes", "overloaded"))
        basis = [line["short_share"], line["busy_per_slot"], line["age_s"]]
        self.assertEqual(basis, [0.25, 1.5, 0.4])
        self.assertEqual(self.metrics.counts["overload_changes", "overloaded"], 1)

    def test_end_of_overload_after_the_other_reports_were_lost(self):
        line = self.line("notes", "normal", None, None, None)
        self.assertEqual(line["level"], "info")
        self.assertIsNone(line["age_s"])


if __name__ == "__main__":
    unittest.main()

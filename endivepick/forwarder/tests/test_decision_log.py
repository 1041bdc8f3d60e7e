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


if __name__ == "__main__":
    unittest.main()

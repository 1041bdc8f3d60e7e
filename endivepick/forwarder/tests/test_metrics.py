import unittest

from endivepick.forwarder.metrics import ForwarderMetrics, render_page


class TestForwarderMetrics(unittest.TestCase):
    def test_counters_gauges_and_the_histogram_are_rendered(self):
        metrics = ForwarderMetrics()
        metrics.count("flows_reset", "no_route", 3)
        metrics.record_batch(0.0002)
        metrics.record_batch(7.0)
        page = render_page(metrics.snapshot(), {"flows": 12}).decode()
        for line in (
            'endivepick_forwarder_flows_reset_total{kind="no_route"} 3',
            "endivepick_forwarder_flows 12",
            'endivepick_forwarder_batch_seconds_bucket{le="0.0001"} 0',
            'endivepick_forwarder_batch_seconds_bucket{le="0.0005"} 1',
            'endivepick_forwarder_batch_seconds_bucket{le="+Inf"} 2',
            "endivepick_forwarder_batch_seconds_count 2",
        ):
            self.assertIn(line + "\n", page)

    def test_packets_are_counted_once_across_folds(self):
        metrics = ForwarderMetrics()
        for _ in range(3):
            metrics.forwarded("notes")
            metrics.record_batch(0.002)
            metrics.aggregate()
        metrics.forwarded("mail")
        page = render_page(metrics.snapshot(), {}).decode()
        name = "endivepick_forwarder_packets_forwarded_total"
        self.assertIn(f'{name}{{kind="notes"}} 3\n', page)
        self.assertIn(f'{name}{{kind="mail"}} 1\n', page)
        self.assertIn("endivepick_forwarder_batch_seconds_count 3\n", page)

import contextlib
import io
import json
import unittest

from endivepick.core.measure import measure_memory, run


class TestMeasure(unittest.TestCase):
    def test_prints_a_line_for_each_flow_count(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            run(flows=(20, 50), calls=20, memory_flows=50)
        lines = [json.loads(line) for line in output.getvalue().splitlines()]
        self.assertEqual([line.get("flows") for line in lines], [None, 20, 50])
        for line in lines[1:]:
            for name in ("open_us", "relayed_packet_us", "request_us"):
                self.assertGreater(line[name], 0)

    def test_acknowledged_requests_release_their_memory(self):
        memory = measure_memory(flows=100)
        idle = memory["idle_flow_bytes"]
        self.assertLess(abs(memory["flow_after_16_requests_bytes"] - idle), idle / 4)
        self.assertGreater(memory["unacknowledged_answer_bytes"], 300)


if __name__ == "__main__":
    unittest.main()

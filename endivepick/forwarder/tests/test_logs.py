import json
import os
import unittest

from endivepick.forwarder.logs import (
    BUFFER_BYTES,
    LINES_PER_S,
    BoundedLog,
    truncate_number,
)


class Reader:
    """Accepts lines, or none while it is blocked."""

    def __init__(self):
        self.data = b""
        self.blocked = False
        self.limit = None

    def write(self, data):
        if self.blocked:
            raise BlockingIOError
        taken = data[: self.limit]
        self.data += taken
        return len(taken)

    @property
    def events(self):
        return [json.loads(line) for line in self.data.splitlines()]


class TestBoundedLog(unittest.TestCase):
    def setUp(self):
        self.reader = Reader()
        self.now_s = 5.0
        self.log = BoundedLog(
            "front-1", self.reader.write, lambda: 1000.0, lambda: self.now_s
        )

    def write(self, number, name="flow_placed"):
        for index in range(number):
            self.log.event("flow", name, "placed", index=index)
        self.log.flush()

    def test_line_contains_process_event_and_time(self):
        self.write(1)
        (event,) = self.reader.events
        expected = {
            "at_s": 1000.0,
            "process": "front-1",
            "part": "flow",
            "event": "flow_placed",
            "level": "info",
            "message": "flow: placed",
            "index": 0,
        }
        self.assertEqual(event, expected)

    def test_lines_above_the_rate_limit_are_counted_and_reported(self):
        self.write(LINES_PER_S + 7)
        self.assertEqual(len(self.reader.events), LINES_PER_S)
        self.assertEqual(self.log.lines_dropped, 7)
        self.now_s += 1.0
        self.write(1)
        left_out = self.reader.events[LINES_PER_S]
        self.assertEqual(left_out["event"], "lines_left_out")
        self.assertEqual(left_out["lines"], {"flow_placed": 7})

    def test_rate_limit_is_applied_per_event(self):
        self.write(LINES_PER_S * 10)
        self.write(1, "store_lost")
        self.assertEqual(self.reader.events[-1]["event"], "store_lost")

    def test_stalled_reader_never_blocks_the_writer(self):
        self.reader.blocked = True
        for second in range(200):
            self.now_s = float(second)
            self.write(LINES_PER_S)
        self.assertGreater(self.log.lines_dropped, 0)
        self.reader.blocked = False
        self.log.flush()
        self.assertLessEqual(len(self.reader.data), BUFFER_BYTES)
        self.assertTrue(all(e["event"] == "flow_placed" for e in self.reader.events))

    def test_partially_written_line_is_completed(self):
        self.reader.limit = 10
        self.write(1)
        self.reader.limit = None
        self.log.flush()
        self.assertEqual(len(self.reader.events), 1)

    def test_a_full_pipe_does_not_block(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        os.set_blocking(writing, False)
        log = BoundedLog(
            "front-1", lambda data: os.write(writing, data), steady_s=lambda: self.now_s
        )
        for second in range(100):
            self.now_s = float(second)
            for _ in range(LINES_PER_S):
                log.event("flow", "flow_placed", "placed")
            log.flush()
        self.assertGreater(log.lines_dropped, 0)


class TestTruncateNumber(unittest.TestCase):
    def test_numbers_that_cannot_be_multiplied_are_returned(self):
        # A time of this length may come from another instance.
        for number in (1e306, -1e308, float("inf"), float("-inf")):
            with self.subTest(number):
                self.assertEqual(truncate_number(number), number)

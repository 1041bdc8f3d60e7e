import json
import tempfile
import unittest
from pathlib import Path

from endivepick.daemon.logs import PartLog, process_log, request_key
from endivepick.settings import LogSettings
from endivepick.timeline import HybridClock

FLOW = (1 << 64) - 2


class ProcessLogTest(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "entry-1.jsonl"
        self.log = PartLog("owner")

    def write_events(self, level):
        settings = LogSettings(path=str(self.path), level=level)
        with process_log(settings, "entry-1", HybridClock(), lambda: 1e9):
            self.log.debug("request_accepted", "request accepted", flow=FLOW, seq=3)
            self.log.event("role_taken", "role taken", service="notes")
            self.log.warning("peer_suspect", "peer is suspect", peer="entry-2")
            self.log.error("bind_failed", "address is in use", odd=object)
        return [json.loads(line) for line in self.path.read_text().splitlines()]

    def test_lines_contain_time_stamps_prefix_and_ids(self):
        first, second, *_ = self.write_events("debug")
        self.assertEqual(first["message"], "owner: request accepted")
        self.assertEqual(first["flow"], f"{FLOW:016x}")
        self.assertEqual((first["process"], first["at_s"]), ("entry-1", 1e9))
        self.assertLess(first["clock"], second["clock"])

    def test_level_filters_events(self):
        counts = {level: len(self.write_events(level)) for level in ("error", "info")}
        self.assertEqual(counts, {"error": 1, "info": 1 + 3})

    def test_nothing_is_written_outside_the_context(self):
        self.log.error("early", "early event")
        lines = len(self.write_events("debug"))
        self.log.error("late", "late event")
        self.assertEqual(len(self.path.read_text().splitlines()), lines)

    def test_request_key_format(self):
        self.assertEqual(request_key(FLOW, 1, 2), f"{FLOW:016x}-{1:016x}-2")

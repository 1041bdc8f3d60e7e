import json
import tempfile
import unittest
from pathlib import Path

from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.settings import load_forwarder_settings
from endivepick.forwarder.settings_monitor import SettingsFileMonitor
from endivepick.forwarder.tests.test_logs import Reader
from endivepick.forwarder.tests.test_settings import GOOD


class TestPartsForOverload(unittest.TestCase):
    """SIGHUP after a change of the settings of the parts for overloaded services."""

    def setUp(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = folder / "settings.json"
        self.write()
        self.settings = load_forwarder_settings(str(self.path))
        self.reader = Reader()
        log = BoundedLog("front-1", self.reader.write)
        path = str(self.path)
        self.monitor = SettingsFileMonitor(
            path, load_forwarder_settings, self.settings, log
        )

    def write(self, **fields):
        self.path.write_text(json.dumps(GOOD | fields))

    def read(self, **fields):
        self.write(**fields)
        self.monitor.read("signal")
        return self.reader.events[-1]

    def test_enabled_parts_wait_for_the_next_start(self):
        line = self.read(share_load=True, limit_overload=True)
        self.assertEqual(line["event"], "settings_read")
        waiting = line["takes_effect_at_next_start"]
        self.assertEqual(waiting, ["share_load", "limit_overload"])
        self.assertFalse(self.settings.shares_load)

    def test_changed_requirement_waits_for_the_next_start(self):
        line = self.read(requirements=["pressure"])
        self.assertEqual(line["takes_effect_at_next_start"], ["requirements"])
        self.assertFalse(self.settings.limits_overload)

    def test_limit_without_shared_load_changes_nothing(self):
        line = self.read(share_load=False, limit_overload=True)
        self.assertEqual(line["event"], "settings_refused")
        self.assertIn("Set share_load to true", line["error"])


if __name__ == "__main__":
    unittest.main()

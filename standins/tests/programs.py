import json
import tempfile
import unittest
from pathlib import Path

from standins.endpoint import call_ok
from standins.jsonlines import read_lines
from standins.process import ChildProcess

TIMEOUT_S = 60.0


class ProgramTestCase(unittest.TestCase):
    """Starts one stand-in for each test and calls its control endpoint."""

    part = ""

    def start(self, **settings):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.log = folder / "log"
        self._errors = folder / "err"
        path = folder / "settings.json"
        path.write_text(json.dumps({"log_path": str(self.log), **settings}))
        self.process = ChildProcess(
            self.part,
            f"standins.{self.part}",
            [f"--settings={path}"],
            str(self._errors),
        )
        self.addCleanup(self.process.kill)
        self.addresses = self.process.wait_ready()["addresses"]

    def control(self, **change):
        return call_ok(self.addresses["control"], "PUT", "/control", change)

    def stats(self):
        return call_ok(self.addresses["control"], "GET", "/stats")

    def logged(self, event):
        return [line for line in read_lines(self.log) if line["event"] == event]

    def errors(self):
        """Return the error output of the program."""
        return self._errors.read_text()

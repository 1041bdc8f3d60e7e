import itertools
import json
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.tests.support import PlatformCase, run_command
from standins.endpoint import call
from standins.process import ChildProcess

STOP_TIMEOUT_S = 60


class RunTest(PlatformCase):
    def settings_file(self):
        groups = {
            "instance": {"name": "entry-1", "zone": "kumamoto"},
            "listen": {
                name: "127.0.0.1:0"
                for name in ("data_address", "peer_address", "http_address")
            },
            "platform": {"address": self.platform.api},
            "log": {"path": str(self.folder / "entry-1.jsonl")},
            "secrets": {"peer_secret_hex": "5e" * 32},
        }
        path = self.folder / "entry-1.json5"
        path.write_text("// One instance.\n" + json.dumps(groups))
        return str(path)

    def test_instance_runs_until_sigterm(self):
        path = self.settings_file()
        self.assertIn("entry-1", run_command("check-settings", path).out)
        words = ["run", f"--settings={path}"]
        errors = str(self.folder / "entry-1.err")
        process = ChildProcess("entry-1", "endivepick.cli", words, errors)
        self.addCleanup(process.kill)
        address = process.wait_ready()["http_address"]
        self.assertEqual(call(address, "GET", "/healthz").status, 200)
        process.signal(signal.SIGTERM)
        self.assertEqual(process.wait(STOP_TIMEOUT_S), 0)
        self.assertEqual(process.error_tail(), "")
        events = run_command("timeline", str(self.folder / "entry-1.jsonl")).out
        self.assertIn("state is stopped", events)


class RefusedSettingsTest(unittest.TestCase):
    def test_daemon_and_command_line_exit_with_the_same_code(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.json5"
            path.write_text("{\n x: 1}")
            words = ([".daemon"], [".cli", "run"])
            ends = [
                subprocess.run(
                    [sys.executable, "-m", f"endivepick{module}", *command]
                    + [f"--settings={path}"],
                    capture_output=True,
                    text=True,
                )
                for module, *command in words
            ]
        for end in ends:
            self.assertEqual(end.returncode, ExitCode.INVALID_SETTINGS)
            self.assertIn(f"{path}:2: x: unknown key", end.stderr)


class WatchTest(PlatformCase):
    def test_changes_are_printed_as_they_come(self):
        words = ["records", "watch", "notes", "--count=2", "--json"]
        command = [sys.executable, "-m", "endivepick.cli", *words]
        option = f"--platform={self.platform.api}"
        with subprocess.Popen([*command, option], stdout=subprocess.PIPE) as watch:
            self.addCleanup(watch.kill)
            timeouts_s = itertools.count(1)
            while watch.poll() is None:
                self.apply("--replace", request_timeout_s=next(timeouts_s))
            lines = [json.loads(line) for line in watch.stdout]
        self.assertEqual(len(lines), 2)
        self.assertLess(lines[0]["version"], lines[1]["version"])

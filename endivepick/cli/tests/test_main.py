import inspect
import json
import tempfile
import unittest
from pathlib import Path

import endivepick
from endivepick.cli.bench import BenchCommands
from endivepick.cli.drain import DrainCommands
from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.keys import KeyCommands
from endivepick.cli.main import Commands
from endivepick.cli.records import RecordCommands
from endivepick.cli.tests.support import run_command
from endivepick.client import command

FLOW = "00000000000001e5"


class MainTest(unittest.TestCase):
    def test_version(self):
        self.assertEqual(run_command("version").out.strip(), endivepick.__version__)

    def test_usage_errors(self):
        for words in (
            ("nonsense",),
            ("records", "list", "--platform=nonsense"),
            ("records", "list", "--platform=127.0.0.1:x"),
            ("timeline", "--format=pdf"),
            ("timeline", "--flow=xyz"),
            ("timeline", "--request=1-2"),
            ("timeline", "--since=yesterday"),
            ("timeline",),
            ("settings",),
            ("bench", "run", "--shape=nowhere"),
            ("bench", "run", "--policy=best"),
            ("bench", "run", "--load=much"),
            ("bench", "table", "--processes=0"),
            ("call", "notes", "--fabric=127.0.0.1:x"),
            ("call", "notes", "--fabric=127.0.0.1:1", "--deadline_s=soon"),
            ("stream", "notes", "--fabric=127.0.0.1:1", "--events=all"),
            ("version", "--jsn"),
            ("timeline", "--flow"),
            ("timeline", "--flow", "--out=t.html"),
            ("call", "notes", "--fabric"),
        ):
            with self.subTest(words):
                outcome = run_command(*words)
                self.assertEqual(outcome.code, ExitCode.USAGE)
                self.assertTrue(outcome.err)

    def test_every_command_shows_examples(self):
        groups = [Commands, RecordCommands, DrainCommands, KeyCommands, BenchCommands]
        for group in groups:
            for name, member in vars(group).items():
                if name.startswith("_") or not inspect.isfunction(member):
                    continue
                with self.subTest(member.__qualname__):
                    self.assertIn("Examples\n", inspect.getdoc(member))
                    self.assertIn("\nendivepick ", inspect.getdoc(member))

    def test_codes_of_call_are_those_of_the_client(self):
        # Both use the same enumeration, so that the codes cannot differ.
        self.assertIs(command.ExitCode, ExitCode)

    def test_call_without_an_answer(self):
        words = ("call", "notes", "--fabric=127.0.0.1:1", "--deadline_s=0.1")
        self.assertEqual(run_command(*words).code, ExitCode.NOT_OPENED)

    def test_settings_are_explained(self):
        self.assertIn("flow.token_lifetime_s", run_command("settings", "--explain").out)

    def test_settings_file_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.json5"
            path.write_text("{\n x: 1}")
            refused = run_command("check-settings", str(path))
        self.assertEqual(refused.code, ExitCode.INVALID_SETTINGS)
        self.assertIn(f"{path}:2: x: unknown key", refused.err)


class TimelineCommandTest(unittest.TestCase):
    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        lines = [
            {"at_s": 5, "clock": 5 << 26, "event": "flow_opened", "flow": FLOW},
            {"at_s": 6, "clock": 6 << 26, "event": "role_taken", "service": "notes"},
        ]
        log = self.folder / "entry-1.jsonl"
        log.write_text("\n".join(map(json.dumps, lines)))

    def test_flow_id_that_looks_like_a_number(self):
        shown = run_command("timeline", str(self.folder), "--flow", "1e5")
        self.assertEqual(len(shown.out.splitlines()), 1)
        self.assertIn("flow_opened", shown.out)

    def test_page(self):
        page = self.folder / "t.html"
        run_command("timeline", str(self.folder), "--format=html", f"--out={page}")
        self.assertIn("entry-1", page.read_text())

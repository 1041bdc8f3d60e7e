import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.tests.support import run_command

FLOW = "100.64.0.7:40001>198.18.0.1:443"
STATUS = {
    "ready": True,
    "flows": 3,
    "config_version": 7,
    "config_since_s": 1.5,
    "targets": [
        {
            "name": "i-1",
            "service": "notes",
            "zone": "hall",
            "state": "lapsed",
            "state_for_s": 0.5,
            "reachability": "silent",
            "reachability_for_s": 0.25,
            "fitness": "sound",
            "fitness_for_s": 12.0,
            "flows": 2,
            "busy_flows": 1,
        }
    ],
}


def line(at_s, process, part, event, **fields):
    head = {"at_s": at_s, "process": process, "part": part, "event": event}
    return json.dumps(head | {"level": "info", "message": "m"} | fields)


class TestCheck(unittest.TestCase):
    def check(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(text)
            file.flush()
            return run_command("forwarder", "check", file.name)

    def good(self, **fields):
        addresses = ("data", "ready", "metrics", "store")
        settings = {f"{name}_address": "127.0.0.1:1" for name in addresses}
        settings |= {"name": "front-1", "zone": "hall", "zones": ["hall"]}
        return self.check("// Mine.\n" + json.dumps(settings | fields))

    def test_good_settings(self):
        outcome = self.good()
        self.assertEqual(outcome.code, ExitCode.OK)
        self.assertIn("fine for forwarder front-1 in hall", outcome.out)
        self.assertNotIn("off", outcome.out)

    def test_disabled_mechanisms_are_listed(self):
        outcome = self.good(mechanisms={"hints": False})
        self.assertIn("off: hints", outcome.out)

    def test_refused_settings(self):
        outcome = self.check("{}")
        self.assertEqual(outcome.code, ExitCode.INVALID_SETTINGS)
        self.assertIn("`name`", outcome.err)


class TestStatus(unittest.TestCase):
    def test_target_states_are_shown_with_their_duration(self):
        body = json.dumps(STATUS).encode()
        # The command blocks this process, so the server runs in a separate one.
        code = (
            "import gevent, sys\n"
            "from endivepick.forwarder.http import Response, http_server\n"
            f"answer = lambda path, query: Response(200, {body!r})\n"
            "with http_server('127.0.0.1:0', answer) as address:\n"
            "    print(address, flush=True)\n"
            "    gevent.sleep(60)\n"
        )
        server = subprocess.Popen(
            [sys.executable, "-c", code], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(server.stdout.close)
        self.addCleanup(server.wait)
        self.addCleanup(server.kill)
        address = server.stdout.readline().strip()
        outcome = run_command("forwarder", "status", address)
        self.assertEqual(outcome.code, ExitCode.OK)
        self.assertIn("configuration version 7 for 1.5 s", outcome.out)
        self.assertIn("silent", outcome.out)
        as_json = run_command("forwarder", "status", address, "--json")
        self.assertEqual(json.loads(as_json.out), STATUS)

    def test_unreachable_forwarder(self):
        outcome = run_command("forwarder", "status", "127.0.0.1:1")
        self.assertEqual(outcome.code, ExitCode.FAILURE)
        self.assertIn("metrics address", outcome.err)


class TestFlow(unittest.TestCase):
    def trace(self, *texts, key="100.64.0.7:40001"):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join(texts))
            return run_command("forwarder", "flow", key, str(path))

    def test_a_flow_its_target_and_its_processes_are_shown_in_order(self):
        outcome = self.trace(
            "  13.0 a " + line(13, "a", "flow", "flow_reset", flow_key=FLOW),
            line(10, "a", "flow", "flow_placed", flow_key=FLOW, target="i-1"),
            line(11, "a", "probe", "target_probed", target="i-1", outcome="silent"),
            line(11, "a", "probe", "target_probed", target="i-2", outcome="silent"),
            line(12, "a", "store", "store_lost", kind="registry"),
            line(12, "b", "store", "store_lost", kind="registry"),
            line(12, "a", "flow", "flow_placed", flow_key="x>y", target="i-1"),
            line(90, "a", "target", "target_belief", target="i-1"),
            "Traceback {",
        )
        self.assertEqual(outcome.code, ExitCode.OK)
        events = [text.split()[2] for text in outcome.out.splitlines()]
        self.assertEqual(
            events, ["flow_placed", "target_probed", "store_lost", "flow_reset"]
        )

    def test_unknown_flow(self):
        outcome = self.trace(line(1, "a", "start", "ready"))
        self.assertEqual(outcome.code, ExitCode.NOT_FOUND)
        self.assertIn("logs of all forwarders", outcome.err)

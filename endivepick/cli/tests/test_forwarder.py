import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.forwarder_load import SHOWN_TARGETS
from endivepick.cli.tests.support import run_command
from endivepick.forwarder.load_status import (
    LoadStatus,
    PriorityStatus,
    ServiceLoadStatus,
    TargetLoadStatus,
    ZoneLoadStatus,
)

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

    def test_parts_for_overload_by_requirement(self):
        outcome = self.good(requirements=["pressure"])
        self.assertIn("shares load: yes (requirement pressure)", outcome.out)
        self.assertIn("limits overload: yes (requirement pressure)", outcome.out)

    def test_parts_for_overload_without_the_requirement(self):
        outcome = self.good(requirements=["flows"])
        self.assertIn("shares load: no (no requirement pressure", outcome.out)
        self.assertIn("limits overload: no (no requirement pressure", outcome.out)

    def test_parts_for_overload_by_setting(self):
        outcome = self.good(share_load=True, limit_overload=True)
        self.assertIn("shares load: yes (share_load is true)", outcome.out)
        self.assertIn("limits overload: yes (limit_overload is true)", outcome.out)

    def test_load_that_is_not_shared_in_spite_of_the_requirement(self):
        outcome = self.good(requirements=["pressure"], share_load=False)
        self.assertEqual(outcome.code, ExitCode.OK)
        self.assertIn("shares load: no (share_load is false)", outcome.out)
        self.assertIn("limits overload: no (share_load is false)", outcome.out)

    def test_limit_without_shared_load_is_refused(self):
        outcome = self.good(share_load=False, limit_overload=True)
        self.assertEqual(outcome.code, ExitCode.INVALID_SETTINGS)
        self.assertIn("limit_overload", outcome.err)
        self.assertIn("Set share_load to true", outcome.err)

    def test_refused_settings(self):
        outcome = self.check("{}")
        self.assertEqual(outcome.code, ExitCode.INVALID_SETTINGS)
        self.assertIn("`name`", outcome.err)


def serve_page(case, path, body):
    """Serve a page, and 404 for others, until the test ends; return the address."""
    # The command blocks this process, so the server runs in a separate one.
    code = (
        "import gevent, sys\n"
        "from endivepick.forwarder.http import Response, http_server\n"
        "def answer(path, query):\n"
        f"    return Response(200, {body!r}) if path == {path!r} else Response(404)\n"
        "with http_server('127.0.0.1:0', answer) as address:\n"
        "    print(address, flush=True)\n"
        "    gevent.sleep(60)\n"
    )
    server = subprocess.Popen(
        [sys.executable, "-c", code], stdout=subprocess.PIPE, text=True
    )
    case.addCleanup(server.stdout.close)
    case.addCleanup(server.wait)
    case.addCleanup(server.kill)
    return server.stdout.readline().strip()


class TestStatus(unittest.TestCase):
    def test_target_states_are_shown_with_their_duration(self):
        address = serve_page(self, "/status", json.dumps(STATUS).encode())
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


def load_target(number, load):
    return TargetLoadStatus(
        name=f"i-{number}", service="notes", zone="hall", slots=2, load=load
    )


OVERLOADED = LoadStatus(
    enabled=True,
    limits_overload=True,
    age_s=0.4,
    services=(
        ServiceLoadStatus(
            service="notes",
            state="overloaded",
            state_for_s=2.5,
            slots=60,
            busy=90.0,
            short_share=0.25,
            priorities=(
                PriorityStatus(priority=0),
                PriorityStatus(priority=2, admitted_share=0.4, rejected_openings=12),
            ),
        ),
        ServiceLoadStatus(service="mail", slots=4),
    ),
    zones=(ZoneLoadStatus(service="notes", zone="hall", slots=60, busy=90.0),),
    targets=tuple(load_target(number, number / 10) for number in range(30)),
)


class TestLoad(unittest.TestCase):
    def show(self, load, *options):
        address = serve_page(self, "/load", msgspec.json.encode(load))
        return run_command("forwarder", "load", address, *options)

    def row(self, outcome, *words):
        """Return the row that begins with these words, with single spaces."""
        rows = [" ".join(text.split()) for text in outcome.out.splitlines()]
        (row,) = [row for row in rows if row.startswith(" ".join(words))]
        return row

    def test_overload_of_one_service_that_rejects_its_lowest_priority(self):
        outcome = self.show(OVERLOADED)
        self.assertEqual(outcome.code, ExitCode.OK)
        self.assertIn("totals of other zones: up to 0.4 s old", outcome.out)
        self.assertIn("rejects openings by priority: yes", outcome.out)
        self.assertEqual(
            self.row(outcome, "notes overloaded"),
            "notes overloaded 2.5 s 90.00 60 1.50 25.0% "
            "0: 100.0%, 2: 40.0% (12 rejected)",
        )
        self.assertEqual(
            self.row(outcome, "mail"),
            "mail normal unknown unknown 4 unknown unknown all",
        )
        self.assertEqual(self.row(outcome, "notes hall"), "notes hall 90.00 60 1.50")

    def test_fullest_targets_come_first_and_the_rest_is_counted(self):
        outcome = self.show(OVERLOADED)
        names = [word for word in outcome.out.split() if word.startswith("i-")]
        self.assertEqual(names[0], "i-29")
        self.assertEqual(len(names), SHOWN_TARGETS)
        self.assertIn("10 more; --json prints all", outcome.out)

    def test_json_has_all_targets(self):
        outcome = self.show(OVERLOADED, "--json")
        self.assertEqual(msgspec.json.decode(outcome.out, type=LoadStatus), OVERLOADED)

    def test_no_load_is_shared(self):
        outcome = self.show(LoadStatus())
        self.assertEqual(outcome.code, ExitCode.OK)
        self.assertIn("shares no load", outcome.out)
        self.assertIn("share_load", outcome.out)
        self.assertNotIn("services", outcome.out)

    def test_page_of_a_later_build_with_more_fields(self):
        address = serve_page(self, "/load", b'{"enabled": true, "regions": [1]}')
        outcome = run_command("forwarder", "load", address)
        self.assertEqual(outcome.code, ExitCode.OK)
        self.assertIn("totals of other zones: none", outcome.out)

    def test_former_build_without_the_page(self):
        address = serve_page(self, "/status", b"{}")
        outcome = run_command("forwarder", "load", address)
        self.assertEqual(outcome.code, ExitCode.NOT_FOUND)
        self.assertIn("build without this page", outcome.err)

    def test_address_of_another_program(self):
        address = serve_page(self, "/load", b"<html>")
        outcome = run_command("forwarder", "load", address)
        self.assertEqual(outcome.code, ExitCode.FAILURE)
        self.assertIn("metrics address", outcome.err)

    def test_unreachable_forwarder(self):
        outcome = run_command("forwarder", "load", "127.0.0.1:1")
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

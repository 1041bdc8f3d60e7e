import contextlib
import io
import json
import tempfile
import threading
import unittest
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.main import main
from standins.launcher import Launcher
from standins.platform_handle import PlatformHandle

RECORD = {
    "name": "notes",
    "schema_version": 2,
    "affinity": "flow",
    "targets": [
        {
            **{"name": name, "zone": "kumamoto", "address": f"127.0.0.1:{port}"},
            **{"slots": 2, "connections": 2000},
        }
        for name, port in (("notes-1", 7001), ("notes-2", 7002))
    ],
}


@dataclass(frozen=True)
class Outcome:
    code: int
    out: str
    err: str


def run_command(*words):
    out, err = io.StringIO(), io.StringIO()
    code = ExitCode.OK
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            main(words)
        except SystemExit as error:
            code = error.code
    return Outcome(int(code), out.getvalue(), err.getvalue())


class _DiesInAWrite(BaseHTTPRequestHandler):
    """Knows no object, and answers nothing any more once a write has come."""

    def do_GET(self):
        if not self.server.written:
            self.send_error(404)

    def do_PUT(self):
        self.server.written = True

    def log_message(self, *_):
        pass


@contextlib.contextmanager
def platform_that_dies_in_a_write():
    with ThreadingHTTPServer(("127.0.0.1", 0), _DiesInAWrite) as server:
        server.written = False
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield f"127.0.0.1:{server.server_port}"
        server.shutdown()


class PlatformCase(unittest.TestCase):
    """Commands against the platform stand-in in a process of its own."""

    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        launcher = Launcher(self.folder)
        self.addCleanup(launcher.end)
        process = launcher.spawn_standin("platform", {})
        process.wait_ready()
        self.platform = PlatformHandle(process)

    def run_on_platform(self, *words):
        return run_command(*words, f"--platform={self.platform.api}")

    def record_file(self, **changes):
        path = self.folder / "record.json5"
        path.write_text("// A record.\n" + json.dumps(RECORD | changes))
        return str(path)

    def apply(self, *flags, **changes):
        path = self.record_file(**changes)
        return self.run_on_platform("records", "apply", path, *flags)

    def body(self):
        return self.platform.get("service", "notes")["body"]

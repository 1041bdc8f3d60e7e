import http.client
import json
import socket
import tempfile
import threading
import unittest
from pathlib import Path

from standins.control import parse_address
from standins.jsonlines import read_lines
from standins.payload import verify_answer, verify_event
from standins.process import ChildProcess, wait_until


class TestTarget(unittest.TestCase):
    def setUp(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.log = folder / "target.log"
        self.errors = folder / "err"
        arguments = ["--service=s", "--target=t", f"--log={self.log}", "--slots=1"]
        self.process = ChildProcess(
            "target", "standins.target", arguments, str(self.errors)
        )
        self.addCleanup(self.process.kill)
        ready = self.process.wait_ready()
        self.address = parse_address(ready["address"])
        self.headers = {
            "Endivepick-Service": "s",
            "Endivepick-Target-Incarnation": str(ready["incarnation"]),
        }

    def call(self, method, path, body=None, **headers):
        connection = http.client.HTTPConnection(*self.address, timeout=60)
        self.addCleanup(connection.close)
        names = {key.replace("_", "-"): value for key, value in headers.items()}
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {**self.headers, **names})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()

    def load(self):
        return json.loads(self.call("GET", "/load")[2])

    def events(self):
        return [entry["event"] for entry in read_lines(self.log)]

    def start_work(self, key, work_ms=60_000):
        connection = http.client.HTTPConnection(*self.address, timeout=60)
        self.addCleanup(connection.close)
        headers = {**self.headers, "Idempotency-Key": key}
        connection.request("POST", "/work", json.dumps({"work_ms": work_ms}), headers)
        wait_until(lambda: self.load()["in_progress"] == 1, "the run to start")
        return connection

    def test_answer_is_whole_and_logged(self):
        body = {"work_ms": 1, "answer_bytes": 100_000, "echo": "e"}
        status, _, answer = self.call("POST", "/work", body, Idempotency_Key="k")
        self.assertEqual((status, verify_answer(answer, "e")), (200, "whole"))
        self.assertEqual(verify_answer(answer, "f"), "crossed")
        self.assertEqual(verify_answer(answer[:-1], "e"), "torn")
        self.assertEqual(self.events(), ["start", "end"])

    def test_misdirected_request_runs_nothing(self):
        for wrong in (
            {"Endivepick_Service": "other"},
            {"Endivepick_Target_Incarnation": "1"},
        ):
            self.assertEqual(self.call("POST", "/work", {}, **wrong)[0], 421)
        self.assertEqual(self.events(), ["misdirected", "misdirected"])

    def test_sheds_beyond_its_slots(self):
        self.start_work("a")
        status, headers, _ = self.call("POST", "/work", {})
        self.assertEqual((status, headers["Endivepick-Not-Run"]), (503, "true"))
        self.assertIn("Retry-After", headers)

    def test_a_request_that_is_cut_off_in_its_body_runs_nothing(self):
        """A sender that is killed during a request causes no error in the target."""
        with socket.create_connection(self.address, timeout=60) as connection:
            lines = ["POST /work HTTP/1.1", "Host: t", "Content-Length: 100"]
            lines += [f"{name}: {value}" for name, value in self.headers.items()]
            connection.sendall("\r\n".join([*lines, "", "{"]).encode())
        wait_until(lambda: self.events() or self.errors.read_text(), "its end")
        self.assertEqual(self.errors.read_text(), "")
        self.assertEqual(self.events(), ["body_lost"])

    def test_late_request_does_not_run(self):
        status, headers, _ = self.call("POST", "/work", {}, Endivepick_Deadline_Ms="0")
        self.assertEqual((status, headers["Endivepick-Not-Run"]), (504, "true"))
        self.assertEqual(self.events(), ["late"])

    def test_delete_cancels(self):
        connection = self.start_work("a")
        self.assertEqual(self.call("DELETE", "/requests/a")[0], 200)
        self.assertEqual(connection.getresponse().status, 499)
        self.assertEqual(self.events(), ["start", "cancelled"])
        self.assertEqual(self.call("DELETE", "/requests/a")[0], 404)

    def test_closed_connection_cancels(self):
        self.start_work("a").close()
        wait_until(lambda: "cancelled" in self.events(), "the run to be cancelled")

    def test_stream_resumes(self):
        path = "/events?count=5&interval_ms=0&echo=e"
        answer = self.call("GET", path, Last_Event_ID="3")[2].decode()
        lines = answer.splitlines()
        self.assertEqual([i for i in lines if i.startswith("id")], ["id: 4", "id: 5"])
        self.assertTrue(verify_event(lines[1].removeprefix("data: "), "e", 4))

    def test_control_lies_and_lags(self):
        change = {"lie_health": "draining", "lie_load": {"waiting": 9}}
        self.assertEqual(self.call("PUT", "/control", change)[0], 200)
        self.assertIn(b"draining", self.call("GET", "/health")[2])
        self.assertEqual(self.load()["waiting"], 9)
        self.call("PUT", "/control", {"lie_load": None, "load_lag_ms": 3_600_000})
        self.call("POST", "/work", {})
        self.assertEqual(self.load()["age_ms"], 3_600_000)
        self.assertEqual(self.call("PUT", "/control", {"unknown": 1})[0], 400)

    def test_stuck_takes_work_and_reports_idle(self):
        self.call("PUT", "/control", {"stuck": True})
        work = threading.Thread(target=self.call, args=("POST", "/work", {}))
        work.start()
        wait_until(lambda: "start" in self.events(), "the run to start")
        self.assertEqual(self.load()["in_progress"], 0)
        self.call("PUT", "/control", {"stuck": False})
        work.join()
        self.assertIn("end", self.events())

    def test_runs_then_breaks_the_connection(self):
        self.call("PUT", "/control", {"close_after_run": True})
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.call("POST", "/work", {})
        self.assertIn("end", self.events())

    def test_ends_on_a_signal(self):
        self.assertEqual(self.process.terminate(timeout_s=30), 0)


if __name__ == "__main__":
    unittest.main()

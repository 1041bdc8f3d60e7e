import http.client
import socket
import threading

from standins.control import parse_address
from standins.endpoint import call, call_ok
from standins.process import wait_until
from standins.tests.programs import TIMEOUT_S, ProgramTestCase

INSTANCE = {
    "name": "i1",
    "zone": "a",
    "peer_address": "127.0.0.1:1",
    "data_address": "127.0.0.1:2",
    "state": "live",
}


class TestPlatform(ProgramTestCase):
    part = "platform"

    def setUp(self):
        self.start()

    def api(self, method, path, body=None):
        reply = call(self.addresses["api"], method, path, body)
        return reply.status, reply.body

    def put(self, name, body, if_version=None, kind="service"):
        request = {"body": body, "if_version": if_version}
        return self.api("PUT", f"/v1/objects/{kind}/{name}", request)

    def watch(self, after, wait_s=0, kinds="service"):
        query = f"kinds={kinds}&after={after}&wait_s={wait_s}"
        return self.api("GET", f"/v1/watch?{query}")

    def in_background(self, function, *arguments):
        """Start a blocking call; returns a function that waits for its result."""
        results = []

        def run():
            try:
                results.append(function(*arguments))
            except (OSError, http.client.HTTPException) as error:
                results.append(error)

        thread = threading.Thread(target=run)
        thread.start()

        def result():
            thread.join(TIMEOUT_S)
            return results[0]

        return result

    def waiting_watch(self, after):
        result = self.in_background(self.watch, after, TIMEOUT_S)
        wait_until(lambda: self.stats()["waiting_watches"] == 1, "a waiting watch")
        return result

    def test_versions_are_revisions_of_the_whole_store(self):
        self.assertEqual(self.put("a", 1)[1]["version"], 1)
        self.assertEqual(self.put("b", 1)[1]["version"], 2)
        status, stored = self.put("a", 2)
        expected = {"kind": "service", "name": "a", "version": 3, "body": 2}
        self.assertEqual((status, stored), (200, expected))
        self.assertEqual(self.api("GET", "/v1/objects/service/a"), (200, expected))
        listed = self.api("GET", "/v1/objects/service")[1]
        self.assertEqual(listed["revision"], 3)
        self.assertEqual([o["name"] for o in listed["objects"]], ["a", "b"])
        self.assertEqual(self.api("GET", "/v1/objects/status")[1]["objects"], [])

    def test_write_that_is_cut_off_in_its_body_changes_nothing(self):
        """A writer that is killed during a write causes no error in the platform."""
        head = "PUT /v1/objects/service/a HTTP/1.1\r\nHost: p\r\nContent-Length: 100"
        address = parse_address(self.addresses["api"])
        with socket.create_connection(address, TIMEOUT_S) as connection:
            connection.sendall(f"{head}\r\n\r\n{{".encode())
        wait_until(lambda: self.logged("body_lost") or self.errors(), "its end")
        self.assertEqual(self.errors(), "")
        self.assertEqual(self.api("GET", "/v1/objects/service/a")[0], 404)

    def test_conditional_writes(self):
        first = self.put("a", 1, if_version=0)[1]
        self.assertEqual(self.put("a", 2, if_version=0), (409, {"current": first}))
        self.assertEqual(self.put("b", 2, if_version=7), (409, {"current": None}))
        second = self.put("a", 2, if_version=1)[1]
        path = "/v1/objects/service/a?if_version="
        self.assertEqual(self.api("DELETE", path + "1"), (409, {"current": second}))
        self.assertEqual(self.api("DELETE", path + "2")[0], 200)
        self.assertEqual(self.api("GET", "/v1/objects/service/a")[0], 404)
        self.assertEqual(self.api("DELETE", "/v1/objects/service/a")[0], 404)

    def test_malformed_calls_change_nothing(self):
        path = "/v1/objects/service/a"
        for body in ([], {}, {"body": 1, "if_version": "1"}):
            self.assertEqual(self.api("PUT", path, body)[0], 400, body)
        self.assertEqual(self.put("a", "x" * 1024 * 1024)[0], 413)
        self.assertEqual(self.api("GET", "/v1/watch")[0], 400)
        self.assertEqual(self.api("GET", "/v2/objects")[0], 404)
        self.assertEqual(self.stats()["revision"], 0)

    def test_names_may_hold_any_characters(self):
        self.put("caf%C3%A9%20%2F1", 1)
        listed = self.api("GET", "/v1/objects/service")[1]["objects"]
        self.assertEqual(listed[0]["name"], "café /1")

    def test_watch_gives_puts_and_tombstones_of_its_kinds(self):
        self.put("a", 1)
        self.put("s", 1, kind="status")
        self.api("DELETE", "/v1/objects/service/a")
        answer = self.watch(0)[1]
        seen = [(e["type"], e["object"]["version"]) for e in answer["events"]]
        self.assertEqual((answer["revision"], seen), (3, [("put", 1), ("delete", 3)]))
        self.assertEqual(len(self.watch(0, kinds="service,status")[1]["events"]), 3)
        self.assertEqual(self.watch(3)[1], {"revision": 3, "events": []})

    def test_watch_waits_for_a_change(self):
        result = self.waiting_watch(0)
        self.put("s", 1, kind="status")
        self.put("a", 1)
        status, answer = result()
        self.assertEqual((status, answer["revision"]), (200, 2))
        self.assertEqual(answer["events"][0]["object"]["name"], "a")

    def test_watch_from_before_the_history(self):
        self.control(history_limit=1)
        for body in range(3):
            self.put("a", body)
        self.assertEqual(self.watch(1)[0], 410)
        self.assertEqual(len(self.watch(2)[1]["events"]), 1)

    def test_outage_refuses_calls_and_waiting_watches(self):
        result = self.waiting_watch(0)
        self.control(outage="refuse")
        self.assertIsInstance(result(), http.client.RemoteDisconnected)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.put("a", 1)
        self.control(outage="unavailable")
        self.assertEqual(self.put("a", 1)[0], 503)
        self.control(outage=None)
        self.assertEqual(self.put("a", 1, if_version=0)[1]["version"], 1)

    def test_hanging_calls_run_once_the_outage_ends(self):
        self.control(outage="hang")
        result = self.in_background(self.put, "a", 1)
        wait_until(lambda: self.stats()["held_calls"] == 1, "a held call")
        self.assertEqual(self.stats()["revision"], 0)
        self.control(outage=None)
        self.assertEqual(result()[0], 200)

    def test_lost_answers_of_writes_that_took_effect(self):
        self.control(lose_answers=1, lose_answers_kind="service")
        self.assertEqual(self.put("s", 1, kind="status")[0], 200)
        self.assertEqual(self.put("a", 1, if_version=9)[0], 409)
        with self.assertRaises(http.client.RemoteDisconnected):
            self.put("a", {"write_id": "w"}, if_version=0)
        self.assertEqual(self.put("b", 1)[0], 200)
        self.assertEqual(self.api("GET", "/v1/objects/service/a")[1]["version"], 2)
        lost = [line for line in self.logged("write") if line["answer_lost"]]
        self.assertEqual([(w["name"], w["write_id"]) for w in lost], [("a", "w")])

    def test_stale_reads_show_an_earlier_revision(self):
        self.put("a", 1)
        self.put("a", 2)
        self.api("DELETE", "/v1/objects/service/a")
        self.put("b", 1)
        self.control(stale_reads=2)
        listed = self.api("GET", "/v1/objects/service")[1]
        self.assertEqual(listed["revision"], 2)
        self.assertEqual([o["body"] for o in listed["objects"]], [2])
        self.assertEqual(self.api("GET", "/v1/objects/service/a")[1]["version"], 2)
        self.assertEqual(self.put("b", 2, if_version=4)[0], 200)
        self.control(stale_reads=99)
        listed = self.api("GET", "/v1/objects/service")[1]
        self.assertEqual(listed, {"revision": 0, "objects": []})

    def test_rates_are_limited_apart(self):
        self.control(writes_per_s=0)
        self.assertEqual(self.put("a", 1)[0], 429)
        self.assertEqual(self.watch(0)[0], 200)
        self.control(writes_per_s=None, reads_per_s=0)
        self.assertEqual(self.put("a", 1)[0], 200)
        self.assertEqual(self.watch(0)[0], 429)
        counted = self.stats()["sources"]["127.0.0.1"]
        counts = [counted[what] for what in ("reads", "writes", "limited")]
        self.assertEqual(counts, [1, 1, 2])

    def test_instance_list_lags(self):
        def set_instances(listed):
            control = self.addresses["control"]
            call_ok(control, "PUT", "/control/instances", listed)

        set_instances([INSTANCE])
        self.control(instances_lag_s=3600)
        set_instances([{**INSTANCE, "state": "leaving"}])
        listed = self.api("GET", "/v1/instances")[1]
        self.assertEqual(listed, {"age_ms": 3_600_000, "instances": [INSTANCE]})
        self.control(instances_lag_s=0)
        listed = self.api("GET", "/v1/instances")[1]["instances"]
        self.assertEqual(listed[0]["state"], "leaving")

    def test_control_refuses_unknown_switches(self):
        reply = call(self.addresses["control"], "PUT", "/control", {"outage_": 1})
        self.assertEqual(reply.status, 400)

    def test_ends_on_sigterm(self):
        result = self.waiting_watch(0)
        self.assertEqual(self.process.terminate(TIMEOUT_S), 0)
        self.assertIsInstance(result(), (OSError, http.client.HTTPException))

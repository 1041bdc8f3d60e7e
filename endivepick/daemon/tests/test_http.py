import socket
import unittest

import gevent
import urllib3

from endivepick.daemon.http import ReadinessChanged, http_task
from endivepick.daemon.metrics import DaemonMetrics, RoleGauges
from endivepick.membership.view import PeerState
from endivepick.settings import ListenSettings

SETTINGS = ListenSettings("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
WAIT_S = 10


class HttpTaskTest(unittest.TestCase):
    def setUp(self):
        self.metrics = DaemonMetrics()
        status = {"peers": {PeerState.ALIVE: 2}}
        self.task = self.enterContext(http_task(SETTINGS, self.metrics, lambda: status))
        self.http = urllib3.PoolManager(retries=False, timeout=WAIT_S)
        self.addCleanup(self.http.clear)

    def call(self, path, method="GET"):
        url = f"http://{self.task.address}{path}"
        pool = gevent.get_hub().threadpool
        return pool.apply(self.http.request, (method, url))

    def wait_ready(self, status):
        with gevent.Timeout(WAIT_S):
            while self.call("/readyz").status != status:
                gevent.sleep(0)

    def test_readiness_follows_messages(self):
        answer = self.call("/readyz")
        self.assertEqual((answer.status, answer.data), (503, b"not ready: starting\n"))
        self.task.inbox.put(ReadinessChanged(True))
        self.wait_ready(200)
        self.task.inbox.put(ReadinessChanged(False, "stopping"))
        self.wait_ready(503)
        self.assertEqual(self.call("/healthz").status, 200)

    def test_metrics(self):
        self.metrics.observe("time_to_answer_s", "notes", 0.03)
        self.metrics.count("packets_dropped", "too_long")
        self.metrics.count("packets_relayed")
        self.metrics.count("unforeseen", "x")
        self.metrics.set_role_gauges(
            RoleGauges(flows_held=7, peers={PeerState.DEAD: 1})
        )
        self.metrics.set_role_gauges(RoleGauges(record_versions={"notes": 4}))
        text = self.call("/metrics").data.decode()
        for line in (
            'endivepick_time_to_answer_seconds_bucket{le="0.05",service="notes"} 1',
            'endivepick_packets_dropped_total{reason="too_long"} 1',
            "endivepick_packets_relayed_total 1",
            'endivepick_unforeseen_total{reason="x"} 1',
            "endivepick_flows_held 0",
            'endivepick_peers{state="dead"} 0',
            'endivepick_record_version{record="notes"} 4',
        ):
            self.assertIn(line, text)

    def test_head_and_body_leave_at_once(self):
        # Accepted sockets inherit the option.
        option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertTrue(self.task._server.socket.getsockopt(*option))

    def test_gauges_are_collected_when_they_are_read(self):
        held = iter((3, 5))
        self.metrics.collect_with(
            lambda: self.metrics.set_role_gauges(RoleGauges(flows_held=next(held)))
        )
        for count in (3, 5):
            text = self.call("/metrics").data.decode()
            self.assertIn(f"endivepick_flows_held {count}\n", text)

    def test_status_is_json(self):
        answer = self.call("/status")
        self.assertEqual(answer.json(), {"peers": {"alive": 2}})

    def test_other_paths_and_methods(self):
        self.assertEqual(self.call("/").status, 404)
        self.assertEqual(self.call("/metrics", "POST").status, 405)

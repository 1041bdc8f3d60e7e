from gevent import monkey

monkey.patch_all()

# ruff: noqa: E402
import json
import unittest
from contextlib import contextmanager
from unittest import mock

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from gevent.queue import Queue

from endivepick.core.actions import Probe
from endivepick.core.dispatch import ProbeFailed, TargetHealth
from endivepick.daemon.probes import probe_tasks
from endivepick.settings import parse_settings

SETTINGS = """{
    instance: {name: "entry-1", zone: "fukuoka"},
    listen: {data_address: "127.0.0.1:0", peer_address: "127.0.0.1:0"},
    platform: {address: "127.0.0.1:1"},
    secrets: {peer_secret_hex: "000102030405060708090a0b0c0d0e0f"},
    targets: {probe_timeout_s: 0.2},
}"""
WAIT_S = 10
PROBES = "endivepick.daemon.probes"


class FakeTarget:
    """Answers probes and counts connections."""

    def __init__(self, incarnation, address="127.0.0.1:0"):
        self.incarnation = incarnation
        self.service = "s"
        self.connections = set()
        self.paths = []
        self.silent = False
        # With a pool, stopping the server also closes its connections.
        self.server = WSGIServer(
            address, self.answer, log=None, error_log=None, spawn=Pool()
        )
        self.server.stop_timeout = 0
        self.server.start()

    @property
    def address(self):
        return f"{self.server.server_host}:{self.server.server_port}"

    def answer(self, environ, start_response):
        while self.silent:
            gevent.sleep(0.01)
        self.connections.add(environ["REMOTE_PORT"])
        self.paths.append(environ["PATH_INFO"])
        body = {"service": self.service, "target": "t", "state": "ready"}
        body |= {"incarnation": self.incarnation, "waiting": 3}
        data = json.dumps(body).encode()
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return [data]


@contextmanager
def fake_target(incarnation=7, address="127.0.0.1:0"):
    target = FakeTarget(incarnation, address)
    try:
        yield target
    finally:
        target.server.stop()


class ProbeTest(unittest.TestCase):
    def setUp(self):
        self.events = Queue()
        settings = parse_settings(SETTINGS).unwrap()
        self.tasks = self.enterContext(probe_tasks(settings, self.events.put))

    def probe(self, target, address=None):
        self.tasks.probe(Probe("s", "t", address or target.address))
        with gevent.Timeout(WAIT_S):
            return self.events.get().outcome

    def test_one_connection_serves_all_probes(self):
        with fake_target() as target:
            outcomes = [self.probe(target) for _ in range(3)]
            self.assertEqual(len(target.connections), 1)
            self.assertEqual(target.paths, ["/health", "/load"] * 3)
        self.assertEqual({o.state for o in outcomes}, {TargetHealth.READY})
        self.assertEqual({o.waiting for o in outcomes}, {3})

    def test_probe_is_retried_after_the_target_closed_the_connection(self):
        with fake_target(7) as target:
            self.probe(target)
            address = target.address
        with fake_target(8, address) as target:
            self.assertEqual(self.probe(target).incarnation, 8)

    def test_answer_of_another_service_closes_the_connection(self):
        # The target at an address can change while a connection stays open.
        with fake_target() as target:
            target.service = "other"
            for _ in range(2):
                self.assertEqual(self.probe(target).service, "other")
            self.assertEqual(len(target.connections), 2)

    def test_connection_lifetime_is_limited(self):
        with (
            fake_target() as target,
            mock.patch(f"{PROBES}.CONNECTION_LIFETIME_S", 0.0),
        ):
            for _ in range(2):
                self.probe(target)
            self.assertEqual(len(target.connections), 2)

    def test_probe_of_a_stopped_target_fails(self):
        with fake_target() as target:
            self.probe(target)
            address = target.address
        self.assertEqual(self.probe(None, address), ProbeFailed())

    def test_probe_times_out_and_next_probe_reconnects(self):
        with fake_target() as target:
            self.probe(target)
            target.silent = True
            self.assertEqual(self.probe(target), ProbeFailed())
            target.silent = False
            self.assertEqual(self.probe(target).incarnation, 7)
            self.assertEqual(len(target.connections), 2)

    def test_probe_in_progress_is_not_repeated(self):
        with fake_target() as target:
            for _ in range(3):
                self.tasks.probe(Probe("s", "t", target.address))
            with gevent.Timeout(WAIT_S):
                self.events.get()
            self.assertEqual(target.paths, ["/health", "/load"])
            self.assertTrue(self.events.empty())

    def test_unused_connection_is_closed(self):
        with fake_target() as old, fake_target() as new:
            self.probe(old)
            self.tasks.close_unused_connections(0.0)
            self.assertEqual(self.probe(new).incarnation, 7)
            self.probe(old)
            self.assertEqual(len(old.connections), 2)

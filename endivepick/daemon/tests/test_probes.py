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
        # A pool, so that the server's end closes the connections as well.
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

    def test_connection_that_the_target_closed_is_no_failure(self):
        with fake_target(7) as target:
            self.probe(target)
            address = target.address
        with fake_target(8, address) as target:
            self.assertEqual(self.probe(target).incarnation, 8)

    def test_other_service_at_the_end_of_a_connection_is_looked_for_anew(self):
        # What stands behind an address can change while a connection stays.
        with fake_target() as target:
            target.service = "other"
            for _ in range(2):
                self.assertEqual(self.probe(target).service, "other")
            self.assertEqual(len(target.connections), 2)

    def test_connection_is_not_kept_for_long(self):
        with fake_target() as target, mock.patch(f"{PROBES}.KEPT_S", 0.0):
            for _ in range(2):
                self.probe(target)
            self.assertEqual(len(target.connections), 2)

    def test_target_that_is_gone_fails(self):
        with fake_target() as target:
            self.probe(target)
            address = target.address
        self.assertEqual(self.probe(None, address), ProbeFailed())

    def test_silent_target_fails_and_is_asked_anew(self):
        with fake_target() as target:
            self.probe(target)
            target.silent = True
            self.assertEqual(self.probe(target), ProbeFailed())
            target.silent = False
            self.assertEqual(self.probe(target).incarnation, 7)
            self.assertEqual(len(target.connections), 2)

    def test_target_that_is_being_asked_is_not_asked_again(self):
        with fake_target() as target:
            for _ in range(3):
                self.tasks.probe(Probe("s", "t", target.address))
            with gevent.Timeout(WAIT_S):
                self.events.get()
            self.assertEqual(target.paths, ["/health", "/load"])
            self.assertTrue(self.events.empty())

    def test_connection_to_a_target_that_left_is_closed(self):
        with fake_target() as old, fake_target() as new:
            self.probe(old)
            self.tasks.forget_unused(0.0)
            self.assertEqual(self.probe(new).incarnation, 7)
            self.probe(old)
            self.assertEqual(len(old.connections), 2)

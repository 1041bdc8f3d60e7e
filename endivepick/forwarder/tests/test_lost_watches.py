"""Watches that the store loses, while it answers those of another kind."""

import unittest
from unittest.mock import patch

import gevent
import msgspec
from gevent.server import StreamServer

from endivepick.forwarder import freshness
from endivepick.forwarder.circuit_breaker import CircuitBreaker
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.ports import ChangeBatch, FeedKind, ListPage
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarder.store_revision import StoreRevision
from endivepick.forwarder.tests.empty_store import Dialect
from endivepick.forwarder.tests.test_settings import decode

TIMEOUT_S = 20.0
ANSWER_PERIOD_S = 0.01
"""Time after which the store answers a watch of the registry."""
LONG_WAIT_S = 1000.0
"""Wait of a long watch, which no test awaits."""
LONG_KINDS = (FeedKind.CONFIGURATION, FeedKind.EVACUATIONS)


class RevisionDialect(Dialect):
    """Dialect of a store whose answers consist of its revision."""

    def read_page(self, _kind, body):
        return ListPage((), "", int(body))

    def read_changes(self, _kind, body):
        return ChangeBatch((), int(body))


class CountingStore:
    """Store that answers all calls but the watches of lost kinds."""

    def __init__(self):
        self.revision = 7
        self.lost_kinds = set(LONG_KINDS)
        self.asked = []

    def serve(self, connection, _address):
        while line := connection.recv(4096):
            path = line.split()[1].decode()
            self.asked.append(path)
            if "wait_s" in path and self.is_lost(path):
                continue
            if "wait_s" in path:
                gevent.sleep(ANSWER_PERIOD_S)
            body = str(self.revision)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            connection.sendall(f"{head}{body}".encode())

    def is_lost(self, path):
        return any(path.startswith(f"/{kind.value}?") for kind in self.lost_kinds)

    def count(self, kind, wait_s=""):
        return sum(
            path.startswith(f"/{kind.value}?wait_s={wait_s}") for path in self.asked
        )


class TestLostWatches(unittest.TestCase):
    """Guards against changes that are missed until a lost watch times out."""

    def setUp(self):
        self.enterContext(patch.object(freshness, "WATCH_BOUNDS_S", (0.5, LONG_WAIT_S)))
        self.store = CountingStore()
        server = StreamServer(("127.0.0.1", 0), self.store.serve)
        server.start()
        self.addCleanup(server.stop, 0)
        address = f"127.0.0.1:{server.server_port}"
        settings = msgspec.structs.replace(
            decode(change_in_force_ms=3000), store_address=address, gather_s=0.0
        )
        self.short_wait_s = freshness.compute_freshness(settings).watch_wait_s
        decisions = DecisionLog(BoundedLog("a", len), ForwarderMetrics())
        breaker, revision = CircuitBreaker(), StoreRevision()
        for kind in FeedKind:
            feed = StoreFeed(
                settings,
                kind,
                RevisionDialect(),
                lambda _: None,
                decisions,
                breaker,
                store_revision=revision,
            )
            self.addCleanup(feed.stop)
            feed.start()
        self.wait(lambda: all(self.store.count(k, LONG_WAIT_S) for k in LONG_KINDS))

    def wait(self, condition):
        with gevent.Timeout(TIMEOUT_S):
            while not condition():
                gevent.sleep(0.001)

    def wait_for_registry_answers(self):
        asked = self.store.count(FeedKind.REGISTRY)
        self.wait(lambda: self.store.count(FeedKind.REGISTRY) > asked + 3)

    def test_lost_watch_is_replaced_when_the_store_has_changed(self):
        self.store.lost_kinds.clear()
        self.store.revision += 1
        for kind in LONG_KINDS:
            with self.subTest(kind):
                self.wait(lambda kind=kind: self.store.count(kind, self.short_wait_s))

    def test_watch_is_long_again_after_an_answer(self):
        self.store.lost_kinds.clear()
        self.store.revision += 1
        self.wait(lambda: all(self.store.count(k, LONG_WAIT_S) > 1 for k in LONG_KINDS))

    def test_watch_that_is_lost_as_well_is_given_up(self):
        self.store.revision += 1
        for kind in LONG_KINDS:
            self.wait(lambda kind=kind: self.store.count(kind, self.short_wait_s))
        self.store.lost_kinds.clear()
        self.wait(lambda: all(self.store.count(k, LONG_WAIT_S) > 1 for k in LONG_KINDS))

    def test_store_without_changes_gets_no_further_watches(self):
        self.wait_for_registry_answers()
        for kind in LONG_KINDS:
            self.assertEqual(self.store.count(kind), 1)


if __name__ == "__main__":
    unittest.main()

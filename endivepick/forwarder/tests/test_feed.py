import unittest

import gevent
import msgspec
from gevent.server import StreamServer

from endivepick.forwarder.circuit_breaker import CircuitBreaker
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.ports import ChangeBatch, FeedKind
from endivepick.forwarder.store_feed import FeedChanges, StoreFeed
from endivepick.forwarder.tests.empty_store import Dialect
from endivepick.forwarder.tests.test_settings import decode

PIECE_S = 0.05
TIMEOUT_S = 20.0


class TestArriving(unittest.TestCase):
    """A list of the store that comes slowly is told from a store that is silent."""

    def feed(self, *pieces):
        """Follow a store that sends pieces of a list, then nothing."""

        def serve(connection, _address):
            connection.recv(4096)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
            for piece in pieces:
                gevent.sleep(PIECE_S)
                connection.sendall(piece)
            gevent.sleep(TIMEOUT_S)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop, 0)
        address = f"127.0.0.1:{server.server_port}"
        settings = msgspec.structs.replace(decode(), store_address=address)
        decisions = DecisionLog(BoundedLog("a", len), ForwarderMetrics())
        feed = StoreFeed(
            settings, FeedKind.REGISTRY, Paths(), print, decisions, CircuitBreaker()
        )
        self.assertFalse(feed.arriving(TIMEOUT_S))
        feed.start()
        self.addCleanup(feed.stop)
        return feed

    def wait(self, condition):
        with gevent.Timeout(TIMEOUT_S):
            while not condition():
                gevent.sleep(0.01)

    def test_a_list_that_comes_in_pieces(self):
        feed = self.feed(b"x", b"y")
        self.wait(lambda: feed.arriving(TIMEOUT_S))
        self.assertFalse(feed.lost)

    def test_one_that_has_stopped(self):
        feed = self.feed()
        self.wait(lambda: feed.arriving(TIMEOUT_S))
        self.wait(lambda: not feed.arriving(PIECE_S))


class Paths:
    def list_path(self, _kind, _after):
        return "/"


class TestHoldWatches(unittest.TestCase):
    """The store answers lists at once, and holds watches."""

    def setUp(self):
        self.asked = []
        self.delivered = []
        server = StreamServer(("127.0.0.1", 0), self.serve)
        server.start()
        self.addCleanup(server.stop, 0)
        address = f"127.0.0.1:{server.server_port}"
        settings = msgspec.structs.replace(
            decode(), store_address=address, watch_wait_s=60.0, gather_s=0.0
        )
        decisions = DecisionLog(BoundedLog("a", len), ForwarderMetrics())
        self.feed = StoreFeed(
            settings,
            FeedKind.CONFIGURATION,
            Dialect(),
            self.delivered.append,
            decisions,
            CircuitBreaker(),
        )
        self.addCleanup(self.feed.stop)
        self.feed.start()
        self.wait_asked("/configuration?wait_s=60.0")

    def serve(self, connection, _address):
        while line := connection.recv(4096):
            path = line.split()[1].decode()
            self.asked.append(path)
            if "wait_s" not in path:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def wait_asked(self, path):
        with gevent.Timeout(TIMEOUT_S):
            while path not in self.asked:
                gevent.sleep(0.001)

    def test_a_longer_watch_under_way_is_given_up(self):
        self.feed.hold_watches(1.0)
        self.wait_asked("/configuration?wait_s=1.0")
        self.assertFalse(self.feed.lost)

    def test_a_shorter_one_is_left_alone(self):
        self.feed.hold_watches(1.0)
        self.wait_asked("/configuration?wait_s=1.0")
        before = list(self.asked)
        self.feed.hold_watches()
        self.feed.hold_watches(2.0)
        gevent.sleep(0)
        self.assertEqual(self.asked, before)


class TimePasses(Dialect):
    """Each watch ends without a change, at a later revision of the store."""

    def __init__(self):
        self.revision = 1

    def read_changes(self, _kind, _body):
        self.revision += 1
        return ChangeBatch((), self.revision)


class TestWatchesWithoutChanges(unittest.TestCase):
    def test_they_tell_up_to_when_nothing_changed(self):
        def serve(connection, _address):
            while connection.recv(4096):
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                gevent.sleep(0.001)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop, 0)
        address = f"127.0.0.1:{server.server_port}"
        settings = msgspec.structs.replace(decode(), store_address=address, gather_s=0)
        decisions = DecisionLog(BoundedLog("a", len), ForwarderMetrics())
        told = []
        kind, breaker = FeedKind.REGISTRY, CircuitBreaker()
        feed = StoreFeed(settings, kind, TimePasses(), told.append, decisions, breaker)
        self.addCleanup(feed.stop)
        feed.start()
        with gevent.Timeout(TIMEOUT_S):
            while len(told) < 4:
                gevent.sleep(0.001)
        self.assertEqual(told[1:4], [FeedChanges(kind, (), n) for n in (2, 3, 4)])


if __name__ == "__main__":
    unittest.main()

import unittest

import gevent
import msgspec
from gevent.server import StreamServer

from endivepick.forwarder.breaker import CircuitBreaker
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.feed import StoreFeed
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.ports import FeedKind
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

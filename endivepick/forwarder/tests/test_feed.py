import unittest

import gevent
import msgspec
from gevent.server import StreamServer

from endivepick.forwarder.circuit_breaker import CircuitBreaker
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.ports import REQUIRED_KINDS, ChangeBatch, FeedKind
from endivepick.forwarder.store_feed import FeedChanges, StoreFeed
from endivepick.forwarder.tests.empty_store import Dialect
from endivepick.forwarder.tests.test_settings import decode

PIECE_S = 0.05
TIMEOUT_S = 20.0


class TestArriving(unittest.TestCase):
    """A slowly arriving list is distinguished from a store that does not answer."""

    def feed(self, *pieces):
        """Follow a store that sends pieces of a list and then stalls."""

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
        self.assertFalse(feed.is_receiving_list(TIMEOUT_S))
        feed.start()
        self.addCleanup(feed.stop)
        return feed

    def wait(self, condition):
        with gevent.Timeout(TIMEOUT_S):
            while not condition():
                gevent.sleep(0.01)

    def test_list_arriving_in_pieces(self):
        feed = self.feed(b"x", b"y")
        self.wait(lambda: feed.is_receiving_list(TIMEOUT_S))
        self.assertFalse(feed.lost)

    def test_list_that_stalls(self):
        feed = self.feed()
        self.wait(lambda: feed.is_receiving_list(TIMEOUT_S))
        self.wait(lambda: not feed.is_receiving_list(PIECE_S))


class Paths:
    def list_path(self, _kind, _after):
        return "/"


class TestSetWatchWait(unittest.TestCase):
    """The store answers lists at once and holds watches."""

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

    def test_longer_watch_in_progress_is_cancelled(self):
        self.feed.set_watch_wait(1.0)
        self.wait_asked("/configuration?wait_s=1.0")
        self.assertFalse(self.feed.lost)

    def test_shorter_watch_in_progress_is_kept(self):
        self.feed.set_watch_wait(1.0)
        self.wait_asked("/configuration?wait_s=1.0")
        before = list(self.asked)
        self.feed.set_watch_wait()
        self.feed.set_watch_wait(2.0)
        gevent.sleep(0)
        self.assertEqual(self.asked, before)


class TimePasses(Dialect):
    """Each watch ends without changes, at a later revision of the store."""

    def __init__(self):
        self.revision = 1

    def read_changes(self, _kind, _body):
        self.revision += 1
        return ChangeBatch((), self.revision)


class TestWatchesWithoutChanges(unittest.TestCase):
    def test_empty_watches_deliver_the_new_revision(self):
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


class ScriptedStore:
    """Store that answers lists, and watches as told; records the paths asked."""

    def __init__(self, case, **fields):
        self.asked = []
        self.answers_watches = False
        self.silent = False
        server = StreamServer(("127.0.0.1", 0), self.serve)
        server.start()
        case.addCleanup(server.stop, 0)
        address = f"127.0.0.1:{server.server_port}"
        fields = {"watch_wait_s": 60.0, "gather_s": 0.0, "retry_base_s": 0.01} | fields
        self.settings = msgspec.structs.replace(
            decode(), store_address=address, retry_cap_s=0.02, **fields
        )
        self.breaker = CircuitBreaker()
        self.case = case

    def serve(self, connection, _address):
        while line := connection.recv(4096):
            path = line.split()[1].decode()
            self.asked.append(path)
            if self.silent or ("wait_s" in path and not self.answers_watches):
                continue
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            gevent.sleep(0.001)

    def start_feed(self, kind, **fields):
        decisions = DecisionLog(BoundedLog("a", len), ForwarderMetrics())
        arguments = (Dialect(), lambda _: None, decisions, self.breaker)
        feed = StoreFeed(self.settings, kind, *arguments, **fields)
        self.case.addCleanup(feed.stop)
        feed.start()
        return feed

    def wait(self, condition):
        with gevent.Timeout(TIMEOUT_S):
            while not condition():
                gevent.sleep(0.001)

    def wait_asked(self, path, times=1):
        self.wait(lambda: self.asked.count(path) >= times)


LONG_WATCHES = [f"/{kind.value}?wait_s=60.0" for kind in REQUIRED_KINDS]
REGISTRY, CONFIGURATION = REQUIRED_KINDS


class TestRenewedWatches(unittest.TestCase):
    """A store that was away may never answer the watches that it had accepted."""

    def test_answer_after_a_failure_renews_the_other_watch(self):
        store = ScriptedStore(self)
        feeds = [store.start_feed(kind) for kind in REQUIRED_KINDS]
        for path in LONG_WATCHES:
            store.wait_asked(path)
        lost = feeds[0]
        lost.suspend()
        lost.resume(1, store_silent=True)
        store.answers_watches = True
        store.wait_asked(LONG_WATCHES[1], times=2)
        self.assertFalse(any(feed.lost for feed in feeds))


class TestSilentStore(unittest.TestCase):
    """A follower resumes its feeds since the store did not answer its feeder."""

    def setUp(self):
        self.store = ScriptedStore(self)
        self.feeds = [self.store.start_feed(kind) for kind in REQUIRED_KINDS]
        for path in LONG_WATCHES:
            self.store.wait_asked(path)
        for feed in self.feeds:
            feed.suspend()
        self.store.asked.clear()

    def resume(self):
        for feed in self.feeds:
            feed.resume(1, store_silent=True)

    def test_one_feed_calls_and_the_other_waits_for_an_answer(self):
        self.resume()
        self.store.wait_asked("/registry?wait_s=0.02")
        gevent.sleep(0.05)
        self.assertEqual(self.store.asked, ["/registry?wait_s=0.02"])
        self.assertTrue(all(feed.lost for feed in self.feeds))

    def test_an_answer_lets_both_follow_the_store(self):
        self.store.answers_watches = True
        self.resume()
        self.store.wait_asked("/configuration?wait_s=0.02")
        self.store.wait(lambda: not any(feed.lost for feed in self.feeds))

    def test_suspended_feed_is_not_lost(self):
        self.resume()
        self.store.wait_asked("/registry?wait_s=0.02")
        for feed in self.feeds:
            feed.suspend()
        self.assertTrue(all(feed.settled for feed in self.feeds))


class TestThirdKind(unittest.TestCase):
    def test_stale_list_comes_first_and_is_followed_by_a_complete_one(self):
        store = ScriptedStore(self)
        store.start_feed(FeedKind.EVACUATIONS, stale_first=True)
        store.wait_asked("/evacuations?wait_s=60.0")
        expected = ["/evacuations?stale", "/evacuations", "/evacuations?wait_s=60.0"]
        self.assertEqual(store.asked, expected)

    def test_feeder_replaces_the_complete_list(self):
        store = ScriptedStore(self, gather_s=0.2)
        feed = store.start_feed(FeedKind.EVACUATIONS, stale_first=True)
        store.wait_asked("/evacuations?stale")
        feed.suspend()
        feed.resume(40)
        store.wait_asked("/evacuations?wait_s=60.0")
        self.assertEqual(len(store.asked), 2)

    def test_new_feeder_calls_the_store_without_a_pause(self):
        store = ScriptedStore(self, gather_s=60.0)
        feed = store.start_feed(FeedKind.EVACUATIONS, stale_first=True)
        store.wait_asked("/evacuations?stale")
        feed.suspend()
        feed.resume(40)
        feed.call_now()
        store.wait_asked("/evacuations?wait_s=60.0")

    def test_its_failures_do_not_delay_a_required_kind(self):
        """The store serves the registry and never answers the third kind."""
        store = ScriptedStore(self, call_timeout_s=0.02)
        store.silent = True
        third = store.start_feed(FeedKind.EVACUATIONS)
        store.wait(lambda: third.lost)
        store.silent = False
        store.answers_watches = True
        registry = store.start_feed(REGISTRY)
        store.wait(lambda: registry.settled)
        self.assertFalse(registry.lost)


if __name__ == "__main__":
    unittest.main()

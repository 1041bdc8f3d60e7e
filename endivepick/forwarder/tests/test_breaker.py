import unittest

import gevent
import msgspec
from gevent.event import Event
from gevent.server import StreamServer

from endivepick.errors import PlatformUnavailableError
from endivepick.forwarder.circuit_breaker import CircuitBreaker
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.ports import FeedKind
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarder.tests.empty_store import Dialect
from endivepick.forwarder.tests.test_settings import decode

TIMEOUT_S = 20.0


class TestCircuitBreaker(unittest.TestCase):
    def test_another_tries_once_the_first_has_stopped(self):
        breaker = CircuitBreaker()
        self.assertTrue(breaker.failed("a"))
        self.assertFalse(breaker.failed("b"))
        waiting = gevent.spawn(breaker.wait)
        gevent.sleep(0)
        breaker.stopped("b")
        self.assertFalse(waiting.ready())
        breaker.stopped("a")
        waiting.get(timeout=TIMEOUT_S)
        self.assertTrue(breaker.failed("b"))

    def test_without_it_each_tries(self):
        breaker = CircuitBreaker(enabled=False)
        self.assertEqual([breaker.failed(feed) for feed in "aba"], [True] * 3)

    def test_an_answer_lets_all_call(self):
        breaker = CircuitBreaker()
        breaker.failed("a")
        waiting = gevent.spawn(breaker.wait)
        gevent.sleep(0)
        breaker.answered()
        waiting.get(timeout=TIMEOUT_S)


class TestOutage(unittest.TestCase):
    """The store refuses each call at once, as long as it is told to."""

    def setUp(self):
        self.asked = []
        self.refusing = True
        server = StreamServer(("127.0.0.1", 0), self.serve)
        server.start()
        self.addCleanup(server.stop, 0)
        settings = msgspec.structs.replace(
            decode(),
            store_address=f"127.0.0.1:{server.server_port}",
            retry_base_s=0.01,
            retry_cap_s=0.02,
        )
        decisions = DecisionLog(BoundedLog("a", len), ForwarderMetrics())
        breaker = CircuitBreaker()
        self.feeds = {
            kind: StoreFeed(
                settings, kind, Dialect(), lambda _: None, decisions, breaker
            )
            for kind in FeedKind
        }
        for feed in self.feeds.values():
            self.addCleanup(feed.stop)
            feed.start()

    def serve(self, connection, _address):
        while line := connection.recv(4096):
            path = line.split()[1].decode()
            self.asked.append(path.strip("/").partition("?")[0])
            status = b"503 Busy" if self.refusing else b"200 OK"
            connection.sendall(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
            gevent.sleep(0.001)

    def wait(self, condition):
        with gevent.Timeout(TIMEOUT_S):
            while not condition():
                gevent.sleep(0.001)

    def test_one_feed_tries_and_both_go_on(self):
        self.wait(lambda: len(self.asked) >= 12)
        counts = sorted(self.asked.count(kind.value) for kind in FeedKind)
        self.assertEqual(counts[0], 1)
        self.assertTrue(all(feed.lost for feed in self.feeds.values()))
        self.refusing = False
        self.wait(lambda: not any(feed.lost for feed in self.feeds.values()))

    def test_when_the_one_that_tries_is_stopped_the_other_goes_on(self):
        self.wait(lambda: len(self.asked) >= 6)
        trying = max(FeedKind, key=lambda kind: self.asked.count(kind.value))
        (other,) = set(FeedKind) - {trying}
        self.feeds[trying].suspend()
        self.wait(lambda: self.asked.count(other.value) >= 5)


class RefusesWhenTold(Dialect):
    """Each call waits for the event ``refuse`` and fails."""

    def __init__(self):
        self.called, self.refuse = Event(), Event()

    def list_path(self, _kind, _after):
        self.called.set()
        self.refuse.wait()
        raise PlatformUnavailableError("The store refused the call.")


class TestFailureWhileStopped(unittest.TestCase):
    """A call fails after its feed was told to stop, and before its task has ended."""

    def setUp(self):
        self.breaker = CircuitBreaker()
        self.dialect = RefusesWhenTold()
        self.feed = StoreFeed(
            decode(),
            FeedKind.REGISTRY,
            self.dialect,
            lambda _: None,
            DecisionLog(BoundedLog("a", len), ForwarderMetrics()),
            self.breaker,
        )
        self.addCleanup(self.feed.stop)
        self.feed.start()
        self.dialect.called.wait(TIMEOUT_S)

    def wait_lost(self):
        with gevent.Timeout(TIMEOUT_S):
            while not self.feed.lost:
                gevent.sleep(0)
        gevent.sleep(0)

    def test_a_suspended_feed_does_not_stay_the_one_that_tries(self):
        self.dialect.refuse.set()
        self.feed.suspend()
        self.wait_lost()
        self.assertTrue(self.breaker.failed(FeedKind.CONFIGURATION))

    def test_a_feed_that_lists_again_does_not_wait_for_its_own_ended_task(self):
        self.dialect.refuse.set()
        self.feed.resume(0)
        self.wait_lost()
        self.dialect.called.clear()
        self.assertTrue(self.dialect.called.wait(TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()

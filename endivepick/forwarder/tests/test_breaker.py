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
from endivepick.forwarder.ports import REQUIRED_KINDS, FeedKind
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarder.tests.empty_store import Dialect
from endivepick.forwarder.tests.test_settings import decode

TIMEOUT_S = 20.0


class TestCircuitBreaker(unittest.TestCase):
    def test_another_feed_retries_after_the_first_stopped(self):
        breaker = CircuitBreaker()
        self.assertTrue(breaker.record_failure("a"))
        self.assertFalse(breaker.record_failure("b"))
        waiting = gevent.spawn(breaker.wait)
        gevent.sleep(0)
        breaker.unregister("b")
        self.assertFalse(waiting.ready())
        breaker.unregister("a")
        waiting.get(timeout=TIMEOUT_S)
        self.assertTrue(breaker.record_failure("b"))

    def test_each_feed_retries_when_disabled(self):
        breaker = CircuitBreaker(enabled=False)
        self.assertEqual([breaker.record_failure(feed) for feed in "aba"], [True] * 3)

    def test_success_releases_waiting_feeds(self):
        breaker = CircuitBreaker()
        breaker.record_failure("a")
        waiting = gevent.spawn(breaker.wait)
        gevent.sleep(0)
        breaker.record_success()
        waiting.get(timeout=TIMEOUT_S)


class TestOutage(unittest.TestCase):
    """The store refuses each call at once while `refusing` is set."""

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
            for kind in REQUIRED_KINDS
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

    def test_one_feed_retries_and_both_recover(self):
        self.wait(lambda: len(self.asked) >= 12)
        counts = sorted(self.asked.count(kind.value) for kind in REQUIRED_KINDS)
        self.assertEqual(counts[0], 1)
        self.assertTrue(all(feed.lost for feed in self.feeds.values()))
        self.refusing = False
        self.wait(lambda: not any(feed.lost for feed in self.feeds.values()))

    def test_other_feed_retries_when_the_retrying_one_is_suspended(self):
        self.wait(lambda: len(self.asked) >= 6)
        trying = max(REQUIRED_KINDS, key=lambda kind: self.asked.count(kind.value))
        (other,) = set(REQUIRED_KINDS) - {trying}
        self.feeds[trying].suspend()
        self.wait(lambda: self.asked.count(other.value) >= 5)


class TestThirdKind(unittest.TestCase):
    """Trouble with a kind that is not required does not delay the required ones."""

    def test_required_feed_never_waits_for_another_kind(self):
        breaker = CircuitBreaker()
        self.assertTrue(breaker.record_failure("evacuations", required=False))
        self.assertTrue(breaker.record_failure("registry"))

    def test_other_kind_waits_for_a_required_feed(self):
        breaker = CircuitBreaker()
        breaker.record_failure("registry")
        self.assertFalse(breaker.record_failure("evacuations", required=False))

    def test_answer_renews_the_watches_of_the_others_once(self):
        renewed = []
        breaker = CircuitBreaker()
        with (
            breaker.register(lambda: renewed.append("registry")) as registry,
            breaker.register(lambda: renewed.append("configuration")),
        ):
            breaker.record_success(registry)
            self.assertEqual(renewed, [])
            breaker.record_failure(registry)
            breaker.record_success(registry)
            breaker.record_success(registry)
        breaker.record_failure("x")
        breaker.record_success()
        self.assertEqual(renewed, ["configuration"])


class RefusesWhenTold(Dialect):
    """Each call waits for the event ``refuse`` and fails."""

    def __init__(self):
        self.called, self.refuse = Event(), Event()

    def list_path(self, _kind, _after):
        self.called.set()
        self.refuse.wait()
        raise PlatformUnavailableError("The store refused the call.")


class TestFailureWhileStopped(unittest.TestCase):
    """A call fails after the request to stop its feed and before its task has ended."""

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

    def test_suspended_feed_is_not_selected_to_retry(self):
        self.dialect.refuse.set()
        self.feed.suspend()
        self.wait_lost()
        self.assertTrue(self.breaker.record_failure(FeedKind.CONFIGURATION))

    def test_resumed_feed_does_not_wait_for_its_former_task(self):
        self.dialect.refuse.set()
        self.feed.resume(0)
        self.wait_lost()
        self.dialect.called.clear()
        self.assertTrue(self.dialect.called.wait(TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()

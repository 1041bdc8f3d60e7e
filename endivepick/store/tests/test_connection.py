import unittest

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from endivepick.errors import (
    PlatformAnswerError,
    PlatformUnavailableError,
    WatchExpiredError,
)
from endivepick.store import (
    AnswerLost,
    CallLimits,
    NotSent,
    StoreCall,
    StorePool,
    retry_after_s,
    store_connection,
)

TIMEOUT_S = 20.0


class TestStoreConnection(unittest.TestCase):
    def serve(self, *answers):
        """Serve the texts in order, one for each request; then close the connection."""
        self.connections = 0
        self.closed = Event()
        remaining = list(answers)

        def serve(connection, _address):
            self.connections += 1
            while remaining and connection.recv(4096):
                text = remaining.pop(0)
                connection.sendall(text.encode())
                if not text or "close" in text:
                    connection.shutdown(socket.SHUT_RDWR)
                    self.closed.set()
                    return

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop, 0)
        return f"127.0.0.1:{server.server_port}"

    def answer(self, status="200 OK", body="", headers=""):
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
        return head + body

    def test_one_connection_serves_many_calls(self):
        address = self.serve(self.answer(body="a"), self.answer(body="b"))
        with store_connection(address) as store:
            self.assertEqual(store.get("/1", TIMEOUT_S), b"a")
            self.assertEqual(store.get("/2", TIMEOUT_S), b"b")
        self.assertEqual(self.connections, 1)

    def test_missing_object_is_none_and_other_errors_raise(self):
        missing, failing = self.answer("404 Not Found"), self.answer("503 Busy")
        address = self.serve(self.answer(body="a"), missing, failing)
        with store_connection(address) as store:
            self.assertEqual(store.find("/1", TIMEOUT_S), b"a")
            self.assertIsNone(store.find("/2", TIMEOUT_S))
            with self.assertRaises(PlatformUnavailableError):
                store.find("/3", TIMEOUT_S)

    def test_truncated_response_raises_unavailable(self):
        short = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nx: close\r\n\r\nabc"
        with (
            store_connection(self.serve(short)) as store,
            self.assertRaises(PlatformUnavailableError),
        ):
            store.get("/", TIMEOUT_S)

    def test_the_next_call_opens_a_new_connection(self):
        address = self.serve("", self.answer(body="b"))
        with store_connection(address) as store:
            with self.assertRaises(PlatformUnavailableError):
                store.get("/", TIMEOUT_S)
            self.assertEqual(store.get("/", TIMEOUT_S), b"b")

    def test_connection_closed_while_idle_is_replaced(self):
        closing = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nx: close\r\n\r\na"
        address = self.serve(closing, self.answer(body="b"))
        with store_connection(address) as store:
            self.assertEqual(store.get("/1", TIMEOUT_S), b"a")
            self.assertTrue(self.closed.wait(TIMEOUT_S))
            self.assertEqual(store.get("/2", TIMEOUT_S), b"b")
        self.assertEqual(self.connections, 2)

    def test_silent_store_times_out(self):
        silent = StreamServer(("127.0.0.1", 0), lambda c, _: c.recv(1) and c.recv(1))
        silent.start()
        self.addCleanup(silent.stop, 0)
        address = f"127.0.0.1:{silent.server_port}"
        with (
            store_connection(address) as store,
            self.assertRaises(PlatformUnavailableError),
        ):
            store.get("/", 0.05)

    def test_a_long_answer_may_take_longer_than_its_beginning(self):
        def drip(connection, _address):
            connection.recv(4096)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n")
            for _ in range(20):
                gevent.sleep(0.01)
                connection.sendall(b"x")

        server = StreamServer(("127.0.0.1", 0), drip)
        server.start()
        self.addCleanup(server.stop, 0)
        with store_connection(f"127.0.0.1:{server.server_port}") as store:
            self.assertEqual(store.get("/", 0.15), b"x" * 20)

    def test_retry_after_is_bounded(self):
        # Hundreds of digits are an infinite float, and the wait would never end.
        for digits in (6, 400, 5000):
            with self.subTest(digits):
                self.assertEqual(retry_after_s("9" * digits), 3600.0)

    def test_rejection_carries_retry_after(self):
        busy = self.answer("429 Too Many", headers="Retry-After: 3\r\n")
        with (
            store_connection(self.serve(busy)) as store,
            self.assertRaises(PlatformUnavailableError) as raised,
        ):
            store.get("/", TIMEOUT_S)
        self.assertEqual(raised.exception.retry_after_s, 3.0)

    def test_discarded_history_and_rejected_call_raise_their_errors(self):
        address = self.serve(self.answer("410 Gone"), self.answer("404 Not Found"))
        with store_connection(address) as store:
            with self.assertRaises(WatchExpiredError):
                store.get("/", TIMEOUT_S)
            with self.assertRaises(PlatformAnswerError):
                store.get("/", TIMEOUT_S)


class TestStorePool(unittest.TestCase):
    """Concurrent calls over pooled connections."""

    def serve(self, handle):
        self.connections = 0

        def counted(connection, address):
            self.connections += 1
            handle(connection, address)

        server = StreamServer(("127.0.0.1", 0), counted)
        server.start()
        self.addCleanup(server.stop, 0)
        return f"127.0.0.1:{server.server_port}"

    def pool(self, address, max_idle=2):
        pool = StorePool(address, "", max_idle)
        self.addCleanup(pool.close)
        return pool

    def test_connections_are_reused_up_to_max_idle(self):
        def echo(connection, _address):
            while request := connection.recv(4096):
                path = request.split()[1]
                length = len(path)
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
                connection.sendall(head.encode() + path)

        pool = self.pool(self.serve(echo))

        def call(number):
            path = f"/{number}"
            answer = pool.call(StoreCall("GET", path), CallLimits(TIMEOUT_S))
            return answer.data == path.encode()

        for _ in range(2):
            tasks = [gevent.spawn(call, number) for number in range(4)]
            gevent.joinall(tasks, raise_error=True)
            self.assertTrue(all(task.value for task in tasks))
        self.assertEqual(self.connections, 4 + 2)

    def test_killed_task_leaves_no_response_to_the_next_call(self):
        received, killed = Event(), Event()

        def late(connection, _address):
            while request := connection.recv(4096):
                path = request.split()[1]
                if path == b"/1":
                    received.set()
                    killed.wait(TIMEOUT_S)
                head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                connection.sendall(head.encode() + path)

        pool = self.pool(self.serve(late))
        task = gevent.spawn(pool.call, StoreCall("GET", "/1"), CallLimits(TIMEOUT_S))
        self.assertTrue(received.wait(TIMEOUT_S))
        task.kill()
        killed.set()
        answer = pool.call(StoreCall("GET", "/2"), CallLimits(TIMEOUT_S))
        self.assertEqual(answer.data, b"/2")

    def test_slow_response_is_lost_at_the_total_timeout(self):
        def drip(connection, _address):
            connection.recv(4096)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")
            while True:
                connection.sendall(b"x")
                gevent.sleep(0.01)

        pool = self.pool(self.serve(drip))
        limits = CallLimits(TIMEOUT_S, total_s=0.1)
        self.assertIsInstance(pool.call(StoreCall("GET", "/"), limits), AnswerLost)

    def test_unreachable_store_returns_not_sent(self):
        server = StreamServer(("127.0.0.1", 0), lambda *_: None)
        server.start()
        address = f"127.0.0.1:{server.server_port}"
        server.stop()
        outcome = self.pool(address).call(StoreCall("GET", "/"), CallLimits(TIMEOUT_S))
        self.assertIsInstance(outcome, NotSent)

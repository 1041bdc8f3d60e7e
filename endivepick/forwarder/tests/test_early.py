import socket as plain_socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from gevent import socket

from endivepick.errors import PlatformUnavailableError
from endivepick.forwarder.datagrams import datagram_socket
from endivepick.forwarder.early import bind_early, connect_early, send_early_requests
from endivepick.store import store_connection


class TestBindEarly(unittest.TestCase):
    def settings(self, text):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / "settings.json"
        path.write_text(text)
        return str(path)

    def test_packets_that_come_before_the_program_is_loaded_are_kept(self):
        early = bind_early(self.settings('// a\n{"data_address": "127.0.0.1:0"}'))
        host, port = early.getsockname()
        received = []
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            caller.sendto(b"early", (host, port))
            with datagram_socket(
                f"{host}:{port}",
                lambda data, _: received.append(data),
                self.fail,
                lambda *_: None,
                lambda: 0.0,
                early,
            ) as datagrams:
                received += list(datagrams.read_batch())
        self.assertEqual(received, [b"early"])

    def test_a_socket_of_another_address_is_not_used(self):
        early = bind_early(self.settings('{"data_address": "127.0.0.1:0"}'))
        nothing = (lambda *_: None, self.fail, lambda *_: None, lambda: 0.0)
        with datagram_socket("127.0.0.2:0", *nothing, early) as datagrams:
            self.assertTrue(datagrams.address.startswith("127.0.0.2:"))
        self.assertEqual(early.fileno(), -1)

    def test_bad_settings_are_left_to_the_check(self):
        for text in ("", '{"data_address": 5}', '{"data_address": "x:y"}', "{"):
            self.assertIsNone(bind_early(self.settings(text)))
        self.assertIsNone(bind_early("/nowhere"))

    def test_nothing_heavy_is_loaded_with_it(self):
        code = "import endivepick.forwarder.early, sys; print(*sys.modules)"
        output = subprocess.run(
            [sys.executable, "-S", "-c", code], capture_output=True, text=True
        )
        loaded = set(output.stdout.split())
        self.assertIn("endivepick.forwarder.early", loaded)
        self.assertEqual(
            loaded & {"gevent", "msgspec", "dataclasses", "json", "signal", "typing"},
            set(),
        )


SIGNALLED = """
import os, signal, sys
from endivepick.forwarder import early
early.take_early_signals()
try:
    os.kill(os.getpid(), signal.Signals[sys.argv[1]])
except BaseException as error:
    print("raised", repr(error), flush=True)
    raise
print("goes on", flush=True)
sys.exit(7)
"""


class TestEarlySignals(unittest.TestCase):
    def run_signalled(self, name):
        command = [sys.executable, "-c", SIGNALLED, name]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def test_a_stop_before_all_is_loaded_is_a_planned_one(self):
        # Nothing is raised into what is being loaded: msgspec's own loading ends by
        # SIGSEGV on an exception (four of 960 stops between 0.03 and 0.35 s).
        ended = self.run_signalled("SIGTERM")
        self.assertEqual((ended.returncode, ended.stdout), (0, ""))

    def test_word_of_new_settings_before_all_is_loaded_ends_nothing(self):
        ended = self.run_signalled("SIGHUP")
        self.assertEqual((ended.returncode, ended.stdout), (7, "goes on\n"))


class TestAskEarly(unittest.TestCase):
    """The store is asked before the program is loaded, if it is there."""

    ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"

    def setUp(self):
        self.listener = plain_socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = str(Path(folder) / "settings.json")
        Path(self.path).write_text(f'{{"store_address": "{self.address}"}}')

    def accept(self, body):
        connection, _ = self.listener.accept()
        self.addCleanup(connection.close)
        request = connection.recv(4096)
        connection.sendall(self.ANSWER + body)
        return connection, request.split()[1]

    def test_the_answers_that_are_under_way_are_taken(self):
        begun = connect_early(self.path, 2)
        asked = send_early_requests(begun, {"a": "/a", "b": "/b"})
        connection, path = self.accept(b"aaaa")
        self.assertEqual(path, b"/a")
        self.assertEqual(self.accept(b"bbbb")[1], b"/b")
        with store_connection(self.address, asked["a"]) as store:
            self.assertEqual(store.get("/a", 5.0), b"aaaa")
            # The next call asks for itself, on the same connection.
            connection.sendall(self.ANSWER + b"next")
            self.assertEqual(store.get("/c", 5.0), b"next")
        self.assertEqual(connection.recv(4096).split()[1], b"/c")
        with store_connection(self.address, asked["b"]) as store:
            self.assertEqual(store.get("/b", 5.0), b"bbbb")

    def test_a_store_that_refuses_is_left_to_the_program(self):
        self.listener.close()
        begun = connect_early(self.path, 2)
        self.assertEqual(send_early_requests(begun, {"a": "/a", "b": "/b"}), {})

    def test_bad_settings_are_left_to_the_check(self):
        Path(self.path).write_text("{")
        self.assertEqual(connect_early(self.path, 2), [])
        self.assertEqual(connect_early("/nowhere", 2), [])

    def test_an_answer_that_is_lost_is_an_error_like_any_other(self):
        asked = send_early_requests(connect_early(self.path, 1), {"a": "/a"})
        connection, _ = self.listener.accept()
        connection.close()
        lost = self.assertRaises(PlatformUnavailableError)
        with store_connection(self.address, asked["a"]) as store, lost:
            store.get("/a", 5.0)

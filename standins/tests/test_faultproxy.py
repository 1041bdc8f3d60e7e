import socket
import threading
from dataclasses import dataclass

from standins.control import parse_address
from standins.endpoint import call_ok
from standins.process import wait_until
from standins.tests.programs import TIMEOUT_S, ProgramTestCase

SOURCE_A, SOURCE_B = "127.1.0.1", "127.2.0.1"
SOURCES = [
    {"prefix": "127.1.0.0/16", "name": "a1", "zone": "a"},
    {"prefix": "127.0.0.0/8", "name": "other", "zone": ""},
    {"prefix": SOURCE_B, "name": "b1", "zone": "b"},
]


@dataclass
class Pair:
    """Both ends of one proxied connection."""

    source: socket.socket
    target: socket.socket


class TestFaultProxy(ProgramTestCase):
    part = "faultproxy"

    def setUp(self):
        self.listener = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        self.listener.settimeout(TIMEOUT_S)
        self.forward = "{}:{}".format(*self.listener.getsockname())
        route = {"name": "t1", "zone": "t", "forward": self.forward}
        self.start(routes=[route], control={"sources": SOURCES})
        self.routes = self.addresses["routes"]

    def rules(self, *rules):
        self.control(rules=list(rules))

    def connect(self, host=SOURCE_A, route="t1"):
        address = parse_address(self.routes[route])
        sock = socket.create_connection(address, TIMEOUT_S, source_address=(host, 0))
        return self.enterContext(sock)

    def pair(self, host=SOURCE_A, route="t1"):
        source = self.connect(host, route)
        target, address = self.listener.accept()
        self.enterContext(target).settimeout(TIMEOUT_S)
        self.assertEqual(address[0], host)
        return Pair(source, target)

    def assert_passes(self, pair):
        for sender, receiver in (
            (pair.source, pair.target),
            (pair.target, pair.source),
        ):
            sender.sendall(b"hello")
            self.assertEqual(self.read(receiver, 5), b"hello")

    def read(self, sock, size_bytes):
        """Read ``size_bytes`` bytes, or fewer if the stream ends earlier."""
        got = bytearray()
        while len(got) < size_bytes and (data := sock.recv(size_bytes - len(got))):
            got += data
        return bytes(got)

    def assert_reset(self, sock):
        with self.assertRaises(ConnectionResetError):
            sock.recv(1)

    def wait_read(self, direction, size_bytes):
        wait_until(
            lambda: any(
                connection["read_bytes"].get(direction) == size_bytes
                for connection in self.stats()["connections"]
            ),
            f"{size_bytes} bytes read {direction}",
        )

    def assert_nothing_arrives(self, sock):
        # The proxy handles this call only after its other tasks have run.
        self.stats()
        sock.setblocking(False)
        with self.assertRaises(BlockingIOError):
            sock.recv(1)
        sock.settimeout(TIMEOUT_S)

    def wait_causes(self, *causes):
        wait_until(
            lambda: [line["cause"] for line in self.logged("close")] == list(causes),
            f"connections closed: {causes}",
        )

    def test_passes_bytes_and_half_closed_streams(self):
        pair = self.pair()
        self.assert_passes(pair)
        pair.source.shutdown(socket.SHUT_WR)
        self.assertEqual(pair.target.recv(1), b"")
        pair.target.sendall(b"rest")
        pair.target.close()
        self.assertEqual(self.read(pair.source, 9), b"rest")
        self.wait_causes("ended")

    def test_cut_covers_just_the_matching_sources(self):
        cut, other = self.pair(SOURCE_A), self.pair(SOURCE_B)
        self.rules({"source_zone": "a", "route_zone": "t", "action": {"type": "cut"}})
        self.assert_reset(cut.source)
        self.assert_reset(cut.target)
        self.assert_reset(self.connect(SOURCE_A))
        self.assert_passes(other)
        self.assert_passes(self.pair(SOURCE_B))
        self.assert_passes(self.pair("127.3.0.1"))
        self.rules()
        self.assert_passes(self.pair(SOURCE_A))

    def test_globs_over_names(self):
        for rule, cut in (
            ({"source": "a*"}, True),
            ({"source": "b1", "route": "*"}, False),
            ({"route": "t?"}, True),
            ({"route": "u*"}, False),
        ):
            pair = self.pair(SOURCE_A)
            self.rules({**rule, "action": {"type": "cut"}})
            if cut:
                self.assert_reset(pair.source)
            else:
                self.assert_passes(pair)
            self.rules()

    def test_blackhole_holds_back_until_lifted(self):
        pair = self.pair()
        self.rules({"action": {"type": "blackhole"}})
        pair.source.sendall(b"there")
        pair.target.sendall(b"back")
        self.wait_read("to_source", 4)
        self.assert_nothing_arrives(pair.source)
        self.wait_read("to_target", 5)
        self.assert_nothing_arrives(pair.target)
        self.rules()
        self.assertEqual(self.read(pair.target, 5), b"there")
        self.assertEqual(self.read(pair.source, 4), b"back")

    def test_blackhole_of_one_way(self):
        pair = self.pair()
        self.rules({"action": {"type": "blackhole", "direction": "to_source"}})
        pair.source.sendall(b"there")
        self.assertEqual(self.read(pair.target, 5), b"there")
        pair.target.sendall(b"back")
        self.wait_read("to_source", 4)
        self.assert_nothing_arrives(pair.source)
        self.rules()
        self.assertEqual(self.read(pair.source, 4), b"back")

    def test_new_connection_in_a_blackhole_reaches_the_target_later(self):
        self.rules({"action": {"type": "blackhole"}})
        source = self.connect()
        source.sendall(b"early")
        wait_until(lambda: self.stats()["connections"], "the accepted connection")
        self.listener.setblocking(False)
        with self.assertRaises(BlockingIOError):
            self.listener.accept()
        self.listener.settimeout(TIMEOUT_S)
        self.rules()
        target, _ = self.listener.accept()
        self.assertEqual(self.read(self.enterContext(target), 5), b"early")

    def test_cut_ends_a_connection_in_a_blackhole(self):
        blackhole = {"action": {"type": "blackhole"}}
        self.rules(blackhole)
        source = self.connect()
        wait_until(lambda: self.stats()["connections"], "the accepted connection")
        self.rules(blackhole, {"action": {"type": "cut"}})
        self.assert_reset(source)
        self.wait_causes("cut")

    def test_delay_delivers_later_in_order(self):
        pair = self.pair()
        self.rules({"action": {"type": "delay", "delay_ms": 3_600_000}})
        pair.source.sendall(b"late")
        self.wait_read("to_target", 4)
        self.assert_nothing_arrives(pair.target)
        # Bytes in transit keep their due time; the new delay applies to new
        # connections.
        self.rules({"action": {"type": "delay", "delay_ms": 1}})
        self.assert_passes(self.pair())
        self.assert_nothing_arrives(pair.target)

    def test_lost_bytes_come_later(self):
        pair = self.pair()
        loss = {"type": "loss", "share": 1.0, "repeat_ms": 3_600_000}
        self.rules({"action": loss})
        pair.source.sendall(b"late")
        self.wait_read("to_target", 4)
        self.assert_nothing_arrives(pair.target)
        self.rules({"action": {**loss, "share": 0.0}})
        self.assert_passes(self.pair())

    def test_dropped_answer_closes_after_the_request_arrived(self):
        self.rules({"action": {"type": "drop_answers"}})
        pair = self.pair()
        pair.source.sendall(b"write")
        self.assertEqual(self.read(pair.target, 5), b"write")
        pair.target.sendall(b"done")
        self.assertEqual(pair.source.recv(1), b"")
        self.wait_causes("answer dropped")

    def test_close_after_bytes_cuts_a_message_short(self):
        limit = {
            "type": "close_after_bytes",
            "limit_bytes": 7,
            "direction": "to_target",
        }
        pair = self.pair()
        self.rules({"action": limit})
        self.assert_passes(pair)
        self.rules({"action": limit}, {"source": "x", "action": {"type": "cut"}})
        pair.source.sendall(b"abcde")
        self.assertEqual(self.read(pair.target, 5), b"ab")
        self.assertEqual(pair.source.recv(1), b"")

    def test_routes_are_added_and_moved_at_run_time(self):
        old = self.pair()
        moved = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        moved.settimeout(TIMEOUT_S)
        control = self.addresses["control"]
        routes = [
            {"name": "t1", "forward": "{}:{}".format(*moved.getsockname())},
            {"name": "t2", "forward": self.forward},
        ]
        self.routes = call_ok(control, "PUT", "/control/routes", routes)
        self.assertEqual(self.routes["t1"], self.addresses["routes"]["t1"])
        self.assert_passes(self.pair(route="t2"))
        self.assert_passes(old)
        self.connect(route="t1")
        self.enterContext(moved.accept()[0])

    def test_target_that_is_down_resets(self):
        self.listener.close()
        # The reset may arrive before the connect has returned.
        with self.assertRaises(ConnectionResetError):
            self.connect().recv(1)

    def test_large_streams_pass_whole(self):
        pair = self.pair()
        pattern = bytes(range(256)) * 4096
        threading.Thread(target=pair.source.sendall, args=(pattern,)).start()
        self.assertEqual(self.read(pair.target, len(pattern)), pattern)

import itertools
import time
import unittest
from contextlib import ExitStack, contextmanager, suppress
from unittest.mock import patch

import gevent
import gevent.socket
import msgspec
import zmq
from gevent.server import StreamServer

from endivepick.addresses import parse_address
from endivepick.core.peer_envelope import UNKNOWN_KIND
from endivepick.core.peer_messages import HandOverAccepted
from endivepick.daemon import peers
from endivepick.daemon.metrics import DaemonMetrics
from endivepick.daemon.peers import peer_task
from endivepick.settings import parse_settings
from endivepick.timeline.clock import HybridClock

SETTINGS = """{
    instance: {name: "%s", zone: "z"},
    listen: {data_address: "127.0.0.1:0", peer_address: "127.0.0.1:0"},
    platform: {address: "127.0.0.1:1"},
    secrets: {peer_secret_hex: "000102030405060708090a0b0c0d0e0f"},
}"""


@contextmanager
def running(server):
    server.start()
    try:
        yield server
    finally:
        server.stop()


def copy(source, target):
    with suppress(OSError):
        while data := source.recv(4096):
            target.sendall(data)


class TestPeers(unittest.TestCase):
    def setUp(self):
        stack = ExitStack()
        self.addCleanup(stack.close)
        self.received = []
        self.transfer_ids = itertools.count(1)
        self.tasks = [
            stack.enter_context(
                peer_task(
                    parse_settings(SETTINGS % name).unwrap(),
                    number,
                    HybridClock(),
                    self.received.append,
                )
            )
            for number, name in enumerate("abcd")
        ]

    def send_until_received(self, receiver):
        """Send as the core does: what cannot go out now is sent again later.

        The message is a new one, so that all that was sent before it has arrived.
        """
        sender = self.tasks[0]
        message = HandOverAccepted(next(self.transfer_ids))
        with gevent.Timeout(30):
            while message not in [received.message for received in self.received]:
                name, address = receiver._name, receiver.address
                if not sender.send(name, address, message):
                    gevent.sleep(0.01)
                gevent.sleep(0)

    def test_what_cannot_be_read_is_counted_and_ends_nothing(self):
        sender, receiver, *_ = self.tasks
        self.send_until_received(receiver)
        dealer = sender._dealer(receiver._name, receiver.address)
        unknown = msgspec.msgpack.encode(["a", 0, 0, [127, "of a newer build"]])
        for data in (unknown, unknown, b"no envelope", b""):
            dealer.send(data)
        self.send_until_received(receiver)
        self.assertEqual(
            receiver.traffic.dropped, {UNKNOWN_KIND: 2, "malformed_peer_message": 2}
        )
        metrics = DaemonMetrics()
        metrics.set_traffic(receiver.traffic)
        shown = metrics.render([])[0].decode()
        self.assertIn('peer_messages_dropped{reason="unknown_kind"} 2', shown)

    def test_the_connection_unused_for_longest_makes_room(self):
        sender, b, c, d = self.tasks
        with patch.object(peers, "CONNECTIONS_MAX", 2):
            for receiver in (b, c, b, d):
                self.send_until_received(receiver)
                self.assertLessEqual(len(sender._links), 2)
            self.assertEqual(list(sender._links), ["b", "d"])
            self.send_until_received(c)

    def test_heartbeats_do_not_grow_with_the_connections(self):
        sender = self.tasks[0]
        for number in range(200):
            sender.send(
                f"peer-{number}", f"127.0.0.1:{number + 1}", HandOverAccepted(7)
            )
        dealers = [link.dealer for link in sender._links.values()]
        periods_ms = [dealer.heartbeat_ivl for dealer in dealers]
        self.assertEqual(set(periods_ms[:32]), {1000})
        self.assertLess(sum(1000 / period_ms for period_ms in periods_ms), 70)
        self.assertEqual({d.getsockopt(zmq.TCP_MAXRT) for d in dealers}, {3000})

    def test_peer_at_an_address_where_something_else_answered(self):
        sender, receiver = self.tasks[:2]
        other = gevent.socket.socket()
        self.addCleanup(other.close)
        other.bind(("127.0.0.1", 0))
        other.listen()
        host, port = other.getsockname()
        address = f"{host}:{port}"
        sender.send("b", address, HandOverAccepted(7))
        with gevent.Timeout(30):
            connection, _ = other.accept()
            connection.sendall(b"HTTP/1.1 400 Bad Request\r\n\r\n" * 4)
            with suppress(ConnectionResetError):
                while connection.recv(1024):
                    pass
        other.close()
        connection.close()
        settings = parse_settings(
            (SETTINGS % "e").replace(
                'peer_address: "127.0.0.1:0"', f'peer_address: "{address}"'
            )
        ).unwrap()
        late = peer_task(settings, 9, HybridClock(), self.received.append)
        with late, patch.object(peers, "RENEW_AFTER_S", 0.5), gevent.Timeout(30):
            while not self.received:
                sender.send("b", address, HandOverAccepted(7))
                gevent.sleep(0.01)

    def test_a_connection_that_led_nowhere_is_made_anew(self):
        sender, receiver = self.tasks[:2]
        with self.swallowing(1, receiver.address) as address, gevent.Timeout(20):
            while not self.received:
                sender.send("b", address, HandOverAccepted(7))
                gevent.sleep(0.05)

    @contextmanager
    def swallowing(self, count, address):
        """Accept connections: the first ones lead nowhere, the others on."""
        accepted = []

        def handle(client, _):
            accepted.append(client)
            if len(accepted) <= count:
                client.settimeout(None)
                while client.recv(4096):
                    pass
                return
            with gevent.socket.create_connection(parse_address(address)) as target:
                copies = ((client, target), (target, client))
                gevent.joinall([gevent.spawn(copy, *ends) for ends in copies])

        with running(StreamServer(("127.0.0.1", 0), handle)) as server:
            yield f"127.0.0.1:{server.server_port}"
            for client in accepted:
                client.close()

    def test_a_connection_that_nobody_uses_is_closed_and_made_again(self):
        sender, b, c, _ = self.tasks
        for receiver in (b, c):
            self.send_until_received(receiver)
        link = sender._links["b"]
        link.used_s -= peers.IDLE_S
        sender._links = {"b": link, "c": sender._links["c"]}
        sender.close_idle(time.monotonic())
        self.assertEqual(list(sender._links), ["c"])
        self.assertTrue(link.dealer.closed)
        self.send_until_received(b)

    def test_traffic_is_counted_and_shown(self):
        sender, receiver = self.tasks[:2]
        self.send_until_received(receiver)
        sent, received = sender.traffic, receiver.traffic
        with gevent.Timeout(30):
            while received.messages_received < sent.messages_sent:
                gevent.sleep(0.01)
        self.assertEqual(sent.messages_sent, received.messages_received)
        self.assertEqual(sent.bytes_sent, received.bytes_received)
        self.assertGreater(sent.bytes_sent, 0)
        metrics = DaemonMetrics()
        metrics.set_traffic(sent)
        line = f"endivepick_peer_bytes_sent {sent.bytes_sent}\n"
        self.assertIn(line, metrics.render([])[0].decode())


if __name__ == "__main__":
    unittest.main()

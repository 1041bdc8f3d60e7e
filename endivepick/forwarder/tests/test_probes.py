import unittest
from unittest.mock import patch

import gevent
from gevent import socket
from gevent.server import StreamServer

from endivepick.forwarder import probes
from endivepick.forwarder.ports import TargetIdentity
from endivepick.forwarder.probes import probe_target
from endivepick.forwarding import (
    ForwardingSettings,
    ProbeOutcome,
    ProbeTarget,
    Target,
)

SETTINGS = ForwardingSettings(zone="a", probe_timeouts_s=(5.0, 5.0))


class Dialect:
    """Reads answers whose body is the time of start."""

    identity_header = b"x-instance-id"

    def read_health(self, header, body):
        return TargetIdentity(header, int(body or 0))


def probe_result(port):
    """Probe the target i-1, started at 5, at a port of this machine."""
    results = []
    target = Target("i-1", 1, "notes", "127.0.0.1", port, "a", 2, born_ms=5)
    probe_target(ProbeTarget(target, "/health"), Dialect(), SETTINGS, results.append)
    (result,) = results
    return result


def probe(port):
    return probe_result(port).outcome


class TestProbeTarget(unittest.TestCase):
    def serve(self, answer):
        server = StreamServer(("127.0.0.1", 0), answer)
        server.start()
        self.addCleanup(server.stop)
        return server.server_port

    def answer_as(self, name, status="200 OK", body="", length=None):
        length = len(body) if length is None else length
        head = (
            f"HTTP/1.1 {status}\r\nX-Instance-Id: {name}\r\n"
            f"Content-Length: {length}\r\n\r\n"
        )
        answer = (head + body).encode()
        return self.serve(lambda connection, _: connection.sendall(answer))

    def test_a_target_that_answers_as_itself_lives(self):
        self.assertIs(probe(self.answer_as("i-1")), ProbeOutcome.ALIVE)

    def test_a_target_that_says_it_is_ill_lives(self):
        port = self.answer_as("i-1", "503 Service Unavailable")
        self.assertIs(probe(port), ProbeOutcome.ALIVE)

    def test_another_incarnation_at_the_address_replaced_it(self):
        self.assertIs(probe(self.answer_as("i-2")), ProbeOutcome.REPLACED)

    def test_an_answer_shows_which_incarnation_gave_it(self):
        result = probe_result(self.answer_as("i-1", body="7"))
        self.assertEqual((result.probed_born_ms, result.shown_born_ms), (5, 7))

    def test_an_answer_without_an_end_still_says_who_gave_it(self):
        result = probe_result(self.answer_as("i-2", body="7", length=9))
        self.assertIs(result.outcome, ProbeOutcome.REPLACED)
        result = probe_result(self.answer_as("i-1", body="7", length=9))
        self.assertEqual(result.shown_born_ms, 7)

    def test_a_refused_connection_is_told_from_a_silent_one(self):
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            port = holder.getsockname()[1]
            self.assertIs(probe(port), ProbeOutcome.REFUSED)

    def test_silence_needs_all_attempts(self):
        with patch.object(
            probes.socket, "create_connection", side_effect=TimeoutError
        ) as connect:
            self.assertIs(probe(1), ProbeOutcome.SILENT)
        self.assertEqual(connect.call_count, len(SETTINGS.probe_timeouts_s))

    def test_one_lost_packet_does_not_make_a_target_silent(self):
        port = self.answer_as("i-1")
        real = socket.create_connection
        first_lost = [TimeoutError, real(("127.0.0.1", port))]
        with patch.object(probes.socket, "create_connection", side_effect=first_lost):
            self.assertIs(probe(port), ProbeOutcome.ALIVE)

    def test_a_target_too_busy_to_answer_lives(self):
        port = self.serve(lambda _connection, _: gevent.sleep(60))
        with patch.object(probes, "ANSWER_TIMEOUT_S", 0.01):
            self.assertIs(probe(port), ProbeOutcome.ALIVE)

import errno
import os
import time
import unittest
from unittest.mock import patch

import gevent
from gevent import socket
from gevent.server import StreamServer

from endivepick.clock import steady_now_s
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
    """Decodes answers whose body is the start time of the target."""

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

    def test_target_with_its_own_name_is_alive(self):
        self.assertIs(probe(self.answer_as("i-1")), ProbeOutcome.ALIVE)

    def test_unhealthy_target_is_alive(self):
        port = self.answer_as("i-1", "503 Service Unavailable")
        self.assertIs(probe(port), ProbeOutcome.ALIVE)

    def test_other_name_at_the_address_is_a_replacement(self):
        self.assertIs(probe(self.answer_as("i-2")), ProbeOutcome.REPLACED)

    def test_answer_contains_the_start_time(self):
        result = probe_result(self.answer_as("i-1", body="7"))
        self.assertEqual((result.probed_born_ms, result.shown_born_ms), (5, 7))

    def test_incomplete_answer_identifies_the_target(self):
        result = probe_result(self.answer_as("i-2", body="7", length=9))
        self.assertIs(result.outcome, ProbeOutcome.REPLACED)
        result = probe_result(self.answer_as("i-1", body="7", length=9))
        self.assertEqual(result.shown_born_ms, 7)

    def test_refused_connection_is_distinguished_from_silence(self):
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            port = holder.getsockname()[1]
            self.assertIs(probe(port), ProbeOutcome.REFUSED)

    def test_silence_requires_all_attempts(self):
        with patch.object(
            probes.socket, "create_connection", side_effect=TimeoutError
        ) as connect:
            self.assertIs(probe(1), ProbeOutcome.SILENT)
        self.assertEqual(connect.call_count, len(SETTINGS.probe_timeouts_s))

    def test_missing_local_resources_say_nothing_of_the_target(self):
        # Guards against resets of flows by an instance without free descriptors.
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL):
            error = OSError(number, os.strerror(number))
            with (
                self.subTest(error),
                patch.object(probes.socket, "create_connection", side_effect=error),
            ):
                self.assertIs(probe(1), ProbeOutcome.NOT_MADE)

    def test_unreachable_network_is_silence(self):
        error = OSError(errno.EHOSTUNREACH, os.strerror(errno.EHOSTUNREACH))
        with patch.object(probes.socket, "create_connection", side_effect=error):
            self.assertIs(probe(1), ProbeOutcome.SILENT)

    def test_one_lost_packet_does_not_make_a_target_silent(self):
        port = self.answer_as("i-1")
        real = socket.create_connection
        first_lost = [TimeoutError, real(("127.0.0.1", port))]
        with patch.object(probes.socket, "create_connection", side_effect=first_lost):
            self.assertIs(probe(port), ProbeOutcome.ALIVE)

    def test_target_too_busy_to_answer_is_alive(self):
        port = self.serve(lambda _connection, _: gevent.sleep(60))
        with patch.object(probes, "ANSWER_TIMEOUT_S", 0.01):
            self.assertIs(probe(port), ProbeOutcome.ALIVE)


class TestComparedWithAnother(unittest.TestCase):
    """A suspected target is compared with one whose answers were just acknowledged."""

    SUSPECT, CONTROL = 7001, 7002
    settings = ForwardingSettings(
        zone="a", probe_timeouts_s=(0.02, 2.0), probe_compared_s=0.1
    )

    def probe(self, suspect, control):
        """Return outcome and duration; each target is given by a delay or an error."""
        behaviours = {self.SUSPECT: suspect, self.CONTROL: control}

        def connect(address):
            behaviour = behaviours[address[1]]
            if isinstance(behaviour, Exception):
                raise behaviour
            gevent.sleep(behaviour)
            connection, self.other = socket.socketpair()
            self.other.close()
            return connection

        results = []
        targets = [
            Target(f"i-{port}", 1, "notes", "127.0.0.1", port, "a", 2)
            for port in (self.SUSPECT, self.CONTROL)
        ]
        began_s = steady_now_s()
        with patch.object(probes.socket, "create_connection", side_effect=connect):
            probe_target(
                ProbeTarget(targets[0], "/health", targets[1]),
                Dialect(),
                self.settings,
                results.append,
            )
        return results[0].outcome, steady_now_s() - began_s

    def test_silent_target_is_detected_soon_when_the_other_answers(self):
        outcome, took_s = self.probe(suspect=60.0, control=0.0)
        self.assertIs(outcome, ProbeOutcome.SILENT)
        self.assertLess(took_s, 1.0)

    def test_refusal_by_the_other_counts_as_an_answer(self):
        outcome, took_s = self.probe(60.0, ConnectionRefusedError())
        self.assertIs(outcome, ProbeOutcome.SILENT)
        self.assertLess(took_s, 1.0)

    def test_saturated_link_extends_the_wait(self):
        for control in (0.6, 0.3):
            outcome, _ = self.probe(suspect=0.5, control=control)
            self.assertIs(outcome, ProbeOutcome.ALIVE)

    def test_answers_received_during_a_pause_are_read(self):
        stood_still = gevent.spawn_later(0.06, time.sleep, 0.3)
        outcome, _ = self.probe(suspect=0.08, control=0.07)
        stood_still.join()
        self.assertIs(outcome, ProbeOutcome.ALIVE)

    def test_full_timeout_without_any_answer(self):
        outcome, took_s = self.probe(60.0, 60.0)
        self.assertIs(outcome, ProbeOutcome.SILENT)
        self.assertGreater(took_s, 1.9)

    def test_target_has_its_minimum_wait_when_the_other_answers_at_once(self):
        outcome, _ = self.probe(suspect=0.06, control=0.0)
        self.assertIs(outcome, ProbeOutcome.ALIVE)

    def test_missing_local_resources_are_no_answer_of_the_other(self):
        error = OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        outcome, took_s = self.probe(60.0, error)
        self.assertIs(outcome, ProbeOutcome.SILENT)
        self.assertGreater(took_s, 1.9)

    def test_refusal_by_the_target_is_delivered(self):
        outcome, _ = self.probe(ConnectionRefusedError(), 0.0)
        self.assertIs(outcome, ProbeOutcome.REFUSED)

"""The caller library over a real socket, against the fake owner."""

import io
import unittest
from contextlib import redirect_stderr, redirect_stdout

import gevent
from gevent import socket
from returns.pipeline import is_successful

from endivepick.cli.exit_codes import ExitCode
from endivepick.client import (
    CallerSettings,
    NotRun,
    OpenTimedOut,
    OutcomeUnknown,
    open_caller,
)
from endivepick.client.command import call, stream
from endivepick.client.tests.fake_owner import FakeOwner
from endivepick.core.messages import Cancel, FlowClosed
from endivepick.core.packet_codec import decode_caller_packet, encode_packet

WAIT_S = 30.0


class OwnerServer:
    """Serves a fake owner on a port of the system's choice."""

    def __init__(self, owner):
        self.owner = owner
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self._greenlet = gevent.spawn(self._serve)

    def _serve(self):
        while True:
            datagram, caller = self.socket.recvfrom(2048)
            for packet in self.owner.on_packet(decode_caller_packet(datagram)):
                self.socket.sendto(encode_packet(packet), caller)

    def close(self):
        self._greenlet.kill()
        self.socket.close()


class TestCaller(unittest.TestCase):
    def setUp(self):
        self.owner = FakeOwner()
        server = OwnerServer(self.owner)
        self.addCleanup(server.close)
        self.settings = CallerSettings(fabric_address=server.address)

    def _wait_for(self, kind):
        with gevent.Timeout(WAIT_S):
            while not self.owner.sent(kind):
                gevent.sleep(0.01)

    def test_request_is_answered(self):
        with open_caller(self.settings) as caller:
            flow = caller.open("notes", deadline_s=WAIT_S).unwrap()
            answer = flow.request("POST", "/notes", body=b"abc", deadline_s=WAIT_S)
            self.assertEqual(answer.unwrap().body, b"cba")
            self.assertEqual(answer.unwrap().status, 200)
        self._wait_for(FlowClosed)

    def test_killed_task_cancels_its_request(self):
        with open_caller(self.settings) as caller:
            flow = caller.open("notes", deadline_s=WAIT_S).unwrap()
            self.owner.silent = True
            task = gevent.spawn(flow.request, deadline_s=WAIT_S)
            gevent.sleep(0)
            task.kill()
            self._wait_for(Cancel)

    def test_stream_yields_its_events_and_can_be_closed(self):
        self.owner.body = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
        with open_caller(self.settings) as caller:
            flow = caller.open("alerts", deadline_s=WAIT_S).unwrap()
            stream = flow.stream("/events")
            events = [next(stream), next(stream)]
            stream.close()
            with self.assertRaises(OutcomeUnknown):
                next(stream)
        self.assertEqual([event.data for event in events], ["one", "two"])
        self.assertEqual(events[1].event_id, "2")

    def test_open_times_out_when_nobody_answers(self):
        self.owner.silent = True
        with open_caller(self.settings) as caller:
            result = caller.open("notes", deadline_s=0.2)
        self.assertFalse(is_successful(result))
        self.assertIsInstance(result.failure(), OpenTimedOut)

    def test_request_on_a_closed_caller_is_not_run(self):
        with open_caller(self.settings) as caller:
            flow = caller.open("notes", deadline_s=WAIT_S).unwrap()
        self.assertIsInstance(flow.request().failure(), NotRun)


class TestCommand(unittest.TestCase):
    def setUp(self):
        self.owner = FakeOwner()
        server = OwnerServer(self.owner)
        self.addCleanup(server.close)
        self.fabric = server.address

    def _call(self, **arguments):
        out, err = io.StringIO(), io.StringIO()
        with redirect_stdout(out), redirect_stderr(err):
            code = call("notes", fabric=self.fabric, **arguments)
        return code, out.getvalue(), err.getvalue()

    def test_answer_is_printed(self):
        code, out, _ = self._call(method="POST", body="abc", deadline_s=WAIT_S)
        self.assertEqual((code, out), (ExitCode.OK, "cba\n"))

    def test_failure_to_open_has_its_code_and_remedy(self):
        self.owner.silent = True
        code, _, err = self._call(deadline_s=0.1)
        self.assertEqual(code, ExitCode.NOT_OPENED)
        self.assertIn("Check the fabric's address", err)

    def test_header_without_colon_is_a_usage_error(self):
        code, _, err = self._call(header="Accept")
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("Name: value", err)

    def test_events_are_printed_up_to_the_limit(self):
        self.owner.body = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
        out = io.StringIO()
        with redirect_stdout(out):
            code = stream("alerts", "/events", events=1, fabric=self.fabric)
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(out.getvalue().count("\n"), 1)


if __name__ == "__main__":
    unittest.main()

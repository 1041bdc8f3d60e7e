import unittest

import gevent
import gevent.event

from endivepick.core.actions import CancelAttempt, StartAttempt
from endivepick.core.dispatch import FinishKind
from endivepick.core.messages import RequestHead
from endivepick.daemon.targets import target_tasks
from endivepick.settings import parse_settings

WAIT_S = 10
SETTINGS = parse_settings(
    """{
    instance: {name: "entry-1", zone: "fukuoka"},
    listen: {data_address: "127.0.0.1:0", peer_address: "127.0.0.1:0"},
    platform: {address: "127.0.0.1:1"},
    secrets: {peer_secret_hex: "000102030405060708090a0b0c0d0e0f"},
    }"""
).unwrap()


START = StartAttempt(
    request_id=(1, 1, 1),
    attempt=1,
    service="notes",
    target="t0",
    target_incarnation=7,
    address="127.0.0.1:1",
    head=RequestHead("POST", "/work", [], b""),
    idempotency_key="key",
    idempotent=False,
    timeout_s=WAIT_S,
    last_event_id="",
)
CANCEL = CancelAttempt(START.request_id, START.attempt)


class TestCancel(unittest.TestCase):
    """A cancelled attempt reports its end exactly once; otherwise its slot leaks."""

    def setUp(self):
        self.events = []
        self.block = None
        self.tasks = self.enterContext(target_tasks(SETTINGS, self.deliver))

    def deliver(self, event):
        if self.block is not None:
            self.block.wait()
        self.events.append(event)

    def assert_single_report(self):
        with gevent.Timeout(WAIT_S):
            while not self.events:
                gevent.sleep(0.01)
        self.assertEqual([e.kind for e in self.events], [FinishKind.CANCELLED])

    def test_cancel_before_start(self):
        self.tasks.start(START)
        self.tasks.cancel(CANCEL)
        self.assert_single_report()

    def test_cancel_while_the_report_is_blocked(self):
        self.block = gevent.event.Event()
        self.tasks.start(START)
        gevent.idle()
        self.tasks.cancel(CANCEL)
        gevent.idle()
        self.block.set()
        self.assert_single_report()


if __name__ == "__main__":
    unittest.main()

import unittest
from types import SimpleNamespace

from endivepick.core.events import CallerDatagram, InstancesListed, PeerMessage
from endivepick.core.peer_messages import InFlightReport, RelayedPacket
from endivepick.daemon.core_loop import (
    BUSY_S,
    BUSY_TICK_S,
    IDLE_TICK_S,
    CoreLoop,
)

CALLER = ("127.0.0.1", 4000)


class FixedClock:
    def __init__(self):
        self.time_s = 1000.0

    def now_s(self):
        return self.time_s


class CoreLoopTest(unittest.TestCase):
    def setUp(self):
        self.clock = FixedClock()
        self.lifecycle = SimpleNamespace(ready=True)
        core = SimpleNamespace(lifecycle=self.lifecycle, handle=lambda *_: [])
        self.loop = CoreLoop(core, self.clock)

    def take(self, event):
        performer = SimpleNamespace(finished=None)
        performer.perform = lambda _: setattr(performer, "finished", True)
        self.loop.deliver(event)
        self.loop.run(performer)

    def test_ticks_come_more_often_while_there_are_requests(self):
        self.assertEqual(self.loop.tick_s, IDLE_TICK_S)
        relayed = PeerMessage("b", 1, RelayedPacket(CALLER, 1, b""))
        for event in (CallerDatagram(CALLER, b""), relayed):
            self.take(event)
            self.assertEqual(self.loop.tick_s, BUSY_TICK_S)
            self.clock.time_s += BUSY_S
            self.assertEqual(self.loop.tick_s, IDLE_TICK_S)

    def test_control_does_not_count_as_work(self):
        for event in (
            InstancesListed((), 0.0),
            PeerMessage("b", 1, InFlightReport("notes", {})),
        ):
            self.take(event)
            self.assertEqual(self.loop.tick_s, IDLE_TICK_S)

    def test_start_and_stop_are_not_slowed_down(self):
        self.lifecycle.ready = False
        self.assertEqual(self.loop.tick_s, BUSY_TICK_S)

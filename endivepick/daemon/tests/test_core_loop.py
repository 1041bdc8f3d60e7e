import unittest
from contextlib import ExitStack
from types import SimpleNamespace
from unittest import mock

from endivepick.core.events import (
    CallerDatagram,
    InstancesListed,
    PeerMessage,
    Tick,
)
from endivepick.core.peer_messages import InFlightReport, RelayedPacket
from endivepick.daemon.core_loop import (
    BUSY_S,
    BUSY_TICK_S,
    IDLE_TICK_S,
    INBOX_EVENTS,
    QUIESCENT_TICK_S,
    CoreLoop,
)

CALLER = ("127.0.0.1", 4000)


class FixedClock:
    def __init__(self):
        self.time_s = 1000.0

    def now_s(self):
        return self.time_s


class LoopTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = FixedClock()
        self.lifecycle = SimpleNamespace(ready=True)
        self.taken = []
        self.core = SimpleNamespace(
            lifecycle=self.lifecycle,
            quiescent=False,
            handle=lambda event, _: self.taken.append(event) or [],
        )
        self.loop = CoreLoop(self.core, self.clock)

    def take(self, event):
        self.loop.deliver(event)
        self.run_once()

    def run_once(self):
        performer = SimpleNamespace(finished=None)
        performer.perform = lambda _: setattr(performer, "finished", True)
        self.loop.run(performer)


class CoreLoopTest(LoopTestCase):
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

    def test_quiescent_core_gets_fewer_ticks(self):
        self.core.quiescent = True
        self.assertEqual(self.loop.tick_s, QUIESCENT_TICK_S)
        self.take(CallerDatagram(CALLER, b""))
        self.assertEqual(self.loop.tick_s, BUSY_TICK_S)
        self.clock.time_s += BUSY_S
        self.assertEqual(self.loop.tick_s, QUIESCENT_TICK_S)
        self.lifecycle.ready = False
        self.assertEqual(self.loop.tick_s, BUSY_TICK_S)


class FakeTimers:
    """Event loop of which a test lets the timer fire."""

    def __init__(self):
        self.loop = self
        self.open = []

    def timer(self, after_s, repeat_s):
        timer = SimpleNamespace(after_s=after_s, repeat_s=repeat_s)
        timer.start = lambda callback: setattr(timer, "fire", callback)
        timer.close = lambda: self.open.remove(timer)
        self.open.append(timer)
        return timer


class TickingTest(LoopTestCase):
    def setUp(self):
        super().setUp()
        self.timers = FakeTimers()
        hub = mock.patch("endivepick.daemon.core_loop.gevent.get_hub")
        self.enterContext(hub).return_value = self.timers
        self.core.quiescent = True
        self.ticking = self.enterContext(ExitStack())
        self.ticking.enter_context(self.loop.ticking())

    def period_s(self):
        [timer] = self.timers.open
        return timer.repeat_s

    def test_first_tick_comes_at_once_and_others_with_the_timer(self):
        self.assertEqual(self.period_s(), QUIESCENT_TICK_S)
        self.run_once()
        self.timers.open[0].fire()
        self.run_once()
        self.assertEqual(self.taken, [Tick(), Tick()])

    def test_first_request_has_the_next_tick_come_soon(self):
        self.run_once()
        self.take(CallerDatagram(CALLER, b""))
        self.assertEqual(self.period_s(), BUSY_TICK_S)
        self.take(Tick())
        self.assertEqual(self.period_s(), BUSY_TICK_S)
        self.clock.time_s += BUSY_S
        self.take(Tick())
        self.assertEqual(self.period_s(), QUIESCENT_TICK_S)

    def test_period_follows_what_the_core_awaits(self):
        self.run_once()
        for quiescent, period_s in ((False, IDLE_TICK_S), (True, QUIESCENT_TICK_S)):
            self.core.quiescent = quiescent
            self.take(InstancesListed((), 0.0))
            self.assertEqual(self.period_s(), period_s)

    def test_tick_is_not_put_off_by_periods_that_change(self):
        self.run_once()
        waited_s, step_s = 0.0, IDLE_TICK_S / 2
        while self.timers.open[0].after_s > step_s:
            self.clock.time_s += step_s
            waited_s += step_s
            self.core.quiescent = not self.core.quiescent
            self.take(InstancesListed((), 0.0))
            self.assertLessEqual(waited_s, QUIESCENT_TICK_S)

    def test_timer_runs_on_while_the_period_stays(self):
        self.run_once()
        [timer] = self.timers.open
        self.take(InstancesListed((), 0.0))
        self.assertIs(self.timers.open[0], timer)

    def test_full_inbox_does_not_hold_the_event_loop_up(self):
        for _ in range(INBOX_EVENTS - 1):
            self.loop.deliver(Tick())
        self.timers.open[0].fire()
        self.run_once()
        self.timers.open[0].fire()
        self.assertEqual(len(self.taken), 1)

    def test_timer_ends_with_the_context(self):
        self.ticking.close()
        self.assertEqual(self.timers.open, [])


if __name__ == "__main__":
    unittest.main()

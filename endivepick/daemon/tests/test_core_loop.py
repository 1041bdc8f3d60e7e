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
    BUSY_DURATION_S,
    BUSY_TICK_S,
    IDLE_TICK_S,
    INBOX_EVENTS_MAX,
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
        self.handled_events = []
        self.core = SimpleNamespace(
            lifecycle=self.lifecycle,
            quiescent=False,
            handle=lambda event, _: self.handled_events.append(event) or [],
        )
        self.loop = CoreLoop(self.core, self.clock)

    def deliver_and_run(self, event):
        self.loop.deliver(event)
        self.run_once()

    def run_once(self):
        executor = SimpleNamespace(stop_finished=None)
        executor.execute = lambda _: setattr(executor, "stop_finished", True)
        self.loop.run(executor)


class CoreLoopTest(LoopTestCase):
    def test_requests_shorten_the_tick_period(self):
        self.assertEqual(self.loop.tick_period_s, IDLE_TICK_S)
        relayed = PeerMessage("b", 1, RelayedPacket(CALLER, 1, b""))
        for event in (CallerDatagram(CALLER, b""), relayed):
            self.deliver_and_run(event)
            self.assertEqual(self.loop.tick_period_s, BUSY_TICK_S)
            self.clock.time_s += BUSY_DURATION_S
            self.assertEqual(self.loop.tick_period_s, IDLE_TICK_S)

    def test_control_events_do_not_shorten_the_tick_period(self):
        for event in (
            InstancesListed((), 0.0),
            PeerMessage("b", 1, InFlightReport("notes", {})),
        ):
            self.deliver_and_run(event)
            self.assertEqual(self.loop.tick_period_s, IDLE_TICK_S)

    def test_busy_tick_period_during_start_and_stop(self):
        self.lifecycle.ready = False
        self.assertEqual(self.loop.tick_period_s, BUSY_TICK_S)

    def test_quiescent_core_has_a_longer_tick_period(self):
        self.core.quiescent = True
        self.assertEqual(self.loop.tick_period_s, QUIESCENT_TICK_S)
        self.deliver_and_run(CallerDatagram(CALLER, b""))
        self.assertEqual(self.loop.tick_period_s, BUSY_TICK_S)
        self.clock.time_s += BUSY_DURATION_S
        self.assertEqual(self.loop.tick_period_s, QUIESCENT_TICK_S)
        self.lifecycle.ready = False
        self.assertEqual(self.loop.tick_period_s, BUSY_TICK_S)


class FakeTimers:
    """Event loop whose timers are fired by the test."""

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
        self.ticking.enter_context(self.loop.run_ticks())

    def period_s(self):
        [timer] = self.timers.open
        return timer.repeat_s

    def test_first_tick_is_immediate_and_others_come_from_the_timer(self):
        self.assertEqual(self.period_s(), QUIESCENT_TICK_S)
        self.run_once()
        self.timers.open[0].fire()
        self.run_once()
        self.assertEqual(self.handled_events, [Tick(), Tick()])

    def test_first_request_shortens_the_timer_period(self):
        self.run_once()
        self.deliver_and_run(CallerDatagram(CALLER, b""))
        self.assertEqual(self.period_s(), BUSY_TICK_S)
        self.deliver_and_run(Tick())
        self.assertEqual(self.period_s(), BUSY_TICK_S)
        self.clock.time_s += BUSY_DURATION_S
        self.deliver_and_run(Tick())
        self.assertEqual(self.period_s(), QUIESCENT_TICK_S)

    def test_timer_period_follows_quiescence(self):
        self.run_once()
        for quiescent, period_s in ((False, IDLE_TICK_S), (True, QUIESCENT_TICK_S)):
            self.core.quiescent = quiescent
            self.deliver_and_run(InstancesListed((), 0.0))
            self.assertEqual(self.period_s(), period_s)

    def test_period_changes_do_not_delay_ticks(self):
        self.run_once()
        waited_s, step_s = 0.0, IDLE_TICK_S / 2
        while self.timers.open[0].after_s > step_s:
            self.clock.time_s += step_s
            waited_s += step_s
            self.core.quiescent = not self.core.quiescent
            self.deliver_and_run(InstancesListed((), 0.0))
            self.assertLessEqual(waited_s, QUIESCENT_TICK_S)

    def test_timer_is_kept_while_the_period_is_unchanged(self):
        self.run_once()
        [timer] = self.timers.open
        self.deliver_and_run(InstancesListed((), 0.0))
        self.assertIs(self.timers.open[0], timer)

    def test_full_inbox_does_not_block_the_event_loop(self):
        for _ in range(INBOX_EVENTS_MAX - 1):
            self.loop.deliver(Tick())
        self.timers.open[0].fire()
        self.run_once()
        self.timers.open[0].fire()
        self.assertEqual(len(self.handled_events), 1)

    def test_timer_is_closed_with_the_context(self):
        self.ticking.close()
        self.assertEqual(self.timers.open, [])


if __name__ == "__main__":
    unittest.main()

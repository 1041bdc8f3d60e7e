"""Task that owns the decision core and handles events one at a time."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from gevent.queue import Queue

from endivepick.core.events import (
    AttemptAnswered,
    AttemptFailed,
    CallerDatagram,
    Event,
    PeerMessage,
    StreamData,
    StreamEnded,
    StreamOpened,
    Tick,
)
from endivepick.core.instance import InstanceCore
from endivepick.core.peer_messages import HandOver, RelayedPacket
from endivepick.daemon.action_executor import ActionExecutor

__all__ = ["CoreLoop", "MonotonicClock"]

INBOX_EVENTS_MAX = 512
"""Capacity of the event queue; a full queue blocks the socket tasks."""
BUSY_TICK_S = 0.05
IDLE_TICK_S = 0.1
"""Tick period without requests, when a wake-up costs more than the work it does."""
QUIESCENT_TICK_S = 0.25
"""Tick period while the core is quiescent; its periodic work is not due more often."""
BUSY_DURATION_S = 1.0
"""Time after the last request event for which the busy tick period applies."""
_REQUEST_EVENTS = (
    AttemptAnswered,
    AttemptFailed,
    CallerDatagram,
    StreamData,
    StreamEnded,
    StreamOpened,
)
_REQUEST_MESSAGES = (HandOver, RelayedPacket)


class MonotonicClock:
    """Seconds since the epoch that never decrease when the wall clock is set back."""

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_s(self) -> float:
        """Return the current time."""
        return time.monotonic() + self._offset_s


class CoreLoop:
    """Queues events for the core and delivers periodic ticks.

    Parameters
    ----------
    core : InstanceCore
        The decision core.
    clock : MonotonicClock
        Source of the time passed to the core.
    """

    def __init__(self, core: InstanceCore, clock: MonotonicClock) -> None:
        self.core = core
        self._clock = clock
        self._inbox: Queue[Event] = Queue(maxsize=INBOX_EVENTS_MAX)
        self._priority_inbox: Queue[Event] = Queue()
        self._busy_until_s = 0.0
        self._timer: Any = None
        self._timer_period_s = 0.0
        self._last_tick_s = clock.now_s()

    @property
    def tick_period_s(self) -> float:
        """Current time between two ticks, in seconds."""
        if self._clock.now_s() < self._busy_until_s or not self.core.lifecycle.ready:
            return BUSY_TICK_S
        return QUIESCENT_TICK_S if self.core.quiescent else IDLE_TICK_S

    def deliver(self, event: Event) -> None:
        """Queue an event from a socket task; block while the inbox is full."""
        self._inbox.put(event)

    def deliver_nowait(self, event: Event) -> None:
        """Queue an event without blocking.

        It is handled before the events of the inbox, at the latest after the next
        tick.
        """
        self._priority_inbox.put(event)

    def run(self, executor: ActionExecutor) -> None:
        """Handle events until the planned stop has finished."""
        while executor.stop_finished is None:
            event = self._next_event()
            now_s = self._clock.now_s()
            executor.execute(self.core.handle(event, now_s))
            if _is_request_event(event):
                self._busy_until_s = now_s + BUSY_DURATION_S
                self._set_timer(BUSY_TICK_S)
            else:
                self._set_timer(self.tick_period_s)

    def _next_event(self) -> Event:
        if not self._priority_inbox.empty():
            return self._priority_inbox.get()
        return self._inbox.get()

    @contextmanager
    def run_ticks(self) -> Iterator[None]:
        """Deliver ticks to the core while the context is open."""
        self._put_tick()
        self._set_timer(self.tick_period_s)
        try:
            yield
        finally:
            self._timer.close()
            self._timer = None

    def _set_timer(self, period_s: float) -> None:
        """Restart the timer if the tick period changed."""
        if period_s == self._timer_period_s:
            return
        if self._timer is not None:
            self._timer.close()
        self._timer_period_s = period_s
        # Counted from the last tick, so that frequent period changes delay no tick.
        delay_s = max(0.0, self._last_tick_s + period_s - self._clock.now_s())
        self._timer = gevent.get_hub().loop.timer(delay_s, period_s)
        self._timer.start(self._put_tick)

    def _put_tick(self) -> None:
        self._last_tick_s = self._clock.now_s()
        # Called by the event loop, which must not block. A tick that finds the inbox
        # full is dropped; the next one does its work.
        if not self._inbox.full():
            self._inbox.put_nowait(Tick())


def _is_request_event(event: Event) -> bool:
    if isinstance(event, PeerMessage):
        return isinstance(event.message, _REQUEST_MESSAGES)
    return isinstance(event, _REQUEST_EVENTS)

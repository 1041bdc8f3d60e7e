"""Task that owns the decision core and takes events one by one."""

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
from endivepick.daemon.action_executor import Performer

__all__ = ["CoreLoop", "SteadyClock"]

INBOX_EVENTS = 512
"""Events that wait for the core; a full inbox holds the socket tasks up."""
BUSY_TICK_S = 0.05
IDLE_TICK_S = 0.1
"""Without requests each wake-up costs more than the work that it is for."""
QUIESCENT_TICK_S = 0.25
"""While the core awaits nothing; what it does now and then is due as often or less."""
BUSY_S = 1.0
"""How long after the last event of a request ticks come more often."""
_REQUEST_EVENTS = (
    AttemptAnswered,
    AttemptFailed,
    CallerDatagram,
    StreamData,
    StreamEnded,
    StreamOpened,
)
_REQUEST_MESSAGES = (HandOver, RelayedPacket)


class SteadyClock:
    """Seconds since the epoch that never go back, whatever the wall clock does."""

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_s(self) -> float:
        """Return the present time."""
        return time.monotonic() + self._offset_s


class CoreLoop:
    """Queues events for the core and lets time pass for it.

    Parameters
    ----------
    core : InstanceCore
        The decision core.
    clock : SteadyClock
        Its clock.
    """

    def __init__(self, core: InstanceCore, clock: SteadyClock) -> None:
        self.core = core
        self._clock = clock
        self._inbox: Queue[Event] = Queue(maxsize=INBOX_EVENTS)
        self._urgent: Queue[Event] = Queue()
        self._busy_until_s = 0.0
        self._timer: Any = None
        self._timer_s = 0.0
        self._ticked_at_s = clock.now_s()

    @property
    def tick_s(self) -> float:
        """Time between two ticks at present, in seconds."""
        if self._clock.now_s() < self._busy_until_s or not self.core.lifecycle.ready:
            return BUSY_TICK_S
        return QUIESCENT_TICK_S if self.core.quiescent else IDLE_TICK_S

    def deliver(self, event: Event) -> None:
        """Queue an event from a socket task; waits while the inbox is full."""
        self._inbox.put(event)

    def deliver_now(self, event: Event) -> None:
        """Queue an event from the core's own task, which must not wait."""
        self._urgent.put(event)

    def run(self, performer: Performer) -> None:
        """Handle events until the planned stop is finished."""
        while performer.finished is None:
            event = self._next()
            now_s = self._clock.now_s()
            performer.perform(self.core.handle(event, now_s))
            if _is_about_a_request(event):
                self._busy_until_s = now_s + BUSY_S
                self._set_timer(BUSY_TICK_S)
            else:
                self._set_timer(self.tick_s)

    def _next(self) -> Event:
        if not self._urgent.empty():
            return self._urgent.get()
        return self._inbox.get()

    @contextmanager
    def ticking(self) -> Iterator[None]:
        """Let time pass for the core while the context is open."""
        self._put_tick()
        self._set_timer(self.tick_s)
        try:
            yield
        finally:
            self._timer.close()
            self._timer = None

    def _set_timer(self, every_s: float) -> None:
        """Tick with another period after the last tick, if it is another one."""
        if every_s == self._timer_s:
            return
        if self._timer is not None:
            self._timer.close()
        self._timer_s = every_s
        # From the last tick: periods that change often must not put the next one off.
        after_s = max(0.0, self._ticked_at_s + every_s - self._clock.now_s())
        self._timer = gevent.get_hub().loop.timer(after_s, every_s)
        self._timer.start(self._put_tick)

    def _put_tick(self) -> None:
        self._ticked_at_s = self._clock.now_s()
        # Called by the event loop, which must not wait; the next tick makes up
        # for one that finds no room.
        if not self._inbox.full():
            self._inbox.put_nowait(Tick())


def _is_about_a_request(event: Event) -> bool:
    if isinstance(event, PeerMessage):
        return isinstance(event.message, _REQUEST_MESSAGES)
    return isinstance(event, _REQUEST_EVENTS)

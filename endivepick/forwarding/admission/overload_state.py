"""Whether a service is overloaded, with hysteresis.

Load pattern: all slots of a service are used and its targets shed requests.  Both signs
are needed: a few targets that fail or shed requests while others have free slots are a
matter of placement, and busy slots without shed requests are good use of them.
"""

from enum import Enum
from math import exp

from msgspec import Struct
from msgspec.structs import replace

from endivepick.forwarding._charts import OVERLOAD

__all__ = ["OverloadEvent", "OverloadReading", "OverloadState", "OverloadTracker"]

ENTER_SHORT_SHARE = 0.05
"""Share of short answers from which a service may be overloaded.  A caller that tries
twice again then still loses hardly a request; more would lose some of them."""
FULL_BUSY_PER_SLOT = 1.0
"""Requests in progress per slot from which every slot is used.  Below it a service has
room, whatever the share of short answers is: that share is a mean over more seconds
than the end of an overload should take, and single targets may go on shedding
requests."""
ENTER_AFTER_S = 0.5
"""Time for which the room of a service has to be used up, in seconds; the queues of
targets absorb shorter bursts."""
LEAVE_AFTER_S = 1.0
"""Time for which a service has to have room, in seconds; signals are means over about a
second, so an earlier end would rest on the beginning of a decline."""
USUAL_SHARE_TIME_S = 10.0
"""Time constant of the usual share of short answers, in seconds; it is learnt while
slots are free, when hardly any request is shed."""
MAX_SIGNAL_AGE_S = 2.0
"""Time for which a state is kept without signals, in seconds."""


class OverloadState(Enum):
    """State of a service by its load.

    Attributes
    ----------
    NORMAL
        Not overloaded, or unknown: everything is admitted.
    OVERLOADED
        All slots are used and requests are shed: admitted shares fall.
    RECOVERING
        There has been room again: admitted shares rise.
    """

    NORMAL = "normal"
    OVERLOADED = "overloaded"
    RECOVERING = "recovering"

    def after(self, event: "OverloadEvent") -> "OverloadState":
        """Return the state that follows; the same if the chart has no transition."""
        return _STATES.get((self, event), self)


class OverloadEvent(Enum):
    """Event that changes the state of a service."""

    ROOM_USED_UP = "room_used_up"
    ROOM_FOUND = "room_found"
    ALL_ADMITTED = "all_admitted"
    SIGNALS_LOST = "signals_lost"


_STATES = {
    (OverloadState(state), OverloadEvent(event)): OverloadState(after)
    for (state, event), after in OVERLOAD.items()
}


class OverloadReading(Struct, frozen=True):
    """Load of a service at a point in time.

    Attributes
    ----------
    short_share : float
        Share of short answers among all answers.
    busy_per_slot : float
        Requests in progress per slot, waiting ones included.
    usual_short_share : float
        Share of short answers while slots are free: some requests ask for little.
    """

    short_share: float
    busy_per_slot: float
    usual_short_share: float = 0.0

    @property
    def used_up(self) -> bool:
        """Whether requests are shed because every slot is used."""
        return (
            self.short_share - self.usual_short_share >= ENTER_SHORT_SHARE
            and self.busy_per_slot >= FULL_BUSY_PER_SLOT
        )

    @property
    def has_room(self) -> bool:
        """Whether slots are free."""
        return self.busy_per_slot < FULL_BUSY_PER_SLOT


class OverloadTracker:
    """Tracks whether one service is overloaded.

    Attributes
    ----------
    state : OverloadState
        Current state.
    reading : OverloadReading
        Last known reading.
    known_s : float
        When it was taken, in seconds.
    since_s : float or None
        When the state was entered, in seconds; None before its first change.

    Examples
    --------
    >>> tracker = OverloadTracker()
    >>> for tenth in range(6):
    ...     tracker.update(OverloadReading(0.2, 3.0), now_s=tenth / 10)
    >>> tracker.state
    <OverloadState.OVERLOADED: 'overloaded'>
    """

    def __init__(self) -> None:
        self.state = OverloadState.NORMAL
        self.reading = OverloadReading(0.0, 0.0)
        self.known_s = float("-inf")
        self.since_s: float | None = None
        self._condition_since_s: float | None = None
        self._usual_short_share: float | None = None

    def update(self, reading: OverloadReading | None, now_s: float) -> None:
        """Apply a reading; None if the load is unknown."""
        if reading is None:
            self._on_unknown(now_s)
            return
        self._learn_usual(reading, now_s)
        self.reading = reading = replace(
            reading, usual_short_share=self._usual_short_share or 0.0
        )
        self.known_s = now_s
        if self.state is OverloadState.OVERLOADED:
            self._await(
                OverloadEvent.ROOM_FOUND, reading.has_room, LEAVE_AFTER_S, now_s
            )
        else:
            self._await(
                OverloadEvent.ROOM_USED_UP, reading.used_up, ENTER_AFTER_S, now_s
            )

    def on_all_admitted(self, now_s: float) -> None:
        """End a recovery: no opening is rejected any more."""
        self._apply(OverloadEvent.ALL_ADMITTED, now_s)

    def is_known(self, now_s: float) -> bool:
        """Whether the state rests on a reading that is not too old."""
        return now_s - self.known_s <= MAX_SIGNAL_AGE_S

    def _learn_usual(self, reading: OverloadReading, now_s: float) -> None:
        """Learn the usual share of short answers while slots are free."""
        if not reading.has_room or self.state is not OverloadState.NORMAL:
            return
        if self._usual_short_share is None:
            self._usual_short_share = reading.short_share
            return
        weight = 1.0 - exp(-(now_s - self.known_s) / USUAL_SHARE_TIME_S)
        self._usual_short_share += weight * (
            reading.short_share - self._usual_short_share
        )

    def _on_unknown(self, now_s: float) -> None:
        self._condition_since_s = None
        if not self.is_known(now_s):
            self._apply(OverloadEvent.SIGNALS_LOST, now_s)

    def _await(
        self, event: OverloadEvent, condition: bool, hold_s: float, now_s: float
    ) -> None:
        """Apply an event once its condition has held for a time."""
        if not condition:
            self._condition_since_s = None
            return
        if self._condition_since_s is None:
            self._condition_since_s = now_s
        if now_s - self._condition_since_s >= hold_s:
            self._apply(event, now_s)

    def _apply(self, event: OverloadEvent, now_s: float) -> None:
        after = self.state.after(event)
        if after is self.state:
            return
        self.state = after
        self.since_s = now_s
        self._condition_since_s = None

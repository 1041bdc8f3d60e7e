"""Adjusts the admitted shares of one service to its load."""

from collections import Counter
from math import exp

from endivepick.forwarding.admission.limits import AdmissionLimits
from endivepick.forwarding.admission.overload_state import (
    OverloadReading,
    OverloadState,
    OverloadTracker,
)

__all__ = ["ServiceAdmission"]

CUT_INTERVAL_S = 1.0
"""Time between two cuts, in seconds.  The signals show a cut after about this time:
they are means over one or two seconds and arrive half a second later."""
RAISE_INTERVAL_S = 0.5
"""Time between two raises, in seconds."""
FALLING_FACTOR = 0.9
"""Factor of the share of short answers between two cuts below which it falls, and no
further cut is needed.  A mean over two seconds falls to 0.6 in this time if nothing is
shed any more."""
ACTIVE_TIME_S = 10.0
"""Time constant in which openings of a priority fade, in seconds; one of many instances
sees an opening of a rare priority every few seconds."""
MIN_ACTIVE_SHARE = 0.1
"""Share of the openings from which a priority is active.  For one with fewer, as of a
route that is only tested, no other is limited: even without the others it would make
no more room than their lowest admitted share does."""
FREE_BUSY_PER_SLOT = 0.75
"""Requests in progress per slot below which all priorities are raised together and by
more: with a quarter of the slots free, none takes room from a more urgent one."""


class ServiceAdmission:
    """Overload state and admitted shares of one service.

    Attributes
    ----------
    tracker : OverloadTracker
        Overload state.
    limits : AdmissionLimits
        Admitted shares.
    rejected : Counter of int
        Rejected openings by priority.
    """

    def __init__(self) -> None:
        self.tracker = OverloadTracker()
        self.limits = AdmissionLimits()
        self.rejected: Counter[int] = Counter()
        self._adjusted_s = float("-inf")
        self._short_share_at_cut = 0.0
        self._openings: dict[int, float] = {}
        self._openings_s = float("-inf")

    def record_opening(self, priority: int, now_s: float) -> None:
        """Record that a caller opens a flow of a priority."""
        kept = exp(-max(0.0, now_s - self._openings_s) / ACTIVE_TIME_S)
        self._openings = {p: number * kept for p, number in self._openings.items()}
        self._openings_s = now_s
        self._openings[priority] = self._openings.get(priority, 0.0) + 1.0

    def update(self, reading: OverloadReading | None, now_s: float) -> bool:
        """Apply a reading, None if the load is unknown.

        Returns
        -------
        bool
            Whether the overload state has changed.
        """
        before = self.tracker.state
        self.tracker.update(reading, now_s)
        changed = self.tracker.state is not before
        if changed:
            self._short_share_at_cut = 0.0
        if self.tracker.state is OverloadState.NORMAL:
            self.limits.admit_all()
        elif reading is not None:
            self._adjust(reading, now_s)
        return changed or self.tracker.state is not before

    def _adjust(self, reading: OverloadReading, now_s: float) -> None:
        since_s = now_s - self._adjusted_s
        if self.tracker.state is OverloadState.OVERLOADED:
            if self.tracker.reading.used_up and since_s >= CUT_INTERVAL_S:
                self._adjusted_s = now_s
                self._cut(reading)
        elif reading.has_room and since_s >= RAISE_INTERVAL_S:
            self._adjusted_s = now_s
            self._raise(reading)
        if self.limits.all_admitted:
            self.tracker.on_all_admitted(now_s)

    def _cut(self, reading: OverloadReading) -> None:
        falling_share = FALLING_FACTOR * self._short_share_at_cut
        self._short_share_at_cut = reading.short_share
        if reading.short_share >= falling_share:
            self.limits.cut(self._find_active())

    def _find_active(self) -> set[int]:
        """Return the priorities that have a notable share of the recent openings."""
        least = MIN_ACTIVE_SHARE * sum(self._openings.values())
        return {p for p, number in self._openings.items() if number >= least}

    def _raise(self, reading: OverloadReading) -> None:
        if reading.busy_per_slot < FREE_BUSY_PER_SLOT:
            self.limits.raise_all()
        else:
            self.limits.raise_most_urgent()

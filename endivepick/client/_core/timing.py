"""Round trips, back-off and timers."""

import heapq
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from endivepick.client.settings import CallerSettings

__all__ = ["Backoff", "Due", "RoundTrip", "Timers", "clamp_retry_s", "spread"]

_SPREAD_STEPS = 1 << 20
LONGEST_RETRY_S = 60.0
STALE_ENTRIES_KEPT = 64
SHORTEST_REPEAT_S = 0.005
NEVER_S = float("inf")


def spread(seed: int, count: int) -> float:
    """Return a number in [0, 1) that is fixed by its arguments.

    Stands in for a random number, so that the core stays reproducible.

    Parameters
    ----------
    seed : int
        Random number of the object, given from outside.
    count : int
        How often the object asked.
    """
    digest = xxhash.xxh64_intdigest(count.to_bytes(8, "big"), seed & 0xFFFF_FFFF)
    return digest % _SPREAD_STEPS / _SPREAD_STEPS


def clamp_retry_s(retry_after_ms: int) -> float:
    """Turn a time to come back into seconds, within sane bounds."""
    return min(max(retry_after_ms / 1000, 0.0), LONGEST_RETRY_S)


@dataclass(slots=True)
class Backoff:
    """Intervals that double up to a limit, with spread.

    Parameters
    ----------
    seed : int
        Seed of the spread.
    limit_s : float
        Longest interval.
    pairs_from_s : float
        After an interval of at least this, the next one is the base, so that what
        is repeated rarely is repeated twice.
    """

    seed: int
    limit_s: float
    pairs_from_s: float = NEVER_S
    _count: int = 0
    _doublings: int = 0
    _second_is_due: bool = False
    _in_second: bool = False

    def next_s(self, base_s: float) -> float:
        """Return the next interval, from 3/4 to 5/4 of the doubled base."""
        interval_s = self._interval_s(base_s)
        self._count += 1
        return interval_s * (0.75 + 0.5 * spread(self.seed, self._count))

    def _interval_s(self, base_s: float) -> float:
        self._in_second = self._second_is_due
        if self._in_second:
            self._second_is_due = False
            return min(base_s, self.limit_s)
        interval_s = min(base_s * 2**self._doublings, self.limit_s)
        if interval_s < self.limit_s:
            self._doublings += 1
        self._second_is_due = interval_s >= self.pairs_from_s
        return interval_s

    def reset(self) -> None:
        """Start again at the base."""
        self._doublings = 0
        self._second_is_due = False
        self._in_second = False

    def skip_second(self) -> bool:
        """Note an answer; True if the interval before the second runs now."""
        runs = self._in_second
        self._in_second = False
        return runs


@dataclass(slots=True)
class RoundTrip:
    """Round trip estimate of one flow, as TCP makes it (RFC 6298).

    Parameters
    ----------
    settings : CallerSettings
        Bounds of the resend interval.
    """

    settings: CallerSettings
    _smoothed_s: float = 0.0
    _deviation_s: float = 0.0

    def sample(self, measured_s: float) -> None:
        """Take one measured round trip, in seconds."""
        if self._smoothed_s == 0.0:
            self._smoothed_s = measured_s
            self._deviation_s = measured_s / 2
            return
        error_s = measured_s - self._smoothed_s
        self._smoothed_s += error_s / 8
        self._deviation_s += (abs(error_s) - self._deviation_s) / 4

    @property
    def resend_s(self) -> float:
        """Time after which a datagram counts as lost, in seconds."""
        return max(self.repeat_s, self.settings.resend_min_s)

    @property
    def repeat_s(self) -> float:
        """Time after which a missing part is asked for again, in seconds.

        Shorter than `resend_s` on a fast path: other parts still arrive, so that
        the path is known to work.
        """
        settings = self.settings
        if self._smoothed_s == 0.0:
            return settings.resend_initial_s
        estimate_s = self._smoothed_s + 4 * self._deviation_s
        return min(max(estimate_s, SHORTEST_REPEAT_S), settings.resend_max_s)


class Due(Protocol):
    """Something that wants to be called at a time.

    Attributes
    ----------
    due_at_s : float
        When; infinite for never.
    listed_at_s : float
        Earliest entry in the timers; kept by `Timers`.
    """

    due_at_s: float
    listed_at_s: float

    def on_due(self, now_s: float) -> None:
        """Act; must move ``due_at_s`` ahead."""


@dataclass(slots=True)
class Timers:
    """Heap of objects that become due.

    An object that moves its time ahead costs nothing until its old entry comes
    up, so that a part of an answer need not touch the heap. Entries of objects
    that ended are cleared once they are the larger part.
    """

    _heap: list[tuple[float, int, Due]] = field(default_factory=list)
    _count: int = 0
    _stale: int = 0

    def __len__(self) -> int:
        return len(self._heap)

    def update(self, item: Due) -> None:
        """Take note of an item's time, if it is earlier than known."""
        if item.due_at_s >= item.listed_at_s:
            return
        self.cancel(item)
        self._count += 1
        item.listed_at_s = item.due_at_s
        heapq.heappush(self._heap, (item.due_at_s, self._count, item))

    def cancel(self, item: Due) -> None:
        """Forget an item's entry."""
        if item.listed_at_s == NEVER_S:
            return
        item.listed_at_s = NEVER_S
        self._stale += 1
        if self._stale > STALE_ENTRIES_KEPT and self._stale * 2 > len(self._heap):
            self._clear_stale()

    def _clear_stale(self) -> None:
        self._heap = [entry for entry in self._heap if _is_listed(entry)]
        heapq.heapify(self._heap)
        self._stale = 0

    def pop_due(self, now_s: float) -> Due | None:
        """Return the next item that is due, or None."""
        while self._heap and self._heap[0][0] <= now_s:
            entry = heapq.heappop(self._heap)
            if not _is_listed(entry):
                self._stale -= 1
                continue
            item = entry[2]
            item.listed_at_s = NEVER_S
            if item.due_at_s <= now_s:
                return item
            self.update(item)
        return None

    @property
    def next_at_s(self) -> float:
        """When to look again; infinite if nothing is listed."""
        return self._heap[0][0] if self._heap else NEVER_S


def _is_listed(entry: tuple[float, int, Due]) -> bool:
    listed_at_s, _, item = entry
    return listed_at_s == item.listed_at_s

"""Round trip estimate, backoff and timers."""

import heapq
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from endivepick.client.settings import CallerSettings

__all__ = ["Backoff", "Timed", "RoundTrip", "Timers", "clamp_retry_s", "compute_jitter"]

_JITTER_STEPS = 1 << 20
MAX_RETRY_S = 60.0
MIN_STALE_TO_COMPACT = 64
MIN_REPEAT_S = 0.005
NEVER_S = float("inf")


def compute_jitter(seed: int, count: int) -> float:
    """Return a deterministic pseudorandom number in [0, 1).

    A hash of the arguments replaces a random number, so that the core stays
    reproducible.

    Parameters
    ----------
    seed : int
        Random number of the object, supplied by the program.
    count : int
        Number of values that the object has drawn.
    """
    digest = xxhash.xxh64_intdigest(count.to_bytes(8, "big"), seed & 0xFFFF_FFFF)
    return digest % _JITTER_STEPS / _JITTER_STEPS


def clamp_retry_s(retry_after_ms: int) -> float:
    """Convert a retry delay to seconds and limit it to 0 to 60 s."""
    return min(max(retry_after_ms / 1000, 0.0), MAX_RETRY_S)


@dataclass(slots=True)
class Backoff:
    """Exponential backoff with jitter.

    Parameters
    ----------
    seed : int
        Seed of the jitter.
    limit_s : float
        Maximum interval before the jitter, in seconds.
    pairs_from_s : float
        An interval of at least this length, in seconds, is followed by one of the
        base length, so that rare repetitions are sent in pairs.
    """

    seed: int
    limit_s: float
    pairs_from_s: float = NEVER_S
    _count: int = 0
    _doublings: int = 0
    _second_is_due: bool = False
    _in_second: bool = False

    def next_s(self, base_s: float) -> float:
        """Return the next interval, times a jitter factor from 3/4 to 5/4."""
        interval_s = self._interval_s(base_s)
        self._count += 1
        return interval_s * (0.75 + 0.5 * compute_jitter(self.seed, self._count))

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
        """Restart with the base interval."""
        self._doublings = 0
        self._second_is_due = False
        self._in_second = False

    def end_pair(self) -> bool:
        """End the current pair; return True if its second repetition is pending."""
        runs = self._in_second
        self._in_second = False
        return runs


@dataclass(slots=True)
class RoundTrip:
    """Round trip estimate of one flow, computed as in TCP (RFC 6298).

    Parameters
    ----------
    settings : CallerSettings
        Settings with the bounds of the retransmission timeout.
    """

    settings: CallerSettings
    _smoothed_s: float = 0.0
    _deviation_s: float = 0.0

    def add_sample(self, measured_s: float) -> None:
        """Update the estimate with one measured round trip, in seconds."""
        if self._smoothed_s == 0.0:
            self._smoothed_s = measured_s
            self._deviation_s = measured_s / 2
            return
        error_s = measured_s - self._smoothed_s
        self._smoothed_s += error_s / 8
        self._deviation_s += (abs(error_s) - self._deviation_s) / 4

    @property
    def resend_s(self) -> float:
        """Retransmission timeout, in seconds."""
        return max(self.repeat_s, self.settings.resend_min_s)

    @property
    def repeat_s(self) -> float:
        """Time after which a missing part is requested again, in seconds.

        It may be shorter than `resend_s` on a fast path, because other parts still
        arrive and show that the path works.
        """
        settings = self.settings
        if self._smoothed_s == 0.0:
            return settings.resend_initial_s
        estimate_s = self._smoothed_s + 4 * self._deviation_s
        return min(max(estimate_s, MIN_REPEAT_S), settings.resend_max_s)


class Timed(Protocol):
    """Object with a time at which it is called.

    Attributes
    ----------
    due_at_s : float
        Time of the next call; infinite for none.
    queued_at_s : float
        Time of the object's entry in the heap, maintained by `Timers`.
    """

    due_at_s: float
    queued_at_s: float

    def on_due(self, now_s: float) -> None:
        """Perform the due work; must move ``due_at_s`` to a later time."""


@dataclass(slots=True)
class Timers:
    """Heap of timed objects.

    Moving an object to a later time leaves its entry in place until the old time
    is reached, so that a received part of an answer need not touch the heap.
    Stale entries of ended objects are removed once they exceed half of the heap;
    otherwise an ended flow would stay in memory until its renewal time.
    """

    _heap: list[tuple[float, int, Timed]] = field(default_factory=list)
    _count: int = 0
    _stale: int = 0

    def __len__(self) -> int:
        return len(self._heap)

    def update(self, item: Timed) -> None:
        """Insert an item if its time is earlier than that of its entry."""
        if item.due_at_s >= item.queued_at_s:
            return
        self.cancel(item)
        self._count += 1
        item.queued_at_s = item.due_at_s
        heapq.heappush(self._heap, (item.due_at_s, self._count, item))

    def cancel(self, item: Timed) -> None:
        """Mark the entry of an item as stale."""
        if item.queued_at_s == NEVER_S:
            return
        item.queued_at_s = NEVER_S
        self._stale += 1
        if self._stale > MIN_STALE_TO_COMPACT and self._stale * 2 > len(self._heap):
            self._compact()

    def _compact(self) -> None:
        self._heap = [entry for entry in self._heap if _is_current(entry)]
        heapq.heapify(self._heap)
        self._stale = 0

    def pop_due(self, now_s: float) -> Timed | None:
        """Return the next item that is due, or None."""
        while self._heap and self._heap[0][0] <= now_s:
            entry = heapq.heappop(self._heap)
            if not _is_current(entry):
                self._stale -= 1
                continue
            item = entry[2]
            item.queued_at_s = NEVER_S
            if item.due_at_s <= now_s:
                return item
            self.update(item)
        return None

    @property
    def next_at_s(self) -> float:
        """Time of the earliest entry; infinite if there is none."""
        return self._heap[0][0] if self._heap else NEVER_S


def _is_current(entry: tuple[float, int, Timed]) -> bool:
    queued_at_s, _, item = entry
    return queued_at_s == item.queued_at_s

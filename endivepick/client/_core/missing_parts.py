"""Detection of lost parts of an answer."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["MissingParts"]

REORDER_PARTS = 3
"""A part counts as lost once this many later parts arrived."""
REORDER_WAIT_MAX_S = 0.02
REORDER_WAIT_FACTOR = 1.25
MAX_REPORTED_PARTS = 64
"""Maximum number of parts that one report lists."""
MAX_LATE_PARTS = 1024


@dataclass(slots=True)
class _MissingPart:
    detected_at_s: float
    reported_at_s: float = 0.0
    report_count: int = 0


@dataclass(slots=True)
class MissingParts:
    """Tracks missing parts and decides when they count as lost.

    A part is missing if a later one arrived. On a path that reorders packets,
    delayed parts can be reported as lost by mistake. Such a spurious loss is
    detected when the part arrives twice; the wait before a part counts as lost is
    then extended to 1.25 times the delay of that part, at most 20 ms.

    Attributes
    ----------
    reorder_threshold_parts : int
        Number of later parts that must arrive before a part counts as lost.
    reorder_wait_s : float
        Additional wait, in seconds; 0 until a spurious loss is detected.
    """

    reorder_threshold_parts: int = REORDER_PARTS
    reorder_wait_s: float = 0.0
    _parts: dict[int, _MissingPart] = field(default_factory=dict)
    _unreported: deque[int] = field(default_factory=deque)
    _delay_s_by_index: dict[int, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._parts)

    def add(self, indexes: Iterable[int], now_s: float) -> None:
        """Add parts that were skipped."""
        for index in indexes:
            self._parts[index] = _MissingPart(now_s)
            self._unreported.append(index)

    def on_arrival(self, index: int, now_s: float) -> None:
        """Remove a missing part that arrived."""
        part = self._parts.pop(index, None)
        if part is None or not part.report_count:
            return
        self._delay_s_by_index[index] = now_s - part.detected_at_s
        if len(self._delay_s_by_index) > MAX_LATE_PARTS:
            del self._delay_s_by_index[next(iter(self._delay_s_by_index))]

    def reported_once_at_s(self, index: int) -> float | None:
        """Return when a missing part was reported, if it was reported only once."""
        part = self._parts.get(index)
        if part is None or part.report_count != 1:
            return None
        return part.reported_at_s

    def on_duplicate(self, index: int) -> bool:
        """Extend the wait if a part that was reported as lost arrived twice.

        Returns
        -------
        bool
            Whether the reported loss was spurious.
        """
        delay_s = self._delay_s_by_index.pop(index, None)
        if delay_s is None:
            return False
        wanted_s = max(self.reorder_wait_s, delay_s * REORDER_WAIT_FACTOR)
        self.reorder_wait_s = min(wanted_s, REORDER_WAIT_MAX_S)
        return True

    def has_unreported_loss(self, last_eligible: int, now_s: float) -> bool:
        """Return whether a part counts as lost that was not reported yet.

        Parameters
        ----------
        last_eligible : int
            Highest part that may count as lost.
        now_s : float
            Current time, in seconds.
        """
        while self._unreported and self._unreported[0] not in self._parts:
            self._unreported.popleft()
        if not self._unreported:
            return False
        index = self._unreported[0]
        return index <= last_eligible and self._has_waited(self._parts[index], now_s)

    def _has_waited(self, part: _MissingPart, now_s: float) -> bool:
        return now_s - part.detected_at_s >= self.reorder_wait_s

    def collect_lost(
        self, last_eligible: int, now_s: float, repeat_s: float
    ) -> tuple[list[int], int]:
        """Return the lost parts to report, and how many of them are new.

        Parameters
        ----------
        last_eligible : int
            Highest part that may count as lost.
        now_s : float
            Current time, in seconds.
        repeat_s : float
            Minimum time before a part is reported again, in seconds.
        """
        reported: list[int] = []
        new_count = 0
        for index, part in self._parts.items():
            if len(reported) == MAX_REPORTED_PARTS or index > last_eligible:
                break
            if not self._may_report(part, now_s, repeat_s):
                continue
            new_count += not part.report_count
            part.reported_at_s = now_s
            part.report_count += 1
            reported.append(index)
        self._drop_reported()
        return reported, new_count

    def _may_report(self, part: _MissingPart, now_s: float, repeat_s: float) -> bool:
        if part.report_count:
            return now_s - part.reported_at_s >= repeat_s
        return self._has_waited(part, now_s)

    def _drop_reported(self) -> None:
        while self._unreported:
            part = self._parts.get(self._unreported[0])
            if part is not None and not part.report_count:
                return
            self._unreported.popleft()

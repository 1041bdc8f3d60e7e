"""Parts of an answer that are missing although a later one arrived."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["HoleList"]

REORDER_PARTS = 3
"""A part counts as lost once this many later ones arrived."""
REORDER_WAIT_MAX_S = 0.02
REORDER_WAIT_FACTOR = 1.25
MAX_LISTED = 64
"""Most parts that one report lists."""
MAX_REMEMBERED = 1024


@dataclass(slots=True)
class _Hole:
    noticed_at_s: float
    asked_at_s: float = 0.0
    asked_count: int = 0


@dataclass(slots=True)
class HoleList:
    """Decides when a missing part counts as lost.

    A path that reorders makes parts look lost. Such a mistake shows when the
    part arrives twice; after that, parts are given the time that the late one
    took.

    Attributes
    ----------
    reorder_parts : int
        How many later parts have to arrive first.
    reorder_wait_s : float
        How long to wait as well, in seconds; 0 until the path reordered.
    """

    reorder_parts: int = REORDER_PARTS
    reorder_wait_s: float = 0.0
    _holes: dict[int, _Hole] = field(default_factory=dict)
    _not_asked: deque[int] = field(default_factory=deque)
    _late_s: dict[int, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._holes)

    def open(self, indexes: Iterable[int], now_s: float) -> None:
        """Note parts that were skipped."""
        for index in indexes:
            self._holes[index] = _Hole(now_s)
            self._not_asked.append(index)

    def fill(self, index: int, now_s: float) -> None:
        """Note that a missing part arrived."""
        hole = self._holes.pop(index, None)
        if hole is None or not hole.asked_count:
            return
        self._late_s[index] = now_s - hole.noticed_at_s
        if len(self._late_s) > MAX_REMEMBERED:
            del self._late_s[next(iter(self._late_s))]

    def asked_once_at_s(self, index: int) -> float | None:
        """Return when a missing part was asked for, if that was just once."""
        hole = self._holes.get(index)
        if hole is None or hole.asked_count != 1:
            return None
        return hole.asked_at_s

    def learn_from_duplicate(self, index: int) -> bool:
        """Wait longer if a part that was asked for came twice."""
        late_s = self._late_s.pop(index, None)
        if late_s is None:
            return False
        wanted_s = max(self.reorder_wait_s, late_s * REORDER_WAIT_FACTOR)
        self.reorder_wait_s = min(wanted_s, REORDER_WAIT_MAX_S)
        return True

    def has_new_loss(self, last_judged: int, now_s: float) -> bool:
        """Tell whether a part counts as lost that was never asked for.

        Parameters
        ----------
        last_judged : int
            Later parts are given more time.
        now_s : float
            Time, in seconds.
        """
        while self._not_asked and self._not_asked[0] not in self._holes:
            self._not_asked.popleft()
        if not self._not_asked:
            return False
        index = self._not_asked[0]
        return index <= last_judged and self._waited(self._holes[index], now_s)

    def _waited(self, hole: _Hole, now_s: float) -> bool:
        return now_s - hole.noticed_at_s >= self.reorder_wait_s

    def ask(
        self, last_judged: int, now_s: float, repeat_s: float
    ) -> tuple[list[int], int]:
        """Return the parts to list, and how many of them are new.

        Parameters
        ----------
        last_judged : int
            Later parts are given more time.
        now_s : float
            Time, in seconds.
        repeat_s : float
            A part that was listed more recently is not listed again.
        """
        listed: list[int] = []
        new = 0
        for index, hole in self._holes.items():
            if len(listed) == MAX_LISTED or index > last_judged:
                break
            if not self._may_ask(hole, now_s, repeat_s):
                continue
            new += not hole.asked_count
            hole.asked_at_s = now_s
            hole.asked_count += 1
            listed.append(index)
        self._forget_asked()
        return listed, new

    def _may_ask(self, hole: _Hole, now_s: float, repeat_s: float) -> bool:
        if hole.asked_count:
            return now_s - hole.asked_at_s >= repeat_s
        return self._waited(hole, now_s)

    def _forget_asked(self) -> None:
        while self._not_asked:
            hole = self._holes.get(self._not_asked[0])
            if hole is not None and not hole.asked_count:
                return
            self._not_asked.popleft()

"""Parts of one answer as they arrive."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.client._core.window import AnswerWindow

__all__ = ["PartReceiver"]

ACKNOWLEDGE_EVERY_PARTS = 16
ACKNOWLEDGEMENTS_PER_WINDOW = 4
REORDER_PARTS = 3
"""A part counts as lost once this many later ones arrived, at first."""
REORDER_MAX_PARTS = 48
"""The same on a path that turned out to reorder."""
MAX_AHEAD_PARTS = 1024
"""Parts further ahead than this are dropped."""
MAX_MISSING_LISTED = 64
"""Most parts that one acknowledgement lists."""
TAIL_PROBE_PARTS = 32
"""Parts beyond the last one seen that a probe asks for."""
NEVER_ASKED_S = -1.0


@dataclass(slots=True)
class PartReceiver:
    """Puts the parts of an answer in order and says what is missing.

    Parameters
    ----------
    window : AnswerWindow
        How far ahead the owner may send.

    Attributes
    ----------
    next_index : int
        All parts below it arrived.
    highest_index : int
        Highest part that arrived, -1 for none.
    final_index : int or None
        Last part of the answer, once known.
    """

    window: AnswerWindow
    next_index: int = 0
    highest_index: int = -1
    final_index: int | None = None
    _ahead: dict[int, bytes] = field(default_factory=dict)
    _holes: dict[int, float] = field(default_factory=dict)
    _not_asked: deque[int] = field(default_factory=deque)
    _asked_again: set[int] = field(default_factory=set)
    _distances: dict[int, int] = field(default_factory=dict)
    _reorder_parts: int = REORDER_PARTS
    _since_report: int = 0
    _reported_index: int = 0

    @property
    def complete(self) -> bool:
        """Whether the whole answer arrived."""
        return self.final_index is not None and self.next_index > self.final_index

    def asked_once_at_s(self, index: int) -> float | None:
        """Return when a missing part was asked for, if that was just once."""
        if not self._holes or index in self._asked_again:
            return None
        asked_at_s = self._holes.get(index, NEVER_ASKED_S)
        return None if asked_at_s == NEVER_ASKED_S else asked_at_s

    def accept(self, index: int, final: bool, data: bytes) -> bool:
        """Take a part; False if it is a duplicate or makes no sense."""
        if not self._is_plausible(index, final) or index in self._ahead:
            self._learn_reordering(index)
            return False
        if final:
            self.final_index = index
        self._ahead[index] = data
        self._note_holes(index)
        self._since_report += 1
        self.window.on_part(self.highest_index)
        return True

    def _is_plausible(self, index: int, final: bool) -> bool:
        if not self.next_index <= index < self.next_index + MAX_AHEAD_PARTS:
            return False
        if final and index < self.highest_index:
            return False
        return self.final_index is None or (
            index < self.final_index or (final and index == self.final_index)
        )

    def _note_holes(self, index: int) -> None:
        for hole in range(self.highest_index + 1, index):
            self._holes[hole] = NEVER_ASKED_S
            self._not_asked.append(hole)
        self.highest_index = max(self.highest_index, index)
        if self._holes.pop(index, NEVER_ASKED_S) != NEVER_ASKED_S:
            self._distances[index] = self.highest_index - index
            self._asked_again.discard(index)
            if len(self._distances) > MAX_AHEAD_PARTS:
                del self._distances[next(iter(self._distances))]

    def _learn_reordering(self, index: int) -> None:
        """Wait longer for parts: one that was asked for came twice."""
        distance = self._distances.pop(index, 0)
        if distance == 0:
            return
        self.window.on_false_loss()
        wanted = max(self._reorder_parts, distance + 1)
        self._reorder_parts = min(wanted, REORDER_MAX_PARTS)

    def take_ready(self) -> Iterator[tuple[int, bytes]]:
        """Yield index and data of the parts that are next in order."""
        while self.next_index in self._ahead:
            index = self.next_index
            self.next_index += 1
            yield index, self._ahead.pop(index)

    def report_if_due(self, now_s: float, repeat_s: float) -> list[int] | None:
        """Return what to list if the owner should hear of parts at once.

        Parameters
        ----------
        now_s : float
            Time, in seconds.
        repeat_s : float
            A part that was listed more recently is not listed again.

        Returns
        -------
        list of int or None
            Missing parts to list; None if there is nothing to say yet. A report
            without progress and without missing parts would make the owner
            repeat what is still under way.
        """
        every = min(
            ACKNOWLEDGE_EVERY_PARTS,
            self.window.size_parts // ACKNOWLEDGEMENTS_PER_WINDOW,
        )
        if not self._has_new_loss() and self._since_report < every:
            return None
        moved = self.next_index > self._reported_index
        missing = self._report(now_s, repeat_s)
        return missing if moved or missing else None

    def _has_new_loss(self) -> bool:
        while self._not_asked and self._not_asked[0] not in self._holes:
            self._not_asked.popleft()
        if not self._not_asked:
            return False
        return self.highest_index - self._not_asked[0] >= self._reorder_parts

    def _report(self, now_s: float, repeat_s: float) -> list[int]:
        self._since_report = 0
        self._reported_index = self.next_index
        missing: list[int] = []
        for index, asked_at_s in self._holes.items():
            if len(missing) == MAX_MISSING_LISTED:
                break
            if self._may_ask(index, asked_at_s, now_s, repeat_s):
                missing.append(index)
        for index in missing:
            self._mark_asked(index, now_s)
        return missing

    def _may_ask(
        self, index: int, asked_at_s: float, now_s: float, repeat_s: float
    ) -> bool:
        if asked_at_s == NEVER_ASKED_S:
            return self.highest_index - index >= self._reorder_parts
        return now_s - asked_at_s >= repeat_s

    def _mark_asked(self, index: int, now_s: float) -> None:
        if self._holes[index] == NEVER_ASKED_S:
            self.window.on_loss()
        else:
            self._asked_again.add(index)
        self._holes[index] = now_s

    def probe(self, now_s: float) -> list[int]:
        """Return what to list when nothing came for a while.

        Parts after the highest one may have been lost without a trace, so they
        are listed too.
        """
        self._since_report = 0
        self._reported_index = self.next_index
        missing = list(self._holes)[:MAX_MISSING_LISTED]
        for index in missing:
            self._mark_asked(index, now_s)
        return missing + self._tail()

    def _tail(self) -> list[int]:
        if self.final_index is not None or self.highest_index < 0:
            return []
        first = self.highest_index + 1
        return list(range(first, first + TAIL_PROBE_PARTS))

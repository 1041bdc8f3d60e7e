"""Parts of one answer as they arrive."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.client._core.answer_window import AnswerWindow
from endivepick.client._core.missing_parts import HoleList

__all__ = ["PartReceiver"]

REPORT_EVERY_PARTS = 16
REPORTS_PER_WINDOW = 4
MAX_AHEAD_PARTS = 1024
"""Parts further ahead than this are dropped."""
TAIL_PROBE_PARTS = 32
"""Parts beyond the last one seen that a probe asks for."""


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
    holes : HoleList
        Parts that are missing although a later one arrived.
    """

    window: AnswerWindow
    next_index: int = 0
    highest_index: int = -1
    final_index: int | None = None
    holes: HoleList = field(default_factory=HoleList)
    _ahead: dict[int, bytes] = field(default_factory=dict)
    _since_report: int = 0
    _reported_index: int = 0

    @property
    def complete(self) -> bool:
        """Whether the whole answer arrived."""
        return self.final_index is not None and self.next_index > self.final_index

    def accept(self, index: int, final: bool, data: bytes, now_s: float) -> bool:
        """Take a part; False if it is a duplicate or makes no sense."""
        if not self._is_plausible(index, final) or index in self._ahead:
            if self.holes.learn_from_duplicate(index):
                self.window.on_false_loss()
            return False
        if final:
            self.final_index = index
        self._ahead[index] = data
        self._note_holes(index, now_s)
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

    def _note_holes(self, index: int, now_s: float) -> None:
        if index > self.highest_index:
            self.holes.open(range(self.highest_index + 1, index), now_s)
            self.highest_index = index
        else:
            self.holes.fill(index, now_s)

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
        last_judged = self._last_judged_index()
        due = self._since_report >= self._report_every_parts
        if not due and not self.holes.has_new_loss(last_judged, now_s):
            return None
        moved = self.next_index > self._reported_index
        self._note_report()
        missing, new_losses = self.holes.ask(last_judged, now_s, repeat_s)
        self.window.on_losses(new_losses)
        return missing if moved or missing else None

    @property
    def _report_every_parts(self) -> int:
        return min(REPORT_EVERY_PARTS, self.window.size_parts // REPORTS_PER_WINDOW)

    def _last_judged_index(self) -> int:
        """Return the last part that counts as lost if it is missing now."""
        if self.highest_index + 1 >= self._reported_index + self.window.size_parts:
            # Nothing later comes before the next report: do not wait for it.
            return self.highest_index
        return self.highest_index - self.holes.reorder_parts

    def _note_report(self) -> None:
        self._since_report = 0
        self._reported_index = self.next_index

    def probe(self, now_s: float) -> list[int]:
        """Return what to list when nothing came for a while.

        Parts after the highest one may have been lost without a trace, so they
        are listed too.
        """
        self._note_report()
        missing, new_losses = self.holes.ask(self.highest_index, now_s, repeat_s=0.0)
        self.window.on_losses(new_losses)
        return missing + self._tail()

    def _tail(self) -> list[int]:
        if self.final_index is not None or self.highest_index < 0:
            return []
        first = self.highest_index + 1
        return list(range(first, first + TAIL_PROBE_PARTS))

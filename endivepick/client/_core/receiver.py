"""Reassembly of the parts of one answer."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from endivepick.client._core.answer_window import AnswerWindow
from endivepick.client._core.missing_parts import MissingParts

__all__ = ["PartReceiver"]

REPORT_EVERY_PARTS = 16
REPORTS_PER_WINDOW = 4
MAX_AHEAD_PARTS = 1024
"""Parts at least this far beyond the next part in order are dropped."""
POLL_TAIL_PARTS = 32
"""Number of parts beyond the highest received one that a poll requests."""


@dataclass(slots=True)
class PartReceiver:
    """Puts the parts of an answer in order and reports missing ones.

    Parameters
    ----------
    window : AnswerWindow
        Window that bounds how far ahead the owner may send.

    Attributes
    ----------
    next_index : int
        All parts with a lower index arrived.
    highest_index : int
        Highest part that arrived; -1 if none did.
    final_index : int or None
        Last part of the answer; None until it is known.
    missing_parts : MissingParts
        Parts that are missing although a later part arrived.
    """

    window: AnswerWindow
    next_index: int = 0
    highest_index: int = -1
    final_index: int | None = None
    missing_parts: MissingParts = field(default_factory=MissingParts)
    _out_of_order: dict[int, bytes] = field(default_factory=dict)
    _parts_since_report: int = 0
    _interval_start_index: int = 0

    @property
    def complete(self) -> bool:
        """Whether the complete answer arrived."""
        return self.final_index is not None and self.next_index > self.final_index

    def accept(self, index: int, final: bool, data: bytes, now_s: float) -> bool:
        """Store a part; return False if it is a duplicate or invalid."""
        if not self._is_valid(index, final) or index in self._out_of_order:
            if self.missing_parts.on_duplicate(index):
                self.window.on_spurious_loss()
            return False
        if final:
            self.final_index = index
        self._out_of_order[index] = data
        self._update_missing(index, now_s)
        self._parts_since_report += 1
        self.window.on_part(self.highest_index)
        return True

    def _is_valid(self, index: int, final: bool) -> bool:
        if not self.next_index <= index < self.next_index + MAX_AHEAD_PARTS:
            return False
        if final and index < self.highest_index:
            return False
        return self.final_index is None or (
            index < self.final_index or (final and index == self.final_index)
        )

    def _update_missing(self, index: int, now_s: float) -> None:
        if index > self.highest_index:
            self.missing_parts.add(range(self.highest_index + 1, index), now_s)
            self.highest_index = index
        else:
            self.missing_parts.on_arrival(index, now_s)

    def take_ready(self) -> Iterator[tuple[int, bytes]]:
        """Yield the index and data of the parts that are next in order."""
        while self.next_index in self._out_of_order:
            index = self.next_index
            self.next_index += 1
            yield index, self._out_of_order.pop(index)

    def report_if_due(self, now_s: float, repeat_s: float) -> list[int] | None:
        """Return the missing parts if a report to the owner is due.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        repeat_s : float
            Minimum time before a part is reported again, in seconds.

        Returns
        -------
        list of int or None
            Missing parts to report; None if no report is due. A report without
            progress and without missing parts is not sent, because it would make
            the owner retransmit parts that are still in flight.
        """
        last_eligible = self._last_eligible_index()
        due = self._parts_since_report >= self._report_every_parts
        if not due and not self.missing_parts.has_unreported_loss(last_eligible, now_s):
            return None
        moved = self.next_index > self._interval_start_index
        self._start_report_interval()
        missing, new_losses = self.missing_parts.collect_lost(
            last_eligible, now_s, repeat_s
        )
        self.window.on_losses(new_losses)
        return missing if moved or missing else None

    @property
    def _report_every_parts(self) -> int:
        return min(REPORT_EVERY_PARTS, self.window.size_parts // REPORTS_PER_WINDOW)

    def _last_eligible_index(self) -> int:
        """Return the highest part that may count as lost if it is missing."""
        if (
            self.highest_index + 1
            >= self._interval_start_index + self.window.size_parts
        ):
            # The window is exhausted: no later part arrives before the next report.
            return self.highest_index
        return self.highest_index - self.missing_parts.reorder_threshold_parts

    def _start_report_interval(self) -> None:
        self._parts_since_report = 0
        self._interval_start_index = self.next_index

    def collect_parts_for_poll(self, now_s: float) -> list[int]:
        """Return the parts to request when no part arrived for a while.

        Parts after the highest received one may be lost without being detected as
        missing, so they are included.
        """
        self._start_report_interval()
        missing, new_losses = self.missing_parts.collect_lost(
            self.highest_index, now_s, repeat_s=0.0
        )
        self.window.on_losses(new_losses)
        return missing + self._list_tail()

    def _list_tail(self) -> list[int]:
        if self.final_index is not None or self.highest_index < 0:
            return []
        first = self.highest_index + 1
        return list(range(first, first + POLL_TAIL_PARTS))

"""Replay window: which request numbers of one binding were seen.

A number is *claimed* once, when its request is complete, and never again.  The
window holds a floor below which every number counts as claimed, and the set of
claimed numbers above it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec

__all__ = ["ReplayWindow", "SeqState", "WindowSnapshot"]


class SeqState(Enum):
    """What a window says about a request number."""

    FRESH = "fresh"
    """Not seen: may be claimed."""
    CLAIMED = "claimed"
    """Seen before: must not run again."""
    OUT_OF_RANGE = "out_of_range"
    """Too far above the floor to be tracked: must not run now."""


class WindowSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A window as it travels in a hand-over.

    Attributes
    ----------
    floor : int
        Every number below it counts as claimed.
    claimed : list of int
        Claimed numbers from ``floor`` up, ascending.
    """

    floor: int
    claimed: list[int]


_NONE: frozenset[int] = frozenset()
"""Shared by all windows without a claimed number above the floor."""


@dataclass(slots=True)
class ReplayWindow:
    """Window over the request numbers of one binding.

    Parameters
    ----------
    size : int
        How many numbers above the floor are tracked.

    Examples
    --------
    >>> window = ReplayWindow(size=64)
    >>> window.claim(1)
    True
    >>> window.claim(1)
    False
    """

    size: int
    floor: int = 1
    _claimed: set[int] | frozenset[int] = _NONE

    def state(self, seq: int) -> SeqState:
        """Look a request number up."""
        if seq < self.floor or seq in self._claimed:
            return SeqState.CLAIMED
        if seq >= self.floor + self.size:
            return SeqState.OUT_OF_RANGE
        return SeqState.FRESH

    def claim(self, seq: int) -> bool:
        """Take a number for the one run of its request.

        Returns
        -------
        bool
            False if the number was claimed before or lies out of range.
        """
        if self.state(seq) is not SeqState.FRESH:
            return False
        if seq == self.floor:
            self.floor += 1
            self._raise_floor()
        elif isinstance(self._claimed, set):
            self._claimed.add(seq)
        else:
            self._claimed = {seq}
        return True

    def _raise_floor(self) -> None:
        claimed = self._claimed
        if not isinstance(claimed, set):
            return
        while self.floor in claimed:
            claimed.remove(self.floor)
            self.floor += 1
        if not claimed:
            self._claimed = _NONE

    @property
    def is_untouched(self) -> bool:
        """Whether no number was ever claimed."""
        return self.floor == 1 and not self._claimed

    def skip_below(self, seq: int) -> None:
        """Give up all numbers below ``seq`` that were never claimed."""
        if seq <= self.floor:
            return
        self.floor = seq
        self._claimed = {
            claimed for claimed in self._claimed if claimed >= seq
        } or _NONE
        self._raise_floor()

    def snapshot(self) -> WindowSnapshot:
        """Copy the window for a hand-over."""
        return WindowSnapshot(self.floor, sorted(self._claimed))

    @classmethod
    def restore(cls, snapshot: WindowSnapshot, size: int) -> "ReplayWindow":
        """Build a window from a snapshot."""
        return cls._from_parts(size, snapshot.floor, snapshot.claimed)

    @classmethod
    def _from_parts(
        cls, size: int, floor: int, claimed: Iterable[int]
    ) -> "ReplayWindow":
        return cls(size=size, floor=floor, _claimed=set(claimed) or _NONE)

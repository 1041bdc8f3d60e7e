"""Replay window over the request sequence numbers of one binding.

A sequence number is *claimed* at most once, when its request is complete.  The
window stores a floor, below which every number counts as claimed, and the set of
claimed numbers above the floor.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec

__all__ = ["ReplayWindow", "SeqState", "WindowSnapshot"]


class SeqState(Enum):
    """State of a sequence number in a replay window."""

    FRESH = "fresh"
    """Not claimed and within the window."""
    CLAIMED = "claimed"
    """Claimed before: the request must not run again."""
    OUT_OF_RANGE = "out_of_range"
    """Beyond the tracked range: the request must not run now."""


class WindowSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Serialized replay window of a handover.

    Attributes
    ----------
    floor : int
        Number below which every number counts as claimed.
    claimed : list of int
        Claimed numbers from ``floor`` up, ascending.
    """

    floor: int
    claimed: list[int]


_EMPTY: frozenset[int] = frozenset()
"""Empty set that all windows without a claimed number above the floor share."""


@dataclass(slots=True)
class ReplayWindow:
    """Replay window of one binding.

    Parameters
    ----------
    size : int
        Number of tracked sequence numbers from the floor up.
    floor : int
        Number below which every number counts as claimed.

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
    _claimed: set[int] | frozenset[int] = _EMPTY

    def state(self, seq: int) -> SeqState:
        """Return the state of a sequence number."""
        if seq < self.floor or seq in self._claimed:
            return SeqState.CLAIMED
        if seq >= self.floor + self.size:
            return SeqState.OUT_OF_RANGE
        return SeqState.FRESH

    def claim(self, seq: int) -> bool:
        """Claim a number for the only run of its request.

        Returns
        -------
        bool
            False if the number was claimed before or is out of range.
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
            self._claimed = _EMPTY

    @property
    def is_unclaimed(self) -> bool:
        """Whether no number was claimed."""
        return self.floor == 1 and not self._claimed

    def skip_below(self, seq: int) -> None:
        """Raise the floor to ``seq``, so that all lower numbers count as claimed."""
        if seq <= self.floor:
            return
        self.floor = seq
        self._claimed = {
            claimed for claimed in self._claimed if claimed >= seq
        } or _EMPTY
        self._raise_floor()

    def snapshot(self) -> WindowSnapshot:
        """Return a snapshot of the window for a handover."""
        return WindowSnapshot(self.floor, sorted(self._claimed))

    @classmethod
    def restore(cls, snapshot: WindowSnapshot, size: int) -> "ReplayWindow":
        """Return the window of a snapshot."""
        return cls._from_parts(size, snapshot.floor, snapshot.claimed)

    @classmethod
    def _from_parts(
        cls, size: int, floor: int, claimed: Iterable[int]
    ) -> "ReplayWindow":
        return cls(size=size, floor=floor, _claimed=set(claimed) or _EMPTY)

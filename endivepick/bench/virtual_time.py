"""Event loop that runs in virtual time."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ["VirtualLoop"]


class VirtualLoop:
    """Deterministic event loop that runs callbacks in order of virtual time.

    Attributes
    ----------
    now_s : float
        Virtual time, in seconds.

    Examples
    --------
    >>> loop = VirtualLoop()
    >>> loop.call_at(2.0, lambda: print(loop.now_s))
    >>> loop.run_until(3.0)
    2.0
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self.now_s = 0.0

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time, in seconds."""
        heapq.heappush(self._heap, (at_s, next(self._numbers), callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay, in seconds."""
        self.call_at(self.now_s + delay_s, callback)

    def call_every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback periodically, first after one period, in seconds."""

        def repeat() -> None:
            callback()
            self.call_later(period_s, repeat)

        self.call_later(period_s, repeat)

    def run_until(self, end_s: float) -> None:
        """Run all callbacks up to a virtual time, in seconds."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_s = end_s

"""Cookies that no target is known for, and when that means that the target is gone.

An instance that has just started does not know targets that left before.  Flows to
them are still open at their callers, who would wait for an answer until their deadline.
The store's list tells: whoever could place a flow on a target had read its entry, so a
list that was asked for after the packet came holds the entry, unless it was removed.
Only entries that expired in an outage may be missing without their targets being gone;
they return within seconds of the outage's end, hence of the first list that was read
since.
"""

from collections import OrderedDict

__all__ = ["UnknownCookies"]

REMEMBERED = 1024
"""Bound of the cookies that are remembered; each takes some hundred bytes."""


class UnknownCookies:
    """When each unknown cookie came first, and when the registry was read.

    Parameters
    ----------
    settle_s : float
        How long after the first list a missing entry is not believed yet, in seconds.

    Examples
    --------
    >>> unknown = UnknownCookies(settle_s=2.5)
    >>> unknown.listed(asked_s=1.0)
    >>> unknown.is_gone(7, now_s=10.0), unknown.is_gone(7, now_s=10.2)
    (False, False)
    >>> unknown.listed(asked_s=10.1)
    >>> unknown.is_gone(7, now_s=10.3)
    True
    """

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._first_list_s = float("inf")
        self._last_list_s = float("-inf")
        self._first_s: OrderedDict[int, float] = OrderedDict()

    def listed(self, asked_s: float) -> None:
        """Note that the store's whole list was read; asked for at that time."""
        self._first_list_s = min(self._first_list_s, asked_s)
        self._last_list_s = max(self._last_list_s, asked_s)

    def unread(self) -> None:
        """Note that the store does not answer: entries may expire meanwhile."""
        self._first_list_s = float("inf")

    def is_gone(self, cookie: int, now_s: float) -> bool:
        """Whether the target of an unknown cookie is gone; notes the cookie."""
        first_s = self._first_s.setdefault(cookie, now_s)
        if len(self._first_s) > REMEMBERED:
            self._first_s.popitem(last=False)
        settled_s = self._first_list_s + self._settle_s
        return self._last_list_s > max(first_s, settled_s)

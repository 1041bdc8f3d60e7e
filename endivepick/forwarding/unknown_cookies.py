"""Cookies of no known target, and the decision that such a target is gone.

An instance that has just started does not know targets that left before.  Callers
still have flows open to them and would wait for an answer until their deadline.  The
store's list decides: an instance that placed a flow on a target had read its entry, so
a list requested after the packet arrived has the entry unless it was removed.  Only
entries that expired during an outage of the store may be missing although their
targets live.  They return within seconds of its end, and the first list read after the
outage marks the end.
"""

from collections import OrderedDict

__all__ = ["UnknownCookies"]

MAX_COOKIES = 1024
"""Bound on recorded cookies; each takes about a hundred bytes."""


class UnknownCookies:
    """First arrival of each unknown cookie, and times at which the registry was read.

    Parameters
    ----------
    settle_s : float
        How long after the first list a missing entry may still return, in seconds.  The
        forwarding core passes the grace period `lapse_grace_s`, which also covers the
        propagation of the entry, and is 0 if `lapse_grace` is disabled.

    Examples
    --------
    >>> unknown = UnknownCookies(settle_s=2.5)
    >>> unknown.on_list_read(asked_s=1.0)
    >>> unknown.is_gone(7, now_s=10.0), unknown.is_gone(7, now_s=10.2)
    (False, False)
    >>> unknown.on_list_read(asked_s=10.1)
    >>> unknown.is_gone(7, now_s=10.3)
    True
    """

    def __init__(self, settle_s: float) -> None:
        self._settle_s = settle_s
        self._first_list_s = float("inf")
        self._last_list_s = float("-inf")
        self._first_s: OrderedDict[int, float] = OrderedDict()

    def on_list_read(self, asked_s: float) -> None:
        """Record that the store's whole list, requested at that time, was read."""
        self._first_list_s = min(self._first_list_s, asked_s)
        self._last_list_s = max(self._last_list_s, asked_s)

    def on_store_unavailable(self) -> None:
        """Record that the store is unavailable: entries may expire meanwhile."""
        self._first_list_s = float("inf")

    def is_gone(self, cookie: int, now_s: float) -> bool:
        """Whether the target of an unknown cookie is gone; records the cookie."""
        first_s = self._first_s.setdefault(cookie, now_s)
        if len(self._first_s) > MAX_COOKIES:
            self._first_s.popitem(last=False)
        settled_s = self._first_list_s + self._settle_s
        return self._last_list_s > max(first_s, settled_s)

"""Memory of the bindings that were adopted."""

__all__ = ["AdoptedBindings"]


class AdoptedBindings:
    """Bindings, each for at least the time that its tokens can be valid.

    There are two generations.  A whole generation is dropped at once, so that the
    cost of forgetting does not grow with what is held.

    Parameters
    ----------
    kept_s : float
        How long a binding is remembered at least, in seconds; twice that at most.

    Examples
    --------
    >>> adopted = AdoptedBindings(kept_s=60)
    >>> adopted.expire(1000)
    >>> adopted.add(7)
    >>> adopted.expire(1060)
    >>> 7 in adopted
    True
    >>> adopted.expire(1120)
    >>> 7 in adopted
    False
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._recent: set[int] = set()
        self._earlier: set[int] = set()
        self._turned_at_s = 0.0

    def __len__(self) -> int:
        return len(self._recent) + len(self._earlier)

    def __contains__(self, binding: int) -> bool:
        return binding in self._recent or binding in self._earlier

    def add(self, binding: int) -> None:
        """Remember a binding from now on."""
        self._recent.add(binding)

    def expire(self, now_s: float) -> None:
        """Drop the earlier generation once all of it is old enough."""
        if now_s - self._turned_at_s < self._kept_s:
            return
        self._turned_at_s = now_s
        self._earlier = self._recent
        self._recent = set()

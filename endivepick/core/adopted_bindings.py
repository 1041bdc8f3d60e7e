"""Set of recently adopted bindings with expiry by generation."""

__all__ = ["AdoptedBindings"]


class AdoptedBindings:
    """Set of bindings, each kept at least while its tokens can be valid.

    The bindings form two generations.  A generation is dropped as a whole, so that
    the cost of expiry does not grow with the number of bindings.

    Parameters
    ----------
    retention_s : float
        Minimum time that a binding is kept, in seconds; the maximum is twice that.

    Examples
    --------
    >>> adopted = AdoptedBindings(retention_s=60)
    >>> adopted.expire(1000)
    >>> adopted.add(7)
    >>> adopted.expire(1060)
    >>> 7 in adopted
    True
    >>> adopted.expire(1120)
    >>> 7 in adopted
    False
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._current: set[int] = set()
        self._previous: set[int] = set()
        self._rotated_at_s = 0.0

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def __contains__(self, binding: int) -> bool:
        return binding in self._current or binding in self._previous

    def add(self, binding: int) -> None:
        """Add a binding to the current generation."""
        self._current.add(binding)

    def expire(self, now_s: float) -> None:
        """Drop the previous generation once all its bindings are old enough."""
        if now_s - self._rotated_at_s < self._retention_s:
            return
        self._rotated_at_s = now_s
        self._previous = self._current
        self._current = set()

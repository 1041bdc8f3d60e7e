"""Limit on the waiting requests of all services that an instance owns."""

__all__ = ["WaitingAllowance"]


class WaitingAllowance:
    """Shares a limited number of waiting requests fairly among services.

    A service may always use an equal share of the capacity, and beyond its share
    only capacity that is unused.  A busy service can thus exceed its share, but
    cannot keep other services from theirs: the total may exceed the capacity
    until the excess requests of the busy service have started.

    Parameters
    ----------
    capacity : int
        Maximum number of waiting requests of all services together.

    Examples
    --------
    >>> allowance = WaitingAllowance(capacity=2)
    >>> allowance.add_service("notes"), allowance.add_service("packs")
    (None, None)
    >>> [allowance.acquire("packs") for _ in range(3)]
    [True, True, False]
    >>> allowance.acquire("notes")
    True
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._acquired: dict[str, int] = {}

    def add_service(self, service: str) -> None:
        """Add a service."""
        self._acquired.setdefault(service, 0)

    def remove_service(self, service: str) -> None:
        """Remove a service and release its capacity."""
        self._acquired.pop(service, None)

    def acquire(self, service: str) -> bool:
        """Acquire capacity for a waiting request; return false if there is none."""
        acquired = self._acquired.setdefault(service, 0)
        own_share = self._capacity / len(self._acquired)
        if acquired >= own_share and sum(self._acquired.values()) >= self._capacity:
            return False
        self._acquired[service] = acquired + 1
        return True

    def release(self, service: str) -> None:
        """Release the capacity of a request that no longer waits."""
        if self._acquired.get(service, 0) > 0:
            self._acquired[service] -= 1

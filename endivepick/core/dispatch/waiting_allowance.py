"""One limit for the waiting requests of all services that an instance owns."""

__all__ = ["WaitingAllowance"]


class WaitingAllowance:
    """Shares a number of places among services.

    A service may always use its equal share; beyond it, only places that are
    free.  A busy service thus borrows what others leave, and can't keep them
    from their own share: the limit may be passed for as long as it takes the
    borrower's requests to start.

    Parameters
    ----------
    places : int
        Requests that may wait in all services together.

    Examples
    --------
    >>> allowance = WaitingAllowance(places=2)
    >>> allowance.join("notes"), allowance.join("packs")
    (None, None)
    >>> [allowance.take("packs") for _ in range(3)]
    [True, True, False]
    >>> allowance.take("notes")
    True
    """

    def __init__(self, places: int) -> None:
        self._places = places
        self._taken: dict[str, int] = {}

    def join(self, service: str) -> None:
        """Add a service."""
        self._taken.setdefault(service, 0)

    def leave(self, service: str) -> None:
        """Remove a service with all its places."""
        self._taken.pop(service, None)

    def take(self, service: str) -> bool:
        """Take a place for a waiting request; false if there is none."""
        taken = self._taken.setdefault(service, 0)
        own_share = self._places / len(self._taken)
        if taken >= own_share and sum(self._taken.values()) >= self._places:
            return False
        self._taken[service] = taken + 1
        return True

    def release(self, service: str) -> None:
        """Give back the place of a request that waits no more."""
        if self._taken.get(service, 0) > 0:
            self._taken[service] -= 1

"""Owner of each service, kept up to date as instances come and go."""

from collections.abc import Callable, Iterable

from endivepick.core.rendezvous import owner, top

__all__ = ["ServiceOwners"]

CANDIDATES = 4
"""Instances in rank order that are tried when the first is silent."""


class ServiceOwners:
    """Caches the rendezvous winner of each service.

    A name that comes is compared with each cached winner, and a name that goes
    drops only what it had won: the cost of a change does not grow with the
    product of services and instances.

    Parameters
    ----------
    live_names : callable
        Returns the names that may take a role; the same tuple while none changes.

    Examples
    --------
    >>> owners = ServiceOwners(lambda: ("a",))
    >>> owners.owner("notes")
    'a'
    """

    def __init__(self, live_names: Callable[[], tuple[str, ...]]) -> None:
        self._live_names = live_names
        self._names: tuple[str, ...] = ()
        self._winners: dict[str, str | None] = {}

    def owner(self, service: str) -> str | None:
        """Return the owner of a service, or None if no instance may be."""
        self._refresh()
        if service not in self._winners:
            self._winners[service] = owner(service, self._names)
        return self._winners[service]

    def first_that(self, service: str, suits: Callable[[str], bool]) -> str | None:
        """Return the first instance in rank order that suits, or the owner."""
        winner = self.owner(service)
        if winner is None or suits(winner):
            return winner
        candidates = top(service, self._names, CANDIDATES)
        return next((name for name in candidates if suits(name)), winner)

    def _refresh(self) -> None:
        names = self._live_names()
        if names is self._names:
            return
        before, now = set(self._names), set(names)
        self._names = names
        self._drop_won_by(before - now)
        self._offer(now - before)

    def _drop_won_by(self, gone: set[str]) -> None:
        if not gone:
            return
        self._winners = {
            service: name for service, name in self._winners.items() if name not in gone
        }

    def _offer(self, added: Iterable[str]) -> None:
        for name in added:
            for service, winner in self._winners.items():
                candidates = (name,) if winner is None else (winner, name)
                self._winners[service] = owner(service, candidates)

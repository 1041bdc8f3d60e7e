"""Owner of each service, kept up to date as instances come and go."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from endivepick.core.rendezvous import owner, top

__all__ = ["LiveInstances", "ServiceOwners"]

CANDIDATES = 4
"""Instances in rank order that are tried when the first is silent."""


class LiveInstances(Protocol):
    """What the owners are chosen from."""

    def ready_names(self) -> tuple[str, ...]:
        """Return the names that may take a role, this instance included.

        The same tuple as long as no name comes or goes.
        """

    def zone_of(self, name: str) -> str:
        """Return the availability zone of an instance."""


@dataclass
class _Winner:
    """Owner of a service, and the zones that it was chosen from."""

    name: str | None
    zones: frozenset[str]


class ServiceOwners:
    """Caches the rendezvous winner of each service.

    Candidates are the instances in the zones of the service's targets, so that an
    owner stands near them whatever the number of regions; if none of these lives,
    all instances are.  A name that comes is compared with each cached winner, and
    a name that goes drops only what it had won: the cost of a change does not grow
    with the product of services and instances.

    Parameters
    ----------
    live : LiveInstances
        Instances that may take a role.
    zones_of : callable
        Returns the zones of a service's targets, empty for an unknown service.

    Examples
    --------
    >>> class Live:
    ...     def ready_names(self):
    ...         return ("a", "b")
    ...     def zone_of(self, name):
    ...         return {"a": "fukuoka", "b": "kumamoto"}[name]
    >>> owners = ServiceOwners(Live(), lambda service: frozenset({"kumamoto"}))
    >>> owners.owner("notes")
    'b'
    """

    def __init__(
        self, live: LiveInstances, zones_of: Callable[[str], frozenset[str]]
    ) -> None:
        self._live = live
        self._zones_of = zones_of
        self._names: tuple[str, ...] = ()
        self._winners: dict[str, _Winner] = {}

    def owner(self, service: str) -> str | None:
        """Return the owner of a service, or None if no instance may be."""
        self._refresh()
        winner = self._winners.get(service)
        if winner is None:
            zones = self._zones_of(service)
            winner = _Winner(owner(service, self._candidates(zones)), zones)
            self._winners[service] = winner
        return winner.name

    def first_that(self, service: str, suits: Callable[[str], bool]) -> str | None:
        """Return the first instance in rank order that suits, or the owner."""
        winner = self.owner(service)
        if winner is None or suits(winner):
            return winner
        names = self._candidates(self._winners[service].zones)
        ranked = top(service, names, CANDIDATES)
        return next((name for name in ranked if suits(name)), winner)

    def forget(self, service: str) -> None:
        """Choose the owner anew: the service's record has changed."""
        self._winners.pop(service, None)

    def _candidates(self, zones: frozenset[str]) -> Iterable[str]:
        near = [name for name in self._names if self._live.zone_of(name) in zones]
        return near or self._names

    def _refresh(self) -> None:
        names = self._live.ready_names()
        if names is self._names:
            return
        before, now = set(self._names), set(names)
        self._names = names
        self._drop_won_by(before - now)
        for name in now - before:
            self._offer(name)

    def _drop_won_by(self, gone: set[str]) -> None:
        if not gone:
            return
        self._winners = {
            service: winner
            for service, winner in self._winners.items()
            if winner.name not in gone
        }

    def _offer(self, name: str) -> None:
        zone = self._live.zone_of(name)
        for service, winner in list(self._winners.items()):
            if (
                winner.name is None
                or self._live.zone_of(winner.name) not in winner.zones
            ):
                # Chosen for want of an instance near the targets.
                del self._winners[service]
            elif zone in winner.zones:
                winner.name = owner(service, (winner.name, name))

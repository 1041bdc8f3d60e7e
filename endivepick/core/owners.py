"""Owner of each service, kept up to date as instances come and go."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from endivepick.core.rendezvous import heavier, owner, top

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

    Whether this instance owns a service is answered by the first rival that is
    heavier, a logarithmic number of comparisons, and remembered with the rival.

    Parameters
    ----------
    me : str
        Name of this instance.
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
    >>> owners = ServiceOwners("a", Live(), lambda service: frozenset({"kumamoto"}))
    >>> owners.owner("notes"), owners.is_mine("notes")
    ('b', False)
    """

    def __init__(
        self,
        me: str,
        live: LiveInstances,
        zones_of: Callable[[str], frozenset[str]],
    ) -> None:
        self._me = me
        self._live = live
        self._zones_of = zones_of
        self._names: tuple[str, ...] = ()
        self._by_zone: dict[str, list[str]] = {}
        self._winners: dict[str, _Winner] = {}
        self._rivals: dict[str, str] = {}
        self._my_zone: str | None = None

    def owner(self, service: str) -> str | None:
        """Return the owner of a service, or None if no instance may be."""
        self._refresh()
        winner = self._winners.get(service)
        if winner is None:
            zones = self._zones_of(service)
            winner = _Winner(owner(service, self._candidates(zones)), zones)
            self._winners[service] = winner
        return winner.name

    def is_mine(self, service: str) -> bool:
        """Tell whether this instance owns a service; also if no instance may."""
        self._refresh()
        if not self._names:
            return True
        if service in self._rivals or self._my_zone is None:
            return False
        winner = self._winners.get(service)
        if winner is None:
            return self._settle_mine(service)
        return winner.name == self._me

    def _settle_mine(self, service: str) -> bool:
        """Compare with the candidates until one of them is heavier."""
        zones = self._zones_of(service)
        candidates = self._candidates(zones)
        rival: str | None = next(iter(candidates))
        if self._my_zone in zones or candidates is self._names:
            rival = heavier(service, self._me, candidates)
        if rival is None:
            self._winners[service] = _Winner(self._me, zones)
            return True
        self._rivals[service] = rival
        return False

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
        self._rivals.pop(service, None)

    def _candidates(self, zones: frozenset[str]) -> Collection[str]:
        near = [name for zone in zones for name in self._by_zone.get(zone, ())]
        return near or self._names

    def _refresh(self) -> None:
        names = self._live.ready_names()
        if names is self._names:
            return
        before, now = set(self._names), set(names)
        self._names = names
        self._group_by_zone()
        self._drop_won_by(before - now)
        if self._me in now - before:
            self._rivals.clear()
        for name in now - before:
            self._offer(name)

    def _group_by_zone(self) -> None:
        self._by_zone = {}
        for name in self._names:
            self._by_zone.setdefault(self._live.zone_of(name), []).append(name)
        present = self._me in self._names
        self._my_zone = self._live.zone_of(self._me) if present else None

    def _drop_won_by(self, gone: set[str]) -> None:
        if not gone:
            return
        self._rivals = {
            service: rival
            for service, rival in self._rivals.items()
            if rival not in gone
        }
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

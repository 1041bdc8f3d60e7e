"""Owner of each service, kept up to date as instances come and go."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from endivepick.core.rendezvous import find_heavier, owner, top

__all__ = ["LiveInstances", "ServiceOwners"]

CANDIDATES = 4
"""Instances in rank order that are tried when the first is silent."""


UNKNOWN_CANDIDATES = 64
"""Instances among which an unknown service is dealt out, to bound its cost."""


class LiveInstances(Protocol):
    """What the owners are chosen from."""

    def eligible_names(self) -> tuple[str, ...]:
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
    ``pop_ownership_candidates`` names those whose winner or rival has gone.

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
    ...     def eligible_names(self):
    ...         return ("a", "b")
    ...     def zone_of(self, name):
    ...         return {"a": "fukuoka", "b": "kumamoto"}[name]
    >>> owners = ServiceOwners("a", Live(), lambda service: frozenset({"kumamoto"}))
    >>> owners.owner("notes"), owners.is_owned_here("notes")
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
        self._zones: dict[str, str] = {}
        self._by_zone: dict[str, list[str]] = {}
        self._winners: dict[str, _Winner] = {}
        self._rivals: dict[str, str] = {}
        self._unsettled: set[str] = set()
        self._my_zone: str | None = None

    def owner(self, service: str) -> str | None:
        """Return the owner of a service, or None if no instance may be."""
        return self._winner(service).name

    def _winner(self, service: str) -> _Winner:
        self._refresh()
        winner = self._winners.get(service)
        if winner is None:
            zones = self._zones_of(service)
            winner = _Winner(owner(service, self._candidates(zones)), zones)
            if zones:
                # Callers choose the names of unknown services: these are not kept.
                self._winners[service] = winner
        return winner

    def is_owned_here(self, service: str) -> bool:
        """Tell whether this instance owns a service; also if no instance may."""
        self._refresh()
        if service in self._rivals:
            return False
        winner = self._winners.get(service)
        if winner is not None:
            return winner.name == self._me
        if self._my_zone is None:
            self._unsettled.add(service)
            return not self._names
        return self._settle_mine(service)

    def pop_ownership_candidates(self) -> set[str]:
        """Return the services that may have become this instance's since last asked.

        They are among those that were asked for before: with ``is_owned_here``, or with
        ``owner``.
        """
        self._refresh()
        unsettled = self._unsettled
        self._unsettled = set()
        return unsettled

    def _settle_mine(self, service: str) -> bool:
        """Compare with the candidates until one of them is heavier."""
        zones = self._zones_of(service)
        if not zones:
            return self.owner(service) == self._me
        candidates = self._candidates(zones)
        rival: str | None = next(iter(candidates))
        if self._my_zone in zones or candidates is self._names:
            rival = find_heavier(service, self._me, candidates)
        if rival is None:
            self._winners[service] = _Winner(self._me, zones)
            return True
        self._rivals[service] = rival
        return False

    def first_that(self, service: str, suits: Callable[[str], bool]) -> str | None:
        """Return the first instance in rank order that suits, or the owner."""
        winner = self._winner(service)
        if winner.name is None or suits(winner.name):
            return winner.name
        ranked = top(service, self._candidates(winner.zones), CANDIDATES)
        return next((name for name in ranked if suits(name)), winner.name)

    def forget(self, service: str) -> None:
        """Choose the owner anew: the service's record has changed."""
        self._winners.pop(service, None)
        self._rivals.pop(service, None)

    def _candidates(self, zones: frozenset[str]) -> Collection[str]:
        if not zones:
            return self._names[:UNKNOWN_CANDIDATES]
        near = [name for zone in zones for name in self._by_zone.get(zone, ())]
        return near or self._names

    def _refresh(self) -> None:
        names = self._live.eligible_names()
        if names is self._names:
            return
        before, now = set(self._names), set(names)
        self._names = names
        self._group_by_zone(before - now, now - before)
        self._drop_won_by(before - now)
        if self._me in now - before:
            self._unsettled.update(self._rivals)
            self._rivals.clear()
        for name in now - before:
            self._offer(name)

    def _group_by_zone(self, gone: set[str], come: set[str]) -> None:
        for name in gone:
            self._by_zone[self._zones.pop(name)].remove(name)
        for name in come:
            zone = self._zones[name] = self._live.zone_of(name)
            self._by_zone.setdefault(zone, []).append(name)
        self._my_zone = self._zones.get(self._me)

    def _drop_won_by(self, gone: set[str]) -> None:
        if not gone:
            return
        lost = {service for service, rival in self._rivals.items() if rival in gone}
        for service in lost:
            del self._rivals[service]
        self._unsettled |= lost
        won = {service for service, one in self._winners.items() if one.name in gone}
        for service in won:
            self._drop_winner(service)

    def _drop_winner(self, service: str) -> None:
        del self._winners[service]
        self._unsettled.add(service)

    def _offer(self, name: str) -> None:
        zone = self._zones[name]
        for service, winner in list(self._winners.items()):
            if winner.name is None or self._zones[winner.name] not in winner.zones:
                # Chosen for want of an instance near the targets.
                self._drop_winner(service)
            elif zone in winner.zones:
                winner.name = owner(service, (winner.name, name))
                if winner.name == self._me:
                    self._unsettled.add(service)

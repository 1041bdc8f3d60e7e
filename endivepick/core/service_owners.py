"""Owner of each service, updated as instances join and leave."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from endivepick.core.rendezvous import find_heavier, owner, top

__all__ = ["EligibleInstances", "ServiceOwners"]

RANKED_CANDIDATES_MAX = 4
"""Number of top-ranked instances considered if the owner is unsuitable."""


UNKNOWN_SERVICE_CANDIDATES_MAX = 64
"""Limit of candidates for an unknown service; bounds the cost of its lookup."""


class EligibleInstances(Protocol):
    """Instances that are eligible as owners."""

    def eligible_names(self) -> tuple[str, ...]:
        """Return the names of eligible instances, including this one.

        Returns the same tuple object as long as the names do not change.
        """

    def zone_of(self, name: str) -> str:
        """Return the availability zone of an instance."""


@dataclass
class _CachedOwner:
    """Owner of a service, and the zones of the service's targets."""

    name: str | None
    zones: frozenset[str]


class ServiceOwners:
    """Caches the owner of each service, chosen by rendezvous hashing.

    Candidates are the instances in the zones of the service's targets, so that the
    owner is close to the targets regardless of the number of regions.  If there is
    none, all instances are candidates.  An added instance is compared with each
    cached owner, and a removed instance invalidates only the services that it owned:
    the cost of a change does not grow with the product of services and instances.

    To decide whether this instance owns a service, candidates are compared until
    one has a higher weight, which takes a logarithmic number of comparisons.  That
    candidate is cached.  ``pop_ownership_candidates`` returns the services whose
    cached owner or cached heavier candidate has been removed.

    Parameters
    ----------
    me : str
        Name of this instance.
    live : EligibleInstances
        Instances that are eligible as owners.
    zones_of : callable
        Returns the zones of a service's targets; empty for an unknown service.

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
        live: EligibleInstances,
        zones_of: Callable[[str], frozenset[str]],
    ) -> None:
        self._me = me
        self._live = live
        self._zones_of = zones_of
        self._names: tuple[str, ...] = ()
        self._zones: dict[str, str] = {}
        self._by_zone: dict[str, list[str]] = {}
        self._cached_owners: dict[str, _CachedOwner] = {}
        self._heavier_names: dict[str, str] = {}
        self._ownership_candidates: set[str] = set()
        self._my_zone: str | None = None

    def owner(self, service: str) -> str | None:
        """Return the owner of a service, or None if no instance is eligible."""
        return self._get_cached_owner(service).name

    def _get_cached_owner(self, service: str) -> _CachedOwner:
        self._refresh()
        cached = self._cached_owners.get(service)
        if cached is None:
            zones = self._zones_of(service)
            cached = _CachedOwner(owner(service, self._candidates(zones)), zones)
            if zones:
                # Unknown services are not cached: callers choose their names freely.
                self._cached_owners[service] = cached
        return cached

    def is_owned_here(self, service: str) -> bool:
        """Return whether this instance owns a service or no instance is eligible."""
        self._refresh()
        if service in self._heavier_names:
            return False
        cached = self._cached_owners.get(service)
        if cached is not None:
            return cached.name == self._me
        if self._my_zone is None:
            self._ownership_candidates.add(service)
            return not self._names
        return self._compute_is_owner(service)

    def pop_ownership_candidates(self) -> set[str]:
        """Return and clear the services that this instance may now own.

        These are the services whose ownership may have moved to this instance since
        the last call.  Only services that were passed to ``is_owned_here`` or
        ``owner`` before are returned.
        """
        self._refresh()
        ownership_candidates = self._ownership_candidates
        self._ownership_candidates = set()
        return ownership_candidates

    def _compute_is_owner(self, service: str) -> bool:
        """Compare this instance with the candidates until one has a higher weight."""
        zones = self._zones_of(service)
        if not zones:
            return self.owner(service) == self._me
        candidates = self._candidates(zones)
        heavier_name: str | None = next(iter(candidates))
        if self._my_zone in zones or candidates is self._names:
            heavier_name = find_heavier(service, self._me, candidates)
        if heavier_name is None:
            self._cached_owners[service] = _CachedOwner(self._me, zones)
            return True
        self._heavier_names[service] = heavier_name
        return False

    def first_matching(
        self, service: str, predicate: Callable[[str], bool]
    ) -> str | None:
        """Return the first instance in rank order that matches, else the owner."""
        cached = self._get_cached_owner(service)
        if cached.name is None or predicate(cached.name):
            return cached.name
        ranked = top(service, self._candidates(cached.zones), RANKED_CANDIDATES_MAX)
        return next((name for name in ranked if predicate(name)), cached.name)

    def invalidate(self, service: str) -> None:
        """Discard the cached owner of a service whose record has changed."""
        self._cached_owners.pop(service, None)
        self._heavier_names.pop(service, None)

    def _candidates(self, zones: frozenset[str]) -> Collection[str]:
        if not zones:
            return self._names[:UNKNOWN_SERVICE_CANDIDATES_MAX]
        local = [name for zone in zones for name in self._by_zone.get(zone, ())]
        return local or self._names

    def _refresh(self) -> None:
        names = self._live.eligible_names()
        if names is self._names:
            return
        before, now = set(self._names), set(names)
        self._names = names
        self._group_by_zone(before - now, now - before)
        self._drop_entries_of(before - now)
        if self._me in now - before:
            self._ownership_candidates.update(self._heavier_names)
            self._heavier_names.clear()
        for name in now - before:
            self._add_candidate(name)

    def _group_by_zone(self, removed: set[str], added: set[str]) -> None:
        for name in removed:
            self._by_zone[self._zones.pop(name)].remove(name)
        for name in added:
            zone = self._zones[name] = self._live.zone_of(name)
            self._by_zone.setdefault(zone, []).append(name)
        self._my_zone = self._zones.get(self._me)

    def _drop_entries_of(self, removed: set[str]) -> None:
        if not removed:
            return
        lost = {
            service
            for service, heavier_name in self._heavier_names.items()
            if heavier_name in removed
        }
        for service in lost:
            del self._heavier_names[service]
        self._ownership_candidates |= lost
        owned = {
            service
            for service, one in self._cached_owners.items()
            if one.name in removed
        }
        for service in owned:
            self._drop_cached_owner(service)

    def _drop_cached_owner(self, service: str) -> None:
        del self._cached_owners[service]
        self._ownership_candidates.add(service)

    def _add_candidate(self, name: str) -> None:
        zone = self._zones[name]
        for service, cached in list(self._cached_owners.items()):
            if cached.name is None or self._zones[cached.name] not in cached.zones:
                # The cached owner was a fallback from outside the targets' zones.
                self._drop_cached_owner(service)
            elif zone in cached.zones:
                cached.name = owner(service, (cached.name, name))
                if cached.name == self._me:
                    self._ownership_candidates.add(service)

"""Selection of probe targets: a bounded number per instance."""

from bisect import bisect_left
from collections.abc import Callable, Iterator

from xxhash import xxh64_intdigest

from endivepick.membership.settings import MembershipSettings

_REBUILD_DIVISOR = 8
"""A ring is sorted again if more than one in this many names changed at once."""
_MAX_ZONE_STEPS = 8
"""Longest search along a ring for an instance of another zone, in steps."""


class _Ring:
    """Names ordered by their hashes with one seed."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._names: list[str] = []

    def _position(self, name: str) -> int:
        return xxh64_intdigest(name.encode(), self._seed)

    def rebuild(self, names: list[str]) -> None:
        """Replace all names."""
        self._names = sorted(names, key=self._position)

    def set_present(self, name: str, present: bool) -> None:
        """Add or remove a name."""
        index = self._index(name)
        known = self._names[index : index + 1] == [name]
        if present and not known:
            self._names.insert(index, name)
        elif known and not present:
            del self._names[index]

    def _index(self, name: str) -> int:
        return bisect_left(self._names, self._position(name), key=self._position)

    def iterate_from(self, name: str, step: int) -> Iterator[str]:
        """Yield the other names once, after (step 1) or before (step -1) a name."""
        index = self._index(name)
        for distance in range(1, len(self._names)):
            yield self._names[(index + step * distance) % len(self._names)]


class ProbeRings:
    """Selects the peers that this instance probes, so that every peer is probed.

    All instances order the names in the same hash rings.  Half of the rings contain
    a single zone each; in these an instance is probed by its predecessor.  In the
    others it is probed by the nearest predecessor of another zone.  So each instance
    is probed from its own zone and from others, once per ring.  An instance that
    leaves is replaced by its neighbor; all other pairs are unchanged.

    Parameters
    ----------
    settings : MembershipSettings
        Number of rings.
    name, zone : str
        This instance.
    """

    def __init__(self, settings: MembershipSettings, name: str, zone: str) -> None:
        self._settings = settings
        self._name = name
        self._zone = zone
        self._zone_by_name = {name: zone}
        self._changed_names = {name}
        self._targets: list[str] = []
        same_zone_count = settings.watchers // 2
        self._same_zone_rings = [_Ring(seed) for seed in range(same_zone_count)]
        self._cross_zone_rings = [
            _Ring(seed) for seed in range(same_zone_count, settings.watchers)
        ]

    def __len__(self) -> int:
        return len(self._zone_by_name)

    def __contains__(self, name: str) -> bool:
        return name in self._zone_by_name

    def add(self, name: str, zone: str) -> None:
        """Add a live peer, or change its zone."""
        if self._zone_by_name.get(name) != zone:
            self._zone_by_name[name] = zone
            self._changed_names.add(name)

    def remove(self, name: str) -> None:
        """Remove a peer that is suspect, dead or unknown."""
        if self._zone_by_name.pop(name, None) is not None:
            self._changed_names.add(name)

    def select_targets(self) -> list[str]:
        """Return the names of the peers that this instance probes."""
        if self._changed_names:
            self._update_rings()
            targets = dict.fromkeys(self._iterate_targets())
            self._targets = list(targets)
        return self._targets

    def _update_rings(self) -> None:
        for ring in self._same_zone_rings:
            self._update_ring(
                ring, lambda name: self._zone_by_name.get(name) == self._zone
            )
        for ring in self._cross_zone_rings:
            self._update_ring(ring, lambda name: name in self._zone_by_name)
        self._changed_names.clear()

    def _update_ring(self, ring: _Ring, belongs: Callable[[str], bool]) -> None:
        if len(self._changed_names) * _REBUILD_DIVISOR > len(self._zone_by_name):
            ring.rebuild([name for name in self._zone_by_name if belongs(name)])
            return
        for name in self._changed_names:
            ring.set_present(name, belongs(name))

    def _iterate_targets(self) -> Iterator[str]:
        for ring in self._same_zone_rings:
            yield from self._next_names(ring, 1)
        for ring in self._cross_zone_rings:
            yield from self._find_cross_zone_targets(ring)

    def _next_names(self, ring: _Ring, count: int) -> Iterator[str]:
        for _, name in zip(
            range(count), ring.iterate_from(self._name, 1), strict=False
        ):
            yield name

    def _find_cross_zone_targets(self, ring: _Ring) -> Iterator[str]:
        """Yield peers whose nearest predecessor of another zone is this instance.

        If no instance of another zone precedes a peer within ``_MAX_ZONE_STEPS``, its
        direct predecessor probes it.
        """
        following = list(self._next_names(ring, _MAX_ZONE_STEPS))
        if not following:
            return
        zone = self._zone_by_name[following[0]]
        if zone == self._zone:
            if self._successor_lacks_cross_zone_prober(ring):
                yield following[0]
            return
        for name in following:
            if self._zone_by_name[name] != zone:
                return
            yield name

    def _successor_lacks_cross_zone_prober(self, ring: _Ring) -> bool:
        """Tell whether the nearest predecessors of the successor share its zone."""
        preceding = zip(
            range(_MAX_ZONE_STEPS - 1), ring.iterate_from(self._name, -1), strict=False
        )
        return all(self._zone_by_name[name] == self._zone for _, name in preceding)

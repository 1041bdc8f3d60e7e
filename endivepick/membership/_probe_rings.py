"""Who watches whom: a few fixed peers each, whatever the number of instances."""

from bisect import bisect_left
from collections.abc import Callable, Iterator

from xxhash import xxh64_intdigest

from endivepick.membership.settings import MembershipSettings

_REBUILT_SHARE = 8
"""One change for so many names at once, and a ring is sorted anew."""
_RUN = 8
"""Steps that are taken along a ring to find an instance of another zone."""


class _Ring:
    """Names in the order of their hashes under one seed."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._names: list[str] = []

    def _position(self, name: str) -> int:
        return xxh64_intdigest(name.encode(), self._seed)

    def fill(self, names: list[str]) -> None:
        """Start anew with other names."""
        self._names = sorted(names, key=self._position)

    def put(self, name: str, present: bool) -> None:
        """Add or remove a name."""
        index = self._index(name)
        known = self._names[index : index + 1] == [name]
        if present and not known:
            self._names.insert(index, name)
        elif known and not present:
            del self._names[index]

    def _index(self, name: str) -> int:
        return bisect_left(self._names, self._position(name), key=self._position)

    def around(self, name: str, step: int) -> Iterator[str]:
        """Yield the names after (step 1) or before (step -1) a name, once each."""
        index = self._index(name)
        for distance in range(1, len(self._names)):
            yield self._names[(index + step * distance) % len(self._names)]


class WatchRings:
    """Chooses the peers that an instance probes, so that each one is probed.

    Every instance orders the names in the same rings.  In half of them, which
    hold one zone each, an instance is watched by the one before it.  In the others
    it is watched by the nearest before it in another zone.  So each instance has
    as many watchers as there are rings, in its own zone and in others; one that
    goes is replaced by the next, and all other pairs stay as they are.

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
        self._zones = {name: zone}
        self._changed = {name}
        self._targets: list[str] = []
        inner = settings.watchers // 2
        self._inner = [_Ring(seed) for seed in range(inner)]
        self._outer = [_Ring(seed) for seed in range(inner, settings.watchers)]

    def __len__(self) -> int:
        return len(self._zones)

    def __contains__(self, name: str) -> bool:
        return name in self._zones

    def add(self, name: str, zone: str) -> None:
        """Add a peer that can watch and be watched, or change its zone."""
        if self._zones.get(name) != zone:
            self._zones[name] = zone
            self._changed.add(name)

    def remove(self, name: str) -> None:
        """Remove a peer that is suspect, dead or forgotten."""
        if self._zones.pop(name, None) is not None:
            self._changed.add(name)

    def targets(self) -> list[str]:
        """Return the peers that this instance watches."""
        if self._changed:
            self._update()
            found = dict.fromkeys(self._found())
            self._targets = list(found)
        return self._targets

    def _update(self) -> None:
        for ring in self._inner:
            self._update_ring(ring, lambda name: self._zones.get(name) == self._zone)
        for ring in self._outer:
            self._update_ring(ring, lambda name: name in self._zones)
        self._changed.clear()

    def _update_ring(self, ring: _Ring, belongs: Callable[[str], bool]) -> None:
        if len(self._changed) * _REBUILT_SHARE > len(self._zones):
            ring.fill([name for name in self._zones if belongs(name)])
            return
        for name in self._changed:
            ring.put(name, belongs(name))

    def _found(self) -> Iterator[str]:
        for ring in self._inner:
            yield from self._first(ring, 1)
        for ring in self._outer:
            yield from self._of_other_zone(ring)

    def _first(self, ring: _Ring, count: int) -> Iterator[str]:
        for _, name in zip(range(count), ring.around(self._name, 1), strict=False):
            yield name

    def _of_other_zone(self, ring: _Ring) -> Iterator[str]:
        """Yield those for which this instance is the nearest of another zone."""
        nearest = list(self._first(ring, _RUN))
        if not nearest:
            return
        zone = self._zones[nearest[0]]
        if zone == self._zone:
            if self._is_end_of_run(ring):
                yield nearest[0]
            return
        for name in nearest:
            if self._zones[name] != zone:
                return
            yield name

    def _is_end_of_run(self, ring: _Ring) -> bool:
        """Tell whether the next one finds nobody of another zone before it."""
        before = zip(range(_RUN - 1), ring.around(self._name, -1), strict=False)
        return all(self._zones[name] == self._zone for _, name in before)

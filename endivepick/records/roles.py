"""Who watches the platform, who feeds whom, who writes the status.

All follow from rendezvous hashing over the instances that a node believes in.
Disagreement costs a message or a call, never a wrong configuration.
"""

from bisect import bisect
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from endivepick.core.rendezvous import rank
from endivepick.membership.view import InstanceView, PeerState
from endivepick.records.settings import DisseminationSettings

__all__ = ["ZoneRoles", "hash_names", "watchers_elsewhere", "compute_zone_roles"]


@dataclass(frozen=True)
class ZoneRoles:
    """Roles in one zone.

    Attributes
    ----------
    ranked : tuple of str
        Instances that can hold a role, first the watchers.
    others : tuple of str
        Instances that are leaving: fed, but without a role.
    watchers : tuple of str
        Instances that watch the platform.  For each suspected one among them
        another stands in.
    suspected : frozenset of str
        Instances that can hold a role but did not answer lately.
    """

    ranked: tuple[str, ...]
    others: tuple[str, ...]
    watchers: tuple[str, ...]
    suspected: frozenset[str]

    @property
    def status_writer(self) -> str | None:
        """Instance that writes the status of the zone."""
        return self.watchers[0] if self.watchers else None

    def compared(self, name: str, settings: DisseminationSettings) -> list[str]:
        """Return the watchers with which a watcher compares its records.

        Of the suspected ones only those count that watch by their rank: there may
        be as many as the zone has instances.
        """
        usual = self.ranked[: settings.watchers]
        return [
            peer
            for peer in self.watchers
            if peer != name and (peer in usual or peer not in self.suspected)
        ]

    def feeders(self, name: str, settings: DisseminationSettings) -> list[str]:
        """Return whom an instance subscribes to, the first choice first.

        The watchers form the first tier; each further tier is ``fan_out`` times
        as large as the one before and subscribes to it, ``fan_out`` instances to
        each at most.  Leaving instances come after all others.  Suspected feeders
        come last; who stands in for them is spread by hash.

        The first choice costs a pass over the tier: ask once for each change of
        the members.
        """
        tier, children = self._tiers_around(name, settings)
        first = [_dealt(children, tier)[name]] if tier and name in children else []
        chosen = rank(f"feeder:{name}", (peer for peer in tier if peer != name))
        spare = [peer for peer in self.watchers if peer not in tier and peer != name]
        # Duplicates go, the first of them stays.
        choices = dict.fromkeys(first + chosen + spare)
        return sorted(choices, key=lambda peer: peer in self.suspected)

    def _tiers_around(
        self, name: str, settings: DisseminationSettings
    ) -> tuple[Sequence[str], Sequence[str]]:
        """Return the tier above an instance, and its own unless it watches."""
        if name in self.watchers:
            return self.watchers, ()
        fed = self.ranked + self.others
        position = fed.index(name) if name in fed else len(fed)
        # Stand-ins do not count: a suspicion must not move the tiers.
        start, size = 0, min(settings.watchers, len(self.ranked))
        end = start + size + size * settings.fan_out
        while end <= position and end < len(self.ranked):
            start, size = start + size, size * settings.fan_out
            end = start + size + size * settings.fan_out
        if end >= len(self.ranked):
            # Nobody below feeds: the last tier has the leaving ones as well.
            end = len(fed)
        return self.ranked[start : start + size], fed[start + size : end]


def _dealt(children: Sequence[str], feeders: Sequence[str]) -> dict[str, str]:
    """Deal instances to feeders, as many to each but for one.

    Consistent hashing with bounded loads: each takes the next feeder of a ring
    that has room.  One more or less on either side moves few of the others.
    """
    ring = sorted((xxh3_64_intdigest(name.encode()), name) for name in feeders)
    room = [-(-len(children) // len(ring))] * len(ring)
    dealt = {}
    for name in children:
        place = bisect(ring, (xxh3_64_intdigest(name.encode()), name)) % len(ring)
        while not room[place]:
            place = (place + 1) % len(ring)
        room[place] -= 1
        dealt[name] = ring[place][1]
    return dealt


def compute_zone_roles(
    zone: str, members: Iterable[InstanceView], settings: DisseminationSettings
) -> ZoneRoles:
    """Work out the roles in a zone.

    Parameters
    ----------
    zone : str
        The zone.
    members : iterable of InstanceView
        All instances, this one included.
    settings : DisseminationSettings
        Number of watchers and fan-out.
    """
    present = [member for member in members if member.zone == zone]
    able = [
        member.name
        for member in present
        if member.state in (PeerState.ALIVE, PeerState.SUSPECT)
    ]
    leaving = [member.name for member in present if member.state is PeerState.LEAVING]
    suspected = frozenset(
        member.name for member in present if member.state is PeerState.SUSPECT
    )
    ranked = tuple(rank(f"configuration:{zone}", able))
    watchers = _with_stand_ins(ranked, suspected, settings.watchers)
    return ZoneRoles(ranked, tuple(sorted(leaving)), watchers, suspected)


def _with_stand_ins(
    ranked: Sequence[str], suspected: Collection[str], count: int
) -> tuple[str, ...]:
    """Return the first names, so many that ``count`` of them are not suspected."""
    chosen: list[str] = []
    for name in ranked:
        if count == 0:
            break
        chosen.append(name)
        count -= name not in suspected
    return tuple(chosen)


def watchers_elsewhere(
    zone: str,
    peers: Collection[InstanceView],
    turn: int,
    settings: DisseminationSettings,
) -> list[str]:
    """Choose one watcher in each of some other zones.

    Parameters
    ----------
    zone : str
        The own zone.
    peers : collection of InstanceView
        All peers.
    turn : int
        Number that grows by one from choice to choice, so that all zones and all
        their watchers have their turn.
    settings : DisseminationSettings
        How many zones to choose.
    """
    zones = sorted({peer.zone for peer in peers} - {zone})
    count = min(len(zones), settings.zones_per_digest)
    chosen = []
    for step in range(turn * count, (turn + 1) * count):
        lap, index = divmod(step, len(zones))
        watchers = compute_zone_roles(zones[index], peers, settings).watchers
        if watchers:
            chosen.append(watchers[lap % len(watchers)])
    return chosen


def hash_names(names: Iterable[str]) -> int:
    """Return the exclusive or of the hashes of names, 64 bits."""
    result = 0
    for name in names:
        result ^= xxh3_64_intdigest(name.encode())
    return result

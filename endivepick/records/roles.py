"""Assignment of watchers, feeders and the status writer of a zone.

All roles result from rendezvous hashing over the membership view.  If the views of
instances differ, this costs additional messages or calls, but the configuration
stays correct.
"""

from bisect import bisect
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from endivepick.core.rendezvous import rank
from endivepick.membership.view import InstanceView, PeerState
from endivepick.records.settings import DisseminationSettings

__all__ = ["ZoneRoles", "hash_names", "choose_remote_watchers", "compute_zone_roles"]


@dataclass(frozen=True)
class ZoneRoles:
    """Roles of the instances of a zone.

    Attributes
    ----------
    ranked : tuple of str
        Instances that are eligible for a role, watchers first.
    leaving : tuple of str
        Instances that are leaving; they receive changes but hold no role.
    watchers : tuple of str
        Instances that watch the platform.  Each suspected watcher has a substitute.
    suspected : frozenset of str
        Eligible instances that are suspected to have failed.
    """

    ranked: tuple[str, ...]
    leaving: tuple[str, ...]
    watchers: tuple[str, ...]
    suspected: frozenset[str]

    @property
    def status_writer(self) -> str | None:
        """Instance that writes the status of the zone, or None."""
        return self.watchers[0] if self.watchers else None

    def choose_digest_partners(
        self, name: str, settings: DisseminationSettings
    ) -> list[str]:
        """Return the watchers with which a watcher exchanges digests.

        Suspected watchers are included only if their rank makes them watchers,
        because all instances of a zone may be suspected.
        """
        default_watchers = self.ranked[: settings.watchers]
        return [
            peer
            for peer in self.watchers
            if peer != name and (peer in default_watchers or peer not in self.suspected)
        ]

    def rank_feeders(self, name: str, settings: DisseminationSettings) -> list[str]:
        """Return the candidate feeders of an instance, best first.

        The watchers form the first tier.  Each further tier is ``fan_out`` times as
        large as the previous one and subscribes to it, with at most ``fan_out``
        subscribers per feeder.  Leaving instances are in the last tier.  Suspected
        feeders are ranked last; hashing distributes their subscribers over the
        other feeders.

        Computing the first choice takes time linear in the size of the tier, so
        callers should cache the result until the membership changes.
        """
        feeder_tier, own_tier = self._find_tiers(name, settings)
        first = (
            [_assign_balanced(own_tier, feeder_tier)[name]]
            if feeder_tier and name in own_tier
            else []
        )
        chosen = rank(f"feeder:{name}", (peer for peer in feeder_tier if peer != name))
        fallbacks = [
            peer for peer in self.watchers if peer not in feeder_tier and peer != name
        ]
        # Removes duplicates and keeps their first position.
        choices = dict.fromkeys(first + chosen + fallbacks)
        return sorted(choices, key=lambda peer: peer in self.suspected)

    def _find_tiers(
        self, name: str, settings: DisseminationSettings
    ) -> tuple[Sequence[str], Sequence[str]]:
        """Return the tier above an instance, and its own tier unless it watches."""
        if name in self.watchers:
            return self.watchers, ()
        receivers = self.ranked + self.leaving
        position = receivers.index(name) if name in receivers else len(receivers)
        # Substitutes are not counted, so that a suspicion does not shift the tiers.
        start, size = 0, min(settings.watchers, len(self.ranked))
        end = start + size + size * settings.fan_out
        while end <= position and end < len(self.ranked):
            start, size = start + size, size * settings.fan_out
            end = start + size + size * settings.fan_out
        if end >= len(self.ranked):
            # The last tier has no subscribers and includes the leaving instances.
            end = len(receivers)
        return self.ranked[start : start + size], receivers[start + size : end]


def _assign_balanced(
    subscribers: Sequence[str], feeders: Sequence[str]
) -> dict[str, str]:
    """Assign instances to feeders with consistent hashing with bounded loads.

    Each instance takes the next feeder on a hash ring that has capacity left, so no
    feeder exceeds the mean load, rounded up.  Adding or removing a feeder or an
    instance moves few of the others.
    """
    ring = sorted((xxh3_64_intdigest(name.encode()), name) for name in feeders)
    capacity = [-(-len(subscribers) // len(ring))] * len(ring)
    assigned = {}
    for name in subscribers:
        slot = bisect(ring, (xxh3_64_intdigest(name.encode()), name)) % len(ring)
        while not capacity[slot]:
            slot = (slot + 1) % len(ring)
        capacity[slot] -= 1
        assigned[name] = ring[slot][1]
    return assigned


def compute_zone_roles(
    zone: str, members: Iterable[InstanceView], settings: DisseminationSettings
) -> ZoneRoles:
    """Compute the roles of the instances in a zone.

    Parameters
    ----------
    zone : str
        Availability zone.
    members : iterable of InstanceView
        All instances, including this one.
    settings : DisseminationSettings
        Number of watchers and fan-out.
    """
    present = [member for member in members if member.zone == zone]
    eligible = [
        member.name
        for member in present
        if member.state in (PeerState.ALIVE, PeerState.SUSPECT)
    ]
    leaving = [member.name for member in present if member.state is PeerState.LEAVING]
    suspected = frozenset(
        member.name for member in present if member.state is PeerState.SUSPECT
    )
    ranked = tuple(rank(f"configuration:{zone}", eligible))
    watchers = _add_substitutes(ranked, suspected, settings.watchers)
    return ZoneRoles(ranked, tuple(sorted(leaving)), watchers, suspected)


def _add_substitutes(
    ranked: Sequence[str], suspected: Collection[str], count: int
) -> tuple[str, ...]:
    """Return the shortest prefix with ``count`` names that are not suspected."""
    chosen: list[str] = []
    for name in ranked:
        if count == 0:
            break
        chosen.append(name)
        count -= name not in suspected
    return tuple(chosen)


def choose_remote_watchers(
    zone: str,
    peers: Collection[InstanceView],
    round_number: int,
    settings: DisseminationSettings,
) -> list[str]:
    """Choose one watcher in each of several other zones.

    Parameters
    ----------
    zone : str
        Zone of this instance; not chosen.
    peers : collection of InstanceView
        All peers.
    round_number : int
        Number that increases by one per call, for a round-robin choice of zones and
        of their watchers.
    settings : DisseminationSettings
        Number of zones to choose.
    """
    zones = sorted({peer.zone for peer in peers} - {zone})
    count = min(len(zones), settings.zones_per_digest)
    chosen = []
    for step in range(round_number * count, (round_number + 1) * count):
        cycle, index = divmod(step, len(zones))
        watchers = compute_zone_roles(zones[index], peers, settings).watchers
        if watchers:
            chosen.append(watchers[cycle % len(watchers)])
    return chosen


def hash_names(names: Iterable[str]) -> int:
    """Return the exclusive or of the hashes of names (64 bits)."""
    result = 0
    for name in names:
        result ^= xxh3_64_intdigest(name.encode())
    return result

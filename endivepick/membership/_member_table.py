"""Member table and the rules for merging updates."""

from types import MappingProxyType

import msgspec

from endivepick.membership._gossip_queue import GossipQueue
from endivepick.membership._local_health import LocalHealth
from endivepick.membership._mass_loss import MassLossDetector
from endivepick.membership._member import BUCKET_COUNT, Member, compute_bucket
from endivepick.membership._outbox import Outbox
from endivepick.membership._own_status import OwnStatus
from endivepick.membership._probe_rings import ProbeRings
from endivepick.membership._suspicion import SuspicionTimers
from endivepick.membership.actions import PeerChanged, Superseded
from endivepick.membership.peer_messages import (
    Liveness,
    MemberUpdate,
    Phase,
    ShortUpdate,
)
from endivepick.membership.settings import MembershipSettings
from endivepick.membership.view import InstanceView, ListedInstance, PeerState


def _is_eligible_for_roles(view: InstanceView) -> bool:
    serving = view.state in (PeerState.ALIVE, PeerState.SUSPECT)
    return serving and view.ready


class MemberTable:
    """Entries and timers of all peers, by name."""

    def __init__(
        self, settings: MembershipSettings, own: OwnStatus, outbox: Outbox
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self.own = own
        self.members: dict[str, Member] = {}
        self.buckets: list[dict[str, Member]] = [{} for _ in range(BUCKET_COUNT)]
        self.dead: dict[str, Member] = {}
        self.superseded: dict[int, tuple[str, float]] = {}
        self.health = LocalHealth(settings)
        self.losses = MassLossDetector(settings)
        self.rings = ProbeRings(settings, own.name, own.to_view().zone)
        self.timers = SuspicionTimers(settings, self.losses)
        # Own status and new incarnations, which always need a full update.
        self.full_update_queue: GossipQueue[str] = GossipQueue(settings.spread_factor)
        # Later changes of known incarnations; a short update suffices.
        self.short_update_queue: GossipQueue[str] = GossipQueue(settings.spread_factor)
        self._by_incarnation: dict[int, Member] = {}
        self._views: dict[str, InstanceView] = {}
        self._eligible_names: set[str] = set()
        self._cached_live_names: tuple[str, ...] | None = None
        self._set_view(own.name, own.to_view())
        self._gossip_enabled = True

    # Queries

    @property
    def view(self) -> MappingProxyType[str, InstanceView]:
        """Return all known instances, this one included."""
        return MappingProxyType(self._views)

    @property
    def live_names(self) -> tuple[str, ...]:
        """Return the sorted names of the instances that may be assigned roles."""
        if self._cached_live_names is None:
            self._cached_live_names = tuple(sorted(self._eligible_names))
        return self._cached_live_names

    def find_update(self, name: str) -> MemberUpdate | None:
        """Return an update about an instance, or None if it is unknown."""
        if name == self.own.name:
            return self.own.to_update()
        member = self.members.get(name)
        return member.to_update() if member and member.is_identified else None

    def take_updates(self, count: int) -> list[MemberUpdate]:
        """Return up to ``count`` updates to piggyback on one message."""
        names: list[str] = []
        if not self._has_short_overflow:
            others = min(len(self.full_update_queue), count // 2)
            names += self.short_update_queue.take(count - others)
        names += self.full_update_queue.take(count - len(names))
        updates = [self.find_update(name) for name in names]
        return [update for update in updates if update is not None]

    def take_short_updates(self) -> list[ShortUpdate]:
        """Return short updates for one message if too many are queued for full ones."""
        if not self._has_short_overflow:
            return []
        names = self.short_update_queue.take(self._settings.short_count)
        members = [self.members[name] for name in names]
        return [member.to_short_update() for member in members]

    @property
    def _has_short_overflow(self) -> bool:
        return len(self.short_update_queue) > self._settings.piggyback_count

    # Events

    def merge(
        self, now_s: float, update: MemberUpdate, is_gossiped: bool = True
    ) -> None:
        """Merge an update about an instance if it is newer.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        update : MemberUpdate
            The update.
        is_gossiped : bool
            Whether to gossip changes; False if other instances already know them.
        """
        self._gossip_enabled = is_gossiped
        self._merge(now_s, update)
        self._gossip_enabled = True

    def merge_short(self, now_s: float, short: ShortUpdate) -> None:
        """Merge a short update; ignore it if the incarnation is unknown."""
        if short.incarnation == self.own.incarnation:
            known = self.own.to_update()
        elif short.incarnation in self._by_incarnation:
            known = self._by_incarnation[short.incarnation].to_update()
        else:
            return
        update = msgspec.structs.replace(
            known,
            phase=short.phase,
            refutation=short.refutation,
            liveness=short.liveness,
            accuser="",
        )
        self._merge(now_s, update)

    def _merge(self, now_s: float, update: MemberUpdate) -> None:
        if update.name == self.own.name:
            self._merge_own(update)
            return
        if update.incarnation == 0:
            return
        member = self.members.get(update.name)
        if member is None:
            member = self._insert(update.name, update.zone, update.peer_address)
        if member.incarnation == update.incarnation:
            self._merge_same_incarnation(now_s, member, update)
        elif not member.is_identified or self._supersedes(update, member):
            self._replace_incarnation(now_s, member, update)
        else:
            self._record_superseded(now_s, update.incarnation, update.name)

    def add_listed(self, now_s: float, entry: ListedInstance) -> Member:
        """Add a peer that is only known from the platform's list."""
        member = self._insert(entry.name, entry.zone, entry.peer_address)
        member.known_since_s = now_s
        self.losses.mark_alive(member.name, member.zone)
        self.publish(member)
        return member

    def update_listed_address(self, member: Member, entry: ListedInstance) -> None:
        """Set zone and address of a peer that is only known from the list."""
        member.set_zone_and_address(entry)
        if member.name in self.rings:
            self.rings.add(member.name, member.zone)
        self.publish(member)

    def suspect(self, now_s: float, name: str, accuser: str) -> None:
        """Suspect a peer whose probe failed."""
        member = self.members.get(name)
        if member is None or member.liveness is Liveness.DEAD:
            return
        self._set_suspect(now_s, member, accuser)

    def declare_dead(self, now_s: float, name: str) -> None:
        """Declare a peer dead after its suspicion timeout."""
        member = self.members[name]
        member.accuser = ""
        self._set_dead(now_s, member)

    def remove_member(self, name: str) -> None:
        """Remove the entry of a peer."""
        member = self.members.pop(name)
        self._by_incarnation.pop(member.incarnation, None)
        del self.buckets[compute_bucket(name)][name]
        self.dead.pop(name, None)
        self.rings.remove(name)
        self.timers.stop(name)
        self.full_update_queue.discard(name)
        self.short_update_queue.discard(name)
        self.losses.remove(name)
        old = self._views.pop(name, None)
        if old is not None:
            self._outbox.add(PeerChanged(old, None))
        self._set_eligible(name, False)

    def publish_own_status(self) -> None:
        """Gossip and publish a change of this instance's own status."""
        self.full_update_queue.put(self.own.name, len(self.members))
        self._set_view(self.own.name, self.own.to_view())

    def publish(self, member: Member) -> None:
        """Publish the view of a peer if it changed."""
        old = self._views.get(member.name)
        new = member.to_view()
        if old == new:
            return
        self._set_view(member.name, new)
        self._outbox.add(PeerChanged(old, new))

    def _set_view(self, name: str, view: InstanceView) -> None:
        self._views[name] = view
        self._set_eligible(name, _is_eligible_for_roles(view))

    def _set_eligible(self, name: str, is_eligible: bool) -> None:
        if is_eligible == (name in self._eligible_names):
            return
        self._cached_live_names = None
        if is_eligible:
            self._eligible_names.add(name)
        else:
            self._eligible_names.discard(name)

    def set_listed(self, member: Member, leaving: bool) -> bool:
        """Set whether the platform lists a peer as leaving.

        Returns
        -------
        bool
            Whether the value changed.
        """
        is_new = member.set_listed_leaving(leaving)
        if is_new:
            self.publish(member)
        return is_new

    # Merge rules

    def _insert(self, name: str, zone: str, peer_address: str) -> Member:
        member = Member(name, zone, peer_address)
        self.members[name] = member
        self.rings.add(name, zone)
        self.buckets[compute_bucket(name)][name] = member
        return member

    def _merge_own(self, update: MemberUpdate) -> None:
        own = self.own
        if update.incarnation == own.incarnation:
            if own.refute(update):
                self.health.worsen()
                self.publish_own_status()
            return
        known = own.superseded_by
        if own.resolve_name_conflict(update):
            self.publish_own_status()
        elif own.superseded_by != known:
            self._outbox.add(Superseded(own.superseded_by))
            self._outbox.log(
                "superseded by a newer incarnation; beginning planned stop"
            )
            self.publish_own_status()

    def _supersedes(self, update: MemberUpdate, member: Member) -> bool:
        return (update.generation, update.incarnation) > member.incarnation_order

    def _replace_incarnation(
        self, now_s: float, member: Member, update: MemberUpdate
    ) -> None:
        if member.is_identified:
            self._record_superseded(now_s, member.incarnation, member.name)
        self.timers.stop(member.name)
        self.dead.pop(member.name, None)
        self._by_incarnation.pop(member.incarnation, None)
        member.reset_to_incarnation(update, now_s)
        self.short_update_queue.discard(member.name)
        self._by_incarnation[member.incarnation] = member
        self.rings.add(member.name, member.zone)
        if self._gossip_enabled:
            self.full_update_queue.put(member.name, len(self.members))
        self._merge_same_incarnation(now_s, member, update, changed=True)

    def _record_superseded(self, now_s: float, incarnation: int, name: str) -> None:
        self.superseded.pop(incarnation, None)
        self.superseded[incarnation] = (name, now_s)

    def _merge_same_incarnation(
        self, now_s: float, member: Member, update: MemberUpdate, changed: bool = False
    ) -> None:
        if update.generation > member.generation:
            member.generation = update.generation
            changed = True
        if update.phase > member.phase:
            member.advance_phase(update.phase)
            changed = True
        if update.refutation > member.refutation:
            member.refutation = update.refutation
            self._set_alive(member)
            changed = True
        if update.refutation == member.refutation:
            changed |= self._merge_liveness(now_s, member, update)
        if member.phase is Phase.STOPPED and member.liveness is not Liveness.DEAD:
            self._set_dead(now_s, member)
        if changed:
            self._gossip_and_publish(member)

    def _merge_liveness(
        self, now_s: float, member: Member, update: MemberUpdate
    ) -> bool:
        if update.liveness is Liveness.ALIVE:
            if member.liveness is Liveness.ALIVE:
                self.losses.mark_alive(member.name, member.zone)
            return False
        if member.liveness is Liveness.DEAD:
            return False
        if update.liveness is Liveness.DEAD and self._accepts_reported_death(
            now_s, member
        ):
            self._set_dead(now_s, member)
            return True
        return self._set_suspect(now_s, member, update.accuser)

    def _accepts_reported_death(self, now_s: float, member: Member) -> bool:
        """Count the peer as lost; tell whether its reported death is accepted.

        The report only counts as a suspicion if a recent probe was answered, or in a
        mass loss.
        """
        self.losses.mark_lost(member.name)
        if now_s - member.last_ack_s < self._settings.fresh_evidence_s:
            return False
        return not self.losses.is_mass_loss(member.zone)

    def _set_alive(self, member: Member) -> None:
        member.accuser = ""
        member.set_liveness(Liveness.ALIVE)
        self.timers.stop(member.name)
        self.dead.pop(member.name, None)
        self.rings.add(member.name, member.zone)
        self.losses.mark_alive(member.name, member.zone)

    def _set_suspect(self, now_s: float, member: Member, accuser: str) -> bool:
        is_new_suspicion = member.liveness is Liveness.ALIVE
        if is_new_suspicion:
            member.set_liveness(Liveness.SUSPECT)
            self.rings.remove(member.name)
            # Count the peer again if its earlier death was removed from the counts;
            # `timers.start` then marks it lost.
            self.losses.mark_alive(member.name, member.zone)
            self.timers.start(member.name, now_s)
            self._outbox.log("suspects a peer", member.name)
        confirmed = self.timers.confirm(member.name, accuser)
        if confirmed:
            member.accuser = accuser
        if is_new_suspicion or confirmed:
            self._gossip_and_publish(member)
        return is_new_suspicion or confirmed

    def _set_dead(self, now_s: float, member: Member) -> None:
        member.set_liveness(Liveness.DEAD)
        member.died_s = now_s
        self.timers.stop(member.name)
        self.losses.mark_dead(member.name, now_s)
        self.dead[member.name] = member
        self.rings.remove(member.name)
        self._outbox.log("declares a peer dead", member.name)
        self._gossip_and_publish(member)

    def _gossip_and_publish(self, member: Member) -> None:
        if member.is_identified and self._gossip_enabled:
            # Peers may not know an incarnation whose full update is still queued.
            known = member.name not in self.full_update_queue
            queue = self.short_update_queue if known else self.full_update_queue
            queue.put(member.name, len(self.members))
        self.publish(member)

    def is_dead(self, member: Member) -> bool:
        """Tell whether a peer is declared dead."""
        return member.state == PeerState.DEAD.value

"""The table of peers and the rules by which news about them merge."""

from types import MappingProxyType

import msgspec

from endivepick.membership._gossip_queue import SpreadQueue
from endivepick.membership._local_health import LocalHealth
from endivepick.membership._mass_loss import LossWatch
from endivepick.membership._member import BUCKET_COUNT, Member, bucket_of
from endivepick.membership._outbox import Outbox
from endivepick.membership._own_status import OwnStatus
from endivepick.membership._probe_rings import WatchRings
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


def _may_take_roles(view: InstanceView) -> bool:
    serving = view.state in (PeerState.ALIVE, PeerState.SUSPECT)
    return serving and view.ready


class MemberTable:
    """All peers by name; owns their entries and timers."""

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
        self.losses = LossWatch(settings)
        self.rings = WatchRings(settings, own.name, own.to_view().zone)
        self.timers = SuspicionTimers(settings, self.losses)
        self.spread: SpreadQueue[str] = SpreadQueue(settings.spread_factor)
        self.spread_short: SpreadQueue[str] = SpreadQueue(settings.spread_factor)
        self._by_incarnation: dict[int, Member] = {}
        self._views: dict[str, InstanceView] = {}
        self._takes_roles: set[str] = set()
        self._live: tuple[str, ...] | None = None
        self._show(own.name, own.to_view())
        self._passes_on = True

    # What others read

    @property
    def view(self) -> MappingProxyType[str, InstanceView]:
        """Return all known instances, this one included."""
        return MappingProxyType(self._views)

    @property
    def live_names(self) -> tuple[str, ...]:
        """Return the names that take roles, sorted."""
        if self._live is None:
            self._live = tuple(sorted(self._takes_roles))
        return self._live

    def update_of(self, name: str) -> MemberUpdate | None:
        """Return the news about an instance, or None if there are none."""
        if name == self.own.name:
            return self.own.to_update()
        member = self.members.get(name)
        return member.to_update() if member and member.heard else None

    def take_news(self, count: int) -> list[MemberUpdate]:
        """Return the piggy-backed updates of one message."""
        names: list[str] = []
        if not self._has_many_short:
            others = min(len(self.spread), count // 2)
            names += self.spread_short.take(count - others)
        names += self.spread.take(count - len(names))
        updates = [self.update_of(name) for name in names]
        return [update for update in updates if update is not None]

    def take_short(self) -> list[ShortUpdate]:
        """Return the news of one message that are too many for updates."""
        if not self._has_many_short:
            return []
        names = self.spread_short.take(self._settings.short_count)
        members = [self.members[name] for name in names]
        return [member.to_short_update() for member in members]

    @property
    def _has_many_short(self) -> bool:
        return len(self.spread_short) > self._settings.piggyback_count

    # Events

    def merge(self, now_s: float, update: MemberUpdate, passed_on: bool = True) -> None:
        """Take over news about an instance if they are newer.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        update : MemberUpdate
            The news.
        passed_on : bool
            Whether to spread them; False for what others know already.
        """
        self._passes_on = passed_on
        self._merge(now_s, update)
        self._passes_on = True

    def merge_short(self, now_s: float, short: ShortUpdate) -> None:
        """Take over short news; about an unknown incarnation they say nothing."""
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
            self._merge_same(now_s, member, update)
        elif not member.heard or self._supersedes(update, member):
            self._replace(now_s, member, update)
        else:
            self._bury_incarnation(now_s, update.incarnation, update.name)

    def add_listed(self, now_s: float, entry: ListedInstance) -> Member:
        """Add a peer that only the platform's list knows."""
        member = self._insert(entry.name, entry.zone, entry.peer_address)
        member.heard_since_s = now_s
        self.losses.add(member.name, member.zone)
        self.publish(member)
        return member

    def describe(self, member: Member, entry: ListedInstance) -> None:
        """Take over zone and address of a peer that only the list knows."""
        member.describe(entry)
        if member.name in self.rings:
            self.rings.add(member.name, member.zone)
        self.publish(member)

    def suspect(self, now_s: float, name: str, accuser: str) -> None:
        """Suspect a peer by an own finding."""
        member = self.members.get(name)
        if member is None or member.liveness is Liveness.DEAD:
            return
        self._set_suspect(now_s, member, accuser)

    def declare_dead(self, now_s: float, name: str) -> None:
        """Give a peer up, by an own time-out or by its own word."""
        member = self.members[name]
        member.accuser = ""
        self._set_dead(now_s, member)

    def forget(self, name: str) -> None:
        """Drop the entry of a peer."""
        member = self.members.pop(name)
        self._by_incarnation.pop(member.incarnation, None)
        del self.buckets[bucket_of(name)][name]
        self.dead.pop(name, None)
        self.rings.remove(name)
        self.timers.stop(name)
        self.spread.discard(name)
        self.spread_short.discard(name)
        self.losses.remove(name)
        old = self._views.pop(name, None)
        if old is not None:
            self._outbox.add(PeerChanged(old, None))
        self._set_takes_roles(name, False)

    def own_changed(self) -> None:
        """Spread and show a change of this instance's own status."""
        self.spread.put(self.own.name, len(self.members))
        self._show(self.own.name, self.own.to_view())

    def publish(self, member: Member) -> None:
        """Show a change of a peer, if there is one to show."""
        old = self._views.get(member.name)
        new = member.to_view()
        if old == new:
            return
        self._show(member.name, new)
        self._outbox.add(PeerChanged(old, new))

    def _show(self, name: str, view: InstanceView) -> None:
        self._views[name] = view
        self._set_takes_roles(name, _may_take_roles(view))

    def _set_takes_roles(self, name: str, takes_roles: bool) -> None:
        if takes_roles == (name in self._takes_roles):
            return
        self._live = None
        if takes_roles:
            self._takes_roles.add(name)
        else:
            self._takes_roles.discard(name)

    def set_listed(self, member: Member, leaving: bool) -> bool:
        """Take over whether the platform's list says that a peer leaves.

        Returns
        -------
        bool
            Whether that is new.
        """
        is_new = member.set_listed_leaving(leaving)
        if is_new:
            self.publish(member)
        return is_new

    # Rules

    def _insert(self, name: str, zone: str, peer_address: str) -> Member:
        member = Member(name, zone, peer_address)
        self.members[name] = member
        self.rings.add(name, zone)
        self.buckets[bucket_of(name)][name] = member
        return member

    def _merge_own(self, update: MemberUpdate) -> None:
        own = self.own
        if update.incarnation == own.incarnation:
            if own.refute(update):
                self.health.worsen()
                self.own_changed()
            return
        known = own.superseded_by
        if own.meet_namesake(update):
            self.own_changed()
        elif own.superseded_by != known:
            self._outbox.add(Superseded(own.superseded_by))
            self._outbox.log("another incarnation took this name")
            self.own_changed()

    def _supersedes(self, update: MemberUpdate, member: Member) -> bool:
        return (update.generation, update.incarnation) > member.age_key

    def _replace(self, now_s: float, member: Member, update: MemberUpdate) -> None:
        if member.heard:
            self._bury_incarnation(now_s, member.incarnation, member.name)
        self.timers.stop(member.name)
        self.dead.pop(member.name, None)
        self._by_incarnation.pop(member.incarnation, None)
        member.adopt(update, now_s)
        self.spread_short.discard(member.name)
        self._by_incarnation[member.incarnation] = member
        self.rings.add(member.name, member.zone)
        if self._passes_on:
            self.spread.put(member.name, len(self.members))
        self._merge_same(now_s, member, update, news=True)

    def _bury_incarnation(self, now_s: float, incarnation: int, name: str) -> None:
        self.superseded.pop(incarnation, None)
        self.superseded[incarnation] = (name, now_s)

    def _merge_same(
        self, now_s: float, member: Member, update: MemberUpdate, news: bool = False
    ) -> None:
        if update.generation > member.generation:
            member.generation = update.generation
            news = True
        if update.phase > member.phase:
            member.advance_phase(update.phase)
            news = True
        if update.refutation > member.refutation:
            member.refutation = update.refutation
            self._set_alive(member)
            news = True
        if update.refutation == member.refutation:
            news |= self._merge_liveness(now_s, member, update)
        if member.phase is Phase.STOPPED and member.liveness is not Liveness.DEAD:
            self._set_dead(now_s, member)
        if news:
            self._spread_and_publish(member)

    def _merge_liveness(
        self, now_s: float, member: Member, update: MemberUpdate
    ) -> bool:
        if update.liveness is Liveness.ALIVE:
            if member.liveness is Liveness.ALIVE:
                self.losses.add(member.name, member.zone)
            return False
        if member.liveness is Liveness.DEAD:
            return False
        if update.liveness is Liveness.DEAD and self._believes_death(now_s, member):
            self._set_dead(now_s, member)
            return True
        return self._set_suspect(now_s, member, update.accuser)

    def _believes_death(self, now_s: float, member: Member) -> bool:
        """Doubt a death by hearsay against own evidence or in a mass loss."""
        self.losses.lose(member.name)
        if now_s - member.last_ack_s < self._settings.fresh_evidence_s:
            return False
        return not self.losses.is_mass(member.zone)

    def _set_alive(self, member: Member) -> None:
        member.accuser = ""
        member.set_liveness(Liveness.ALIVE)
        self.timers.stop(member.name)
        self.dead.pop(member.name, None)
        self.rings.add(member.name, member.zone)
        self.losses.add(member.name, member.zone)

    def _set_suspect(self, now_s: float, member: Member, accuser: str) -> bool:
        began = member.liveness is Liveness.ALIVE
        if began:
            member.set_liveness(Liveness.SUSPECT)
            self.rings.remove(member.name)
            self.losses.add(member.name, member.zone)
            self.timers.start(member.name, now_s)
            self._outbox.log("suspects a peer", member.name)
        confirmed = self.timers.confirm(member.name, accuser)
        if confirmed:
            member.accuser = accuser
        if began or confirmed:
            self._spread_and_publish(member)
        return began or confirmed

    def _set_dead(self, now_s: float, member: Member) -> None:
        member.set_liveness(Liveness.DEAD)
        member.died_s = now_s
        self.timers.stop(member.name)
        self.losses.bury(member.name, now_s)
        self.dead[member.name] = member
        self.rings.remove(member.name)
        self._outbox.log("declares a peer dead", member.name)
        self._spread_and_publish(member)

    def _spread_and_publish(self, member: Member) -> None:
        if member.heard and self._passes_on:
            # Others may not know an incarnation that is still being introduced.
            known = member.name not in self.spread
            queue = self.spread_short if known else self.spread
            queue.put(member.name, len(self.members))
        self.publish(member)

    def is_dead(self, member: Member) -> bool:
        """Tell whether a peer is given up."""
        return member.state == PeerState.DEAD.value

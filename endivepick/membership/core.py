"""Membership protocol as a deterministic core without input or output."""

from collections.abc import Iterable, Mapping

from endivepick.membership._anti_entropy import AntiEntropy
from endivepick.membership._death_queries import DeathQueries
from endivepick.membership._handover_log import HandOverLog
from endivepick.membership._member_table import MemberTable
from endivepick.membership._outbox import Outbox
from endivepick.membership._own_status import OwnStatus
from endivepick.membership._prober import Prober
from endivepick.membership._seed_contacts import SeedContacts
from endivepick.membership.actions import Action, LeaveRequested
from endivepick.membership.peer_messages import (
    UNSOLICITED,
    Ack,
    LeaveWish,
    MembershipMessage,
    Phase,
    Ping,
    PingRequest,
    ProbeReport,
    SyncDigest,
    SyncPage,
    SyncRequest,
)
from endivepick.membership.settings import MembershipSettings
from endivepick.membership.view import InstanceView, ListedInstance

__all__ = ["Membership"]

_PRUNE_PERIOD_S = 10.0


class Membership:
    """View that one instance has of all others.

    The core has no socket, clock or random generator; each event is passed the time
    and returns the actions to perform.  A wrong view may cause an additional
    hop or uneven load, but not incorrect forwarding.

    Parameters
    ----------
    settings : MembershipSettings
        Periods, timeouts and limits.
    me : InstanceView
        This instance; with ``ready=False`` it gets no role until ``set_ready``.
    generation : int
        Wall-clock start time in milliseconds; orders the incarnations of one name.

    Examples
    --------
    >>> from endivepick.membership import (
    ...     InstanceView, ListedInstance, Membership, MembershipSettings, PeerState
    ... )
    >>> me = InstanceView("entry-1", "thamel", 11, "127.0.0.1:1", PeerState.ALIVE)
    >>> membership = Membership(MembershipSettings(), me, generation=1)
    >>> peers = [ListedInstance("entry-2", "thamel", "127.0.0.1:2")]
    >>> changes = membership.on_instance_list(0.0, peers)
    >>> [type(action).__name__ for action in membership.tick(0.0, 5)]
    ['Send', 'Send']
    >>> membership.live_names()
    ('entry-1',)
    """

    def __init__(
        self, settings: MembershipSettings, me: InstanceView, generation: int = 1
    ) -> None:
        self._settings = settings
        self._outbox = Outbox()
        self._own = OwnStatus(me, generation)
        self._table = MemberTable(settings, self._own, self._outbox)
        self._handovers = HandOverLog(settings)
        parts = (settings, self._table, self._handovers, self._outbox)
        self._prober = Prober(*parts)
        self._anti_entropy = AntiEntropy(*parts)
        self._seeds = SeedContacts(settings, self._table, self._outbox)
        self._now_s: float | None = None
        self._started_s = 0.0
        self._next_prune_s = float("-inf")
        self._death_queries = DeathQueries(settings, self._table, self._prober)
        self._leave_requested = False

    # Queries

    @property
    def joined(self) -> bool:
        """Whether a peer's full view has arrived, or no peer could provide it."""
        return self._own.joined

    @property
    def own_health_score(self) -> int:
        """Local health score, from 0 (healthy) to ``health_max``."""
        return self._table.health.score

    def view(self) -> Mapping[str, InstanceView]:
        """Return all known instances by name, this one included (read only)."""
        return self._table.view

    def live_names(self) -> tuple[str, ...]:
        """Return the sorted names of the instances that may be assigned roles.

        These are ready, and alive or suspect; leaving and dead ones are excluded.
        This instance is included if it is ready.
        """
        return self._table.live_names

    def is_incarnation_dead(self, name: str, incarnation: int) -> bool:
        """Tell whether an incarnation was declared dead or superseded.

        The name of an unknown incarnation is probed first.  The incarnation counts
        as dead once the name answers as another incarnation.  If the name is unknown,
        unidentified or declared dead, it counts as dead after
        ``unknown_dead_after_s``, but not before this instance has joined.
        """
        if name == self._own.name:
            return incarnation != self._own.incarnation
        return self._death_queries.is_dead(name, incarnation, self._now_s or 0.0)

    def find_successor(self, incarnation: int, service: str) -> tuple[str, int] | None:
        """Return name and incarnation of the holder after a handover, or None."""
        return self._handovers.find_successor(incarnation, service)

    # Events

    def tick(self, now_s: float, random_number: int) -> list[Action]:
        """Process timers.

        Parameters
        ----------
        now_s : float
            Current time of a monotonic clock, in seconds; the clock must not stop.
        random_number : int
            New 64-bit random number.

        Returns
        -------
        list of Action
            Actions to perform.
        """
        self._advance_time(now_s)
        self._anti_entropy.tick(now_s, random_number)
        self._seeds.tick(now_s, random_number)
        if self._prober.tick(now_s, random_number):
            self._table.losses.tick(now_s)
            for name in self._table.timers.find_expired(now_s, self._table.members):
                self._table.declare_dead(now_s, name)
        if now_s >= self._next_prune_s:
            self._next_prune_s = now_s + _PRUNE_PERIOD_S
            self._prune(now_s)
        return self._outbox.drain()

    def on_instance_list(
        self, now_s: float, entries: Iterable[ListedInstance], age_s: float = 0.0
    ) -> list[Action]:
        """Handle the platform's list of instances, read ``age_s`` seconds ago."""
        self._advance_time(now_s)
        self._seeds.is_needed = False
        listed = {entry.name: entry for entry in entries}
        me = listed.pop(self._own.name, None)
        if me is not None and me.leaving:
            # An older list may refer to an earlier incarnation of this name.
            self._request_leave(now_s - age_s >= self._started_s)
        for entry in listed.values():
            self._merge_listed(now_s, entry, now_s - age_s)
        for member in list(self._table.members.values()):
            if member.name not in listed:
                self._mark_unlisted(member.name)
        if not listed:
            self._own.joined = True
        return self._outbox.drain()

    def on_message(
        self, now_s: float, sender: str, incarnation: int, message: MembershipMessage
    ) -> list[Action]:
        """Handle a message of a peer."""
        self._advance_time(now_s)
        match message:
            case Ping():
                self._merge_updates(now_s, message)
                self._prober.on_ping(now_s, sender, incarnation, message)
            case Ack():
                self._merge_updates(now_s, message)
                self._prober.on_ack(now_s, sender, incarnation, message)
            case PingRequest():
                self._prober.on_ping_request(now_s, sender, message)
            case ProbeReport():
                for update in message.updates:
                    self._table.merge(now_s, update)
                self._prober.on_report(message)
            case SyncRequest():
                self._table.merge(now_s, message.me)
                self._anti_entropy.on_request(now_s, sender, message)
            case SyncPage():
                self._anti_entropy.on_page(now_s, sender, message)
            case SyncDigest():
                self._anti_entropy.on_digest(now_s, sender, message)
            case LeaveWish():
                self._request_leave(message.incarnation == self._own.incarnation)
        return self._outbox.drain()

    def on_send_failure(self, now_s: float, name: str) -> list[Action]:
        """Handle a failed send: probe the peer and resend the last answer to it."""
        self._advance_time(now_s)
        if name in self._table.members and name not in self._table.dead:
            self._prober.probe_soon(name)
            self._prober.resend_answer(name)
        return self._outbox.drain()

    def set_ready(self, now_s: float) -> list[Action]:
        """Announce that this instance may be assigned roles."""
        return self._announce_phase(now_s, Phase.READY)

    def leave(self, now_s: float) -> list[Action]:
        """Announce the planned stop: no new roles, existing flows are served."""
        return self._announce_phase(now_s, Phase.LEAVING)

    def stop(self, now_s: float) -> list[Action]:
        """Announce the end of this instance to some peers; the last event."""
        self._advance_time(now_s)
        if self._own.set_phase(Phase.STOPPED):
            self._table.publish_own_status()
        handed_over = self._handovers.entries_of_incarnation(
            self._own.incarnation, now_s
        )
        stop_notice = SyncPage(0, [], [self._own.to_update()], handed_over, UNSOLICITED)
        for name in self._table.live_names[: self._settings.piggyback_count]:
            self._outbox.send(name, stop_notice)
        return self._outbox.drain()

    def announce_hand_over(
        self, service: str, name: str, incarnation: int
    ) -> list[Action]:
        """Record the handover of a service's flows and queue it for gossip."""
        now_s = self._now_s or 0.0
        own_incarnation = self._own.incarnation
        self._handovers.record_handover(
            now_s, own_incarnation, service, (name, incarnation)
        )
        return self._outbox.drain()

    # Implementation

    def _advance_time(self, now_s: float) -> None:
        if self._now_s is None:
            self._started_s = now_s
        elif now_s - self._now_s > self._settings.pause_s:
            self._outbox.log(
                "no event for a while, process was probably paused; "
                "restarting suspicion timers, dropping open probes"
            )
            self._table.health.set_worst()
            self._table.timers.restart_all(now_s)
            self._prober.drop_open_probes(now_s)
        self._now_s = now_s
        self._handovers.peer_count = len(self._table.members)

    def _merge_updates(self, now_s: float, message: Ping | Ack) -> None:
        for update in message.updates:
            self._table.merge(now_s, update)
        for short in message.short_updates:
            self._table.merge_short(now_s, short)
        for handover in message.handed_over:
            self._handovers.merge(now_s, handover)

    def _announce_phase(self, now_s: float, phase: Phase) -> list[Action]:
        self._advance_time(now_s)
        if self._own.set_phase(phase):
            self._table.publish_own_status()
        return self._outbox.drain()

    def _request_leave(self, applies_to_this_incarnation: bool) -> None:
        if applies_to_this_incarnation and not self._leave_requested:
            self._leave_requested = True
            self._outbox.add(LeaveRequested())

    def _merge_listed(
        self, now_s: float, entry: ListedInstance, snapshot_s: float
    ) -> None:
        member = self._table.members.get(entry.name)
        if member is None:
            member = self._table.add_listed(now_s, entry)
            self._prober.probe_soon(entry.name)
        member.is_listed = True
        member.was_listed = True
        if not member.is_identified:
            self._table.update_listed_address(member, entry)
        elif member.known_since_s <= snapshot_s:
            is_new = self._table.set_listed(member, entry.leaving)
            if is_new and entry.leaving:
                # The peer itself may read the list much later.
                self._outbox.send(entry.name, LeaveWish(member.incarnation))

    def _mark_unlisted(self, name: str) -> None:
        member = self._table.members[name]
        member.is_listed = False
        if not member.is_identified:
            self._table.remove_member(name)

    def _prune(self, now_s: float) -> None:
        settings = self._settings
        oldest_s = now_s - settings.dead_kept_s
        for member in list(self._table.dead.values()):
            if not member.is_listed and member.died_s < oldest_s:
                self._table.remove_member(member.name)
        self._prune_superseded(oldest_s)
        self._handovers.prune(now_s)
        self._death_queries.prune(oldest_s)

    def _prune_superseded(self, oldest_s: float) -> None:
        superseded = self._table.superseded
        while superseded:
            incarnation, (_, since_s) = next(iter(superseded.items()))
            within = len(superseded) <= self._settings.dead_kept_count
            if since_s >= oldest_s and within:
                return
            del superseded[incarnation]

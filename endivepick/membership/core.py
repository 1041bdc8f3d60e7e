"""The membership: events in, actions out."""

from collections.abc import Iterable, Mapping

from endivepick.membership._anti_entropy import Synchroniser
from endivepick.membership._death_queries import DeathQuestions
from endivepick.membership._handover_log import DepartedLog
from endivepick.membership._member_table import MemberTable
from endivepick.membership._outbox import Outbox
from endivepick.membership._own_status import OwnStatus
from endivepick.membership._prober import Prober
from endivepick.membership._seed_contacts import Seeds
from endivepick.membership.actions import Action, LeaveRequested
from endivepick.membership.peer_messages import (
    UNASKED,
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
    """What one instance believes about the others.

    It has no socket, clock or randomness of its own; each event gets the time
    and returns the actions to carry out.  Wrong beliefs cost a hop or balance,
    never safety.

    Parameters
    ----------
    settings : MembershipSettings
        Periods, time-outs and bounds.
    me : InstanceView
        This instance; with ``ready=False`` it takes no role until ``set_ready``.
    generation : int
        Wall-clock start time in milliseconds; orders incarnations of one name.

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
        self._departed = DepartedLog(settings)
        parts = (settings, self._table, self._departed, self._outbox)
        self._prober = Prober(*parts)
        self._sync = Synchroniser(*parts)
        self._seeds = Seeds(settings, self._table, self._outbox)
        self._now_s: float | None = None
        self._started_s = 0.0
        self._next_prune_s = float("-inf")
        self._questions = DeathQuestions(settings, self._table, self._prober)
        self._leave_requested = False

    # What others read

    @property
    def joined(self) -> bool:
        """A peer's whole view has arrived, or nobody could be asked."""
        return self._own.joined

    @property
    def own_health_score(self) -> int:
        """Signs of own trouble, from 0 (none) to ``health_max``."""
        return self._table.health.score

    def view(self) -> Mapping[str, InstanceView]:
        """Return all known instances by name, this one included (read only)."""
        return self._table.view

    def live_names(self) -> tuple[str, ...]:
        """Return the names that take roles, sorted, this one included.

        These are heard, ready, and alive or suspect; not leaving, not dead.
        """
        return self._table.live_names

    def is_incarnation_dead(self, name: str, incarnation: int) -> bool:
        """Tell whether an incarnation was declared dead or superseded.

        An incarnation that nobody knows is first looked for: its name is probed,
        and it counts as dead once the name answers as another incarnation, or
        stays unknown for ``unknown_dead_after_s``.
        """
        if name == self._own.name:
            return incarnation != self._own.incarnation
        return self._questions.is_dead(name, incarnation, self._now_s or 0.0)

    def find_successor(self, incarnation: int, service: str) -> tuple[str, int] | None:
        """Return name and incarnation that hold what an incarnation handed over."""
        return self._departed.find_successor(incarnation, service)

    # Events

    def tick(self, now_s: float, random_number: int) -> list[Action]:
        """Let time pass.

        Parameters
        ----------
        now_s : float
            Present time of a clock that neither goes back nor stops, in seconds.
        random_number : int
            Fresh random number of 64 bits.

        Returns
        -------
        list of Action
            What to do now.
        """
        self._enter(now_s)
        self._sync.tick(now_s, random_number)
        self._seeds.tick(now_s, random_number)
        if self._prober.tick(now_s, random_number):
            self._table.losses.tick(now_s)
            for name in self._table.timers.expired(now_s, self._table.members):
                self._table.declare_dead(now_s, name)
        if now_s >= self._next_prune_s:
            self._next_prune_s = now_s + _PRUNE_PERIOD_S
            self._prune(now_s)
        return self._outbox.drain()

    def on_instance_list(
        self, now_s: float, entries: Iterable[ListedInstance], age_s: float = 0.0
    ) -> list[Action]:
        """Take the platform's list of instances, which lags by ``age_s``."""
        self._enter(now_s)
        self._seeds.needed = False
        listed = {entry.name: entry for entry in entries}
        me = listed.pop(self._own.name, None)
        if me is not None and me.leaving:
            self._request_leave(now_s - age_s >= self._started_s)
        for entry in listed.values():
            self._merge_listed(now_s, entry, now_s - age_s)
        for member in list(self._table.members.values()):
            if member.name not in listed:
                self._unlist(member.name)
        if not listed:
            self._own.joined = True
        return self._outbox.drain()

    def on_message(
        self, now_s: float, sender: str, incarnation: int, message: MembershipMessage
    ) -> list[Action]:
        """Take a message of a peer."""
        self._enter(now_s)
        match message:
            case Ping():
                self._merge_news(now_s, message)
                self._prober.on_ping(now_s, sender, incarnation, message)
            case Ack():
                self._merge_news(now_s, message)
                self._prober.on_ack(now_s, sender, incarnation, message)
            case PingRequest():
                self._prober.on_ping_request(now_s, sender, message)
            case ProbeReport():
                for update in message.updates:
                    self._table.merge(now_s, update)
                self._prober.on_report(message)
            case SyncRequest():
                self._table.merge(now_s, message.me)
                self._sync.on_request(now_s, sender, message)
            case SyncPage():
                self._sync.on_page(now_s, sender, message)
            case SyncDigest():
                self._sync.on_digest(now_s, sender, message)
            case LeaveWish():
                self._request_leave(message.incarnation == self._own.incarnation)
        return self._outbox.drain()

    def on_send_failure(self, now_s: float, name: str) -> list[Action]:
        """Take evidence of a failed send: the peer is probed, and answered again."""
        self._enter(now_s)
        if name in self._table.members and name not in self._table.dead:
            self._prober.hurry(name)
            self._prober.answer_again(name)
        return self._outbox.drain()

    def set_ready(self, now_s: float) -> list[Action]:
        """Announce that this instance takes roles."""
        return self._announce_phase(now_s, Phase.READY)

    def leave(self, now_s: float) -> list[Action]:
        """Announce the planned stop: no new role, but what is held is served."""
        return self._announce_phase(now_s, Phase.LEAVING)

    def stop(self, now_s: float) -> list[Action]:
        """Tell some peers that this instance ends now; the last event."""
        self._enter(now_s)
        if self._own.set_phase(Phase.STOPPED):
            self._table.own_changed()
        handed_over = self._departed.entries_of(self._own.incarnation, now_s)
        farewell = SyncPage(0, [], [self._own.to_update()], handed_over, UNASKED)
        for name in self._table.live_names[: self._settings.piggyback_count]:
            self._outbox.send(name, farewell)
        return self._outbox.drain()

    def announce_hand_over(
        self, service: str, name: str, incarnation: int
    ) -> list[Action]:
        """Record that this instance handed a service's flows to a successor."""
        now_s = self._now_s or 0.0
        giver = self._own.incarnation
        self._departed.announce(now_s, giver, service, (name, incarnation))
        return self._outbox.drain()

    # Parts

    def _enter(self, now_s: float) -> None:
        if self._now_s is None:
            self._started_s = now_s
        elif now_s - self._now_s > self._settings.pause_s:
            self._outbox.log("was paused, restarts all timers")
            self._table.health.distrust()
            self._table.timers.restart_all(now_s)
            self._prober.restart(now_s)
        self._now_s = now_s
        self._departed.peer_count = len(self._table.members)

    def _merge_news(self, now_s: float, message: Ping | Ack) -> None:
        for update in message.updates:
            self._table.merge(now_s, update)
        for short in message.short_updates:
            self._table.merge_short(now_s, short)
        for news in message.handed_over:
            self._departed.merge(now_s, news)

    def _announce_phase(self, now_s: float, phase: Phase) -> list[Action]:
        self._enter(now_s)
        if self._own.set_phase(phase):
            self._table.own_changed()
        return self._outbox.drain()

    def _request_leave(self, is_meant: bool) -> None:
        if is_meant and not self._leave_requested:
            self._leave_requested = True
            self._outbox.add(LeaveRequested())

    def _merge_listed(
        self, now_s: float, entry: ListedInstance, snapshot_s: float
    ) -> None:
        member = self._table.members.get(entry.name)
        if member is None:
            member = self._table.add_listed(now_s, entry)
            self._prober.hurry(entry.name)
        member.listed = True
        member.was_listed = True
        if not member.heard:
            self._table.describe(member, entry)
        elif member.heard_since_s <= snapshot_s:
            is_new = self._table.set_listed(member, entry.leaving)
            if is_new and entry.leaving:
                # It may read the list much later itself.
                self._outbox.send(entry.name, LeaveWish(member.incarnation))

    def _unlist(self, name: str) -> None:
        member = self._table.members[name]
        member.listed = False
        if not member.heard:
            self._table.forget(name)

    def _prune(self, now_s: float) -> None:
        settings = self._settings
        oldest_s = now_s - settings.dead_kept_s
        for member in list(self._table.dead.values()):
            if not member.listed and member.died_s < oldest_s:
                self._table.forget(member.name)
        self._prune_superseded(oldest_s)
        self._departed.prune(now_s)
        self._questions.prune(oldest_s)

    def _prune_superseded(self, oldest_s: float) -> None:
        superseded = self._table.superseded
        while superseded:
            incarnation, (_, since_s) = next(iter(superseded.items()))
            within = len(superseded) <= self._settings.dead_kept_count
            if since_s >= oldest_s and within:
                return
            del superseded[incarnation]

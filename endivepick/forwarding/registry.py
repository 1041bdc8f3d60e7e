"""Targets as the registry tells of them: ready, draining, lapsed, gone.

An entry that vanishes while its target was ready is not believed at once.  The
registry drops entries whose heartbeats it missed, also when it was the registry
that was away; if all instances believed such a short list, the few targets left
would get the work of all.  The entry counts as lapsed for a grace period, in which a
probe usually settles the matter sooner.

An entry that cannot be read any more names no target to use.  One with another time of
start is of another incarnation: what was believed of the former one ends with it.
"""

from collections.abc import Iterable, Iterator

from msgspec.structs import replace

from endivepick.forwarding.belief import (
    BeliefChange,
    FitnessEvent,
    Reachability,
    ReachabilityEvent,
    TargetBelief,
    TargetEvent,
    TargetRestart,
    TargetState,
)
from endivepick.forwarding.cookies import CookieDirectory, cookie_of
from endivepick.forwarding.model import Target, TargetPhase
from endivepick.forwarding.placement import Candidates
from endivepick.forwarding.registry_news import RegistryNews, RemovedTarget
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["TargetRegistry"]

REMEMBERED_UNREADABLE = 1024
"""Names of entries that were never readable; more are not told apart from none."""
_STATES = {
    TargetPhase.READY: TargetState.READY,
    TargetPhase.DRAINING: TargetState.DRAINING,
}
_ENTRY_EVENTS = {
    TargetPhase.READY: TargetEvent.ENTRY_READY,
    TargetPhase.DRAINING: TargetEvent.ENTRY_DRAINING,
}


class TargetRegistry:
    """All targets that are known, and the cookies that lead to them.

    Parameters
    ----------
    settings : ForwardingSettings
        Grace and memory.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._beliefs: dict[str, TargetBelief] = {}
        self._by_service: dict[str, dict[str, TargetBelief]] = {}
        self._cookies = CookieDirectory()
        self._unsettled: dict[str, TargetBelief] = {}
        self._candidates: dict[str, Candidates] = {}
        self._never_read: dict[int, str] = {}
        self.restarts: list[TargetRestart] = []
        """Targets that started again under their names; the caller takes them out."""
        self.known = False
        """Whether a whole list was read."""
        self.revision = 0
        """Revision of the store up to which entries are known."""
        self.oldest_delta_revision = 0
        """Oldest revision since which changes can be told; a list hides older ones."""

    def __iter__(self) -> Iterator[TargetBelief]:
        return iter(self._beliefs.values())

    def __len__(self) -> int:
        return len(self._beliefs)

    @property
    def unsettled(self) -> list[TargetBelief]:
        """Targets that time changes something about; few of all that are known."""
        return list(self._unsettled.values())

    def get(self, name: str) -> TargetBelief | None:
        """Return what is believed of a target, None if it is not known."""
        return self._beliefs.get(name)

    def of_cookie(self, cookie: int) -> TargetBelief | None:
        """Return the target that a cookie means, also if it is gone."""
        name = self._cookies.resolve(cookie)
        return None if name is None else self._beliefs[name]

    @property
    def zone(self) -> str:
        """Availability zone of this instance."""
        return self._settings.zone

    def of_service(self, service: str) -> Iterable[TargetBelief]:
        """Return all that is believed of the targets of a service."""
        return self._by_service.get(service, {}).values()

    def candidates(self, service: str) -> Candidates:
        """Return the targets of a service that may take new flows.

        They are kept until what is believed of one changes; callers leave them alone.
        """
        kept = self._candidates.get(service)
        if kept is None:
            beliefs = [
                belief
                for belief in self._by_service.get(service, {}).values()
                if belief.takes_flows and self._cookies.owns(belief.name)
            ]
            kept = Candidates.of_zone(self._settings.zone, beliefs)
            self._candidates[service] = kept
        return kept

    def may_return(self, cookie: int) -> bool:
        """Whether a cookie is that of an entry that is there and cannot be read."""
        return cookie in self._never_read

    def apply_list(
        self,
        targets: Iterable[Target],
        revision: int,
        now_s: float,
        unreadable: Iterable[str] = (),
    ) -> list[BeliefChange]:
        """Take in a whole list; entries missing in it have vanished.

        A list that is older than what is known changes nothing.

        Parameters
        ----------
        targets : iterable of Target
            Entries that can be read.
        revision : int
            Revision of the store that it shows.
        now_s : float
            Present time, in seconds.
        unreadable : iterable of str
            Names of entries that cannot.
        """
        if revision < self.revision:
            return []
        listed = list(targets)
        self.known = True
        # What came and went since the last word is not in the list, nor known here.
        self.oldest_delta_revision = revision
        self.revision = revision
        self._never_read.clear()
        changes = [c for target in listed for c in self._apply_entry(target, now_s)]
        names = {target.name for target in listed}
        for name in unreadable:
            names.add(name)
            changes += self.take_unreadable(name, revision, now_s)
        for name in list(self._beliefs):
            if name not in names:
                changes += self.apply_removal(name, revision, now_s)
        return changes

    def advance_revision(self, revision: int) -> None:
        """Take in that nothing but what is known changed up to a revision."""
        if self.known:
            self.revision = max(self.revision, revision)

    def apply_news(self, news: RegistryNews, now_s: float) -> list[BeliefChange]:
        """Take in what another instance knows beyond this one's revision."""
        if news.revision <= self.revision:
            return []
        if news.whole:
            unreadable = [each.name for each in news.removed if each.unreadable]
            return self.apply_list(news.targets, news.revision, now_s, unreadable)
        changes: list[BeliefChange] = []
        for target in news.targets:
            changes += self._apply_entry(target, now_s)
        for each in news.removed:
            taken_in = self.take_unreadable if each.unreadable else self.apply_removal
            changes += taken_in(each.name, each.revision, now_s)
        self.revision = max(self.revision, news.revision)
        return changes

    def news_since(self, revision: int) -> RegistryNews:
        """Return what changed since a revision, or all if that is too long ago."""
        whole = revision < self.oldest_delta_revision
        newer = [b for b in self if whole or b.revision > revision]
        present = (TargetState.READY, TargetState.DRAINING)
        targets = [b.target for b in newer if b.state in present]
        removed = [
            RemovedTarget(b.name, b.revision, b.state is TargetState.UNREADABLE)
            for b in newer
            if b.state not in present
        ]
        return RegistryNews(targets, removed, whole, self.revision)

    def apply_entry(self, target: Target, now_s: float) -> list[BeliefChange]:
        """Take in one change, unless a newer one is known; the oldest comes first.

        Of an entry that was written before the revision that is known here, and is
        not known, the removal is known: it would be taken for a new one otherwise.
        """
        if target.name not in self._beliefs and target.revision <= self.revision:
            return []
        self.revision = max(self.revision, target.revision)
        return self._apply_entry(target, now_s)

    def _apply_entry(self, target: Target, now_s: float) -> list[BeliefChange]:
        belief = self._beliefs.get(target.name)
        if belief is None:
            return [self._add(target, now_s)]
        if target.revision < belief.revision:
            return []
        if target.is_other_incarnation(belief.target):
            after = self._restart(belief, target, now_s)
            return [_restart_change(belief, after, "started again", now_s)]
        if not target.born_ms:
            # Told by an instance that does not know of times of start.
            target = replace(target, born_ms=belief.target.born_ms)
        self._refile(belief, target)
        belief.revision = target.revision
        belief.cold_until_s = now_s + target.cold_s
        return self._move(belief, _ENTRY_EVENTS[target.phase], "entry", now_s)

    def take_start(
        self, belief: TargetBelief, born_ms: int, now_s: float
    ) -> list[BeliefChange]:
        """Take in when the target at an address started, as it says of itself.

        Its entry may tell so later, and until then says what it said.  An earlier start
        than the entry's is old news.
        """
        known_ms = belief.target.born_ms
        if not known_ms or born_ms <= known_ms:
            return []
        target = replace(belief.target, born_ms=born_ms, revision=belief.revision)
        after = self._restart(belief, target, now_s)
        after.state, after.state_since_s = belief.state, belief.state_since_s
        self._file(after)
        return [_restart_change(belief, after, "answered a probe anew", now_s)]

    def take_unreadable(
        self, name: str, revision: int, now_s: float
    ) -> list[BeliefChange]:
        """Take in that an entry cannot be read, unless it was written again since."""
        belief = self._beliefs.get(name)
        if belief is None:
            self._note_never_read(name)
            return []
        if revision < belief.revision:
            return []
        self.revision = max(self.revision, revision)
        belief.revision = revision
        event = TargetEvent.ENTRY_UNREADABLE
        return self._move(belief, event, "entry unreadable", now_s)

    def apply_removal(
        self, name: str, revision: int, now_s: float
    ) -> list[BeliefChange]:
        """Take in that an entry vanished, unless it was written again since."""
        self.revision = max(self.revision, revision)
        belief = self._beliefs.get(name)
        self._never_read.pop(cookie_of(name), None)
        if belief is None:
            # It came and went unseen: nobody can be told of its removal alone.
            self.oldest_delta_revision = max(self.oldest_delta_revision, revision)
            return []
        if revision < belief.revision:
            return []
        belief.revision = revision
        event = TargetEvent.ENTRY_REMOVED
        if belief.reachability is Reachability.DEAD:
            event = TargetEvent.DEAD_ENTRY_REMOVED
        left = belief.state is TargetState.DRAINING
        return self._move(belief, event, "left" if left else "entry removed", now_s)

    def expire(self, now_s: float, heard_s: float = float("inf")) -> list[BeliefChange]:
        """Give up lapsed entries after their grace, and forget those long gone.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        heard_s : float
            When the store last answered, in seconds.  While it is silent, nobody can
            know that an entry did not return: all targets of a service were given up
            so when the store refused an instance just after it had dropped entries.
        """
        changes: list[BeliefChange] = []
        for belief in self.unsettled:
            age_s = now_s - belief.state_since_s
            match belief.state:
                case TargetState.LAPSED if age_s >= self._settings.lapse_grace_s:
                    if not self._confirmed(belief, heard_s):
                        continue
                    reason = "grace over"
                    changes += self._move(belief, TargetEvent.GRACE_OVER, reason, now_s)
                case TargetState.GONE if age_s >= self._settings.gone_memory_s:
                    self._forget(belief)
                case _:
                    pass
        return changes

    def unconfirmed(self, now_s: float, heard_s: float) -> bool:
        """Whether a grace is over and only the store's word is missing."""
        return any(
            belief.state is TargetState.LAPSED
            and now_s - belief.state_since_s >= self._settings.lapse_grace_s
            and not self._confirmed(belief, heard_s)
            for belief in self.unsettled
        )

    def _confirmed(self, belief: TargetBelief, heard_s: float) -> bool:
        return heard_s >= belief.state_since_s + self._settings.entry_return_s

    def restart_grace(self, now_s: float) -> None:
        """Let the grace of lapsed entries begin anew.

        For an instance that stood still, or that the store does not answer: the
        entries may have returned meanwhile, or may yet.  Given up before the list is
        read again, they left no target to choose, and openings were refused.
        """
        for belief in self.unsettled:
            if belief.state is TargetState.LAPSED:
                belief.state_since_s = now_s

    def record_reachability(
        self,
        belief: TargetBelief,
        event: ReachabilityEvent,
        reason: str,
        now_s: float,
    ) -> list[BeliefChange]:
        """Note what packets or a probe say of a target.

        A dead target whose entry has lapsed is gone: nothing is left to wait for.
        """
        changes: list[BeliefChange] = []
        before = belief.reachability
        after = before.after(event)
        if before is not after:
            age_s = now_s - belief.reachability_since_s
            belief.reachability = after
            belief.reachability_since_s = now_s
            self._candidates.pop(belief.target.service, None)
            self._file(belief)
            changes.append(_change(belief, before.value, after.value, reason, age_s))
        if after is Reachability.DEAD:
            changes += self._move(belief, TargetEvent.FOUND_DEAD, reason, now_s)
        return changes

    def record_fitness(
        self, belief: TargetBelief, event: FitnessEvent, reason: str, now_s: float
    ) -> list[BeliefChange]:
        """Note whether a target serves the requests that reach it."""
        before = belief.fitness
        after = before.after(event)
        if before is after:
            return []
        age_s = now_s - belief.fitness_since_s
        belief.fitness = after
        belief.fitness_since_s = now_s
        self._candidates.pop(belief.target.service, None)
        return [_change(belief, before.value, after.value, reason, age_s)]

    def _add(self, target: Target, now_s: float) -> BeliefChange:
        belief = self._new_belief(target, now_s)
        self._never_read.pop(belief.cookie, None)
        return _change(belief, "", belief.state.value, "entry", 0.0)

    def _new_belief(self, target: Target, now_s: float) -> TargetBelief:
        cookie = self._cookies.add(target.name, target.created)
        belief = TargetBelief(target, cookie, _STATES[target.phase], now_s)
        belief.revision = target.revision
        belief.reachability_since_s = now_s
        belief.cold_until_s = now_s + target.cold_s
        self._beliefs[target.name] = belief
        self._by_service.setdefault(target.service, {})[target.name] = belief
        self._candidates.clear()
        return belief

    def _restart(
        self, before: TargetBelief, target: Target, now_s: float
    ) -> TargetBelief:
        """Begin afresh: whatever was believed of the former incarnation has ended."""
        self._remove(before)
        after = self._new_belief(target, now_s)
        self.restarts.append(TargetRestart(before, after))
        return after

    def _refile(self, belief: TargetBelief, target: Target) -> None:
        """Take the newest entry of a target, which may name another service."""
        self._candidates.pop(belief.target.service, None)
        if target.service != belief.target.service:
            self._leave_service(belief)
            self._by_service.setdefault(target.service, {})[target.name] = belief
        belief.target = target
        self._candidates.pop(target.service, None)

    def _note_never_read(self, name: str) -> None:
        if len(self._never_read) < REMEMBERED_UNREADABLE:
            self._never_read[cookie_of(name)] = name

    def _move(
        self, belief: TargetBelief, event: TargetEvent, reason: str, now_s: float
    ) -> list[BeliefChange]:
        before, age_s = belief.state, now_s - belief.state_since_s
        state = before.after(event)
        if before is state:
            return []
        belief.state = state
        belief.state_since_s = now_s
        self._candidates.pop(belief.target.service, None)
        self._file(belief)
        return [_change(belief, before.value, state.value, reason, age_s)]

    def _file(self, belief: TargetBelief) -> None:
        """Keep apart what a tick has to look at: it must not look at all targets."""
        present = belief.state in (TargetState.READY, TargetState.DRAINING)
        settled = present and belief.reachability is Reachability.REACHABLE
        if settled:
            self._unsettled.pop(belief.name, None)
        else:
            self._unsettled[belief.name] = belief

    def _forget(self, belief: TargetBelief) -> None:
        self.oldest_delta_revision = max(self.oldest_delta_revision, belief.revision)
        self._remove(belief)

    def _remove(self, belief: TargetBelief) -> None:
        del self._beliefs[belief.name]
        self._unsettled.pop(belief.name, None)
        self._leave_service(belief)
        self._cookies.remove(belief.name)
        self._candidates.clear()

    def _leave_service(self, belief: TargetBelief) -> None:
        service = self._by_service[belief.target.service]
        del service[belief.name]
        if not service:
            del self._by_service[belief.target.service]


def _change(
    belief: TargetBelief, before: str, after: str, reason: str, age_s: float
) -> BeliefChange:
    target = belief.target
    return BeliefChange(
        target.name, target.service, before, after, reason, age_s, belief.revision
    )


def _restart_change(
    before: TargetBelief, after: TargetBelief, reason: str, now_s: float
) -> BeliefChange:
    age_s = now_s - before.state_since_s
    return _change(after, before.state.value, after.state.value, reason, age_s)

"""Targets by state of their registry entry: ready, draining, unreadable, lapsed, gone.

A target whose entry is removed while it is ready stays in use at first.  The registry
drops entries without heartbeats, also when the registry itself was unavailable; if all
instances acted on such a short list, the few remaining targets would get all the load.
The entry is lapsed for a grace period, in which a probe usually decides sooner.

A target whose entry becomes unreadable gets no new flows.  An entry with another start
time belongs to another incarnation: the state of the former one is discarded.
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
from endivepick.forwarding.cookies import CookieDirectory, compute_cookie
from endivepick.forwarding.model import Target, TargetPhase
from endivepick.forwarding.placement import Candidates
from endivepick.forwarding.registry_news import RegistryNews, RemovedTarget
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["TargetRegistry"]

MAX_UNREADABLE_COOKIES = 1024
"""Bound on names of entries that were never readable; entries beyond it are treated as
missing."""
_STATES = {
    TargetPhase.READY: TargetState.READY,
    TargetPhase.DRAINING: TargetState.DRAINING,
}
_ENTRY_EVENTS = {
    TargetPhase.READY: TargetEvent.ENTRY_READY,
    TargetPhase.DRAINING: TargetEvent.ENTRY_DRAINING,
}


class TargetRegistry:
    """All known targets, and the cookies that map to them.

    Parameters
    ----------
    settings : ForwardingSettings
        Grace period and retention.
    """

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._beliefs: dict[str, TargetBelief] = {}
        self._by_service: dict[str, dict[str, TargetBelief]] = {}
        self._cookies = CookieDirectory()
        self._targets_to_revisit: dict[str, TargetBelief] = {}
        self._candidates: dict[str, Candidates] = {}
        self._unreadable_cookies: dict[int, str] = {}
        self.restarts: list[TargetRestart] = []
        """Targets that restarted under their names; the caller clears the list."""
        self.known = False
        """Whether a complete list was read."""
        self.revision = 0
        """Store revision up to which entries are known."""
        self.oldest_delta_revision = 0
        """Oldest revision from which a delta is complete.

        A full list does not show entries that were removed before it, so peers with an
        older revision need a snapshot."""

    def __iter__(self) -> Iterator[TargetBelief]:
        return iter(self._beliefs.values())

    def __len__(self) -> int:
        return len(self._beliefs)

    @property
    def targets_to_revisit(self) -> list[TargetBelief]:
        """Targets that are not present in the registry or not reachable.

        Expiry and probe retries visit only these, a small subset of all targets.
        """
        return list(self._targets_to_revisit.values())

    def get(self, name: str) -> TargetBelief | None:
        """Return the state of a target, None if it is unknown."""
        return self._beliefs.get(name)

    def find_by_cookie(self, cookie: int) -> TargetBelief | None:
        """Return the target that a cookie maps to, even if it is gone."""
        name = self._cookies.resolve(cookie)
        return None if name is None else self._beliefs[name]

    @property
    def zone(self) -> str:
        """Availability zone of this instance."""
        return self._settings.zone

    @property
    def services(self) -> list[str]:
        """Services that have targets."""
        return list(self._by_service)

    def of_service(self, service: str) -> Iterable[TargetBelief]:
        """Return the states of the targets of a service."""
        return self._by_service.get(service, {}).values()

    def candidates(self, service: str) -> Candidates:
        """Return the targets of a service that may take new flows.

        The result is cached until the state of one of them changes; callers must not
        modify it.
        """
        cached = self._candidates.get(service)
        if cached is None:
            beliefs = [
                belief
                for belief in self._by_service.get(service, {}).values()
                if belief.takes_flows and self._cookies.owns(belief.name)
            ]
            cached = Candidates.of_zone(self._settings.zone, beliefs)
            self._candidates[service] = cached
        return cached

    def is_unreadable_cookie(self, cookie: int) -> bool:
        """Whether a cookie belongs to an existing entry that was never readable."""
        return cookie in self._unreadable_cookies

    def apply_list(
        self,
        targets: Iterable[Target],
        revision: int,
        now_s: float,
        unreadable: Iterable[str] = (),
    ) -> list[BeliefChange]:
        """Apply a complete list; known entries that it lacks were removed.

        A list that is older than the known revision is ignored.

        Parameters
        ----------
        targets : iterable of Target
            Readable entries.
        revision : int
            Store revision of the list.
        now_s : float
            Current time, in seconds.
        unreadable : iterable of str
            Names of unreadable entries.
        """
        if revision < self.revision:
            return []
        listed = list(targets)
        self.known = True
        # Entries created and removed since the last update are neither in the list
        # nor known here.
        self.oldest_delta_revision = revision
        self.revision = revision
        self._unreadable_cookies.clear()
        changes = [c for target in listed for c in self._apply_entry(target, now_s)]
        names = {target.name for target in listed}
        for name in unreadable:
            names.add(name)
            changes += self.mark_unreadable(name, revision, now_s)
        for name in list(self._beliefs):
            if name not in names:
                changes += self.apply_removal(name, revision, now_s)
        return changes

    def advance_revision(self, revision: int) -> None:
        """Advance the known revision; nothing else changed up to it."""
        if self.known:
            self.revision = max(self.revision, revision)

    def apply_news(self, news: RegistryNews, now_s: float) -> list[BeliefChange]:
        """Apply a snapshot or delta that another instance sent, if it is newer."""
        if news.revision <= self.revision:
            return []
        if news.whole:
            unreadable = [each.name for each in news.removed if each.unreadable]
            return self.apply_list(news.targets, news.revision, now_s, unreadable)
        changes: list[BeliefChange] = []
        for target in news.targets:
            changes += self._apply_entry(target, now_s)
        for each in news.removed:
            apply_one = self.mark_unreadable if each.unreadable else self.apply_removal
            changes += apply_one(each.name, each.revision, now_s)
        self.revision = max(self.revision, news.revision)
        return changes

    def news_since(self, revision: int) -> RegistryNews:
        """Return the delta since a revision, or a snapshot if that is too old."""
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
        """Apply one change unless a newer one is known; changes arrive in order.

        If an entry is unknown although its revision is not newer than the known
        revision, it was removed since; it would otherwise be added as a new target.
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
            after = self._replace_incarnation(belief, target, now_s)
            return [_make_restart_change(belief, after, "started again", now_s)]
        if not target.born_ms:
            # Sent by an instance of a build without start times.
            target = replace(target, born_ms=belief.target.born_ms)
        self._update_entry(belief, target)
        belief.revision = target.revision
        belief.cold_until_s = now_s + target.cold_s
        return self._apply_event(belief, _ENTRY_EVENTS[target.phase], "entry", now_s)

    def apply_start_time(
        self, belief: TargetBelief, born_ms: int, now_s: float
    ) -> list[BeliefChange]:
        """Apply the start time that the target at an address reports in a probe.

        The entry may show that start time only later, and keeps its other values until
        then.  A start time before that of the entry is outdated and ignored.
        """
        known_ms = belief.target.born_ms
        if not known_ms or born_ms <= known_ms:
            return []
        target = replace(belief.target, born_ms=born_ms, revision=belief.revision)
        after = self._replace_incarnation(belief, target, now_s)
        after.state, after.state_since_s = belief.state, belief.state_since_s
        self._update_revisit_index(after)
        if after.state is TargetState.GONE:
            self._update_cookie(after)
        return [_make_restart_change(belief, after, "answered a probe anew", now_s)]

    def mark_unreadable(
        self, name: str, revision: int, now_s: float
    ) -> list[BeliefChange]:
        """Mark an entry as unreadable, unless it was written again since."""
        belief = self._beliefs.get(name)
        if belief is None:
            self._record_unreadable(name)
            return []
        if revision < belief.revision:
            return []
        self.revision = max(self.revision, revision)
        belief.revision = revision
        event = TargetEvent.ENTRY_UNREADABLE
        return self._apply_event(belief, event, "entry unreadable", now_s)

    def apply_removal(
        self, name: str, revision: int, now_s: float
    ) -> list[BeliefChange]:
        """Apply the removal of an entry, unless it was written again since."""
        self.revision = max(self.revision, revision)
        belief = self._beliefs.get(name)
        self._unreadable_cookies.pop(compute_cookie(name), None)
        if belief is None:
            # Created and removed unnoticed: a delta cannot contain its removal.
            self.oldest_delta_revision = max(self.oldest_delta_revision, revision)
            return []
        if revision < belief.revision:
            return []
        belief.revision = revision
        event = TargetEvent.ENTRY_REMOVED
        if belief.reachability is Reachability.DEAD:
            event = TargetEvent.DEAD_ENTRY_REMOVED
        was_draining = belief.state is TargetState.DRAINING
        return self._apply_event(
            belief, event, "left" if was_draining else "entry removed", now_s
        )

    def expire(self, now_s: float, heard_s: float = float("inf")) -> list[BeliefChange]:
        """Give up lapsed entries after the grace period; remove those gone for long.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        heard_s : float
            When the store last answered, in seconds.  While it does not answer, an
            instance cannot know whether an entry returned.  Without this check, all
            targets of a service would be given up if the store became unavailable to an
            instance just after it had dropped entries.
        """
        changes: list[BeliefChange] = []
        for belief in self.targets_to_revisit:
            age_s = now_s - belief.state_since_s
            match belief.state:
                case TargetState.LAPSED if age_s >= self._settings.lapse_grace_s:
                    if not self._is_removal_confirmed(belief, heard_s):
                        continue
                    reason = "entry did not return within the grace period"
                    changes += self._apply_event(
                        belief, TargetEvent.GRACE_OVER, reason, now_s
                    )
                case TargetState.GONE if age_s >= self._settings.gone_memory_s:
                    self._forget(belief)
                case _:
                    pass
        return changes

    def awaits_confirmation(self, now_s: float, heard_s: float) -> bool:
        """Whether the store has yet to confirm a removal after its grace period."""
        return any(
            belief.state is TargetState.LAPSED
            and now_s - belief.state_since_s >= self._settings.lapse_grace_s
            and not self._is_removal_confirmed(belief, heard_s)
            for belief in self.targets_to_revisit
        )

    def _is_removal_confirmed(self, belief: TargetBelief, heard_s: float) -> bool:
        return heard_s >= belief.state_since_s + self._settings.entry_return_s

    def restart_grace(self, now_s: float) -> None:
        """Restart the grace period of lapsed entries.

        Called when the process was paused or the store does not answer: the entries may
        have returned meanwhile, or may still return.  Without the restart they
        would be given up before the list is read again, and openings would be refused
        for lack of targets.
        """
        for belief in self.targets_to_revisit:
            if belief.state is TargetState.LAPSED:
                belief.state_since_s = now_s

    def mark_zone_cold(self, zone: str, service: str, until_s: float) -> None:
        """Regard the targets of a service in a zone as cold until a time, in seconds.

        Called when the evacuation of the zone ends: its targets may have become cold
        meanwhile, and their entries show it only seconds later.
        """
        for belief in self.of_service(service):
            if belief.target.zone == zone:
                belief.cold_until_s = max(belief.cold_until_s, until_s)

    def record_reachability(
        self,
        belief: TargetBelief,
        event: ReachabilityEvent,
        reason: str,
        now_s: float,
    ) -> list[BeliefChange]:
        """Apply evidence about the reachability of a target, from packets or a probe.

        A dead target whose entry has lapsed is gone at once, without the rest of the
        grace period.
        """
        changes: list[BeliefChange] = []
        before = belief.reachability
        after = before.after(event)
        if before is not after:
            age_s = now_s - belief.reachability_since_s
            belief.reachability = after
            belief.reachability_since_s = now_s
            self._candidates.pop(belief.target.service, None)
            self._update_revisit_index(belief)
            changes.append(
                _make_change(belief, before.value, after.value, reason, age_s)
            )
        if after is Reachability.DEAD:
            changes += self._apply_event(belief, TargetEvent.FOUND_DEAD, reason, now_s)
        return changes

    def record_fitness(
        self, belief: TargetBelief, event: FitnessEvent, reason: str, now_s: float
    ) -> list[BeliefChange]:
        """Apply evidence on whether a target serves the requests it receives."""
        before = belief.fitness
        after = before.after(event)
        if before is after:
            return []
        age_s = now_s - belief.fitness_since_s
        belief.fitness = after
        belief.fitness_since_s = now_s
        self._candidates.pop(belief.target.service, None)
        return [_make_change(belief, before.value, after.value, reason, age_s)]

    def _add(self, target: Target, now_s: float) -> BeliefChange:
        belief = self._new_belief(target, now_s)
        self._unreadable_cookies.pop(belief.cookie, None)
        return _make_change(belief, "", belief.state.value, "entry", 0.0)

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

    def _replace_incarnation(
        self, before: TargetBelief, target: Target, now_s: float
    ) -> TargetBelief:
        """Replace the state of the former incarnation by a new one."""
        self._remove(before)
        after = self._new_belief(target, now_s)
        self.restarts.append(TargetRestart(before, after))
        return after

    def _update_entry(self, belief: TargetBelief, target: Target) -> None:
        """Store the newest entry of a target; its service may have changed."""
        self._candidates.pop(belief.target.service, None)
        if target.service != belief.target.service:
            self._leave_service(belief)
            self._by_service.setdefault(target.service, {})[target.name] = belief
        belief.target = target
        self._candidates.pop(target.service, None)

    def _record_unreadable(self, name: str) -> None:
        if len(self._unreadable_cookies) < MAX_UNREADABLE_COOKIES:
            self._unreadable_cookies[compute_cookie(name)] = name

    def _apply_event(
        self, belief: TargetBelief, event: TargetEvent, reason: str, now_s: float
    ) -> list[BeliefChange]:
        before, age_s = belief.state, now_s - belief.state_since_s
        state = before.after(event)
        if before is state:
            return []
        belief.state = state
        belief.state_since_s = now_s
        self._candidates.pop(belief.target.service, None)
        self._update_revisit_index(belief)
        if TargetState.GONE in (before, state):
            self._update_cookie(belief)
        return [_make_change(belief, before.value, state.value, reason, age_s)]

    def _update_cookie(self, belief: TargetBelief) -> None:
        """Update the claim to the cookie of a target that is gone, or has returned."""
        gone = belief.state is TargetState.GONE
        self._cookies.add(belief.name, belief.target.created, gone)
        if self._cookies.is_shared(belief.name):
            # Another target, maybe of another service, starts or ends to take flows.
            self._candidates.clear()

    def _update_revisit_index(self, belief: TargetBelief) -> None:
        """Add a target to `targets_to_revisit`, or remove it from there."""
        present = belief.state in (TargetState.READY, TargetState.DRAINING)
        settled = present and belief.reachability is Reachability.REACHABLE
        if settled:
            self._targets_to_revisit.pop(belief.name, None)
        else:
            self._targets_to_revisit[belief.name] = belief

    def _forget(self, belief: TargetBelief) -> None:
        self.oldest_delta_revision = max(self.oldest_delta_revision, belief.revision)
        self._remove(belief)

    def _remove(self, belief: TargetBelief) -> None:
        del self._beliefs[belief.name]
        self._targets_to_revisit.pop(belief.name, None)
        self._leave_service(belief)
        self._cookies.remove(belief.name)
        self._candidates.clear()

    def _leave_service(self, belief: TargetBelief) -> None:
        service = self._by_service[belief.target.service]
        del service[belief.name]
        if not service:
            del self._by_service[belief.target.service]


def _make_change(
    belief: TargetBelief, before: str, after: str, reason: str, age_s: float
) -> BeliefChange:
    target = belief.target
    return BeliefChange(
        target.name, target.service, before, after, reason, age_s, belief.revision
    )


def _make_restart_change(
    before: TargetBelief, after: TargetBelief, reason: str, now_s: float
) -> BeliefChange:
    age_s = now_s - before.state_since_s
    return _make_change(after, before.state.value, after.state.value, reason, age_s)

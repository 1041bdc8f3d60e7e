"""Registries with one rule broken, and the checks of the registry model."""

from collections.abc import Callable, Iterable

from msgspec.structs import replace

from endivepick.forwarding import RegistryNews, Target, TargetPhase
from endivepick.forwarding.belief import BeliefChange, TargetBelief
from endivepick.forwarding.registry import TargetRegistry
from endivepick.model.checker import Specification
from endivepick.model.registry import Entry, RegistryBounds, registry_specification

__all__ = ["REGISTRY_MUTATIONS", "REGISTRY_SCENARIOS"]

_READY, _DRAINING = TargetPhase.READY, TargetPhase.DRAINING
_TWO_TARGETS = (
    Entry("i-1", _READY),
    Entry("i-2", _READY),
    Entry("i-1", None),
    Entry("i-2", _DRAINING),
)
_LAPSE_AND_RETURN = (
    Entry("i-1", _READY),
    Entry("i-1", None),
    Entry("i-1", _READY),
    Entry("i-1", None),
)
_RESTARTED = (
    Entry("i-1", _READY, 5),
    Entry("i-1", _DRAINING, 5),
    Entry("i-1", None),
    Entry("i-1", _READY, 9),
)
_LATE_WRITE = (
    Entry("i-1", _READY, 5),
    Entry("i-1", _READY, 9),
    Entry("i-1", _DRAINING, 5),
)
"""The last entry is a delayed write by the incarnation that had ended."""


class OmitsRemovals(TargetRegistry):
    """A registry that omits removals from its answers."""

    def news_since(self, revision: int) -> RegistryNews:
        """Omit the removed targets."""
        return replace(super().news_since(revision), removed=[])


class AlwaysSendsDelta(TargetRegistry):
    """A registry that sends a delta even if its history is incomplete."""

    def news_since(self, revision: int) -> RegistryNews:
        """Mark the answer as a delta."""
        return replace(super().news_since(revision), whole=False)


class KeepsHistoryAcrossLists(TargetRegistry):
    """A registry that assumes that a list shows all earlier changes."""

    def apply_list(
        self,
        targets: Iterable[Target],
        revision: int,
        now_s: float,
        unreadable: Iterable[str] = (),
    ) -> list[BeliefChange]:
        """Ignore that entries may have been added and removed before the list."""
        before = self.oldest_delta_revision
        changes = super().apply_list(targets, revision, now_s, unreadable)
        self.oldest_delta_revision = before
        return changes


class IgnoresUnseenEntries(TargetRegistry):
    """A registry that ignores entries added and removed between two responses."""

    def apply_removal(
        self, name: str, revision: int, now_s: float
    ) -> list[BeliefChange]:
        """Ignore the removal of an unknown entry."""
        before = self.oldest_delta_revision
        changes = super().apply_removal(name, revision, now_s)
        self.oldest_delta_revision = before
        return changes


class KeepsHistoryAfterExpiry(TargetRegistry):
    """A registry that does not record that it removed targets."""

    def _forget(self, belief: TargetBelief) -> None:
        before = self.oldest_delta_revision
        super()._forget(belief)
        self.oldest_delta_revision = before


class AcceptsStaleLists(TargetRegistry):
    """A registry that accepts stale lists."""

    def apply_list(
        self,
        targets: Iterable[Target],
        revision: int,
        now_s: float,
        unreadable: Iterable[str] = (),
    ) -> list[BeliefChange]:
        """Revert to the revision of the list."""
        self.revision = min(self.revision, revision)
        return super().apply_list(targets, revision, now_s, unreadable)


class AcceptsStaleNews(TargetRegistry):
    """A registry that accepts stale answers of other instances."""

    def apply_news(self, news: RegistryNews, now_s: float) -> list[BeliefChange]:
        """Revert to a revision before that of the answer."""
        self.revision = min(self.revision, news.revision - 1)
        return super().apply_news(news, now_s)


class AcceptsStaleUnknownEntries(TargetRegistry):
    """A registry that treats any unknown entry as new, whatever its revision."""

    def apply_entry(self, target: Target, now_s: float) -> list[BeliefChange]:
        """Compare only with the known entry."""
        self.revision = max(self.revision, target.revision)
        return self._apply_entry(target, now_s)


class AcceptsStaleRemovals(TargetRegistry):
    """A registry that accepts a removal older than the entry."""

    def apply_removal(
        self, name: str, revision: int, now_s: float
    ) -> list[BeliefChange]:
        """Discard the revision of the entry."""
        belief = self.get(name)
        if belief is not None:
            belief.revision = 0
        return super().apply_removal(name, revision, now_s)


class OmitsStartTimes(TargetRegistry):
    """A registry that omits start times from its answers."""

    def news_since(self, revision: int) -> RegistryNews:
        """Omit the start times."""
        news = super().news_since(revision)
        targets = [replace(target, born_ms=0) for target in news.targets]
        return replace(news, targets=targets)


class IgnoresStartTimes(TargetRegistry):
    """A registry that identifies a target by its name and ignores its start time."""

    def _apply_entry(self, target: Target, now_s: float) -> list[BeliefChange]:
        return super()._apply_entry(replace(target, born_ms=0), now_s)


class AcceptsStaleEntries(TargetRegistry):
    """A registry that accepts stale writes of an entry."""

    def _apply_entry(self, target: Target, now_s: float) -> list[BeliefChange]:
        belief = self.get(target.name)
        if belief is not None:
            belief.revision = 0
        return super()._apply_entry(target, now_s)


def _registry(bounds: RegistryBounds) -> Callable[[str], Specification]:
    return lambda name: registry_specification(name, bounds)


REGISTRY_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "registry, feeder starts again": _registry(RegistryBounds()),
    "registry, two targets": _registry(
        RegistryBounds(history=_TWO_TARGETS, messages=1, restarts=0)
    ),
    "registry, entry lapses and returns": _registry(
        RegistryBounds(history=_LAPSE_AND_RETURN, messages=1, restarts=0)
    ),
    "registry, target starts again": _registry(
        RegistryBounds(history=_RESTARTED, messages=1, restarts=0)
    ),
    "registry, target starts twice": _registry(
        RegistryBounds(history=_LATE_WRITE, messages=2, restarts=0)
    ),
}
"""Factories of the specifications to check, by name."""

_MUTANTS: dict[str, type[TargetRegistry]] = {
    "a feeder omits removals": OmitsRemovals,
    "a feeder sends a delta beyond its history": AlwaysSendsDelta,
    "a list is treated as a complete history": KeepsHistoryAcrossLists,
    "unseen entries are not recorded": IgnoresUnseenEntries,
    "the removal of a target is not recorded": KeepsHistoryAfterExpiry,
    "a stale list is accepted": AcceptsStaleLists,
    "a stale answer of a feeder is accepted": AcceptsStaleNews,
    "an unknown entry is treated as new": AcceptsStaleUnknownEntries,
    "a stale removal is accepted": AcceptsStaleRemovals,
    "a stale entry is accepted": AcceptsStaleEntries,
}
_START_TIME_MUTANTS: dict[str, type[TargetRegistry]] = {
    "a feeder omits start times": OmitsStartTimes,
    "a name is treated as an incarnation": IgnoresStartTimes,
}

REGISTRY_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    name: _registry(RegistryBounds(registry=mutant))
    for name, mutant in _MUTANTS.items()
} | {
    name: _registry(
        RegistryBounds(history=_LATE_WRITE, messages=1, restarts=0, registry=mutant)
    )
    for name, mutant in _START_TIME_MUTANTS.items()
}
"""Factories of the specifications with one broken rule, by name."""

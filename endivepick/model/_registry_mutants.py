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
_STARTS_AGAIN = (
    Entry("i-1", _READY, 5),
    Entry("i-1", _DRAINING, 5),
    Entry("i-1", None),
    Entry("i-1", _READY, 9),
)
_STARTS_TWICE = (
    Entry("i-1", _READY, 5),
    Entry("i-1", _READY, 9),
    Entry("i-1", _DRAINING, 5),
)
"""The last one was written late by the incarnation that had ended."""


class RemovalsUntold(TargetRegistry):
    """Tells others of entries only."""

    def news_since(self, revision: int) -> RegistryNews:
        """Leave out what vanished."""
        return replace(super().news_since(revision), removed=[])


class NeverWhole(TargetRegistry):
    """Takes what it tells for changes, whatever it has forgotten."""

    def news_since(self, revision: int) -> RegistryNews:
        """Say that the rest stays as it is."""
        return replace(super().news_since(revision), whole=False)


class ListsHideNothing(TargetRegistry):
    """Believes that a list shows all that happened before it."""

    def apply_list(
        self,
        targets: Iterable[Target],
        revision: int,
        now_s: float,
        unreadable: Iterable[str] = (),
    ) -> list[BeliefChange]:
        """Forget that entries may have come and gone."""
        before = self.oldest_delta_revision
        changes = super().apply_list(targets, revision, now_s, unreadable)
        self.oldest_delta_revision = before
        return changes


class UnseenEntriesIgnored(TargetRegistry):
    """Takes no note of entries that came and went between two answers."""

    def apply_removal(
        self, name: str, revision: int, now_s: float
    ) -> list[BeliefChange]:
        """Forget what was not known."""
        before = self.oldest_delta_revision
        changes = super().apply_removal(name, revision, now_s)
        self.oldest_delta_revision = before
        return changes


class ForgetsWithoutNote(TargetRegistry):
    """Forgets targets, and that it has."""

    def _forget(self, belief: TargetBelief) -> None:
        before = self.oldest_delta_revision
        super()._forget(belief)
        self.oldest_delta_revision = before


class OldListsBelieved(TargetRegistry):
    """Takes any list for the newest."""

    def apply_list(
        self,
        targets: Iterable[Target],
        revision: int,
        now_s: float,
        unreadable: Iterable[str] = (),
    ) -> list[BeliefChange]:
        """Go back to the list's revision."""
        self.revision = min(self.revision, revision)
        return super().apply_list(targets, revision, now_s, unreadable)


class OldNewsBelieved(TargetRegistry):
    """Takes whatever others tell for news."""

    def apply_news(self, news: RegistryNews, now_s: float) -> list[BeliefChange]:
        """Go back to what the other knew."""
        self.revision = min(self.revision, news.revision - 1)
        return super().apply_news(news, now_s)


class UnknownEntriesNew(TargetRegistry):
    """Takes an unknown entry for a new one, however old the news."""

    def apply_entry(self, target: Target, now_s: float) -> list[BeliefChange]:
        """Compare with the entry that is known only."""
        self.revision = max(self.revision, target.revision)
        return self._apply_entry(target, now_s)


class OldRemovalsBelieved(TargetRegistry):
    """Takes a removal for news although the entry was written since."""

    def apply_removal(
        self, name: str, revision: int, now_s: float
    ) -> list[BeliefChange]:
        """Forget when the entry was written."""
        belief = self.get(name)
        if belief is not None:
            belief.revision = 0
        return super().apply_removal(name, revision, now_s)


class StartsUntold(TargetRegistry):
    """Does not tell when targets started."""

    def news_since(self, revision: int) -> RegistryNews:
        """Leave out the time of start."""
        news = super().news_since(revision)
        targets = [replace(target, born_ms=0) for target in news.targets]
        return replace(news, targets=targets)


class StartsOverlooked(TargetRegistry):
    """Takes a name for the identity."""

    def _apply_entry(self, target: Target, now_s: float) -> list[BeliefChange]:
        return super()._apply_entry(replace(target, born_ms=0), now_s)


class OldEntriesBelieved(TargetRegistry):
    """Takes any writing of an entry for the newest."""

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
        RegistryBounds(history=_STARTS_AGAIN, messages=1, restarts=0)
    ),
    "registry, target starts twice": _registry(
        RegistryBounds(history=_STARTS_TWICE, messages=2, restarts=0)
    ),
}
"""By name, what builds the specification of each check."""

_MUTANTS: dict[str, type[TargetRegistry]] = {
    "a feeder does not tell what vanished": RemovalsUntold,
    "a feeder tells changes beyond its memory": NeverWhole,
    "a list is taken for a history": ListsHideNothing,
    "entries that came and went unseen are not noted": UnseenEntriesIgnored,
    "a forgotten target is not noted": ForgetsWithoutNote,
    "an old list is believed": OldListsBelieved,
    "old news of a feeder are believed": OldNewsBelieved,
    "an unknown entry is taken for a new one": UnknownEntriesNew,
    "an old removal is believed": OldRemovalsBelieved,
    "an old entry is believed": OldEntriesBelieved,
}
_START_MUTANTS: dict[str, type[TargetRegistry]] = {
    "a feeder does not tell when targets started": StartsUntold,
    "a name is taken for an incarnation": StartsOverlooked,
}

REGISTRY_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    name: _registry(RegistryBounds(registry=mutant))
    for name, mutant in _MUTANTS.items()
} | {
    name: _registry(
        RegistryBounds(history=_STARTS_TWICE, messages=1, restarts=0, registry=mutant)
    )
    for name, mutant in _START_MUTANTS.items()
}
"""By name, what builds the specification with one rule broken."""

"""Judges of evidence with one rule broken, and the checks of the evidence model."""

from collections.abc import Callable
from dataclasses import replace

from endivepick.forwarding import (
    Effect,
    FlowKey,
    ForwardingCore,
    ProbeOutcome,
    ProbeTarget,
    Reachability,
    Reset,
    ResetReason,
    RouteKind,
    TargetBelief,
)
from endivepick.forwarding.failure_detector import FailureDetector
from endivepick.model.checker import Specification
from endivepick.model.evidence import EvidenceBounds, evidence_specification

__all__ = ["EVIDENCE_MUTATIONS", "EVIDENCE_SCENARIOS"]


class SuspectsAreDead(FailureDetector):
    """Takes a repetition for the end of the target."""

    def suspect(
        self, belief: TargetBelief, flow: FlowKey, since_s: float, now_s: float
    ) -> list[Effect]:
        """Judge without a probe."""
        effects = super().suspect(belief, flow, since_s, now_s)
        if effects:
            effects += self.on_probe(belief, ProbeOutcome.REFUSED, now_s)
        return effects


class SilenceIsDeath(FailureDetector):
    """Takes silence for the end of the target."""

    def on_probe(
        self, belief: TargetBelief, outcome: ProbeOutcome, now_s: float
    ) -> list[Effect]:
        """Know two outcomes only."""
        if outcome is ProbeOutcome.SILENT:
            outcome = ProbeOutcome.REFUSED
        return super().on_probe(belief, outcome, now_s)


class RemovalIsDeath(FailureDetector):
    """Takes the removal of an entry for the end of the target."""

    def on_entry_removed(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Judge without a probe."""
        return self.on_probe(belief, ProbeOutcome.REFUSED, now_s)


class DeadForGood(FailureDetector):
    """Never looks at a dead target again."""

    def retry_probes(self, now_s: float) -> list[Effect]:
        """Leave out the dead."""
        return [
            effect
            for effect in super().retry_probes(now_s)
            if not _is_of(self, effect, Reachability.DEAD)
        ]


class SilentForGood(FailureDetector):
    """Never looks at a silent target again."""

    def retry_probes(self, now_s: float) -> list[Effect]:
        """Leave out the silent."""
        return [
            effect
            for effect in super().retry_probes(now_s)
            if not _is_of(self, effect, Reachability.SILENT)
        ]


class RequestsForgotten(FailureDetector):
    """Forgets which flows have a request in progress."""

    def reset_flows(self, belief: TargetBelief) -> list[Effect]:
        """Take all flows for idle."""
        for flow in self._flows.of_target(belief):
            flow.busy_since_s = None
        return super().reset_flows(belief)


class AllIdempotent(FailureDetector):
    """Takes all requests for such as may be repeated."""

    def reset_flows(self, belief: TargetBelief) -> list[Effect]:
        """Forget the kind of the flows."""
        for flow in self._flows.of_target(belief):
            flow.kind = RouteKind.IDEMPOTENT
        return super().reset_flows(belief)


class OthersAssumed(FailureDetector):
    """Believes that there is always another target."""

    def has_alternative(self, belief: TargetBelief) -> bool:
        """Look at none."""
        return True


class DeadKeepFlows(FailureDetector):
    """Lets the flows of a dead target wait."""

    def reset_flows(self, belief: TargetBelief) -> list[Effect]:
        """Reset nothing that a dead target has."""
        if belief.reachability is Reachability.DEAD:
            return []
        return super().reset_flows(belief)


class DrainedAreDead(FailureDetector):
    """Takes a refusal for the end of a target that drains."""

    def reset_flows(self, belief: TargetBelief) -> list[Effect]:
        """Reset whatever a target has that refuses connections."""
        if belief.reachability is not Reachability.DEAD:
            return super().reset_flows(belief)
        reason = ResetReason.TARGET_DEAD
        return [
            Reset(flow.key, flow.acknowledged, reason, belief.name)
            for flow in self._flows.of_target(belief)
        ]


class AllTargetsReset(FailureDetector):
    """Resets the flows of a target whatever its probe says."""

    def on_probe(
        self, belief: TargetBelief, outcome: ProbeOutcome, now_s: float
    ) -> list[Effect]:
        """Reset flows of live targets, too."""
        effects = super().on_probe(belief, outcome, now_s)
        for flow in self._flows.of_target(belief):
            reason = ResetReason.TARGET_SILENT
            effects.append(Reset(flow.key, flow.acknowledged, reason, belief.name))
        return effects


def _is_of(judge: FailureDetector, effect: Effect, reachability: Reachability) -> bool:
    match effect:
        case ProbeTarget(target):
            belief = judge._registry.get(target.name)
            return belief is not None and belief.reachability is reachability
        case _:
            return False


def _evidence(bounds: EvidenceBounds) -> Callable[[str], Specification]:
    return lambda name: evidence_specification(name, bounds)


def _judged_by(mutant: type[FailureDetector]) -> Callable[[ForwardingCore], None]:
    def change(core: ForwardingCore) -> None:
        core._failure_detector = mutant(
            core.settings, core.registry, core.flows, core.routes
        )

    return change


EVIDENCE_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "evidence, one step of time": _evidence(EvidenceBounds(steps=1)),
    "evidence": _evidence(EvidenceBounds()),
    "evidence, no other target": _evidence(EvidenceBounds(other=False)),
    "evidence, entry removed": _evidence(EvidenceBounds(steps=1, removal=True)),
    "evidence, the target drains": _evidence(EvidenceBounds(drains=True)),
}
"""By name, what builds the specification of each check."""

_ALONE = EvidenceBounds(steps=1, other=False)
_REMOVED = EvidenceBounds(steps=1, removal=True)
_MUTANTS: dict[str, tuple[type[FailureDetector], EvidenceBounds]] = {
    "a suspect is dead": (SuspectsAreDead, EvidenceBounds()),
    "a silent target is dead": (SilenceIsDeath, EvidenceBounds()),
    "a removed entry is a dead target": (RemovalIsDeath, _REMOVED),
    "a dead target is not looked at again": (DeadForGood, EvidenceBounds()),
    "a silent target is not looked at again": (SilentForGood, EvidenceBounds()),
    "requests in progress are forgotten": (RequestsForgotten, EvidenceBounds()),
    "all requests may be repeated": (AllIdempotent, EvidenceBounds()),
    "another target is assumed": (OthersAssumed, _ALONE),
    "a dead target keeps its flows": (DeadKeepFlows, EvidenceBounds()),
    "one that drains and refuses is dead": (
        DrainedAreDead,
        EvidenceBounds(steps=1, drains=True),
    ),
    "a probe resets whatever it finds": (AllTargetsReset, EvidenceBounds()),
}

EVIDENCE_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    name: _evidence(replace(bounds, change=_judged_by(mutant)))
    for name, (mutant, bounds) in _MUTANTS.items()
}
"""By name, what builds the specification with one rule broken."""

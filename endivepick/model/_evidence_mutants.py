"""Evidence judges with one rule broken, and the checks of the evidence model."""

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

__all__ = [
    "EVIDENCE_MUTATIONS",
    "EVIDENCE_SCENARIOS",
    "install_failure_detector",
]


class TreatsSuspectAsDead(FailureDetector):
    """A judge that treats a retransmission as the death of the target."""

    def suspect(
        self, belief: TargetBelief, flow: FlowKey, since_s: float, now_s: float
    ) -> list[Effect]:
        """Assume a refused probe."""
        effects = super().suspect(belief, flow, since_s, now_s)
        if effects:
            effects += self.on_probe(belief, ProbeOutcome.REFUSED, now_s)
        return effects


class TreatsSilenceAsDeath(FailureDetector):
    """A judge that treats silence as the death of the target."""

    def on_probe(
        self, belief: TargetBelief, outcome: ProbeOutcome, now_s: float
    ) -> list[Effect]:
        """Treat a silent probe as a refused one."""
        if outcome is ProbeOutcome.SILENT:
            outcome = ProbeOutcome.REFUSED
        return super().on_probe(belief, outcome, now_s)


class TreatsRemovalAsDeath(FailureDetector):
    """A judge that treats the removal of an entry as the death of the target."""

    def on_entry_removed(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Assume a refused probe."""
        return self.on_probe(belief, ProbeOutcome.REFUSED, now_s)


class NeverReprobesDead(FailureDetector):
    """A judge that never probes a dead target again."""

    def retry_probes(self, now_s: float) -> list[Effect]:
        """Omit probes of dead targets."""
        return [
            effect
            for effect in super().retry_probes(now_s)
            if not _probes_target_that_is(self, effect, Reachability.DEAD)
        ]


class NeverReprobesSilent(FailureDetector):
    """A judge that never probes a silent target again."""

    def retry_probes(self, now_s: float) -> list[Effect]:
        """Omit probes of silent targets."""
        return [
            effect
            for effect in super().retry_probes(now_s)
            if not _probes_target_that_is(self, effect, Reachability.SILENT)
        ]


class IgnoresRunningRequests(FailureDetector):
    """A judge that ignores requests in progress."""

    def reset_flows(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Treat all flows as idle."""
        for flow in self._flows.of_target(belief):
            flow.busy_since_s = None
        return super().reset_flows(belief, now_s)


class TreatsAllAsIdempotent(FailureDetector):
    """A judge that treats all requests as idempotent."""

    def reset_flows(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Replace the kind of all flows."""
        for flow in self._flows.of_target(belief):
            flow.kind = RouteKind.IDEMPOTENT
        return super().reset_flows(belief, now_s)


class AssumesAlternative(FailureDetector):
    """A judge that assumes that another target is always available."""

    def has_alternative(self, belief: TargetBelief) -> bool:
        """Return True without a check."""
        return True


class KeepsFlowsOfDead(FailureDetector):
    """A judge that keeps the flows of a dead target."""

    def reset_flows(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Reset no flows of a dead target."""
        if belief.reachability is Reachability.DEAD:
            return []
        return super().reset_flows(belief, now_s)


class ResetsDrainingTargets(FailureDetector):
    """A judge that treats a refusal by a draining target as its death."""

    def reset_flows(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Reset all flows of a target that refuses connections."""
        if belief.reachability is not Reachability.DEAD:
            return super().reset_flows(belief, now_s)
        reason = ResetReason.TARGET_DEAD
        return [
            Reset(flow.key, flow.acknowledged, reason, belief.name)
            for flow in self._flows.of_target(belief)
        ]


class ResetsAfterEveryProbe(FailureDetector):
    """A judge that resets the flows of a target after every probe."""

    def on_probe(
        self, belief: TargetBelief, outcome: ProbeOutcome, now_s: float
    ) -> list[Effect]:
        """Reset the flows of live targets as well."""
        effects = super().on_probe(belief, outcome, now_s)
        for flow in self._flows.of_target(belief):
            reason = ResetReason.TARGET_SILENT
            effects.append(Reset(flow.key, flow.acknowledged, reason, belief.name))
        return effects


class TreatsFirstSilenceAsFailure(FailureDetector):
    """A judge to which one silent probe is enough."""

    def on_probe(
        self, belief: TargetBelief, outcome: ProbeOutcome, now_s: float
    ) -> list[Effect]:
        """Count a silent probe twice."""
        effects = super().on_probe(belief, outcome, now_s)
        if outcome is ProbeOutcome.SILENT:
            effects += super().on_probe(belief, outcome, now_s)
        return effects


class IgnoresProgressDuringProbe(FailureDetector):
    """A judge that ignores what callers acknowledged while a probe was running."""

    def on_probe(
        self, belief: TargetBelief, outcome: ProbeOutcome, now_s: float
    ) -> list[Effect]:
        """Discard the progress of the target."""
        belief.progress_s = float("-inf")
        return super().on_probe(belief, outcome, now_s)


class JudgesWhileStopping(FailureDetector):
    """A judge that does not notice the planned stop of its instance."""

    def stop(self) -> None:
        """Go on as before."""


class ProbesWhileStopping(FailureDetector):
    """A judge that resets no flows during a planned stop, but still probes."""

    _omits_resets = False

    def stop(self) -> None:
        """Omit resets from now on."""
        self._omits_resets = True

    def reset_flows(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Reset no flows during the stop."""
        if self._omits_resets:
            return []
        return super().reset_flows(belief, now_s)


def _probes_target_that_is(
    judge: FailureDetector, effect: Effect, reachability: Reachability
) -> bool:
    match effect:
        case ProbeTarget(target):
            belief = judge._registry.get(target.name)
            return belief is not None and belief.reachability is reachability
        case _:
            return False


def _evidence(bounds: EvidenceBounds) -> Callable[[str], Specification]:
    return lambda name: evidence_specification(name, bounds)


def install_failure_detector(
    core: ForwardingCore, mutant: type[FailureDetector]
) -> None:
    """Make a core use a mutant of the failure detector, for openings as well."""
    detector = mutant(
        core.settings, core.registry, core.flows, core.routes, core._filter
    )
    core._failure_detector = detector
    core._openings._failure_detector = detector


def _with_judge(mutant: type[FailureDetector]) -> Callable[[ForwardingCore], None]:
    return lambda core: install_failure_detector(core, mutant)


_LOST = EvidenceBounds(steps=1, active_flows=1, hints=1, lost_probes=1)
_LOST_AND_REMOVED = EvidenceBounds(steps=1, active_flows=1, removal=True, lost_probes=1)
_STOPS = EvidenceBounds(steps=1, active_flows=1, hints=1, stops=True)
_STOPS_AND_REMOVED = EvidenceBounds(steps=1, active_flows=1, removal=True, stops=True)

EVIDENCE_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "evidence, one step of time": _evidence(EvidenceBounds(steps=1)),
    "evidence": _evidence(EvidenceBounds()),
    "evidence, no other target": _evidence(EvidenceBounds(with_alternative=False)),
    "evidence, entry removed": _evidence(EvidenceBounds(steps=1, removal=True)),
    "evidence, the target drains": _evidence(EvidenceBounds(drains=True)),
    "evidence, a probe is lost": _evidence(_LOST),
    "evidence, a probe is lost, entry removed": _evidence(_LOST_AND_REMOVED),
    "evidence, the instance stops": _evidence(_STOPS),
    "evidence, the instance stops, entry removed": _evidence(_STOPS_AND_REMOVED),
}
"""Factories of the specifications to check, by name."""

_NO_ALTERNATIVE = EvidenceBounds(steps=1, with_alternative=False)
_REMOVED = EvidenceBounds(steps=1, removal=True)
_MUTANTS: dict[str, tuple[type[FailureDetector], EvidenceBounds]] = {
    "a suspected target is treated as dead": (TreatsSuspectAsDead, EvidenceBounds()),
    "a silent target is treated as dead": (TreatsSilenceAsDeath, EvidenceBounds()),
    "a removed target is treated as dead": (TreatsRemovalAsDeath, _REMOVED),
    "a dead target is not probed again": (NeverReprobesDead, EvidenceBounds()),
    "a silent target is not probed again": (NeverReprobesSilent, EvidenceBounds()),
    "requests in progress are ignored": (IgnoresRunningRequests, EvidenceBounds()),
    "all requests are treated as idempotent": (TreatsAllAsIdempotent, EvidenceBounds()),
    "another target is assumed to be available": (AssumesAlternative, _NO_ALTERNATIVE),
    "a dead target keeps its flows": (KeepsFlowsOfDead, EvidenceBounds()),
    "a draining target that refuses is treated as dead": (
        ResetsDrainingTargets,
        EvidenceBounds(steps=1, drains=True),
    ),
    "every probe resets flows": (ResetsAfterEveryProbe, EvidenceBounds()),
    "one silent probe is enough": (TreatsFirstSilenceAsFailure, _LOST),
    "progress during a probe is ignored": (IgnoresProgressDuringProbe, _LOST),
    "a stopping instance judges targets": (JudgesWhileStopping, _STOPS),
    "a stopping instance probes targets": (ProbesWhileStopping, _STOPS),
}

EVIDENCE_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    name: _evidence(replace(bounds, mutate=_with_judge(mutant)))
    for name, (mutant, bounds) in _MUTANTS.items()
}
"""Factories of the specifications with one broken rule, by name."""

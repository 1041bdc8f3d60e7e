"""Specification of failure evidence: a flow is reset only if its target failed.

One instance runs the production decision core.  One of its targets stops responding
and recovers, or ends; its entry may be removed.  Callers send, retransmit and
acknowledge on two flows to this target; the requests of one flow may run at most once.
A draining target refuses connections while it finishes its requests, then ends, and
its entry is removed.  A probe observes the target as it is when the probe begins, and
ends at any later time.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import NamedTuple

from endivepick.forwarding import (
    Configuration,
    FlowKey,
    ForwardingCore,
    ForwardingSettings,
    Packet,
    ProbeOutcome,
    ProbeResult,
    ProbeTarget,
    Reachability,
    Reset,
    ResetReason,
    Route,
    RouteKind,
    ServiceShare,
    Target,
    TargetPhase,
    TargetState,
)
from endivepick.model._freeze import freeze
from endivepick.model._transition_cache import TransitionCache
from endivepick.model.checker import Specification

__all__ = ["EvidenceBounds", "evidence_specification"]

_NAME, _OTHER = "i-1", "i-2"
_STEP_S = 0.6
"""Longer than the probe interval and than the grace period of a removed entry."""
_SETTINGS = ForwardingSettings(zone="z", lapse_grace_s=0.5, entry_return_s=0.1)
_HOST = 0xC6120001
_PORTS = (443, 8080)
_KINDS = (RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE)
_FLOWS = tuple(FlowKey(0x64400007, 1000 + port, _HOST, port) for port in _PORTS)
_DATA_BYTES = 100
_FIRST_SEQUENCE, _FIRST_ACKNOWLEDGEMENT = 101, 500


class Condition(Enum):
    """Condition of the target."""

    SERVES = "serves"
    SILENT = "silent"
    FINISHES = "finishes"
    ENDED = "ended"


_OUTCOMES = {
    Condition.SERVES: ProbeOutcome.ALIVE,
    Condition.SILENT: ProbeOutcome.SILENT,
    Condition.FINISHES: ProbeOutcome.REFUSED,
    Condition.ENDED: ProbeOutcome.REFUSED,
}


@dataclass(frozen=True)
class EvidenceBounds:
    """Limits on the events in one run of the evidence model.

    Attributes
    ----------
    steps : int
        Number of time steps.
    requests : int
        Number of requests of each flow.
    with_alternative : bool
        Another target of the service accepts flows.
    removal : bool
        The entry of the target may be removed.
    drains : bool
        The target drains and ends as planned.
    mutate : callable
        Modifies the core before the run; a mutation breaks one of its rules.
    """

    steps: int = 2
    requests: int = 1
    with_alternative: bool = True
    removal: bool = False
    drains: bool = False
    mutate: Callable[[ForwardingCore], object] = lambda core: None


class FlowProgress(NamedTuple):
    """Progress of the requests on a flow, at the caller and at the target."""

    requests: int = 0
    answered: int = 0
    running: bool = False


class EvidenceWorld(NamedTuple):
    """One state of the evidence model.

    Attributes
    ----------
    core : int
        State number of the instance.
    step : int
        Number of time steps so far.
    condition : Condition
        Current condition of the target.
    past_conditions : frozenset of Condition
        All conditions of the target so far.
    removed : bool
        Whether the entry of the target was removed.
    progress : tuple of FlowProgress
        Progress of each flow.
    probes : frozenset of ProbeOutcome
        Outcomes that the probes in progress will report.
    resets : frozenset
        Flow, reason and whether a request may be running, for each reset.
    """

    core: int
    step: int
    condition: Condition
    past_conditions: frozenset[Condition]
    removed: bool
    progress: tuple[FlowProgress, ...]
    probes: frozenset[ProbeOutcome]
    resets: frozenset[tuple[int, ResetReason, bool]]


Step = tuple[str, EvidenceWorld]
Act = Callable[[ForwardingCore], object]


def evidence_specification(name: str, bounds: EvidenceBounds) -> Specification:
    """Build the specification of failure evidence within given bounds."""
    model = _EvidenceModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "a flow is reset only for what its target did": model.has_cause,
            "what may run once only is not reset for silence": model.keeps_running,
            "nothing is reset for silence without another target": model.has_fallback,
            "a target found dead keeps no flow": model.releases_flows,
            "a target in doubt is probed again": model.probes_again,
        },
    )


def _first_core(bounds: EvidenceBounds) -> ForwardingCore:
    core = ForwardingCore(_SETTINGS, lambda: 0.5)
    share = (ServiceShare("s", 1.0),)
    pairs = zip(_PORTS, _KINDS, strict=True)
    routes = tuple(Route(f"r{port}", _HOST, port, share, kind) for port, kind in pairs)
    core.on_configuration(Configuration(1, 1, routes), 0.0)
    alternative_phase = (
        TargetPhase.READY if bounds.with_alternative else TargetPhase.DRAINING
    )
    own_phase = TargetPhase.DRAINING if bounds.drains else TargetPhase.READY
    core.on_target_list(
        [_target(_NAME, own_phase), _target(_OTHER, alternative_phase)], 1, 0.0
    )
    cookie = _cookie(core)
    for flow in _FLOWS:
        packet = Packet(
            flow, False, False, cookie, _FIRST_SEQUENCE, _FIRST_ACKNOWLEDGEMENT, 0
        )
        core.on_packet(packet, b"", 0.0)
    core.effects.clear()
    bounds.mutate(core)
    return core


def _target(name: str, phase: TargetPhase = TargetPhase.READY) -> Target:
    number = int(name[-1])
    return Target(
        name, number, "s", "10.0.0.1", number, "z", 1, phase, created=1, revision=1
    )


def _cookie(core: ForwardingCore) -> int:
    belief = core.registry.get(_NAME)
    assert belief is not None
    return belief.cookie


class _EvidenceModel:
    def __init__(self, bounds: EvidenceBounds) -> None:
        self._bounds = bounds
        self._states: TransitionCache[ForwardingCore] = TransitionCache(freeze)
        self._first = _first_core(bounds)

    def initial(self) -> EvidenceWorld:
        """Return the world in which two flows are open at the target."""
        serves = Condition.SERVES
        nothing: frozenset[ProbeOutcome] = frozenset()
        progress = (FlowProgress(),) * len(_FLOWS)
        core = self._states.number_of(self._first)
        return EvidenceWorld(
            core, 0, serves, frozenset({serves}), False, progress, nothing, frozenset()
        )

    def steps(self, world: EvidenceWorld) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        yield from self._condition_steps(world)
        for index in range(len(_FLOWS)):
            yield from self._packet_steps(world, index)
        for outcome in sorted(world.probes, key=lambda one: one.value):
            result = ProbeResult(_NAME, outcome)
            ended = world._replace(probes=world.probes - {outcome})
            now_s = world.step * _STEP_S
            act: Act = partial(_on_probe, result, now_s)
            yield self._apply_to_core(ended, f"probe ends: {outcome.value}", act)
        if world.step < self._bounds.steps:
            later = world._replace(step=world.step + 1)
            now_s = later.step * _STEP_S
            yield self._apply_to_core(
                later, f"time {now_s:.1f} s", partial(_tick, now_s)
            )
        if self._may_be_removed(world) and not world.removed:
            removed = world._replace(removed=True)
            act = partial(_on_removal, world.step * _STEP_S)
            yield self._apply_to_core(removed, "entry removed", act)

    def _may_be_removed(self, world: EvidenceWorld) -> bool:
        if self._bounds.drains:
            return world.condition is Condition.ENDED
        return self._bounds.removal

    def _condition_steps(self, world: EvidenceWorld) -> Iterator[Step]:
        """Let the target stop responding once, recover, drain or end."""
        following: dict[Condition, tuple[Condition, ...]] = {
            Condition.SERVES: (Condition.SILENT, Condition.ENDED),
            Condition.SILENT: (Condition.SERVES, Condition.ENDED),
            Condition.FINISHES: (Condition.ENDED,),
            Condition.ENDED: (),
        }
        if self._bounds.drains:
            following[Condition.SERVES] = (Condition.FINISHES,)
        for condition in following[world.condition]:
            if condition is Condition.SILENT and condition in world.past_conditions:
                continue
            past_conditions = world.past_conditions | {condition}
            yield (
                f"target: {condition.value}",
                world._replace(condition=condition, past_conditions=past_conditions),
            )

    def _packet_steps(self, world: EvidenceWorld, index: int) -> Iterator[Step]:
        progress = world.progress[index]
        serves = world.condition is Condition.SERVES
        label = f"flow {index}"
        if (
            progress.requests < self._bounds.requests
            and progress.answered == progress.requests
        ):
            number = progress.requests + 1
            begun = progress._replace(requests=number, running=serves)
            yield self._packet_step(world, index, begun, f"{label} asks", True)
        if progress.answered < progress.requests:
            # A retransmission may reach a target that has recovered.
            again = progress._replace(running=progress.running or serves)
            yield self._packet_step(world, index, again, f"{label} retransmits", True)
            finishes = world.condition is Condition.FINISHES
            if (serves or finishes) and progress.running:
                done = progress._replace(answered=progress.requests, running=False)
                yield self._packet_step(
                    world, index, done, f"{label} is answered", False
                )

    def _packet_step(
        self,
        world: EvidenceWorld,
        index: int,
        progress: FlowProgress,
        label: str,
        data: bool,
    ) -> Step:
        all_progress = list(world.progress)
        all_progress[index] = progress
        size_bytes = _DATA_BYTES if data else 0
        sequence = _FIRST_SEQUENCE + _DATA_BYTES * (
            progress.requests - (1 if data else 0)
        )
        packet = Packet(
            _FLOWS[index],
            False,
            False,
            _cookie(self._states[world.core]),
            sequence,
            _FIRST_ACKNOWLEDGEMENT + progress.answered,
            size_bytes,
        )
        act = partial(_on_packet, packet, world.step * _STEP_S)
        return self._apply_to_core(
            world._replace(progress=tuple(all_progress)), label, act
        )

    def _apply_to_core(self, world: EvidenceWorld, label: str, act: Act) -> Step:
        """Apply an event to the core; start its probes and record its resets."""
        event = (label, world.step, world.progress)
        core, effects = self._states.apply_event(
            world.core, event, partial(_effects, act)
        )
        probes, resets = set(world.probes), set(world.resets)
        for effect in effects:
            match effect:
                case ProbeTarget(target) if target.name == _NAME:
                    probes.add(_OUTCOMES[world.condition])
                case Reset(flow, _, reason):
                    index = _FLOWS.index(flow)
                    resets.add((index, reason, world.progress[index].running))
                case _:
                    pass
        changed = world._replace(
            core=core, probes=frozenset(probes), resets=frozenset(resets)
        )
        return label, changed

    def has_cause(self, world: EvidenceWorld) -> bool:
        """Tell whether each reset has a cause in the conditions of the target."""
        silent = Condition.SILENT in world.past_conditions
        causes = {
            ResetReason.TARGET_SILENT: silent,
            ResetReason.TARGET_DEAD: Condition.ENDED in world.past_conditions
            or (silent and world.removed),
        }
        return all(causes.get(reason, False) for _, reason, _ in world.resets)

    def keeps_running(self, world: EvidenceWorld) -> bool:
        """Tell whether silence reset no running request that may run only once."""
        return not any(
            reason is ResetReason.TARGET_SILENT
            and running
            and _KINDS[index] is RouteKind.AT_MOST_ONCE
            for index, reason, running in world.resets
        )

    def has_fallback(self, world: EvidenceWorld) -> bool:
        """Tell whether flows were reset for silence only with another target left."""
        silent = ResetReason.TARGET_SILENT
        return self._bounds.with_alternative or all(
            r is not silent for _, r, _ in world.resets
        )

    def releases_flows(self, world: EvidenceWorld) -> bool:
        """Tell whether a dead target has no open flow left.

        A draining target is exempt because it refuses connections before it ends.
        """
        core = self._states[world.core]
        belief = core.registry.get(_NAME)
        if belief is None or belief.reachability is not Reachability.DEAD:
            return True
        if belief.state is TargetState.DRAINING:
            return True
        return not any(flow.opened for flow in core.flows.of_target(belief))

    def probes_again(self, world: EvidenceWorld) -> bool:
        """Tell whether a listed target that is not reachable is probed again."""
        belief = self._states[world.core].registry.get(_NAME)
        if belief is None or belief.state is TargetState.GONE:
            return True
        if belief.reachability is Reachability.REACHABLE:
            return True
        act = partial(_tick, (world.step + 1) * _STEP_S)
        event = ("probes again", world.step)
        after, effects = self._states.apply_event(
            world.core, event, partial(_effects, act)
        )
        if any(isinstance(effect, ProbeTarget) for effect in effects):
            return True
        belief = self._states[after].registry.get(_NAME)
        return belief is None or belief.state is TargetState.GONE


def _effects(act: Act, core: ForwardingCore) -> tuple[object, ...]:
    outcome = act(core)
    effects = [*core.effects, outcome]
    core.effects.clear()
    return tuple(effects)


def _on_packet(packet: Packet, now_s: float, core: ForwardingCore) -> object:
    return core.on_packet(packet, b"", now_s)


def _on_probe(result: ProbeResult, now_s: float, core: ForwardingCore) -> None:
    core.on_probe(result, now_s)


def _on_removal(now_s: float, core: ForwardingCore) -> None:
    core.on_target_removed(_NAME, 2, now_s)


def _tick(now_s: float, core: ForwardingCore) -> None:
    core.tick(now_s)

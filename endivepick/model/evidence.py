"""Specification of evidence: flows are reset only for what their target has done.

One instance runs the real decision core.  A target of it falls silent and comes back,
or ends; its entry may be removed.  Callers send, repeat and acknowledge on two flows of
it, one of whose requests may run once only.  One that drains refuses connections while
it finishes its requests, then ends, and its entry is removed.  Probes see the target as
it is when they begin, and end at any later time.
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
from endivepick.model._transition_cache import Memory
from endivepick.model.checker import Specification

__all__ = ["EvidenceBounds", "evidence_specification"]

_NAME, _OTHER = "i-1", "i-2"
_STEP_S = 0.6
"""More than the gap between two probes, and than the grace of a removed entry."""
_SETTINGS = ForwardingSettings(zone="z", lapse_grace_s=0.5, entry_return_s=0.1)
_HOST = 0xC6120001
_PORTS = (443, 8080)
_KINDS = (RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE)
_FLOWS = tuple(FlowKey(0x64400007, 1000 + port, _HOST, port) for port in _PORTS)
_DATA_BYTES = 100
_FIRST, _OPENED_AT = 101, 500


class Condition(Enum):
    """What the target does."""

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
    """How much may happen in one run of the evidence model.

    Attributes
    ----------
    steps : int
        How often time passes.
    requests : int
        Requests of each flow.
    other : bool
        Another target of the service takes flows.
    removal : bool
        The entry of the target may be removed.
    drains : bool
        The target drains and ends as planned.
    change : callable
        Changes the core before it is run; a mutation breaks one of its rules.
    """

    steps: int = 2
    requests: int = 1
    other: bool = True
    removal: bool = False
    drains: bool = False
    change: Callable[[ForwardingCore], object] = lambda core: None


class Sent(NamedTuple):
    """What a caller has sent on a flow, and how far the target got."""

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
        How often time has passed.
    condition : Condition
        What the target does now.
    past : frozenset of Condition
        What it has done up to now.
    removed : bool
        Its entry is gone.
    sent : tuple of Sent
        By flow.
    probes : frozenset of ProbeOutcome
        What probes under way will report.
    resets : frozenset
        Flow, reason and whether its request may run, of each reset.
    """

    core: int
    step: int
    condition: Condition
    past: frozenset[Condition]
    removed: bool
    sent: tuple[Sent, ...]
    probes: frozenset[ProbeOutcome]
    resets: frozenset[tuple[int, ResetReason, bool]]


Step = tuple[str, EvidenceWorld]
Act = Callable[[ForwardingCore], object]


def evidence_specification(name: str, bounds: EvidenceBounds) -> Specification:
    """Build the specification of evidence within some bounds."""
    model = _EvidenceModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "a flow is reset only for what its target did": model.has_cause,
            "what may run once only is not reset for silence": model.leaves_running,
            "nothing is reset for silence without another target": model.has_other,
            "a target found dead keeps no flow": model.lets_go,
            "a target in doubt is probed again": model.looks_again,
        },
    )


def _first_core(bounds: EvidenceBounds) -> ForwardingCore:
    core = ForwardingCore(_SETTINGS, lambda: 0.5)
    share = (ServiceShare("s", 1.0),)
    pairs = zip(_PORTS, _KINDS, strict=True)
    routes = tuple(Route(f"r{port}", _HOST, port, share, kind) for port, kind in pairs)
    core.on_configuration(Configuration(1, 1, routes), 0.0)
    other = TargetPhase.READY if bounds.other else TargetPhase.DRAINING
    own = TargetPhase.DRAINING if bounds.drains else TargetPhase.READY
    core.on_target_list([_target(_NAME, own), _target(_OTHER, other)], 1, 0.0)
    cookie = _cookie(core)
    for flow in _FLOWS:
        packet = Packet(flow, False, False, cookie, _FIRST, _OPENED_AT, 0)
        core.on_packet(packet, b"", 0.0)
    core.effects.clear()
    bounds.change(core)
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
        self._cores: Memory[ForwardingCore] = Memory(freeze)
        self._first = _first_core(bounds)

    def initial(self) -> EvidenceWorld:
        """Return the world in which two flows are open at the target."""
        serves = Condition.SERVES
        nothing: frozenset[ProbeOutcome] = frozenset()
        sent = (Sent(),) * len(_FLOWS)
        core = self._cores.number_of(self._first)
        return EvidenceWorld(
            core, 0, serves, frozenset({serves}), False, sent, nothing, frozenset()
        )

    def steps(self, world: EvidenceWorld) -> Iterator[Step]:
        """Yield every step out of a world, with its label."""
        yield from self._conditions(world)
        for index in range(len(_FLOWS)):
            yield from self._packets(world, index)
        for outcome in sorted(world.probes, key=lambda one: one.value):
            result = ProbeResult(_NAME, outcome)
            ended = world._replace(probes=world.probes - {outcome})
            now_s = world.step * _STEP_S
            act: Act = partial(_on_probe, result, now_s)
            yield self._acted(ended, f"probe ends: {outcome.value}", act)
        if world.step < self._bounds.steps:
            later = world._replace(step=world.step + 1)
            now_s = later.step * _STEP_S
            yield self._acted(later, f"time {now_s:.1f} s", partial(_tick, now_s))
        if self._may_be_removed(world) and not world.removed:
            removed = world._replace(removed=True)
            act = partial(_on_removal, world.step * _STEP_S)
            yield self._acted(removed, "entry removed", act)

    def _may_be_removed(self, world: EvidenceWorld) -> bool:
        if self._bounds.drains:
            return world.condition is Condition.ENDED
        return self._bounds.removal

    def _conditions(self, world: EvidenceWorld) -> Iterator[Step]:
        """The target falls silent once, comes back, or ends, as planned or not."""
        following: dict[Condition, tuple[Condition, ...]] = {
            Condition.SERVES: (Condition.SILENT, Condition.ENDED),
            Condition.SILENT: (Condition.SERVES, Condition.ENDED),
            Condition.FINISHES: (Condition.ENDED,),
            Condition.ENDED: (),
        }
        if self._bounds.drains:
            following[Condition.SERVES] = (Condition.FINISHES,)
        for condition in following[world.condition]:
            if condition is Condition.SILENT and condition in world.past:
                continue
            past = world.past | {condition}
            yield (
                f"target: {condition.value}",
                world._replace(condition=condition, past=past),
            )

    def _packets(self, world: EvidenceWorld, index: int) -> Iterator[Step]:
        sent = world.sent[index]
        serves = world.condition is Condition.SERVES
        label = f"flow {index}"
        if sent.requests < self._bounds.requests and sent.answered == sent.requests:
            number = sent.requests + 1
            begun = sent._replace(requests=number, running=serves)
            yield self._packet(world, index, begun, f"{label} asks", True)
        if sent.answered < sent.requests:
            # A copy reaches a target that serves again.
            again = sent._replace(running=sent.running or serves)
            yield self._packet(world, index, again, f"{label} repeats", True)
            finishes = world.condition is Condition.FINISHES
            if (serves or finishes) and sent.running:
                done = sent._replace(answered=sent.requests, running=False)
                yield self._packet(world, index, done, f"{label} has its answer", False)

    def _packet(
        self, world: EvidenceWorld, index: int, sent: Sent, label: str, data: bool
    ) -> Step:
        every = list(world.sent)
        every[index] = sent
        size_bytes = _DATA_BYTES if data else 0
        sequence = _FIRST + _DATA_BYTES * (sent.requests - (1 if data else 0))
        packet = Packet(
            _FLOWS[index],
            False,
            False,
            _cookie(self._cores[world.core]),
            sequence,
            _OPENED_AT + sent.answered,
            size_bytes,
        )
        act = partial(_on_packet, packet, world.step * _STEP_S)
        return self._acted(world._replace(sent=tuple(every)), label, act)

    def _acted(self, world: EvidenceWorld, label: str, act: Act) -> Step:
        """Let the core act; probes begin at once, resets are noted."""
        event = (label, world.step, world.sent)
        core, effects = self._cores.after(world.core, event, partial(_effects, act))
        probes, resets = set(world.probes), set(world.resets)
        for effect in effects:
            match effect:
                case ProbeTarget(target) if target.name == _NAME:
                    probes.add(_OUTCOMES[world.condition])
                case Reset(flow, _, reason):
                    index = _FLOWS.index(flow)
                    resets.add((index, reason, world.sent[index].running))
                case _:
                    pass
        changed = world._replace(
            core=core, probes=frozenset(probes), resets=frozenset(resets)
        )
        return label, changed

    def has_cause(self, world: EvidenceWorld) -> bool:
        """Tell whether each reset follows from what the target did."""
        silent = Condition.SILENT in world.past
        causes = {
            ResetReason.TARGET_SILENT: silent,
            ResetReason.TARGET_DEAD: Condition.ENDED in world.past
            or (silent and world.removed),
        }
        return all(causes.get(reason, False) for _, reason, _ in world.resets)

    def leaves_running(self, world: EvidenceWorld) -> bool:
        """Tell whether no request that may run once only was given up early."""
        return not any(
            reason is ResetReason.TARGET_SILENT
            and running
            and _KINDS[index] is RouteKind.AT_MOST_ONCE
            for index, reason, running in world.resets
        )

    def has_other(self, world: EvidenceWorld) -> bool:
        """Tell whether resets for silence were of use."""
        silent = ResetReason.TARGET_SILENT
        return self._bounds.other or all(r is not silent for _, r, _ in world.resets)

    def lets_go(self, world: EvidenceWorld) -> bool:
        """Tell whether a target that is dead or given up has no open flow left.

        One that drains refuses connections before it ends.
        """
        core = self._cores[world.core]
        belief = core.registry.get(_NAME)
        if belief is None or belief.reachability is not Reachability.DEAD:
            return True
        if belief.state is TargetState.DRAINING:
            return True
        return not any(flow.opened for flow in core.flows.of_target(belief))

    def looks_again(self, world: EvidenceWorld) -> bool:
        """Tell whether a doubt about a target that is listed is looked into again."""
        belief = self._cores[world.core].registry.get(_NAME)
        if belief is None or belief.state is TargetState.GONE:
            return True
        if belief.reachability is Reachability.REACHABLE:
            return True
        act = partial(_tick, (world.step + 1) * _STEP_S)
        event = ("looks again", world.step)
        after, effects = self._cores.after(world.core, event, partial(_effects, act))
        if any(isinstance(effect, ProbeTarget) for effect in effects):
            return True
        belief = self._cores[after].registry.get(_NAME)
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

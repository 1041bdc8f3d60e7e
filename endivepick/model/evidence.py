"""Specification of failure evidence: a flow is reset only if its target failed.

One instance runs the production decision core.  One of its targets stops responding
and recovers, or ends; its entry may be removed.  Callers send, retransmit and
acknowledge on two flows to this target; the requests of one flow may run at most once.
A draining target refuses connections while it finishes its requests, then ends, and
its entry is removed.  A probe observes the target as it is when the probe begins, and
ends at any later time; the answers of some probes may be lost.  The instance may begin
a planned stop, after which packets may reach the target through another instance.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple

from endivepick.forwarding import (
    Configuration,
    FlowKey,
    ForwardingCore,
    ForwardingSettings,
    Packet,
    ProbeCause,
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
from endivepick.model._evidence_world import (
    Breach,
    Condition,
    EvidenceBounds,
    EvidenceWorld,
    FlowProgress,
    FlowReset,
)
from endivepick.model._freeze import freeze
from endivepick.model._transition_cache import TransitionCache
from endivepick.model.checker import Specification

__all__ = ["EvidenceBounds", "evidence_specification"]

_NAME, _OTHER = "i-1", "i-2"
_STEP_S = 0.8
"""Longer than the probe interval with its spread, and than the grace period of an entry
that was removed."""
_SETTINGS = ForwardingSettings(zone="z", lapse_grace_s=0.5, entry_return_s=0.1)
_HOST = 0xC6120001
_PORTS = (443, 8080)
_KINDS = (RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE)
_FLOWS = tuple(FlowKey(0x64400007, 1000 + port, _HOST, port) for port in _PORTS)
_DATA_BYTES = 100
_FIRST_SEQUENCE, _FIRST_ACKNOWLEDGEMENT = 101, 500


_OUTCOMES = {
    Condition.SERVES: ProbeOutcome.ALIVE,
    Condition.SILENT: ProbeOutcome.SILENT,
    Condition.FINISHES: ProbeOutcome.REFUSED,
    Condition.ENDED: ProbeOutcome.REFUSED,
}


Step = tuple[str, EvidenceWorld]
Act = Callable[[ForwardingCore], object]


_CAUSES_WITHOUT_FLOWS = frozenset(
    {ProbeCause.ENTRY_REMOVED, ProbeCause.CONFIRMATION, ProbeCause.RETRY}
)
"""Causes of a probe that do not depend on where the packets of flows go."""


class _Outcome(NamedTuple):
    """Verdict on a packet, None without one, and the effects of an event."""

    verdict: object
    effects: tuple[object, ...]


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
            "a stopping instance resets a flow only in answer to its packet": partial(
                _is_free_of, Breach.RESET_IN_STOP
            ),
            "a stopping instance starts no probe for its flows": partial(
                _is_free_of, Breach.PROBE_IN_STOP
            ),
            "a silent probe shows nothing if the target made progress": partial(
                _is_free_of, Breach.PROGRESS_IGNORED
            ),
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
        core = self._states.number_of(self._first)
        return EvidenceWorld(core, (FlowProgress(),) * len(_FLOWS))

    def steps(self, world: EvidenceWorld) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        yield from self._condition_steps(world)
        for index in range(self._bounds.active_flows):
            yield from self._packet_steps(world, index)
        yield from self._probe_steps(world)
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
        if world.hints < self._bounds.hints:
            hinted = world._replace(hints=world.hints + 1)
            act = partial(_on_hint, world.step * _STEP_S)
            yield self._apply_to_core(hinted, "peer reports the target", act)
        if self._bounds.stops and not world.stopping:
            stopping = world._replace(stopping=True)
            yield self._apply_to_core(stopping, "instance stops", _begin_stop)

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

    def _probe_steps(self, world: EvidenceWorld) -> Iterator[Step]:
        """End a probe, with what it observed or as lost."""
        for outcome in sorted(world.probes, key=lambda one: one.value):
            ended = world._replace(probes=world.probes - {outcome})
            label = f"probe ends: {outcome.value}"
            yield self._probe_end(ended, outcome, label)
            serves = outcome is ProbeOutcome.ALIVE
            if serves and world.lost_probes < self._bounds.lost_probes:
                lost = ended._replace(lost_probes=world.lost_probes + 1)
                yield self._probe_end(lost, ProbeOutcome.SILENT, "probe is lost")

    def _probe_end(
        self, world: EvidenceWorld, outcome: ProbeOutcome, label: str
    ) -> Step:
        act = partial(_on_probe, ProbeResult(_NAME, outcome), world.step * _STEP_S)
        label, after = self._apply_to_core(world, label, act)
        if outcome is ProbeOutcome.SILENT and self._ignores_progress(world, after):
            breaches = after.breaches | {Breach.PROGRESS_IGNORED}
            after = after._replace(breaches=breaches)
        return label, after

    def _ignores_progress(self, world: EvidenceWorld, after: EvidenceWorld) -> bool:
        """Tell whether a probe's end changed the belief despite later progress."""
        before = self._states[world.core].registry.get(_NAME)
        belief = self._states[after.core].registry.get(_NAME)
        if before is None or belief is None:
            return False
        if before.progress_s <= before.probed_s:
            return False
        return belief.reachability is not before.reachability

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
            yield from self._send(world, index, begun, f"{label} asks", True)
        if progress.answered < progress.requests:
            # A retransmission may reach a target that has recovered.
            again = progress._replace(running=progress.running or serves)
            if self._may_retransmit(world, progress):
                yield from self._send(world, index, again, f"{label} retransmits", True)
            finishes = world.condition is Condition.FINISHES
            if (serves or finishes) and progress.running:
                done = progress._replace(answered=progress.requests, running=False)
                yield from self._send(world, index, done, f"{label} is answered", False)

    def _may_retransmit(self, world: EvidenceWorld, progress: FlowProgress) -> bool:
        """Tell whether a caller may retransmit, see `EvidenceBounds.lost_probes`."""
        if not self._bounds.lost_probes:
            return True
        return not progress.running or world.condition is not Condition.SERVES

    def _send(
        self,
        world: EvidenceWorld,
        index: int,
        progress: FlowProgress,
        label: str,
        data: bool,
    ) -> Iterator[Step]:
        """Send a packet through the instance or, while it stops, through another."""
        yield self._packet_step(world, index, progress, label, data)
        if world.stopping:
            yield (
                f"{label} elsewhere",
                world._replace(progress=_with_progress(world, index, progress)),
            )

    def _packet_step(
        self,
        world: EvidenceWorld,
        index: int,
        progress: FlowProgress,
        label: str,
        data: bool,
    ) -> Step:
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
        sent = world._replace(progress=_with_progress(world, index, progress))
        return self._apply_to_core(sent, label, act)

    def _apply_to_core(self, world: EvidenceWorld, label: str, act: Act) -> Step:
        """Apply an event to the core; start its probes and record its resets."""
        event = (label, world.step, world.progress)
        core, outcome = self._states.apply_event(
            world.core, event, partial(_outcome, act)
        )
        after = world._replace(core=core)
        if isinstance(outcome.verdict, Reset):
            after = _with_reset(after, outcome.verdict)
        for effect in outcome.effects:
            match effect:
                case ProbeTarget():
                    after = _with_probe(after, effect)
                case Reset():
                    after = _with_breach_in_stop(after, Breach.RESET_IN_STOP)
                    after = _with_reset(after, effect)
                case _:
                    pass
        return label, after

    def has_cause(self, world: EvidenceWorld) -> bool:
        """Tell whether each reset has a cause in the conditions of the target.

        An ended target seems silent if the probe that began before its end is lost.
        """
        silent = Condition.SILENT in world.past_conditions
        ended = Condition.ENDED in world.past_conditions
        causes = {
            ResetReason.TARGET_SILENT: silent or (ended and world.lost_probes > 0),
            ResetReason.TARGET_DEAD: ended or (silent and world.removed),
        }
        return all(causes.get(reset.reason, False) for reset in world.resets)

    def keeps_running(self, world: EvidenceWorld) -> bool:
        """Tell whether silence reset no running request that may run only once."""
        return not any(
            reset.reason is ResetReason.TARGET_SILENT
            and reset.running
            and _KINDS[reset.flow] is RouteKind.AT_MOST_ONCE
            for reset in world.resets
        )

    def has_fallback(self, world: EvidenceWorld) -> bool:
        """Tell whether flows were reset for silence only with another target left."""
        silent = ResetReason.TARGET_SILENT
        return self._bounds.with_alternative or all(
            reset.reason is not silent for reset in world.resets
        )

    def releases_flows(self, world: EvidenceWorld) -> bool:
        """Tell whether a dead target has no open flow left.

        A draining target is exempt because it refuses connections before it ends.  An
        instance that stops resets flows only in answer to their packets.
        """
        if world.stopping:
            return True
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
        after, outcome = self._states.apply_event(
            world.core, event, partial(_outcome, act)
        )
        if any(isinstance(effect, ProbeTarget) for effect in outcome.effects):
            return True
        belief = self._states[after].registry.get(_NAME)
        return belief is None or belief.state is TargetState.GONE


def _with_progress(
    world: EvidenceWorld, index: int, progress: FlowProgress
) -> tuple[FlowProgress, ...]:
    """Return the progress of all flows after that of one has changed."""
    return (*world.progress[:index], progress, *world.progress[index + 1 :])


def _with_reset(world: EvidenceWorld, reset: Reset) -> EvidenceWorld:
    index = _FLOWS.index(reset.flow)
    recorded = FlowReset(index, reset.reason, world.progress[index].running)
    return world._replace(resets=world.resets | {recorded})


def _with_probe(world: EvidenceWorld, probe: ProbeTarget) -> EvidenceWorld:
    """Return the world after a probe began; only one target's probes end."""
    if probe.cause not in _CAUSES_WITHOUT_FLOWS:
        world = _with_breach_in_stop(world, Breach.PROBE_IN_STOP)
    if probe.target.name != _NAME:
        return world
    return world._replace(probes=world.probes | {_OUTCOMES[world.condition]})


def _with_breach_in_stop(world: EvidenceWorld, breach: Breach) -> EvidenceWorld:
    if not world.stopping:
        return world
    return world._replace(breaches=world.breaches | {breach})


def _is_free_of(breach: Breach, world: EvidenceWorld) -> bool:
    return breach not in world.breaches


def _outcome(act: Act, core: ForwardingCore) -> _Outcome:
    verdict = act(core)
    effects = tuple(core.effects)
    core.effects.clear()
    return _Outcome(verdict, effects)


def _on_packet(packet: Packet, now_s: float, core: ForwardingCore) -> object:
    return core.on_packet(packet, b"", now_s)


def _on_probe(result: ProbeResult, now_s: float, core: ForwardingCore) -> None:
    core.on_probe(result, now_s)


def _on_hint(now_s: float, core: ForwardingCore) -> None:
    core.on_hint(_NAME, now_s)


def _begin_stop(core: ForwardingCore) -> None:
    core.begin_stop()


def _on_removal(now_s: float, core: ForwardingCore) -> None:
    core.on_target_removed(_NAME, 2, now_s)


def _tick(now_s: float, core: ForwardingCore) -> None:
    core.tick(now_s)

"""Specification of restarts: the flows of a target end with its incarnation.

One instance runs the production decision core.  A target ends and restarts under the
same name.  Flows are opened at either incarnation, whatever the instance knows; it
learns of the new incarnation late, from the registry or from a probe.  Probes may end
long after they began.  The clocks of target and instance differ, and the clock of the
instance may jump.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
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
    Reachability,
    Reset,
    Route,
    RouteKind,
    ServiceShare,
    Target,
    TargetBelief,
)
from endivepick.model._freeze import freeze
from endivepick.model._transition_cache import TransitionCache
from endivepick.model.checker import Specification

__all__ = ["RestartBounds", "restart_specification"]

_NAME, _OTHER = "i-1", "i-2"
_HOST, _PORT = 0xC6120001, 443
_EPOCH_S = 1_000_000.0
_FIRST_BORN_S = -50.0
_STEP_S = 2.0
_CLOCK_DIFFERENCE_S = 3.0
_JUMP_S = 20.0
_SETTINGS = ForwardingSettings(zone="z", clock_difference_s=_CLOCK_DIFFERENCE_S)
_FLOWS = tuple(FlowKey(0x64400007, 1000 + n, _HOST, _PORT) for n in range(1))


@dataclass(frozen=True)
class RestartBounds:
    """Limits on the events in one run of the restart model.

    Attributes
    ----------
    steps : int
        Number of time steps.
    target_ahead_s : float
        Offset of the target's clock from the true time in seconds.
    jumps : bool
        The clock of the instance may jump back once.
    settings : ForwardingSettings
        Settings of the instance.
    core : callable
        Creates the decision core; a mutation replaces it.
    """

    steps: int = 4
    target_ahead_s: float = 0.0
    jumps: bool = False
    settings: ForwardingSettings = _SETTINGS
    core: Callable[[ForwardingSettings, Callable[[], float]], ForwardingCore] = (
        ForwardingCore
    )


class OpenFlow(NamedTuple):
    """Open flow: number of the target's start that holds it, and its opening step."""

    start: int
    step: int


class Probe(NamedTuple):
    """Probe in progress: its outcome, the probed and the reported incarnation."""

    outcome: ProbeOutcome
    probed_born_ms: int
    shown_born_ms: int


class RestartWorld(NamedTuple):
    """One state of the restart model.

    Attributes
    ----------
    core : int
        State number of the instance.
    step : int
        Number of time steps so far.
    starts : int
        Number of starts of the target so far: 1 or 2.
    alive : bool
        Whether the newest incarnation runs.
    started_step : int
        Step at which the second incarnation started.
    flows : tuple of OpenFlow or None
        Flows that were opened; None for the others.
    probes : frozenset of Probe
        Probes in progress.
    restart_announced : bool
        Whether the registry has announced the second start.
    jumped : bool
        Whether the clock of the instance has jumped back.
    wrong : bool
        Whether a flow was reset while its incarnation was alive.
    """

    core: int
    step: int
    starts: int
    alive: bool
    started_step: int
    flows: tuple[OpenFlow | None, ...]
    probes: frozenset[Probe]
    restart_announced: bool
    jumped: bool
    wrong: bool


Step = tuple[str, RestartWorld]
Act = Callable[[ForwardingCore], object]


def restart_specification(name: str, bounds: RestartBounds) -> Specification:
    """Build the specification of restarts within given bounds."""
    model = _RestartModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "no flow is reset while its incarnation lives": lambda world: (
                not world.wrong
            ),
            "an old flow ends with its incarnation": model.releases_old_flows,
            "a new incarnation is not dead for the former": model.is_incarnation_alive,
            "no flow counts for an incarnation that is not there": model.counts_match,
        },
    )


class _RestartModel:
    def __init__(self, bounds: RestartBounds) -> None:
        self._bounds = bounds
        self._states: TransitionCache[ForwardingCore] = TransitionCache(freeze)

    def initial(self) -> RestartWorld:
        """Return the state in which the target runs and no flow is open."""
        core = self._bounds.core(self._bounds.settings, lambda: 0.0)
        share = (ServiceShare("s", 1.0),)
        route = Route("r", _HOST, _PORT, share, RouteKind.AT_MOST_ONCE)
        core.on_configuration(Configuration(1, 1, (route,)), 0.0)
        targets = [_target(_NAME, _born_ms(_FIRST_BORN_S)), _target(_OTHER, 0)]
        core.on_target_list(targets, 1, 0.0)
        core.on_wall_clock(_EPOCH_S)
        core.effects.clear()
        number = self._states.number_of(core)
        flows: tuple[OpenFlow | None, ...] = (None,) * len(_FLOWS)
        return RestartWorld(
            number, 0, 1, True, 0, flows, frozenset(), False, False, False
        )

    def steps(self, world: RestartWorld) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        if world.starts == 1:
            yield from self._target_restarts(world)
        for index, flow in enumerate(world.flows):
            if flow is None and world.alive:
                yield self._open_flow(world, index)
        yield from self._probes(world)
        if world.starts == 2 and not world.restart_announced:
            restart_announced = world._replace(restart_announced=True)
            entry = _target(_NAME, self._second_born_ms(world), revision=5)
            act: Act = partial(_on_target, entry, self._now_s(world))
            yield self._apply_to_core(
                restart_announced, "the registry announces the start", act
            )
        if world.step < self._bounds.steps:
            later = world._replace(step=world.step + 1)
            act = partial(_tick, self._now_s(later), self._ahead_s(later))
            yield self._apply_to_core(later, "time passes", act)
        if self._bounds.jumps and not world.jumped:
            yield "the clock jumps back", world._replace(jumped=True)

    def _target_restarts(self, world: RestartWorld) -> Iterator[Step]:
        if world.alive:
            yield "the target ends", world._replace(alive=False)
        else:
            yield (
                "the target starts again",
                world._replace(starts=2, alive=True, started_step=world.step),
            )

    def _open_flow(self, world: RestartWorld, index: int) -> Step:
        """Observe a caller's packet of a flow open at the current incarnation."""
        flows = list(world.flows)
        flows[index] = OpenFlow(world.starts, world.step)
        cookie = _belief(self._states[world.core]).cookie
        packet = Packet(_FLOWS[index], False, False, cookie, 101, 500, 0)
        act = partial(_on_packet, packet, self._now_s(world))
        opened = world._replace(flows=tuple(flows))
        return self._apply_to_core(opened, f"flow {index} opens", act)

    def _probes(self, world: RestartWorld) -> Iterator[Step]:
        known_ms = _belief(self._states[world.core]).target.born_ms
        begun = self._probe(world, known_ms)
        if not world.probes:
            probes = world.probes | {begun}
            yield f"probe finds {begun.outcome.value}", world._replace(probes=probes)
        for probe in world.probes:
            # A refusal is immediate, so a delayed one concerns an incarnation that
            # the instance knows to have ended.
            refused = probe.outcome is ProbeOutcome.REFUSED
            if refused and world.alive and known_ms == probe.probed_born_ms:
                continue
            ended = world._replace(probes=world.probes - {probe})
            act = partial(_on_probe, probe, self._now_s(world))
            yield self._apply_to_core(ended, f"probe ends: {probe.outcome.value}", act)

    def _probe(self, world: RestartWorld, known_ms: int) -> Probe:
        if not world.alive:
            return Probe(ProbeOutcome.REFUSED, known_ms, 0)
        shown_ms = _born_ms(_FIRST_BORN_S)
        if world.starts == 2:
            shown_ms = self._second_born_ms(world)
        return Probe(ProbeOutcome.ALIVE, known_ms, shown_ms)

    def _now_s(self, world: RestartWorld) -> float:
        return world.step * _STEP_S

    def _ahead_s(self, world: RestartWorld) -> float:
        return _EPOCH_S - (_JUMP_S if world.jumped else 0.0)

    def _second_born_ms(self, world: RestartWorld) -> int:
        return _born_ms(world.started_step * _STEP_S + self._bounds.target_ahead_s)

    def _apply_to_core(self, world: RestartWorld, label: str, act: Act) -> Step:
        """Apply an event to the core and check the flows that it resets."""
        event = (label, world.step, world.jumped, world.started_step, world.probes)
        core, reset = self._states.apply_event(world.core, event, partial(_resets, act))
        wrong = any(self._is_wrong(world, flow) for flow in reset)
        return label, world._replace(core=core, wrong=world.wrong or wrong)

    def _is_wrong(self, world: RestartWorld, flow: FlowKey) -> bool:
        opened = world.flows[_FLOWS.index(flow)]
        return opened is not None and world.alive and opened.start == world.starts

    def releases_old_flows(self, world: RestartWorld) -> bool:
        """Tell whether no flow is kept that certainly ended with its incarnation."""
        core = self._states[world.core]
        if not world.restart_announced:
            return True
        margin_s = _CLOCK_DIFFERENCE_S + abs(self._bounds.target_ahead_s)
        started_s = world.started_step * _STEP_S
        return not any(
            opened is not None
            and opened.start == 1
            and opened.step * _STEP_S < started_s - margin_s
            and core.flows.get(key) is not None
            for key, opened in zip(_FLOWS, world.flows, strict=True)
        )

    def is_incarnation_alive(self, world: RestartWorld) -> bool:
        """Tell whether the second incarnation, which never ends, is not held dead.

        The core must not transfer the death of the first incarnation to the second.
        """
        if not world.restart_announced:
            return True
        belief = _belief(self._states[world.core])
        return belief.reachability is not Reachability.DEAD

    def counts_match(self, world: RestartWorld) -> bool:
        """Tell whether the flow count of the target equals its observed flows."""
        core = self._states[world.core]
        belief = _belief(core)
        return belief.flows == sum(1 for _ in core.flows.of_target(belief))


def _born_ms(at_s: float) -> int:
    return int((_EPOCH_S + at_s) * 1000)


def _target(name: str, born_ms: int, revision: int = 1) -> Target:
    number = int(name[-1])
    return Target(
        *(name, number, "s", "10.0.0.1", number, "z", 1),
        created=revision,
        revision=revision,
        born_ms=born_ms,
    )


def _belief(core: ForwardingCore) -> TargetBelief:
    belief = core.registry.get(_NAME)
    assert belief is not None
    return belief


def _resets(act: Act, core: ForwardingCore) -> tuple[FlowKey, ...]:
    act(core)
    flows = tuple(effect.flow for effect in core.effects if isinstance(effect, Reset))
    core.effects.clear()
    return flows


def _on_packet(packet: Packet, now_s: float, core: ForwardingCore) -> None:
    core.on_packet(packet, b"", now_s)


def _on_target(entry: Target, now_s: float, core: ForwardingCore) -> None:
    core.on_target(entry, now_s)


def _on_probe(probe: Probe, now_s: float, core: ForwardingCore) -> None:
    core.on_probe(ProbeResult(_NAME, *probe), now_s)


def _tick(now_s: float, ahead_s: float, core: ForwardingCore) -> None:
    core.on_wall_clock(ahead_s)
    core.tick(now_s)

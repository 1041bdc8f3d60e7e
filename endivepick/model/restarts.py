"""Specification of restarts: a target's flows end with the incarnation that has them.

One instance runs the real decision core.  A target ends and starts again under its
name.  Flows are opened at either incarnation, whatever the instance knows; it learns of
the new one late, from the registry or from a probe.  Probes may end long after they
began.  The clocks of target and instance differ, and that of the instance may jump.
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
from endivepick.model._transition_cache import Memory
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
    """How much may happen in one run of the restart model.

    Attributes
    ----------
    steps : int
        How often time passes.
    target_ahead_s : float
        How far the target's clock is ahead of the true time, in seconds.
    jumps : bool
        The clock of the instance may jump back once.
    settings : ForwardingSettings
        Settings of the instance.
    core : callable
        Makes the decision core; a mutation replaces it.
    """

    steps: int = 4
    target_ahead_s: float = 0.0
    jumps: bool = False
    settings: ForwardingSettings = _SETTINGS
    core: Callable[[ForwardingSettings, Callable[[], float]], ForwardingCore] = (
        ForwardingCore
    )


class OpenFlow(NamedTuple):
    """A flow: at which start of the target it is open, and since which step."""

    start: int
    step: int


class Probe(NamedTuple):
    """A probe under way: what it will report, of which incarnation."""

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
        How often time has passed.
    starts : int
        Starts of the target up to now: 1 or 2.
    alive : bool
        The newest incarnation runs.
    started_step : int
        When the second one started.
    flows : tuple of OpenFlow or None
        Flows that were opened.
    probes : frozenset of Probe
        Probes under way.
    told : bool
        The registry has told of the second start.
    jumped : bool
        The instance's clock has jumped back.
    wrong : bool
        A flow was reset while the incarnation that has it was alive.
    """

    core: int
    step: int
    starts: int
    alive: bool
    started_step: int
    flows: tuple[OpenFlow | None, ...]
    probes: frozenset[Probe]
    told: bool
    jumped: bool
    wrong: bool


Step = tuple[str, RestartWorld]
Act = Callable[[ForwardingCore], object]


def restart_specification(name: str, bounds: RestartBounds) -> Specification:
    """Build the specification of restarts within some bounds."""
    model = _RestartModel(bounds)
    return Specification(
        name=name,
        initial=model.initial(),
        steps=model.steps,
        invariants={
            "no flow is reset while its incarnation lives": lambda world: (
                not world.wrong
            ),
            "an old flow ends with its incarnation": model.lets_go,
            "a new incarnation is not dead for the former": model.is_fresh,
            "no flow counts for an incarnation that is not there": model.counts,
        },
    )


class _RestartModel:
    def __init__(self, bounds: RestartBounds) -> None:
        self._bounds = bounds
        self._cores: Memory[ForwardingCore] = Memory(freeze)

    def initial(self) -> RestartWorld:
        """Return the world in which a target runs and no flow is open."""
        core = self._bounds.core(self._bounds.settings, lambda: 0.0)
        share = (ServiceShare("s", 1.0),)
        route = Route("r", _HOST, _PORT, share, RouteKind.AT_MOST_ONCE)
        core.on_configuration(Configuration(1, 1, (route,)), 0.0)
        targets = [_target(_NAME, _born_ms(_FIRST_BORN_S)), _target(_OTHER, 0)]
        core.on_target_list(targets, 1, 0.0)
        core.on_wall_clock(_EPOCH_S)
        core.effects.clear()
        number = self._cores.number_of(core)
        flows: tuple[OpenFlow | None, ...] = (None,) * len(_FLOWS)
        return RestartWorld(
            number, 0, 1, True, 0, flows, frozenset(), False, False, False
        )

    def steps(self, world: RestartWorld) -> Iterator[Step]:
        """Yield every step out of a world, with its label."""
        if world.starts == 1:
            yield from self._first_ends(world)
        for index, flow in enumerate(world.flows):
            if flow is None and world.alive:
                yield self._opened(world, index)
        yield from self._probes(world)
        if world.starts == 2 and not world.told:
            told = world._replace(told=True)
            entry = _target(_NAME, self._second_born_ms(world), revision=5)
            act: Act = partial(_on_target, entry, self._now_s(world))
            yield self._acted(told, "the registry tells of the start", act)
        if world.step < self._bounds.steps:
            later = world._replace(step=world.step + 1)
            act = partial(_tick, self._now_s(later), self._ahead_s(later))
            yield self._acted(later, "time passes", act)
        if self._bounds.jumps and not world.jumped:
            yield "the clock jumps back", world._replace(jumped=True)

    def _first_ends(self, world: RestartWorld) -> Iterator[Step]:
        if world.alive:
            yield "the target ends", world._replace(alive=False)
        else:
            yield (
                "the target starts again",
                world._replace(starts=2, alive=True, started_step=world.step),
            )

    def _opened(self, world: RestartWorld, index: int) -> Step:
        """A caller's packet shows a flow that is open at whoever lives now."""
        flows = list(world.flows)
        flows[index] = OpenFlow(world.starts, world.step)
        cookie = _belief(self._cores[world.core]).cookie
        packet = Packet(_FLOWS[index], False, False, cookie, 101, 500, 0)
        act = partial(_on_packet, packet, self._now_s(world))
        opened = world._replace(flows=tuple(flows))
        return self._acted(opened, f"flow {index} opens", act)

    def _probes(self, world: RestartWorld) -> Iterator[Step]:
        known_ms = _belief(self._cores[world.core]).target.born_ms
        begun = self._probe(world, known_ms)
        if not world.probes:
            probes = world.probes | {begun}
            yield f"probe finds {begun.outcome.value}", world._replace(probes=probes)
        for probe in world.probes:
            # A refusal takes no time; one that comes late is of one known to be gone.
            refused = probe.outcome is ProbeOutcome.REFUSED
            if refused and world.alive and known_ms == probe.probed_born_ms:
                continue
            ended = world._replace(probes=world.probes - {probe})
            act = partial(_on_probe, probe, self._now_s(world))
            yield self._acted(ended, f"probe ends: {probe.outcome.value}", act)

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

    def _acted(self, world: RestartWorld, label: str, act: Act) -> Step:
        """Let the core act, and judge what it resets."""
        event = (label, world.step, world.jumped, world.started_step, world.probes)
        core, reset = self._cores.after(world.core, event, partial(_resets, act))
        wrong = any(self._is_wrong(world, flow) for flow in reset)
        return label, world._replace(core=core, wrong=world.wrong or wrong)

    def _is_wrong(self, world: RestartWorld, flow: FlowKey) -> bool:
        opened = world.flows[_FLOWS.index(flow)]
        return opened is not None and world.alive and opened.start == world.starts

    def lets_go(self, world: RestartWorld) -> bool:
        """Tell whether no flow is kept that surely ended with its incarnation."""
        core = self._cores[world.core]
        if not world.told:
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

    def is_fresh(self, world: RestartWorld) -> bool:
        """Tell whether the second incarnation, which never ends, is not held dead."""
        if not world.told:
            return True
        belief = _belief(self._cores[world.core])
        return belief.reachability is not Reachability.DEAD

    def counts(self, world: RestartWorld) -> bool:
        """Tell whether the flows that count for a target are observed ones of it."""
        core = self._cores[world.core]
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

"""Fault and planned-change scenarios by name."""

import dataclasses
from collections.abc import Callable
from functools import partial

from endivepick.bench.policy import Policy, SimulationContext

__all__ = ["FAULTS", "FAULT_END_S", "FAULT_START_S"]

FAULT_START_S = 30.0
FAULT_END_S = 50.0

Script = Callable[[SimulationContext, Policy], None]


def _none(context: SimulationContext, policy: Policy) -> None:
    pass


def _half_shed(context: SimulationContext, policy: Policy) -> None:
    """Let half of the targets shed all requests during the fault."""
    names = sorted(context.targets)
    _during(context, names[: len(names) // 2], "shedding")


def _stuck(context: SimulationContext, policy: Policy) -> None:
    """Let one target report no load but answer no request."""
    target = context.targets[min(context.targets)]
    _during(context, [target.name], "stuck")
    context.loop.call_at(FAULT_END_S, target.clear_stuck)


def _health_lies(context: SimulationContext, policy: Policy) -> None:
    """Fail the health endpoint of one target that still serves requests."""
    _during(context, [min(context.targets)], "health_fails")


def _all_unhealthy(context: SimulationContext, policy: Policy) -> None:
    """Fail the health endpoints of all targets, which still serve requests."""
    _during(context, sorted(context.targets), "health_fails")


def _all_down(context: SimulationContext, policy: Policy) -> None:
    """Let all targets refuse connections during the fault."""
    _during(context, sorted(context.targets), "down")


def _cold(context: SimulationContext, policy: Policy) -> None:
    """Restart one target, which is three times slower for the first 10 seconds."""
    target = context.targets[min(context.targets)]

    def restart() -> None:
        target.incarnation += 1
        target.cold_until_s = FAULT_START_S + 10.0

    context.loop.call_at(FAULT_START_S, restart)


def _kill(context: SimulationContext, policy: Policy) -> None:
    """Kill one instance; in policies with owners, the owner of the service."""
    context.loop.call_at(FAULT_START_S, policy.kill_instance)


def _planned(context: SimulationContext, policy: Policy) -> None:
    """Replace an instance while one target drains; the target returns later."""
    target = context.targets[min(context.targets)]
    drained = dataclasses.replace(
        context.record,
        version=2,
        targets=tuple(
            dataclasses.replace(t, draining=t.name == target.name)
            for t in context.record.targets
        ),
    )
    back = dataclasses.replace(context.record, version=3)
    loop = context.loop
    loop.call_at(FAULT_START_S, partial(policy.update_record, drained))
    loop.call_at(FAULT_START_S + 0.5, policy.replace_instance)
    loop.call_at(FAULT_END_S, partial(policy.update_record, back))


def _zone_cut(context: SimulationContext, policy: Policy) -> None:
    """Partition the last zone from the other zones during the fault."""
    zone = context.shape.zones[-1]

    def cut() -> None:
        context.cut_zones.add(zone)
        policy.on_zone_cut(zone)

    def heal() -> None:
        context.cut_zones.discard(zone)
        policy.on_zone_healed(zone)

    context.loop.call_at(FAULT_START_S, cut)
    context.loop.call_at(FAULT_END_S, heal)


def _during(context: SimulationContext, names: list[str], fault: str) -> None:
    for name in names:
        target = context.targets[name]
        context.loop.call_at(FAULT_START_S, partial(setattr, target, fault, True))
        context.loop.call_at(FAULT_END_S, partial(setattr, target, fault, False))


FAULTS: dict[str, Script] = {
    "none": _none,
    "half_shed": _half_shed,
    "stuck": _stuck,
    "health_lies": _health_lies,
    "all_unhealthy": _all_unhealthy,
    "all_down": _all_down,
    "cold": _cold,
    "kill": _kill,
    "planned": _planned,
    "zone_cut": _zone_cut,
}

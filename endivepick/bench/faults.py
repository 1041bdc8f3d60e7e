"""Scripts of faults and planned changes, by name."""

import dataclasses
from collections.abc import Callable
from functools import partial

from endivepick.bench.policy import Policy, World

__all__ = ["FAULTS", "FAULT_END_S", "FAULT_START_S"]

FAULT_START_S = 30.0
FAULT_END_S = 50.0

Script = Callable[[World, Policy], None]


def _none(world: World, policy: Policy) -> None:
    pass


def _half_shed(world: World, policy: Policy) -> None:
    """Half of the targets refuse all requests for a while."""
    names = sorted(world.targets)
    _during(world, names[: len(names) // 2], "shedding")


def _stuck(world: World, policy: Policy) -> None:
    """One target reports idle but answers nothing."""
    target = world.targets[min(world.targets)]
    _during(world, [target.name], "stuck")
    world.loop.call_at(FAULT_END_S, target.unstick)


def _health_lies(world: World, policy: Policy) -> None:
    """One target's health endpoint fails although it works."""
    _during(world, [min(world.targets)], "health_fails")


def _all_unhealthy(world: World, policy: Policy) -> None:
    """All health endpoints fail although the targets work."""
    _during(world, sorted(world.targets), "health_fails")


def _all_down(world: World, policy: Policy) -> None:
    """No target takes a connection for a while."""
    _during(world, sorted(world.targets), "down")


def _cold(world: World, policy: Policy) -> None:
    """One target restarts, and is three times as slow at first."""
    target = world.targets[min(world.targets)]

    def restart() -> None:
        target.incarnation += 1
        target.cold_until_s = FAULT_START_S + 10.0

    world.loop.call_at(FAULT_START_S, restart)


def _kill(world: World, policy: Policy) -> None:
    """One instance dies; for policies with owners, the service's owner."""
    world.loop.call_at(FAULT_START_S, policy.kill_instance)


def _planned(world: World, policy: Policy) -> None:
    """An instance is replaced while a target drains and later comes back."""
    target = world.targets[min(world.targets)]
    drained = dataclasses.replace(
        world.record,
        version=2,
        targets=tuple(
            dataclasses.replace(t, draining=t.name == target.name)
            for t in world.record.targets
        ),
    )
    back = dataclasses.replace(world.record, version=3)
    loop = world.loop
    loop.call_at(FAULT_START_S, partial(policy.update_record, drained))
    loop.call_at(FAULT_START_S + 0.5, policy.replace_instance)
    loop.call_at(FAULT_END_S, partial(policy.update_record, back))


def _zone_cut(world: World, policy: Policy) -> None:
    """The last zone is cut off for a while."""
    zone = world.shape.zones[-1]

    def cut() -> None:
        world.cut_zones.add(zone)
        policy.cut(zone)

    def heal() -> None:
        world.cut_zones.discard(zone)
        policy.heal(zone)

    world.loop.call_at(FAULT_START_S, cut)
    world.loop.call_at(FAULT_END_S, heal)


def _during(world: World, names: list[str], fault: str) -> None:
    for name in names:
        target = world.targets[name]
        world.loop.call_at(FAULT_START_S, partial(setattr, target, fault, True))
        world.loop.call_at(FAULT_END_S, partial(setattr, target, fault, False))


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

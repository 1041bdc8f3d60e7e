"""Decision cores with one restart rule broken, and the checks of the restart model."""

from collections.abc import Callable
from dataclasses import replace

from msgspec.structs import replace as replace_fields

from endivepick.forwarding import (
    Effect,
    ForwardingCore,
    ProbeResult,
    Reset,
    ResetReason,
    Target,
)
from endivepick.forwarding.belief import TargetRestart
from endivepick.forwarding.failure_detector import FailureDetector
from endivepick.model._evidence_mutants import install_failure_detector
from endivepick.model.checker import Specification
from endivepick.model.restarts import RestartBounds, restart_specification

__all__ = ["RESTART_MUTATIONS", "RESTART_SCENARIOS"]

_CLOCK_OFFSET_S = 2.0
"""Offset of the target's clock from the true time in the clock checks."""


class IgnoresStartTimes(ForwardingCore):
    """A core that identifies a target by its id and ignores its start time."""

    def on_target(self, target: Target, now_s: float) -> None:
        """Discard the start time of the target."""
        super().on_target(replace_fields(target, born_ms=0), now_s)


class AcceptsFormerProbes(ForwardingCore):
    """A core that attributes each probe to the current incarnation."""

    def on_probe(self, result: ProbeResult, now_s: float) -> None:
        """Discard the incarnation that was probed."""
        super().on_probe(replace_fields(result, probed_born_ms=0), now_s)


class FollowsWallClock(ForwardingCore):
    """A core that adopts every change of the wall clock."""

    def on_wall_clock(self, ahead_s: float) -> None:
        """Adopt the current offset."""
        self._wall_ahead_s = ahead_s


class UsesDiscoveryTime(ForwardingCore):
    """A core that uses the time at which it learns of a start as the start time."""

    def _earliest_start_s(self, target: Target, now_s: float) -> float:
        return now_s


class KeepsAllFlows(ForwardingCore):
    """A core that assigns all flows to the new incarnation."""

    def _earliest_start_s(self, target: Target, now_s: float) -> float:
        return float("-inf")


class ResetsAllFlowsJudge(FailureDetector):
    """A judge that resets all flows to the name of a restarted target."""

    def reset_former_incarnation(
        self, restart: TargetRestart, began_s: float, now_s: float
    ) -> list[Effect]:
        """Ignore when the flows were opened."""
        name, reason = restart.before.name, ResetReason.TARGET_RESTARTED
        return [
            Reset(flow.key, flow.acknowledged, reason, name)
            for flow in self._flows.of_target(restart.before)
        ]


class ResetsAllFlowsCore(ForwardingCore):
    """A core that uses `ResetAllFlowsJudge`."""

    def on_target(self, target: Target, now_s: float) -> None:
        """Install the judge, then handle the target."""
        install_failure_detector(self, ResetsAllFlowsJudge)
        super().on_target(target, now_s)


def _restarts(bounds: RestartBounds) -> Callable[[str], Specification]:
    return lambda name: restart_specification(name, bounds)


_AHEAD = RestartBounds(target_ahead_s=_CLOCK_OFFSET_S)
_JUMPS = RestartBounds(jumps=True)

RESTART_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "restarts": _restarts(RestartBounds()),
    "restarts, the target's clock is ahead": _restarts(_AHEAD),
    "restarts, the target's clock is behind": _restarts(
        RestartBounds(target_ahead_s=-_CLOCK_OFFSET_S)
    ),
    "restarts, the instance's clock jumps": _restarts(_JUMPS),
}
"""Factories of the specifications to check, by name."""

_NO_DIFFERENCE = replace_fields(RestartBounds().settings, clock_difference_s=0.0)
_MUTANTS: dict[str, RestartBounds] = {
    "a restart under a known id is not detected": RestartBounds(core=IgnoresStartTimes),
    "a probe of the former incarnation counts": RestartBounds(core=AcceptsFormerProbes),
    "every wall clock change is adopted": replace(_JUMPS, core=FollowsWallClock),
    "the time of discovery is used as the start time": RestartBounds(
        core=UsesDiscoveryTime
    ),
    "flows of a former incarnation are kept": RestartBounds(core=KeepsAllFlows),
    "all flows of a name are reset": RestartBounds(core=ResetsAllFlowsCore),
    "clocks are assumed to be equal": replace(_AHEAD, settings=_NO_DIFFERENCE),
}

RESTART_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    name: _restarts(bounds) for name, bounds in _MUTANTS.items()
}
"""Factories of the specifications with one broken rule, by name."""

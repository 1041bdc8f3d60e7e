"""Cores with one rule on restarts broken, and the checks of the restart model."""

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
from endivepick.model.checker import Specification
from endivepick.model.restarts import RestartBounds, restart_specification

__all__ = ["RESTART_MUTATIONS", "RESTART_SCENARIOS"]

_LAST_AHEAD_S = 2.0
"""How far the target's clock is ahead of the true time in the checks of clocks."""


class StartsIgnored(ForwardingCore):
    """Takes an id for the identity."""

    def on_target(self, target: Target, now_s: float) -> None:
        """Forget when the target started."""
        super().on_target(replace_fields(target, born_ms=0), now_s)


class FormerProbesCount(ForwardingCore):
    """Takes a probe for one of whoever is known now."""

    def on_probe(self, result: ProbeResult, now_s: float) -> None:
        """Forget which incarnation was probed."""
        super().on_probe(replace_fields(result, probed_born_ms=0), now_s)


class NewestClock(ForwardingCore):
    """Believes the time of day as it is now."""

    def on_wall_clock(self, ahead_s: float) -> None:
        """Follow each jump."""
        self._wall_ahead_s = ahead_s


class StartIsNow(ForwardingCore):
    """Takes the time at which a start is learnt for that of the start."""

    def _earliest_start_s(self, target: Target, now_s: float) -> float:
        return now_s


class NothingReset(ForwardingCore):
    """Leaves all flows to the new incarnation."""

    def _earliest_start_s(self, target: Target, now_s: float) -> float:
        return float("-inf")


class AllReset(FailureDetector):
    """Resets whatever was sent to the name."""

    def reset_former_incarnation(
        self, restart: TargetRestart, began_s: float
    ) -> list[Effect]:
        """Forget when flows were opened."""
        name, reason = restart.before.name, ResetReason.TARGET_RESTARTED
        return [
            Reset(flow.key, flow.acknowledged, reason, name)
            for flow in self._flows.of_target(restart.before)
        ]


class AllResetCore(ForwardingCore):
    """A core with that judge."""

    def on_target(self, target: Target, now_s: float) -> None:
        """Let the judge reset all flows."""
        judge = AllReset(self.settings, self.registry, self.flows, self.routes)
        self._failure_detector = judge
        super().on_target(target, now_s)


def _restarts(bounds: RestartBounds) -> Callable[[str], Specification]:
    return lambda name: restart_specification(name, bounds)


_AHEAD = RestartBounds(target_ahead_s=_LAST_AHEAD_S)
_JUMPS = RestartBounds(jumps=True)

RESTART_SCENARIOS: dict[str, Callable[[str], Specification]] = {
    "restarts": _restarts(RestartBounds()),
    "restarts, the target's clock is ahead": _restarts(_AHEAD),
    "restarts, the target's clock is behind": _restarts(
        RestartBounds(target_ahead_s=-_LAST_AHEAD_S)
    ),
    "restarts, the instance's clock jumps": _restarts(_JUMPS),
}
"""By name, what builds the specification of each check."""

_NO_DIFFERENCE = replace_fields(RestartBounds().settings, clock_difference_s=0.0)
_MUTANTS: dict[str, RestartBounds] = {
    "a start under a known id is not noticed": RestartBounds(core=StartsIgnored),
    "a probe of the former incarnation counts": RestartBounds(core=FormerProbesCount),
    "the newest time of day is believed": replace(_JUMPS, core=NewestClock),
    "a start is when it is learnt": RestartBounds(core=StartIsNow),
    "flows of a former incarnation are kept": RestartBounds(core=NothingReset),
    "all flows of a name are reset": RestartBounds(core=AllResetCore),
    "clocks are taken for equal": replace(_AHEAD, settings=_NO_DIFFERENCE),
}

RESTART_MUTATIONS: dict[str, Callable[[str], Specification]] = {
    name: _restarts(bounds) for name, bounds in _MUTANTS.items()
}
"""By name, what builds the specification with one rule broken."""

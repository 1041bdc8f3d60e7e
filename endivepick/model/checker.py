"""Exhaustive check of a specification, by the library ``minicheck``.

The library walks breadth first, so that the counterexamples are the shortest.

Examples
--------
>>> from endivepick.model.checker import Specification, check
>>> counter = Specification(
...     name="counter",
...     initial=0,
...     steps=lambda n: [(f"add one to {n}", n + 1)] if n < 3 else [],
...     invariants={"below three": lambda n: n < 3},
... )
>>> result = check(counter)
>>> result.states, result.depth, len(result.violations["below three"])
(4, 3, 3)
"""

import time
from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import minicheck

__all__ = ["CheckResult", "Specification", "check"]

MAX_STATES = 2_000_000


@dataclass(frozen=True)
class Specification:
    """A finite state machine and what must hold in each of its states.

    Attributes
    ----------
    name : str
        Short name, used in reports.
    initial : Hashable
        First state.
    steps : callable
        Returns the label and the next state of every step out of a state.
    invariants : mapping of str to callable
        By name, predicates that each reachable state fulfils.
    """

    name: str
    initial: Hashable
    steps: Callable[[Any], Iterable[tuple[str, Hashable]]]
    invariants: Mapping[str, Callable[[Any], bool]]


@dataclass(frozen=True)
class CheckResult:
    """Outcome of one check.

    Attributes
    ----------
    name : str
        Name of the specification.
    states : int
        States that were reached.
    depth : int
        Steps to the farthest state.
    duration_s : float
        Time that the check took, in seconds.
    complete : bool
        All reachable states were looked at.
    violations : dict
        By invariant, the labels of the shortest run that breaks it.
    """

    name: str
    states: int
    depth: int
    duration_s: float
    complete: bool
    violations: dict[str, tuple[str, ...]]

    @property
    def holds(self) -> bool:
        """Whether every invariant holds in every reachable state."""
        return self.complete and not self.violations


@dataclass
class _Walk:
    """Follows the library's walk: depth of each state, and an early end."""

    specification: Specification
    stop_at_violation: bool
    depths: dict[Hashable, int] = field(default_factory=dict)
    violated: bool = False

    def steps(self, wrapped: tuple[Hashable]) -> list[tuple[str, tuple[Hashable]]]:
        if self.violated and self.stop_at_violation:
            return []
        state = wrapped[0]
        next_depth = self.depths[state] + 1
        successors = []
        for label, successor in self.specification.steps(state):
            self.depths.setdefault(successor, next_depth)
            successors.append((label, (successor,)))
        return successors

    def predicate(
        self, invariant: Callable[[Any], bool]
    ) -> Callable[[dict[str, Any]], bool]:
        def holds(fields: dict[str, Any]) -> bool:
            if invariant(fields["state"]):
                return True
            self.violated = True
            return False

        return holds


def check(
    specification: Specification,
    stop_at_violation: bool = False,
    max_states: int = MAX_STATES,
) -> CheckResult:
    """Look at every reachable state.

    Parameters
    ----------
    specification : Specification
        What to check.
    stop_at_violation : bool, default=False
        End the walk at the first violation; the shortest one is known by then.
    max_states : int
        States after which the walk ends as incomplete.
    """
    walk = _Walk(specification, stop_at_violation, {specification.initial: 0})
    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=("state",),
        initial=(specification.initial,),
        transitions=walk.steps,
        invariants={
            name: walk.predicate(invariant)
            for name, invariant in specification.invariants.items()
        },
    )
    start_s = time.perf_counter()
    report = minicheck.check_safety(protocol, max_states=max_states)
    duration_s = time.perf_counter() - start_s
    violations = {
        name: tuple(step["label"] for step in verdict["counterexample"][1:])
        for name, verdict in report["properties"].items()
        if verdict["holds"] is False
    }
    ended_early = walk.violated and stop_at_violation
    return CheckResult(
        name=specification.name,
        states=report["reachable_states"],
        depth=max(walk.depths.values()),
        duration_s=duration_s,
        complete=report["exhaustive"] and not ended_early,
        violations=violations,
    )

"""Exhaustive check of a specification with the library ``minicheck``.

The library searches breadth first, so counterexamples have minimal length.

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
    """Finite state machine with its invariants.

    Attributes
    ----------
    name : str
        Short name shown in reports.
    initial : Hashable
        Initial state.
    steps : callable
        Returns the label and the next state of each transition out of a state.
    invariants : mapping of str to callable
        Predicates, by name, that hold in each reachable state.
    """

    name: str
    initial: Hashable
    steps: Callable[[Any], Iterable[tuple[str, Hashable]]]
    invariants: Mapping[str, Callable[[Any], bool]]


@dataclass(frozen=True)
class CheckResult:
    """Result of one check.

    Attributes
    ----------
    name : str
        Name of the specification.
    states : int
        Number of states reached.
    depth : int
        Number of steps to the most distant state.
    duration_s : float
        Duration of the check in seconds.
    complete : bool
        Whether all reachable states were visited.
    violations : dict
        Labels of the shortest counterexample, by invariant.
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
class _Search:
    """Tracks the depth of each state and ends the search early on request."""

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
    """Check the invariants in every reachable state.

    Parameters
    ----------
    specification : Specification
        Specification to check.
    stop_at_violation : bool, default=False
        End the search at the first violation; no counterexample is shorter.
    max_states : int
        Number of states after which the search ends as incomplete.
    """
    search = _Search(specification, stop_at_violation, {specification.initial: 0})
    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=("state",),
        initial=(specification.initial,),
        transitions=search.steps,
        invariants={
            name: search.predicate(invariant)
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
    ended_early = search.violated and stop_at_violation
    return CheckResult(
        name=specification.name,
        states=report["reachable_states"],
        depth=max(search.depths.values()),
        duration_s=duration_s,
        complete=report["exhaustive"] and not ended_early,
        violations=violations,
    )

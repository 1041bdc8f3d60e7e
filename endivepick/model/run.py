"""Runs of all checks: the unmodified specifications and their mutations."""

import multiprocessing
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from endivepick.model._flow_scenarios import FLOW_MUTATIONS, FLOW_SCENARIOS
from endivepick.model._mutation import Mutation
from endivepick.model._other_scenarios import OTHER_MUTATIONS, OTHER_SCENARIOS
from endivepick.model.checker import CheckResult, Specification, check
from endivepick.model.flows import flow_specification

__all__ = [
    "MUTATIONS",
    "MutationResult",
    "SCENARIOS",
    "check_mutations",
    "check_scenarios",
    "specification_of",
]

MUTATIONS: dict[str, Mutation] = {
    mutation.name: mutation for mutation in FLOW_MUTATIONS + OTHER_MUTATIONS
}
"""Mutations by name."""
SCENARIOS: tuple[str, ...] = (*FLOW_SCENARIOS, *OTHER_SCENARIOS)
"""Names of the checks of the unmodified specifications."""
# The longest checks start first, so that none runs alone at the end.
_LONG_FIRST = (
    "chain of planned stops, crash",
    "planned stop and crash",
    "caller gives up during a stop",
    "closed flow forgotten, planned stop",
    "closed flow forgotten, crash",
)


@dataclass(frozen=True)
class MutationResult:
    """Result of the check of one mutation.

    Attributes
    ----------
    name : str
        Name of the mutation.
    invariant : str
        Invariant that the shortest counterexample violates; empty if none was found.
    trace : tuple of str
        Labels of the steps of that counterexample.
    """

    name: str
    invariant: str
    trace: tuple[str, ...]

    @property
    def survived(self) -> bool:
        """Whether no invariant detects the mutation."""
        return not self.invariant


def specification_of(scenario: str) -> Specification:
    """Build the specification of one of ``SCENARIOS``."""
    if scenario in FLOW_SCENARIOS:
        return flow_specification(scenario, FLOW_SCENARIOS[scenario])
    return OTHER_SCENARIOS[scenario](scenario)


def check_scenarios(names: Iterable[str], processes: int) -> Iterator[CheckResult]:
    """Check unmodified specifications in a pool of processes."""
    ordered = sorted(names, key=lambda name: name not in _LONG_FIRST)
    with _create_pool(processes) as pool:
        yield from pool.map(_check_scenario, ordered)


def check_mutations(names: Iterable[str], processes: int) -> Iterator[MutationResult]:
    """Find the shortest counterexample of each mutation."""
    with _create_pool(processes) as pool:
        yield from pool.map(_check_mutation, names)


def _create_pool(processes: int) -> ProcessPoolExecutor:
    # A forked child process would inherit the state of gevent's hub.
    return ProcessPoolExecutor(processes, multiprocessing.get_context("spawn"))


def _check_scenario(name: str) -> CheckResult:
    return check(specification_of(name))


def _check_mutation(name: str) -> MutationResult:
    result = check(MUTATIONS[name].specification, stop_at_violation=True)
    if not result.violations:
        return MutationResult(name, "", ())
    invariant, trace = min(result.violations.items(), key=lambda item: len(item[1]))
    return MutationResult(name, invariant, trace)

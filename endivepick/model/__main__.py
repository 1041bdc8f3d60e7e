"""Command line of the model checker: ``python -m endivepick.model``."""

import sys
import time

import fire

from endivepick.model.checker import CheckResult
from endivepick.model.run import (
    MUTATIONS,
    SCENARIOS,
    MutationResult,
    check_mutations,
    check_scenarios,
)

PROCESSES = 4


def main(verbose: bool = False, processes: int = PROCESSES) -> None:
    """Check the core protocols, then each mutation of them.

    Exits with status 1 if an invariant is violated, a check is incomplete or a
    mutation survives.

    Parameters
    ----------
    verbose : bool, default=False
        Also print the steps of the counterexample of each mutation.
    processes : int
        Number of worker processes.
    """
    start_s = time.perf_counter()
    results = [_report(one) for one in check_scenarios(SCENARIOS, processes)]
    mutants = [_report_mutation(one, verbose) for one in _mutations(processes)]
    states = sum(result.states for result in results)
    broken = [result.name for result in results if not result.holds]
    survivors = [mutant.name for mutant in mutants if mutant.survived]
    print(
        f"{len(results)} checks, {states} states, {len(mutants)} mutations, "
        f"{time.perf_counter() - start_s:.1f} s"
    )
    print(
        f"{len(results) + len(mutants) - len(broken + survivors)} passed, "
        f"{len(broken + survivors)} failed"
    )
    if broken or survivors:
        sys.exit(1)


def _mutations(processes: int) -> list[MutationResult]:
    return list(check_mutations(MUTATIONS, processes))


def _report(result: CheckResult) -> CheckResult:
    outcome = "holds" if result.holds else "BROKEN"
    if not result.complete:
        outcome += ", INCOMPLETE"
    print(
        f"{result.name}: {result.states} states, depth {result.depth}, "
        f"{result.duration_s:.1f} s, {outcome}",
        flush=True,
    )
    for invariant, trace in result.violations.items():
        print(f"  broken: {invariant}")
        _print_trace(trace)
    return result


def _report_mutation(result: MutationResult, verbose: bool) -> MutationResult:
    if result.survived:
        print(f"mutation SURVIVED: {result.name}")
        return result
    steps = len(result.trace)
    print(f"mutation found: {result.name}: {steps} steps, breaks {result.invariant!r}")
    if verbose:
        _print_trace(result.trace)
    return result


def _print_trace(trace: tuple[str, ...]) -> None:
    for number, step in enumerate(trace, start=1):
        print(f"  {number:2}. {step}")


if __name__ == "__main__":
    fire.Fire(main)

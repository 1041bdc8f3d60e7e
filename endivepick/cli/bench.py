"""Commands of the load and experiment tool."""

from collections.abc import Container

from endivepick.cli.command_errors import option_values
from endivepick.cli.output import print_line

__all__ = ["BenchCommands"]

_PROCESSES_MAX = 64
_SEEDS_MAX = 100


def _check_name(option: str, name: str, known: Container[str]) -> None:
    with option_values(f"--{option}"):
        if name not in known:
            raise ValueError(f"there is no {option} {name!r}")


def _whole_number(option: str, text: object, largest: int) -> int:
    with option_values(f"--{option}"):
        number = int(str(text))
        if not 1 <= number <= largest:
            raise ValueError(f"use a number from 1 to {largest}")
        return number


class BenchCommands:
    """Compare placement policies and measure what the parts cost."""

    def run(
        self,
        shape: str = "harada",
        affinity: str = "request",
        load: str = "0.9",
        policy: str = "owner",
        fault: str = "none",
        seed: str = "1",
    ) -> None:
        """Run one experiment and print its JSON line.

        Examples
        --------
        endivepick bench run --shape leave-desk --policy two_choices --seed 2

        Parameters
        ----------
        shape : str
            harada, leave-desk, harada-packs, leave-desk-exports or harada-hot.
        affinity : str
            flow or request.
        load : str
            Offered work over capacity.
        policy : str
            Name of a placement policy.
        fault : str
            Name of a fault script.
        seed : str
            Seed of all random numbers.
        """
        from endivepick.bench.faults import FAULTS
        from endivepick.bench.policies import POLICIES
        from endivepick.bench.policy_commands import policy_run
        from endivepick.bench.workload import SHAPES
        from endivepick.records.model import Affinity

        _check_name("shape", shape, SHAPES)
        _check_name("affinity", affinity, [one.value for one in Affinity])
        _check_name("policy", policy, POLICIES)
        _check_name("fault", fault, FAULTS)
        with option_values("--load"):
            offered = float(load)
        number = _whole_number("seed", seed, 2**63)
        print_line(policy_run(shape, affinity, offered, policy, fault, number))

    def table(self, results: str = "", processes: str = "4", seeds: str = "3") -> None:
        """Run all policies on the same seeds and print one table.

        Examples
        --------
        endivepick bench table --processes 4

        Parameters
        ----------
        results : str
            File for one JSON line a run; by default var/bench/policies.jsonl.
        processes : str
            Worker processes.
        seeds : str
            Seeds for each experiment, from 1.
        """
        from endivepick.bench.policy_commands import DEFAULT_RESULTS, policy_table

        workers = _whole_number("processes", processes, _PROCESSES_MAX)
        count = _whole_number("seeds", seeds, _SEEDS_MAX)
        print_line(policy_table(results or DEFAULT_RESULTS, workers, count))

    def report(self, results: str = "", report: str = "") -> None:
        """Write a page with plots from the results of the table.

        Examples
        --------
        endivepick bench report --report policies.html

        Parameters
        ----------
        results : str
            File that the table wrote.
        report : str
            Page to write.
        """
        from endivepick.bench.policy_commands import (
            DEFAULT_REPORT,
            DEFAULT_RESULTS,
            policy_report,
        )

        print_line(policy_report(results or DEFAULT_RESULTS, report or DEFAULT_REPORT))

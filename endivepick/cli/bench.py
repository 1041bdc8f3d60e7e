"""Commands of the load and experiment tool."""

from typing import Any

from endivepick.cli.output import print_line

__all__ = ["BenchCommands"]


class BenchCommands:
    """Compare placement policies and measure what the parts cost."""

    def run(self, **experiment: Any) -> None:
        """Run one experiment and print its JSON line.

        Examples
        --------
        endivepick bench run --shape leave-desk --policy two_choices --seed 2

        Parameters
        ----------
        **experiment
            ``shape``, ``affinity``, ``load``, ``policy``, ``fault`` and ``seed``.
        """
        from endivepick.bench.policy_commands import policy_run

        print_line(policy_run(**experiment))

    def table(self, **options: Any) -> None:
        """Run all policies on the same seeds and print one table.

        Examples
        --------
        endivepick bench table --processes 4

        Parameters
        ----------
        **options
            ``results`` (file for one JSON line a run), ``processes``, ``seeds``.
        """
        from endivepick.bench.policy_commands import policy_table

        print_line(policy_table(**options))

    def report(self, **options: Any) -> None:
        """Write a page with plots from the results of ``table``.

        Examples
        --------
        endivepick bench report --report policies.html

        Parameters
        ----------
        **options
            ``results`` (file that ``table`` wrote) and ``report`` (page to write).
        """
        from endivepick.bench.policy_commands import policy_report

        print_line(policy_report(**options))

import contextlib
import io
import unittest
from dataclasses import replace
from unittest import mock

from endivepick.model import __main__ as command
from endivepick.model._flow_scenarios import FLOW_SCENARIOS
from endivepick.model.checker import CheckResult, check
from endivepick.model.flows import flow_specification
from endivepick.model.run import (
    MUTATIONS,
    SCENARIOS,
    MutationResult,
    check_scenarios,
    specification_of,
)

SMALL = (
    "crash and false suspicion",
    "planned stop, time is up",
    "planned stop, stream",
    "configuration, one cut off starts again",
    "keys, restarts",
    "registry, two targets",
    "registry, entry lapses and returns",
    "registry, target starts twice",
    "evidence, one step of time",
    "evidence, a probe is lost",
    "evidence, a probe is lost, entry removed",
    "evidence, the instance stops",
    "restarts",
    "told changes, a route returns",
    "load reports, a restart",
)


class SpecificationTest(unittest.TestCase):
    def test_invariants_hold_in_small_checks(self):
        for name in SMALL:
            with self.subTest(name):
                result = check(specification_of(name))
                self.assertEqual(result.violations, {})
                self.assertTrue(result.complete)

    def test_each_mutation_is_found(self):
        for name, mutation in MUTATIONS.items():
            with self.subTest(name):
                result = check(mutation.specification, stop_at_violation=True)
                self.assertTrue(result.violations)

    def test_each_rule_of_a_stop_is_checked(self):
        """Guard against an invariant hidden by a nearer violation of another."""
        mutant = MUTATIONS["a stopping instance judges targets"].specification
        for name in (
            "a stopping instance resets a flow only in answer to its packet",
            "a stopping instance starts no probe for its flows",
        ):
            with self.subTest(name):
                alone = replace(mutant, invariants={name: mutant.invariants[name]})
                result = check(alone, stop_at_violation=True)
                self.assertEqual(list(result.violations), [name])

    def test_stops_and_crashes_reach_their_ends(self):
        """Guard against a chain of stops that never reaches the last instance's answer.

        Invariants would hold trivially if the model stopped earlier.
        """
        bounds = replace(
            FLOW_SCENARIOS["chain of planned stops"], may_declare_dead=False
        )
        specification = flow_specification("reach", bounds)
        first, *_, last = bounds.names
        reached = replace(
            specification,
            invariants={
                "no answer after two hand-overs": lambda world: (
                    not (
                        world.runs
                        and world.caller.outcome.value == "answered"
                        and len(world.successions) == 2
                        and world.nodes[0] is None
                        and world.nodes[1] is None
                    )
                )
            },
        )
        result = check(reached, stop_at_violation=True)
        (trace,) = result.violations.values()
        self.assertIn(f"{first} leaves", trace)
        self.assertTrue(any(step.startswith(f"{last} gets HandOver") for step in trace))

    def test_processes_give_the_same_result(self):
        name = "planned stop, time is up"
        here = check(specification_of(name))
        (there,) = check_scenarios([name], processes=1)
        self.assertEqual((there.states, there.depth), (here.states, here.depth))
        self.assertTrue(there.holds)


class CommandTest(unittest.TestCase):
    def run_with(self, results, mutants):
        output = io.StringIO()
        with (
            mock.patch.object(command, "check_scenarios", return_value=results),
            mock.patch.object(command, "check_mutations", return_value=mutants),
            contextlib.redirect_stdout(output),
        ):
            try:
                command.main()
            except SystemExit as stop:
                return stop.code, output.getvalue()
        return 0, output.getvalue()

    def test_survivor_broken_and_incomplete_checks_fail_the_run(self):
        good = CheckResult("good", 1, 0, 0.0, True, {})
        found = MutationResult("found", "x", ("step",))
        self.assertEqual(self.run_with([good], [found])[0], 0)
        survivor = MutationResult("survivor", "", ())
        incomplete = replace(good, complete=False)
        broken = replace(good, violations={"x": ("step",)})
        for results, mutants in (
            ([good], [survivor]),
            ([incomplete], [found]),
            ([broken], [found]),
        ):
            code, output = self.run_with(results, mutants)
            self.assertEqual(code, 1)
            self.assertIn("1 passed, 1 failed", output)

    def test_required_invariants_are_checked(self):
        self.assertGreaterEqual(len(MUTATIONS), 8)
        names = {
            name
            for scenario in SCENARIOS
            for name in specification_of(scenario).invariants
        }
        self.assertLessEqual(
            {
                "no request reaches another service",
                "'not run' is true",
                "a non-idempotent request runs at most once",
                "a planned stop cuts nothing",
                "a configuration in force never reverts",
            },
            names,
        )

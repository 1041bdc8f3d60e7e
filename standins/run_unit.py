"""Runs one test module, or the examples of one module, and writes its counts."""

import doctest
import importlib
import json
import signal
import sys
import unittest
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

__all__ = ["EXAMPLES_PREFIX", "Outcome", "load", "run"]

EXAMPLES_PREFIX = "examples:"
"""Prefix of units whose documentation examples are run."""


@dataclass(frozen=True)
class Outcome:
    """Test results of one unit.

    Attributes
    ----------
    passed : int
        Number of tests that passed.
    failed : list of str
        Ids of all other tests; skipped tests and expected failures count as
        failed, since the project has neither.
    """

    passed: int
    failed: list[str]


def load(unit: str) -> unittest.TestSuite:
    """Return the tests of a unit."""
    if unit.startswith(EXAMPLES_PREFIX):
        module = importlib.import_module(unit.removeprefix(EXAMPLES_PREFIX))
        return doctest.DocTestSuite(module)
    return unittest.defaultTestLoader.loadTestsFromName(unit)


def run(suite: unittest.TestSuite) -> Outcome:
    """Run tests and print failures in full."""
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(suite)
    reported = [
        *result.failures,
        *result.errors,
        *result.skipped,
        *result.expectedFailures,
    ]
    tests = [test for test, _ in reported] + list(result.unexpectedSuccesses)
    failed = sorted({_id_of(test) for test in tests})
    return Outcome(max(0, result.testsRun - len(failed)), failed)


def _id_of(test: Any) -> str:
    """Return the id of a test; a subtest has the id of its test."""
    return str(getattr(test, "test_case", test).id())


def _exit(_number: int, _frame: Any) -> None:
    # The exception runs the clean-up of the test, which ends its processes.
    sys.exit("ended by a signal")


def main(unit: str, result_path: str) -> None:
    """Run a unit and write its `Outcome` as JSON."""
    signal.signal(signal.SIGTERM, _exit)
    outcome = run(load(unit))
    Path(result_path).write_text(json.dumps(asdict(outcome)))


if __name__ == "__main__":
    main(*sys.argv[1:])

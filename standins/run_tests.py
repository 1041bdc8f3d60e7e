"""Runs all tests and documentation examples in parallel processes.

Each test module runs in a separate process.  Tests listed in ``KNOWN-RED.txt``
also run, but their failures are printed without being counted.  The last
line of the output is ``N passed, N failed``; the exit status is 0 only if at
least one test ran and none failed.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import fire

from standins.run_unit import EXAMPLES_PREFIX, Outcome

__all__ = ["ModuleResult", "find_units", "judge", "main", "read_known_red"]

ROOT = Path(__file__).parent.parent
PLATFORM = ROOT / "platform"
PACKAGES = (ROOT / "endivepick", ROOT / "standins", PLATFORM / "adapter")
"""Packages with tests; module names start at the parent folder of a package."""
JOBS = 4
TIMEOUT_S = 900.0
_END_TIMEOUT_S = 30.0
_DOCTEST_PROMPT = ">>> "


@dataclass(frozen=True)
class ModuleResult:
    """Result of one test module, or of the examples of one module.

    Attributes
    ----------
    unit : str
        Name of the module.
    outcome : Outcome or None
        Counts of the module; None if the process ended without a result.
    output : str
        Output of the process.
    """

    unit: str
    outcome: Outcome | None
    output: str


@dataclass(frozen=True)
class Verdict:
    """Counts of all modules and the output to print."""

    passed: int
    failed: list[str]
    known_red: list[str]
    reports: list[str]


def _module_name(package: Path, path: Path) -> str:
    return ".".join(path.relative_to(package.parent).with_suffix("").parts)


def _is_test_folder(folder: Path) -> bool:
    return "tests" in folder.relative_to(ROOT).parts


def find_units(words: Iterable[str] = ()) -> list[str]:
    """Return the names of all units whose name contains one of the words."""
    units = []
    for package in PACKAGES:
        sources = sorted(package.rglob("*.py"))
        units += [
            _module_name(package, p)
            for p in sources
            if p.name.startswith("test_") and _is_test_folder(p.parent)
        ]
        units += [
            EXAMPLES_PREFIX + _module_name(package, path)
            for path in sources
            if not _is_test_folder(path.parent)
            and path.name != "__main__.py"
            and _DOCTEST_PROMPT in path.read_text()
        ]
    wanted = list(words)
    return [u for u in units if not wanted or any(word in u for word in wanted)]


def read_known_red(path: Path) -> dict[str, str]:
    """Return the lines of ``KNOWN-RED.txt`` by test id; empty if there is no file."""
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split(",")[0].strip(): entry for entry in entries}


def _run_unit(unit: str) -> ModuleResult:
    with tempfile.TemporaryDirectory(prefix="tests-") as folder:
        result_path = Path(folder) / "result.json"
        command = [sys.executable, "-m", "standins.run_unit", unit, str(result_path)]
        with open(Path(folder) / "output", "w+", encoding="utf-8") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=os.environ | {"PYTHONPATH": str(PLATFORM)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
            note = _wait(process)
            output.seek(0)
            text = output.read() + note
        outcome = None
        if result_path.exists():
            outcome = Outcome(**json.loads(result_path.read_text()))
        return ModuleResult(unit, outcome, text)


def _wait(process: subprocess.Popen[bytes]) -> str:
    """Wait for a test process; returns a note for the output if it timed out."""
    try:
        process.wait(TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.terminate()
        try:
            process.wait(_END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        return f"\nended after {TIMEOUT_S} s\n"
    return ""


def judge(results: Iterable[ModuleResult], known_red: dict[str, str]) -> Verdict:
    """Count passes and failures; known failures are listed but not counted."""
    verdict = Verdict(0, [], [], [])
    passed = 0
    for result in results:
        if result.outcome is None:
            verdict.failed.append(result.unit)
            verdict.reports.append(f"{result.unit} gave no result\n{result.output}")
            continue
        passed += result.outcome.passed
        failed_tests = result.outcome.failed
        verdict.failed.extend(test for test in failed_tests if test not in known_red)
        verdict.known_red.extend(test for test in failed_tests if test in known_red)
        if failed_tests:
            verdict.reports.append(result.output)
    return Verdict(passed, verdict.failed, verdict.known_red, verdict.reports)


def _print_verdict(verdict: Verdict, known_red: dict[str, str]) -> None:
    for report in verdict.reports:
        print(report)
    for test in verdict.failed:
        print(f"FAILED {test}")
    for test in verdict.known_red:
        print(f"KNOWN RED, not counted: {known_red[test]}")
    print(f"{verdict.passed} passed, {len(verdict.failed)} failed")


def main(*words: str, jobs: int = JOBS) -> None:
    """Run the tests; the exit status is 1 if a test failed or none ran.

    Parameters
    ----------
    *words : str
        Run only modules whose name contains one of these words.
    jobs : int
        Number of modules that run in parallel.
    """
    known_red = read_known_red(ROOT / "KNOWN-RED.txt")
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(_run_unit, find_units(words)))
    verdict = judge(results, known_red)
    _print_verdict(verdict, known_red)
    ran = verdict.passed + len(verdict.failed) + len(verdict.known_red)
    sys.exit(1 if verdict.failed or not ran else 0)


if __name__ == "__main__":
    fire.Fire(main)

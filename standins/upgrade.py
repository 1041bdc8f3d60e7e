"""Rolling upgrade from an older build to this one under load.

``python -m standins.upgrade --old=FOLDER`` starts an installation whose instances,
and one of whose callers, run the code of a checkout of an earlier commit.  Instances
are replaced one by one.  Half way, while both builds serve, records change in both
schemas, one instance is rolled back to the old build and one of the old build is
killed.
The checker then reads only the logs of callers, targets and platform.  The exit
status is 1 if a promise was broken.
"""

import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import fire

from endivepick.records.schema import parse_service, write_service
from standins.cases import choose_shape
from standins.checker import Promise, Report, UnplannedFailure, Violation, check
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.demo import IN_FORCE_LIMIT_S, start_callers, stop_callers
from standins.evidence import read_evidence
from standins.jsonlines import read_lines
from standins.process import wait_until
from standins.shapes import Shape
from standins.summary import Scenario
from standins.versions import VersionWatch, wait_in_force, watch_versions

__all__ = ["main", "run_upgrade"]

OLD_CALLER = "caller-1"
LOAD_MAX_S = 400.0
_STEADY_S = 2.0
_AFTER_KILL_S = 5.0


class _Upgrade:
    """Rolling upgrade of a running installation."""

    def __init__(self, running: Cluster, old: str) -> None:
        self.running = running
        self.old = old
        self.scenario = Scenario(time.monotonic())
        self.names = [plan.name for plan in running.shape.instances]

    def replace(self, name: str, build: str) -> None:
        """Replace an instance as planned by one of a build; empty for this build."""
        status = self.running.stop_instance(name)
        if status != 0:
            detail = f"{name} ended its planned stop with status {status}"
            self.scenario.violations.append(Violation(Promise.GRACEFUL, detail))
        self.start(name, build)

    def start(self, name: str, build: str) -> None:
        """Start an instance of a build and wait until it is ready."""
        self.running.builds[name] = build
        started_s = time.monotonic()
        self.running.start_instance(name)
        took_s = time.monotonic() - started_s
        which = "old" if build else "new"
        self.scenario.print_step(
            f"{name} runs the {which} build, ready after {took_s:.1f} s"
        )

    def change_and_wait(self, what: str, write: Callable[[], dict[str, Any]]) -> None:
        """Change a record and wait until it is in force in both builds."""
        written_s = time.monotonic()
        written = write()
        wait_in_force(self.running, written["name"], written["version"])
        took_s = time.monotonic() - written_s
        self.scenario.print_step(f"{what}: in force everywhere after {took_s:.2f} s")
        if took_s > IN_FORCE_LIMIT_S:
            violation = Violation(Promise.IN_FORCE, f"{what} took {took_s:.1f} s")
            self.scenario.violations.append(violation)

    def write_schema(self, service: str, schema_version: int) -> dict[str, Any]:
        """Write the record of a service in a schema, with a changed timeout."""
        stored = self.running.platform.get("service", service)
        assert stored is not None
        record = parse_service(service, stored["version"], stored["body"]).unwrap()
        changed = replace(record, request_timeout_s=30.0 + schema_version)
        body = write_service(changed, schema_version).body
        return self.running.platform.put("service", service, body)

    def change_records(self) -> None:
        """Change records in both schemas and drain a target."""
        first, *others = self.running.shape.services
        service = others[0].name if others else first.name
        for schema_version in (1, 2):
            self.change_and_wait(
                f"changed {service} in schema {schema_version}",
                lambda version=schema_version: self.write_schema(service, version),
            )
        target = first.targets[0].name
        self.change_and_wait(
            f"drained {target}", lambda: self.running.drain_target(first.name, target)
        )

    def kill(self, name: str) -> None:
        """Kill an instance while both builds serve."""
        killed_s = time.time()
        self.running.kill_instance(name)
        self.scenario.unplanned_failures.append(UnplannedFailure(killed_s, killed_s))
        self.scenario.print_step(f"killed {name}")
        # The other instances detect the failure under load.
        time.sleep(_AFTER_KILL_S)

    def run_scenario(self) -> None:
        """Upgrade from the old build to the new one, with one rollback."""
        middle = len(self.names) // 2
        for name in self.names[:middle]:
            self.replace(name, "")
        self.scenario.print_step("both builds serve")
        self.change_records()
        self.replace(self.names[0], self.old)
        self.kill(self.names[-1])
        self.start(self.names[-1], "")
        for name in [self.names[0], *self.names[middle:-1]]:
            self.replace(name, "")
        self.rewrite_records()

    def rewrite_records(self) -> None:
        """Write all records again when only the new build serves."""
        for service in self.running.shape.services:
            self.change_and_wait(
                f"wrote {service.name}",
                lambda service=service: self.running.write_record(service),
            )


def _find_logged_faults(running: Cluster) -> list[str]:
    """Return errors that instances and callers of either build reported."""
    counts: Counter[str] = Counter()
    for path in running.launcher.logs("instances"):
        for line in read_lines(path):
            if line["event"] == "message_invalid" or line["level"] == "error":
                reason = line.get("reason", line["message"])
                counts[f"{path.stem}: {line['event']} {reason}"] += 1
    for path in sorted(running.launcher.folder.glob("*.err")):
        text = path.read_text(errors="replace")
        if "Traceback" in text:
            trace = text[text.index("Traceback") :]
            counts[f"{path.stem}: an unexpected exception, {trace}"] += 1
    return [f"{what} ({number} times)" for what, number in sorted(counts.items())]


def _print_peer_states(running: Cluster) -> None:
    """Print the changes of peer states that instances logged."""
    changes = [
        line
        for path in running.launcher.logs("instances")
        for line in read_lines(path)
        if line["event"] == "peer_changed"
    ]
    for line in sorted(changes, key=lambda line: line["at_s"]):
        print(f"{line['at_s']:.2f} {line['process']}: {line['peer']} {line['state']}")


def _check_logs(upgrade: _Upgrade, watch: VersionWatch) -> Report:
    logs = upgrade.running.launcher.logs
    evidence = read_evidence(logs("callers"), logs("targets"), logs("platform"))
    report = check(evidence, upgrade.scenario.unplanned_failures)
    report.violations += upgrade.scenario.violations
    report.violations += [
        Violation(Promise.IN_FORCE, detail) for detail in watch.reverted
    ]
    return report


def run_upgrade(
    shape: Shape, old: str, seed: int = 1, folder: str = "", old_caller: bool = True
) -> tuple[Report, list[str]]:
    """Run a rolling upgrade under load and check the logs.

    Parameters
    ----------
    shape : Shape
        Installation to run.
    old : str
        Checkout of the earlier commit.
    seed : int
        Seed of load and fabric.
    folder : str
        Folder for logs; empty for a temporary directory.
    old_caller : bool
        Whether one of the callers also runs the old build.

    Returns
    -------
    Report, list of str
        Counts and broken promises, and errors that programs reported.
    """
    builds = {plan.name: old for plan in shape.instances}
    if old_caller:
        builds[OLD_CALLER] = old
    settings = ClusterSettings(shape, folder=folder, seed=seed, builds=builds)
    with cluster(settings) as running, watch_versions(running) as watch:
        upgrade = _Upgrade(running, old)
        upgrade.scenario.print_step(f"{shape.name}: all instances run the old build")
        callers = start_callers(running, LOAD_MAX_S)
        for process in callers:
            process.wait_ready()
        logs = running.launcher.logs("callers")
        wait_until(lambda: all(log.stat().st_size for log in logs), "first requests")
        # Load runs before the first change.
        time.sleep(_STEADY_S)
        upgrade.run_scenario()
        stop_callers(callers)
        upgrade.scenario.print_step("callers have ended")
        _print_peer_states(running)
        return _check_logs(upgrade, watch), _find_logged_faults(running)


def main(
    old: str,
    shape: str = "small",
    seed: int = 1,
    folder: str = "",
    old_caller: bool = True,
) -> None:
    """Upgrade an installation; the exit status is 1 if a promise was broken.

    Parameters
    ----------
    old : str
        Checkout of the earlier commit.
    shape : str
        ``harada``, ``leave-desk`` or ``small``.
    seed : int
        Seed of load and fabric.
    folder : str
        Folder for logs; empty for a temporary directory.
    old_caller : bool
        Whether one of the callers also runs the old build, whose stand-in has to
        support the settings of this build.
    """
    if not (Path(old) / "endivepick").is_dir():
        sys.exit(f"{old} holds no checkout. Make one: git worktree add FOLDER COMMIT.")
    checkout = str(Path(old).resolve())
    report, faults = run_upgrade(
        choose_shape(shape), checkout, seed, folder, old_caller
    )
    for name in ("requests", "answer_whole", "not_run", "unknown", "gave_up", "flows"):
        print(f"{name:20} {report.counts[name]}")
    for fault in faults:
        print(f"LOGGED {fault}")
    for violation in report.violations:
        print(f"BROKEN {violation}")
    sys.exit(1 if report.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)

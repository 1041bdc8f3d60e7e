"""Demonstration of one shape under load while instances and targets change.

``python -m standins.demo --shape=harada`` starts all processes, replaces an
instance as planned, drains a target, changes a record, kills an instance, and
prints a summary.  The counts come from the logs of targets and callers.  The
exit status is 1 if a promise was broken.
"""

import signal
import sys
import time
from collections.abc import Callable
from typing import Any

import fire

from standins.cases import choose_shape
from standins.checker import Promise, Report, UnplannedFailure, Violation, check
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.evidence import Evidence, read_evidence
from standins.process import ChildProcess, exit_on_signal, wait_until
from standins.shapes import ServicePlan, Shape
from standins.summary import Scenario, print_summary
from standins.versions import VersionWatch, wait_in_force, watch_versions

__all__ = ["main", "run_demo", "start_callers", "stop_callers"]

CALLER_PROCESSES = 3
IN_FORCE_LIMIT_S = 5.0
"""Time in which an accepted configuration must be in force on all instances."""
_LOAD_SHARE = 0.6
_WORK_MS = 60.0
_THINK_MS = 60.0
_STREAM_INTERVAL_MS = 200.0
_LOAD_MAX_S = 60.0
_STEADY_S = 2.0
_AFTER_DRAIN_S = 4.0
_AFTER_KILL_S = 5.0
_END_TIMEOUT_S = 30.0
_MAX_SHOWN_VIOLATIONS = 10


def _flows_per_caller(service: ServicePlan) -> int:
    """Return the number of flows per caller for the intended load."""
    slots = sum(target.slots for target in service.targets)
    busy_share = _WORK_MS / (_WORK_MS + _THINK_MS)
    return max(1, round(_LOAD_SHARE * slots / busy_share / CALLER_PROCESSES))


def start_callers(running: Cluster, run_s: float = _LOAD_MAX_S) -> list[ChildProcess]:
    """Start caller processes that use all services for at most ``run_s``."""
    callers = []
    for number in range(1, CALLER_PROCESSES + 1):
        name = f"caller-{number}"
        settings = {
            "name": name,
            "fabric_address": running.fabric_address,
            "log_path": str(running.launcher.log_path("callers", name)),
            "trace_path": _trace_path(running, name),
            "workloads": [
                {
                    "service": service.name,
                    "flows": _flows_per_caller(service),
                    "work_ms": _WORK_MS,
                    "think_ms": _THINK_MS,
                    "stream_interval_ms": _STREAM_INTERVAL_MS,
                }
                for service in running.shape.services
            ],
            "seed": running.settings.seed,
            "run_s": run_s,
        }
        path = running.launcher.write_settings(name, settings)
        build = running.builds.get(name, "")
        process = running.launcher.spawn(
            name, "standins.load", [f"--settings={path}"], build
        )
        callers.append(process)
    return callers


def _trace_path(running: Cluster, name: str) -> str | None:
    """Return the trace file of a caller for the time line, if logs are kept."""
    if not running.settings.folder:
        return None
    return str(running.launcher.log_path("traces", name))


def stop_callers(callers: list[ChildProcess]) -> None:
    """Stop callers after their requests in progress, and wait for their exit."""
    for process in callers:
        process.signal(signal.SIGTERM)
    for process in callers:
        process.wait(_END_TIMEOUT_S)


def _busiest_instance(running: Cluster) -> str:
    """Return the instance with the most flows, whose loss affects the most callers."""
    flows = {name: one.status()["flows"] for name, one in running.instances.items()}
    return max(flows, key=lambda name: flows[name])


def _replace_instance(running: Cluster, scenario: Scenario) -> None:
    name = _busiest_instance(running)
    flows = running.instances[name].status()["flows"]
    status = running.stop_instance(name)
    if status != 0:
        detail = f"{name} ended its planned stop with status {status}"
        scenario.violations.append(Violation(Promise.GRACEFUL, detail))
    scenario.print_step(f"stopped instance {name} as planned; it held {flows} flows")
    running.start_instance(name)
    scenario.print_step(f"started its replacement {name}")


def _change_and_wait(
    running: Cluster, scenario: Scenario, what: str, write: Callable[[], dict[str, Any]]
) -> None:
    """Write a record and measure the time until it is in force on all instances."""
    written_s = time.monotonic()
    written = write()
    wait_in_force(running, written["name"], written["version"])
    took_s = time.monotonic() - written_s
    scenario.in_force_s.append(took_s)
    scenario.print_step(f"{what}: in force everywhere after {took_s:.2f} s")
    if took_s > IN_FORCE_LIMIT_S:
        detail = f"{what} took {took_s:.1f} s"
        scenario.violations.append(Violation(Promise.IN_FORCE, detail))


def _drain_target(running: Cluster, scenario: Scenario) -> None:
    target = running.shape.services[0].targets[0]
    scenario.drained = target.name
    _change_and_wait(
        running,
        scenario,
        f"drained target {target.name}",
        lambda: running.drain_target(target.service, target.name),
    )


def _change_record(running: Cluster, scenario: Scenario) -> None:
    service = running.shape.services[1].name

    def change(body: dict[str, Any]) -> None:
        body["waiting_per_slot"] = 4

    _change_and_wait(
        running,
        scenario,
        f"changed the record of {service}",
        lambda: running.platform.change_record(service, change),
    )


def _kill_instance(running: Cluster, scenario: Scenario) -> None:
    name = _busiest_instance(running)
    flows = running.instances[name].status()["flows"]
    killed_s = time.time()
    running.kill_instance(name)
    scenario.unplanned_failures.append(UnplannedFailure(killed_s, killed_s))
    scenario.print_step(f"killed instance {name}; it held {flows} flows")


def _run_scenario(running: Cluster, scenario: Scenario) -> None:
    """Change the installation under load."""
    callers = start_callers(running)
    for process in callers:
        process.wait_ready()
    logs = running.launcher.logs("callers")
    wait_until(lambda: all(log.stat().st_size for log in logs), "first requests")
    scenario.print_step(f"{len(callers)} callers send requests")
    # Load runs between the changes.
    time.sleep(_STEADY_S)
    _replace_instance(running, scenario)
    _drain_target(running, scenario)
    _change_record(running, scenario)
    time.sleep(_AFTER_DRAIN_S)
    _kill_instance(running, scenario)
    time.sleep(_AFTER_KILL_S)
    stop_callers(callers)
    scenario.print_step("callers have ended")


def _check_logs(
    running: Cluster, scenario: Scenario, watch: VersionWatch
) -> tuple[Evidence, Report]:
    logs = running.launcher.logs
    evidence = read_evidence(logs("callers"), logs("targets"), logs("platform"))
    report = check(evidence, scenario.unplanned_failures)
    report.violations += scenario.violations
    report.violations += [
        Violation(Promise.IN_FORCE, detail) for detail in watch.reverted
    ]
    return evidence, report


def run_demo(shape: Shape, seed: int = 1, folder: str = "") -> Report:
    """Run the demonstration and print its summary.

    Parameters
    ----------
    shape : Shape
        Installation to run.
    seed : int
        Seed of load and fabric.
    folder : str
        Folder for logs; empty for a temporary directory.

    Returns
    -------
    Report
        Counts and broken promises.
    """
    scenario = Scenario(time.monotonic())
    # The time line needs the requests in the logs, which have level debug.
    logged = {"log": {"level": "debug"}} if folder else {}
    settings = ClusterSettings(
        shape, folder=folder, seed=seed, instance_settings=logged
    )
    with cluster(settings) as running, watch_versions(running) as watch:
        targets = sum(len(service.targets) for service in shape.services)
        instances = len(shape.instances)
        scenario.print_step(
            f"{shape.name}: {instances} instances, {targets} targets serve"
        )
        _run_scenario(running, scenario)
        evidence, report = _check_logs(running, scenario, watch)
        print_summary(running.shape, scenario, evidence, report)
    return report


def main(shape: str = "harada", seed: int = 1, folder: str = "") -> None:
    """Run the demonstration; the exit status is 1 if a promise was broken.

    Parameters
    ----------
    shape : str
        ``harada``, ``leave-desk`` or ``small``.
    seed : int
        Seed of load and fabric.
    folder : str
        Folder for logs, including those for the time line; empty for a temporary
        directory.
    """
    chosen = choose_shape(shape)
    started_s = time.monotonic()
    with exit_on_signal():
        report = run_demo(chosen, seed, folder)
    print(f"{'duration in seconds':<50} {time.monotonic() - started_s:.1f}")
    if not report.violations:
        print("\nEvery promise was kept.")
        return
    print("\nBROKEN PROMISES")
    for violation in report.violations[:_MAX_SHOWN_VIOLATIONS]:
        print(f"  {violation}")
    print(f"  {len(report.violations)} in all")
    sys.exit(1)


if __name__ == "__main__":
    fire.Fire(main)

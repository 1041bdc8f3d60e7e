"""Test case with caller processes, for tests in which targets change under load."""

import signal
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from endivepick.core.rendezvous import owner
from endivepick.tests.promises._configuration_case import ConfigurationTestCase
from standins.clustersettings import ClusterSettings
from standins.nodes import Target
from standins.process import wait_until
from standins.shapes import SMALL

__all__ = ["LoadTestCase"]

RUN_EVENTS = ("start", "stream_start")
PROBE_DELAY_MS = 700
"""Delay in each direction. Its sum over a probe exceeds the timeout of the probe."""
_END_TIMEOUT_S = 60.0


class LoadTestCase(ConfigurationTestCase):
    """Adds caller processes; all targets are in service when a test starts."""

    settings = ClusterSettings(
        SMALL,
        faults=True,
        # The arrival memory matches the length of the callers' flows.
        instance_settings={
            "dispatch": {
                "draining_note_s": 1,
                "slow_start_s": 0,
                "arrival_memory_s": 1,
            }
        },
    )

    def setUp(self) -> None:
        super().setUp()
        self._callers = 0

    def restore_cluster(self) -> None:
        """Remove all faults and return all targets to service."""
        super().restore_cluster()
        self.restore_targets()

    def restore_targets(self) -> None:
        """Return all targets to service."""
        for target in self.cluster.targets.values():
            target.control(drain=False)
        services = self.cluster.shape.services
        for service in services:
            self.cluster.write_record(service)
        if not self.all_targets_ready():
            # Only a successful request ends the probation of an ejected target.
            with self.load(*(service.name for service in services)):
                wait_until(self.all_targets_ready, "all targets to serve")

    def all_targets_ready(self) -> bool:
        """Tell whether all instances see all targets of the shape as ready."""
        return all(
            {t["name"] for t in service_status["targets"] if t["state"] == "ready"}
            == {plan.name for plan in service.targets}
            for service in self.cluster.shape.services
            for service_status in self.service_statuses(service.name)
        )

    @contextmanager
    def load(self, *services: str) -> Iterator[None]:
        """Run a caller process that sends requests and reads streams in the block."""
        self._callers += 1
        name = f"{self.id().rpartition('.')[2]}-{self._callers}"
        launcher = self.cluster.launcher
        workloads = [
            {
                **{"service": service, "flows": 3, "requests_per_flow": 20},
                **{"work_ms": 20, "think_ms": 20},
            }
            for service in services
        ]
        workloads += [
            {"service": service, "work_ms": 10, "stream_interval_ms": 50}
            for service in services
        ]
        settings = {
            "name": name,
            "fabric_address": self.cluster.fabric_address,
            "log_path": str(launcher.log_path("callers", name)),
            "workloads": workloads,
        }
        path = launcher.write_settings(name, settings)
        process = launcher.spawn(name, "standins.load", [f"--settings={path}"])
        try:
            process.wait_ready()
            yield
        finally:
            process.signal(signal.SIGTERM)
            process.wait(_END_TIMEOUT_S)

    def runs(self, service: str) -> Counter[str]:
        """Count the requests and streams that started at each target of a service."""
        events = self.target_events(*RUN_EVENTS)
        return Counter(e["target"] for e in events if e["service"] == service)

    def wait_busy(self, service: str, *targets: str) -> None:
        """Wait until further work starts at each of these targets."""
        before = self.runs(service)

        def busy() -> bool:
            after = self.runs(service)
            return all(after[name] > before[name] for name in targets)

        wait_until(busy, f"work at {targets}")

    def delay_probes(self, name: str, target: Target) -> None:
        """Delay an instance's link to a target so that probes time out."""
        assert self.cluster.faults is not None
        self.cluster.faults.add_rule(
            {"type": "delay", "delay_ms": PROBE_DELAY_MS},
            source=name,
            route=f"target:{target.plan.name}",
        )

        def unhealthy() -> bool:
            service_status = self.target_view(name, target)
            return bool(service_status) and not service_status["healthy"]

        wait_until(unhealthy, f"probes of {target.plan.name} by {name} to fail")

    def target_view(self, name: str, target: Target) -> dict[str, Any]:
        """Return a target's entry in an instance's status; empty if there is none."""
        for service_status in self.service_statuses(target.plan.service, [name]):
            for target_status in service_status["targets"]:
                if target_status["name"] == target.plan.name:
                    return dict(target_status)
        return {}

    def owner_of(self, service: str) -> str:
        """Return the instance that owns new flows of a service."""
        name = owner(service, sorted(self.cluster.instances))
        assert name is not None
        return name

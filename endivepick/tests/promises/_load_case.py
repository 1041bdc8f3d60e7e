"""Scaffolding for tests with callers, and with targets that change under them."""

import signal
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from endivepick.core.rendezvous import owner
from endivepick.tests.promises._configuration_case import UnevenTestCase
from standins.clustersettings import ClusterSettings
from standins.nodes import Target
from standins.process import wait_until
from standins.shapes import SMALL

__all__ = ["LoadedTestCase"]

RUNS = ("start", "stream_start")
SLOW_PROBE_MS = 700
"""Each way; a probe takes more of them than the time allowed for it."""
_END_TIMEOUT_S = 60.0


class LoadedTestCase(UnevenTestCase):
    """Adds callers, and targets that each test finds in service."""

    settings = ClusterSettings(
        SMALL,
        faults=True,
        # The memory fits the length of the callers' flows.
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

    def mend(self) -> None:
        """Take back all faults; all targets serve again."""
        super().mend()
        self.put_back()

    def put_back(self) -> None:
        """Put all targets into service again."""
        for target in self.cluster.targets.values():
            target.control(drain=False)
        services = self.cluster.shape.services
        for service in services:
            self.cluster.write_record(service)
        if not self.all_serve():
            # Only a request that succeeds ends the trial of a target that was ejected.
            with self.load(*(service.name for service in services)):
                wait_until(self.all_serve, "all targets to serve")

    def all_serve(self) -> bool:
        """Tell whether all instances see all targets of the shape in service."""
        return all(
            {t["name"] for t in shown["targets"] if t["state"] == "ready"}
            == {plan.name for plan in service.targets}
            for service in self.cluster.shape.services
            for shown in self.dispatchers(service.name)
        )

    @contextmanager
    def load(self, *services: str) -> Iterator[None]:
        """Run a caller process, with requests and streams, in the block."""
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
        """Count what began at each target of a service."""
        events = self.target_events(*RUNS)
        return Counter(e["target"] for e in events if e["service"] == service)

    def wait_busy(self, service: str, *targets: str) -> None:
        """Wait until more work begins at each of some targets."""
        before = self.runs(service)

        def busy() -> bool:
            after = self.runs(service)
            return all(after[name] > before[name] for name in targets)

        wait_until(busy, f"work at {targets}")

    def blind(self, name: str, target: Target) -> None:
        """Let an instance reach a target, but too slowly for its probes."""
        assert self.cluster.faults is not None
        self.cluster.faults.add_rule(
            {"type": "delay", "delay_ms": SLOW_PROBE_MS},
            source=name,
            route=f"target:{target.plan.name}",
        )

        def unhealthy() -> bool:
            shown = self.seen(name, target)
            return bool(shown) and not shown["healthy"]

        wait_until(unhealthy, f"probes of {target.plan.name} by {name} to fail")

    def seen(self, name: str, target: Target) -> dict[str, Any]:
        """Return what an instance shows of a target, empty if it does not use it."""
        for shown in self.dispatchers(target.plan.service, [name]):
            for one in shown["targets"]:
                if one["name"] == target.plan.name:
                    return dict(one)
        return {}

    def owner_of(self, service: str) -> str:
        """Return the instance that opens a service's flows."""
        name = owner(service, sorted(self.cluster.instances))
        assert name is not None
        return name

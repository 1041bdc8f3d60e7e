"""Scaffolding for tests in which instances hold uneven configurations."""

import itertools
import json
import unittest
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from endivepick.cli.connection import platform_client
from endivepick.records import SERVICE_KIND
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.faultproxy_handle import PLATFORM_ZONE
from standins.process import wait_until
from standins.shapes import SMALL

__all__ = ["EXPORTS", "NORTH", "SESSIONS", "SOUTH", "UnevenTestCase"]

SESSIONS, EXPORTS = "sessions", "exports"
NORTH, SOUTH = SMALL.zones
_NO_FAULTS: dict[str, Any] = {
    "outage": None,
    "slow_ms": 0,
    "lose_answers": 0,
    "stale_reads": 0,
    "history_limit": 10_000,
}


class LogTail:
    """Reads growing logs, each line once."""

    def __init__(self) -> None:
        self._lines: dict[Path, list[dict[str, Any]]] = {}
        self._offsets: dict[Path, int] = {}

    def read(self, path: Path) -> list[dict[str, Any]]:
        """Return all lines of a log that are complete."""
        known = self._lines.setdefault(path, [])
        if not path.exists():
            return known
        with open(path, "rb") as log:
            log.seek(self._offsets.get(path, 0))
            whole, _, _ = log.read().rpartition(b"\n")
        if whole:
            known += map(json.loads, whole.splitlines())
            self._offsets[path] = self._offsets.get(path, 0) + len(whole) + 1
        return known


class UnevenTestCase(unittest.TestCase):
    """One installation for all tests of a class; each test leaves it healthy."""

    settings = ClusterSettings(SMALL, faults=True)
    cluster: Cluster
    _tail: LogTail

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.cluster = cls.enterClassContext(cluster(cls.settings))
        cls._tail = LogTail()

    def setUp(self) -> None:
        self.addCleanup(self.mend)
        self.platform = self.cluster.platform
        self.wait_agreed()

    def mend(self) -> None:
        """Take back all faults and start what is missing."""
        self.cluster.heal()
        self.platform.control(**_NO_FAULTS)
        for name in self.cluster.instances:
            self.cluster.thaw_instance(name)
        names = {plan.name for plan in self.cluster.shape.instances}
        missing = names - set(self.cluster.instances)
        if missing:
            self.cluster.start_instances(sorted(missing))

    # Instances.

    def names(self, *zones: str) -> list[str]:
        """Return the instances of some zones, or of all."""
        plans = self.cluster.shape.instances
        return [plan.name for plan in plans if plan.zone in (zones or (plan.zone,))]

    def wait_agreed(self) -> None:
        """Wait until all instances see each other ready."""
        names = set(self.names())

        def agreed() -> bool:
            return all(self.live_peers(name) >= names for name in names)

        wait_until(agreed, "one view of all instances")

    def live_peers(self, name: str) -> set[str]:
        """Return whom an instance sees alive and ready, itself included."""
        peers = self.cluster.instances[name].status()["peers"]
        return {p["name"] for p in peers if p["state"] == "alive" and p["ready"]}

    def restart(self, names: Iterable[str], same_ports: bool = True) -> None:
        """Kill instances at once and start them again."""
        restarted = list(names)
        for name in restarted:
            self.cluster.kill_instance(name)
        self.cluster.start_instances(restarted, same_ports)

    def replace(self, names: Iterable[str]) -> None:
        """Stop instances as planned, then start others in their place."""
        replaced = list(names)
        for name in replaced:
            self.cluster.begin_stop(name)
        for name in replaced:
            self.assertEqual(self.cluster.finish_stop(name), 0)
        self.cluster.start_instances(replaced)

    # Links.

    def cut_platform(self, *zones: str, action: str = "cut") -> None:
        """Cut zones off from the platform only."""
        self._cut(zones, [PLATFORM_ZONE], action)

    def cut_peers(self, *zones: str, action: str = "cut") -> None:
        """Cut instances of these zones off from those of all others, both ways."""
        for zone in zones:
            others = [other for other in self.cluster.shape.zones if other != zone]
            self._cut([zone], others, action, route="peer:*")
            self._cut(others, [zone], action, route="peer:*")

    def _cut(
        self, sources: Iterable[str], zones: Iterable[str], action: str, **more: str
    ) -> None:
        assert self.cluster.faults is not None
        for source in sources:
            for zone in zones:
                match = {"source_zone": source, "route_zone": zone, **more}
                self.cluster.faults.add_rule({"type": action}, **match)

    # Records.

    def change(self, service: str = SESSIONS, **fields: Any) -> int:
        """Change fields of a record; return the accepted version."""
        stored = self.platform.change_record(service, lambda body: body.update(fields))
        return int(stored["version"])

    def touch(self, service: str = SESSIONS) -> int:
        """Make a new version with the same content."""
        return self.change(service)

    def delete(self, service: str) -> None:
        """Delete a record."""
        stored = self.platform.get(SERVICE_KIND, service)
        assert stored is not None
        with platform_client(self.platform.api) as client:
            client.delete(SERVICE_KIND, service, stored["version"]).unwrap()

    def held(self, service: str, name: str) -> int:
        """Return the version that an instance has in force, 0 for none."""
        records = self.cluster.instances[name].status()["records"]
        return int(records.get(service, 0))

    def wait_in_force(
        self, version: int, service: str = SESSIONS, names: Iterable[str] = ()
    ) -> None:
        """Wait until instances have exactly this version, all by default."""
        wanted = list(names) or self.names()

        def in_force() -> bool:
            return all(self.held(service, name) == version for name in wanted)

        wait_until(in_force, f"{service} version {version} at {wanted}")

    def in_force_when_ready(self, service: str, name: str) -> int:
        """Return what an instance had in force when it became ready, 0 for none."""
        version = 0
        for line in self._tail.read(self.cluster.instances[name].log):
            match line.get("event"):
                case "record_in_force" if line["record"] == service:
                    version = line["version"]
                case "record_deleted" if line["record"] == service:
                    version = 0
                case "state_changed" if line["new"] == "ready":
                    return version
        raise AssertionError(f"{name} has not become ready")

    def wait_logged(self, name: str, event: str, text: str) -> None:
        """Wait until an instance logged an event with a text."""

        def logged() -> bool:
            lines = self._tail.read(self.cluster.instances[name].log)
            return any(e.get("event") == event and text in str(e) for e in lines)

        wait_until(logged, f"{event} at {name}")

    def assert_never_reverted(self) -> None:
        """Check in the logs that no process went back to an earlier version."""
        for path in self.cluster.launcher.logs("instances"):
            highest: dict[str, int] = {}
            for line in self._tail.read(path):
                if line.get("event") in ("record_in_force", "keyring_in_force"):
                    record, version = line["record"], line["version"]
                    self.assertGreater(version, highest.get(record, 0), path.name)
                    highest[record] = version

    # Targets.

    def dispatchers(
        self, service: str, names: Iterable[str] = ()
    ) -> Iterator[dict[str, Any]]:
        """Yield what instances that place requests for a service show of it."""
        for name in list(names) or list(self.cluster.instances):
            for shown in self.cluster.instances[name].status()["services"]:
                if shown["service"] == service:
                    yield shown

    def target_events(self, *events: str) -> list[dict[str, Any]]:
        """Return events of all targets' logs."""
        logs = self.cluster.launcher.logs("targets")
        lines = itertools.chain.from_iterable(map(self._tail.read, logs))
        return [line for line in lines if line["event"] in events]

"""Watches which version of each record is in force in each instance."""

import http.client
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from standins.cluster import Cluster
from standins.endpoint import call
from standins.process import wait_until

__all__ = ["InstanceVersions", "VersionWatch", "wait_in_force", "watch_versions"]

_PERIOD_S = 0.2


@dataclass(frozen=True)
class InstanceVersions:
    """Versions in force in one instance, by name of the record."""

    incarnation: str
    records: dict[str, int]


def _read_versions(http_address: str) -> InstanceVersions | None:
    try:
        reply = call(http_address, "GET", "/status")
    except (OSError, http.client.HTTPException):
        return None
    if reply.status != 200:
        return None
    return InstanceVersions(reply.body["incarnation"], reply.body["records"])


def _has_version(http_address: str, record: str, version: int) -> bool:
    versions = _read_versions(http_address)
    return versions is not None and versions.records.get(record, 0) >= version


def wait_in_force(running: Cluster, record: str, version: int) -> None:
    """Wait until all instances have at least this version of a record in force."""
    waiting = {instance.http_address for instance in running.instances.values()}

    def all_have_it() -> bool:
        done = {a for a in waiting if _has_version(a, record, version)}
        waiting.difference_update(done)
        return not waiting

    wait_until(all_have_it, f"{record} version {version} in force everywhere")


@dataclass
class VersionWatch:
    """Versions seen, and those that went back."""

    highest: dict[tuple[str, str], int] = field(default_factory=dict)
    reverted: list[str] = field(default_factory=list)

    def take(self, versions: InstanceVersions) -> None:
        """Compare with what this incarnation showed before."""
        for record, version in versions.records.items():
            key = (versions.incarnation, record)
            before = self.highest.get(key, 0)
            if version < before:
                self.reverted.append(
                    f"{record} went from {before} to {version} in an instance"
                )
            self.highest[key] = max(before, version)


@contextmanager
def watch_versions(running: Cluster) -> Iterator[VersionWatch]:
    """Read the versions of all instances again and again in a thread."""
    watch = VersionWatch()
    stopped = threading.Event()

    def run() -> None:
        while not stopped.wait(_PERIOD_S):
            for instance in list(running.instances.values()):
                versions = _read_versions(instance.http_address)
                if versions is not None:
                    watch.take(versions)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield watch
    finally:
        stopped.set()
        thread.join()

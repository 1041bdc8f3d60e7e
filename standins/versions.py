"""Waiting for and watching of record versions and views reported by instances."""

import http.client
import threading
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from standins.cluster import Cluster
from standins.endpoint import call
from standins.process import wait_until

__all__ = [
    "InstanceVersions",
    "VersionWatch",
    "wait_peers_ready",
    "wait_in_force",
    "watch_versions",
]

_READ_INTERVAL_S = 0.2
_STARTING_STATES = ("starting", "joining")


@dataclass(frozen=True)
class InstanceVersions:
    """Versions in force in one instance, by record name."""

    name: str
    incarnation: str
    starting: bool
    records: dict[str, int]


def _read_versions(http_address: str) -> InstanceVersions | None:
    try:
        reply = call(http_address, "GET", "/status")
    except (OSError, http.client.HTTPException):
        return None
    if reply.status != 200:
        return None
    body = reply.body
    starting = body["state"] in _STARTING_STATES
    return InstanceVersions(
        body["name"], body["incarnation"], starting, body["records"]
    )


def _has_version(http_address: str, record: str, version: int) -> bool:
    versions = _read_versions(http_address)
    return versions is not None and versions.records.get(record, 0) >= version


def wait_in_force(
    running: Cluster, record: str, version: int, names: Collection[str] | None = None
) -> None:
    """Wait until instances have at least a version of a record in force.

    Parameters
    ----------
    running : Cluster
        Running installation.
    record : str
        Name of the record.
    version : int
        Lowest accepted version.
    names : collection of str, optional
        Instances to wait for; by default all.
    """
    chosen = running.instances if names is None else names
    waiting = {running.instances[name].http_address for name in chosen}

    def all_have_it() -> bool:
        done = {a for a in waiting if _has_version(a, record, version)}
        waiting.difference_update(done)
        return not waiting

    wait_until(all_have_it, f"{record} version {version} in force everywhere")


def wait_peers_ready(running: Cluster) -> None:
    """Wait until all instances know that all others are ready."""
    names = set(running.instances)

    def agree() -> bool:
        views = [one.status()["peers"] for one in running.instances.values()]
        return all(names == _ready_peer_names(view) for view in views)

    wait_until(agree, "all instances to know each other")


def _ready_peer_names(peers: list[dict[str, Any]]) -> set[str]:
    return {p["name"] for p in peers if p["ready"] and p["state"] == "alive"}


@dataclass
class VersionWatch:
    """Highest versions observed, and decreases of versions.

    With ``across_restarts``, a replacement that is ready must also not report an
    older version than the instance that it replaces.  This holds as long as a reachable
    instance or the platform has the newer version.
    """

    across_restarts: bool = False
    highest: dict[tuple[str, str], int] = field(default_factory=dict)
    reverted: list[str] = field(default_factory=list)

    def record_versions(self, versions: InstanceVersions) -> None:
        """Compare with the versions reported earlier by the incarnation or instance."""
        if self.across_restarts and versions.starting:
            return
        observer_key = versions.name if self.across_restarts else versions.incarnation
        for record, version in versions.records.items():
            key = (observer_key, record)
            before = self.highest.get(key, 0)
            if version < before:
                self.reverted.append(
                    f"{record} went from {before} to {version} in an instance"
                )
            self.highest[key] = max(before, version)


@contextmanager
def watch_versions(
    running: Cluster, across_restarts: bool = False
) -> Iterator[VersionWatch]:
    """Poll the versions of all instances in a thread."""
    watch = VersionWatch(across_restarts=across_restarts)
    stopped = threading.Event()

    def run() -> None:
        while not stopped.wait(_READ_INTERVAL_S):
            for instance in list(running.instances.values()):
                versions = _read_versions(instance.http_address)
                if versions is not None:
                    watch.record_versions(versions)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield watch
    finally:
        stopped.set()
        thread.join()

"""Watches what instances show: versions in force, and what they know of each other."""

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

_PERIOD_S = 0.2
_STARTING = ("starting", "joining")


@dataclass(frozen=True)
class InstanceVersions:
    """Versions in force in one instance, by name of the record."""

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
    starting = body["state"] in _STARTING
    return InstanceVersions(
        body["name"], body["incarnation"], starting, body["records"]
    )


def _has_version(http_address: str, record: str, version: int) -> bool:
    versions = _read_versions(http_address)
    return versions is not None and versions.records.get(record, 0) >= version


def wait_in_force(
    running: Cluster, record: str, version: int, names: Collection[str] | None = None
) -> None:
    """Wait until instances have at least this version of a record in force.

    Parameters
    ----------
    running : Cluster
        The installation.
    record : str
        Name of the record.
    version : int
        The version.
    names : collection of str, optional
        Instances to wait for; all by default.
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
        return all(names == _usable(view) for view in views)

    wait_until(agree, "all instances to know each other")


def _usable(peers: list[dict[str, Any]]) -> set[str]:
    return {p["name"] for p in peers if p["ready"] and p["state"] == "alive"}


@dataclass
class VersionWatch:
    """Versions seen, and those that went back.

    With ``over_restarts`` a replacement, once it is ready, may not show less than
    the instance before it either; that holds while somebody reachable knows.
    """

    over_restarts: bool = False
    highest: dict[tuple[str, str], int] = field(default_factory=dict)
    reverted: list[str] = field(default_factory=list)

    def take(self, versions: InstanceVersions) -> None:
        """Compare with what this incarnation, or this instance, showed before."""
        if self.over_restarts and versions.starting:
            return
        who = versions.name if self.over_restarts else versions.incarnation
        for record, version in versions.records.items():
            key = (who, record)
            before = self.highest.get(key, 0)
            if version < before:
                self.reverted.append(
                    f"{record} went from {before} to {version} in an instance"
                )
            self.highest[key] = max(before, version)


@contextmanager
def watch_versions(
    running: Cluster, over_restarts: bool = False
) -> Iterator[VersionWatch]:
    """Read the versions of all instances again and again in a thread."""
    watch = VersionWatch(over_restarts=over_restarts)
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

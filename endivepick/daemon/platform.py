"""Task that calls the platform: lists, watches and the list of instances."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

import gevent
from returns.result import Failure, Success

from endivepick.core.events import (
    Event,
    InstancesListed,
    ObjectsChanged,
    ObjectsListed,
)
from endivepick.daemon.logs import PartLog
from endivepick.membership import ListedInstance
from endivepick.platform.backoff import Backoff
from endivepick.platform.client import PlatformClient
from endivepick.records.objects import KEYRING_KIND, SERVICE_KIND
from endivepick.settings.address import parse_address
from endivepick.settings.model import DaemonSettings

__all__ = ["PlatformTask", "platform_task"]

WATCHED_KINDS = (SERVICE_KIND, KEYRING_KIND)
_log = PartLog("platform")


class PlatformTask:
    """Keeps the core informed of what the platform holds.

    Parameters
    ----------
    settings : DaemonSettings
        Address and periods.
    deliver : callable
        Takes each event.
    """

    def __init__(
        self, settings: DaemonSettings, deliver: Callable[[Event], None]
    ) -> None:
        source_host = settings.platform.source_host
        if not source_host:
            source_host, _ = parse_address(settings.listen.peer_address)
        self._settings = replace(settings.platform, source_host=source_host)
        self._deliver = deliver
        self._random = random.Random()
        self._client = PlatformClient(self._settings, gevent.sleep, self._random.random)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def run_objects(self) -> None:
        """List, then watch, and list again when the watch has lost its place."""
        backoff = Backoff(self._settings.backoff)
        while True:
            revision = self._list_all()
            if revision is None:
                backoff = backoff.failed(self._random.random())
                gevent.sleep(backoff.wait_s)
                continue
            backoff = backoff.succeeded()
            self._watch_from(revision)

    def _list_all(self) -> int | None:
        revisions: list[int] = []
        for kind in WATCHED_KINDS:
            match self._client.list(kind):
                case Success(listed):
                    self._deliver(ObjectsListed(kind, listed.revision, listed.objects))
                    revisions.append(listed.revision)
                case Failure(error):
                    _log.warning("list_failed", "objects not listed", reason=str(error))
                    return None
        return min(revisions)

    def _watch_from(self, revision: int) -> None:
        while True:
            match self._client.watch(WATCHED_KINDS, revision):
                case Success(result):
                    self._deliver(
                        ObjectsChanged(result.after, result.revision, result.events)
                    )
                    revision = result.revision
                case Failure(error):
                    _log.warning("watch_failed", "watch ended", reason=str(error))
                    return

    def run_instances(self) -> None:
        """List the instances again and again."""
        while True:
            match self._client.instances():
                case Success(listed):
                    entries = tuple(
                        ListedInstance(
                            entry.name,
                            entry.zone,
                            entry.peer_address,
                            entry.state == "leaving",
                        )
                        for entry in listed.instances
                    )
                    self._deliver(InstancesListed(entries, listed.age_ms / 1000))
                case Failure(error):
                    _log.warning(
                        "instances_failed", "instances not listed", reason=str(error)
                    )
            spread = 0.5 + self._random.random()
            gevent.sleep(self._settings.list_every_s * spread)


@contextmanager
def platform_task(
    settings: DaemonSettings, deliver: Callable[[Event], None]
) -> Iterator[PlatformTask]:
    """Run the task while the context is open."""
    task = PlatformTask(settings, deliver)
    loops = [gevent.spawn(task.run_objects), gevent.spawn(task.run_instances)]
    try:
        yield task
    finally:
        gevent.killall(loops)
        task.close()

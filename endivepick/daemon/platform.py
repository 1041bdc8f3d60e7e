"""Task that calls the platform: object calls, watches and the list of instances."""

import random
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

import gevent
from gevent.pool import Group
from returns.result import Failure, Result, Success

from endivepick.addresses import parse_address
from endivepick.core.events import (
    Event,
    InstancesListed,
    ObjectsChanged,
    ObjectsListed,
    PlatformAnswered,
    PlatformCallFailed,
)
from endivepick.core.platform_calls import (
    CallFailed,
    CallPurpose,
    ListObjects,
    ObjectRead,
    ObjectsRead,
    ObjectWritten,
    PlatformAnswer,
    PlatformCall,
    ReadObject,
    WriteObject,
)
from endivepick.daemon.logs import PartLog
from endivepick.errors import (
    EndivepickError,
    PlatformAnswerError,
    RecordConflictError,
    WatchExpiredError,
    WriteOutcomeUnknownError,
)
from endivepick.membership import ListedInstance
from endivepick.platform.answers import ObjectList, WatchResult
from endivepick.platform.client import PlatformClient
from endivepick.platform.watcher import Watcher, WatcherEvent, WatchFailed
from endivepick.settings.model import DaemonSettings

__all__ = ["PlatformTask", "platform_task"]

UNWATCHED_PERIOD_FACTOR = 5
"""Factor on the list period of an instance that does not watch."""
LISTS_PER_S = 25.0
"""Target total rate of list requests from all instances of a large fleet.

The actual rate is at least half of it.
"""
_OK = "ok"
_log = PartLog("platform")


class PlatformTask:
    """Delivers the state of the platform to the core.

    Parameters
    ----------
    settings : DaemonSettings
        Settings with the platform address and periods.
    deliver : callable
        Called with each event.
    count : callable
        Called with the result of each call.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        deliver: Callable[[Event], None],
        count: Callable[[str], None],
    ) -> None:
        source_host = settings.platform.source_host
        if not source_host:
            source_host, _ = parse_address(settings.listen.peer_address)
        self._settings = replace(settings.platform, source_host=source_host)
        self._deliver = deliver
        self._count = count
        self._random = random.Random()
        self._listed_count = 0
        self._watch: gevent.Greenlet | None = None
        self._calls = Group()
        self._client = PlatformClient(self._settings, gevent.sleep, self._random.random)
        self._watcher = Watcher(
            self._settings,
            self._client,
            self._handle_watch_event,
            gevent.sleep,
            self._random.random,
        )

    def close(self) -> None:
        """End all calls and close all connections."""
        self._calls.kill()
        self._client.close()

    def call(self, purpose: CallPurpose, call: PlatformCall) -> None:
        """Make one call; its result is delivered as ``PlatformAnswered``."""
        self._calls.spawn(self._run_call, purpose, call)

    def _run_call(self, purpose: CallPurpose, call: PlatformCall) -> None:
        answer: PlatformAnswer
        match self._send_call(call):
            case Success(answer):
                self._count(_OK)
            case Failure(error):
                self._count(_classify_error(error))
                answer = CallFailed(str(error))
        self._deliver(PlatformAnswered(purpose, answer))

    def _send_call(self, call: PlatformCall) -> Result[PlatformAnswer, EndivepickError]:
        match call:
            case ReadObject(kind=kind, name=name):
                return self._client.get(kind, name).map(ObjectRead)
            case ListObjects(kind=kind):
                return self._client.list(kind).map(lambda o: ObjectsRead(o.objects))
            case WriteObject(kind=kind, name=name, if_version=if_version):
                body = {**call.body, "write_id": uuid.uuid4().hex}
                written = self._client.put(kind, name, body, if_version)
                return written.map(ObjectWritten)

    def watch(self, after: int) -> None:
        """Watch from a revision; list all objects first if it is 0."""
        self.stop_watching()
        self._watch = gevent.spawn(self._watcher.run, after)

    def stop_watching(self) -> None:
        """Stop the watch; the configuration then arrives from peers."""
        if self._watch is not None:
            self._watch.kill()
            self._watch = None

    def _handle_watch_event(self, event: WatcherEvent) -> None:
        match event:
            case ObjectList():
                self._count(_OK)
                self._deliver(ObjectsListed(event))
            case WatchResult():
                self._count(_OK)
                self._deliver(ObjectsChanged(event))
            case WatchFailed(error=error):
                self._count(_classify_error(error))
                _log.warning(
                    "watch_failed", "watch of the platform failed", reason=str(error)
                )
                self._deliver(PlatformCallFailed())

    def run_instance_listing(self) -> None:
        """List the instances periodically."""
        while True:
            match self._client.instances():
                case Success(listed):
                    self._count(_OK)
                    self._listed_count = len(listed.instances)
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
                    self._count(_classify_error(error))
                    _log.warning(
                        "instances_failed",
                        "instances could not be listed",
                        reason=str(error),
                    )
            gevent.sleep(self._listing_delay_s())

    def _listing_delay_s(self) -> float:
        """Return the jittered delay before the next list.

        Rare listing suffices, because an instance that lists a change notifies the
        instances concerned.
        """
        jitter = 0.5 + self._random.random()
        period_s = self._settings.list_every_s
        if self._watch is None:
            period_s *= UNWATCHED_PERIOD_FACTOR
        # The request rate of the platform must not grow with the fleet.
        return max(period_s, self._listed_count / LISTS_PER_S) * jitter


def _classify_error(error: EndivepickError) -> str:
    """Return the metric label of a failed call."""
    match error:
        case RecordConflictError():
            return "conflict"
        case WatchExpiredError():
            return "expired"
        case PlatformAnswerError():
            return "refused"
        case WriteOutcomeUnknownError():
            return "unknown"
    return "unavailable"


@contextmanager
def platform_task(
    settings: DaemonSettings,
    deliver: Callable[[Event], None],
    count: Callable[[str], None],
) -> Iterator[PlatformTask]:
    """Run the task while the context is open."""
    task = PlatformTask(settings, deliver, count)
    loop = gevent.spawn(task.run_instance_listing)
    try:
        yield task
    finally:
        loop.kill()
        task.stop_watching()
        task.close()

"""Task that calls the platform: lists, watches and the list of instances."""

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

LIST_LESS_OFTEN_FACTOR = 5
"""How much less often an instance lists that does not watch."""
LISTS_PER_S = 25.0
"""Lists that all instances ask for together, about; half as many at least."""
_OK = "ok"
_log = PartLog("platform")


class PlatformTask:
    """Keeps the core informed of what the platform holds.

    Parameters
    ----------
    settings : DaemonSettings
        Address and periods.
    deliver : callable
        Takes each event.
    count : callable
        Takes the result of each call.
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
        self._listed = 0
        self._watch: gevent.Greenlet | None = None
        self._calls = Group()
        self._client = PlatformClient(self._settings, gevent.sleep, self._random.random)
        self._watcher = Watcher(
            self._settings,
            self._client,
            self._take,
            gevent.sleep,
            self._random.random,
        )

    def close(self) -> None:
        """End all calls and close all connections."""
        self._calls.kill()
        self._client.close()

    def call(self, purpose: CallPurpose, call: PlatformCall) -> None:
        """Make one call; its end is delivered as ``PlatformAnswered``."""
        self._calls.spawn(self._run_call, purpose, call)

    def _run_call(self, purpose: CallPurpose, call: PlatformCall) -> None:
        answer: PlatformAnswer
        match self._make_call(call):
            case Success(answer):
                self._count(_OK)
            case Failure(error):
                self._count(_result_of(error))
                answer = CallFailed(str(error))
        self._deliver(PlatformAnswered(purpose, answer))

    def _make_call(self, call: PlatformCall) -> Result[PlatformAnswer, EndivepickError]:
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
        """Begin to watch after a revision; list all objects first if it is 0."""
        self.stop_watching()
        self._watch = gevent.spawn(self._watcher.run, after)

    def stop_watching(self) -> None:
        """End the watch: peers bring the configuration."""
        if self._watch is not None:
            self._watch.kill()
            self._watch = None

    def _take(self, event: WatcherEvent) -> None:
        match event:
            case ObjectList():
                self._count(_OK)
                self._deliver(ObjectsListed(event))
            case WatchResult():
                self._count(_OK)
                self._deliver(ObjectsChanged(event))
            case WatchFailed(error=error):
                self._count(_result_of(error))
                _log.warning("watch_failed", "watch ended", reason=str(error))
                self._deliver(PlatformCallFailed())

    def run_instances(self) -> None:
        """List the instances again and again."""
        while True:
            match self._client.instances():
                case Success(listed):
                    self._count(_OK)
                    self._listed = len(listed.instances)
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
                    self._count(_result_of(error))
                    _log.warning(
                        "instances_failed", "instances not listed", reason=str(error)
                    )
            gevent.sleep(self._list_wait_s())

    def _list_wait_s(self) -> float:
        """Return a spread wait; whoever sees a change tells those that it is about."""
        spread = 0.5 + self._random.random()
        every_s = self._settings.list_every_s
        if self._watch is None:
            every_s *= LIST_LESS_OFTEN_FACTOR
        # The platform's rates do not grow with the fleet.
        return max(every_s, self._listed / LISTS_PER_S) * spread


def _result_of(error: EndivepickError) -> str:
    """Name what came of a call that failed."""
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
    loop = gevent.spawn(task.run_instances)
    try:
        yield task
    finally:
        loop.kill()
        task.stop_watching()
        task.close()

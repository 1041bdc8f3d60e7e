"""Stand-in for the platform: object API, instance list and their faults.

Run it with ``python -m standins.platform --settings FILE`` or with flags of the
same names as the fields of `PlatformSettings`.  The API listens on ``listen``,
the control endpoint on ``control_listen``, so that faults of the API do not
touch the control.
"""

import collections
import errno
import time
import urllib.parse
from dataclasses import dataclass
from typing import Any, Literal

import fire
import gevent
from gevent.event import Event

from standins.control import (
    Answer,
    BorderModel,
    Control,
    EventLog,
    format_address,
    json_server,
    load_settings,
    read_json,
    run_until_terminated,
)

__all__ = ["ObjectStore", "Platform", "PlatformControl", "PlatformSettings", "main"]

_MAX_BODY_BYTES = 1024 * 1024
_RATE_WINDOW_S = 10
_RETRY_AFTER_S = 1


class PlatformControl(BorderModel):
    """Switches of the platform stand-in.

    Attributes
    ----------
    outage : str or None
        ``"refuse"`` closes each connection without an answer and without an
        effect, ``"unavailable"`` answers 503, ``"hang"`` holds every call until
        the switch changes and handles it then.
    slow_ms : float
        Added before each call is handled.
    lose_answers : int
        That many of the next writes take effect but get no answer; the number
        counts down.
    lose_answers_kind : str or None
        Restrict `lose_answers` to one kind of object.
    stale_reads : int
        Gets and lists answer from the store as it was that many revisions ago.
    writes_per_s, reads_per_s : float
        Rates above which calls get 429; a waiting watch is one read.
    instances_lag_s : float
        Age of the instance list that callers see.
    history_limit : int
        Revisions kept for watches; watches from before get 410.
    """

    outage: Literal["refuse", "unavailable", "hang"] | None = None
    slow_ms: float = 0.0
    lose_answers: int = 0
    lose_answers_kind: str | None = None
    stale_reads: int = 0
    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
    instances_lag_s: float = 0.0
    history_limit: int = 10_000


class InstanceEntry(BorderModel):
    """One instance as the owner of the machines knows it."""

    name: str
    zone: str
    peer_address: str
    data_address: str
    state: Literal["live", "leaving"] = "live"


class PlatformSettings(BorderModel):
    """Settings of the program; addresses are ``"host:port"``."""

    listen: str = "127.0.0.1:0"
    control_listen: str = "127.0.0.1:0"
    log_path: str | None = None
    control: PlatformControl = PlatformControl()
    instances: list[InstanceEntry] = []


@dataclass(frozen=True)
class StoredObject:
    """One version of an object."""

    kind: str
    name: str
    version: int
    body: Any

    def to_json(self) -> dict[str, Any]:
        """Return the object as the API shows it."""
        return dict(self.__dict__)


@dataclass(frozen=True)
class StoreEvent:
    """One change of the store and the object that it replaced."""

    type: Literal["put", "delete"]
    object: StoredObject
    previous: StoredObject | None


class VersionConflictError(Exception):
    """The condition of a write does not hold; `current` is what stands."""

    def __init__(self, current: StoredObject | None) -> None:
        super().__init__("The object has another version; read it again.")
        self.current = current


Key = tuple[str, str]
"""Kind and name of an object."""


class ObjectStore:
    """Objects with store-wide revisions and a history of changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.changed = Event()
        self._objects: dict[Key, StoredObject] = {}
        self._history: collections.deque[StoreEvent] = collections.deque()

    def put(self, key: Key, body: Any, if_version: int | None) -> StoredObject:
        """Write an object; VersionConflictError if `if_version` does not hold."""
        previous = self._checked(key, if_version)
        self.revision += 1
        stored = StoredObject(*key, self.revision, body)
        self._objects[key] = stored
        self._record(StoreEvent("put", stored, previous))
        return stored

    def delete(self, key: Key, if_version: int | None) -> StoredObject | None:
        """Delete an object; returns its tombstone, or None if it is absent."""
        previous = self._checked(key, if_version)
        if previous is None:
            return None
        self.revision += 1
        tombstone = StoredObject(*key, self.revision, previous.body)
        del self._objects[key]
        self._record(StoreEvent("delete", tombstone, previous))
        return tombstone

    def snapshot(self, back: int) -> tuple[int, dict[Key, StoredObject]]:
        """Return the revision and the objects as they were `back` revisions ago."""
        if back <= 0:
            return self.revision, self._objects
        objects = dict(self._objects)
        revision = self.revision
        for event in list(self._history)[: -back - 1 : -1]:
            key = (event.object.kind, event.object.name)
            if event.previous is None:
                objects.pop(key, None)
            else:
                objects[key] = event.previous
            revision = event.object.version - 1
        return revision, objects

    def events_after(self, revision: int, kinds: set[str]) -> list[StoreEvent] | None:
        """Return later events of these kinds; None if the history is too short."""
        if revision < self.revision - len(self._history):
            return None
        count = max(0, self.revision - revision)
        recent = list(self._history)[len(self._history) - count :]
        return [event for event in recent if event.object.kind in kinds]

    def trim(self, limit: int) -> None:
        """Forget all but the last `limit` events."""
        while len(self._history) > limit:
            self._history.popleft()

    def wake(self) -> None:
        """Let all waiting watches look again."""
        waiting, self.changed = self.changed, Event()
        waiting.set()

    def _checked(self, key: Key, if_version: int | None) -> StoredObject | None:
        current = self._objects.get(key)
        version = current.version if current else 0
        if if_version is not None and if_version != version:
            raise VersionConflictError(current)
        return current

    def _record(self, event: StoreEvent) -> None:
        self._history.append(event)
        self.wake()


class RateLimit:
    """Token bucket that holds at most one second's worth of calls."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._refilled_at_s = 0.0

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Take one token if there is one."""
        if self._tokens is None:
            self._tokens = rate_per_s
        else:
            self._tokens += (now_s - self._refilled_at_s) * rate_per_s
        self._tokens = min(self._tokens, max(1.0, rate_per_s))
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class CallCounter:
    """Calls of one source: totals and calls in each whole second."""

    def __init__(self) -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self.peak_per_s = 0
        self._seconds: collections.deque[list[int]] = collections.deque(
            maxlen=_RATE_WINDOW_S + 1
        )

    def add(self, what: str, now_s: float) -> None:
        """Count one call of class `what`."""
        self.totals[what] += 1
        second = int(now_s)
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append([second, 0])
        self._seconds[-1][1] += 1
        self.peak_per_s = max(self.peak_per_s, self._seconds[-1][1])

    def to_json(self, now_s: float) -> dict[str, Any]:
        """Return totals, the highest second and the mean of the last ten."""
        since = int(now_s) - _RATE_WINDOW_S
        recent = sum(n for s, n in self._seconds if since <= s < int(now_s))
        return {
            **self.totals,
            "peak_calls_per_s": self.peak_per_s,
            "calls_per_s": recent / _RATE_WINDOW_S,
        }


class InstanceDirectory:
    """The instance list, shown as it was some time ago."""

    def __init__(self) -> None:
        self._lists: list[tuple[float, list[dict[str, Any]]]] = []

    def set(self, instances: list[dict[str, Any]], now_s: float) -> None:
        """Set what the owner of the machines knows from now on."""
        # The first list counts as known for ever, so that a fleet starts at once.
        since_s = now_s if self._lists else float("-inf")
        self._lists.append((since_s, instances))

    def seen(self, lag_s: float, now_s: float) -> list[dict[str, Any]]:
        """Return the list as it was `lag_s` ago."""
        at_s = now_s - lag_s
        known = [listed for since_s, listed in self._lists if since_s <= at_s]
        return known[-1] if known else []


class Platform:
    """The object API over a store, with rate limits and faults.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the program.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self.log = EventLog(settings.log_path)
        self.control = Control(settings.control, self.log, self._stats)
        self.control.on_change(self._control_changed)
        self.control.add_route("PUT", "/control/instances", self._set_instances)
        self._store = ObjectStore()
        self._directory = InstanceDirectory()
        self._write_limit = RateLimit()
        self._read_limit = RateLimit()
        self._calls: dict[str, CallCounter] = {}
        self._waiting_watches = 0
        if settings.instances:
            self._set_instances([e.model_dump() for e in settings.instances])

    def answer(self, environ: dict[str, Any]) -> Answer:
        """Answer one call of the object API."""
        source = environ["REMOTE_ADDR"]
        method = environ["REQUEST_METHOD"]
        if self._unavailable():
            return Answer(503, {"error": "The platform has an outage; try later."})
        if self.control.current.slow_ms:
            gevent.sleep(self.control.current.slow_ms / 1000)
        if not self._admit(method, source):
            headers = [("Retry-After", str(_RETRY_AFTER_S))]
            return Answer(429, {"error": "Too many calls; call less often."}, headers)
        try:
            return self._route(method, environ, source)
        except VersionConflictError as conflict:
            current = conflict.current
            return Answer(409, {"current": current.to_json() if current else None})
        except (ValueError, KeyError, TypeError) as error:
            return Answer(400, {"error": f"Malformed call: {error!r}."})

    def _unavailable(self) -> bool:
        """Apply an outage: wait, drop the connection, or say True for a 503."""
        while self.control.current.outage == "hang":
            self.control.changed.wait()
        if self.control.current.outage == "refuse":
            raise ConnectionResetError(errno.ECONNRESET, "outage")
        return self.control.current.outage == "unavailable"

    def _admit(self, method: str, source: str) -> bool:
        control = self.control.current
        now_s = time.monotonic()
        if method == "GET":
            what = "reads"
            admitted = self._read_limit.take(control.reads_per_s, now_s)
        else:
            what = "writes"
            admitted = self._write_limit.take(control.writes_per_s, now_s)
        counter = self._calls.setdefault(source, CallCounter())
        counter.add(what if admitted else "limited", now_s)
        return admitted

    def _route(self, method: str, environ: dict[str, Any], source: str) -> Answer:
        # WSGI hands over the bytes of the path as Latin-1.
        path = environ["PATH_INFO"].encode("latin-1").decode()
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        match method, *path.strip("/").split("/", 3):
            case "GET", "v1", "instances":
                return self._get_instances()
            case "GET", "v1", "watch":
                return self._watch(query)
            case "GET", "v1", "objects", kind:
                return self._list(kind)
            case "GET", "v1", "objects", kind, name:
                return self._get((kind, name))
            case "PUT", "v1", "objects", kind, name:
                return self._put((kind, name), environ, source)
            case "DELETE", "v1", "objects", kind, name:
                return self._delete((kind, name), query, source)
            case _:
                return Answer(404, {"error": f"There is no {method} {path}."})

    def _list(self, kind: str) -> Answer:
        revision, objects = self._store.snapshot(self.control.current.stale_reads)
        found = [o.to_json() for o in objects.values() if o.kind == kind]
        found.sort(key=lambda o: o["name"])
        return Answer(200, {"revision": revision, "objects": found})

    def _get(self, key: Key) -> Answer:
        _, objects = self._store.snapshot(self.control.current.stale_reads)
        stored = objects.get(key)
        if stored is None:
            return Answer(404, {"error": f"There is no object {'/'.join(key)}."})
        return Answer(200, stored.to_json())

    def _put(self, key: Key, environ: dict[str, Any], source: str) -> Answer:
        if int(environ.get("CONTENT_LENGTH") or 0) > _MAX_BODY_BYTES:
            return Answer(413, {"error": "Bodies have at most a megabyte."})
        request = read_json(environ)
        stored = self._store.put(key, request["body"], request.get("if_version"))
        self._written("put", stored, source)
        return Answer(200, stored.to_json())

    def _delete(self, key: Key, query: dict[str, str], source: str) -> Answer:
        condition = query.get("if_version")
        if_version = None if condition is None else int(condition)
        stored = self._store.delete(key, if_version)
        if stored is None:
            return Answer(404, {"error": f"There is no object {'/'.join(key)}."})
        self._written("delete", stored, source)
        return Answer(200, stored.to_json())

    def _written(self, what: str, stored: StoredObject, source: str) -> None:
        """Log a write that took effect; drop the connection if the control says."""
        self._store.trim(self.control.current.history_limit)
        lost = self._loses_answer(stored.kind)
        body = stored.body if isinstance(stored.body, dict) else {}
        self.log.append(
            "write",
            type=what,
            kind=stored.kind,
            name=stored.name,
            version=stored.version,
            write_id=body.get("write_id"),
            body=stored.body,
            source=source,
            answer_lost=lost,
        )
        if lost:
            raise ConnectionResetError(errno.ECONNRESET, "answer lost")

    def _loses_answer(self, kind: str) -> bool:
        control = self.control.current
        if control.lose_answers <= 0 or control.lose_answers_kind not in (None, kind):
            return False
        control.lose_answers -= 1
        return True

    def _watch(self, query: dict[str, str]) -> Answer:
        kinds = set(query["kinds"].split(","))
        after = int(query["after"])
        until_s = time.monotonic() + float(query.get("wait_s", "0"))
        self._waiting_watches += 1
        try:
            return self._watch_until(after, kinds, until_s)
        finally:
            self._waiting_watches -= 1

    def _watch_until(self, after: int, kinds: set[str], until_s: float) -> Answer:
        while True:
            if self._unavailable():
                return Answer(503, {"error": "The platform has an outage."})
            events = self._store.events_after(after, kinds)
            if events is None:
                return Answer(410, {"error": "The history is shorter; list again."})
            remaining_s = until_s - time.monotonic()
            if events or remaining_s <= 0:
                return self._watch_answer(events)
            self._store.changed.wait(remaining_s)

    def _watch_answer(self, events: list[StoreEvent]) -> Answer:
        listed = [{"type": e.type, "object": e.object.to_json()} for e in events]
        return Answer(200, {"revision": self._store.revision, "events": listed})

    def _get_instances(self) -> Answer:
        lag_s = self.control.current.instances_lag_s
        seen = self._directory.seen(lag_s, time.monotonic())
        return Answer(200, {"age_ms": int(lag_s * 1000), "instances": seen})

    def _set_instances(self, listed: Any) -> Any:
        entries = [InstanceEntry.model_validate(entry) for entry in listed]
        instances = [entry.model_dump() for entry in entries]
        self._directory.set(instances, time.monotonic())
        self.log.append("instances", instances=instances)
        return instances

    def _control_changed(self) -> None:
        self._store.trim(self.control.current.history_limit)
        self._store.wake()

    def _stats(self) -> dict[str, Any]:
        now_s = time.monotonic()
        return {
            "revision": self._store.revision,
            "waiting_watches": self._waiting_watches,
            "sources": {ip: calls.to_json(now_s) for ip, calls in self._calls.items()},
        }


def main(settings: str | None = None, **flags: Any) -> None:
    """Run the platform stand-in until SIGTERM.

    Parameters
    ----------
    settings : str, optional
        Path of a settings file with the fields of `PlatformSettings`.
    **flags
        Fields that override the file.
    """
    loaded = load_settings(PlatformSettings, settings, flags)
    platform = Platform(loaded)
    api = json_server(loaded.listen, platform.answer)
    control = json_server(loaded.control_listen, platform.control.answer)
    run_until_terminated(
        {
            "api": format_address(api.address),
            "control": format_address(control.address),
        }
    )


if __name__ == "__main__":
    fire.Fire(main)

"""Stand-in for the platform: object API, instance list and injected faults.

Run it with ``python -m standins.platform --settings FILE`` or with flags of the
same names as the fields of `PlatformSettings`.  The API listens on ``listen`` and
the control endpoint on ``control_listen``, so that faults of the API do not
affect the control endpoint.
"""

import collections
import errno
import time
import urllib.parse
from typing import Any

import fire
import gevent

from standins._callrates import CallCounter, RateLimit
from standins._objectstore import (
    Key,
    ObjectStore,
    StoredObject,
    StoreEvent,
    VersionConflictError,
)
from standins._platformsettings import InstanceEntry, PlatformSettings, PutRequest
from standins.control import (
    Answer,
    BodyLostError,
    Control,
    EventLog,
    format_address,
    json_server,
    load_settings,
    read_json,
)
from standins.process import run_until_stopped

__all__ = ["Platform", "main"]

_MAX_BODY_BYTES = 1024 * 1024
_RETRY_AFTER_S = 1


class InstanceDirectory:
    """History of the instance list, which is served with a lag."""

    def __init__(self) -> None:
        self._lists: list[tuple[float, list[dict[str, Any]]]] = []

    def set(self, instances: list[dict[str, Any]], now_s: float) -> None:
        """Set the current instance list."""
        # The first list is valid for all earlier times, so that a fleet can start
        # despite the lag.
        since_s = now_s if self._lists else float("-inf")
        self._lists.append((since_s, instances))

    def list_at(self, lag_s: float, now_s: float) -> list[dict[str, Any]]:
        """Return the instance list as it was `lag_s` before `now_s`."""
        at_s = now_s - lag_s
        known = [listed for since_s, listed in self._lists if since_s <= at_s]
        return known[-1] if known else []


class Platform:
    """Object API on top of a store, with rate limits and faults.

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
        self._all_calls = CallCounter()
        self._calls: collections.defaultdict[str, CallCounter]
        self._calls = collections.defaultdict(CallCounter)
        self._waiting_watches = 0
        self._held_calls = 0
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
        except BodyLostError as error:
            # The caller ended or lost its connection during the call.
            self.log.append("body_lost", source=source, error=str(error))
            return Answer(400, {"error": f"The body ended early: {error}."})
        except (ValueError, KeyError) as error:
            return Answer(400, {"error": f"Malformed call: {error!r}."})

    def _unavailable(self) -> bool:
        """Apply an outage: wait, drop the connection, or return True for a 503."""
        while self.control.current.outage == "hang":
            self._held_calls += 1
            self.control.changed.wait()
            self._held_calls -= 1
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
        for counter in (self._all_calls, self._calls[source]):
            counter.add(what if admitted else "limited", now_s)
        return admitted

    def _route(self, method: str, environ: dict[str, Any], source: str) -> Answer:
        # WSGI passes the bytes of the path decoded as Latin-1.
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
        request = PutRequest.model_validate(read_json(environ))
        stored = self._store.put(key, request.body, request.if_version)
        self._log_write("put", stored, source)
        return Answer(200, stored.to_json())

    def _delete(self, key: Key, query: dict[str, str], source: str) -> Answer:
        condition = query.get("if_version")
        if_version = None if condition is None else int(condition)
        stored = self._store.delete(key, if_version)
        if stored is None:
            return Answer(404, {"error": f"There is no object {'/'.join(key)}."})
        self._log_write("delete", stored, source)
        return Answer(200, stored.to_json())

    def _log_write(self, what: str, stored: StoredObject, source: str) -> None:
        """Log a write that took effect; drops the connection if its answer is lost."""
        self._store.trim_history(self.control.current.history_limit)
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
        shown = self._directory.list_at(lag_s, time.monotonic())
        return Answer(200, {"age_ms": int(lag_s * 1000), "instances": shown})

    def _set_instances(self, listed: Any) -> Any:
        entries = [InstanceEntry.model_validate(entry) for entry in listed]
        instances = [entry.model_dump() for entry in entries]
        self._directory.set(instances, time.monotonic())
        self.log.append("instances", instances=instances)
        return instances

    def _control_changed(self) -> None:
        self._store.trim_history(self.control.current.history_limit)
        self._store.wake_watches()

    def _stats(self) -> dict[str, Any]:
        now_s = time.monotonic()
        return {
            "revision": self._store.revision,
            "waiting_watches": self._waiting_watches,
            "held_calls": self._held_calls,
            "total": self._all_calls.to_json(now_s),
            "sources": {ip: calls.to_json(now_s) for ip, calls in self._calls.items()},
        }


def main(settings: str | None = None, **flags: Any) -> None:
    """Run the platform stand-in until SIGTERM.

    Parameters
    ----------
    settings : str, optional
        Path of a settings file with the fields of `PlatformSettings`.
    **flags
        Fields that override those of the file.
    """
    loaded = load_settings(PlatformSettings, settings, flags)
    platform = Platform(loaded)
    api = json_server(loaded.listen, platform.answer)
    control = json_server(loaded.control_listen, platform.control.answer)
    addresses = {
        "api": format_address(api.address),
        "control": format_address(control.address),
    }
    run_until_stopped({"ready": True, "addresses": addresses}, loaded.max_life_s)


if __name__ == "__main__":
    fire.Fire(main)

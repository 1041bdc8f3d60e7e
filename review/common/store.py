"""The platform's object store: lists, watches, conditional writes, lost answers."""

import asyncio
import contextlib
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

__all__ = ["Store"]

PAGE_ITEMS = 500
HISTORY_S = 20.0
_REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Objects by kind and name, one revision counter and a history of changes.

    Attributes
    ----------
    silent : bool
        Calls that arrive, and answers that are due, are lost: their connections return
        nothing further.
    waiting : dict of int to tuple
        Watches that are waiting: kind, revision and time of the call.
    """

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._events = []
        self._forgotten_revision = 0
        self._changed = asyncio.Condition()
        self.revision = 100
        self.silent = False
        self.lost_calls = []
        """Calls that are never answered."""
        self.waiting = {}
        self._calls = 0
        self.calls_by_kind = {}

    async def start(self, host, port):
        """Serve the store's API on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self):
        """Stop accepting connections."""
        self._server.close()

    async def put(self, kind, name, spec, status=None):
        """Write an object without a condition; return the time of the answer."""
        async with self._changed:
            old = self._objects.get((kind, name))
            if old is None or old["spec"] != spec:
                self._write(kind, name, spec, status)
        return time.monotonic()

    async def delete(self, kind, name):
        """Remove an object."""
        async with self._changed:
            self.revision += 1
            stored = self._objects.pop((kind, name))
            meta = stored["meta"] | {"revision": self.revision}
            self._add_event(kind, stored | {"meta": meta}, True)

    def _write(self, kind, name, spec, status=None):
        self.revision += 1
        old = self._objects.get((kind, name))
        meta = {
            "name": name,
            "revision": self.revision,
            "created": old["meta"]["created"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"meta": meta, "spec": spec, "status": status}
        self._objects[kind, name] = stored
        self._add_event(kind, stored, False)
        return stored

    def _add_event(self, kind, stored, deleted):
        now_s = time.monotonic()
        event = {"object": stored, "deleted": deleted}
        self._events.append((self.revision, kind, event, now_s))
        while self._events and self._events[0][3] < now_s - HISTORY_S:
            self._forgotten_revision = self._events.pop(0)[0]
        self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                size = 0
                for line in head.split("\r\n")[1:]:
                    key, _, value = line.partition(":")
                    if key.lower() == "content-length":
                        size = int(value)
                body = await reader.readexactly(size)
                answer = None
                if not self.silent:
                    answer = await self._answer(method, target, body)
                if answer is None or self.silent:
                    self.lost_calls.append(target)
                    self._record(f"store: {method} {target} is never answered")
                    await reader.read()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} {_REASONS[status]}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            # The client is gone, or the case has ended.
            return
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        path = [unquote(each) for each in parts.path.split("/")[3:]]
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind = path[0]
        what = "watch" if "watch" in query else method
        key = f"{what} {kind}"
        self.calls_by_kind[key] = self.calls_by_kind.get(key, 0) + 1
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
        if method == "GET" and len(path) == 1:
            return 200, self._list(kind, query.get("after", ""))
        if method == "GET":
            stored = self._objects.get((kind, path[1]))
            return (200, stored) if stored else (404, {})
        return await self._change(method, kind, path, query, body)

    def _list(self, kind, after):
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, name] for name in names[:PAGE_ITEMS]]
        return {
            "items": items,
            "more": len(names) > PAGE_ITEMS,
            "as_of": self.revision,
        }

    async def _watch(self, kind, revision, wait_ms):
        self._calls += 1
        call = self._calls
        self.waiting[call] = (kind, revision, time.monotonic())
        try:
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._changed.wait_for(
                            lambda: (
                                revision < self._forgotten_revision
                                or self._events_after(kind, revision)
                            )
                        ),
                        wait_ms / 1000,
                    )
                if revision < self._forgotten_revision:
                    return 410, {}
                events = self._events_after(kind, revision)
                return 200, {"events": events, "as_of": self.revision}
        finally:
            del self.waiting[call]

    def _events_after(self, kind, after):
        return [event for at, k, event, _ in self._events if k == kind and at > after]

    async def _change(self, method, kind, path, query, body):
        sent = json.loads(body) if body else {}
        meta = sent.get("meta", {})
        name = path[1] if len(path) > 1 else meta["name"]
        condition = meta.get("revision") or int(query.get("revision", 0))
        async with self._changed:
            stored = self._objects.get((kind, name))
            if method == "POST":
                if stored is not None:
                    return 409, stored
                return 201, self._write(kind, name, sent.get("spec"))
            if stored is None:
                return 404, {}
            if condition and condition != stored["meta"]["revision"]:
                return 409, stored
            if method == "DELETE":
                self.revision += 1
                del self._objects[kind, name]
                self._add_event(kind, stored, True)
                return 200, stored
            if stored["spec"] == sent.get("spec"):
                return 200, stored
            return 200, self._write(kind, name, sent.get("spec"))

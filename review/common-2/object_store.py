"""Stand-in for the platform's object store.

Objects keep their spec as the bytes that their writer sent.  A spec that is no JSON is
returned as it was written, as the entries of other writers are.
"""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_OBJECTS = 500
MAX_WAIT_S = 30.0
VALUE_BYTES = 1_048_576


async def end_tasks(tasks):
    """Cancel tasks until all have ended, for some seconds at most."""
    pending = set(tasks)
    for _ in range(50):
        if not pending:
            return
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=0.1)


class StoredObject:
    """One object: its metadata and the bytes of its spec and status."""

    def __init__(self, name, spec, revision):
        self.name = name
        self.spec = spec
        self.status = b"null"
        self.created = revision
        self.revision = revision

    def encode(self):
        """Return the object as the store sends it."""
        meta = {
            "name": self.name,
            "revision": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        parts = (json.dumps(meta).encode(), self.spec, self.status)
        return b'{"meta":%b,"spec":%b,"status":%b}' % parts


class ObjectStore:
    """Objects by kind and name, with one revision counter and a history."""

    def __init__(self):
        self.revision = 100
        self.calls = {}
        self._kinds = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = set()

    async def start(self, host):
        """Serve on a free port of a host; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    async def stop(self):
        """Stop serving."""
        self._server.close()
        await end_tasks(self._tasks)

    def put(self, kind, name, spec):
        """Create or replace an object; return the time of the acknowledgement.

        ``spec`` is a JSON value, or the bytes of a writer that sends no JSON.
        """
        data = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        if len(data) > VALUE_BYTES:
            raise ValueError("object is larger than value_bytes")
        self.revision += 1
        objects = self._kinds.setdefault(kind, {})
        stored = objects.get(name)
        if stored is None:
            stored = objects[name] = StoredObject(name, data, self.revision)
        stored.spec, stored.revision = data, self.revision
        self._add_event(kind, stored, False)
        return time.monotonic()

    def refresh(self, kind, name, spec):
        """Replace a spec in which only the sequence number differs: no new revision."""
        stored = self._kinds.get(kind, {}).get(name)
        if stored is not None:
            stored.spec = json.dumps(spec).encode()

    def remove(self, kind, name):
        """Remove an object."""
        stored = self._kinds.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            stored.revision = self.revision
            self._add_event(kind, stored, True)

    def list_names(self, kind):
        """Return the names of a kind's objects."""
        return sorted(self._kinds.get(kind, {}))

    def _add_event(self, kind, stored, deleted):
        flag = b"true" if deleted else b"false"
        event = b'{"deleted":%b,"object":%b}' % (flag, stored.encode())
        self._events.append((self.revision, kind, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ")
                size = 0
                for line in head.decode("latin-1").split("\r\n")[1:]:
                    key, _, value = line.partition(":")
                    if key.lower() == "content-length":
                        size = int(value)
                body = await reader.readexactly(size) if size else b""
                status, data = await self._answer(method, target, body)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The caller went away, or the case ends.
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = [unquote(each) for each in parts.path.strip("/").split("/")]
        kind, name = path[2], (path[3] if len(path) > 3 else "")
        self.calls[method, kind] = self.calls.get((method, kind), 0) + 1
        if method == "GET" and "watch" in query:
            wait_s = min(float(query.get("wait_ms", 0)) / 1000, MAX_WAIT_S)
            return await self._watch(kind, int(query["watch"]), wait_s)
        if method == "GET":
            return self._get(kind, name, query.get("after", ""))
        return self._write(method, kind, name, body)

    def _get(self, kind, name, after):
        objects = self._kinds.get(kind, {})
        if name:
            found = objects.get(name)
            return (404, b"{}") if found is None else (200, found.encode())
        names = [each for each in sorted(objects) if each > after]
        items = b",".join(objects[each].encode() for each in names[:PAGE_OBJECTS])
        more = b"true" if len(names) > PAGE_OBJECTS else b"false"
        page = b'{"items":[%b],"more":%b,"as_of":%d}' % (items, more, self.revision)
        return 200, page

    async def _watch(self, kind, revision, wait_s):
        until_s = time.monotonic() + wait_s
        while True:
            events = [e for at, k, e in self._events if k == kind and at > revision]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        body = b'{"events":[%b],"as_of":%d}' % (b",".join(events), self.revision)
        return 200, body

    def _write(self, method, kind, name, body):
        value = json.loads(body)
        name = name or value["meta"]["name"]
        stored = self._kinds.get(kind, {}).get(name)
        wanted = value["meta"].get("revision")
        if method == "POST" and stored is not None:
            return 409, stored.encode()
        if method == "PUT" and stored is None:
            return 404, b"{}"
        if method == "PUT" and wanted not in (None, stored.revision):
            return 409, stored.encode()
        self.put(kind, name, value["spec"])
        return 200, self._kinds[kind][name].encode()

"""Scaffolding for tests of planned changes: callers, their work and its evidence."""

import itertools
import json
import unittest
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

import gevent
from returns.result import Success

from endivepick.client import (
    CallerSettings,
    EventStream,
    Flow,
    PendingRequest,
    open_caller,
)
from endivepick.tests.promises._waiting import in_thread, wait
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.evidence import read_evidence
from standins.nodes import Instance
from standins.payload import verify_answer
from standins.shapes import SMALL, Shape

__all__ = ["PlannedChangeTestCase", "StreamReader", "Work"]

SESSIONS, EXPORTS = "sessions", "exports"
_numbers = itertools.count(1)


def roomy(shape: Shape, slots: int = 16) -> Shape:
    """Give all targets so many slots that requests seldom wait for each other."""
    services = [
        replace(s, targets=tuple(replace(t, slots=slots) for t in s.targets))
        for s in shape.services
    ]
    return replace(shape, services=tuple(services))


def _takes_roles(peer: dict[str, Any]) -> bool:
    return bool(peer["ready"]) and peer["state"] == "alive"


@dataclass(frozen=True)
class Work:
    """A request that was sent to a target's ``/work``."""

    echo: str
    pending: PendingRequest


class StreamReader:
    """Reads an event stream in a task of its own."""

    def __init__(self, stream: EventStream) -> None:
        self.ids: list[int] = []
        self.end = ""
        self._stream = stream
        self._task = gevent.spawn(self._read)

    def _read(self) -> None:
        try:
            for event in self._stream:
                self.ids.append(int(event.event_id))
            self.end = "ended"
        except Exception as error:
            self.end = repr(error)

    def close(self) -> None:
        """Give the stream up."""
        self._task.kill()
        self._stream.close()


class PlannedChangeTestCase(unittest.TestCase):
    """One installation for all tests of a class, and a new caller for each."""

    settings = ClusterSettings(roomy(SMALL), faults=True)
    cluster: Cluster

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.cluster = cls.enterClassContext(cluster(cls.settings))

    def setUp(self) -> None:
        settings = CallerSettings(fabric_address=self.cluster.fabric_address)
        self.caller = self.enterContext(open_caller(settings))

    # Instances.

    def owner_of(self, service: str) -> str:
        """Return the instance at which a new flow of a service is held."""
        wait(self._all_agree, "one view of all instances")
        before = self.flows_held(self.cluster.instances)
        self.open(service)
        after = self.flows_held(self.cluster.instances)
        return max(after, key=lambda name: after[name] - before[name])

    def flows_held(self, names: Iterable[str]) -> dict[str, int]:
        """Return how many flows each of these instances holds."""
        return {name: self.flows_at(name) for name in names}

    def _all_agree(self) -> bool:
        names = set(self.cluster.instances)
        views = [
            in_thread(instance.status)["peers"]
            for instance in self.cluster.instances.values()
        ]
        return all(
            names == {peer["name"] for peer in view if _takes_roles(peer)}
            for view in views
        )

    def flows_at(self, name: str) -> int:
        return int(in_thread(self.cluster.instances[name].status)["flows"])

    def begin_stop(self, name: str) -> None:
        """Begin a planned stop; whatever is stopped is started after the test."""
        self.addCleanup(self.start_missing)
        self.addCleanup(self._end_stop, self.cluster.instances[name])
        in_thread(self.cluster.begin_stop, name)

    def _end_stop(self, instance: Instance) -> None:
        name = instance.plan.name
        if self.cluster.instances.get(name) is instance:
            self.finish_stop(name)

    def finish_stop(self, name: str) -> int:
        return int(in_thread(self.cluster.finish_stop, name))

    def stop(self, name: str) -> int:
        """Stop an instance as planned; return its exit status."""
        self.begin_stop(name)
        return self.finish_stop(name)

    def start_missing(self) -> None:
        """Bring the installation back to its full size."""
        names = {plan.name for plan in self.cluster.shape.instances}
        missing = names - set(self.cluster.instances)
        if missing:
            in_thread(self.cluster.start_instances, sorted(missing))

    # Work.

    def open(self, service: str) -> Flow:
        return self.caller.open(service, deadline_s=20.0).unwrap()

    def send(
        self,
        flow: Flow,
        work_ms: float = 0,
        answer_bytes: int = 100,
        idempotent: bool = False,
        deadline_s: float = 25.0,
        filler_bytes: int = 0,
    ) -> Work:
        echo = f"{self.id().rpartition('.')[2]}.{next(_numbers)}"
        body = {"work_ms": work_ms, "answer_bytes": answer_bytes, "echo": echo}
        pending = flow.send(
            "POST",
            "/work",
            body=json.dumps(body).encode() + b" " * filler_bytes,
            idempotent=idempotent,
            deadline_s=deadline_s,
        )
        return Work(echo, pending)

    def stream(self, flow: Flow, interval_ms: float = 20, count: int = 100_000):
        path = f"/events?count={count}&interval_ms={interval_ms}&echo=s{next(_numbers)}"
        reader = StreamReader(flow.stream(path))
        self.addCleanup(reader.close)
        wait(lambda: reader.ids or reader.end, "the first event")
        return reader

    def wait_running(self, works: Iterable[Work]) -> None:
        """Wait until the targets have begun to run these requests."""
        echoes = {work.echo for work in works}
        wait(lambda: echoes <= self.runs().keys(), "requests to run")

    def runs(self) -> dict[str, list[Any]]:
        """Return what the targets ran, by ``echo``."""
        logs = self.cluster.launcher.logs("targets")
        return read_evidence([], logs, []).runs_by_echo()

    # Verdicts.

    def assert_answered(self, works: Iterable[Work]) -> None:
        """Check that each request got its whole answer and ran once."""
        for work in works:
            result = work.pending.result()
            self.assertIsInstance(result, Success, f"{work.echo}: {result}")
            verdict = verify_answer(result.unwrap().body, work.echo)
            self.assertEqual(verdict, "whole", work.echo)
            self.assertEqual(len(self.runs()[work.echo]), 1, work.echo)

    def assert_goes_on(self, reader: StreamReader) -> None:
        """Check that a stream still brings events, and brought each once."""
        seen = len(reader.ids)
        wait(lambda: reader.end or len(reader.ids) > seen + 5, "more events")
        self.assertEqual(reader.end, "")
        self.assertEqual(reader.ids, list(range(1, len(reader.ids) + 1)))

"""Scaffolding for tests in which instances, links and targets fail."""

import itertools
import json
import unittest
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from endivepick.client import (
    Answer,
    Caller,
    CallerSettings,
    Flow,
    NotRun,
    PendingRequest,
    RequestError,
    open_caller,
)
from endivepick.core.rendezvous import owner
from endivepick.tests.promises._raw_caller import RawCaller, RawRequest
from endivepick.tests.promises._waiting import in_thread, wait
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.jsonlines import read_lines
from standins.payload import verify_answer
from standins.shapes import SMALL

__all__ = ["EXPORTS", "SESSIONS", "DisturbedTestCase", "Work"]

SESSIONS, EXPORTS = "sessions", "exports"
_REPEAT_S = 0.3
_RAN = ("start", "stream_start")
# Targets that failed in one test serve again in the next without delay.
_INSTANCE_SETTINGS: dict[str, dict[str, Any]] = {
    "log": {"level": "debug"},
    "dispatch": {
        "slow_start_s": 0,
        "ejection_s": 0.2,
        "ejection_limit_s": 0.5,
        "trial_idempotent_s": 0,
    },
}
_NO_FAULTS = {
    "drain": False,
    "shed": False,
    "stuck": False,
    "close_after_run": False,
    "answer_delay_ms": 0,
}
_NO_LOSS = {"loss": 0.0, "duplicate": 0.0, "delay_ms_min": 0.0, "delay_ms_max": 0.0}


@dataclass(frozen=True)
class Work:
    """A request of the caller library."""

    echo: str
    idempotent: bool
    pending: PendingRequest

    def result(self) -> Result[Answer, RequestError]:
        """Wait for its end."""
        return self.pending.result()


@dataclass
class TargetEvents:
    """What the targets logged."""

    lines: list[dict[str, Any]] = field(default_factory=list)

    def count(self, field_name: str, *events: str) -> Counter[str]:
        """Count events by ``key`` or ``echo``."""
        wanted = events or _RAN
        return Counter(
            line[field_name] for line in self.lines if line["event"] in wanted
        )


class DisturbedTestCase(unittest.TestCase):
    """One installation for all tests of a class; each test leaves it healthy."""

    settings = ClusterSettings(
        SMALL,
        faults=True,
        instance_settings=_INSTANCE_SETTINGS,
        record_settings={"waiting_per_slot": 64},
    )
    cluster: Cluster

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.cluster = cls.enterClassContext(cluster(cls.settings))

    def setUp(self) -> None:
        self._numbers = itertools.count(1)
        self._works: list[Work] = []
        self._raw_callers: list[RawCaller] = []
        self.addCleanup(self._mend)
        self._clean_up = self.enterContext(ExitStack())
        self._wait_healthy()

    # State of the installation.

    def _mend(self) -> None:
        """Take back all faults and start what is missing."""
        for name in self.cluster.instances:
            self.cluster.thaw_instance(name)
        for target in self.cluster.targets.values():
            in_thread(target.control, **_NO_FAULTS)
        self.spray(None)
        self.disturb_fabric()
        in_thread(self.cluster.heal)
        for name in self.cluster.leaving:
            self.finish_stop(name)
        names = {plan.name for plan in self.cluster.shape.instances}
        missing = sorted(names - set(self.cluster.instances))
        if missing:
            in_thread(self.cluster.start_instances, missing)

    def _wait_healthy(self) -> None:
        """Wait until all see each other, and all targets have passed their trials."""
        names = set(self.cluster.instances)
        wait(
            lambda: all(self._sees_all(name, names) for name in names),
            "instances",
            self._views,
        )
        caller = self.new_caller()
        for service in (SESSIONS, EXPORTS):
            flows = [self.open(caller, service) for _ in range(2)]
            wait(lambda flows=flows: self._serve_fully(flows), "targets to be ready")

    def _views(self) -> dict[str, list[str]]:
        """Return what each instance says of itself and of the others."""
        views = {}
        for name in self.cluster.instances:
            status = self.status(name)
            seen = [f"{p['name']} {p['state']} {p['ready']}" for p in status["peers"]]
            views[name] = [status["state"], *seen]
        return views

    def _sees_all(self, name: str, names: set[str]) -> bool:
        peers = self.status(name)["peers"]
        alive = {p["name"] for p in peers if p["state"] == "alive" and p["ready"]}
        return alive >= names

    def _serve_fully(self, flows: list[Flow]) -> bool:
        """Send a request on each flow; tell whether all targets serve fully."""
        for work in [self.send(flow, idempotent=True) for flow in flows]:
            work.result()
        return all(
            target["state"] == "ready"
            for name in self.cluster.instances
            for service in self.status(name)["services"]
            if service["service"] == flows[0].service
            for target in service["targets"]
        )

    def status(self, name: str) -> dict[str, Any]:
        """Return what an instance shows of itself."""
        status: dict[str, Any] = in_thread(self.cluster.instances[name].status)
        return status

    def owner_of(self, service: str, without: Iterable[str] = ()) -> str:
        """Return the instance that a service falls to if some are not there."""
        name = owner(service, sorted(set(self.cluster.instances) - set(without)))
        assert name is not None
        return name

    def others(self, name: str) -> list[str]:
        """Return the other instances."""
        return sorted(set(self.cluster.instances) - {name})

    def spray(self, names: Iterable[str] | None) -> None:
        """Hand packets of callers to these instances only; None: to all."""
        wanted = None if names is None else sorted(names)
        in_thread(self.cluster.control_fabric, only_instances=wanted)

    def disturb_fabric(self, **faults: float) -> None:
        """Set the faults of the fabric in both directions; none: take them back."""
        in_thread(
            self.cluster.control_fabric,
            to_instances=_NO_LOSS | faults,
            to_callers=_NO_LOSS | faults,
        )

    def disturb_callers(self, **faults: float) -> None:
        """Set the faults of the fabric towards callers only."""
        in_thread(self.cluster.control_fabric, to_callers=_NO_LOSS | faults)

    def add_rule(
        self, kind: str, action: dict[str, Any] | None = None, **match: str
    ) -> None:
        """Add a rule to the fault proxy."""
        assert self.cluster.faults is not None
        in_thread(
            self.cluster.faults.add_rule, {"type": kind} | (action or {}), **match
        )

    def heal(self) -> None:
        """Take back all rules and cuts."""
        in_thread(self.cluster.heal)

    def control_targets(self, service: str, **change: Any) -> None:
        """Switch faults of all targets of a service."""
        for target in self.cluster.service_targets(service):
            in_thread(target.control, **change)

    def wait_given_up(self, name: str) -> None:
        """Wait until all others have given an instance up."""
        self._wait_seen(name, "dead")

    def wait_suspected(self, name: str) -> None:
        """Wait until all others suspect an instance."""
        self._wait_seen(name, "suspect")

    def _wait_seen(self, name: str, state: str) -> None:
        others = self.others(name)
        wait(
            lambda: all(self._sees(other, name, state) for other in others),
            f"{name} to be {state}",
        )

    def _sees(self, name: str, peer_name: str, state: str) -> bool:
        peers = self.status(name)["peers"]
        return any(p["name"] == peer_name and p["state"] == state for p in peers)

    def begin_stop(self, name: str) -> None:
        """Begin the planned stop of an instance."""
        in_thread(self.cluster.begin_stop, name)

    def begin_stop_unaccepted(self, name: str, successor: str) -> None:
        """Begin a planned stop; what the successor answers does not come through."""
        # Right after the start a first probe may have been late.
        wait(lambda: self._sees(name, successor, "alive"), f"{successor} to be alive")
        # Paused meanwhile, it cannot suspect the successor before it chooses it.
        self.cluster.freeze_instance(name)
        self.add_rule("blackhole", source=successor, route=f"peer:{name}")
        self.begin_stop(name)
        self.cluster.thaw_instance(name)

    def finish_stop(self, name: str) -> int:
        """Wait for its end; returns the exit status."""
        return int(in_thread(self.cluster.finish_stop, name))

    @contextmanager
    def frozen(self, name: str) -> Iterator[None]:
        """Pause an instance; at the end its peers give it up, then it goes on."""
        self.cluster.freeze_instance(name)
        yield
        self.wait_given_up(name)
        self.cluster.thaw_instance(name)

    def wait_logged(self, name: str, event: str, count: int = 1) -> None:
        """Wait until an instance has logged an event so many times."""
        path = self.cluster.instances[name].log

        def seen() -> bool:
            events = [line.get("event") for line in read_lines(path)]
            return events.count(event) >= count

        wait(seen, f"{event} at {name}")

    # Callers.

    def new_caller(self) -> Caller:
        """Return a new caller of the library."""
        settings = CallerSettings(fabric_address=self.cluster.fabric_address)
        return self._clean_up.enter_context(open_caller(settings))

    def new_raw_caller(self) -> RawCaller:
        """Return a new caller that repeats nothing by itself."""
        name = f"{self._name}.raw{len(self._raw_callers)}"
        caller = RawCaller(self.cluster.fabric_address, name)
        self._clean_up.callback(caller.close)
        self._raw_callers.append(caller)
        return caller

    @property
    def _name(self) -> str:
        return self.id().rpartition(".")[2]

    def open(self, caller: Caller, service: str) -> Flow:
        """Open a flow."""
        match caller.open(service, deadline_s=20.0):
            case Success(flow):
                return flow
            case failure:
                self.fail(f"no flow opened: {failure}")

    def send(
        self,
        flow: Flow,
        work_ms: float = 0,
        answer_bytes: int = 100,
        idempotent: bool = False,
        deadline_s: float = 30.0,
    ) -> Work:
        """Send a request to a target's ``/work``."""
        echo = f"{self._name}.{next(self._numbers)}"
        body = {"work_ms": work_ms, "answer_bytes": answer_bytes, "echo": echo}
        pending = flow.send(
            "POST",
            "/work",
            body=json.dumps(body).encode(),
            idempotent=idempotent,
            deadline_s=deadline_s,
        )
        work = Work(echo, idempotent, pending)
        self._works.append(work)
        return work

    # Evidence.

    def target_events(self) -> TargetEvents:
        """Read the targets' logs."""
        paths = self.cluster.launcher.logs("targets")
        return TargetEvents([line for path in paths for line in read_lines(path)])

    def runs(self) -> Counter[str]:
        """Return how often each request was started, by ``echo``."""
        return self.target_events().count("echo")

    def wait_running(self, echoes: Iterable[str]) -> None:
        """Wait until the targets have started these requests."""
        wanted = set(echoes)
        wait(lambda: wanted <= self.runs().keys(), "requests to run")

    def send_until_running(
        self, caller: RawCaller, requests: Iterable[RawRequest]
    ) -> None:
        """Send copies until the targets have started each request.

        An instance that takes the owner for lost passes nothing on and offers a new
        token instead, which a caller that hears nothing never learns.
        """
        wanted = list(requests)

        def all_run() -> bool:
            started = self.runs()
            left = [request for request in wanted if not started[request.echo]]
            caller.send(left)
            return not left

        wait(all_run, "requests to run", poll_s=_REPEAT_S)

    def wait_words(self, caller: RawCaller, requests: Iterable[RawRequest]) -> None:
        """Send copies until each request has a word, or its flow a new token."""
        wanted = list(requests)
        caller.send(wanted)

        def all_have_one() -> bool:
            left = [request for request in wanted if not caller.words(request)]
            caller.send(left)
            return not left

        wait(all_have_one, "a word about requests")

    def wait_relayed(self, requests: Iterable[RawRequest]) -> None:
        """Wait until a relay that suspects the owner has had each request."""
        wanted = {(f"{request.flow.flow_id:016x}", request.seq) for request in requests}
        logs = [instance.log for instance in self.cluster.instances.values()]

        def all_seen() -> bool:
            lines = [line for path in logs for line in read_lines(path)]
            return wanted <= {
                (line["flow"], line["seq"])
                for line in lines
                if line.get("event") == "holder_suspected"
            }

        wait(all_seen, "relays to have the requests")

    def wait_idle(self) -> None:
        """Wait until no target and no owner has anything left to do."""
        wait(self._is_idle, "all work to end")

    def _is_idle(self) -> bool:
        for target in self.cluster.targets.values():
            if in_thread(target.load)["in_progress"]:
                return False
        services = [
            s for n in self.cluster.instances for s in self.status(n)["services"]
        ]
        return not any(
            service["waiting"] or any(t["in_flight"] for t in service["targets"])
            for service in services
        )

    # Verdicts.

    def assert_whole(self, work: Work) -> None:
        """Check that a request got its own whole answer."""
        result = work.result()
        self.assertIsInstance(result, Success, f"{work.echo}: {result}")
        verdict = verify_answer(result.unwrap().body, work.echo)
        self.assertEqual(verdict, "whole", work.echo)

    def send_late_copies(self) -> None:
        """Send copies of all raw requests through each instance in turn."""
        for name in sorted(self.cluster.instances):
            self.spray([name])
            for caller in self._raw_callers:
                self._send_until_heard(caller)
        self.spray(None)

    def _send_until_heard(self, caller: RawCaller) -> None:
        heard = {request.key: caller.heard(request) for request in caller.requests}

        def all_heard() -> bool:
            left = [r for r in caller.requests if caller.heard(r) == heard[r.key]]
            caller.send(left)
            return not left

        wait(all_heard, "a reply to late copies", poll_s=_REPEAT_S)

    def assert_promises(self) -> None:
        """Check "not run" and "at most once" for all that this test sent."""
        self.send_late_copies()
        self.wait_idle()
        events = self.target_events()
        by_echo, by_key = events.count("echo"), events.count("key")
        for work in self._works:
            self._assert_work(work, by_echo[work.echo])
        for caller in self._raw_callers:
            for request in caller.requests:
                self.assertEqual(by_key[request.key], by_echo[request.echo])
                self._assert_raw(caller, request, by_echo[request.echo])

    def _assert_work(self, work: Work, runs: int) -> None:
        result = work.result()
        match result:
            case Failure(NotRun()):
                self.assertEqual(runs, 0, f"{work.echo}: {result}")
            case Success():
                self.assertGreaterEqual(runs, 1, work.echo)
        if not work.idempotent:
            self.assertLessEqual(runs, 1, work.echo)

    def _assert_raw(self, caller: RawCaller, request: RawRequest, runs: int) -> None:
        if caller.was_refused(request):
            self.assertEqual(runs, 0, f"{request.echo}: {caller.words(request)}")
        if not request.idempotent:
            self.assertLessEqual(runs, 1, request.echo)

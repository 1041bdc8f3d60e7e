"""Test case that injects faults into instances, links and targets."""

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
from endivepick.tests.promises._waiting import call_in_thread, wait
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.jsonlines import read_lines
from standins.payload import verify_answer
from standins.shapes import SMALL

__all__ = ["EXPORTS", "SESSIONS", "FaultInjectionTestCase", "WorkRequest"]

SESSIONS, EXPORTS = "sessions", "exports"
_REPEAT_S = 0.3
_RUN_EVENTS = ("start", "stream_start")
# Short ejections let targets that failed in one test serve in the next without delay.
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
class WorkRequest:
    """Request that was sent with the caller library."""

    echo: str
    idempotent: bool
    pending: PendingRequest

    def result(self) -> Result[Answer, RequestError]:
        """Wait for the request to end and return its result."""
        return self.pending.result()


@dataclass
class TargetEvents:
    """Events that the targets logged."""

    lines: list[dict[str, Any]] = field(default_factory=list)

    def count(self, field_name: str, *events: str) -> Counter[str]:
        """Count events by a field, such as ``key`` or ``echo``."""
        wanted = events or _RUN_EVENTS
        return Counter(
            line[field_name] for line in self.lines if line["event"] in wanted
        )


class FaultInjectionTestCase(unittest.TestCase):
    """Runs one cluster for all tests of a class; each test restores it."""

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
        self._works: list[WorkRequest] = []
        self._raw_callers: list[RawCaller] = []
        self.addCleanup(self._restore_cluster)
        self._clean_up = self.enterContext(ExitStack())
        self._wait_healthy()

    # State of the cluster.

    def _restore_cluster(self) -> None:
        """Remove all faults and start missing instances."""
        for name in self.cluster.instances:
            self.cluster.thaw_instance(name)
        for target in self.cluster.targets.values():
            call_in_thread(target.control, **_NO_FAULTS)
        self.route_callers_to(None)
        self.set_fabric_faults()
        call_in_thread(self.cluster.heal)
        for name in self.cluster.leaving:
            self.finish_stop(name)
        names = {plan.name for plan in self.cluster.shape.instances}
        missing = sorted(names - set(self.cluster.instances))
        if missing:
            call_in_thread(self.cluster.start_instances, missing)

    def _wait_healthy(self) -> None:
        """Wait until all instances see each other and no target is on probation."""
        names = set(self.cluster.instances)
        wait(
            lambda: all(self._sees_all_ready(name, names) for name in names),
            "instances",
            self._membership_views,
        )
        caller = self.new_caller()
        for service in (SESSIONS, EXPORTS):
            flows = [self.open(caller, service) for _ in range(2)]
            wait(
                lambda flows=flows: self._all_targets_ready(flows),
                "targets to be ready",
            )

    def _membership_views(self) -> dict[str, list[str]]:
        """Return each instance's own state and its view of its peers."""
        views = {}
        for name in self.cluster.instances:
            status = self.status(name)
            seen = [f"{p['name']} {p['state']} {p['ready']}" for p in status["peers"]]
            views[name] = [status["state"], *seen]
        return views

    def _sees_all_ready(self, name: str, names: set[str]) -> bool:
        peers = self.status(name)["peers"]
        alive = {p["name"] for p in peers if p["state"] == "alive" and p["ready"]}
        return alive >= names

    def _all_targets_ready(self, flows: list[Flow]) -> bool:
        """Send a request on each flow and tell whether all targets are ready."""
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
        """Return the status of an instance."""
        status: dict[str, Any] = call_in_thread(self.cluster.instances[name].status)
        return status

    def owner_of(self, service: str, without: Iterable[str] = ()) -> str:
        """Return the owner of a service, computed without some instances."""
        name = owner(service, sorted(set(self.cluster.instances) - set(without)))
        assert name is not None
        return name

    def others(self, name: str) -> list[str]:
        """Return the names of all other instances."""
        return sorted(set(self.cluster.instances) - {name})

    def route_callers_to(self, names: Iterable[str] | None) -> None:
        """Deliver packets of callers to these instances only, or to all if None."""
        wanted = None if names is None else sorted(names)
        call_in_thread(self.cluster.control_fabric, only_instances=wanted)

    def set_fabric_faults(self, **faults: float) -> None:
        """Set the fabric's faults in both directions; no arguments: remove them."""
        call_in_thread(
            self.cluster.control_fabric,
            to_instances=_NO_LOSS | faults,
            to_callers=_NO_LOSS | faults,
        )

    def set_faults_towards_callers(self, **faults: float) -> None:
        """Set the fabric's faults in the direction of callers only."""
        call_in_thread(self.cluster.control_fabric, to_callers=_NO_LOSS | faults)

    def add_rule(
        self, kind: str, action: dict[str, Any] | None = None, **match: str
    ) -> None:
        """Add a rule to the fault proxy."""
        assert self.cluster.faults is not None
        call_in_thread(
            self.cluster.faults.add_rule, {"type": kind} | (action or {}), **match
        )

    def heal(self) -> None:
        """Remove all rules and cuts."""
        call_in_thread(self.cluster.heal)

    def control_targets(self, service: str, **change: Any) -> None:
        """Change the faults of all targets of a service."""
        for target in self.cluster.service_targets(service):
            call_in_thread(target.control, **change)

    def wait_declared_dead(self, name: str) -> None:
        """Wait until all other instances have declared an instance dead."""
        self._wait_for_state(name, "dead")

    def wait_suspected(self, name: str) -> None:
        """Wait until all other instances suspect an instance."""
        self._wait_for_state(name, "suspect")

    def _wait_for_state(self, name: str, state: str) -> None:
        others = self.others(name)
        wait(
            lambda: all(self._peer_has_state(other, name, state) for other in others),
            f"{name} to be {state}",
        )

    def _peer_has_state(self, name: str, peer_name: str, state: str) -> bool:
        peers = self.status(name)["peers"]
        return any(p["name"] == peer_name and p["state"] == state for p in peers)

    def begin_stop(self, name: str) -> None:
        """Begin the planned stop of an instance."""
        call_in_thread(self.cluster.begin_stop, name)

    def begin_stop_without_acceptance(self, name: str, successor: str) -> None:
        """Begin a planned stop in which the successor's replies are lost."""
        # Right after the start a late first probe may have raised a suspicion.
        wait(
            lambda: self._peer_has_state(name, successor, "alive"),
            f"{successor} to be alive",
        )
        # The instance is paused so that it cannot suspect the successor because of the
        # rule before it chooses this successor.
        self.cluster.freeze_instance(name)
        self.add_rule("blackhole", source=successor, route=f"peer:{name}")
        self.begin_stop(name)
        self.cluster.thaw_instance(name)

    def finish_stop(self, name: str) -> int:
        """Wait until an instance has ended and return its exit status."""
        return int(call_in_thread(self.cluster.finish_stop, name))

    @contextmanager
    def paused(self, name: str) -> Iterator[None]:
        """Pause an instance in the block; resume it once its peers declare it dead."""
        self.cluster.freeze_instance(name)
        yield
        self.wait_declared_dead(name)
        self.cluster.thaw_instance(name)

    def wait_logged(self, name: str, event: str, count: int = 1) -> None:
        """Wait until an instance has logged an event ``count`` times."""
        path = self.cluster.instances[name].log

        def seen() -> bool:
            events = [line.get("event") for line in read_lines(path)]
            return events.count(event) >= count

        wait(seen, f"{event} at {name}")

    # Callers.

    def new_caller(self) -> Caller:
        """Return a new caller that uses the caller library."""
        settings = CallerSettings(fabric_address=self.cluster.fabric_address)
        return self._clean_up.enter_context(open_caller(settings))

    def new_raw_caller(self) -> RawCaller:
        """Return a new caller that retransmits no request by itself."""
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
    ) -> WorkRequest:
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
        work = WorkRequest(echo, idempotent, pending)
        self._works.append(work)
        return work

    # Evidence.

    def target_events(self) -> TargetEvents:
        """Return the events in all targets' logs."""
        paths = self.cluster.launcher.logs("targets")
        return TargetEvents([line for path in paths for line in read_lines(path)])

    def runs(self) -> Counter[str]:
        """Return the number of starts of each request, by ``echo``."""
        return self.target_events().count("echo")

    def wait_running(self, echoes: Iterable[str]) -> None:
        """Wait until the targets have started these requests."""
        wanted = set(echoes)
        wait(lambda: wanted <= self.runs().keys(), "requests to run")

    def send_until_running(
        self, caller: RawCaller, requests: Iterable[RawRequest]
    ) -> None:
        """Send copies until the targets have started each request.

        An instance that considers the owner lost relays nothing and issues a new token
        instead. A caller that receives no packets never learns that token, so a single
        copy is not enough.
        """
        wanted = list(requests)

        def all_run() -> bool:
            started = self.runs()
            left = [request for request in wanted if not started[request.echo]]
            caller.send(left)
            return not left

        wait(all_run, "requests to run", poll_s=_REPEAT_S)

    def wait_for_replies(
        self, caller: RawCaller, requests: Iterable[RawRequest]
    ) -> None:
        """Send copies until each request has a reply."""
        wanted = list(requests)
        caller.send(wanted)

        def all_have_reply() -> bool:
            left = [request for request in wanted if not caller.replies(request)]
            caller.send(left)
            return not left

        wait(all_have_reply, "a reply to each request")

    def wait_received_by_relays(self, requests: Iterable[RawRequest]) -> None:
        """Wait until relays that suspect the owner have received each request."""
        wanted = {(f"{request.flow.flow_id:016x}", request.seq) for request in requests}
        logs = [instance.log for instance in self.cluster.instances.values()]

        def all_seen() -> bool:
            lines = [line for path in logs for line in read_lines(path)]
            return wanted <= {
                (line["flow"], line["seq"])
                for line in lines
                if line.get("event") == "holder_suspected"
            }

        wait(all_seen, "relays to receive the requests")

    def wait_idle(self) -> None:
        """Wait until no request runs at a target or waits at an owner."""
        wait(self._is_idle, "all work to end")

    def _is_idle(self) -> bool:
        for target in self.cluster.targets.values():
            if call_in_thread(target.load)["in_progress"]:
                return False
        services = [
            s for n in self.cluster.instances for s in self.status(n)["services"]
        ]
        return not any(
            service["waiting"] or any(t["in_flight"] for t in service["targets"])
            for service in services
        )

    # Checks.

    def assert_whole(self, work: WorkRequest) -> None:
        """Check that a request got its own complete answer."""
        result = work.result()
        self.assertIsInstance(result, Success, f"{work.echo}: {result}")
        verdict = verify_answer(result.unwrap().body, work.echo)
        self.assertEqual(verdict, "whole", work.echo)

    def send_late_copies(self) -> None:
        """Send copies of all raw requests through each instance in turn."""
        for name in sorted(self.cluster.instances):
            self.route_callers_to([name])
            for caller in self._raw_callers:
                self._send_until_each_has_reply(caller)
        self.route_callers_to(None)

    def _send_until_each_has_reply(self, caller: RawCaller) -> None:
        counts_before = {
            request.key: caller.count_packets(request) for request in caller.requests
        }

        def all_replied_again() -> bool:
            left = [
                r
                for r in caller.requests
                if caller.count_packets(r) == counts_before[r.key]
            ]
            caller.send(left)
            return not left

        wait(all_replied_again, "a reply to late copies", poll_s=_REPEAT_S)

    def assert_promises(self) -> None:
        """Check "not run" and "at most once" for all requests of this test."""
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

    def _assert_work(self, work: WorkRequest, runs: int) -> None:
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
            self.assertEqual(runs, 0, f"{request.echo}: {caller.replies(request)}")
        if not request.idempotent:
            self.assertLessEqual(runs, 1, request.echo)

"""Baseline policies in which every instance places requests independently."""

from abc import abstractmethod
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from endivepick.bench.policy import Policy, SimulationContext
from endivepick.bench.workload import Flow, Request
from endivepick.core.dispatch import FinishKind
from endivepick.core.packet_codec import encode_struct
from endivepick.records.model import Affinity, ServiceRecord

__all__ = [
    "BoundedHashPolicy",
    "LeastLoadedPolicy",
    "RandomPolicy",
    "RoundRobinPolicy",
    "TwoChoicesPolicy",
]

GOSSIP_PERIOD_S = 0.25
DATAGRAM_HEADER_BYTES = 28
_ATTEMPTS_MAX = 3
_RECORD_DELAY_MAX_S = 2.0
_LOAD_BOUND_FACTOR = 1.25


@dataclass(eq=False)
class _InstanceState:
    """State of one instance: its own counts and the last reports of its peers."""

    number: int
    zone: str
    names: list[str]
    in_flight: Counter[str]
    reports: dict[int, Counter[str]]

    def load(self, name: str) -> int:
        """Return the known number of requests at a target."""
        return self.in_flight[name] + sum(
            report[name] for report in self.reports.values()
        )


class IndependentPolicy(Policy):
    """Base class of policies whose instances choose targets independently.

    Targets queue and shed. A shed request or a failed connection is retried at once,
    up to three attempts.
    """

    uses_gossip = False

    def __init__(self, context: SimulationContext) -> None:
        super().__init__(context)
        names = sorted(context.targets)
        self.instances = [
            _InstanceState(
                i, context.shape.zone_of_instance(i), list(names), Counter(), {}
            )
            for i in range(context.shape.instances)
        ]
        self._running: dict[Request, tuple[_InstanceState, str]] = {}
        self._alive = set(range(context.shape.instances))
        if self.uses_gossip:
            context.loop.call_every(GOSSIP_PERIOD_S, self._send_reports)

    @abstractmethod
    def choose(self, instance: _InstanceState, flow: Flow, names: list[str]) -> str:
        """Return the chosen one of the target names."""

    def open_flow(self, flow: Flow) -> None:
        """Choose the target of a new flow at the instance that received its opening."""
        if self.context.affinity is Affinity.FLOW:
            instance = self._find_live_instance(flow.instance)
            flow.target = self.choose(instance, flow, instance.names)

    def submit(self, request: Request) -> None:
        """Send a request to the target of its flow, or to a newly chosen one."""
        instance = self._find_live_instance(request.instance)
        self._send(request, instance, set())

    def close_flow(self, flow: Flow) -> None:
        """Do nothing: instances keep no state of flows."""

    def update_record(self, record: ServiceRecord) -> None:
        """Apply a newer record at each instance after a random delay."""
        names = sorted(t.name for t in record.targets if not t.draining)
        for instance in self.instances:
            record_delay_s = self.context.random.uniform(0.0, _RECORD_DELAY_MAX_S)
            self.context.loop.call_later(
                record_delay_s, _make_name_update(instance, names)
            )

    def kill_instance(self) -> None:
        """Kill one instance. The outcome of its pending requests is unknown."""
        killed = self.instances[0]
        self._alive.discard(killed.number)
        for request, (instance, _) in list(self._running.items()):
            if instance is killed:
                del self._running[request]
                self.context.finish(request, "unknown")

    def replace_instance(self) -> None:
        """Stop one instance gracefully, after its requests have finished."""
        self._alive.discard(0)

    def on_zone_cut(self, zone: str) -> None:
        """Do nothing: instances detect the partition by failed connections."""

    def on_zone_healed(self, zone: str) -> None:
        """Do nothing: instances detect the end of the partition by connections."""

    def _find_live_instance(self, number: int) -> _InstanceState:
        while number not in self._alive:
            number = (number + 1) % len(self.instances)
        return self.instances[number]

    def _send(
        self, request: Request, instance: _InstanceState, tried: set[str]
    ) -> None:
        name = self._select_target(request.flow, instance, tried)
        target = self.context.targets[name]
        self.zone_crossings += target.zone != instance.zone
        delay_s = self.context.get_delay_s(instance.zone, target.zone)
        request.attempts += 1
        instance.in_flight[name] += 1
        self._running[request] = (instance, name)
        self.context.loop.call_at(
            request.deadline_at_s, lambda: self._on_deadline(request)
        )

        def answer(kind: FinishKind, retry_after_s: float) -> None:
            self.context.loop.call_later(
                delay_s, lambda: self._on_answer(request, kind, tried | {name})
            )

        if not self.context.is_connected(instance.zone, target.zone):
            answer(FinishKind.CONNECT_FAILED, 0.0)
            return
        self.context.schedule_work(
            instance.number,
            self.context.shape.send_work_s,
            request,
            lambda: self.context.loop.call_later(
                delay_s, lambda: target.send(request, answer)
            ),
        )

    def _select_target(
        self, flow: Flow, instance: _InstanceState, tried: set[str]
    ) -> str:
        pinned = self.context.affinity is Affinity.FLOW
        if pinned and flow.target in instance.names and flow.target not in tried:
            return flow.target
        names = [n for n in instance.names if n not in tried] or instance.names
        name = self.choose(instance, flow, names)
        if pinned:
            flow.target = name
        return name

    def _on_answer(self, request: Request, kind: FinishKind, tried: set[str]) -> None:
        pending = self._running.pop(request, None)
        if pending is None:
            return
        instance, name = pending
        instance.in_flight[name] -= 1
        match kind:
            case FinishKind.OK:
                self.context.finish(request, "ok")
            case FinishKind.SHED | FinishKind.CONNECT_FAILED:
                if len(tried) < _ATTEMPTS_MAX and self._can_move(name):
                    self._send(request, instance, tried)
                else:
                    self.context.finish(request, "refused")
            case _:
                self.context.finish(request, "refused")

    def _can_move(self, name: str) -> bool:
        """Return whether a refused request may move to another target.

        A flow stays with a target that refuses only because its queue is full.
        """
        target = self.context.targets[name]
        full = not (target.draining or target.shedding or target.down)
        return self.context.affinity is Affinity.REQUEST or not full

    def _on_deadline(self, request: Request) -> None:
        pending = self._running.pop(request, None)
        if pending is not None:
            instance, name = pending
            instance.in_flight[name] -= 1
            self.context.finish(request, "unknown")

    def _send_reports(self) -> None:
        for sender in self.instances:
            report = Counter(sender.in_flight)
            size_bytes = len(encode_struct([sender.number, list(report.items())]))
            for receiver in self.instances:
                if receiver is sender:
                    continue
                self.control_bytes += size_bytes + DATAGRAM_HEADER_BYTES
                if self.context.is_connected(sender.zone, receiver.zone):
                    delay_s = self.context.get_delay_s(sender.zone, receiver.zone)
                    deliver = _make_report_update(receiver, sender.number, report)
                    self.context.loop.call_later(delay_s, deliver)


class RandomPolicy(IndependentPolicy):
    """Policy that chooses a random target."""

    def choose(self, instance: _InstanceState, flow: Flow, names: list[str]) -> str:
        """Return a random name."""
        return self.context.random.choice(names)


class RoundRobinPolicy(IndependentPolicy):
    """Policy in which each instance cycles through the targets."""

    def __init__(self, context: SimulationContext) -> None:
        super().__init__(context)
        self._positions = Counter(
            {i: context.random.randrange(100) for i in range(100)}
        )

    def choose(self, instance: _InstanceState, flow: Flow, names: list[str]) -> str:
        """Return the next name."""
        self._positions[instance.number] += 1
        return names[self._positions[instance.number] % len(names)]


class BoundedHashPolicy(IndependentPolicy):
    """Rendezvous hashing of flows with bounded loads.

    A flow uses the first target in its rendezvous order whose load stays below
    1.25 times the mean.
    """

    uses_gossip = True

    def choose(self, instance: _InstanceState, flow: Flow, names: list[str]) -> str:
        """Return the first target in rendezvous order whose load is below the bound."""
        loads = {name: instance.load(name) for name in names}
        bound = _LOAD_BOUND_FACTOR * (sum(loads.values()) + 1) / len(names)

        def weight(name: str) -> int:
            return xxhash.xxh64_intdigest(f"{flow.number} {name}".encode())

        ordered = sorted(names, key=weight)
        below = (name for name in ordered if loads[name] + 1 <= max(1.0, bound))
        return next(below, ordered[0])


class TwoChoicesPolicy(IndependentPolicy):
    """Policy that chooses the less loaded of two random targets."""

    uses_gossip = True

    def choose(self, instance: _InstanceState, flow: Flow, names: list[str]) -> str:
        """Return the less loaded of two random targets."""
        two = self.context.random.sample(names, min(2, len(names)))
        return min(two, key=instance.load)


class LeastLoadedPolicy(IndependentPolicy):
    """Policy that chooses the least loaded target according to gossip.

    Ties are broken at random.
    """

    uses_gossip = True

    def choose(self, instance: _InstanceState, flow: Flow, names: list[str]) -> str:
        """Return a least loaded target."""
        shuffled = self.context.random.sample(names, len(names))
        return min(shuffled, key=instance.load)


def _make_name_update(instance: _InstanceState, names: list[str]) -> Callable[[], None]:
    def apply() -> None:
        instance.names = names

    return apply


def _make_report_update(
    receiver: _InstanceState, sender: int, report: Counter[str]
) -> Callable[[], None]:
    def apply() -> None:
        receiver.reports[sender] = report

    return apply

"""Baselines in which every instance places alone."""

from abc import abstractmethod
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from endivepick.bench.policy import Policy, World
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
_ATTEMPTS = 3
_RECORD_LAG_S = 2.0
_LOAD_BOUND = 1.25


@dataclass(eq=False)
class _Instance:
    """Knowledge of one instance: its own counts and its peers' last reports."""

    number: int
    zone: str
    names: list[str]
    own: Counter[str]
    reports: dict[int, Counter[str]]

    def load(self, name: str) -> int:
        """Return the requests at a target, as far as this instance knows."""
        return self.own[name] + sum(report[name] for report in self.reports.values())


class AlonePolicy(Policy):
    """Every instance sends to targets by itself; targets queue and shed.

    A shed answer or failed connection is tried again at once, up to three
    attempts.
    """

    gossips = False

    def __init__(self, world: World) -> None:
        super().__init__(world)
        names = sorted(world.targets)
        self.instances = [
            _Instance(i, world.shape.zone_of_instance(i), list(names), Counter(), {})
            for i in range(world.shape.instances)
        ]
        self._running: dict[Request, tuple[_Instance, str]] = {}
        self._alive = set(range(world.shape.instances))
        if self.gossips:
            world.loop.call_every(GOSSIP_PERIOD_S, self._gossip)

    @abstractmethod
    def choose(self, instance: _Instance, flow: Flow, names: list[str]) -> str:
        """Return one of the names."""

    def open_flow(self, flow: Flow) -> None:
        """Place a new flow at the instance that its opening reached."""
        if self.world.affinity is Affinity.FLOW:
            instance = self._reached(flow.instance)
            flow.target = self.choose(instance, flow, instance.names)

    def submit(self, request: Request) -> None:
        """Send a request to the flow's target, or to one chosen for it."""
        instance = self._reached(request.instance)
        self._send(request, instance, set())

    def close_flow(self, flow: Flow) -> None:
        """Forget nothing: instances keep no flows."""

    def update_record(self, record: ServiceRecord) -> None:
        """Let each instance learn of a newer record at its own time."""
        names = sorted(t.name for t in record.targets if not t.draining)
        for instance in self.instances:
            lag_s = self.world.random.uniform(0.0, _RECORD_LAG_S)
            self.world.loop.call_later(lag_s, _set_names(instance, names))

    def kill_instance(self) -> None:
        """Kill one instance: what it was waiting for has an unknown outcome."""
        victim = self.instances[0]
        self._alive.discard(victim.number)
        for request, (instance, _) in list(self._running.items()):
            if instance is victim:
                del self._running[request]
                self.world.finish(request, "unknown")

    def replace_instance(self) -> None:
        """Stop one instance as planned; it waits for its requests first."""
        self._alive.discard(0)

    def cut(self, zone: str) -> None:
        """Learn nothing: instances notice by failed connections."""

    def heal(self, zone: str) -> None:
        """Learn nothing: instances notice by connections."""

    def _reached(self, number: int) -> _Instance:
        while number not in self._alive:
            number = (number + 1) % len(self.instances)
        return self.instances[number]

    def _send(self, request: Request, instance: _Instance, tried: set[str]) -> None:
        name = self._target_of(request.flow, instance, tried)
        target = self.world.targets[name]
        self.zone_crossings += target.zone != instance.zone
        delay_s = self.world.delay_s(instance.zone, target.zone)
        request.attempts += 1
        instance.own[name] += 1
        self._running[request] = (instance, name)
        self.world.loop.call_at(
            request.deadline_at_s, lambda: self._on_deadline(request)
        )

        def answer(kind: FinishKind, retry_after_s: float) -> None:
            self.world.loop.call_later(
                delay_s, lambda: self._on_answer(request, kind, tried | {name})
            )

        if not self.world.connected(instance.zone, target.zone):
            answer(FinishKind.CONNECT_FAILED, 0.0)
            return
        self.world.work(
            instance.number,
            self.world.shape.send_work_s,
            request,
            lambda: self.world.loop.call_later(
                delay_s, lambda: target.send(request, answer)
            ),
        )

    def _target_of(self, flow: Flow, instance: _Instance, tried: set[str]) -> str:
        pinned = self.world.affinity is Affinity.FLOW
        if pinned and flow.target in instance.names and flow.target not in tried:
            return flow.target
        names = [n for n in instance.names if n not in tried] or instance.names
        name = self.choose(instance, flow, names)
        if pinned:
            flow.target = name
        return name

    def _on_answer(self, request: Request, kind: FinishKind, tried: set[str]) -> None:
        held = self._running.pop(request, None)
        if held is None:
            return
        instance, name = held
        instance.own[name] -= 1
        match kind:
            case FinishKind.OK:
                self.world.finish(request, "ok")
            case FinishKind.SHED | FinishKind.CONNECT_FAILED:
                if len(tried) < _ATTEMPTS and self._may_move(name):
                    self._send(request, instance, tried)
                else:
                    self.world.finish(request, "refused")
            case _:
                self.world.finish(request, "refused")

    def _may_move(self, name: str) -> bool:
        """Tell whether a refused request may go elsewhere.

        A flow stays with a target that is merely full.
        """
        target = self.world.targets[name]
        full = not (target.draining or target.shedding or target.down)
        return self.world.affinity is Affinity.REQUEST or not full

    def _on_deadline(self, request: Request) -> None:
        held = self._running.pop(request, None)
        if held is not None:
            instance, name = held
            instance.own[name] -= 1
            self.world.finish(request, "unknown")

    def _gossip(self) -> None:
        for sender in self.instances:
            report = Counter(sender.own)
            size_bytes = len(encode_struct([sender.number, list(report.items())]))
            for receiver in self.instances:
                if receiver is sender:
                    continue
                self.control_bytes += size_bytes + DATAGRAM_HEADER_BYTES
                if self.world.connected(sender.zone, receiver.zone):
                    delay_s = self.world.delay_s(sender.zone, receiver.zone)
                    deliver = _set_report(receiver, sender.number, report)
                    self.world.loop.call_later(delay_s, deliver)


class RandomPolicy(AlonePolicy):
    """A random target."""

    def choose(self, instance: _Instance, flow: Flow, names: list[str]) -> str:
        """Return a random name."""
        return self.world.random.choice(names)


class RoundRobinPolicy(AlonePolicy):
    """Each instance goes round the targets by itself."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._turns = Counter({i: world.random.randrange(100) for i in range(100)})

    def choose(self, instance: _Instance, flow: Flow, names: list[str]) -> str:
        """Return the next name."""
        self._turns[instance.number] += 1
        return names[self._turns[instance.number] % len(names)]


class BoundedHashPolicy(AlonePolicy):
    """Consistent hashing of flows with a bound on each target's load.

    A flow tries the targets in its rendezvous order and takes the first whose
    load stays below 1.25 times the mean.
    """

    gossips = True

    def choose(self, instance: _Instance, flow: Flow, names: list[str]) -> str:
        """Return the first name in the flow's order that is below the bound."""
        loads = {name: instance.load(name) for name in names}
        bound = _LOAD_BOUND * (sum(loads.values()) + 1) / len(names)

        def weight(name: str) -> int:
            return xxhash.xxh64_intdigest(f"{flow.number} {name}".encode())

        ordered = sorted(names, key=weight)
        below = (name for name in ordered if loads[name] + 1 <= max(1.0, bound))
        return next(below, ordered[0])


class TwoChoicesPolicy(AlonePolicy):
    """The less loaded of two random targets."""

    gossips = True

    def choose(self, instance: _Instance, flow: Flow, names: list[str]) -> str:
        """Return the less loaded of two random names."""
        two = self.world.random.sample(names, min(2, len(names)))
        return min(two, key=instance.load)


class LeastLoadedPolicy(AlonePolicy):
    """The least loaded target by gossip, at random among equals."""

    gossips = True

    def choose(self, instance: _Instance, flow: Flow, names: list[str]) -> str:
        """Return a least loaded name."""
        shuffled = self.world.random.sample(names, len(names))
        return min(shuffled, key=instance.load)


def _set_names(instance: _Instance, names: list[str]) -> Callable[[], None]:
    def apply() -> None:
        instance.names = names

    return apply


def _set_report(
    receiver: _Instance, sender: int, report: Counter[str]
) -> Callable[[], None]:
    def apply() -> None:
        receiver.reports[sender] = report

    return apply

"""The limit: one scheduler that knows everything at once."""

from collections import deque

from endivepick.bench.backend import QUEUE_PER_SLOT, VirtualTarget
from endivepick.bench.policy import Policy, World
from endivepick.bench.workload import Flow, Request
from endivepick.core.dispatch import FinishKind
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["PerfectPolicy"]


_WORK_PER_PACE_S = 4.0
_TICK_PERIOD_S = 0.05


class PerfectPolicy(Policy):
    """No delays, no estimates: each choice sees the true state of all targets.

    New flows go to the target with the least requests in progress and waiting,
    weighed against the true pace of the flows that are pinned there.  Single
    requests wait in one queue for the first free slot.  It respects affinity, so
    pinned flows wait for their own target, and the bounds of the queues.  It knows
    how long each request will run and starts none that would be late.
    """

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._queue: deque[Request] = deque()
        self._pinned: dict[str, deque[Request]] = {n: deque() for n in world.targets}
        self._pace_per_s = dict.fromkeys(world.targets, 0.0)
        self._named = set(world.targets)
        world.loop.call_every(_TICK_PERIOD_S, self._fill)

    def open_flow(self, flow: Flow) -> None:
        """Place a new flow on the target with the least work."""
        if self.world.affinity is Affinity.FLOW:
            self._pin(flow)

    def submit(self, request: Request) -> None:
        """Start a request, or let it wait."""
        queue, slots = self._queue, self.world.shape.slots
        if self.world.affinity is Affinity.FLOW:
            if request.flow.target not in self._usable():
                self._pin(request.flow)
            queue = self._pinned[request.flow.target]
        else:
            slots *= len(self.world.targets)
        if len(queue) >= QUEUE_PER_SLOT * slots:
            self.world.finish(request, "refused")
            return
        queue.append(request)
        self._fill()

    def close_flow(self, flow: Flow) -> None:
        """Count a flow out."""
        if flow.target:
            self._pace_per_s[flow.target] -= flow.pace_per_s

    def update_record(self, record: ServiceRecord) -> None:
        """Use the targets that a newer record names and does not drain."""
        self._named = {t.name for t in record.targets if not t.draining}
        for name in self._pinned.keys() - self._usable():
            waiting, self._pinned[name] = self._pinned[name], deque()
            for request in waiting:
                self.submit(request)

    def waiting(self) -> dict[str, float]:
        """Return requests that wait here, by target."""
        shared = len(self._queue) / len(self._pinned)
        return {name: len(queue) + shared for name, queue in self._pinned.items()}

    def kill_instance(self) -> None:
        """Lose nothing: it runs on no instance."""

    def replace_instance(self) -> None:
        """Lose nothing: it runs on no instance."""

    def cut(self, zone: str) -> None:
        """Lose nothing: it reaches all zones."""

    def heal(self, zone: str) -> None:
        """Win nothing: it reached all zones."""

    def _usable(self) -> set[str]:
        targets = self.world.targets
        return {name for name in self._named if _works(targets[name])}

    def _pin(self, flow: Flow) -> None:
        def rank(name: str) -> tuple[float, str]:
            work = self.world.targets[name].held + len(self._pinned[name])
            return work + _WORK_PER_PACE_S * self._pace_per_s[name], name

        if flow.target:
            self._pace_per_s[flow.target] -= flow.pace_per_s
        flow.target = min(self._usable() or self._named, key=rank)
        self._pace_per_s[flow.target] += flow.pace_per_s

    def _fill(self) -> None:
        while True:
            free = [
                target
                for name, target in self.world.targets.items()
                if name in self._usable()
                and target.held < target.slots
                and (self._queue or self._pinned[name])
            ]
            if not free:
                return
            least = min(
                free, key=lambda target: (target.held, self.world.random.random())
            )
            queue = self._pinned[least.name] or self._queue
            self._start(queue.popleft(), least)

    def _start(self, request: Request, target: VirtualTarget) -> None:
        if self.world.loop.now_s + request.service_s > request.deadline_at_s:
            self.world.finish(request, "refused")
            return
        request.attempts += 1
        target.send(request, lambda kind, _: self._on_answer(request, kind))

    def _on_answer(self, request: Request, kind: FinishKind) -> None:
        self.world.finish(request, "ok" if kind is FinishKind.OK else "refused")
        self._fill()


def _works(target: VirtualTarget) -> bool:
    faulty = target.shedding or target.stuck or target.down or target.draining
    return not faulty

"""Ideal baseline: one scheduler with complete and immediate information."""

from collections import deque

from endivepick.bench.backend import QUEUE_PER_SLOT, VirtualTarget
from endivepick.bench.policy import Policy, SimulationContext
from endivepick.bench.workload import Flow, Request
from endivepick.core.dispatch import FinishKind
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["PerfectPolicy"]


_WORK_PER_PACE_S = 4.0
_TICK_PERIOD_S = 0.05


class PerfectPolicy(Policy):
    """Scheduler that sees the true state of all targets without delay.

    A new flow is placed on the target with the lowest sum of pending requests and
    weighted request rate of the flows that are pinned there. Requests without affinity
    wait in one queue for the first free slot. The scheduler respects affinity, so that
    requests of a pinned flow wait for their own target, and it respects the queue
    limits. It knows the service time of each request and starts none that would miss
    its deadline.
    """

    def __init__(self, context: SimulationContext) -> None:
        super().__init__(context)
        self._queue: deque[Request] = deque()
        self._pinned: dict[str, deque[Request]] = {n: deque() for n in context.targets}
        self._pace_per_s = dict.fromkeys(context.targets, 0.0)
        self._record_names = set(context.targets)
        context.loop.call_every(_TICK_PERIOD_S, self._start_waiting)

    def open_flow(self, flow: Flow) -> None:
        """Pin a new flow to the target with the least work."""
        if self.context.affinity is Affinity.FLOW:
            self._pin_flow(flow)

    def submit(self, request: Request) -> None:
        """Start, queue or refuse a request."""
        queue, slots = self._queue, self.context.shape.slots
        if self.context.affinity is Affinity.FLOW:
            if request.flow.target not in self._list_usable():
                self._pin_flow(request.flow)
            queue = self._pinned[request.flow.target]
        else:
            slots *= len(self.context.targets)
        if len(queue) >= QUEUE_PER_SLOT * slots:
            self.context.finish(request, "refused")
            return
        queue.append(request)
        self._start_waiting()

    def close_flow(self, flow: Flow) -> None:
        """Subtract the request rate of a closed flow from its target."""
        if flow.target:
            self._pace_per_s[flow.target] -= flow.pace_per_s

    def update_record(self, record: ServiceRecord) -> None:
        """Use the targets of a newer record that are not draining."""
        self._record_names = {t.name for t in record.targets if not t.draining}
        for name in self._pinned.keys() - self._list_usable():
            waiting, self._pinned[name] = self._pinned[name], deque()
            for request in waiting:
                self.submit(request)

    def count_waiting(self) -> dict[str, float]:
        """Return the number of queued requests, by target."""
        shared = len(self._queue) / len(self._pinned)
        return {name: len(queue) + shared for name, queue in self._pinned.items()}

    def kill_instance(self) -> None:
        """Do nothing: the scheduler runs on no instance."""

    def replace_instance(self) -> None:
        """Do nothing: the scheduler runs on no instance."""

    def on_zone_cut(self, zone: str) -> None:
        """Do nothing: the scheduler reaches all zones."""

    def on_zone_healed(self, zone: str) -> None:
        """Do nothing: the scheduler reached all zones."""

    def _list_usable(self) -> set[str]:
        targets = self.context.targets
        return {name for name in self._record_names if _is_working(targets[name])}

    def _pin_flow(self, flow: Flow) -> None:
        def rank(name: str) -> tuple[float, str]:
            work = self.context.targets[name].pending_count + len(self._pinned[name])
            return work + _WORK_PER_PACE_S * self._pace_per_s[name], name

        if flow.target:
            self._pace_per_s[flow.target] -= flow.pace_per_s
        flow.target = min(self._list_usable() or self._record_names, key=rank)
        self._pace_per_s[flow.target] += flow.pace_per_s

    def _start_waiting(self) -> None:
        while True:
            free = [
                target
                for name, target in self.context.targets.items()
                if name in self._list_usable()
                and target.pending_count < target.slots
                and (self._queue or self._pinned[name])
            ]
            if not free:
                return
            least_loaded = min(
                free,
                key=lambda target: (target.pending_count, self.context.random.random()),
            )
            queue = self._pinned[least_loaded.name] or self._queue
            self._start(queue.popleft(), least_loaded)

    def _start(self, request: Request, target: VirtualTarget) -> None:
        if self.context.loop.now_s + request.service_s > request.deadline_at_s:
            self.context.finish(request, "refused")
            return
        request.attempts += 1
        target.send(request, lambda kind, _: self._on_answer(request, kind))

    def _on_answer(self, request: Request, kind: FinishKind) -> None:
        self.context.finish(request, "ok" if kind is FinishKind.OK else "refused")
        self._start_waiting()


def _is_working(target: VirtualTarget) -> bool:
    is_faulty = target.shedding or target.stuck or target.down or target.draining
    return not is_faulty

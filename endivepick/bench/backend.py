"""Simulated backend servers with slots, a queue, load shedding and faults."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from endivepick.bench.virtual_time import VirtualLoop
from endivepick.bench.workload import Request
from endivepick.core.dispatch import FinishKind, ProbeFailed, ProbeOutcome, ProbeResult
from endivepick.core.dispatch.messages import TargetHealth

__all__ = ["QUEUE_PER_SLOT", "Answer", "VirtualTarget"]

QUEUE_PER_SLOT = 8
_RETRY_AFTER_S = 1.0
_COLD_FACTOR = 3.0

Answer = Callable[[FinishKind, float], None]
"""Called with the result of the attempt and the requested backoff, in seconds."""


@dataclass(frozen=True)
class _Job:
    request: Request
    answer: Answer


class VirtualTarget:
    """Simulated backend server, whose faults a script injects as attributes.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual-time event loop.
    name : str
        Name in the service record.
    zone : str
        Availability zone.
    slots : int
        Number of requests that run concurrently.

    Attributes
    ----------
    held : int
        Number of requests that run or wait at the target.
    attempts : int
        Number of requests received.
    shedding : bool
        Whether it sheds every request.
    stuck : bool
        Whether it accepts requests, reports no load and never answers.
    down : bool
        Whether every connection fails.
    health_fails : bool
        Whether its health endpoint fails, independently of request handling.
    draining : bool
        Whether it refuses new requests and reports that it is draining.
    cold_until_s : float
        Time until which service times are three times as long, in seconds.
    """

    def __init__(self, loop: VirtualLoop, name: str, zone: str, slots: int) -> None:
        self._loop = loop
        self._running = 0
        self._stuck_jobs: list[_Job] = []
        self._queue: deque[_Job] = deque()
        self.name = name
        self.zone = zone
        self.slots = slots
        self.incarnation = 1
        self.pending_count = 0
        self.attempts = 0
        self.shedding = False
        self.stuck = False
        self.down = False
        self.health_fails = False
        self.draining = False
        self.cold_until_s = 0.0

    def send(self, request: Request, answer: Answer) -> None:
        """Handle a request; ``answer`` is called immediately or later."""
        if self.down:
            answer(FinishKind.CONNECT_FAILED, 0.0)
            return
        self.attempts += 1
        full = len(self._queue) >= QUEUE_PER_SLOT * self.slots
        if self.shedding or self.draining or full:
            answer(FinishKind.SHED, _RETRY_AFTER_S)
            return
        self.pending_count += 1
        job = _Job(request, answer)
        if self._running < self.slots:
            self._run(job)
        else:
            self._queue.append(job)

    def probe(self, service: str) -> ProbeOutcome:
        """Return the result of its health and load endpoints."""
        if self.down or self.health_fails:
            return ProbeFailed()
        state = TargetHealth.DRAINING if self.draining else TargetHealth.READY
        return ProbeResult(
            state=state,
            service=service,
            incarnation=self.incarnation,
            in_progress=0 if self.stuck else self._running,
            waiting=0 if self.stuck else len(self._queue),
            slots=self.slots,
        )

    def clear_stuck(self) -> None:
        """End the ``stuck`` fault and start the requests that it holds."""
        self.stuck = False
        jobs, self._stuck_jobs = self._stuck_jobs, []
        for job in jobs:
            self._finish_later(job)

    def _run(self, job: _Job) -> None:
        self._running += 1
        job.request.started_s = self._loop.now_s
        if self.stuck:
            self._stuck_jobs.append(job)
            return
        self._finish_later(job)

    def _finish_later(self, job: _Job) -> None:
        now_s = self._loop.now_s
        factor = _COLD_FACTOR if now_s < self.cold_until_s else 1.0
        length_s = job.request.service_s * factor
        self._loop.call_later(length_s, lambda: self._finish(job))

    def _finish(self, job: _Job) -> None:
        self._running -= 1
        self.pending_count -= 1
        self._run_next()
        job.answer(FinishKind.OK, 0.0)

    def _run_next(self) -> None:
        while self._queue and self._running < self.slots:
            job = self._queue.popleft()
            if self._loop.now_s >= job.request.deadline_at_s:
                self.pending_count -= 1
                job.answer(FinishKind.EXPIRED, 0.0)
                continue
            self._run(job)

"""Simulation run of one placement policy under a workload and a fault script."""

import time
from collections import Counter
from dataclasses import dataclass
from random import Random

from endivepick.bench.backend import VirtualTarget
from endivepick.bench.faults import FAULT_END_S, FAULT_START_S, FAULTS
from endivepick.bench.measures import ImbalanceMeter, LatencyHistogram
from endivepick.bench.policies import POLICIES
from endivepick.bench.policy import SimulationContext
from endivepick.bench.virtual_time import VirtualLoop
from endivepick.bench.workload import (
    SHAPES,
    Event,
    FlowCloseEvent,
    FlowOpenEvent,
    Request,
    RequestEvent,
    generate_events,
    make_record,
)
from endivepick.records.model import Affinity

__all__ = ["Experiment", "RunResult", "run_experiment"]

WARM_UP_S = 20.0
_DRAIN_S = 30.0
_SAMPLE_PERIOD_S = 0.05


@dataclass(frozen=True)
class Experiment:
    """Settings of one run.

    Attributes
    ----------
    shape : str
        Name of a workload shape in `endivepick.bench.workload.SHAPES`.
    affinity : str
        ``flow`` or ``request``.
    load : float
        Ratio of offered work to capacity.
    policy : str
        Name of a placement policy in `endivepick.bench.policies.POLICIES`.
    fault : str
        Name of a fault script in `endivepick.bench.faults.FAULTS`.
    seed : int
        Seed of the random number generators.
    duration_s : float
        Virtual time during which requests arrive, including the warm-up, in seconds.
    """

    shape: str
    affinity: str
    load: float
    policy: str
    fault: str = "none"
    seed: int = 1
    duration_s: float = 80.0


@dataclass(frozen=True)
class RunResult:
    """Settings and metrics of one run.

    Attributes
    ----------
    experiment : Experiment
        Settings of the run.
    requests : int
        Requests that arrived after the warm-up.
    ok, refused, unknown, unfinished : int
        Number of these requests by outcome. A request answered after its deadline
        counts as unknown.
    broken_flows : int
        Flows with a non-idempotent request of unknown outcome.
    goodput : float
        Requests answered within their deadline, as a fraction of capacity.
    goodput_in_fault : float
        Goodput of the requests that arrived during the fault.
    imbalance_median, imbalance_peak : float
        Median and maximum, over windows of one second, of the ratio of the highest
        to the mean target load.
    waiting_p50_s, waiting_p99_s : float
        Percentiles of the time from arrival to start at the target, in seconds.
    waiting_p99_short_s, waiting_p99_long_s : float
        99th percentile of this time for short and long requests, in seconds.
    refused_share_established, refused_share_new : float
        Fraction of requests that were refused, for established and for new flows.
    attempts_per_request : float
        Mean number of attempts at targets per request.
    hops_per_request, zone_crossings_per_request : float
        Mean number of relays between instances, and of attempts at a target in
        another zone, per request.
    control_bytes_per_s : float
        Mean control traffic per instance, in bytes per second.
    processor_s : float
        Processor time of the run, in seconds.
    imbalance_windows : tuple of tuple
        Start of each window, in seconds, and its imbalance.
    """

    experiment: Experiment
    requests: int
    ok: int
    refused: int
    unknown: int
    unfinished: int
    broken_flows: int
    goodput: float
    goodput_in_fault: float
    imbalance_median: float
    imbalance_peak: float
    waiting_p50_s: float
    waiting_p99_s: float
    waiting_p99_short_s: float
    waiting_p99_long_s: float
    refused_share_established: float
    refused_share_new: float
    attempts_per_request: float
    hops_per_request: float
    zone_crossings_per_request: float
    control_bytes_per_s: float
    processor_s: float
    imbalance_windows: tuple[tuple[int, float], ...]


class _Run:
    """Simulation state of one run."""

    def __init__(self, experiment: Experiment) -> None:
        self._experiment = experiment
        self._shape = SHAPES[experiment.shape]
        self._loop = VirtualLoop()
        self._requests: list[Request] = []
        self._arrived = 0
        self._waiting = LatencyHistogram()
        self._waiting_by_class = {True: LatencyHistogram(), False: LatencyHistogram()}
        record = make_record(self._shape, Affinity(experiment.affinity))
        targets = {
            t.name: VirtualTarget(self._loop, t.name, t.zone, t.slots)
            for t in record.targets
        }
        self._context = SimulationContext(
            loop=self._loop,
            shape=self._shape,
            record=record,
            targets=targets,
            random=Random(f"{experiment}"),
            finish=self._finish,
            cut_zones=set(),
        )
        self._meter = ImbalanceMeter(len(targets))
        self._policy = POLICIES[experiment.policy](self._context)

    def run(self) -> RunResult:
        """Run the simulation and return its metrics."""
        started_s = time.process_time()
        FAULTS[self._experiment.fault](self._context, self._policy)
        self._loop.call_every(_SAMPLE_PERIOD_S, self._sample)
        experiment = self._experiment
        arrivals = generate_events(
            self._shape, experiment.load, experiment.duration_s, experiment.seed
        )
        for at_s, event in arrivals:
            self._loop.run_until(at_s)
            self._handle_event(event)
        self._loop.run_until(experiment.duration_s + _DRAIN_S)
        return self._build_result(time.process_time() - started_s)

    def _handle_event(self, event: Event) -> None:
        match event:
            case FlowOpenEvent(flow):
                self._policy.open_flow(flow)
            case FlowCloseEvent(flow):
                self._policy.close_flow(flow)
            case RequestEvent(request):
                request.established = request.flow.requests > 0
                request.flow.requests += 1
                self._arrived += 1
                if request.arrival_s >= WARM_UP_S:
                    self._requests.append(request)
                self._policy.submit(request)

    def _finish(self, request: Request, outcome: str) -> None:
        assert not request.outcome, "request has already finished"
        is_late = self._loop.now_s > request.deadline_at_s
        request.outcome = "unknown" if outcome == "ok" and is_late else outcome
        if request.outcome == "ok" and request.arrival_s >= WARM_UP_S:
            waiting_s = request.started_s - request.arrival_s
            self._waiting.add(waiting_s)
            self._waiting_by_class[request.long].add(waiting_s)

    def _sample(self) -> None:
        waiting = self._policy.count_waiting()
        loads = [
            (target.pending_count + waiting.get(name, 0.0)) / target.slots
            for name, target in self._context.targets.items()
        ]
        self._meter.sample(loads, self._loop.now_s)

    def _build_result(self, processor_s: float) -> RunResult:
        requests = self._requests
        outcomes = Counter(request.outcome for request in requests)
        broken = {
            request.flow.number
            for request in requests
            if request.outcome == "unknown" and not request.idempotent
        }
        end_s = self._experiment.duration_s
        median, peak = self._meter.median_and_peak(WARM_UP_S, end_s)
        arrived = max(1, self._arrived)
        policy = self._policy
        length_s = self._loop.now_s
        attempts = sum(request.attempts for request in requests)
        return RunResult(
            experiment=self._experiment,
            requests=len(requests),
            ok=outcomes["ok"],
            refused=outcomes["refused"],
            unknown=outcomes["unknown"],
            unfinished=outcomes[""],
            broken_flows=len(broken),
            goodput=self._compute_goodput(WARM_UP_S, end_s),
            goodput_in_fault=self._compute_goodput(FAULT_START_S, FAULT_END_S),
            imbalance_median=median,
            imbalance_peak=peak,
            waiting_p50_s=self._waiting.percentile_s(50.0),
            waiting_p99_s=self._waiting.percentile_s(99.0),
            waiting_p99_short_s=self._waiting_by_class[False].percentile_s(99.0),
            waiting_p99_long_s=self._waiting_by_class[True].percentile_s(99.0),
            refused_share_established=_compute_refused_share(
                requests, established=True
            ),
            refused_share_new=_compute_refused_share(requests, established=False),
            attempts_per_request=attempts / max(1, len(requests)),
            hops_per_request=policy.hops / arrived,
            zone_crossings_per_request=policy.zone_crossings / arrived,
            control_bytes_per_s=policy.control_bytes / length_s / self._shape.instances,
            processor_s=processor_s,
            imbalance_windows=tuple(sorted(self._meter.windows().items())),
        )

    def _compute_goodput(self, start_s: float, end_s: float) -> float:
        answered = sum(
            request.outcome == "ok"
            for request in self._requests
            if start_s <= request.arrival_s < end_s
        )
        return answered / (end_s - start_s) / self._shape.capacity_per_s


def _compute_refused_share(requests: list[Request], established: bool) -> float:
    outcomes = [r.outcome for r in requests if r.established is established]
    return outcomes.count("refused") / max(1, len(outcomes))


def run_experiment(experiment: Experiment) -> RunResult:
    """Run one experiment in virtual time and return its metrics.

    Examples
    --------
    >>> experiment = Experiment("harada", "request", 0.5, "perfect")
    >>> run_experiment(experiment).refused
    0
    """
    return _Run(experiment).run()

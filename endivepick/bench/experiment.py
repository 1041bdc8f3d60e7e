"""One run: a shape, a load, a policy, a fault script and a seed."""

import time
from collections import Counter
from dataclasses import dataclass
from random import Random

from endivepick.bench.backend import VirtualTarget
from endivepick.bench.faults import FAULT_END_S, FAULT_START_S, FAULTS
from endivepick.bench.measures import ImbalanceMeter, LatencyHistogram
from endivepick.bench.policies import POLICIES
from endivepick.bench.policy import World
from endivepick.bench.virtual_time import VirtualLoop
from endivepick.bench.workload import (
    SHAPES,
    Closed,
    Event,
    Opened,
    Request,
    Requested,
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
        Name of a shape.
    affinity : str
        ``flow`` or ``request``.
    load : float
        Offered work over capacity.
    policy : str
        Name of a policy.
    fault : str
        Name of a fault script.
    seed : int
        Seed of all random numbers.
    duration_s : float
        Virtual time in which requests arrive, warm-up included, in seconds.
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
    """Settings and measures of one run.

    Attributes
    ----------
    experiment : Experiment
        Settings.
    requests : int
        Requests that arrived while measured.
    ok, refused, unknown, unfinished : int
        Their outcomes; an answer after its deadline is unknown.
    broken_flows : int
        Flows with a non-idempotent request of unknown outcome.
    goodput : float
        Whole answers in time, as a share of capacity.
    goodput_in_fault : float
        The same for requests that arrived during the fault.
    imbalance_median, imbalance_peak : float
        Peak over mean of the targets' loads, over windows of one second.
    waiting_p50_s, waiting_p99_s : float
        From arrival to start at the target, in seconds.
    waiting_p99_short_s, waiting_p99_long_s : float
        The same percentile for each cost class, in seconds.
    refused_share_established, refused_share_new : float
        Share refused of the requests of established and of new flows.
    attempts_per_request : float
        Requests sent to targets for each that arrived.
    hops_per_request, zone_crossings_per_request : float
        Relays between instances, and starts in another zone.
    control_bytes_per_s : float
        Control traffic of one instance, on average.
    processor_s : float
        Processor time of the run.
    imbalance_windows : tuple of tuple
        Second and imbalance.
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
    """State of one run."""

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
        self._world = World(
            loop=self._loop,
            shape=self._shape,
            record=record,
            targets=targets,
            random=Random(f"{experiment}"),
            finish=self._finish,
            cut_zones=set(),
        )
        self._meter = ImbalanceMeter(len(targets))
        self._policy = POLICIES[experiment.policy](self._world)

    def run(self) -> RunResult:
        """Run to the end and measure."""
        started_s = time.process_time()
        FAULTS[self._experiment.fault](self._world, self._policy)
        self._loop.call_every(_SAMPLE_PERIOD_S, self._sample)
        experiment = self._experiment
        arrivals = generate_events(
            self._shape, experiment.load, experiment.duration_s, experiment.seed
        )
        for at_s, event in arrivals:
            self._loop.run_until(at_s)
            self._take(event)
        self._loop.run_until(experiment.duration_s + _DRAIN_S)
        return self._result(time.process_time() - started_s)

    def _take(self, event: Event) -> None:
        match event:
            case Opened(flow):
                self._policy.open_flow(flow)
            case Closed(flow):
                self._policy.close_flow(flow)
            case Requested(request):
                request.established = request.flow.requests > 0
                request.flow.requests += 1
                self._arrived += 1
                if request.arrival_s >= WARM_UP_S:
                    self._requests.append(request)
                self._policy.submit(request)

    def _finish(self, request: Request, outcome: str) -> None:
        assert not request.outcome, "a request has one outcome"
        late = self._loop.now_s > request.deadline_at_s
        request.outcome = "unknown" if outcome == "ok" and late else outcome
        if request.outcome == "ok" and request.arrival_s >= WARM_UP_S:
            waiting_s = request.started_s - request.arrival_s
            self._waiting.add(waiting_s)
            self._waiting_by_class[request.long].add(waiting_s)

    def _sample(self) -> None:
        waiting = self._policy.waiting()
        loads = [
            (target.held + waiting.get(name, 0.0)) / target.slots
            for name, target in self._world.targets.items()
        ]
        self._meter.sample(loads, self._loop.now_s)

    def _result(self, processor_s: float) -> RunResult:
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
            goodput=self._goodput(WARM_UP_S, end_s),
            goodput_in_fault=self._goodput(FAULT_START_S, FAULT_END_S),
            imbalance_median=median,
            imbalance_peak=peak,
            waiting_p50_s=self._waiting.percentile_s(50.0),
            waiting_p99_s=self._waiting.percentile_s(99.0),
            waiting_p99_short_s=self._waiting_by_class[False].percentile_s(99.0),
            waiting_p99_long_s=self._waiting_by_class[True].percentile_s(99.0),
            refused_share_established=_refused_share(requests, established=True),
            refused_share_new=_refused_share(requests, established=False),
            attempts_per_request=attempts / max(1, len(requests)),
            hops_per_request=policy.hops / arrived,
            zone_crossings_per_request=policy.zone_crossings / arrived,
            control_bytes_per_s=policy.control_bytes / length_s / self._shape.instances,
            processor_s=processor_s,
            imbalance_windows=tuple(sorted(self._meter.windows().items())),
        )

    def _goodput(self, start_s: float, end_s: float) -> float:
        done = sum(
            request.outcome == "ok"
            for request in self._requests
            if start_s <= request.arrival_s < end_s
        )
        return done / (end_s - start_s) / self._shape.capacity_per_s


def _refused_share(requests: list[Request], established: bool) -> float:
    outcomes = [r.outcome for r in requests if r.established is established]
    return outcomes.count("refused") / max(1, len(outcomes))


def run_experiment(experiment: Experiment) -> RunResult:
    """Run one experiment in virtual time.

    Examples
    --------
    >>> experiment = Experiment("harada", "request", 0.5, "perfect")
    >>> run_experiment(experiment).refused
    0
    """
    return _Run(experiment).run()

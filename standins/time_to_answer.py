"""Measures how long callers wait for answers, undisturbed and under disturbances.

``python -m standins.time_to_answer --shape=harada --seed=1`` prints one JSON line
for each case: datagrams lost, doubled and delayed; the instance that holds the
flows stopped as planned, replaced, and killed.  The times come from the callers'
log: of each request, and the longest of each flow around a stop or kill.
"""

import json
import os
import signal
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire

from endivepick.bench.measures import LatencyHistogram
from standins.cases import choose_cases, choose_shape
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.evidence import Request, read_evidence
from standins.jsonlines import read_lines
from standins.process import exit_on_signal, wait_until
from standins.versions import wait_peers_ready

__all__ = ["CASES", "Case", "main", "measure_case"]

FLOWS = 40
THINK_MS = 100.0
IDLE_THINK_MS = 3_600_000.0
RUN_S = 6.0
"""How long requests are sent under datagram faults, in seconds."""
STEADY_S = 1.5
"""Time before and after what is done to the instance, in seconds."""
LOST_S = 5.0
"""The same after a kill."""
ROUNDS = 5
_LOAD_MAX_S = 300.0
_END_TIMEOUT_S = 60.0

Window = tuple[float, float]
Disturb = Callable[[Cluster, str], None]


def _stop(running: Cluster, name: str) -> None:
    running.stop_instance(name)


def _replace(running: Cluster, name: str) -> None:
    running.stop_instance(name)
    running.start_instance(name)
    wait_peers_ready(running)


def _kill(running: Cluster, name: str) -> None:
    running.kill_instance(name, listed=True)
    time.sleep(LOST_S)


@dataclass(frozen=True)
class Case:
    """One disturbance.

    Attributes
    ----------
    name : str
        Name on the command line.
    answer_bytes : int
        Size of answers.
    loss, duplicate : float
        Shares of datagrams, in both directions.
    delay_ms_max : float
        Delay of datagrams, drawn up to this, in both directions.
    disturb : callable or None
        What is done to the instance that holds the flows, again and again.
    """

    name: str
    answer_bytes: int = 200
    loss: float = 0.0
    duplicate: float = 0.0
    delay_ms_max: float = 0.0
    disturb: Disturb | None = None

    @property
    def faults(self) -> dict[str, float]:
        """Return it as the fabric's control takes it."""
        return {
            "loss": self.loss,
            "duplicate": self.duplicate,
            "delay_ms_max": self.delay_ms_max,
        }


CASES = (
    Case("none"),
    Case("duplicates", duplicate=0.5),
    Case("loss-1", loss=0.01),
    Case("loss-5", loss=0.05),
    Case("loss-20", loss=0.2),
    Case("order", delay_ms_max=20),
    Case("all", loss=0.05, duplicate=0.5, delay_ms_max=20),
    Case("none-200kB", answer_bytes=200_000),
    Case("loss-5-200kB", answer_bytes=200_000, loss=0.05),
    Case("all-200kB", 200_000, 0.05, 0.5, 20),
    Case("stop", disturb=_stop),
    Case("replacement", disturb=_replace),
    Case("kill", disturb=_kill),
)


def measure_case(
    running: Cluster, case: Case, rounds: int, idle_flows: int = 0
) -> dict[str, Any]:
    """Send requests, disturb, and return what the callers saw.

    Parameters
    ----------
    running : Cluster
        The installation.
    case : Case
        The disturbance.
    rounds : int
        How often an instance is disturbed.
    idle_flows : int
        Flows that are held beside those that send requests.

    Returns
    -------
    dict
        Number of requests by their end, and times in milliseconds.
    """
    quiet, disturbed, longest = (LatencyHistogram() for _ in range(3))
    ends: Counter[str] = Counter()
    for _ in range(rounds if case.disturb else 1):
        requests, window = _round(running, case, idle_flows)
        before = [r for r in requests if r.ended_s < window[0]]
        during = [r for r in requests if _overlaps(r, window)]
        _add_all(quiet, map(_took_s, before))
        _add_all(disturbed, map(_took_s, during))
        _add_all(longest, _longest_by_flow(during))
        ends.update(r.verdict or r.end for r in during)
    return {
        "case": case.name,
        "ends": dict(ends),
        "request_ms": _figures(disturbed),
        **(
            {"longest_of_flow_ms": _figures(longest), "before_ms": _figures(quiet)}
            if case.disturb
            else {}
        ),
    }


def _round(
    running: Cluster, case: Case, idle_flows: int
) -> tuple[list[Request], Window]:
    """Disturb once under load; returns the requests and the time of it."""
    wait_peers_ready(running)
    running.control_fabric(to_instances=case.faults, to_callers=case.faults)
    before = _flows(running)
    with _load(running, case, idle_flows) as log:
        if case.disturb is None:
            begin_s = 0.0
            time.sleep(RUN_S)
        else:
            time.sleep(STEADY_S)
            name = _holder(running, before)
            begin_s = time.time()
            case.disturb(running, name)
            time.sleep(STEADY_S)
        end_s = time.time()
    _complete(running)
    requests = read_evidence([log], [], []).requests.values()
    return list(requests), (begin_s, end_s)


def _complete(running: Cluster) -> None:
    """Start the instances that are missing."""
    for plan in running.shape.instances:
        instance = running.instances.get(plan.name)
        if instance is None or not instance.process.running:
            running.start_instance(plan.name)


@contextmanager
def _load(running: Cluster, case: Case, idle_flows: int) -> Iterator[Path]:
    """Send requests to the first service while the context is open."""
    launcher = running.launcher
    log = launcher.log_path("callers", "timed")
    workload = {
        "service": running.shape.services[0].name,
        "flows": FLOWS,
        "work_ms": 0,
        "think_ms": THINK_MS,
        "answer_bytes": case.answer_bytes,
    }
    idle = {**workload, "flows": idle_flows, "think_ms": IDLE_THINK_MS}
    settings = {
        "name": "timed",
        "fabric_address": running.fabric_address,
        "log_path": str(log),
        "workloads": [workload, idle],
        "seed": running.settings.seed,
        "run_s": _LOAD_MAX_S,
    }
    path = launcher.write_settings("timed", settings)
    caller = launcher.spawn("timed", "standins.load", [f"--settings={path}"])
    caller.wait_ready()
    wanted = FLOWS + idle_flows
    wait_until(lambda: _opened(log) >= wanted, f"{wanted} flows")
    yield log
    caller.signal(signal.SIGTERM)
    caller.wait(_END_TIMEOUT_S)


def _flows(running: Cluster) -> dict[str, int]:
    return {name: one.status()["flows"] for name, one in running.instances.items()}


def _opened(log: Path) -> int:
    return sum(line.get("opened", False) for line in read_lines(log))


def _holder(running: Cluster, before: dict[str, int]) -> str:
    """Return the instance at which most flows were opened since."""
    flows = _flows(running)
    return max(flows, key=lambda name: flows[name] - before[name])


def _overlaps(request: Request, window: Window) -> bool:
    return request.ended_s >= window[0] and request.sent_s <= window[1]


def _took_s(request: Request) -> float:
    return request.ended_s - request.sent_s


def _longest_by_flow(requests: Sequence[Request]) -> Iterator[float]:
    longest: dict[str, float] = {}
    for request in requests:
        took_s = _took_s(request)
        longest[request.flow] = max(longest.get(request.flow, 0.0), took_s)
    yield from longest.values()


def _add_all(histogram: LatencyHistogram, durations_s: Iterator[float]) -> None:
    for duration_s in durations_s:
        histogram.add(duration_s)


def _figures(histogram: LatencyHistogram) -> dict[str, float]:
    percentiles = {"median": 50.0, "p99": 99.0, "max": 100.0}
    return {
        name: round(1000 * histogram.percentile_s(percentile), 1)
        for name, percentile in percentiles.items()
    }


def main(
    shape: str = "harada",
    seed: int = 1,
    cases: str | Sequence[str] = "",
    rounds: int = ROUNDS,
    idle_flows: int = 0,
) -> None:
    """Measure and print one line for each case.

    Parameters
    ----------
    shape : str
        ``harada``, ``leave-desk`` or ``small``.
    seed : int
        Seed of load and fabric.
    cases : str
        Names of cases, separated by commas; empty for all.
    rounds : int
        How often an instance is stopped or killed in a case.
    idle_flows : int
        Flows that are held beside those that send requests.
    """
    settings = ClusterSettings(choose_shape(shape), seed=seed)
    with exit_on_signal(), cluster(settings) as running:
        for case in choose_cases(cases, CASES):
            figures = measure_case(running, case, rounds, idle_flows)
            load = round(os.getloadavg()[0], 1)
            about = {"shape": shape, "seed": seed, "load_average": load}
            print(json.dumps({**figures, **about}), flush=True)


if __name__ == "__main__":
    fire.Fire(main)

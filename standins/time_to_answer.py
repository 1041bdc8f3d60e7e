"""Measures how long answers take through a fabric that disturbs datagrams.

Run ``python -m standins.time_to_answer``; it prints one JSON line for each case.
A small installation serves a few flows that send one request after another; the
times are those that the callers' log shows.
"""

import json
import statistics
from collections import Counter
from dataclasses import dataclass
from typing import Any

import fire

from standins.cluster import Cluster, ClusterSettings, cluster
from standins.jsonlines import read_lines
from standins.shapes import SMALL

__all__ = ["CASES", "Case", "main", "measure_case"]

SERVICE = "exports"
FLOWS = 4
RUN_S = 6.0
_END_TIMEOUT_S = 60.0
_MS = 1000.0


@dataclass(frozen=True)
class Case:
    """One disturbance, the same in both directions, and the size of answers."""

    name: str
    answer_bytes: int = 200
    loss: float = 0.0
    duplicate: float = 0.0
    delay_ms_max: float = 0.0

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
    Case("loss of 1 %", loss=0.01),
    Case("loss of 5 %", loss=0.05),
    Case("loss of 20 %", loss=0.2),
    Case("order", delay_ms_max=20),
    Case("all", loss=0.05, duplicate=0.5, delay_ms_max=20),
    Case("none, 200 kB", answer_bytes=200_000),
    Case("loss of 5 %, 200 kB", answer_bytes=200_000, loss=0.05),
    Case("all, 200 kB", 200_000, 0.05, 0.5, 20),
)


def _percentile(values: list[float], percent: int) -> float:
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def measure_case(running: Cluster, case: Case, run_s: float) -> dict[str, Any]:
    """Send requests for a while and return what the callers saw.

    Parameters
    ----------
    running : Cluster
        The installation.
    case : Case
        What disturbs the datagrams.
    run_s : float
        How long requests are sent, in seconds.

    Returns
    -------
    dict
        Number of requests by their end, and times to the answer in milliseconds.
    """
    running.control_fabric(to_instances=case.faults, to_callers=case.faults)
    launcher = running.launcher
    log = launcher.log_path("callers", "timed")
    workload = {
        "service": SERVICE,
        "flows": FLOWS,
        "work_ms": 0,
        "think_ms": 0,
        "answer_bytes": case.answer_bytes,
    }
    settings = {
        "name": "timed",
        "fabric_address": running.fabric_address,
        "log_path": str(log),
        "workloads": [workload],
        "run_s": run_s,
    }
    path = launcher.write_settings("timed", settings)
    caller = launcher.spawn("timed", "standins.load", [f"--settings={path}"])
    caller.wait_ready()
    caller.wait(run_s + _END_TIMEOUT_S)
    ended = [line for line in read_lines(log) if line["event"] == "ended"]
    times_ms = [(line["at_s"] - line["sent_s"]) * _MS for line in ended]
    ends = Counter(line.get("verdict") or line["end"] for line in ended)
    return {
        "case": case.name,
        "requests": len(ended),
        "ends": dict(ends),
        "p50_ms": round(_percentile(times_ms, 50), 1),
        "p99_ms": round(_percentile(times_ms, 99), 1),
        "longest_ms": round(max(times_ms), 1),
    }


def main(run_s: float = RUN_S) -> None:
    """Measure all cases.

    Parameters
    ----------
    run_s : float
        How long requests are sent in each case, in seconds.
    """
    with cluster(ClusterSettings(SMALL)) as running:
        for case in CASES:
            print(json.dumps(measure_case(running, case, run_s)), flush=True)


if __name__ == "__main__":
    fire.Fire(main)

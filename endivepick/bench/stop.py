"""Measures planned stops of the instance that holds all flows.

``python -m endivepick.bench.stop`` starts the small installation with real
processes from the source tree, opens flows, stops their owner while some of them
send requests, and prints one line for each number of flows.
"""

import json
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

import fire
import gevent
from gevent.pool import Pool
from returns.result import Success

from endivepick.bench.measures import LatencyHistogram
from endivepick.client import Caller, CallerSettings, Flow, open_caller
from standins.cluster import Cluster, ClusterSettings, cluster
from standins.jsonlines import read_lines
from standins.shapes import SMALL, Shape

__all__ = ["StopResult", "main", "measure_stop"]

FLOWS = (100, 1000, 5000)
BUSY_FLOWS = 50
"""Flows that send requests all the time; the others are idle."""
SERVICE = "sessions"
SLOTS = 64
THINK_S = 0.2
STEADY_S = 2.0
SPAN_S = 1.0
"""How long requests are watched from each of the three moments."""
OPENINGS_AT_ONCE = 50
_POLL_S = 0.01
_BODY = json.dumps({"answer_bytes": 100}).encode()
_TITLES = (
    "flows",
    "handed over s",
    "stopped s",
    "messages",
    "bytes a flow",
    "pause p50 ms",
    "pause p99 ms",
    "exit p50 ms",
    "exit p99 ms",
    "steady p50 ms",
    "steady p99 ms",
    "failed",
)


@dataclass(frozen=True)
class StopResult:
    """Figures of one stop.

    Attributes
    ----------
    flows : int
        Flows that the instance held.
    handed_over_s : float
        From the signal until it held no flow, in seconds.
    stopped_s : float
        From the signal until its process had ended, in seconds.
    messages, size_bytes : int
        Hand-over messages, and their size without repetitions.
    pauses, exits, steady : LatencyHistogram
        Longest answer time of each busy flow in one second: from the signal, from
        the end of the process, and some time before.
    failed : int
        Requests without an answer.
    """

    flows: int
    handed_over_s: float
    stopped_s: float
    messages: int
    size_bytes: int
    pauses: LatencyHistogram
    exits: LatencyHistogram
    steady: LatencyHistogram
    failed: int

    def row(self) -> tuple[str, ...]:
        """Return the figures as texts, in the order of the titles."""
        latencies = [
            f"{1000 * histogram.percentile_s(percentile):.0f}"
            for histogram in (self.pauses, self.exits, self.steady)
            for percentile in (50.0, 99.0)
        ]
        return (
            str(self.flows),
            f"{self.handed_over_s:.2f}",
            f"{self.stopped_s:.2f}",
            str(self.messages),
            f"{self.size_bytes / self.flows:.0f}",
            *latencies,
            str(self.failed),
        )


class _BusyFlow:
    """Sends one request after the other and notes how long each took."""

    def __init__(self, flow: Flow) -> None:
        self.spans_s: list[tuple[float, float]] = []
        self.failed = 0
        self._flow = flow

    def run(self) -> None:
        """Send requests until the task is killed."""
        while True:
            sent_s = time.monotonic()
            result = self._flow.request("POST", "/work", body=_BODY)
            self.spans_s.append((sent_s, time.monotonic()))
            self.failed += not isinstance(result, Success)
            gevent.sleep(THINK_S)

    def longest_s(self, from_s: float) -> float:
        """Return the longest answer time of requests sent in a span."""
        until_s = from_s + SPAN_S
        return max(
            (end - begin for begin, end in self.spans_s if from_s <= begin < until_s),
            default=0.0,
        )


def _shape() -> Shape:
    """Return the small installation with targets that never fill up."""
    services = [
        replace(s, targets=tuple(replace(t, slots=SLOTS) for t in s.targets))
        for s in SMALL.services
    ]
    return replace(SMALL, services=tuple(services))


def _open_flows(caller: Caller, count: int) -> list[Flow]:
    def open_one(_: int) -> Flow:
        return caller.open(SERVICE, deadline_s=30.0).unwrap()

    return list(Pool(OPENINGS_AT_ONCE).imap_unordered(open_one, range(count)))


def _claim_a_number(flows: Sequence[Flow]) -> None:
    """Let each flow send a request, as established flows have."""
    requests = Pool(OPENINGS_AT_ONCE)
    for flow in flows:
        requests.spawn(flow.request, "POST", "/work", body=_BODY)
    requests.join()


def _in_thread(function: Any, *arguments: Any) -> Any:
    return gevent.get_hub().threadpool.apply(function, arguments)


def _held(running: Cluster, name: str) -> int:
    return int(_in_thread(running.instances[name].status)["flows"])


def _agree(running: Cluster) -> bool:
    """Tell whether all instances know that all others are ready."""
    views = [_in_thread(one.status)["peers"] for one in running.instances.values()]
    names = set(running.instances)
    return all(
        names == {peer["name"] for peer in view if peer["ready"]} for view in views
    )


def _owner(running: Cluster) -> str:
    return max(running.instances, key=lambda name: _held(running, name))


def _wait_handed_over(running: Cluster, name: str) -> None:
    while _held(running, name):
        gevent.sleep(_POLL_S)


@contextmanager
def _busy(flows: Sequence[Flow]) -> Iterator[list[_BusyFlow]]:
    busy = [_BusyFlow(flow) for flow in flows]
    tasks = [gevent.spawn(one.run) for one in busy]
    try:
        yield busy
    finally:
        gevent.killall(tasks)


def _histogram(busy: list[_BusyFlow], from_s: float) -> LatencyHistogram:
    histogram = LatencyHistogram()
    for one in busy:
        histogram.add(one.longest_s(from_s))
    return histogram


def _transfers(running: Cluster) -> list[dict[str, Any]]:
    return [
        line
        for log in running.launcher.logs("instances")
        for line in read_lines(log)
        if line["event"] == "transfer_sent"
    ]


def measure_stop(flows: int) -> StopResult:
    """Stop an instance that holds this many flows.

    Parameters
    ----------
    flows : int
        Flows to open, at least ``BUSY_FLOWS``.
    """
    settings = ClusterSettings(_shape(), instance_settings={"log": {"level": "debug"}})
    with cluster(settings) as running:
        address = running.fabric_address
        with open_caller(CallerSettings(fabric_address=address)) as caller:
            while not _agree(running):
                gevent.sleep(_POLL_S)
            return _measure(running, caller, flows)


def _measure(running: Cluster, caller: Caller, flows: int) -> StopResult:
    opened = _open_flows(caller, flows)
    _claim_a_number(opened)
    name = _owner(running)
    held = _held(running, name)
    with _busy(opened[:BUSY_FLOWS]) as busy:
        gevent.sleep(STEADY_S)
        begin_s = time.monotonic()
        _in_thread(running.begin_stop, name)
        _wait_handed_over(running, name)
        handed_over_s = time.monotonic()
        _in_thread(running.finish_stop, name)
        end_s = time.monotonic()
        gevent.sleep(STEADY_S)
    sent = _transfers(running)
    return StopResult(
        flows=held,
        handed_over_s=handed_over_s - begin_s,
        stopped_s=end_s - begin_s,
        messages=len(sent),
        size_bytes=sum(line["size_bytes"] for line in sent),
        pauses=_histogram(busy, begin_s),
        exits=_histogram(busy, end_s),
        steady=_histogram(busy, begin_s - STEADY_S),
        failed=sum(one.failed for one in busy),
    )


def main(*flows: int) -> None:
    """Measure and print a table.

    Parameters
    ----------
    *flows : int
        Numbers of flows; 100, 1000 and 5000 if none is given.
    """
    print(" | ".join(_TITLES))
    for count in flows or FLOWS:
        print(" | ".join(measure_stop(count).row()), flush=True)


if __name__ == "__main__":
    fire.Fire(main)

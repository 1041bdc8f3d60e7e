"""Caller process that opens flows, sends requests and logs their results.

Run it with ``python -m standins.load --settings FILE``.  It ends at SIGTERM or
after ``run_s``, in both cases after the requests in progress have ended.

Events of its log are ``open``, ``sent``, ``ended``, ``stream_sent`` and
``stream_ended``.  ``echo`` identifies a request, also in the log of the target.
If ``trace_path`` is set, the caller library writes its log for the time line there.
"""

import json
import random
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import fire
import gevent
from gevent.event import Event
from gevent.pool import Group
from returns.result import Failure, Result, Success

from endivepick.client import (
    Answer,
    Caller,
    CallerSettings,
    EventStream,
    Flow,
    GaveUp,
    NotRun,
    RequestError,
    open_caller,
)
from endivepick.daemon.logs import process_log
from endivepick.settings import LogSettings
from standins.control import BorderModel, EventLog, load_settings
from standins.payload import verify_answer
from standins.streamprogress import StreamProgress

__all__ = ["LoadSettings", "Workload", "main"]

_RETRY_MIN_S = 0.02
_RETRY_MAX_S = 2.0
_WORK_MAX_FACTOR = 8.0
_OK = 200
_NOT_RUN_HEADER = "endivepick-not-run"


class Workload(BorderModel):
    """Flows with the same load.

    Attributes
    ----------
    service : str
        Service to which the flows are opened.
    flows : int
        Number of concurrent flows.
    work_ms, think_ms : float
        Mean duration of a request at the target and of the pause after it, both
        exponentially distributed; 0 for none.
    answer_bytes : int
        Size of answers.
    idempotent_share : float
        Share of idempotent requests.
    deadline_s : float
        Deadline of each request.
    requests_per_flow : int
        Number of requests after which a flow is replaced by a new one; 0 for
        unlimited.
    stream_interval_ms : float
        Interval of an event stream that each flow also holds; 0 for none.
    stream_events : int
        Number of events of the stream, which is read until the load ends.
    """

    service: str
    flows: int = 1
    work_ms: float = 20.0
    think_ms: float = 50.0
    answer_bytes: int = 200
    idempotent_share: float = 0.5
    deadline_s: float = 10.0
    requests_per_flow: int = 0
    stream_interval_ms: float = 0.0
    stream_events: int = 100_000


class LoadSettings(BorderModel):
    """Settings of the program.

    Attributes
    ----------
    name : str
        Name of the caller.
    fabric_address : str
        Address of the fabric.
    log_path : str or None
        Log file of this program.
    trace_path : str or None
        Log file of the caller library; None for no log.
    workloads : list of Workload
        Workloads to run concurrently.
    seed : int
        Seed of the load.
    run_s : float
        Time after which the program ends.
    """

    name: str
    fabric_address: str
    log_path: str | None = None
    trace_path: str | None = None
    workloads: list[Workload]
    seed: int = 1
    run_s: float = 600.0


@dataclass(frozen=True)
class _PlannedRequest:
    """Request to be sent."""

    echo: str
    idempotent: bool
    body: bytes


class _FlowLoad:
    """Sends requests on one flow after another."""

    def __init__(
        self, name: str, workload: Workload, caller: Caller, log: EventLog, seed: str
    ) -> None:
        self._name = name
        self._workload = workload
        self._caller = caller
        self._log = log
        self._random = random.Random(seed)
        self._opened = 0

    def run(self, stopped: Event) -> None:
        """Open flows and use them until ``stopped`` is set."""
        while not stopped.is_set():
            result = self._open_flow()
            match result:
                case Success(flow):
                    self._use_flow(flow, stopped)
                    flow.close()
                case _:
                    stopped.wait(self._bound_pause_s(0.5))

    def _open_flow(self) -> Result[Flow, Exception]:
        started_s = time.time()
        result = self._caller.open(self._workload.service)
        outcome: dict[str, Any] = {"opened": False}
        match result:
            case Success(flow):
                outcome = {"opened": True, "flow": f"{flow.flow_id:x}"}
            case Failure(error):
                outcome["reason"] = str(error)
        service = self._workload.service
        self._log.append("open", service=service, started_s=started_s, **outcome)
        return result

    def _use_flow(self, flow: Flow, stopped: Event) -> None:
        self._opened += 1
        prefix = f"{self._name}.{self._opened}"
        ended = Event()
        streams = Group()
        if self._workload.stream_interval_ms:
            streams.spawn(self._hold_stream, flow, f"{prefix}.stream", ended)
        number = 0
        limit = self._workload.requests_per_flow
        while not stopped.is_set() and (not limit or number < limit):
            number += 1
            pause_s = self._request(flow, f"{prefix}.{number}")
            stopped.wait(pause_s)
        ended.set()
        streams.join()

    def _request(self, flow: Flow, echo: str) -> float:
        """Send one request; returns the pause after it in seconds."""
        work = self._draw_request(echo)
        fields = {
            "service": flow.service,
            "flow": f"{flow.flow_id:x}",
            "echo": work.echo,
            "idempotent": work.idempotent,
        }
        sent_s = time.time()
        self._log.append("sent", **fields)
        result = flow.request(
            method="POST",
            path="/work",
            body=work.body,
            idempotent=work.idempotent,
            deadline_s=self._workload.deadline_s,
        )
        self._log.append("ended", sent_s=sent_s, **fields, **_describe(result, echo))
        match result:
            case Failure(error):
                return self._bound_pause_s(error.retry_after_ms / 1000)
        return self._draw_ms(self._workload.think_ms) / 1000

    def _hold_stream(self, flow: Flow, echo: str, ended: Event) -> None:
        interval_ms = self._workload.stream_interval_ms
        count = self._workload.stream_events
        path = f"/events?count={count}&interval_ms={interval_ms}&echo={echo}"
        fields = {
            "service": flow.service,
            "flow": f"{flow.flow_id:x}",
            "echo": echo,
        }
        self._log.append("stream_sent", **fields)
        sent_s = time.time()
        stream = flow.stream(path)
        closer = gevent.spawn(_close_when_ended, stream, ended)
        progress = StreamProgress(echo, sent_s)
        error = ""
        try:
            for event in stream:
                progress.record_event(event.event_id, event.data, time.time())
                if ended.is_set():
                    break
        except Exception as failure:
            error = f"{type(failure).__name__}: {failure}"
        closer.kill()
        progress.record_gap(time.time())
        self._log.append(
            "stream_ended",
            sent_s=sent_s,
            events=progress.events,
            wrong=progress.wrong,
            longest_gap_s=progress.longest_gap_s,
            by_caller=ended.is_set(),
            error="" if ended.is_set() else error,
            **fields,
        )

    def _draw_request(self, echo: str) -> _PlannedRequest:
        idempotent = self._random.random() < self._workload.idempotent_share
        body = {
            "work_ms": round(self._draw_ms(self._workload.work_ms), 3),
            "answer_bytes": self._workload.answer_bytes,
            "echo": echo,
        }
        return _PlannedRequest(echo, idempotent, json.dumps(body).encode())

    def _draw_ms(self, mean_ms: float) -> float:
        if mean_ms <= 0:
            return 0.0
        drawn_ms = self._random.expovariate(1 / mean_ms)
        return min(drawn_ms, _WORK_MAX_FACTOR * mean_ms)

    def _bound_pause_s(self, wanted_s: float) -> float:
        return min(_RETRY_MAX_S, max(_RETRY_MIN_S, wanted_s))


def _close_when_ended(stream: EventStream, ended: Event) -> None:
    ended.wait()
    stream.close()


def _describe(result: Result[Answer, RequestError], echo: str) -> dict[str, Any]:
    """Return the result of a request as log fields."""
    match result:
        case Success(answer) if answer.status == _OK:
            return {"end": "answer", "verdict": verify_answer(answer.body, echo)}
        case Success(answer):
            names = {name.lower() for name, _ in answer.headers}
            end = "not_run" if _NOT_RUN_HEADER in names else "status"
            return {"end": end, "reason": f"status {answer.status}"}
        case Failure(NotRun() as error):
            return {"end": "not_run", "reason": error.reason}
        case Failure(GaveUp() as error):
            return {"end": "gave_up", "reason": error.reason}
        case Failure(error):
            return {"end": "unknown", "reason": error.reason}
    raise AssertionError(result)


@contextmanager
def _trace(settings: LoadSettings) -> Iterator[None]:
    """Enable the log of the caller library if the settings contain its path."""
    if settings.trace_path is None:
        yield
        return
    with process_log(LogSettings(settings.trace_path, "debug"), settings.name):
        yield


@contextmanager
def _stop_event(run_s: float) -> Iterator[Event]:
    """Yield an event that is set by SIGTERM, SIGINT or after ``run_s``."""
    stopped = Event()
    handlers = [
        gevent.signal_handler(number, stopped.set)
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    timer = gevent.spawn_later(run_s, stopped.set)
    try:
        yield stopped
    finally:
        timer.kill()
        for handler in handlers:
            handler.cancel()


def main(settings: str) -> None:
    """Run the load described by a settings file.

    Parameters
    ----------
    settings : str
        Path of a file with the fields of `LoadSettings`.
    """
    loaded = load_settings(LoadSettings, settings, {})
    log = EventLog(loaded.log_path)
    caller_settings = CallerSettings(fabric_address=loaded.fabric_address)
    with (
        _trace(loaded),
        _stop_event(loaded.run_s) as stopped,
        open_caller(caller_settings) as caller,
    ):
        print(json.dumps({"ready": True, "name": loaded.name}), flush=True)
        flows = Group()
        for kind, workload in enumerate(loaded.workloads):
            for number in range(workload.flows):
                name = f"{loaded.name}.{kind}.{number}"
                seed = f"{loaded.seed}:{name}"
                load = _FlowLoad(name, workload, caller, log, seed)
                flows.spawn(load.run, stopped)
        flows.join()
        log.append("counts", counts=dict(caller.counts))


if __name__ == "__main__":
    fire.Fire(main)

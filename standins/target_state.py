"""Request handling of a backend server stand-in, independent of HTTP."""

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Annotated, Any

import gevent.event
import gevent.lock
import msgspec

from standins.control import EventLog

__all__ = ["Control", "End", "Run", "TargetSettings", "TargetState", "WorkRequest"]

MAX_WORK_MS = 60_000
MAX_ANSWER_BYTES = 64 * 2**20
_HISTORY_LENGTH = 10_000


@dataclass(frozen=True)
class TargetSettings:
    """Settings of one backend server stand-in.

    Attributes
    ----------
    service, target, zone : str
        Service of the target, its name and its zone.
    listen : str
        ``host:port``; with port 0 the system chooses a free port.
    slots : int
        Number of concurrent requests.
    connections : int
        Number of concurrent connections, including streams.
    queue : int
        Number of requests that may wait for a slot; further ones are shed.
    log : str
        Log file of the runs.
    incarnation : int
        Incarnation of the target; 0 draws a random one.
    max_life_s : float
        Time after which the program ends.
    """

    service: str
    target: str
    zone: str = ""
    listen: str = "127.0.0.1:0"
    slots: int = 2
    connections: int = 2000
    queue: int = 0
    log: str = ""
    incarnation: int = 0
    max_life_s: float = 1800.0


class WorkRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /work``."""

    work_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WORK_MS)] = 0
    answer_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_ANSWER_BYTES)] = 0
    echo: Annotated[str, msgspec.Meta(max_length=200)] = ""


class Control(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that ``PUT /control`` enables.

    Attributes
    ----------
    drain : bool
        Report ``draining``; further work is still run and logged.
    shed : bool
        Refuse all work as overload.
    stuck : bool
        Accept work, never answer it, and report no load.
    lie_health : str or None
        False state to report; ``"error"`` answers 500.
    lie_load : dict or None
        Fields of ``/load`` to report instead of the true ones.
    load_lag_ms : float
        Age of the values that ``/load`` reports.
    cold_s : float
        Seconds after the start during which work takes ``cold_factor`` times as
        long.
    cold_factor : float
        See ``cold_s``.
    close_after_run : bool
        Run the work, then close the connection without an answer.
    answer_delay_ms : float
        Time between the end of the run and the answer.
    """

    drain: bool = False
    shed: bool = False
    stuck: bool = False
    lie_health: str | None = None
    lie_load: dict[str, int] | None = None
    load_lag_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    cold_s: Annotated[float, msgspec.Meta(ge=0)] = 0
    cold_factor: Annotated[float, msgspec.Meta(ge=1)] = 4
    close_after_run: bool = False
    answer_delay_ms: Annotated[float, msgspec.Meta(ge=0)] = 0


class End(msgspec.Struct, frozen=True):
    """Result of work, as the event name in the log."""

    event: str

    @property
    def ran(self) -> bool:
        """Whether the work was started."""
        return self.event in ("end", "cancelled")


@dataclass
class Run:
    """Request or stream that the target handles."""

    key: str
    idempotent: bool
    service: str
    incarnation: str = ""
    """Incarnation of the intended target; empty if the request contains none."""
    echo: str = ""
    cancelled: gevent.event.Event = field(default_factory=gevent.event.Event)

    def log_fields(self) -> dict[str, Any]:
        """Return the fields that identify the run in the log."""
        return {
            "key": self.key,
            "idempotent": self.idempotent,
            "named_service": self.service,
            "named_incarnation": self.incarnation,
            "echo": self.echo,
        }


class TargetState:
    """Slots, queue, load reports and log of one target."""

    def __init__(self, settings: TargetSettings, incarnation: int) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.control = Control()
        self._log = EventLog(settings.log or None)
        self._started_s = time.monotonic()
        self._control_changed = gevent.event.Event()
        self._free_slots = gevent.lock.BoundedSemaphore(settings.slots)
        self._in_progress = 0
        self._waiting = 0
        self._runs: dict[str, list[Run]] = {}
        self._history: deque[tuple[float, int, int]] = deque(maxlen=_HISTORY_LENGTH)
        self._record_load()

    def log(self, event: str, **fields: Any) -> None:
        """Append a line with the identity of this target to the log."""
        self._log.append(
            event,
            service=self.settings.service,
            target=self.settings.target,
            incarnation=self.incarnation,
            **fields,
        )

    def update_control(self, change: dict[str, Any]) -> Control:
        """Merge ``change`` into the faults; raises `msgspec.ValidationError`."""
        merged = {**msgspec.structs.asdict(self.control), **change}
        self.control = msgspec.convert(merged, Control)
        self.log("control", change=change)
        self._control_changed.set()
        self._control_changed = gevent.event.Event()
        return self.control

    def register_run(self, run: Run) -> None:
        """Register a run, so that ``cancel`` finds it."""
        self._runs.setdefault(run.key, []).append(run)

    def unregister_run(self, run: Run) -> None:
        """Remove a registered run."""
        held = self._runs[run.key]
        held.remove(run)
        if not held:
            del self._runs[run.key]

    def cancel(self, key: str) -> bool:
        """Cancel all runs with a key; returns whether there were any."""
        runs = self._runs.get(key, [])
        for run in runs:
            run.cancelled.set()
        return bool(runs)

    def health(self) -> dict[str, Any]:
        """Return the body of ``/health``."""
        state = "draining" if self.control.drain else "ready"
        return {
            "service": self.settings.service,
            "target": self.settings.target,
            "incarnation": self.incarnation,
            "state": self.control.lie_health or state,
        }

    def load(self, connections: int) -> dict[str, Any]:
        """Return the body of ``/load``."""
        lag_s = self.control.load_lag_ms / 1000
        in_progress, waiting = self._load_at(time.monotonic() - lag_s)
        if self.control.stuck:
            in_progress = waiting = 0
        report = {
            "in_progress": in_progress,
            "waiting": waiting,
            "slots": self.settings.slots,
            "connections": connections,
            "age_ms": int(self.control.load_lag_ms),
        }
        return report | (self.control.lie_load or {})

    def run(self, run: Run, request: WorkRequest, deadline_s: float) -> End:
        """Run work in a slot.

        Parameters
        ----------
        run : Run
            Run that is registered while this method is active.
        request : WorkRequest
            Work to do.
        deadline_s : float
            Monotonic time after which the work must not start.
        """
        end = self._acquire_slot(run, deadline_s)
        if end is None:
            end = self._run_in_slot(run, request)
        self.log(end.event, **run.log_fields())
        return end

    def _acquire_slot(self, run: Run, deadline_s: float) -> End | None:
        if time.monotonic() >= deadline_s:
            return End("late")
        if self.control.shed:
            return End("shed")
        if self._free_slots.acquire(blocking=False):
            return None
        if self._waiting >= self.settings.queue:
            return End("shed")
        return self._wait_for_slot(run, deadline_s)

    def _wait_for_slot(self, run: Run, deadline_s: float) -> End | None:
        self._waiting += 1
        self._record_load()
        try:
            remaining_s = max(0.0, deadline_s - time.monotonic())
            entered = self._free_slots.acquire(timeout=remaining_s)
        finally:
            self._waiting -= 1
            self._record_load()
        if not entered:
            return End("late")
        if run.cancelled.is_set():
            self._free_slots.release()
            return End("dropped")
        return None

    def _run_in_slot(self, run: Run, request: WorkRequest) -> End:
        self._in_progress += 1
        self._record_load()
        self.log("start", **run.log_fields())
        try:
            completed = self._work(run, request)
        finally:
            self._in_progress -= 1
            self._free_slots.release()
            self._record_load()
        return End("end" if completed else "cancelled")

    def _work(self, run: Run, request: WorkRequest) -> bool:
        while self.control.stuck and not run.cancelled.is_set():
            gevent.wait([run.cancelled, self._control_changed], count=1)
        age_s = time.monotonic() - self._started_s
        factor = self.control.cold_factor if age_s < self.control.cold_s else 1.0
        return not run.cancelled.wait(request.work_ms * factor / 1000)

    def _record_load(self) -> None:
        self._history.append((time.monotonic(), self._in_progress, self._waiting))

    def _load_at(self, at_s: float) -> tuple[int, int]:
        for recorded_s, in_progress, waiting in reversed(self._history):
            if recorded_s <= at_s:
                return in_progress, waiting
        return 0, 0

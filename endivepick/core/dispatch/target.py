"""What the owner knows about one target."""

from endivepick.core.chart import load_chart
from endivepick.core.dispatch.drain_status import DrainNote
from endivepick.core.dispatch.failure_tracker import FailureRecord
from endivepick.core.dispatch.messages import (
    FinishKind,
    ProbeFailed,
    ProbeResult,
    TargetHealth,
)
from endivepick.core.dispatch.occupancy import TargetOccupancy
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.slow_start import ramped_slots
from endivepick.records.model import TargetRecord

__all__ = ["TargetState"]

_SERVING = frozenset({"cold", "ready", "trial"})


class TargetState(TargetOccupancy):
    """Life cycle of one target, and the slots that it offers.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : TargetRecord
        The target's part of the service record.
    service : str
        Service that it has to serve.
    new : bool
        It joined a service that was in force already, so it starts cold.
    """

    def __init__(
        self, settings: DispatchSettings, record: TargetRecord, service: str, new: bool
    ) -> None:
        super().__init__(settings, record)
        self._chart = load_chart("target")
        self._settings = settings
        self._service = service
        self._new = new
        self._since_s = 0.0
        self._failures = FailureRecord(settings)
        self._drain_note = DrainNote(settings)
        self.state = self._chart.initial
        self.incarnation = 0
        self.probed = False
        self.healthy = True

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.record.name

    @property
    def backoff_until_s(self) -> float:
        """End of the back-off that it asked for or earned, in seconds."""
        return self._failures.backoff_until_s

    @property
    def serving(self) -> bool:
        """Whether it takes requests."""
        return self.state in _SERVING

    @property
    def keeps_flows(self) -> bool:
        """Whether its flows stay pinned to it; true until its first probe."""
        return self.serving or (self.state == "unknown" and not self.probed)

    @property
    def settled(self) -> bool:
        """Whether its last probe found it ready, or its record says draining."""
        return self.record.draining or (self.state == "ready" and self.healthy)

    @property
    def leaving(self) -> bool:
        """Whether it must get no new work."""
        return self.state in ("draining", "gone")

    def update_record(self, record: TargetRecord, now_s: float) -> None:
        """Take in its part of a newer service record."""
        if record.address != self.record.address:
            self._lose_identity(now_s)
        self.record = record
        self._step_if_allowed("return", now_s)
        if record.draining:
            self._step_if_allowed("drain", now_s)
        elif not self._drain_note.active:
            self._step_if_allowed("undrain", now_s)

    def remove(self, now_s: float) -> None:
        """Note that the record names it no more."""
        self._step_if_allowed("remove", now_s)

    def note_draining(self, incarnation: int, now_s: float) -> None:
        """Take in a peer's word that this incarnation drains."""
        if self.incarnation not in (0, incarnation):
            return
        self._drain_note.set_by_peer(incarnation, now_s)
        self._step_if_allowed("drain", now_s)

    def on_probe(self, outcome: ProbeResult | ProbeFailed, now_s: float) -> None:
        """Take in the outcome of a health and load probe."""
        self.probed = True
        self._failures.on_probe(isinstance(outcome, ProbeResult), now_s)
        match outcome:
            case ProbeFailed():
                self.healthy = False
            case ProbeResult(service=service) if service != self._service:
                self._lose_identity(now_s)
            case ProbeResult(state=TargetHealth.STARTING):
                self._lose_identity(now_s)
                self._new = True
            case ProbeResult(state=TargetHealth.DRAINING):
                self.healthy = True
                self._identify(outcome.incarnation, now_s)
                self._drain_note.set_by_target(outcome.incarnation, now_s)
                self._step_if_allowed("drain", now_s)
            case ProbeResult():
                self.healthy = True
                self._on_ready(outcome, now_s)

    def on_finished(
        self, kind: FinishKind, slow: bool, retry_after_s: float, now_s: float
    ) -> None:
        """Learn from the end of an attempt.

        Parameters
        ----------
        kind : FinishKind
            How it ended.
        slow : bool
            It took much longer than usual; a late answer to a request with a
            short deadline is no failure of the target.
        retry_after_s : float
            Back-off that it asked for, in seconds; 0 if none.
        now_s : float
            Present time, in seconds.
        """
        match kind:
            case FinishKind.OK:
                self._on_success(now_s)
            case FinishKind.SHED:
                self._failures.on_shed(retry_after_s, now_s)
            case FinishKind.MISDIRECTED:
                self._lose_identity(now_s)
            case FinishKind.CONNECT_FAILED:
                self._failures.on_connect_failed(now_s)
            case FinishKind.BROKEN:
                self._failures.on_no_answer()
            case FinishKind.LATE if slow:
                self._failures.on_no_answer()

    def failing(self, stall_after_s: float, now_s: float) -> bool:
        """Tell whether its requests give reason to eject it.

        Parameters
        ----------
        stall_after_s : float
            Time without a completion that is too long, in seconds.
        now_s : float
            Present time, in seconds.
        """
        limit = 1 if self.state == "trial" else self._settings.failures_to_eject
        if self._failures.too_many(limit):
            return True
        # One slow request is no stall while a free slot could show the contrary.
        all_held = len(self.running) >= max(1, self.usable_slots(now_s))
        running = list(self.running.values())
        return all_held and self._failures.stalled(running, stall_after_s, now_s)

    def eject(self, now_s: float) -> None:
        """Give it no work for a time that doubles with each ejection."""
        self._step("eject", now_s)
        self._failures.start_ejection(now_s)

    def advance(self, now_s: float) -> None:
        """Follow the passing of time: ejection and slow start end."""
        if self.state == "ejected" and now_s >= self._failures.ejected_until_s:
            self._step("ejection_over", now_s)
        if (
            self.state == "cold"
            and now_s - self._since_s >= self._settings.slow_start_s
        ):
            self._step("warmed", now_s)

    def usable_slots(self, now_s: float) -> int:
        """Return how many requests it may run at once."""
        if now_s < self.backoff_until_s:
            return 0
        match self.state:
            case "ready":
                return self.record.slots
            case "cold":
                age_s = now_s - self._since_s
                return ramped_slots(
                    self.record.slots, age_s, self._settings.slow_start_s
                )
            case "trial":
                return 1
            case _:
                return 0

    def blocked_until_s(self) -> float:
        """Return when it may take requests again at the earliest, in seconds."""
        if self.state == "ejected":
            return max(self.backoff_until_s, self._failures.ejected_until_s)
        return self.backoff_until_s

    def free_slots(self, now_s: float, reduced: bool = False) -> int:
        """Return how many requests could start now, never below zero.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        reduced : bool
            Count only the share of slots that a target keeps for requests that
            could run elsewhere, while its health endpoint fails.
        """
        usable = self.usable_slots(now_s)
        if usable == 0:
            return 0
        if reduced:
            usable = max(1, int(usable * self._settings.unhealthy_slot_share))
        return max(0, usable - len(self.running) - self.load.others(usable, now_s))

    def can_start(self, now_s: float, reduced: bool = False) -> bool:
        """Tell whether a request could start now; see `free_slots`."""
        return self.free_slots(now_s, reduced) > 0 and self.free_connections() > 0

    def takes_any(self, now_s: float) -> bool:
        """Tell whether a non-idempotent request may start on it."""
        if self.state != "trial":
            return True
        return now_s - self._since_s >= self._settings.trial_idempotent_s

    def _on_ready(self, result: ProbeResult, now_s: float) -> None:
        self._drain_note.deny(result, now_s)
        if not self._drain_note.active and not self.record.draining:
            self._step_if_allowed("undrain", now_s)
        self._identify(result.incarnation, now_s)
        self.load.on_report(result, len(self.running), now_s)

    def _identify(self, incarnation: int, now_s: float) -> None:
        if self.state == "gone":
            return
        changed = self.incarnation not in (0, incarnation)
        if self.incarnation != incarnation:
            self._failures = FailureRecord(self._settings)
        self.incarnation = incarnation
        self._new = self._new or changed
        if self.record.draining or self._drain_note.active:
            return
        if changed:
            self._step("identified_new", now_s)
        elif self.state == "unknown":
            self._step("identified_new" if self._new else "identified", now_s)
        self._new = False

    def _lose_identity(self, now_s: float) -> None:
        self._new = self._new or self.incarnation != 0
        self.incarnation = 0
        self._step_if_allowed("identity_lost", now_s)

    def _on_success(self, now_s: float) -> None:
        self._failures.on_success(now_s, forgive=self.state == "ready")
        self._step_if_allowed("trial_passed", now_s)

    def _step(self, event: str, now_s: float) -> None:
        self.state = self._chart.step(self.state, event)
        self._since_s = now_s

    def _step_if_allowed(self, event: str, now_s: float) -> None:
        if self._chart.allows(self.state, event):
            self._step(event, now_s)

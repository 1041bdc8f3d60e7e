"""State of one target as seen by the owner of its service."""

from endivepick.core.chart import load_chart
from endivepick.core.dispatch.drain_status import DrainStatus
from endivepick.core.dispatch.failure_tracker import FailureTracker
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
    """Life cycle and usable slots of one target.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : TargetRecord
        Entry of the target in the service record.
    service : str
        Service that it must belong to.
    starts_cold : bool
        Whether it begins with slow start, since its service was already active
        when it was added.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        record: TargetRecord,
        service: str,
        starts_cold: bool,
    ) -> None:
        super().__init__(settings, record)
        self._chart = load_chart("target")
        self._settings = settings
        self._service = service
        self._starts_cold = starts_cold
        self._state_since_s = 0.0
        self._failures = FailureTracker(settings)
        self._drain_status = DrainStatus(settings)
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
        """End of the backoff after shed requests or failed connections, in seconds."""
        return self._failures.backoff_until_s

    @property
    def serving(self) -> bool:
        """Whether it accepts requests."""
        return self.state in _SERVING

    @property
    def keeps_flows(self) -> bool:
        """Whether its flows stay pinned to it; true before its first probe."""
        return self.serving or (self.state == "unknown" and not self.probed)

    @property
    def in_expected_state(self) -> bool:
        """Whether it is ready and healthy, or draining by its record."""
        return self.record.draining or (self.state == "ready" and self.healthy)

    @property
    def leaving(self) -> bool:
        """Whether it must not get new requests."""
        return self.state in ("draining", "gone")

    def update_record(self, record: TargetRecord, now_s: float) -> None:
        """Apply its entry in a newer service record."""
        if record.address != self.record.address:
            self._reset_identity(now_s)
        self.record = record
        self._step_if_allowed("return", now_s)
        if record.draining:
            self._step_if_allowed("drain", now_s)
        elif not self._drain_status.is_draining:
            self._step_if_allowed("undrain", now_s)

    def remove(self, now_s: float) -> None:
        """Mark it as removed from the service record."""
        self._step_if_allowed("remove", now_s)

    def on_peer_draining(self, incarnation: int, now_s: float) -> None:
        """Process a peer's notice that this incarnation is draining."""
        if self.incarnation not in (0, incarnation):
            return
        self._drain_status.set_by_peer(incarnation, now_s)
        self._step_if_allowed("drain", now_s)

    def on_probe(self, outcome: ProbeResult | ProbeFailed, now_s: float) -> None:
        """Process the outcome of a health and load probe."""
        self.probed = True
        self._failures.on_probe(isinstance(outcome, ProbeResult), now_s)
        match outcome:
            case ProbeFailed():
                self.healthy = False
            case ProbeResult(service=service) if service != self._service:
                self._reset_identity(now_s)
            case ProbeResult(state=TargetHealth.STARTING):
                self._reset_identity(now_s)
                self._starts_cold = True
            case ProbeResult(state=TargetHealth.DRAINING):
                self.healthy = True
                self._set_identity(outcome.incarnation, now_s)
                self._drain_status.set_by_target(outcome.incarnation, now_s)
                self._step_if_allowed("drain", now_s)
            case ProbeResult():
                self.healthy = True
                self._on_ready(outcome, now_s)

    def on_finished(
        self, kind: FinishKind, slow: bool, retry_after_s: float, now_s: float
    ) -> None:
        """Update backoff and failure counts after an attempt.

        Parameters
        ----------
        kind : FinishKind
            Outcome of the attempt.
        slow : bool
            Whether it took much longer than the average.  A late answer to a request
            with a short deadline is not a failure of the target.
        retry_after_s : float
            Backoff that it requested, in seconds; 0 if none.
        now_s : float
            Current time, in seconds.
        """
        match kind:
            case FinishKind.OK:
                self._on_success(now_s)
            case FinishKind.SHED:
                self._failures.on_shed(retry_after_s, now_s)
            case FinishKind.MISDIRECTED:
                self._reset_identity(now_s)
            case FinishKind.CONNECT_FAILED:
                self._failures.on_connect_failed(now_s)
            case FinishKind.BROKEN:
                self._failures.on_request_failed()
            case FinishKind.LATE if slow:
                self._failures.on_request_failed()

    def is_failing(self, stall_after_s: float, now_s: float) -> bool:
        """Return whether its failures or stalled requests justify an ejection.

        Parameters
        ----------
        stall_after_s : float
            Longest permitted time without a completion, in seconds.
        now_s : float
            Current time, in seconds.
        """
        limit = 1 if self.state == "trial" else self._settings.failures_to_eject
        if self._failures.reached_limit(limit):
            return True
        # A slow request is no evidence of a stall while a free slot could still
        # complete other requests.
        all_held = len(self.running) >= max(1, self.usable_slots(now_s))
        running = list(self.running.values())
        return all_held and self._failures.is_stalled(running, stall_after_s, now_s)

    def eject(self, now_s: float) -> None:
        """Eject it for a time that doubles with each ejection."""
        self._step("eject", now_s)
        self._failures.start_ejection(now_s)

    def advance(self, now_s: float) -> None:
        """End an ejection or slow start whose time has passed."""
        if self.state == "ejected" and now_s >= self._failures.ejected_until_s:
            self._step("ejection_over", now_s)
        if (
            self.state == "cold"
            and now_s - self._state_since_s >= self._settings.slow_start_s
        ):
            self._step("warmed", now_s)

    def usable_slots(self, now_s: float) -> int:
        """Return the number of requests that it may run concurrently."""
        if now_s < self.backoff_until_s:
            return 0
        match self.state:
            case "ready":
                return self.record.slots
            case "cold":
                age_s = now_s - self._state_since_s
                return ramped_slots(
                    self.record.slots, age_s, self._settings.slow_start_s
                )
            case "trial":
                return 1
            case _:
                return 0

    def blocked_until_s(self) -> float:
        """Return the earliest time at which it may accept requests, in seconds."""
        if self.state == "ejected":
            return max(self.backoff_until_s, self._failures.ejected_until_s)
        return self.backoff_until_s

    def free_slots(self, now_s: float, reduced: bool = False) -> int:
        """Return the number of requests that can start now, at least zero.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        reduced : bool
            Whether to count only ``unhealthy_slot_share`` of the slots, which a target
            with a failing health endpoint keeps for unpinned requests.
        """
        usable = self.usable_slots(now_s)
        if usable == 0:
            return 0
        if reduced:
            usable = max(1, int(usable * self._settings.unhealthy_slot_share))
        return max(
            0, usable - len(self.running) - self.load.reserved_slots(usable, now_s)
        )

    def can_start(self, now_s: float, reduced: bool = False) -> bool:
        """Return whether a request can start now; see `free_slots`."""
        return self.free_slots(now_s, reduced) > 0 and self.free_connections() > 0

    def accepts_non_idempotent(self, now_s: float) -> bool:
        """Return whether a non-idempotent request may start on it."""
        if self.state != "trial":
            return True
        return now_s - self._state_since_s >= self._settings.trial_idempotent_s

    def _on_ready(self, result: ProbeResult, now_s: float) -> None:
        self._drain_status.on_ready(result, now_s)
        if not self._drain_status.is_draining and not self.record.draining:
            self._step_if_allowed("undrain", now_s)
        self._set_identity(result.incarnation, now_s)
        self.load.on_report(result, len(self.running), now_s)

    def _set_identity(self, incarnation: int, now_s: float) -> None:
        if self.state == "gone":
            return
        changed = self.incarnation not in (0, incarnation)
        if self.incarnation != incarnation:
            self._failures = FailureTracker(self._settings)
        self.incarnation = incarnation
        self._starts_cold = self._starts_cold or changed
        if self.record.draining or self._drain_status.is_draining:
            return
        if changed:
            self._step("identified_new", now_s)
        elif self.state == "unknown":
            self._step("identified_new" if self._starts_cold else "identified", now_s)
        self._starts_cold = False

    def _reset_identity(self, now_s: float) -> None:
        self._starts_cold = self._starts_cold or self.incarnation != 0
        self.incarnation = 0
        self._step_if_allowed("identity_lost", now_s)

    def _on_success(self, now_s: float) -> None:
        self._failures.on_success(now_s, reset_ejections=self.state == "ready")
        self._step_if_allowed("trial_passed", now_s)

    def _step(self, event: str, now_s: float) -> None:
        self.state = self._chart.step(self.state, event)
        self._state_since_s = now_s

    def _step_if_allowed(self, event: str, now_s: float) -> None:
        if self._chart.allows(self.state, event):
            self._step(event, now_s)

"""Logs each decision and each change of belief, and counts them.

Each line names its subject, the basis of the decision, the age or version of that
basis, and the outcome.
"""

from endivepick.errors import PacketInvalidError
from endivepick.forwarder.logs import BoundedLog, truncate_number
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.ports import FeedKind, UnreadableItem
from endivepick.forwarding import (
    BeliefChange,
    Configuration,
    ConfigurationChange,
    DecisionRecord,
    DropReason,
    EvacuationChange,
    FaultConfirmed,
    OpeningRejected,
    OverloadChanged,
    ProbeResult,
    Reset,
    ResetReason,
)

__all__ = ["DecisionLog"]

_TRACE_FRAMES = -3
"""Number of innermost frames of an error's traceback that are logged."""


class DecisionLog:
    """Logs the decisions, the news and the errors of a forwarder.

    Parameters
    ----------
    log : BoundedLog
        Receives the lines.
    metrics : ForwarderMetrics
        Counts the events.
    """

    def __init__(self, log: BoundedLog, metrics: ForwarderMetrics) -> None:
        self.log = log
        self.metrics = metrics

    def log_decision(self, note: DecisionRecord) -> None:
        """Log a decision about a flow."""
        if note.name == "flow_placed":
            self.metrics.count("flows_placed", note.reason)
        self.log.event(
            "flow",
            note.name,
            note.name.replace("_", " "),
            flow_key=str(note.flow),
            target=note.target,
            reason=note.reason,
            candidates=note.candidates,
            load=truncate_number(note.load),
            copy=note.copy,
            config_version=note.version,
            belief_age_s=truncate_number(note.age_s),
        )

    def log_belief_change(self, change: BeliefChange) -> None:
        """Log a change of the belief about a target."""
        self.metrics.count("target_changes", change.after)
        self.log.event(
            "target",
            "target_belief",
            f"{change.target} changed to {change.after}",
            target=change.target,
            service=change.service,
            before=change.before,
            after=change.after,
            reason=change.reason,
            before_for_s=truncate_number(change.age_s),
            revision=change.revision,
        )

    def log_fault_confirmed(self, confirmed: FaultConfirmed) -> None:
        """Log the confirmed fault for which flows of a target may be reset."""
        told_before_s = confirmed.told_before_s
        self.log.event(
            "target",
            "fault_confirmed",
            f"{confirmed.target} is {confirmed.fault.value}",
            target=confirmed.target,
            service=confirmed.service,
            fault=confirmed.fault.value,
            reason=confirmed.reason,
            told_before_s=_truncate(told_before_s),
            overdue_routes=confirmed.overdue_routes,
        )

    def log_opening_rejected(self, rejected: OpeningRejected) -> None:
        """Log that an opening is rejected because its service is overloaded."""
        decision = rejected.decision
        self.metrics.count("openings_rejected", str(decision.priority))
        self.log.event(
            "flow",
            "flow_reset",
            f"opening rejected: {decision.service} is overloaded",
            flow_key=str(rejected.flow),
            target="",
            reason=ResetReason.OVERLOADED.value,
            service=decision.service,
            priority=decision.priority,
            admitted_share=truncate_number(decision.admitted_share),
            short_share=truncate_number(decision.short_share),
            busy_per_slot=truncate_number(decision.busy_per_slot),
            config_version=rejected.version,
            signals_age_s=truncate_number(decision.age_s),
        )

    def log_overload_changed(self, change: OverloadChanged) -> None:
        """Log that the overload state of a service has changed."""
        self.metrics.count("overload_changes", change.state.value)
        self.log.event(
            "service",
            "overload_changed",
            f"{change.service} is {change.state.value}",
            service=change.service,
            state=change.state.value,
            short_share=truncate_number(change.short_share),
            busy_per_slot=truncate_number(change.busy_per_slot),
            signals_age_s=truncate_number(change.age_s),
        )

    def log_target_reset(self, reset: Reset) -> None:
        """Log that a flow is reset because of its target."""
        self.log.event(
            "flow",
            "flow_reset",
            "flow reset because of its target",
            flow_key=str(reset.flow),
            target=reset.target,
            reason=reset.reason.value,
            quiet_s=_truncate(reset.quiet_s),
            evidence_age_s=_truncate(reset.evidence_age_s),
        )

    def log_probe(self, result: ProbeResult) -> None:
        """Log the outcome of a probe."""
        self.metrics.count("probes", result.outcome.value)
        self.metrics.count("probe_causes", result.cause.value)
        self.log.event(
            "probe",
            "target_probed",
            f"probe of {result.target}: {result.outcome.value}",
            target=result.target,
            outcome=result.outcome.value,
            cause=result.cause.value,
            took_s=truncate_number(result.took_s),
            compared=result.compared,
            probed_born_ms=result.probed_born_ms,
            shown_born_ms=result.shown_born_ms,
        )

    def log_hint(self, target: str) -> None:
        """Log a peer's hint that a target does not answer."""
        self.log.event(
            "peer",
            "peer_hint",
            f"peer reports that {target} does not answer",
            target=target,
        )

    def log_configuration(
        self, configuration: Configuration, in_force: bool, learnt_from: str
    ) -> None:
        """Log that a configuration was received from the store or another instance."""
        self.log.event(
            "config",
            "config_in_force" if in_force else "config_ignored",
            f"version {configuration.version} received",
            config_version=configuration.version,
            revision=configuration.revision,
            routes=len(configuration.routes),
            learnt_from=learnt_from,
        )

    def log_evacuation(
        self, change: EvacuationChange, learnt_from: str, before_s: float
    ) -> None:
        """Log that the evacuation of a zone came into force here, or ended.

        Parameters
        ----------
        change : EvacuationChange
            The change.
        learnt_from : str
            Where it was learnt: from the store, a feeder or a peer.
        before_s : float
            Time since the store last answered there, in seconds.
        """
        event = "zone_evacuated" if change.in_force else "zone_returned"
        self.metrics.count("evacuation_changes", event)
        self.log.event(
            "zone",
            event,
            f"{change.zone} takes {'no' if change.in_force else 'new'} flows",
            zone=change.zone,
            revision=change.revision,
            learnt_from=learnt_from,
            heard_before_s=truncate_number(before_s),
        )

    def log_inapplicable_delta(
        self, change: ConfigurationChange, known_revision: int
    ) -> None:
        """Log that a delta does not start from the version in force."""
        self.log.event(
            "config",
            "change_unfit",
            "delta does not apply; reading the configuration from the store",
            config_version=change.version,
            revision=change.revision,
            before_revision=change.before_revision,
            known_revision=known_revision,
        )

    def log_snapshot(
        self, peer: str, config_version: int | None, revision: int, age_s: float
    ) -> None:
        """Log a peer's snapshot and the time since the store last answered the peer.

        The version is None if the peer had no newer configuration.
        """
        self.log.event(
            "peer",
            "peer_snapshot",
            "received a peer's snapshot",
            peer=peer,
            config_version=config_version,
            revision=revision,
            heard_before_s=truncate_number(age_s),
        )

    def log_unreadable(self, kind: FeedKind, item: UnreadableItem) -> None:
        """Log that an object of the store, or of another instance, was skipped."""
        self.metrics.count("items_unreadable", kind.value)
        self.log.warning(
            "store",
            "item_unreadable",
            "skipped an unreadable object",
            kind=kind.value,
            item=item.name,
            fault=item.fault,
            revision=item.revision,
        )

    def log_malformed(self, error: PacketInvalidError, size_bytes: int) -> None:
        """Log that a datagram is not a valid packet."""
        self.metrics.count("packets_dropped", DropReason.MALFORMED.value)
        self.log.warning(
            "packet",
            "packet_malformed",
            "malformed packet dropped",
            reason=error.reason,
            bytes=size_bytes,
        )

    def log_packet_error(self, error: Exception) -> None:
        """Log that a packet was dropped because of an internal error."""
        self.metrics.count("packets_dropped", "fault")
        self._log_error(
            "packet",
            "packet_failed",
            "packet dropped because of an internal error",
            error,
        )

    def log_task_error(self, name: str, error: Exception) -> None:
        """Log that a task failed with an internal error and is restarted."""
        self.metrics.count("tasks_failed", name)
        self._log_error(
            "task",
            "task_failed",
            f"{name} restarts after an internal error",
            error,
        )
        self.log.flush()

    def log_pause(self, paused_s: float) -> None:
        """Log that the process was paused."""
        self.log.warning(
            "clock",
            "process_paused",
            "process was paused; reading all lists again",
            paused_s=truncate_number(paused_s),
        )

    def log_start(self, data_address: str) -> None:
        """Log that all sockets are bound."""
        self.log.event("start", "started", "started", data_address=data_address)
        self.log.flush()

    def log_ready(self, after_s: float, targets: int) -> None:
        """Log that routes and targets are known."""
        self.log.event(
            "start",
            "ready",
            "routes and targets known",
            after_s=truncate_number(after_s),
            targets=targets,
        )

    def log_stop_begin(self, flows: int, forwards_for_s: float) -> None:
        """Log the start of a planned stop."""
        self.log.event(
            "stop",
            "stop_begun",
            "planned stop started",
            flows=flows,
            forwards_for_s=forwards_for_s,
        )
        self.log.flush()

    def log_stop_end(self, flows: int) -> None:
        """Log the end of a planned stop."""
        self.log.event("stop", "stopped", "stopped", flows=flows)
        self.log.flush()

    def _log_error(self, part: str, name: str, message: str, error: Exception) -> None:
        # Imported on demand, since it would delay the start.
        import traceback

        self.log.warning(
            part,
            name,
            f"{message}; please report it",
            error=repr(error),
            where=traceback.format_exc(limit=_TRACE_FRAMES),
        )


def _truncate(number: float | None) -> float | None:
    return None if number is None else truncate_number(number)

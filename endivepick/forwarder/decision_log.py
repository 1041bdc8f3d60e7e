"""One line for each decision and each change of belief, and the counters beside them.

Each line has the id that it is about, what decided, the age or version of that, and the
outcome.
"""

from endivepick.errors import PacketInvalidError
from endivepick.forwarder.logs import BoundedLog, rounded
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.ports import FeedKind, UnreadableItem
from endivepick.forwarding import (
    BeliefChange,
    Configuration,
    ConfigurationChange,
    DecisionRecord,
    DropReason,
    FaultConfirmed,
    ProbeResult,
    Reset,
)

__all__ = ["DecisionLog"]

_TRACE_FRAMES = -3
"""Innermost frames of a fault that are written."""


class DecisionLog:
    """Writes what a forwarder decides, learns and meets.

    Parameters
    ----------
    log : BoundedLog
        Takes the lines.
    metrics : ForwarderMetrics
        Counts what the lines say.
    """

    def __init__(self, log: BoundedLog, metrics: ForwarderMetrics) -> None:
        self.log = log
        self.metrics = metrics

    def note(self, note: DecisionRecord) -> None:
        """Write a decision about a flow."""
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
            load=rounded(note.load),
            copy=note.copy,
            config_version=note.version,
            belief_age_s=rounded(note.age_s),
        )

    def belief_change(self, change: BeliefChange) -> None:
        """Write a change of what is believed of a target."""
        self.metrics.count("target_changes", change.after)
        self.log.event(
            "target",
            "target_belief",
            f"{change.target} now {change.after}",
            target=change.target,
            service=change.service,
            before=change.before,
            after=change.after,
            reason=change.reason,
            before_for_s=rounded(change.age_s),
            revision=change.revision,
        )

    def fault_confirmed(self, confirmed: FaultConfirmed) -> None:
        """Write for which fault flows of a target may be reset from now on."""
        told_before_s = confirmed.told_before_s
        self.log.event(
            "target",
            "fault_confirmed",
            f"{confirmed.target} is {confirmed.fault.value}",
            target=confirmed.target,
            service=confirmed.service,
            fault=confirmed.fault.value,
            reason=confirmed.reason,
            told_before_s=None if told_before_s is None else rounded(told_before_s),
        )

    def reset_with_target(self, reset: Reset) -> None:
        """Write that a flow is reset because of its target."""
        self.log.event(
            "flow",
            "flow_reset",
            "flow reset with its target",
            flow_key=str(reset.flow),
            target=reset.target,
            reason=reset.reason.value,
        )

    def probe(self, result: ProbeResult) -> None:
        """Write the outcome of a probe."""
        self.metrics.count("probes", result.outcome.value)
        self.log.event(
            "probe",
            "target_probed",
            f"{result.target} {result.outcome.value}",
            target=result.target,
            outcome=result.outcome.value,
            probed_born_ms=result.probed_born_ms,
            shown_born_ms=result.shown_born_ms,
        )

    def hint(self, target: str) -> None:
        """Write that a peer says a target does not answer."""
        self.log.event("peer", "peer_hint", f"{target} may be lost", target=target)

    def configuration(
        self, configuration: Configuration, in_force: bool, learnt_from: str
    ) -> None:
        """Write that a configuration was read, or told by another instance."""
        self.log.event(
            "config",
            "config_in_force" if in_force else "config_ignored",
            f"version {configuration.version} read",
            config_version=configuration.version,
            revision=configuration.revision,
            routes=len(configuration.routes),
            learnt_from=learnt_from,
        )

    def change_unfit(self, change: ConfigurationChange, known_revision: int) -> None:
        """Write that a change starts from another version than that in force."""
        self.log.event(
            "config",
            "change_unfit",
            "change left out, reading the configuration from the store",
            config_version=change.version,
            revision=change.revision,
            before_revision=change.before_revision,
            known_revision=known_revision,
        )

    def snapshot(
        self, peer: str, config_version: int | None, revision: int, age_s: float
    ) -> None:
        """Write what a peer knew, and how long ago the store had answered it.

        The version is None if the peer knew no newer one.
        """
        self.log.event(
            "peer",
            "peer_snapshot",
            "learnt from a peer",
            peer=peer,
            config_version=config_version,
            revision=revision,
            heard_before_s=rounded(age_s),
        )

    def unreadable(self, kind: FeedKind, item: UnreadableItem) -> None:
        """Write that an object of the store, or told by an instance, was skipped."""
        self.metrics.count("items_unreadable", kind.value)
        self.log.warning(
            "store",
            "item_unreadable",
            "item skipped",
            kind=kind.value,
            item=item.name,
            fault=item.fault,
            revision=item.revision,
        )

    def malformed(self, error: PacketInvalidError, size_bytes: int) -> None:
        """Write that a datagram was no packet."""
        self.metrics.count("packets_dropped", DropReason.MALFORMED.value)
        self.log.warning(
            "packet",
            "packet_malformed",
            "malformed packet dropped",
            reason=error.reason,
            bytes=size_bytes,
        )

    def packet_failed(self, error: Exception) -> None:
        """Write that a packet was dropped by a fault of ours."""
        self.metrics.count("packets_dropped", "fault")
        self._fault("packet", "packet_failed", "packet dropped by a fault", error)

    def task_failed(self, name: str, error: Exception) -> None:
        """Write that a task met a fault of ours and begins again."""
        self.metrics.count("tasks_failed", name)
        self._fault("task", "task_failed", f"{name} begins again after a fault", error)
        self.log.flush()

    def paused(self, paused_s: float) -> None:
        """Write that the process stood still."""
        self.log.warning(
            "clock",
            "process_paused",
            "process stood still, reading everything again",
            paused_s=rounded(paused_s),
        )

    def started(self, data_address: str) -> None:
        """Write that all sockets are bound."""
        self.log.event("start", "started", "started", data_address=data_address)
        self.log.flush()

    def ready(self, after_s: float, targets: int) -> None:
        """Write that routes and targets are known."""
        self.log.event(
            "start",
            "ready",
            "routes and targets known",
            after_s=rounded(after_s),
            targets=targets,
        )

    def stop_begun(self, flows: int, forwards_for_s: float) -> None:
        """Write that a planned stop has begun."""
        self.log.event(
            "stop",
            "stop_begun",
            "planned stop begun",
            flows=flows,
            forwards_for_s=forwards_for_s,
        )
        self.log.flush()

    def stopped(self, flows: int) -> None:
        """Write that the planned stop is over."""
        self.log.event("stop", "stopped", "stopped", flows=flows)
        self.log.flush()

    def _fault(self, part: str, name: str, message: str, error: Exception) -> None:
        # Loaded only when it is needed: it would delay the start.
        import traceback

        self.log.warning(
            part,
            name,
            f"{message}, report it",
            error=repr(error),
            where=traceback.format_exc(limit=_TRACE_FRAMES),
        )

"""Failure detection of targets from callers' retransmissions and from probes.

Scenario: a target crashes while callers hold open flows to it.  Each instance
observes only some of these flows.  A caller retransmits its data after 0.2 s; the
registry removes the entry after three missed heartbeats, which is seconds later.  One
retransmission is enough to start a probe, since a probe costs a target about a
millisecond of a slot.  Only a probe is enough to reset flows, since packets are lost
occasionally.  A probe may also stay unanswered although its target serves: a packet
of it is lost, or the target's queue of new connections is full.  So a target is silent
only after two signs that this instance has observed itself: two unanswered probes, or a
caller's retransmission and an unanswered probe.  What others report starts a probe and
is no sign: all instances of a zone hear it at the same moment.
"""

from collections.abc import Sequence

from endivepick.forwarding.actions import (
    DecisionRecord,
    Effect,
    ProbeCause,
    ProbeOutcome,
    ProbeTarget,
    ResetReason,
)
from endivepick.forwarding.belief import (
    Reachability,
    ReachabilityEvent,
    TargetBelief,
    TargetRestart,
    TargetState,
)
from endivepick.forwarding.fault_confirmation import REPORT_VALID_S
from endivepick.forwarding.fitness_reports import SilentTarget
from endivepick.forwarding.flows import FlowTable
from endivepick.forwarding.model import FlowKey, RouteKind, Target
from endivepick.forwarding.placement_filter import PlacementFilter
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.resets import reset_flow
from endivepick.forwarding.routes import RouteTable
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["FailureDetector"]

MAX_REFUSED_PROBE_GAP_S = 2.0
"""Longest time between probes of a target that refuses connections.

A partition that resets connections looks the same, and flows of live targets are reset
until a probe succeeds again."""
MAX_REPLACED_PROBE_GAP_S = 8.0
"""Longest time between probes if another incarnation answers at the address, since the
probes wait in its queue."""
PROBE_GAP_SHARE = 0.5
"""Time between probes of a dead target as a share of the time since it was found
dead."""
CONTROL_PROGRESS_S = 2.0
"""Largest time since the last progress of a target that serves as control of a probe.

If the control has ended since, the probe waits as long as without a control."""
PROBE_INTERVAL_S = 0.01
"""Mean time between two probes of a target by all instances of a zone, if all of them
have the same cause at the same moment.

A target's queue of new connections is shorter than the number of instances."""
MIN_PROBE_SPREAD_S, MAX_PROBE_SPREAD_S = 0.2, 1.0
"""Bounds of the time over which the instances of a zone spread these probes."""
CONFIRMATION_DELAY_S = 0.1
"""Time from the end of an unanswered probe to the next one.

A burst of connections that filled the target's queue is over by then."""
_SHARED_CAUSES = frozenset(
    {
        ProbeCause.ENTRY_REMOVED,
        ProbeCause.ZONE_REPORT,
        ProbeCause.SILENT_NEIGHBOUR,
        ProbeCause.CONFIRMATION,
    }
)
"""Causes of which all instances of a zone learn at the same moment."""
_CAUSES_DURING_STOP = frozenset({ProbeCause.ENTRY_REMOVED, ProbeCause.RETRY})
"""Causes that do not depend on where the packets of flows go."""
_DEFAULT_HEALTH_PATH = "/health"
_PROBE_EVENTS = {
    ProbeOutcome.ALIVE: ReachabilityEvent.PROBE_ALIVE,
    ProbeOutcome.SILENT: ReachabilityEvent.PROBE_SILENT,
    ProbeOutcome.REFUSED: ReachabilityEvent.PROBE_REFUSED,
    ProbeOutcome.REPLACED: ReachabilityEvent.PROBE_REFUSED,
}


class FailureDetector:
    """Suspects targets on missing progress and settles suspicions by probes.

    Parameters
    ----------
    settings : ForwardingSettings
        Gaps between probes, and enabled mechanisms.
    registry : TargetRegistry
        Beliefs to update.
    flows : FlowTable
        Flows to reset when a target fails.
    routes : RouteTable
        Health paths of the services.
    placement_filter : PlacementFilter
        Targets to which flows may go instead.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        registry: TargetRegistry,
        flows: FlowTable,
        routes: RouteTable,
        placement_filter: PlacementFilter,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._flows = flows
        self._routes = routes
        self._filter = placement_filter
        self._reported_silent: frozenset[SilentTarget] = frozenset()
        self._stopped = False
        self._spread_s = MIN_PROBE_SPREAD_S

    def set_instance_bound(self, instances: int) -> None:
        """Set an upper bound of the number of instances of the installation."""
        spread_s = PROBE_INTERVAL_S * instances / self._settings.zones
        self._spread_s = min(max(MIN_PROBE_SPREAD_S, spread_s), MAX_PROBE_SPREAD_S)

    def stop(self) -> None:
        """Reset flows only in answer to their packets, and suspect no target for them.

        Scenario: an instance stops, and the fabric sends the next packets of its flows
        to other instances.  Here openings stay unanswered, requests look lost, and no
        target shows progress, although all of them serve.
        """
        self._stopped = True

    def suspect(
        self, belief: TargetBelief, flow: FlowKey, since_s: float, now_s: float
    ) -> list[Effect]:
        """Suspect and probe a target after a caller's retransmission.

        Parameters
        ----------
        belief : TargetBelief
            The target.
        flow : FlowKey
            The flow whose caller retransmits.
        since_s : float
            When the unacknowledged data was first received, in seconds.
        now_s : float
            Present time, in seconds.
        """
        if not self._settings.mechanisms.probe_repetition:
            return []
        if now_s - since_s < self._settings.repeat_after_s:
            return []
        cause = ProbeCause.CALLERS_REPEAT
        probe = self._probe_unless_progressed(belief, since_s, cause, now_s)
        if not probe:
            return []
        event, reason = ReachabilityEvent.CALLERS_REPEAT, "callers repeat"
        age_s = now_s - since_s
        return [
            DecisionRecord(
                "flow_repeats", flow, belief.name, "no progress", age_s=age_s
            ),
            *self._registry.record_reachability(belief, event, reason, now_s),
            *probe,
        ]

    def on_opening_unanswered(
        self, belief: TargetBelief, flow: FlowKey, since_s: float, now_s: float
    ) -> list[Effect]:
        """Probe a target after an opening packet that neither a copy nor data followed.

        Scenario: a target's process ends while its host keeps running and resets
        openings itself.  Callers then retry on another flow, and no packet shows the
        failure until the registry removes the entry about two seconds later.  If the
        rest of the flow goes to another instance, the probe finds a live target; at
        most one probe per opening costs little compared with the flow's requests.

        Parameters
        ----------
        belief : TargetBelief
            The target.
        flow : FlowKey
            The flow that was opened there.
        since_s : float
            When its opening packet was forwarded, in seconds.
        now_s : float
            Present time, in seconds.
        """
        if not self._settings.mechanisms.probe_silent_openings:
            return []
        cause = ProbeCause.OPENING_UNANSWERED
        probe = self._probe_unless_progressed(belief, since_s, cause, now_s)
        if not probe:
            return []
        age_s = now_s - since_s
        return [
            DecisionRecord(
                "opening_unanswered", flow, belief.name, "probed", age_s=age_s
            ),
            *probe,
        ]

    def on_entry_removed(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Probe a target whose registry entry was removed if it has flows here.

        Scenario: after an outage of the store all entries are missing for seconds,
        and hundreds of instances know them.  If each probed all targets, a target would
        get hundreds of probes at once, which wait in its queue ahead of requests.  So
        only targets with flows at this instance are probed; new flows detect a failure
        by themselves.
        """
        if belief.reachability is Reachability.DEAD or not belief.flows:
            return []
        return [*self._probe(belief, ProbeCause.ENTRY_REMOVED, now_s)]

    def progress(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Mark a target as reachable after a caller acknowledged new data from it."""
        if belief.reachability is Reachability.REACHABLE:
            return []
        event = ReachabilityEvent.PROGRESS
        return [*self._registry.record_reachability(belief, event, "progress", now_s)]

    def on_probe(
        self, belief: TargetBelief, outcome: ProbeOutcome, now_s: float
    ) -> list[Effect]:
        """Update reachability from the outcome of a probe, and reset flows."""
        belief.probe_ended_s = max(now_s, belief.probed_s)
        if outcome is ProbeOutcome.NOT_MADE:
            return []
        if outcome is ProbeOutcome.SILENT and belief.progress_s > belief.probed_s:
            # It answered a caller since, so a packet of the probe was lost.
            return []
        reason = f"probe: {outcome.value}"
        belief.replaced = outcome is ProbeOutcome.REPLACED
        changes = self._registry.record_reachability(
            belief, _PROBE_EVENTS[outcome], reason, now_s
        )
        effects: list[Effect] = [*changes, *self.reset_flows(belief, now_s)]
        if changes and belief.reachability is Reachability.SILENT:
            effects += self._probe_zone(belief, now_s)
        return effects

    def reset_flows(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Reset and remove the flows of a target that cannot serve them."""
        effects: list[Effect] = []
        if self._stopped or not self._may_reset(belief):
            return effects
        alternative_exists = self.has_alternative(belief)
        for flow in self._flows.of_target(belief):
            busy = flow.busy_since_s is not None
            reason = decide_reset(belief, flow.kind, busy, alternative_exists)
            # The next copy of an opening packet is placed on another target anyway.
            if reason is None or not flow.opened:
                continue
            since_s = belief.reachability_since_s
            effects.append(reset_flow(self._flows, flow, reason, since_s, now_s))
        return effects

    def find_reset_reason(
        self, belief: TargetBelief, kind: RouteKind
    ) -> ResetReason | None:
        """Return why a flow with a packet in transit has to be reset, or None.

        Parameters
        ----------
        belief : TargetBelief
            The flow's target.
        kind : RouteKind
            Whether the flow's requests are idempotent.
        """
        if not self._may_reset(belief):
            return None
        return decide_reset(belief, kind, True, self.has_alternative(belief))

    def _may_reset(self, belief: TargetBelief) -> bool:
        """Whether resets of flows of a target are enabled."""
        if belief.state is TargetState.GONE:
            return True
        return self._settings.mechanisms.reset_unreachable

    def reset_former_incarnation(
        self, restart: TargetRestart, began_s: float, now_s: float
    ) -> list[Effect]:
        """Reset the flows of the previous incarnation of a restarted target.

        The new incarnation does not know these flows and resets each one when it
        receives a packet of it, but then the next at-most-once request of an idle flow
        fails, since its caller may not retry it.  Flows that may already be open at the
        new incarnation are kept.

        Parameters
        ----------
        restart : TargetRestart
            Beliefs about the two incarnations.
        began_s : float
            Earliest possible start of the new incarnation under the allowed clock
            differences, in seconds.
        now_s : float
            Present time, in seconds.
        """
        effects: list[Effect] = []
        if self._stopped:
            return effects
        reason = ResetReason.TARGET_RESTARTED
        for flow in self._flows.of_target(restart.before):
            if flow.opened_s is None or flow.opened_s >= began_s:
                continue
            effects.append(reset_flow(self._flows, flow, reason, now_s, now_s))
        return effects

    def has_alternative(self, belief: TargetBelief) -> bool:
        """Whether the service has another reachable target that may take flows."""
        candidates = self._filter.find_candidates(belief.target.service)
        reachable = (*candidates.own, *candidates.others)
        return any(other is not belief for other in reachable)

    def verify_hint(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Probe a target that a peer reported as not answering.

        Scenario: some dozen targets end at once, hundreds of instances receive a
        hint for each, and another target may use the address by then.  Only instances
        probe that have flows there or whose new flows would go there first.
        """
        belief.hinted_s = now_s
        if belief.reachability is not Reachability.REACHABLE:
            return []
        if not (belief.flows or self._is_first_choice(belief)):
            return []
        return [*self._probe(belief, ProbeCause.PEER_HINT, now_s)]

    def _is_first_choice(self, belief: TargetBelief) -> bool:
        """Whether placement prefers targets of this target's zone."""
        if belief.target.zone == self._settings.zone:
            return True
        return not self._filter.find_candidates(belief.target.service).own

    def find_silent_targets(self, now_s: float) -> list[SilentTarget]:
        """Return targets of the own zone that were recently found silent here.

        Targets of other zones are left out, since in a partition all of them are
        silent.
        """
        if self._stopped or not self._settings.mechanisms.tell_silence:
            return []
        return [
            SilentTarget(belief.name, belief.target.born_ms)
            for belief in self._registry.targets_to_revisit
            if belief.reachability is Reachability.SILENT
            and belief.target.zone == self._settings.zone
            and now_s - belief.reachability_since_s <= REPORT_VALID_S
        ]

    def verify_silent_targets(
        self, silent: Sequence[SilentTarget], now_s: float
    ) -> list[Effect]:
        """Probe targets that other instances of the zone recently found silent.

        Scenario: many targets lose power at once, and each has flows at a dozen
        instances.  Without the report, each instance would lose a request before it
        probes.  Only instances with flows there probe, once per report, so that the
        cost is low if the fault was the link of the reporting instance.

        Parameters
        ----------
        silent : sequence of SilentTarget
            Silent targets of the zone's report.
        now_s : float
            Present time, in seconds.
        """
        before, self._reported_silent = self._reported_silent, frozenset(silent)
        new = [reported for reported in silent if reported not in before]
        effects: list[Effect] = []
        if not self._settings.mechanisms.tell_silence:
            return effects
        for reported in new:
            belief = self._registry.get(reported.name)
            if belief is None or belief.target.born_ms != reported.born_ms:
                continue
            if belief.flows and belief.reachability is Reachability.REACHABLE:
                effects += self._probe(belief, ProbeCause.ZONE_REPORT, now_s)
        return effects

    def retry_probes(self, now_s: float) -> list[Effect]:
        """Probe targets again that are not reachable.

        A suspect is probed again soon after its first unanswered probe.  Targets that
        are gone are probed only until it is known whether they still serve their flows.

        A dead target is probed as well while its entry exists: a partition that resets
        connections looks like a process that has ended, and without probes, flows of
        live targets would still be reset after the partition.  The gap between probes
        grows with the time since the target was found dead, since hundreds of instances
        probe it.
        """
        effects: list[Effect] = []
        for belief in self._registry.targets_to_revisit:
            match belief.reachability:
                case Reachability.REACHABLE:
                    continue
                case Reachability.SUSPECT if _has_ended_probe(belief):
                    effects += self._confirm(belief, now_s)
                case _ if belief.state is TargetState.GONE:
                    continue
                case _ if now_s - belief.probed_s >= self._retry_gap_s(belief, now_s):
                    effects += self._probe(belief, ProbeCause.RETRY, now_s)
        return effects

    def _confirm(self, belief: TargetBelief, now_s: float) -> list[ProbeTarget]:
        """Probe a target for the second time, shortly after the first probe."""
        if belief.state is TargetState.GONE and not belief.flows:
            return []
        if now_s - belief.probe_ended_s < CONFIRMATION_DELAY_S:
            return []
        return self._start_probe(belief, ProbeCause.CONFIRMATION, now_s)

    def _retry_gap_s(self, belief: TargetBelief, now_s: float) -> float:
        """Return the time between two probes, which grows while a target is dead."""
        gap_s = self._settings.probe_gap_s
        if belief.reachability is not Reachability.DEAD:
            return gap_s
        longest_s = MAX_REFUSED_PROBE_GAP_S
        if belief.replaced:
            longest_s = MAX_REPLACED_PROBE_GAP_S
        dead_for_s = now_s - belief.reachability_since_s
        return max(gap_s, min(PROBE_GAP_SHARE * dead_for_s, longest_s))

    def _probe_zone(self, silent: TargetBelief, now_s: float) -> list[Effect]:
        """Probe the other targets of a zone after one of them became silent.

        A partition cuts off a whole zone at once; without these probes each of its
        targets is detected only after a request to it was lost.
        """
        effects: list[Effect] = []
        if not self._settings.mechanisms.probe_silent_zone:
            return effects
        if not self._may_be_partitioned(silent):
            return effects
        for belief in self._registry:
            if belief.target.zone != silent.target.zone or not belief.flows:
                continue
            if belief.reachability is Reachability.REACHABLE:
                effects += self._probe(belief, ProbeCause.SILENT_NEIGHBOUR, now_s)
        return effects

    def _may_be_partitioned(self, silent: TargetBelief) -> bool:
        """Whether the silence of a target may be that of its whole zone.

        No partition separates an instance from its own zone, and a target that drains
        or has left may end at any time.  Otherwise all instances of a zone would probe
        all its targets whenever one target leaves, and targets whose queue of new
        connections overflows would be found silent.
        """
        return silent.takes_flows and silent.target.zone != self._settings.zone

    def _probe_unless_progressed(
        self, belief: TargetBelief, since_s: float, cause: ProbeCause, now_s: float
    ) -> list[ProbeTarget]:
        """Probe a reachable target without progress since a time."""
        if belief.reachability is not Reachability.REACHABLE:
            return []
        if belief.progress_s > since_s:
            return []
        return self._probe(belief, cause, now_s)

    def _probe(
        self, belief: TargetBelief, cause: ProbeCause, now_s: float
    ) -> list[ProbeTarget]:
        if self._stopped and cause not in _CAUSES_DURING_STOP:
            return []
        if now_s - belief.probed_s < self._settings.probe_gap_s:
            return []
        return self._start_probe(belief, cause, now_s)

    def _start_probe(
        self, belief: TargetBelief, cause: ProbeCause, now_s: float
    ) -> list[ProbeTarget]:
        spread_s = self._spread_s if cause in _SHARED_CAUSES else 0.0
        belief.probed_s = now_s + spread_s
        configuration = self._routes.configuration
        paths = {} if configuration is None else configuration.health_paths
        path = paths.get(belief.target.service, _DEFAULT_HEALTH_PATH)
        control = self._find_control(belief, now_s)
        return [ProbeTarget(belief.target, path, control, cause, spread_s)]

    def _find_control(self, belief: TargetBelief, now_s: float) -> Target | None:
        """Return a target with recent progress as control of a probe, or None."""
        control = self._flows.other_progressing_target(belief)
        if control is None or now_s - control.progress_s > CONTROL_PROGRESS_S:
            return None
        if control.reachability is not Reachability.REACHABLE:
            return None
        return control.target


def _has_ended_probe(belief: TargetBelief) -> bool:
    """Whether no probe of a target is in progress."""
    return belief.probe_ended_s >= belief.probed_s


def _may_have_requests_in_progress(belief: TargetBelief) -> bool:
    """Whether a target that refuses connections may have requests in progress.

    A draining target may; one whose entry cannot be read may be draining.
    """
    planned = (TargetState.DRAINING, TargetState.UNREADABLE)
    return belief.state in planned and not belief.replaced


def decide_reset(
    belief: TargetBelief, kind: RouteKind, busy: bool, alternative_exists: bool
) -> ResetReason | None:
    """Return why a flow of a target has to be reset, None if it has not.

    * A dead target is assumed not to serve its flows any more, although it may be alive
      behind a partition that resets connections.
    * A draining target that refuses connections is not dead: it finishes its requests
      first, and its entry is removed when it has ended.  It counts as dead earlier only
      if another incarnation has its address.
    * A silent target may answer again after a partition.  Its idempotent requests are
      better retried at another target, if there is one; otherwise callers are served if
      the partition ends within their deadline.
    * Other requests may be running at a silent target and are kept until the registry
      gives the target up as well.  Without a request in progress, the reset lets the
      next request open a flow that works.

    Parameters
    ----------
    belief : TargetBelief
        The target.
    kind : RouteKind
        Whether the flow's requests are idempotent.
    busy : bool
        Whether a request may be in progress.
    alternative_exists : bool
        Whether another target could serve the flow's requests.
    """
    match belief.reachability:
        case Reachability.DEAD if _may_have_requests_in_progress(belief):
            return None
        case Reachability.DEAD:
            return ResetReason.TARGET_DEAD
        case Reachability.SILENT if belief.state is TargetState.GONE:
            return ResetReason.TARGET_DEAD
        case Reachability.SILENT if not alternative_exists:
            return None
        case Reachability.SILENT if kind is RouteKind.IDEMPOTENT or not busy:
            return ResetReason.TARGET_SILENT
        case _:
            return None

"""Whether a target still lives, judged from callers' packets and from probes.

Load pattern: a target ends without a word while callers hold open flows to it.  Each
instance sees only some of these flows.  A caller repeats its data after 0.2 s; the
registry drops the entry after three missed heartbeats, which is seconds later.  One
repetition is enough to probe, since a probe costs a target about a millisecond of a
slot; only a probe is enough to reset flows, since packets are lost now and then.
"""

from collections.abc import Sequence

from endivepick.forwarding.actions import (
    DecisionRecord,
    Effect,
    ProbeOutcome,
    ProbeTarget,
    Reset,
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
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.routes import RouteTable
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["FailureDetector"]

LONGEST_REFUSED_GAP_S = 2.0
"""Longest time between probes of a target that refuses them.  A partition that resets
connections looks like that, and flows of live targets are reset until it is noticed."""
LONGEST_REPLACED_GAP_S = 8.0
"""The same where another target answers, in whose queue the probes wait."""
DEAD_SHARE = 0.5
"""Time between probes of a dead target, as a share of how long it has been dead."""
CONTROL_PROGRESS_S = 2.0
"""A target that made progress so long ago, at the most, is expected to accept
connections; one that has ended since only lets the probe wait as without it."""
_DEFAULT_HEALTH_PATH = "/health"
_PROBE_EVENTS = {
    ProbeOutcome.ALIVE: ReachabilityEvent.PROBE_ALIVE,
    ProbeOutcome.SILENT: ReachabilityEvent.PROBE_SILENT,
    ProbeOutcome.REFUSED: ReachabilityEvent.PROBE_REFUSED,
    ProbeOutcome.REPLACED: ReachabilityEvent.PROBE_REFUSED,
}


class FailureDetector:
    """Turns signs into suspicion, and probes into verdicts.

    Parameters
    ----------
    settings : ForwardingSettings
        Gaps between probes.
    registry : TargetRegistry
        Beliefs that it changes.
    flows : FlowTable
        Flows to reset with a target.
    routes : RouteTable
        Health paths of the services.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        registry: TargetRegistry,
        flows: FlowTable,
        routes: RouteTable,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._flows = flows
        self._routes = routes
        self._told_silent: frozenset[SilentTarget] = frozenset()

    def suspect(
        self, belief: TargetBelief, flow: FlowKey, since_s: float, now_s: float
    ) -> list[Effect]:
        """Take in that a target owes an answer.

        Parameters
        ----------
        belief : TargetBelief
            The target.
        flow : FlowKey
            The flow whose caller repeats itself.
        since_s : float
            When the data that it has not acknowledged came first, in seconds.
        now_s : float
            Present time, in seconds.
        """
        if not self._settings.mechanisms.probe_repetition:
            return []
        if now_s - since_s < self._settings.repeat_after_s:
            return []
        probe = self._probe_in_question(belief, since_s, now_s)
        if not probe:
            return []
        event, reason = ReachabilityEvent.CALLERS_REPEAT, "callers repeat"
        age_s = now_s - since_s
        return [
            DecisionRecord(
                "flow_repeats", flow, belief.name, "no progress", age_s=age_s
            ),
            *self._registry.reach(belief, event, reason, now_s),
            *probe,
        ]

    def unanswered(
        self, belief: TargetBelief, flow: FlowKey, since_s: float, now_s: float
    ) -> list[Effect]:
        """Take in that nothing followed an opening: neither a copy nor data.

        Load pattern: a target's process ends while its machine goes on, which resets
        openings itself.  Callers then try anew on another flow, and no packet tells
        that until the registry drops the entry some two seconds later.  Where the
        rest of a flow goes to another instance, the probe finds a live target; one
        for an opening at most is little beside the flow's requests.

        Parameters
        ----------
        belief : TargetBelief
            The target.
        flow : FlowKey
            The flow that was opened there.
        since_s : float
            When its opening packet was passed on, in seconds.
        now_s : float
            Present time, in seconds.
        """
        if not self._settings.mechanisms.probe_silent_openings:
            return []
        probe = self._probe_in_question(belief, since_s, now_s)
        if not probe:
            return []
        age_s = now_s - since_s
        return [
            DecisionRecord(
                "opening_unanswered", flow, belief.name, "probed", age_s=age_s
            ),
            *probe,
        ]

    def vanished(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Take in that a target's entry is no longer there.

        Load pattern: after an outage of the store all entries are missing for seconds,
        and hundreds of instances know them.  Were each to probe all, a target would get
        hundreds of probes at once, which wait in its queue before requests.  So only
        flows that are seen here are looked after; new ones find out by themselves.
        """
        if belief.reachability is Reachability.DEAD or not belief.flows:
            return []
        return list(self._probe(belief, now_s))

    def progress(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Take in that a caller acknowledged something new of a target."""
        if belief.reachability is Reachability.REACHABLE:
            return []
        event = ReachabilityEvent.PROGRESS
        return [*self._registry.reach(belief, event, "progress", now_s)]

    def on_probe(
        self, belief: TargetBelief, outcome: ProbeOutcome, now_s: float
    ) -> list[Effect]:
        """Take in the outcome of a probe."""
        reason = f"probe: {outcome.value}"
        belief.replaced = outcome is ProbeOutcome.REPLACED
        changes = self._registry.reach(belief, _PROBE_EVENTS[outcome], reason, now_s)
        effects: list[Effect] = [*changes, *self.resets(belief)]
        if changes and belief.reachability is Reachability.SILENT:
            effects += self._probe_zone(belief, now_s)
        return effects

    def resets(self, belief: TargetBelief) -> list[Effect]:
        """Reset the flows of a target that cannot serve them, and forget them."""
        effects: list[Effect] = []
        if not self._resets_now(belief):
            return effects
        elsewhere = self.has_alternative(belief)
        for flow in self._flows.of_target(belief):
            busy = flow.busy_since_s is not None
            reason = reset_reason(belief, flow.kind, busy, elsewhere)
            # The next copy of an opening packet goes to another target by itself.
            if reason is None or not flow.opened:
                continue
            reset = Reset(flow.key, flow.acknowledged, reason, belief.name)
            effects.append(reset)
            self._flows.end(flow.key)
        return effects

    def reset_reason(self, belief: TargetBelief, kind: RouteKind) -> ResetReason | None:
        """Return why a flow with a packet under way is to be reset, None if it is not.

        Parameters
        ----------
        belief : TargetBelief
            The flow's target.
        kind : RouteKind
            Whether the flow's requests may be repeated.
        """
        if not self._resets_now(belief):
            return None
        return reset_reason(belief, kind, True, self.has_alternative(belief))

    def _resets_now(self, belief: TargetBelief) -> bool:
        """Whether flows of a target may be reset, whatever its state says."""
        if belief.state is TargetState.GONE:
            return True
        return self._settings.mechanisms.reset_unreachable

    def restarted(self, restart: TargetRestart, began_s: float) -> list[Effect]:
        """Reset the flows of an incarnation that has ended.

        The new one knows none of them and resets each itself when a packet of it
        comes, but an idle flow whose next request may run once only has lost that
        request by then.  Flows that may be open at the new one already are left to it.

        Parameters
        ----------
        restart : TargetRestart
            What is believed of the two incarnations.
        began_s : float
            No clock allows an earlier start of the new one, in seconds.
        """
        effects: list[Effect] = []
        reason = ResetReason.TARGET_RESTARTED
        for flow in self._flows.of_target(restart.before):
            if flow.opened_s is None or flow.opened_s >= began_s:
                continue
            name = restart.before.name
            effects.append(Reset(flow.key, flow.acknowledged, reason, name))
            self._flows.end(flow.key)
        return effects

    def has_alternative(self, belief: TargetBelief) -> bool:
        """Whether another target of the service may take flows and is reachable."""
        candidates = self._registry.candidates(belief.target.service)
        reachable = (*candidates.own, *candidates.others)
        return any(other is not belief for other in reachable)

    def hinted(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Take in a peer's word that a target does not answer: see for oneself.

        Load pattern: some dozen targets end at once, hundreds of instances are told of
        each, and another target may have its address by then.  Only those look that
        have flows there, or whose new flows would go there first.
        """
        belief.hinted_s = now_s
        if belief.reachability is not Reachability.REACHABLE:
            return []
        if not (belief.flows or self._is_first_choice(belief)):
            return []
        return list(self._probe(belief, now_s))

    def _is_first_choice(self, belief: TargetBelief) -> bool:
        """Whether new flows go to targets like this one before others."""
        if belief.target.zone == self._settings.zone:
            return True
        return not self._registry.candidates(belief.target.service).own

    def find_silent_targets(self, now_s: float) -> list[SilentTarget]:
        """Return targets of the zone that have just been found silent here.

        Those of other zones are left out: in a partition they all are.
        """
        if not self._settings.mechanisms.tell_silence:
            return []
        return [
            SilentTarget(belief.name, belief.target.born_ms)
            for belief in self._registry.unsettled
            if belief.reachability is Reachability.SILENT
            and belief.target.zone == self._settings.zone
            and now_s - belief.reachability_since_s <= REPORT_VALID_S
        ]

    def verify_silent_targets(
        self, silent: Sequence[SilentTarget], now_s: float
    ) -> list[Effect]:
        """Take in which targets others of the zone have just found silent.

        Load pattern: many targets lose power at once, and each has flows at a dozen
        instances.  Each would lose a request of its own before it looks.  Only those
        with flows there probe, once for each word, so that it costs little if it was
        the link of the one that told.

        Parameters
        ----------
        silent : sequence of SilentTarget
            The targets.
        now_s : float
            Present time, in seconds.
        """
        before, self._told_silent = self._told_silent, frozenset(silent)
        new = [told for told in silent if told not in before]
        effects: list[Effect] = []
        if not self._settings.mechanisms.tell_silence:
            return effects
        for told in new:
            belief = self._registry.get(told.name)
            if belief is None or belief.target.born_ms != told.born_ms:
                continue
            if belief.flows and belief.reachability is Reachability.REACHABLE:
                effects += self._probe(belief, now_s)
        return effects

    def retry_probes(self, now_s: float) -> list[Effect]:
        """Probe doubtful targets again, as long as they are not gone.

        A dead one as well, while its entry is there: a partition that resets
        connections looks like a process that has ended, and once it was over, flows
        of live targets were reset for as long as they lasted.  The longer it is dead,
        the more seldom it is probed, since hundreds of instances do it.
        """
        effects: list[Effect] = []
        for belief in self._registry.unsettled:
            if belief.state is TargetState.GONE:
                continue
            if belief.reachability is Reachability.REACHABLE:
                continue
            if now_s - belief.probed_s >= self._retry_gap_s(belief, now_s):
                effects += self._probe(belief, now_s)
        return effects

    def _retry_gap_s(self, belief: TargetBelief, now_s: float) -> float:
        """Return the time between two probes: half of how long a target is dead."""
        gap_s = self._settings.probe_gap_s
        if belief.reachability is not Reachability.DEAD:
            return gap_s
        longest_s = LONGEST_REFUSED_GAP_S
        if belief.replaced:
            longest_s = LONGEST_REPLACED_GAP_S
        dead_for_s = now_s - belief.reachability_since_s
        return max(gap_s, min(DEAD_SHARE * dead_for_s, longest_s))

    def _probe_zone(self, silent: TargetBelief, now_s: float) -> list[Effect]:
        """Probe the other targets of a zone from which one fell silent.

        A partition silences a whole zone at once; without this each of its targets
        is found out only after a request to it was lost.
        """
        effects: list[Effect] = []
        if not self._settings.mechanisms.probe_silent_zone:
            return effects
        for belief in self._registry:
            if belief.target.zone != silent.target.zone or not belief.flows:
                continue
            if belief.reachability is Reachability.REACHABLE:
                effects += self._probe(belief, now_s)
        return effects

    def _probe_in_question(
        self, belief: TargetBelief, since_s: float, now_s: float
    ) -> list[ProbeTarget]:
        """Probe a target that counts as reachable but has not shown it since a time."""
        if belief.reachability is not Reachability.REACHABLE:
            return []
        if belief.progress_s > since_s:
            return []
        return self._probe(belief, now_s)

    def _probe(self, belief: TargetBelief, now_s: float) -> list[ProbeTarget]:
        if now_s - belief.probed_s < self._settings.probe_gap_s:
            return []
        belief.probed_s = now_s
        configuration = self._routes.configuration
        paths = {} if configuration is None else configuration.health_paths
        path = paths.get(belief.target.service, _DEFAULT_HEALTH_PATH)
        return [ProbeTarget(belief.target, path, self._control_of(belief, now_s))]

    def _control_of(self, belief: TargetBelief, now_s: float) -> Target | None:
        """Return a target that surely lives, to compare a silent one with."""
        control = self._flows.other_progressing_target(belief)
        if control is None or now_s - control.progress_s > CONTROL_PROGRESS_S:
            return None
        if control.reachability is not Reachability.REACHABLE:
            return None
        return control.target


def _may_finish(belief: TargetBelief) -> bool:
    """Whether a target that refuses connections may have requests in progress.

    One that drains has; one whose entry cannot be read may drain unseen.
    """
    planned = (TargetState.DRAINING, TargetState.UNREADABLE)
    return belief.state in planned and not belief.replaced


def reset_reason(
    belief: TargetBelief, kind: RouteKind, busy: bool, elsewhere: bool
) -> ResetReason | None:
    """Return why a flow of a target has to be reset, None if it has not.

    A dead target answers no flow again.  One that drains is not dead when it refuses
    connections: it finishes its requests first, and its entry is removed when it has
    ended; sooner only if another incarnation has its address.  A silent one may answer
    again, after a partition: its idempotent requests are better repeated elsewhere, if
    there is a target elsewhere; callers without one are served when the partition ends
    within their deadline.
    Other requests may be running and are left alone until the registry gives the
    target up as well; without a request in progress, the reset lets the next request
    open a flow that works.

    Parameters
    ----------
    belief : TargetBelief
        The target.
    kind : RouteKind
        Whether the flow's requests may be repeated.
    busy : bool
        A request may be in progress.
    elsewhere : bool
        Another target could serve the flow's requests.
    """
    match belief.reachability:
        case Reachability.DEAD if _may_finish(belief):
            return None
        case Reachability.DEAD:
            return ResetReason.TARGET_DEAD
        case Reachability.SILENT if belief.state is TargetState.GONE:
            return ResetReason.TARGET_DEAD
        case Reachability.SILENT if not elsewhere:
            return None
        case Reachability.SILENT if kind is RouteKind.IDEMPOTENT or not busy:
            return ResetReason.TARGET_SILENT
        case _:
            return None

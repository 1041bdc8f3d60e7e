"""Whether targets serve the requests that reach them, compared with each other.

Load pattern: some targets of a service take connections and acknowledge data, but leave
requests unanswered, answer them with errors, or lose their connections.  Probes find
nothing, and each instance sees few requests of each target.

What is usual is learnt from each service: how long answers take to begin, and how much
comes first.  A request far beyond that counts against its target.  Whatever befalls all
targets alike, a burst, a slow instance, flows that move to another instance, counts
against all of them, so only the difference condemns one.  What the instances of a zone
see is added up by their feeder.
"""

from endivepick.forwarding.actions import (
    Effect,
    FaultConfirmed,
    Reset,
    ResetReason,
)
from endivepick.forwarding.belief import (
    Fitness,
    FitnessEvent,
    Reachability,
    RequestCounts,
    TargetBelief,
    TargetState,
)
from endivepick.forwarding.comparison import LEAST_SHARE, TargetSums
from endivepick.forwarding.fault_confirmation import (
    ConfirmedFault,
    confirmed_fault,
    is_fresh,
    is_settled,
)
from endivepick.forwarding.fitness_reports import (
    LEAST_TOLD,
    MAX_REPORTED_TARGETS,
    FitnessReport,
    TargetCounts,
)
from endivepick.forwarding.flows import FlowTable, ObservedFlow
from endivepick.forwarding.model import RouteKind
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.request_counter import RequestCounter
from endivepick.forwarding.service_counts import ServiceSamples, faded
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.forwarding.zone_report import ZoneReport

__all__ = ["OutlierDetector"]

ENOUGH_EVIDENCE = 7.0
"""Logarithm of how much likelier the counts are for a bad target than for one like the
others, before new flows pass it over; that does no harm if it is by chance."""
RETURNING_EVIDENCE = 2.0
"""The same for a target that was condemned just before."""
STANDING_OUT = 2.0
"""The same for a target whose late answers do not count as usual."""
MOST_PASSED_OVER = 0.4
"""Share of a service's slots that may be passed over; with more, the rest would be
overrun by what they cannot serve."""
REST_S = 5.0
"""How long nothing has to speak against a target before it is tried again."""
LONGEST_REST_S = 24.0
TRIAL_S = 2.0
"""How long a target that returns gets a trickle of flows only, at the least."""
LONGEST_TRIAL_S = 10.0
PROOFS = 1.0
"""Good answers, faded, that end the trial; without, it ends after the longest time."""


class OutlierDetector:
    """Condemns targets by what becomes of their requests.

    Parameters
    ----------
    settings : ForwardingSettings
        Whether flows are reset.
    registry : TargetRegistry
        Beliefs that it changes.
    flows : FlowTable
        Flows to reset.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        registry: TargetRegistry,
        flows: FlowTable,
    ) -> None:
        self._resets = settings.mechanisms.reset_impaired
        self._registry = registry
        self._flows = flows
        self._rests_s: dict[str, float] = {}
        self._noted_faults: dict[str, set[ConfirmedFault]] = {}
        self._zone = ZoneReport(registry)
        self._samples = ServiceSamples(registry)
        self.requests = RequestCounter(flows, self._zone, self._stands_out)
        """Counts what packets show of requests."""

    def _stands_out(self, belief: TargetBelief, now_s: float) -> bool:
        """Whether a target does worse than the others of its service.

        What it makes callers wait for is not usual then: a tenth of a service's targets
        that turn slow would soon be the usual ones otherwise.
        """
        counts, told = belief.requests, self._zone.of(belief, now_s)
        against = self._compared(belief, counts, told, now_s, least_share=0.0)
        return against >= STANDING_OUT

    def tick(self, now_s: float) -> list[Effect]:
        """Note what is overdue, and judge targets that something speaks against."""
        self._samples.renew()
        overdue = self.requests.tick(now_s)
        effects: list[Effect] = []
        for belief in list(self.requests.doubted.values()):
            effects += self._judge(belief, now_s)
        for flow in overdue:
            if self._confirmed_fault(flow.belief, now_s) is ConfirmedFault.FAILING:
                effects += self._reset_overdue(flow)
        return effects

    # What others of the zone have seen.

    def report(self, now_s: float) -> FitnessReport:
        """Return what was seen here of targets that something speaks against.

        Of those that others doubt as well, also if they did well here: otherwise only
        the instances that happened to see requests fail would be heard.
        """
        asked = {told.name for told in self._zone.targets}
        doubted = [
            belief
            for belief in self.requests.doubted.values()
            if faded(belief.requests, now_s).bad >= LEAST_TOLD or belief.name in asked
        ]
        doubted.sort(key=lambda belief: -belief.requests.bad)
        targets = [
            TargetCounts(
                belief.name,
                belief.target.born_ms,
                round(belief.requests.good, 1),
                round(belief.requests.failed, 1),
                round(belief.requests.poor, 1),
                instances=int(belief.requests.bad >= LEAST_TOLD),
                fresh=int(is_fresh(belief.requests, now_s)),
                late=round(belief.requests.late, 1),
            )
            for belief in doubted[:MAX_REPORTED_TARGETS]
        ]
        services = dict.fromkeys(belief.target.service for belief in doubted)
        return FitnessReport(
            targets,
            [self._samples.of(service, now_s).counts for service in services],
            usual=self.requests.tell_usual(),
        )

    def receive_zone_report(self, report: FitnessReport, now_s: float) -> None:
        """Take in what the instances of the zone have seen together."""
        self._zone.take(report, now_s)
        for told in self._zone.targets:
            belief = self._registry.get(told.name)
            if belief is not None and belief.target.born_ms == told.born_ms:
                self.requests.doubted[told.name] = belief

    @property
    def doubts(self) -> bool:
        """Whether something speaks against a target here."""
        return bool(self.requests.doubted)

    def alarming(self, now_s: float) -> frozenset[str]:
        """Return targets that what is known of the zone condemns."""
        names = []
        for belief in self.requests.doubted.values():
            counts, told = faded(belief.requests, now_s), self._zone.of(belief, now_s)
            if self._against(belief, counts, told, now_s) >= ENOUGH_EVIDENCE:
                names.append(belief.name)
        return frozenset(names)

    # Verdicts.

    def _judge(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        if self._registry.get(belief.name) is not belief:
            self._forget(belief)
            return []
        counts = faded(belief.requests, now_s)
        told = self._zone.of(belief, now_s)
        against = self._against(belief, counts, told, now_s)
        match belief.fitness:
            case Fitness.SOUND if against >= ENOUGH_EVIDENCE:
                return self._condemn(belief, counts, told, against, now_s)
            case Fitness.RETURNING if against >= RETURNING_EVIDENCE:
                rest_s = self._rests_s.get(belief.name, REST_S)
                self._rests_s[belief.name] = min(2 * rest_s, LONGEST_REST_S)
                return self._condemn(belief, counts, told, against, now_s)
            case Fitness.RETURNING if _is_proved(belief, now_s):
                self._rests_s.pop(belief.name, None)
                event = FitnessEvent.PROVED
                return [*self._registry.judge(belief, event, "tried", now_s)]
            case Fitness.IMPAIRED if self._has_rested(belief, now_s):
                counts.good = counts.failed = counts.poor = counts.late = 0.0
                self.requests.forget_callers(belief.name)
                self._noted_faults.pop(belief.name, None)
                event = FitnessEvent.RESTED
                return [*self._registry.judge(belief, event, "rested", now_s)]
            case Fitness.IMPAIRED:
                return self._reset_flows(belief, now_s)
            case Fitness.SOUND if counts.bad < LEAST_TOLD and told is None:
                self._forget(belief)
        return []

    def _forget(self, belief: TargetBelief) -> None:
        self.requests.forget(belief.name)
        self._rests_s.pop(belief.name, None)
        self._noted_faults.pop(belief.name, None)

    def _against(
        self,
        belief: TargetBelief,
        counts: RequestCounts,
        told: TargetCounts | None,
        now_s: float,
    ) -> float:
        """Return what speaks against a target, here or in the zone, if it is judged."""
        if not self._is_judged(belief):
            return 0.0
        return self._compared(belief, counts, told, now_s)

    def _compared(
        self,
        belief: TargetBelief,
        counts: RequestCounts,
        told: TargetCounts | None,
        now_s: float,
        least_share: float = LEAST_SHARE,
    ) -> float:
        service = belief.target.service
        here = TargetSums.of(belief.name, counts)
        against = self._samples.of(service, now_s).against(here, least_share)
        if told is None:
            return against
        return max(against, self._zone.against(belief, told, least_share))

    def _is_judged(self, belief: TargetBelief) -> bool:
        """Whether a target's failures would be its own.

        Those of one that drains, or that cannot be reached, have other reasons; what
        an instance sees of other zones may be the way there.
        """
        return (
            belief.state is TargetState.READY
            and belief.reachability is Reachability.REACHABLE
            and belief.target.zone == self._registry.zone
        )

    def _condemn(
        self,
        belief: TargetBelief,
        counts: RequestCounts,
        told: TargetCounts | None,
        against: float,
        now_s: float,
    ) -> list[Effect]:
        if not self._may_pass_over(belief):
            return []
        reason = f"evidence {against:.1f}: {_describe(counts, told)}"
        event = FitnessEvent.CONDEMNED
        changes = self._registry.judge(belief, event, reason, now_s)
        return [*changes, *self._reset_flows(belief, now_s)]

    def _may_pass_over(self, belief: TargetBelief) -> bool:
        beliefs = [
            each
            for each in self._registry.of_service(belief.target.service)
            if each.takes_flows and each.reachability is Reachability.REACHABLE
        ]
        slots = sum(each.target.slots for each in beliefs)
        passed = sum(
            each.target.slots for each in beliefs if each.fitness is not Fitness.SOUND
        )
        if belief.fitness is Fitness.SOUND:
            passed += belief.target.slots
        return passed <= MOST_PASSED_OVER * slots

    def _has_rested(self, belief: TargetBelief, now_s: float) -> bool:
        last_s = max(belief.requests.bad_s, belief.fitness_since_s)
        if self._zone.of(belief, now_s) is not None:
            return False
        return now_s - last_s >= self._rests_s.get(belief.name, REST_S)

    # Resets.

    def _reset_flows(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Reset flows of a target that surely does not serve what comes on them.

        Not for answers that are short: a target that refuses requests since it is
        overrun, as one that has just started, answers like one that errs.  A slow one
        still answers what it has begun, so only idle flows leave it.
        """
        fault = self._confirmed_fault(belief, now_s)
        if fault is ConfirmedFault.NONE:
            return []
        effects = self._note_fault(belief, fault, now_s)
        for flow in self._flows.of_target(belief):
            if flow.busy_since_s is None and flow.opened:
                effects += self._reset(flow)
            elif flow.overdue and fault is ConfirmedFault.FAILING:
                effects += self._reset_overdue(flow)
        return effects

    def _note_fault(
        self, belief: TargetBelief, fault: ConfirmedFault, now_s: float
    ) -> list[Effect]:
        """Note each fault of a target once until it is tried again."""
        noted = self._noted_faults.setdefault(belief.name, set())
        if fault in noted:
            return []
        noted.add(fault)
        told = self._zone.of(belief, now_s)
        return [
            FaultConfirmed(
                belief.name,
                belief.target.service,
                fault,
                _describe(belief.requests, told),
                None if told is None else self._zone.told_before_s(now_s),
            )
        ]

    def _reset_overdue(self, flow: ObservedFlow) -> list[Effect]:
        """Reset a flow whose request may be tried elsewhere."""
        if flow.kind is not RouteKind.IDEMPOTENT:
            return []
        return self._reset(flow)

    def _reset(self, flow: ObservedFlow) -> list[Effect]:
        self._flows.end(flow.key)
        reason = ResetReason.TARGET_IMPAIRED
        return [Reset(flow.key, flow.acknowledged, reason, flow.belief.name)]

    def _confirmed_fault(self, belief: TargetBelief, now_s: float) -> ConfirmedFault:
        """Return the fault for which flows of a target may be reset."""
        if not self._resets or belief.fitness is not Fitness.IMPAIRED:
            return ConfirmedFault.NONE
        if not is_settled(belief, now_s):
            return ConfirmedFault.NONE
        counts, told = belief.requests, self._zone.of(belief, now_s)
        if self._against(belief, counts, told, now_s) < ENOUGH_EVIDENCE:
            return ConfirmedFault.NONE
        callers = self.requests.callers_of(belief.name)
        evidence = self._zone.evidence(belief, callers, now_s)
        return confirmed_fault(counts, evidence, now_s)


def _describe(counts: RequestCounts, told: TargetCounts | None) -> str:
    """Return what was seen of a target's requests, in words for the log."""
    text = (
        f"{counts.failed:.1f} failed, {counts.poor:.1f} poor and {counts.late:.1f} "
        f"late of {counts.total:.1f} here"
    )
    if told is not None:
        text += (
            f", {told.failed:.1f}, {told.poor:.1f} and {told.late:.1f} of "
            f"{told.total:.1f} at {told.instances} instances"
        )
    return text


def _is_proved(belief: TargetBelief, now_s: float) -> bool:
    """Whether a target that returns has had its trial."""
    tried_s = now_s - belief.fitness_since_s
    if belief.requests.good >= PROOFS:
        return tried_s >= TRIAL_S
    return tried_s >= LONGEST_TRIAL_S

"""Outlier detection: ejects targets that fail requests although probes succeed.

Scenario: some targets of a service accept connections and acknowledge data, but
leave requests unanswered, answer them with errors, or lose their connections.  Probes
do not detect this, and each instance observes few requests per target.

The baseline of each service is learnt from its answered requests: the time until an
answer begins and the size of its first part.  A request far outside the baseline counts
against its target.  A burst, a slow instance, or flows that move to another instance
affect all targets alike, so a target is ejected only for the difference between its
requests and those of the other targets.  The feeder of a zone sums the observations of
the zone's instances.
"""

from endivepick.forwarding.actions import (
    Effect,
    FaultConfirmed,
)
from endivepick.forwarding.belief import (
    Fitness,
    FitnessEvent,
    Reachability,
    RequestCounts,
    TargetBelief,
    TargetState,
)
from endivepick.forwarding.comparison import MIN_BAD_SHARE, TargetSums
from endivepick.forwarding.fault_confirmation import (
    ConfirmedFault,
    confirm_fault,
    has_recent_bad_request,
    is_past_startup,
)
from endivepick.forwarding.fitness_reports import (
    MAX_REPORTED_TARGETS,
    MIN_REPORTED_BAD,
    FitnessReport,
    TargetCounts,
    describe_counts,
)
from endivepick.forwarding.flows import FlowTable
from endivepick.forwarding.impaired_flows import ImpairedFlows
from endivepick.forwarding.recent_overloads import RecentOverloads
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.request_counter import RequestCounter
from endivepick.forwarding.service_counts import ServiceSamples, decay
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.forwarding.zone_report import ZoneReport

__all__ = ["OutlierDetector"]

EJECTION_THRESHOLD = 7.0
"""Log-likelihood ratio, target against the others, from which new flows avoid a target.

A false positive does little harm, since only new flows are affected."""
PROBATION_EJECTION_THRESHOLD = 2.0
"""Log-likelihood ratio from which a target on probation is ejected again."""
OUTLIER_THRESHOLD = 2.0
"""Log-likelihood ratio from which late answers are kept out of the baseline."""
MAX_EJECTED_SHARE = 0.4
"""Largest share of a service's slots that may be ejected or on probation.

With more, the remaining targets would be overloaded."""
EJECTION_TIME_S = 5.0
"""Time without bad requests before an ejected target goes on probation; doubles with
each failed probation."""
MAX_EJECTION_TIME_S = 24.0
MIN_PROBATION_S = 2.0
"""Shortest time for which a target on probation gets only a small share of new
flows."""
MAX_PROBATION_S = 10.0
MIN_PROBATION_ANSWERS = 1.0
"""Decayed count of good answers that ends probation after `MIN_PROBATION_S`; with
fewer, it ends after `MAX_PROBATION_S`."""
OVERLOAD_ONSET_S = 2.0
"""Time before an overload is observed in which the targets that are full first may
stand out and be ejected."""

START_S = 3.0
"""Time from the start of an instance until the fabric has moved flows to it and the
requests that were in progress on them are no longer recent."""


class OutlierDetector:
    """Ejects and readmits targets by the outcomes of their requests.

    Parameters
    ----------
    settings : ForwardingSettings
        Mechanisms; they enable or disable the reset of flows.
    registry : TargetRegistry
        Beliefs to update.
    flows : FlowTable
        Flows to reset.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        registry: TargetRegistry,
        flows: FlowTable,
    ) -> None:
        self._resets_enabled = settings.mechanisms.reset_impaired
        self._registry = registry
        self._impaired_flows = ImpairedFlows(flows)
        self._ejection_times_s: dict[str, float] = {}
        self._noted_faults: dict[str, set[ConfirmedFault]] = {}
        self._zone = ZoneReport(registry)
        self._samples = ServiceSamples(registry)
        self._overloads = RecentOverloads()
        self._stopped = False
        self._started_s = float("inf")
        self.requests = RequestCounter(flows, self._zone, self._is_outlier)
        """Counts the outcomes of requests."""

    def _is_outlier(self, belief: TargetBelief, now_s: float) -> bool:
        """Whether a target does worse than the others of its service.

        Late answers of such a target are kept out of the baseline.  Otherwise a tenth
        of a service's targets that become slow would soon shift the baseline.
        """
        counts, reported = belief.requests, self._zone.get_counts(belief, now_s)
        score = self._score_target(belief, counts, reported, now_s, min_bad_share=0.0)
        return score >= OUTLIER_THRESHOLD

    def stop(self) -> None:
        """Judge no targets any more, and suspect none.

        Scenario: an instance stops, and the fabric sends its flows to others, where the
        answers to its requests are acknowledged.  Here they look unanswered.  If all
        instances of a zone stop, their reports confirm each other.
        """
        self._stopped = True
        self.requests.forget_all()

    def tick(self, now_s: float) -> list[Effect]:
        """Record overdue requests and evaluate all suspect targets."""
        self._started_s = min(self._started_s, now_s)
        if self._stopped:
            return []
        self._samples.discard()
        overdue = self.requests.tick(now_s)
        effects: list[Effect] = []
        for belief in list(self.requests.suspects.values()):
            effects += self._evaluate(belief, now_s)
        for flow in overdue:
            if self._confirm_fault(flow.belief, now_s) is ConfirmedFault.FAILING:
                effects += self._impaired_flows.reset_overdue(flow, now_s)
        return effects

    # Exchange with the other instances of the zone.

    def report(self, now_s: float) -> FitnessReport:
        """Return the counts of suspect targets as observed by this instance.

        Targets that other instances suspect are included even if they did well here.
        Otherwise only instances that happened to observe failures would report.
        """
        zone_suspects = {reported.name for reported in self._zone.targets}
        suspects = [
            belief
            for belief in self.requests.suspects.values()
            if decay(belief.requests, now_s).bad >= MIN_REPORTED_BAD
            or belief.name in zone_suspects
        ]
        suspects.sort(key=lambda belief: -belief.requests.bad)
        targets = [
            TargetCounts(
                belief.name,
                belief.target.born_ms,
                round(belief.requests.good, 1),
                round(belief.requests.failed, 1),
                round(belief.requests.poor, 1),
                instances=int(belief.requests.bad >= MIN_REPORTED_BAD),
                fresh=int(has_recent_bad_request(belief.requests, now_s)),
                late=round(belief.requests.late, 1),
                overdue_flows=self.requests.bad_requests.count_overdue_flows(
                    belief.name, now_s
                ),
            )
            for belief in suspects[:MAX_REPORTED_TARGETS]
        ]
        services = dict.fromkeys(belief.target.service for belief in suspects)
        return FitnessReport(
            targets,
            [self._samples.get_sample(service, now_s).counts for service in services],
            usual=self.requests.export_baselines(),
            moving=int(self.is_moving_flows(now_s)),
        )

    def receive_zone_report(self, report: FitnessReport, now_s: float) -> None:
        """Store the merged report of the zone's instances."""
        if self._stopped:
            return
        self._zone.update(report, now_s)
        for reported in self._zone.targets:
            belief = self._registry.get(reported.name)
            if belief is not None and belief.target.born_ms == reported.born_ms:
                self.requests.suspects[reported.name] = belief

    def is_moving_flows(self, now_s: float) -> bool:
        """Whether the fabric moves flows as this instance stops or has just started."""
        return self._stopped or now_s - self._started_s < START_S

    @property
    def has_suspects(self) -> bool:
        """Whether any target is suspect here."""
        return bool(self.requests.suspects)

    def outlier_names(self, now_s: float) -> frozenset[str]:
        """Return names of targets whose score reaches the ejection threshold."""
        names = []
        for belief in self.requests.suspects.values():
            counts, reported = (
                decay(belief.requests, now_s),
                self._zone.get_counts(belief, now_s),
            )
            if (
                self._score_if_eligible(belief, counts, reported, now_s)
                >= EJECTION_THRESHOLD
            ):
                names.append(belief.name)
        return frozenset(names)

    # Ejection and probation.

    def _evaluate(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        if self._registry.get(belief.name) is not belief:
            self._forget(belief)
            return []
        counts = decay(belief.requests, now_s)
        reported = self._zone.get_counts(belief, now_s)
        score = self._score_if_eligible(belief, counts, reported, now_s)
        match belief.fitness:
            case Fitness.SOUND if score >= EJECTION_THRESHOLD:
                return self._eject(belief, counts, reported, score, now_s)
            case Fitness.RETURNING if score >= PROBATION_EJECTION_THRESHOLD:
                ejection_time_s = self._ejection_times_s.get(
                    belief.name, EJECTION_TIME_S
                )
                self._ejection_times_s[belief.name] = min(
                    2 * ejection_time_s, MAX_EJECTION_TIME_S
                )
                return self._eject(belief, counts, reported, score, now_s)
            case Fitness.RETURNING if _has_passed_probation(belief, now_s):
                self._ejection_times_s.pop(belief.name, None)
                event = FitnessEvent.PROVED
                return [*self._registry.record_fitness(belief, event, "tried", now_s)]
            case Fitness.IMPAIRED if self._is_ejection_over(belief, now_s):
                return self._start_probation(belief, counts, "rested", now_s)
            case Fitness.IMPAIRED if self._was_ejected_for_overload(
                belief, score, now_s
            ):
                return self._readmit(belief, counts, now_s)
            case Fitness.IMPAIRED:
                return self._reset_flows(belief, now_s)
            case Fitness.SOUND if counts.bad < MIN_REPORTED_BAD and reported is None:
                self._forget(belief)
        return []

    def _forget(self, belief: TargetBelief) -> None:
        self.requests.forget(belief.name)
        self._ejection_times_s.pop(belief.name, None)
        self._noted_faults.pop(belief.name, None)

    def _score_if_eligible(
        self,
        belief: TargetBelief,
        counts: RequestCounts,
        reported: TargetCounts | None,
        now_s: float,
    ) -> float:
        """Return the outlier score of a target, 0 if it is not eligible."""
        if not self._is_eligible(belief):
            return 0.0
        return self._score_target(belief, counts, reported, now_s)

    def _score_target(
        self,
        belief: TargetBelief,
        counts: RequestCounts,
        reported: TargetCounts | None,
        now_s: float,
        min_bad_share: float = MIN_BAD_SHARE,
    ) -> float:
        service = belief.target.service
        here = self._samples.get_sample(service, now_s)
        in_zone = self._zone.get_sample(service, now_s)
        overloaded = self._is_overloaded(service, now_s)
        own_sums = TargetSums.of(belief.name, counts)
        score = here.score_target(own_sums, min_bad_share, overloaded)
        if reported is None or in_zone is None:
            return score
        zone_sums = TargetSums.of(reported.name, reported)
        return max(score, in_zone.score_target(zone_sums, min_bad_share, overloaded))

    def _is_overloaded(self, service: str, now_s: float) -> bool:
        """Whether overload explains the bad requests of a service's targets."""
        return self._find_overload_start_s(service, now_s) is not None

    def _find_overload_start_s(self, service: str, now_s: float) -> float | None:
        here = self._samples.get_sample(service, now_s)
        in_zone = self._zone.get_sample(service, now_s)
        return self._overloads.update(service, (here, in_zone), now_s)

    def _is_eligible(self, belief: TargetBelief) -> bool:
        """Whether failures of a target's requests can be attributed to it.

        A draining or unreachable target fails for other reasons, and failures at
        targets of other zones may be caused by the network between the zones.
        """
        return (
            belief.state is TargetState.READY
            and belief.reachability is Reachability.REACHABLE
            and belief.target.zone == self._registry.zone
        )

    def _eject(
        self,
        belief: TargetBelief,
        counts: RequestCounts,
        reported: TargetCounts | None,
        score: float,
        now_s: float,
    ) -> list[Effect]:
        if not self._may_eject(belief):
            return []
        reason = f"evidence {score:.1f}: {describe_counts(counts, reported)}"
        event = FitnessEvent.CONDEMNED
        changes = self._registry.record_fitness(belief, event, reason, now_s)
        return [*changes, *self._reset_flows(belief, now_s)]

    def _may_eject(self, belief: TargetBelief) -> bool:
        beliefs = [
            each
            for each in self._registry.of_service(belief.target.service)
            if each.takes_flows and each.reachability is Reachability.REACHABLE
        ]
        slots = sum(each.target.slots for each in beliefs)
        ejected = sum(
            each.target.slots for each in beliefs if each.fitness is not Fitness.SOUND
        )
        if belief.fitness is Fitness.SOUND:
            ejected += belief.target.slots
        return ejected <= MAX_EJECTED_SHARE * slots

    def _start_probation(
        self, belief: TargetBelief, counts: RequestCounts, reason: str, now_s: float
    ) -> list[Effect]:
        counts.good = counts.failed = counts.poor = counts.late = 0.0
        self.requests.bad_requests.forget(belief.name)
        self._noted_faults.pop(belief.name, None)
        event = FitnessEvent.RESTED
        return [*self._registry.record_fitness(belief, event, reason, now_s)]

    def _was_ejected_for_overload(
        self, belief: TargetBelief, score: float, now_s: float
    ) -> bool:
        """Whether an ejected target turns out to be as full as all the others.

        The targets that are full first stand out for a moment.  Without them, the rest
        has even less room.  A target that was ejected earlier, or that failed its
        probation, has a fault of its own.
        """
        if score > 0.0 or not self._is_eligible(belief):
            return False
        if belief.name in self._noted_faults or belief.name in self._ejection_times_s:
            return False
        start_s = self._find_overload_start_s(belief.target.service, now_s)
        return start_s is not None and belief.fitness_since_s >= (
            start_s - OVERLOAD_ONSET_S
        )

    def _readmit(
        self, belief: TargetBelief, counts: RequestCounts, now_s: float
    ) -> list[Effect]:
        """Readmit a target without probation: its service needs all its slots."""
        reason = "service overloaded"
        effects = self._start_probation(belief, counts, reason, now_s)
        event = FitnessEvent.PROVED
        return [
            *effects,
            *self._registry.record_fitness(belief, event, reason, now_s),
        ]

    def _is_ejection_over(self, belief: TargetBelief, now_s: float) -> bool:
        last_s = max(belief.requests.last_bad_s, belief.fitness_since_s)
        if self._zone.get_counts(belief, now_s) is not None:
            return False
        return now_s - last_s >= self._ejection_times_s.get(
            belief.name, EJECTION_TIME_S
        )

    # Resets.

    def _reset_flows(self, belief: TargetBelief, now_s: float) -> list[Effect]:
        """Reset flows of a target whose fault is confirmed.

        Short answers alone do not lead to resets: a target that sheds load, for example
        just after its start, answers like one that returns errors.
        """
        fault = self._confirm_fault(belief, now_s)
        if fault is ConfirmedFault.NONE:
            return []
        noted = self._note_fault(belief, fault, now_s)
        return [*noted, *self._impaired_flows.reset_flows(belief, fault, now_s)]

    def _note_fault(
        self, belief: TargetBelief, fault: ConfirmedFault, now_s: float
    ) -> list[Effect]:
        """Log each fault of a target once until its next probation."""
        noted = self._noted_faults.setdefault(belief.name, set())
        if fault in noted:
            return []
        noted.add(fault)
        reported = self._zone.get_counts(belief, now_s)
        return [
            FaultConfirmed(
                belief.name,
                belief.target.service,
                fault,
                describe_counts(belief.requests, reported),
                None if reported is None else self._zone.report_age_s(now_s),
                self.requests.bad_requests.describe_overdue_routes(belief.name),
            )
        ]

    def _confirm_fault(self, belief: TargetBelief, now_s: float) -> ConfirmedFault:
        """Return the confirmed fault for which flows of a target may be reset."""
        if not self._resets_enabled or belief.fitness is not Fitness.IMPAIRED:
            return ConfirmedFault.NONE
        if self._zone.are_flows_moving(now_s):
            return ConfirmedFault.NONE
        if not is_past_startup(belief, now_s):
            return ConfirmedFault.NONE
        counts, reported = belief.requests, self._zone.get_counts(belief, now_s)
        if (
            self._score_if_eligible(belief, counts, reported, now_s)
            < EJECTION_THRESHOLD
        ):
            return ConfirmedFault.NONE
        callers = self.requests.bad_requests.count_callers(belief.name)
        overloaded = self._is_overloaded(belief.target.service, now_s)
        evidence = self._zone.evidence(belief, callers, overloaded, now_s)
        return confirm_fault(counts, evidence, now_s)


def _has_passed_probation(belief: TargetBelief, now_s: float) -> bool:
    """Whether a target on probation has completed it."""
    probation_s = now_s - belief.fitness_since_s
    if belief.requests.good >= MIN_PROBATION_ANSWERS:
        return probation_s >= MIN_PROBATION_S
    return probation_s >= MAX_PROBATION_S

"""Confirmation of a target's failures before its flows are reset.

Motivation: resetting a flow whose target serves it breaks the caller's connection,
and a few failures seen by one instance may be chance.  Flows are therefore reset only
for failures that are recent, that several instances or callers have observed, and on
whose target most instances of the zone have reported.
"""

from enum import Enum

from msgspec import Struct

from endivepick.forwarding.belief import RequestCounts, TargetBelief
from endivepick.forwarding.comparison import MIN_BAD_SHARE
from endivepick.forwarding.fitness_reports import (
    MIN_RESET_FAILURES,
    MIN_RESET_FLOWS,
    TargetCounts,
)

__all__ = [
    "MIN_CONFIRMING_CALLERS",
    "MIN_READY_S",
    "REPORT_VALID_S",
    "ConfirmedFault",
    "ZoneEvidence",
    "confirm_fault",
    "has_recent_bad_request",
    "is_past_startup",
]

RECENT_BAD_S = 1.2
"""Age up to which a failed request or a short answer is recent.

Flows are reset only while bad requests are recent.  With the age of reports added,
resets stop about three seconds after a target has recovered at the latest."""
RECENT_REPORT_S = 1.2
"""Age up to which a report of the zone is recent; a little longer than the feeder holds
a long poll."""
REPORT_VALID_S = 2.0
"""How long a report is valid; a paused instance sends no new ones."""
MIN_READY_S = 5.0
"""How long a target must have been ready before its flows are reset.

All instances open flows at a target that has just started, so its queue grows long."""
MIN_CONFIRMING_INSTANCES = 2
MIN_CONFIRMING_CALLERS = 3
"""Instances, or callers of a single instance, that must observe failures before flows
are reset."""
SLOW_OVERDUE_SHARE = 0.6
"""Share of overdue requests from which a target is slow.

An overloaded target has a lower share and is not taken for slow: it answers requests in
time that find its queue short, and rejects others at once."""
SHEDDING_SHARE = 0.1
"""Share of short answers from which a target may be shedding load.

Requests that wait in its full queue look unanswered.  It is then failing only if most
requests stay unanswered, as with `SLOW_OVERDUE_SHARE`, and so is any target while its
service is overloaded."""


class ConfirmedFault(Enum):
    """Confirmed fault of an ejected target.

    Attributes
    ----------
    NONE
        No confirmed fault; its flows are kept.
    SLOW
        It answers most requests far later than the other targets of its service.
    FAILING
        It leaves requests unanswered.
    """

    NONE = "none"
    SLOW = "slow"
    FAILING = "failing"


class ZoneEvidence(Struct, frozen=True):
    """Observations of a target beyond this instance's own counts.

    Attributes
    ----------
    target_counts : TargetCounts or None
        Counts reported by the zone; None without a report of the target.
    report_age_s : float
        Age of the report, in seconds.
    reporting_instances : int
        Instances that the report sums.
    callers : int
        Callers of this instance with bad requests there, up to
        `MIN_CONFIRMING_CALLERS`.
    overloaded : bool
        The target's service is overloaded, or was shortly before.
    """

    target_counts: TargetCounts | None
    report_age_s: float
    reporting_instances: int
    callers: int
    overloaded: bool = False


def confirm_fault(
    counts: RequestCounts, evidence: ZoneEvidence, now_s: float
) -> ConfirmedFault:
    """Return the confirmed fault of an ejected target.

    Parameters
    ----------
    counts : RequestCounts
        Decayed counts of this instance.
    evidence : ZoneEvidence
        Observations of the zone and of this instance's callers.
    now_s : float
        Present time, in seconds.
    """
    reported = evidence.target_counts
    if reported is not None and _is_confirmed_by_zone(reported, evidence):
        failing, slow = reported.capped_failed, reported.capped_overdue
        observed: RequestCounts | TargetCounts = reported
    elif _is_confirmed_locally(counts, evidence, now_s):
        failing, slow = counts.failed, counts.overdue
        observed = counts
    else:
        return ConfirmedFault.NONE
    sheds = observed.poor >= SHEDDING_SHARE * observed.total
    may_be_full = sheds or evidence.overloaded
    min_failed_share = SLOW_OVERDUE_SHARE if may_be_full else MIN_BAD_SHARE
    if (
        failing >= MIN_RESET_FAILURES
        and observed.failed >= min_failed_share * observed.total
    ):
        return ConfirmedFault.FAILING
    if (
        slow >= MIN_RESET_FAILURES
        and observed.overdue >= SLOW_OVERDUE_SHARE * observed.total
    ):
        return ConfirmedFault.SLOW
    return ConfirmedFault.NONE


def is_past_startup(belief: TargetBelief, now_s: float) -> bool:
    """Whether a target has been ready long enough and its cold start is over."""
    known_s = now_s - belief.state_since_s
    return known_s >= MIN_READY_S and now_s >= belief.cold_until_s


def has_recent_bad_request(counts: RequestCounts, now_s: float) -> bool:
    """Whether a request failed or had a short answer recently."""
    return now_s - counts.last_bad_s <= RECENT_BAD_S


def _is_confirmed_by_zone(reported: TargetCounts, evidence: ZoneEvidence) -> bool:
    """Whether several instances and flows fail now, and most instances reported.

    Otherwise a few instances that happened to observe failures could confirm a fault of
    a target that serves most of the zone well.
    """
    return (
        evidence.report_age_s <= RECENT_REPORT_S
        and reported.fresh >= MIN_CONFIRMING_INSTANCES
        and reported.overdue_flows >= MIN_RESET_FLOWS
        and 2 * reported.reporting >= evidence.reporting_instances
    )


def _is_confirmed_locally(
    counts: RequestCounts, evidence: ZoneEvidence, now_s: float
) -> bool:
    """Whether local observations suffice while no other instance reports."""
    others_report = (
        evidence.report_age_s <= REPORT_VALID_S and evidence.reporting_instances > 1
    )
    return (
        not others_report
        and evidence.callers >= MIN_CONFIRMING_CALLERS
        and has_recent_bad_request(counts, now_s)
    )

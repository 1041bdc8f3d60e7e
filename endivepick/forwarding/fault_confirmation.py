"""Whether a target's failures are confirmed well enough to reset its flows.

Load pattern: a reset of a flow whose target serves it breaks the caller's connection,
and a few requests that one instance saw fail may be chance.  So flows are reset only
for failures that are recent, that several instances or callers have seen, and of which
most instances of the zone have reported.
"""

from enum import Enum

from msgspec import Struct

from endivepick.forwarding.belief import RequestCounts, TargetBelief
from endivepick.forwarding.comparison import LEAST_SHARE
from endivepick.forwarding.fitness_reports import RESET_FAILED, TargetCounts

__all__ = [
    "SETTLED_S",
    "SURE_CALLERS",
    "REPORT_VALID_S",
    "ConfirmedFault",
    "ZoneEvidence",
    "confirmed_fault",
    "is_fresh",
    "is_settled",
]

FRESH_S = 1.2
"""Flows are reset while failures are that fresh: with the age of words on them, some
three seconds after a target has recovered at the latest."""
FRESH_WORD_S = 1.2
"""The same for what the zone has told, a little longer than a question is held."""
REPORT_VALID_S = 2.0
"""What instances have told counts for so long: one that stands still tells nothing."""
SETTLED_S = 5.0
"""How long a target has to be ready before its flows are reset: all instances open
flows at one that has just started, and its queue grows long."""
SURE_INSTANCES = 2
SURE_CALLERS = 3
"""Instances, or callers of a single one, that have to agree before flows are reset."""
MOSTLY_OVERDUE = 0.6
"""Share of requests that are overdue at a slow target.  One that is overrun answers
those in time that find its queue short, and sheds others at once."""


class ConfirmedFault(Enum):
    """What is confirmed of a target that new flows pass over.

    Attributes
    ----------
    NONE
        Nothing; its flows are left to it.
    SLOW
        It answers, but most requests far later than others of its service do.
    FAILING
        It leaves requests unanswered.
    """

    NONE = "none"
    SLOW = "slow"
    FAILING = "failing"


class ZoneEvidence(Struct, frozen=True):
    """What others than this instance have seen of a target.

    Attributes
    ----------
    told : TargetCounts or None
        What the zone has seen; None if nothing is heard of it.
    told_before_s : float
        How old that is, in seconds.
    heard_instances : int
        Instances that the word adds up.
    callers : int
        Callers of this instance whose requests went badly, up to ``SURE_CALLERS``.
    """

    told: TargetCounts | None
    told_before_s: float
    heard_instances: int
    callers: int


def confirmed_fault(
    counts: RequestCounts, evidence: ZoneEvidence, now_s: float
) -> ConfirmedFault:
    """Return what is confirmed of a target that new flows pass over.

    Parameters
    ----------
    counts : RequestCounts
        What this instance has seen, faded.
    evidence : ZoneEvidence
        What others have seen.
    now_s : float
        Present time, in seconds.
    """
    told = evidence.told
    if told is not None and _agree(told, evidence):
        failing, slow = told.sure, told.sure_overdue
        seen: RequestCounts | TargetCounts = told
    elif _is_sure_alone(counts, evidence, now_s):
        failing, slow = counts.failed, counts.overdue
        seen = counts
    else:
        return ConfirmedFault.NONE
    if failing >= RESET_FAILED and seen.failed >= LEAST_SHARE * seen.total:
        return ConfirmedFault.FAILING
    if slow >= RESET_FAILED and seen.overdue >= MOSTLY_OVERDUE * seen.total:
        return ConfirmedFault.SLOW
    return ConfirmedFault.NONE


def is_settled(belief: TargetBelief, now_s: float) -> bool:
    """Whether a target has long been there, and is not slow after its start."""
    known_s = now_s - belief.state_since_s
    return known_s >= SETTLED_S and now_s >= belief.cold_until_s


def is_fresh(counts: RequestCounts, now_s: float) -> bool:
    """Whether requests have gone badly just now."""
    return now_s - counts.bad_s <= FRESH_S


def _agree(told: TargetCounts, evidence: ZoneEvidence) -> bool:
    """Whether several instances see requests fail now, and most were heard.

    Those that happened to see failures would condemn a target by themselves of
    which most saw nothing but good.
    """
    return (
        evidence.told_before_s <= FRESH_WORD_S
        and told.fresh >= SURE_INSTANCES
        and 2 * told.reporting >= evidence.heard_instances
    )


def _is_sure_alone(counts: RequestCounts, evidence: ZoneEvidence, now_s: float) -> bool:
    """Whether what is seen here is enough where no other instance is heard."""
    heard = evidence.told_before_s <= REPORT_VALID_S and evidence.heard_instances > 1
    return not heard and evidence.callers >= SURE_CALLERS and is_fresh(counts, now_s)

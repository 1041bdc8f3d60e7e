"""How sure it is that a target does not serve the requests on its open flows.

Load pattern: a reset of a flow whose target serves it breaks the caller's connection,
and a few requests that one instance saw fail may be chance.  So flows are reset only
for what is seen now, by several instances or callers, and by most of a zone that is
heard.
"""

from enum import Enum

from msgspec import Struct

from endivepick.forwarding.belief import RequestCounts, TargetBelief
from endivepick.forwarding.comparison import LEAST_SHARE
from endivepick.forwarding.fitness_reports import RESET_FAILED, TargetCounts

__all__ = [
    "SETTLED_S",
    "SURE_CALLERS",
    "TOLD_S",
    "Certainty",
    "Testimony",
    "certainty_of",
    "is_fresh",
    "is_settled",
]

FRESH_S = 1.2
"""Flows are reset while failures are that fresh: with the age of words on them, some
three seconds after a target has recovered at the latest."""
FRESH_WORD_S = 1.2
"""The same for what the zone has told, a little longer than a question is held."""
TOLD_S = 2.0
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


class Certainty(Enum):
    """What is sure of a target that was condemned.

    Attributes
    ----------
    NONE
        Its flows are left to it.
    SLOW
        It answers, but most requests far later than others of its service do.
    FAILING
        It leaves requests unanswered.
    """

    NONE = "none"
    SLOW = "slow"
    FAILING = "failing"


class Testimony(Struct, frozen=True):
    """Who has seen what of a target, beyond an instance's own counts.

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


def certainty_of(
    counts: RequestCounts, testimony: Testimony, now_s: float
) -> Certainty:
    """Return how sure it is that a condemned target does not serve its flows.

    Parameters
    ----------
    counts : RequestCounts
        What this instance has seen, faded.
    testimony : Testimony
        What others have seen.
    now_s : float
        Present time, in seconds.
    """
    told = testimony.told
    if told is not None and _agree(told, testimony):
        failing, slow = told.sure, told.sure_overdue
        seen: RequestCounts | TargetCounts = told
    elif _is_sure_alone(counts, testimony, now_s):
        failing, slow = counts.failed, counts.overdue
        seen = counts
    else:
        return Certainty.NONE
    if failing >= RESET_FAILED and seen.failed >= LEAST_SHARE * seen.total:
        return Certainty.FAILING
    if slow >= RESET_FAILED and seen.overdue >= MOSTLY_OVERDUE * seen.total:
        return Certainty.SLOW
    return Certainty.NONE


def is_settled(belief: TargetBelief, now_s: float) -> bool:
    """Whether a target has long been there, and is not slow after its start."""
    known_s = now_s - belief.state_since_s
    return known_s >= SETTLED_S and now_s >= belief.cold_until_s


def is_fresh(counts: RequestCounts, now_s: float) -> bool:
    """Whether requests have gone badly just now."""
    return now_s - counts.bad_s <= FRESH_S


def _agree(told: TargetCounts, testimony: Testimony) -> bool:
    """Whether several instances see requests fail now, and most were heard.

    Those that happened to see failures would condemn a target by themselves of
    which most saw nothing but good.
    """
    return (
        testimony.told_before_s <= FRESH_WORD_S
        and told.fresh >= SURE_INSTANCES
        and 2 * told.reporting >= testimony.heard_instances
    )


def _is_sure_alone(counts: RequestCounts, testimony: Testimony, now_s: float) -> bool:
    """Whether what is seen here is enough where no other instance is heard."""
    heard = testimony.told_before_s <= TOLD_S and testimony.heard_instances > 1
    return not heard and testimony.callers >= SURE_CALLERS and is_fresh(counts, now_s)

"""Targets reserved for urgent flows while less urgent openings are limited.

Load pattern: flows that live for minutes.  Less urgent ones that are let in during an
overload stay at their targets and send requests there; if they are on all targets,
urgent requests queue behind them everywhere.

Which targets are reserved follows from their names alone, so that all instances agree
without messages.
"""

import zlib
from functools import lru_cache

from msgspec.structs import replace

from endivepick.forwarding.placement import Candidates

__all__ = ["RESERVED_SHARE", "exclude_reserved", "is_reserved"]

RESERVED_SHARE = 0.25
"""Share of the targets that less urgent flows may be kept off while they are limited.
The other three quarters keep room for them when little is asked with more urgency."""

_HASH_RANGE = 2**32


@lru_cache(maxsize=4096)
def is_reserved(target_name: str, share: float) -> bool:
    """Whether a target is reserved for urgent flows.

    Parameters
    ----------
    target_name : str
        Name of the target.
    share : float
        Share of targets that is reserved, from 0 to 1.

    Examples
    --------
    >>> is_reserved("i-7", 0.0), is_reserved("i-7", 1.0)
    (False, True)
    """
    return zlib.crc32(target_name.encode()) < share * _HASH_RANGE


def exclude_reserved(candidates: Candidates, share: float) -> Candidates:
    """Return the candidates without reserved targets, if any are left.

    Only `own` and `others` lose them; `every` and `impaired` keep them, as in
    `Candidates.exclude`.

    Parameters
    ----------
    candidates : Candidates
        Targets that may take a flow.
    share : float
        Share of targets that is reserved, from 0 to 1.
    """
    own = [b for b in candidates.own if not is_reserved(b.name, share)]
    others = [b for b in candidates.others if not is_reserved(b.name, share)]
    if not own and not others:
        return candidates
    slots = sum(b.target.slots for b in (*own, *others))
    return replace(candidates, own=own, others=others, all_slots=slots)

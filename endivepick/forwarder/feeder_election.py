"""Who feeds whom in a zone: decided from the claims in the store, without I/O.

Load pattern: every instance that follows the store by itself costs it two waiting
calls and one for each change, so the calls grow with the instances while the store's
rates do not.  A few instances of each zone follow it instead and feed the others.
Who they are lies in the store, as *claims*: objects with the feeder's address that are
created, or replaced under a condition, by whoever finds a place free or its holder
lost.  No instance has to agree with others, and no claim has to be renewed: a feeder
that does not serve is noticed by those whom it feeds.

A feeder feeds a limited number; whoever finds all of them full may become one more, so
that their number follows the size of the zone, which no instance has to know.
"""

from collections.abc import Callable, Collection, Sequence
from typing import TypeVar

from msgspec import Struct

from endivepick.forwarder.ports import FeederClaim

__all__ = [
    "Askers",
    "Feed",
    "FollowFeeder",
    "FollowStore",
    "Step",
    "WriteClaim",
    "next_step",
]

CLAIM_SHARE = 0.125
"""Share of those who find all feeders full that claim a place; were it all, most calls
of a large zone's start would be claims in vain."""
ASKED_MEMORY_S = 2.0
"""How long an instance that asked counts as fed: a question is held for 0.7 s."""


class Feed(Struct, frozen=True):
    """Follow the store, and feed others: a claim is held here."""


class WriteClaim(Struct, frozen=True):
    """Take a free place, or that of a feeder that is lost."""

    claim: FeederClaim


class FollowFeeder(Struct, frozen=True):
    """Be fed by the holder of a claim."""

    claim: FeederClaim


class FollowStore(Struct, frozen=True):
    """Follow the store for now: all feeders are full."""


_Choice = TypeVar("_Choice")

Step = Feed | WriteClaim | FollowFeeder | FollowStore


def next_step(
    own: str,
    places: Sequence[str],
    fewest: int,
    claims: Sequence[FeederClaim],
    lost: Collection[str],
    full: Collection[str],
    random_share: Callable[[], float],
) -> Step:
    """Return what an instance does now.

    Parameters
    ----------
    own : str
        Address at which it would feed others.
    places : sequence of str
        Names of the claims that its zone may have.
    fewest : int
        How many of them, from the first on, are always taken.
    claims : sequence of FeederClaim
        Claims as the store has them, of all zones.
    lost : collection of str
        Addresses that did not answer here of late.
    full : collection of str
        Addresses that could feed no more of late.
    random_share : callable
        Returns random numbers from 0 to 1, so that instances spread over feeders.

    Examples
    --------
    >>> next_step("10.0.0.1:1", ["a.0"], 1, [], (), (), lambda: 0.0)
    WriteClaim(claim=FeederClaim(name='a.0', holder='10.0.0.1:1', revision=0))
    """
    held = {claim.name: claim for claim in claims if claim.name in places}
    if any(claim.holder == own for claim in held.values()):
        return Feed()
    wanted = [name for name in places[:fewest] if name not in held]
    if wanted:
        return WriteClaim(FeederClaim(_draw(wanted, random_share), own))
    taken = [claim for claim in held.values() if _is_lost(claim, lost)]
    if taken:
        claim = _draw(taken, random_share)
        return WriteClaim(FeederClaim(claim.name, own, claim.revision))
    feeders = [c for c in held.values() if c.holder and c.holder not in full]
    if feeders:
        return FollowFeeder(_draw(feeders, random_share))
    free = [name for name in places if name not in held]
    if free and random_share() < CLAIM_SHARE:
        return WriteClaim(FeederClaim(_draw(free, random_share), own))
    return FollowStore()


class Askers:
    """Instances that a feeder feeds, as their questions show.

    Parameters
    ----------
    most : int
        How many it feeds at a time.

    Examples
    --------
    >>> askers = Askers(most=1)
    >>> askers.admit("a", 1.0), askers.admit("b", 1.5), askers.admit("a", 2.0)
    (True, False, True)
    >>> askers.admit("b", 4.5)
    True
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._asked_s: dict[str, float] = {}

    def admit(self, address: str, now_s: float) -> bool:
        """Take in a question; returns whether it is to be answered."""
        if address not in self._asked_s:
            self._forget(now_s)
            if len(self._asked_s) >= self._most:
                return False
        self._asked_s[address] = now_s
        return True

    def _forget(self, now_s: float) -> None:
        limit_s = now_s - ASKED_MEMORY_S
        self._asked_s = {a: s for a, s in self._asked_s.items() if s > limit_s}


def _is_lost(claim: FeederClaim, lost: Collection[str]) -> bool:
    """Whether a place is to be taken over: its holder is lost, or names nobody."""
    if not claim.holder:
        # Without its revision it cannot be replaced.
        return claim.revision > 0
    return claim.holder in lost


def _draw(choices: Sequence[_Choice], random_share: Callable[[], float]) -> _Choice:
    return choices[int(random_share() * len(choices)) % len(choices)]

"""Decides from the claims in the store which instances feed a zone, without I/O.

Scenario: each instance that follows the store itself costs it two held calls, and
one call for each change, so the calls grow with the number of instances while the
limits of the store do not. Therefore a few instances of each zone, the feeders, follow
the store and feed the others.

The feeders are recorded in the store as *claims*: objects with the feeder's address
that are created, or conditionally replaced, by an instance that finds a claim free or
its holder lost. Instances need no agreement among themselves, and no claim needs
renewal: the instances that follow a failed feeder detect its failure.

A feeder feeds a limited number of instances. An instance that finds all feeders full
may become another one, so that the number of feeders follows the size of the zone,
which no instance needs to know.
"""

from collections.abc import Callable, Collection, Sequence
from typing import TypeVar

from msgspec import Struct

from endivepick.forwarder.ports import FeederClaim

__all__ = [
    "FedInstances",
    "Feed",
    "FollowFeeder",
    "FollowStore",
    "Step",
    "WriteClaim",
    "bound_instances",
    "choose_step",
]

CLAIM_PROBABILITY = 0.125
"""Probability with which an instance that finds all feeders full writes a claim; if all
did, most calls during the start of a large zone would be conflicting writes."""
FED_INSTANCE_TTL_S = 2.0
"""Time after its last poll for which an instance counts as fed; a poll is held for 0.7
s."""


class Feed(Struct, frozen=True):
    """Serve as a feeder, which follows the store: this instance holds the claim."""

    claim: FeederClaim


class WriteClaim(Struct, frozen=True):
    """Create a free claim, or replace the claim of a lost feeder."""

    claim: FeederClaim


class FollowFeeder(Struct, frozen=True):
    """Follow the holder of a claim."""

    claim: FeederClaim


class FollowStore(Struct, frozen=True):
    """Follow the store for now: all feeders are full."""


_Choice = TypeVar("_Choice")

Step = Feed | WriteClaim | FollowFeeder | FollowStore


def choose_step(
    own: str,
    claim_names: Sequence[str],
    min_feeders: int,
    claims: Sequence[FeederClaim],
    lost: Collection[str],
    full: Collection[str],
    random_share: Callable[[], float],
) -> Step:
    """Return the next step of an instance.

    Parameters
    ----------
    own : str
        Address at which this instance would feed others.
    claim_names : sequence of str
        Names of the claims that its zone may have.
    min_feeders : int
        Number of leading claims that are always to be held.
    claims : sequence of FeederClaim
        Claims in the store, of all zones.
    lost : collection of str
        Addresses that recently did not answer this instance.
    full : collection of str
        Addresses that recently refused for lack of capacity.
    random_share : callable
        Returns random numbers from 0 to 1, which spread the instances over the feeders.

    Examples
    --------
    >>> choose_step("10.0.0.1:1", ["a.0"], 1, [], (), (), lambda: 0.0)
    WriteClaim(claim=FeederClaim(name='a.0', holder='10.0.0.1:1', revision=0))
    """
    held = {claim.name: claim for claim in claims if claim.name in claim_names}
    for claim in held.values():
        if claim.holder == own:
            return Feed(claim)
    missing = [name for name in claim_names[:min_feeders] if name not in held]
    if missing:
        return WriteClaim(FeederClaim(_choose(missing, random_share), own))
    reclaimable = [claim for claim in held.values() if _is_lost(claim, lost)]
    if reclaimable:
        claim = _choose(reclaimable, random_share)
        return WriteClaim(FeederClaim(claim.name, own, claim.revision))
    feeders = [c for c in held.values() if c.holder and c.holder not in full]
    if feeders:
        return FollowFeeder(_choose(feeders, random_share))
    free = [name for name in claim_names if name not in held]
    if free and random_share() < CLAIM_PROBABILITY:
        return WriteClaim(FeederClaim(_choose(free, random_share), own))
    return FollowStore()


def bound_instances(claims: Sequence[FeederClaim], zones: int, fed_most: int) -> int:
    """Return an upper bound of the number of instances of all zones.

    Every instance is a feeder or is fed by one, except for some seconds after a start.

    Parameters
    ----------
    claims : sequence of FeederClaim
        Claims in the store, of all zones.
    zones : int
        Number of zones; each is to have a feeder.
    fed_most : int
        Maximum number of instances that a feeder feeds.

    Examples
    --------
    >>> bound_instances([], 3, 24)
    75
    """
    return max(len(claims), zones) * (fed_most + 1)


class FedInstances:
    """Instances that a feeder feeds, as shown by their polls.

    Parameters
    ----------
    max_instances : int
        Maximum number of instances fed at a time.

    Examples
    --------
    >>> fed = FedInstances(max_instances=1)
    >>> fed.admit("a", 1.0), fed.admit("b", 1.5), fed.admit("a", 2.0)
    (True, False, True)
    >>> fed.admit("b", 4.5)
    True
    """

    def __init__(self, max_instances: int) -> None:
        self._max_instances = max_instances
        self._last_request_s: dict[str, float] = {}

    def admit(self, address: str, now_s: float) -> bool:
        """Record a poll; return whether it is to be answered."""
        if address not in self._last_request_s:
            self._remove_expired(now_s)
            if len(self._last_request_s) >= self._max_instances:
                return False
        self._last_request_s[address] = now_s
        return True

    def _remove_expired(self, now_s: float) -> None:
        limit_s = now_s - FED_INSTANCE_TTL_S
        self._last_request_s = {
            a: s for a, s in self._last_request_s.items() if s > limit_s
        }


def _is_lost(claim: FeederClaim, lost: Collection[str]) -> bool:
    """Return whether a claim may be taken over: its holder is lost or unreadable."""
    if not claim.holder:
        # A claim cannot be replaced without its revision.
        return claim.revision > 0
    return claim.holder in lost


def _choose(choices: Sequence[_Choice], random_share: Callable[[], float]) -> _Choice:
    return choices[int(random_share() * len(choices)) % len(choices)]

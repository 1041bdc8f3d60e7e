"""Who feeds whom in a zone: decided from the claims in the store, without I/O.

Load pattern: every instance that follows the store by itself costs it two waiting
calls and one for each change, so the calls grow with the instances while the store's
rates do not.  A few instances of each zone follow it instead and feed the others.
Who they are lies in the store, as *claims*: objects with the feeder's address that are
created, or replaced under a condition, by whoever finds a place free or its holder
lost.  No instance has to agree with others, and no claim has to be renewed: a feeder
that does not serve is noticed by those whom it feeds.
"""

from collections.abc import Callable, Collection, Sequence
from typing import TypeVar

from msgspec import Struct

from endivepick.forwarder.ports import FeederClaim

__all__ = ["Feed", "FollowFeeder", "Step", "WriteClaim", "next_step"]


class Feed(Struct, frozen=True):
    """Follow the store, and feed others: a claim is held here."""


class WriteClaim(Struct, frozen=True):
    """Take a free place, or that of a feeder that is lost."""

    claim: FeederClaim


class FollowFeeder(Struct, frozen=True):
    """Be fed by the holder of a claim."""

    claim: FeederClaim


_Choice = TypeVar("_Choice")

Step = Feed | WriteClaim | FollowFeeder


def next_step(
    own: str,
    places: Sequence[str],
    claims: Sequence[FeederClaim],
    lost: Collection[str],
    random_share: Callable[[], float],
) -> Step:
    """Return what an instance does now.

    Parameters
    ----------
    own : str
        Address at which it would feed others.
    places : sequence of str
        Names of the claims of its zone.
    claims : sequence of FeederClaim
        Claims as the store has them, of all zones.
    lost : collection of str
        Addresses that did not answer here of late.
    random_share : callable
        Returns random numbers from 0 to 1, so that instances spread over feeders.

    Examples
    --------
    >>> next_step("10.0.0.1:1", ["a.0"], [], (), lambda: 0.0)
    WriteClaim(claim=FeederClaim(name='a.0', holder='10.0.0.1:1', revision=0))
    """
    held = {claim.name: claim for claim in claims if claim.name in places}
    if any(claim.holder == own for claim in held.values()):
        return Feed()
    free = [name for name in places if name not in held]
    if free:
        return WriteClaim(FeederClaim(_draw(free, random_share), own))
    taken = [claim for claim in held.values() if claim.holder in lost]
    if taken:
        claim = _draw(taken, random_share)
        return WriteClaim(FeederClaim(claim.name, own, claim.revision))
    return FollowFeeder(_draw(list(held.values()), random_share))


def _draw(choices: Sequence[_Choice], random_share: Callable[[], float]) -> _Choice:
    return choices[int(random_share() * len(choices)) % len(choices)]

"""Types of the numbers in messages between instances.

The decoder refuses a message with a number outside these ranges.  JSON has integers of
any length: as a revision, such a number would be newer than all that the store ever
writes, and an instance that took it over would ignore all later changes.
"""

from typing import Annotated, TypeAlias

from msgspec import Meta

__all__ = ["MAX_REVISION", "AgeS", "InstanceBound", "Revision"]

MAX_REVISION = (1 << 63) - 1
"""Largest revision of the store, which counts them in 64 bits."""

Revision: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_REVISION)]
"""Revision of the store; 0 if nothing is known."""
AgeS: TypeAlias = Annotated[float, Meta(ge=0.0, le=1e9)]
"""Time since an event, in seconds; the maximum stands for one that never occurred."""
InstanceBound: TypeAlias = Annotated[int, Meta(ge=1, le=1_000_000)]
"""Upper bound of the number of instances of all zones."""

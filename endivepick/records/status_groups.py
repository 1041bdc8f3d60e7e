"""Which object of a zone's status holds the row of which instance.

A zone with few instances has one object for everything.  Above that its instances
are dealt to groups of bounded size, each with an object and a writer of its own;
the zone's object keeps the records.  All follows from the members that a node
believes in: a disagreement shows an instance twice for a while, never not at all.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import lru_cache
from math import ceil

from endivepick.core.rendezvous import owner
from endivepick.records._status_body import RowSelection
from endivepick.records.roles import ZoneRoles

__all__ = [
    "StatusGroup",
    "group_count",
    "compute_group_number",
    "select_rows",
    "find_status_group",
]

GROUPS_AT_FULL_RATE = 4
"""Groups of a zone that write as often as a zone without groups."""


@dataclass(frozen=True)
class StatusGroup:
    """Group of instances whose rows stand in one object.

    Attributes
    ----------
    zone : str
        The zone.
    number, groups : int
        Number of this group, from 1, and of all groups in the zone.
    members : frozenset of str
        Its instances.
    writer : str or None
        Member that writes the object; None if all of them leave.
    """

    zone: str
    number: int
    groups: int
    members: frozenset[str]
    writer: str | None

    @property
    def object_name(self) -> str:
        """Name of the object; no zone has a point in its name."""
        return f"{self.zone}.{self.number}"

    @property
    def slowdown(self) -> float:
        """Factor on all intervals, so that a zone's rate of writes is bounded."""
        return max(1.0, self.groups / GROUPS_AT_FULL_RATE)


def group_count(instances: int, size: int) -> int:
    """Return the number of groups; 0 if the zone's own object holds all rows."""
    return 0 if instances <= size else ceil(instances / size)


@lru_cache(maxsize=16_384)
def compute_group_number(name: str, groups: int) -> int:
    """Return the group of an instance; one more group moves few instances."""
    return int(owner(f"status:{name}", _numbers(groups)) or 0)


@lru_cache(maxsize=64)
def _numbers(groups: int) -> tuple[str, ...]:
    return tuple(str(number) for number in range(1, groups + 1))


def find_status_group(
    name: str, zone: str, roles: ZoneRoles, size: int
) -> StatusGroup | None:
    """Work out the group of an instance, or None in a zone without groups.

    Parameters
    ----------
    name, zone : str
        The instance and its zone.
    roles : ZoneRoles
        Members of the zone, first those that can hold a role.
    size : int
        Instances of a group on average, at most.
    """
    everyone = roles.ranked + roles.others
    groups = group_count(len(everyone), size)
    if groups == 0:
        return None
    number = compute_group_number(name, groups)
    able = _of_group(number, groups, roles.ranked)
    members = frozenset(able) | frozenset(_of_group(number, groups, roles.others))
    # The order of the ranked spreads writers away from the zone's own roles.
    writer = able[-1] if able else None
    return StatusGroup(zone, number, groups, members, writer)


def _of_group(number: int, groups: int, names: Iterable[str]) -> list[str]:
    return [name for name in names if compute_group_number(name, groups) == number]


def select_rows(
    name: str,
    members: Collection[str],
    group: StatusGroup | None,
    writes_zone: bool,
    of_group: bool,
) -> RowSelection:
    """Choose the rows of the zone's object, or of the group's.

    An instance of an earlier build, or one that sees other groups, sends its part to
    who it takes for its writer, and is shown by that one while it does so.

    Parameters
    ----------
    name : str
        The instance that writes.
    members : collection of str
        Instances of the zone that are not believed dead.
    group : StatusGroup or None
        Its group.
    writes_zone : bool
        Whether it writes the zone's own object.
    of_group : bool
        Whether the rows are for the object of its group.
    """
    if group is None:
        return RowSelection()
    own = group.members.intersection(members)
    if of_group:
        reporting = frozenset() if writes_zone else frozenset(members) - own
        return RowSelection(own, reporting, group=group.number)
    elsewhere = own if group.writer == name else frozenset()
    return RowSelection(frozenset(), frozenset(members) - elsewhere, group.groups)

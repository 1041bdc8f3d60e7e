"""Assignment of instances to the status objects of a zone.

A zone with few instances has a single status object.  In larger zones the instances
are divided into groups of limited size, each with its own object and writer; the
object of the zone keeps the records.  The assignment depends on the membership view
only: if views differ, an instance may appear in two objects temporarily, but is
never missing.
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
"""Number of groups up to which groups write at the rate of a zone without groups."""


@dataclass(frozen=True)
class StatusGroup:
    """Group of instances whose rows are in one status object.

    Attributes
    ----------
    zone : str
        Availability zone.
    number, groups : int
        Number of this group, from 1, and count of groups in the zone.
    members : frozenset of str
        Instances of the group.
    writer : str or None
        Member that writes the object; None if all members are leaving.
    """

    zone: str
    number: int
    groups: int
    members: frozenset[str]
    writer: str | None

    @property
    def object_name(self) -> str:
        """Name of the object; unambiguous because zone names contain no dot."""
        return f"{self.zone}.{self.number}"

    @property
    def slowdown(self) -> float:
        """Factor for all intervals, which limits the write rate of the zone."""
        return max(1.0, self.groups / GROUPS_AT_FULL_RATE)


def group_count(instances: int, size: int) -> int:
    """Return the number of groups; 0 if the object of the zone has all rows."""
    return 0 if instances <= size else ceil(instances / size)


@lru_cache(maxsize=16_384)
def compute_group_number(name: str, groups: int) -> int:
    """Return the group of an instance; adding a group moves few instances."""
    return int(owner(f"status:{name}", _list_group_numbers(groups)) or 0)


@lru_cache(maxsize=64)
def _list_group_numbers(groups: int) -> tuple[str, ...]:
    return tuple(str(number) for number in range(1, groups + 1))


def find_status_group(
    name: str, zone: str, roles: ZoneRoles, size: int
) -> StatusGroup | None:
    """Return the group of an instance, or None in a zone without groups.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of the instance.
    roles : ZoneRoles
        Members of the zone, eligible instances first.
    size : int
        Maximum mean number of instances per group.
    """
    all_members = roles.ranked + roles.leaving
    groups = group_count(len(all_members), size)
    if groups == 0:
        return None
    number = compute_group_number(name, groups)
    eligible = _filter_group(number, groups, roles.ranked)
    members = frozenset(eligible) | frozenset(
        _filter_group(number, groups, roles.leaving)
    )
    # The lowest-ranked member writes, because the first ones hold roles of the zone.
    writer = eligible[-1] if eligible else None
    return StatusGroup(zone, number, groups, members, writer)


def _filter_group(number: int, groups: int, names: Iterable[str]) -> list[str]:
    return [name for name in names if compute_group_number(name, groups) == number]


def select_rows(
    name: str,
    members: Collection[str],
    group: StatusGroup | None,
    writes_zone: bool,
    of_group: bool,
) -> RowSelection:
    """Select the rows of the object of the zone, or of the group.

    An instance of an earlier build, or one whose view yields other groups, may send
    its part to another writer; that writer shows it as long as it receives the part.

    Parameters
    ----------
    name : str
        Instance that writes.
    members : collection of str
        Instances of the zone that are not considered dead.
    group : StatusGroup or None
        Group of the writing instance.
    writes_zone : bool
        Whether it writes the object of the zone.
    of_group : bool
        Whether to select the rows of the object of its group.
    """
    if group is None:
        return RowSelection()
    own = group.members.intersection(members)
    if of_group:
        reporting = frozenset() if writes_zone else frozenset(members) - own
        return RowSelection(own, reporting, group=group.number)
    in_group_object = own if group.writer == name else frozenset()
    return RowSelection(frozenset(), frozenset(members) - in_group_object, group.groups)

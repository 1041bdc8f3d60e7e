"""Evacuated availability zones: their targets take no new flows.

An operator evacuates a zone by an object in the store, which exists as long as the
evacuation holds.  Open flows stay where they are.

The store's revisions order all changes.  A complete set is sent between instances with
the revision up to which it is known, so a late or repeated message neither brings an
ended evacuation back nor ends one that began later.
"""

from collections.abc import Iterable

from msgspec import Struct

from endivepick.forwarding.message_fields import Revision

__all__ = [
    "EvacuatedZone",
    "EvacuatedZones",
    "EvacuationChange",
    "EvacuationSnapshot",
]


class EvacuatedZone(Struct, frozen=True, array_like=True):
    """One evacuated availability zone.

    Attributes
    ----------
    zone : str
        Name of the zone.
    revision : int
        Revision of the store that wrote the evacuation.
    """

    zone: str
    revision: Revision


class EvacuationSnapshot(Struct, frozen=True):
    """All evacuated zones at a revision of the store.

    Attributes
    ----------
    zones : list of EvacuatedZone
        The zones.
    revision : int
        Revision up to which the list is complete.
    """

    zones: list[EvacuatedZone]
    revision: Revision


class EvacuationChange(Struct, frozen=True):
    """An evacuation that came into force or ended at this instance.

    Attributes
    ----------
    zone : str
        Name of the zone.
    in_force : bool
        Whether the zone is evacuated now.
    revision : int
        Revision of the store of the change, or of the list that showed it.
    """

    zone: str
    in_force: bool
    revision: int


class EvacuatedZones:
    """The evacuated zones as known to an instance.

    Examples
    --------
    >>> evacuated = EvacuatedZones()
    >>> evacuated.apply_list([EvacuatedZone("a", 7)], 9)
    [EvacuationChange(zone='a', in_force=True, revision=7)]
    >>> evacuated.apply_end("a", 6), "a" in evacuated
    ([], True)
    >>> evacuated.apply_end("a", 12), "a" in evacuated
    ([EvacuationChange(zone='a', in_force=False, revision=12)], False)
    """

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self._ended: dict[str, int] = {}
        self.known = False
        """Whether the complete set is known up to `revision`."""
        self.revision = 0
        """Revision of the store up to which all changes are known."""
        self.changed_revision = 0
        """Revision of the last change of the set, or of the last list."""
        self.changes = 0
        """Number of changes of the set, to invalidate what was derived from it."""

    def __contains__(self, zone: str) -> bool:
        return zone in self._revisions

    def __len__(self) -> int:
        return len(self._revisions)

    def list_zones(self) -> list[EvacuatedZone]:
        """Return the evacuated zones in order of their names."""
        return [EvacuatedZone(*each) for each in sorted(self._revisions.items())]

    def make_snapshot(self) -> EvacuationSnapshot | None:
        """Return the complete set for another instance, None if it is not known."""
        if not self.known:
            return None
        return EvacuationSnapshot(self.list_zones(), self.revision)

    def apply_list(
        self, zones: Iterable[EvacuatedZone], revision: int
    ) -> list[EvacuationChange]:
        """Apply the complete set at a revision; changes after it are kept.

        Parameters
        ----------
        zones : iterable of EvacuatedZone
            All evacuated zones.
        revision : int
            Revision of the store that the list shows.
        """
        if self.known and revision < self.revision:
            return []
        listed = list(zones)
        names = {each.zone for each in listed}
        changes: list[EvacuationChange] = []
        for zone, known_revision in list(self._revisions.items()):
            if zone not in names and known_revision <= revision:
                changes += self._end(zone, revision)
        for each in listed:
            changes += self._begin(each)
        # A list does not show what began and ended before it, but others may know it.
        self.changed_revision = max(self.changed_revision, revision)
        self.known = True
        self.advance_revision(revision)
        return changes

    def apply_begin(self, evacuated: EvacuatedZone) -> list[EvacuationChange]:
        """Apply the evacuation of a zone unless it is outdated."""
        if self._is_outdated(evacuated.zone, evacuated.revision):
            return []
        return self._begin(evacuated)

    def apply_end(self, zone: str, revision: int) -> list[EvacuationChange]:
        """Apply the end of a zone's evacuation unless it is outdated."""
        if self._is_outdated(zone, revision):
            return []
        self._ended[zone] = revision
        return self._end(zone, revision)

    def advance_revision(self, revision: int) -> None:
        """Record that all changes up to a revision were applied."""
        if not self.known:
            return
        self.revision = max(self.revision, revision)
        # The revision of the whole set now rejects what is older than these.
        self._ended = {z: r for z, r in self._ended.items() if r > self.revision}

    def _is_outdated(self, zone: str, revision: int) -> bool:
        newest = max(self._revisions.get(zone, 0), self._ended.get(zone, 0))
        return revision <= max(newest, self.revision)

    def _begin(self, evacuated: EvacuatedZone) -> list[EvacuationChange]:
        zone, revision = evacuated.zone, evacuated.revision
        if revision <= self._ended.get(zone, 0):
            return []
        known_revision = self._revisions.get(zone)
        self._revisions[zone] = max(revision, known_revision or 0)
        if known_revision is not None:
            # It may have ended in between, and others may know that.
            self.changed_revision = max(self.changed_revision, revision)
            return []
        return [self._record_change(zone, True, revision)]

    def _end(self, zone: str, revision: int) -> list[EvacuationChange]:
        if self._revisions.pop(zone, None) is None:
            return []
        return [self._record_change(zone, False, revision)]

    def _record_change(
        self, zone: str, in_force: bool, revision: int
    ) -> EvacuationChange:
        self.changes += 1
        self.changed_revision = max(self.changed_revision, revision)
        return EvacuationChange(zone, in_force, revision)

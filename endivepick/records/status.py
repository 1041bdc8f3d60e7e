"""Status of a zone: what is accepted, and what is in force everywhere.

One instance of the zone writes it, at a bounded rate and only on change.  It
reads the present object first and keeps the fields that it does not know.
"""

from dataclasses import dataclass
from typing import Any

from endivepick.records._status_body import (
    StatusView,
    merge_status,
    same_status,
)
from endivepick.records.objects import STATUS_KIND, StoredObject
from endivepick.records.peer_messages import InstanceStatus
from endivepick.records.settings import StatusSettings

__all__ = ["ReadStatus", "StatusAction", "StatusView", "StatusWriter", "WriteStatus"]


@dataclass(frozen=True)
class ReadStatus:
    """Read the status object of the zone, then call ``was_read``."""

    name: str


@dataclass(frozen=True)
class WriteStatus:
    """Write the status object, then call ``was_written`` or ``failed``.

    Attributes
    ----------
    name : str
        Name of the object, the zone's.
    body : dict
        Content without a write id; the caller adds a unique one.
    if_version : int
        Condition.
    """

    name: str
    body: dict[str, Any]
    if_version: int


StatusAction = ReadStatus | WriteStatus


class StatusWriter:
    """Decides when to read and write the status of a zone.

    Parameters
    ----------
    settings : StatusSettings
        Rate.
    zone : str
        The zone.
    """

    kind = STATUS_KIND

    def __init__(self, settings: StatusSettings, zone: str) -> None:
        self._settings = settings
        self._zone = zone
        self._parts: dict[str, tuple[float, InstanceStatus]] = {}
        self._base: StoredObject | None = None
        self._known = False
        self._busy = False
        self._due_s = 0.0

    def note(self, sender: str, part: InstanceStatus, now_s: float) -> None:
        """Take an instance's part of the status."""
        self._parts[sender] = (now_s, part)

    def due(self, now_s: float) -> bool:
        """Tell whether ``step`` may have something to do."""
        return not self._busy and now_s >= self._due_s

    def step(
        self, view: StatusView, now_s: float, random_share: float
    ) -> StatusAction | None:
        """Return what to do now, if anything.

        Parameters
        ----------
        view : StatusView
            What this instance knows.
        now_s : float
            Present time by a monotonic clock, in seconds.
        random_share : float
            Random number from 0 to 1 that spreads the writes.
        """
        if not self.due(now_s):
            return None
        oldest_s = now_s - self._settings.part_expiry_s
        parts = self._parts.items()
        self._parts = {name: part for name, part in parts if part[0] > oldest_s}
        self._due_s = now_s + self._settings.write_interval_s * (1 + random_share)
        if not self._known:
            self._busy = True
            return ReadStatus(self._zone)
        base = self._base.body if self._base else None
        fresh = {name: part for name, (_, part) in self._parts.items()}
        body = merge_status(self._zone, base or {}, view, fresh)
        if same_status(base, body):
            return None
        self._busy = True
        return WriteStatus(self._zone, body, self._base.version if self._base else 0)

    def resign(self) -> None:
        """Forget the object: another instance writes now."""
        self._known = False

    def was_read(self, stored: StoredObject | None) -> None:
        """Take the present object, or None if there is none."""
        self._busy = False
        self._known = True
        self._base = stored

    def was_written(self, stored: StoredObject) -> None:
        """Take the version that the write made."""
        self.was_read(stored)

    def failed(self, now_s: float, wait_s: float) -> None:
        """Take note that a call failed, by conflict or otherwise: read again.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        wait_s : float
            Back-off, in seconds.
        """
        self._busy = False
        self._known = False
        self._due_s = max(self._due_s, now_s + wait_s)

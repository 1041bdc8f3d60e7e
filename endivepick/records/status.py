"""Writer of the status of a zone: accepted records and records in force.

One instance writes each status object, at a limited rate and only on change.  It
reads the current object first and preserves fields that it does not know.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from endivepick.records._status_body import (
    READY_STATE,
    RECORD_ROWS,
    RowSelection,
    StatusUpdate,
    StatusView,
    get_in_force_floor,
    is_same_status,
    merge_status,
)
from endivepick.records.objects import STATUS_KIND, StoredObject
from endivepick.records.peer_messages import InstanceStatus
from endivepick.records.settings import StatusSettings

__all__ = [
    "READY_STATE",
    "ReadStatus",
    "RowSelection",
    "StatusAction",
    "StatusView",
    "StatusWriter",
    "WriteStatus",
]


SILENT_ROW_EXPIRIES = 3
"""Expiry periods after which the rows of a silent instance are removed."""


@dataclass(frozen=True)
class ReadStatus:
    """Read the status object, then call ``on_read`` or ``failed``."""

    name: str


@dataclass(frozen=True)
class WriteStatus:
    """Write the status object, then call ``on_written`` or ``failed``.

    Attributes
    ----------
    name : str
        Name of the object.
    body : dict
        Content without a write id; the caller adds a unique id.
    if_version : int
        Version that the stored object must have; 0 if there is none.
    """

    name: str
    body: dict[str, Any]
    if_version: int


StatusAction = ReadStatus | WriteStatus


class StatusWriter:
    """Decides when to read and write a status object of a zone.

    Parameters
    ----------
    settings : StatusSettings
        Write interval, expiry of parts and write rate.
    zone : str
        Availability zone.
    name : str
        Name of the object; empty for the object of the zone.
    slowdown : float
        Factor by which all intervals are multiplied.
    """

    kind = STATUS_KIND

    def __init__(
        self,
        settings: StatusSettings,
        zone: str,
        name: str = "",
        slowdown: float = 1.0,
    ) -> None:
        self._settings = settings
        self._zone = zone
        self.name = name or zone
        self.slowdown = slowdown
        self._interval_s = settings.write_interval_s * slowdown
        self._expiry_s = settings.part_expiry_s * slowdown
        self._parts: dict[str, tuple[float, InstanceStatus]] = {}
        self._known_in_force: dict[str, int] = {}
        self._base: StoredObject | None = None
        self._is_read = False
        self._call_pending = False
        self._due_s = 0.0
        self._read_at_s = 0.0

    def record_part(self, sender: str, part: InstanceStatus, now_s: float) -> None:
        """Record the part of the status that an instance sent."""
        if sender not in self._parts:
            # Instances that do not write never call ``step``, which expires parts.
            self._drop_expired(now_s)
        self._parts[sender] = (now_s, part)

    def due(self, now_s: float) -> bool:
        """Return whether ``step`` may return an action."""
        return not self._call_pending and now_s >= self._due_s

    def step(
        self, view: StatusView, now_s: float, random_share: float
    ) -> StatusAction | None:
        """Return the next action, or None.

        Parameters
        ----------
        view : StatusView
            State of the zone as known to this instance.
        now_s : float
            Current time of a monotonic clock, in seconds.
        random_share : float
            Random number from 0 to 1, for jitter of the write interval.
        """
        if not self.due(now_s):
            return None
        self._due_s = now_s + self._interval_s * (1 + random_share)
        if not self._is_read:
            self._call_pending = True
            self._read_at_s = now_s
            return ReadStatus(self.name)
        base: Mapping[str, Any] = (self._base.body if self._base else None) or {}
        body = merge_status(self._zone, base, view, self._build_update(now_s))
        self._record_in_force(view, get_in_force_floor(body))
        if is_same_status(base, body):
            return None
        size = len(msgspec.json.encode(body))
        rate_limited_until_s = now_s + size / self._settings.write_bytes_per_s
        self._due_s = max(self._due_s, rate_limited_until_s)
        self._call_pending = True
        return WriteStatus(self.name, body, self._base.version if self._base else 0)

    def _build_update(self, now_s: float) -> StatusUpdate:
        self._drop_expired(now_s)
        oldest_s = now_s - self._expiry_s
        fresh = {
            name: part for name, (at_s, part) in self._parts.items() if at_s > oldest_s
        }
        return StatusUpdate(
            parts=fresh,
            silent=self._parts.keys() - fresh.keys(),
            keep_all_rows=now_s - self._read_at_s < self._expiry_s,
            known_in_force=self._known_in_force,
        )

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - SILENT_ROW_EXPIRIES * self._expiry_s
        parts = self._parts.items()
        self._parts = {name: part for name, part in parts if part[0] > oldest_s}

    def _record_in_force(self, view: StatusView, floor: int) -> None:
        """Record the versions in force of records that have no row."""
        if len(view.records) <= RECORD_ROWS:
            return
        for record in view.records:
            if record.version <= floor:
                self._known_in_force[record.name] = record.version

    def invalidate(self) -> None:
        """Invalidate the known object because another instance writes it now."""
        self._is_read = False

    def on_read(self, stored: StoredObject | None) -> None:
        """Set the current object, or None if there is none."""
        self._call_pending = False
        self._is_read = True
        self._base = stored

    def on_written(self, stored: StoredObject) -> None:
        """Set the version that the write created."""
        self.on_read(stored)

    def failed(self, now_s: float, wait_s: float) -> None:
        """Handle a failed call, such as a version conflict, by reading again.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        wait_s : float
            Backoff, in seconds.
        """
        self._call_pending = False
        self._is_read = False
        self._due_s = max(self._due_s, now_s + wait_s)

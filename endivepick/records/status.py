"""Status of a zone: what is accepted, and what is in force everywhere.

One instance writes each object, at a bounded rate and only on change.  It reads the
present object first and keeps the fields that it does not know.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from endivepick.records._status_body import (
    READY_STATE,
    RECORD_ROWS,
    RowSelection,
    StatusNews,
    StatusView,
    floor_of,
    merge_status,
    same_status,
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


EXPIRIES_KEPT = 3
"""How often a part's expiry passes before the rows of a silent instance go."""


@dataclass(frozen=True)
class ReadStatus:
    """Read the status object, then call ``on_read``."""

    name: str


@dataclass(frozen=True)
class WriteStatus:
    """Write the status object, then call ``on_written`` or ``failed``.

    Attributes
    ----------
    name : str
        Name of the object.
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
    """Decides when to read and write one object of a zone's status.

    Parameters
    ----------
    settings : StatusSettings
        Rate.
    zone : str
        The zone.
    name : str
        Name of the object; empty for the zone's own.
    slowdown : float
        Factor on all intervals.
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
        self._earlier: dict[str, int] = {}
        self._base: StoredObject | None = None
        self._known = False
        self._busy = False
        self._due_s = 0.0
        self._read_s = 0.0

    def record_part(self, sender: str, part: InstanceStatus, now_s: float) -> None:
        """Take an instance's part of the status."""
        if sender not in self._parts:
            # Who does not write never comes to ``step``.
            self._drop_expired(now_s)
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
        self._due_s = now_s + self._interval_s * (1 + random_share)
        if not self._known:
            self._busy = True
            self._read_s = now_s
            return ReadStatus(self.name)
        base: Mapping[str, Any] = (self._base.body if self._base else None) or {}
        body = merge_status(self._zone, base, view, self._news(now_s))
        self._remember(view, floor_of(body))
        if same_status(base, body):
            return None
        size = len(msgspec.json.encode(body))
        paid_s = now_s + size / self._settings.write_bytes_per_s
        self._due_s = max(self._due_s, paid_s)
        self._busy = True
        return WriteStatus(self.name, body, self._base.version if self._base else 0)

    def _news(self, now_s: float) -> StatusNews:
        self._drop_expired(now_s)
        oldest_s = now_s - self._expiry_s
        fresh = {
            name: part for name, (at_s, part) in self._parts.items() if at_s > oldest_s
        }
        return StatusNews(
            parts=fresh,
            silent=self._parts.keys() - fresh.keys(),
            keep_all=now_s - self._read_s < self._expiry_s,
            earlier=self._earlier,
        )

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - EXPIRIES_KEPT * self._expiry_s
        parts = self._parts.items()
        self._parts = {name: part for name, part in parts if part[0] > oldest_s}

    def _remember(self, view: StatusView, floor: int) -> None:
        """Note the versions in force of records that have no row."""
        if len(view.records) <= RECORD_ROWS:
            return
        for record in view.records:
            if record.version <= floor:
                self._earlier[record.name] = record.version

    def invalidate(self) -> None:
        """Forget the object: another instance writes now."""
        self._known = False

    def on_read(self, stored: StoredObject | None) -> None:
        """Take the present object, or None if there is none."""
        self._busy = False
        self._known = True
        self._base = stored

    def on_written(self, stored: StoredObject) -> None:
        """Take the version that the write made."""
        self.on_read(stored)

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

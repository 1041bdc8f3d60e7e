"""Reporting of instance status to the writer of a zone or group.

In a large zone each group of instances has its own writer, and the zone's writer
writes the records.  One instance can be both writers; it makes one platform
call at a time.
"""

from typing import Protocol

from msgspec.structs import replace

from endivepick.backoff import Backoff, BackoffSettings
from endivepick.core.actions import Action, CallPlatform, Log, SendToPeer
from endivepick.core.platform_calls import (
    CallFailed,
    CallPurpose,
    ObjectRead,
    ObjectWritten,
    PlatformAnswer,
    ReadObject,
    WriteObject,
)
from endivepick.records.objects import STATUS_KIND
from endivepick.records.peer_messages import InstanceStatus
from endivepick.records.settings import StatusSettings
from endivepick.records.status import (
    ReadStatus,
    StatusAction,
    StatusView,
    StatusWriter,
    WriteStatus,
)
from endivepick.records.status_groups import StatusGroup

__all__ = ["ZoneStatusSources", "ZoneStatusReporter"]

STATUS_SENDS_PER_EXPIRY = 3
"""Number of times that a status is sent within its expiry time."""


class ZoneStatusSources(Protocol):
    """Inputs for the status of the zone."""

    @property
    def status_writer(self) -> str | None:
        """Name of the instance that writes the zone status; None if not known yet."""

    @property
    def group(self) -> StatusGroup | None:
        """Status group of this instance; None if the zone is not split into groups."""

    def build_own_status(self) -> InstanceStatus:
        """Return the status of this instance and the targets of its services."""

    def view(self) -> StatusView:
        """Return the records in force and the members of the zone."""

    def group_view(self) -> StatusView:
        """Return the members for the status rows of the group."""


class ZoneStatusReporter:
    """Sends this instance's status to a writer, or acts as a writer itself.

    Parameters
    ----------
    settings : StatusSettings
        Intervals and expiry times.
    name, zone : str
        Name and availability zone of this instance.
    sources : ZoneStatusSources
        Inputs for the status.
    """

    def __init__(
        self, settings: StatusSettings, name: str, zone: str, sources: ZoneStatusSources
    ) -> None:
        self._settings = settings
        self._name = name
        self._zone = zone
        self._sources = sources
        self._zone_writer = StatusWriter(settings, zone)
        self._group_writer: StatusWriter | None = None
        self._calling_writer = self._zone_writer
        self._call_pending = False
        self._backoff = Backoff(BackoffSettings())
        self._is_zone_writer = False
        self._last_sent: tuple[str, InstanceStatus] | None = None
        self._last_sent_at_s = float("-inf")
        self._next_check_s = float("-inf")

    def record_part(self, sender: str, part: InstanceStatus, now_s: float) -> None:
        """Record the status of an instance."""
        # The roles may change before the status is sent again, so both writers
        # keep it.
        self._zone_writer.record_part(sender, part, now_s)
        if self._group_writer is not None:
            self._group_writer.record_part(sender, part, now_s)

    def tick(self, random_share: float, now_s: float) -> list[Action]:
        """Return the messages and platform calls that are due.

        Parameters
        ----------
        random_share : float
            Random number from 0 to 1 that spreads the writes over time.
        now_s : float
            Current time, in seconds.
        """
        writer = self._sources.status_writer
        if self._is_zone_writer and writer != self._name:
            self._zone_writer.invalidate()
        self._is_zone_writer = writer == self._name
        if writer is None:
            return []
        group = self._sources.group
        self._update_group_writer(group)
        actions: list[Action] = []
        if now_s >= self._next_check_s:
            self._next_check_s = now_s + self._settings.write_interval_s
            actions += self._send_status(writer, group, now_s)
        return actions + self._step_writers(random_share, now_s)

    def _update_group_writer(self, group: StatusGroup | None) -> None:
        """Create or discard the group's writer as the role changes."""
        if group is None or group.writer != self._name:
            self._group_writer = None
            return
        writer = self._group_writer
        known = writer and (writer.name, writer.slowdown)
        if known != (group.object_name, group.slowdown):
            self._group_writer = StatusWriter(
                self._settings, self._zone, group.object_name, group.slowdown
            )

    def _send_status(
        self, zone_writer: str, group: StatusGroup | None, now_s: float
    ) -> list[Action]:
        """Send the status if it changed or if the last one would soon expire."""
        writer = group.writer if group else zone_writer
        if writer is None:
            return []
        part = self._sources.build_own_status()
        if writer == self._name:
            self.record_part(writer, part, now_s)
            return []
        content = (writer, _strip_load(part))
        slowdown = group.slowdown if group else 1.0
        resend_s = self._settings.part_expiry_s * slowdown / STATUS_SENDS_PER_EXPIRY
        if content == self._last_sent and now_s - self._last_sent_at_s < resend_s:
            return []
        self._last_sent = content
        self._last_sent_at_s = now_s
        return [SendToPeer(writer, part)]

    def _step_writers(self, random_share: float, now_s: float) -> list[Action]:
        if self._call_pending:
            return []
        action = None
        if self._is_zone_writer and self._zone_writer.due(now_s):
            self._calling_writer = self._zone_writer
            view = self._sources.view()
            action = self._zone_writer.step(view, now_s, random_share)
        writer = self._group_writer
        if action is None and writer and writer.due(now_s):
            self._calling_writer = writer
            action = writer.step(self._sources.group_view(), now_s, random_share)
        if action is None:
            return []
        self._call_pending = True
        return [CallPlatform(CallPurpose.STATUS, _build_platform_call(action))]

    def answered(
        self, answer: PlatformAnswer, random_share: float, now_s: float
    ) -> list[Action]:
        """Process the result of a platform call.

        Parameters
        ----------
        answer : PlatformAnswer
            Result of the call.
        random_share : float
            Random number from 0 to 1 that jitters the backoff after a failure.
        now_s : float
            Current time, in seconds.
        """
        self._call_pending = False
        match answer:
            case ObjectRead(stored=stored):
                self._calling_writer.on_read(stored)
            case ObjectWritten(stored=stored):
                self._backoff = self._backoff.succeeded()
                self._calling_writer.on_written(stored)
                ids = {"record": stored.name, "version": stored.version}
                return [Log("status", "status_written", "status written", ids)]
            case CallFailed(reason=reason):
                self._backoff = self._backoff.failed(random_share)
                self._calling_writer.failed(now_s, self._backoff.wait_s)
                text = "platform call for the status failed; retrying after backoff"
                return [Log("status", "status_failed", text, {"reason": reason})]
        return []


def _build_platform_call(action: StatusAction) -> ReadObject | WriteObject:
    match action:
        case ReadStatus(name=name):
            return ReadObject(STATUS_KIND, name)
        case WriteStatus(name=name, body=body, if_version=if_version):
            return WriteObject(STATUS_KIND, name, body, if_version)


def _strip_load(part: InstanceStatus) -> InstanceStatus:
    """Return the status without the counts that change with each request."""
    targets = (replace(t, in_progress=0, waiting=0) for t in part.targets)
    return replace(part, targets=tuple(targets))

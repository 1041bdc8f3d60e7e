"""Status of a zone: each instance's part, and the instances that write them.

In a large zone each group of instances has a writer of its own, and the zone's writer
keeps the records.  An instance can be both; it makes one call at a time.
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

__all__ = ["StatusSources", "ZoneStatusReporter"]

STATUS_SENDS_PER_EXPIRY = 3
"""How often a part is sent while it would not expire."""


class StatusSources(Protocol):
    """What the status is made from."""

    @property
    def status_writer(self) -> str | None:
        """Instance that writes the status of the zone; None if none may yet."""

    @property
    def group(self) -> StatusGroup | None:
        """Group of this instance; None in a zone that needs no groups."""

    def build_own_status(self) -> InstanceStatus:
        """Return what this instance tells about itself and its targets."""

    def view(self) -> StatusView:
        """Return what this instance knows about the zone."""

    def group_view(self) -> StatusView:
        """Return what this instance knows about its group."""


class ZoneStatusReporter:
    """Sends this instance's part to the writer, or writes for the zone.

    Parameters
    ----------
    settings : StatusSettings
        Rates.
    name, zone : str
        Name and availability zone of this instance.
    sources : StatusSources
        What the status is made from.
    """

    def __init__(
        self, settings: StatusSettings, name: str, zone: str, sources: StatusSources
    ) -> None:
        self._settings = settings
        self._name = name
        self._zone = zone
        self._sources = sources
        self._zone_writer = StatusWriter(settings, zone)
        self._group_writer: StatusWriter | None = None
        self._calling = self._zone_writer
        self._busy = False
        self._backoff = Backoff(BackoffSettings())
        self._writing = False
        self._sent: tuple[str, InstanceStatus] | None = None
        self._sent_at_s = float("-inf")
        self._next_look_s = float("-inf")

    def record_part(self, sender: str, part: InstanceStatus, now_s: float) -> None:
        """Take the part of another instance."""
        # Roles may change before the part is sent again: both writers keep it.
        self._zone_writer.record_part(sender, part, now_s)
        if self._group_writer is not None:
            self._group_writer.record_part(sender, part, now_s)

    def tick(self, random_share: float, now_s: float) -> list[Action]:
        """Do what is due.

        Parameters
        ----------
        random_share : float
            Random number from 0 to 1 that spreads the writes.
        now_s : float
            Present time, in seconds.
        """
        writer = self._sources.status_writer
        if self._writing and writer != self._name:
            self._zone_writer.invalidate()
        self._writing = writer == self._name
        if writer is None:
            return []
        group = self._sources.group
        self._take_group(group)
        actions: list[Action] = []
        if now_s >= self._next_look_s:
            self._next_look_s = now_s + self._settings.write_interval_s
            actions += self._tell(writer, group, now_s)
        return actions + self._write(random_share, now_s)

    def _take_group(self, group: StatusGroup | None) -> None:
        """Begin or end to write for the group."""
        if group is None or group.writer != self._name:
            self._group_writer = None
            return
        writer = self._group_writer
        known = writer and (writer.name, writer.slowdown)
        if known != (group.object_name, group.slowdown):
            self._group_writer = StatusWriter(
                self._settings, self._zone, group.object_name, group.slowdown
            )

    def _tell(
        self, zone_writer: str, group: StatusGroup | None, now_s: float
    ) -> list[Action]:
        """Send the part if it changed, or before the last one expires."""
        writer = group.writer if group else zone_writer
        if writer is None:
            return []
        part = self._sources.build_own_status()
        if writer == self._name:
            self.record_part(writer, part, now_s)
            return []
        news = (writer, _without_load(part))
        slowdown = group.slowdown if group else 1.0
        repeat_s = self._settings.part_expiry_s * slowdown / STATUS_SENDS_PER_EXPIRY
        if news == self._sent and now_s - self._sent_at_s < repeat_s:
            return []
        self._sent = news
        self._sent_at_s = now_s
        return [SendToPeer(writer, part)]

    def _write(self, random_share: float, now_s: float) -> list[Action]:
        if self._busy:
            return []
        action = None
        if self._writing and self._zone_writer.due(now_s):
            self._calling = self._zone_writer
            view = self._sources.view()
            action = self._zone_writer.step(view, now_s, random_share)
        writer = self._group_writer
        if action is None and writer and writer.due(now_s):
            self._calling = writer
            action = writer.step(self._sources.group_view(), now_s, random_share)
        if action is None:
            return []
        self._busy = True
        return [CallPlatform(CallPurpose.STATUS, _call(action))]

    def answered(
        self, answer: PlatformAnswer, random_share: float, now_s: float
    ) -> list[Action]:
        """Take what came of a call.

        Parameters
        ----------
        answer : PlatformAnswer
            What came of it.
        random_share : float
            Random number from 0 to 1 that spreads the wait after a failure.
        now_s : float
            Present time, in seconds.
        """
        self._busy = False
        match answer:
            case ObjectRead(stored=stored):
                self._calling.on_read(stored)
            case ObjectWritten(stored=stored):
                self._backoff = self._backoff.succeeded()
                self._calling.on_written(stored)
                ids = {"record": stored.name, "version": stored.version}
                return [Log("status", "status_written", "status written", ids)]
            case CallFailed(reason=reason):
                self._backoff = self._backoff.failed(random_share)
                self._calling.failed(now_s, self._backoff.wait_s)
                text = "status not written"
                return [Log("status", "status_failed", text, {"reason": reason})]
        return []


def _call(action: StatusAction) -> ReadObject | WriteObject:
    match action:
        case ReadStatus(name=name):
            return ReadObject(STATUS_KIND, name)
        case WriteStatus(name=name, body=body, if_version=if_version):
            return WriteObject(STATUS_KIND, name, body, if_version)


def _without_load(part: InstanceStatus) -> InstanceStatus:
    """Return the part without what changes with each request."""
    targets = (replace(t, in_progress=0, waiting=0) for t in part.targets)
    return replace(part, targets=tuple(targets))

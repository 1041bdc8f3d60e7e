"""Status of a zone: each instance's part, and the one instance that writes it."""

from typing import Protocol

from msgspec.structs import replace

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
from endivepick.platform.backoff import Backoff, BackoffSettings
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

__all__ = ["StatusSources", "ZoneStatus"]

PARTS_PER_EXPIRY = 3
"""How often a part is sent while it would not expire."""


class StatusSources(Protocol):
    """What the status is made from."""

    @property
    def status_writer(self) -> str | None:
        """Instance that writes the status of the zone; None if none may yet."""

    def own_part(self) -> InstanceStatus:
        """Return what this instance tells about itself and its targets."""

    def view(self) -> StatusView:
        """Return what this instance knows about the zone."""


class ZoneStatus:
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
        self._sources = sources
        self._writer = StatusWriter(settings, zone)
        self._backoff = Backoff(BackoffSettings())
        self._writing = False
        self._sent: tuple[str, InstanceStatus] | None = None
        self._sent_at_s = float("-inf")
        self._next_look_s = float("-inf")

    def note(self, sender: str, part: InstanceStatus, now_s: float) -> None:
        """Take the part of another instance."""
        self._writer.note(sender, part, now_s)

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
            self._writer.resign()
        self._writing = writer == self._name
        if writer is None:
            return []
        actions: list[Action] = []
        if now_s >= self._next_look_s:
            self._next_look_s = now_s + self._settings.write_interval_s
            actions += self._tell(writer, now_s)
        if self._writing:
            actions += self._write(random_share, now_s)
        return actions

    def _tell(self, writer: str, now_s: float) -> list[Action]:
        """Send the part if it changed, or before the last one expires."""
        part = self._sources.own_part()
        if writer == self._name:
            self._writer.note(writer, part, now_s)
            return []
        news = (writer, _without_load(part))
        repeat_s = self._settings.part_expiry_s / PARTS_PER_EXPIRY
        if news == self._sent and now_s - self._sent_at_s < repeat_s:
            return []
        self._sent = news
        self._sent_at_s = now_s
        return [SendToPeer(writer, part)]

    def _write(self, random_share: float, now_s: float) -> list[Action]:
        if not self._writer.due(now_s):
            return []
        action = self._writer.step(self._sources.view(), now_s, random_share)
        if action is None:
            return []
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
        match answer:
            case ObjectRead(stored=stored):
                self._writer.was_read(stored)
            case ObjectWritten(stored=stored):
                self._backoff = self._backoff.succeeded()
                self._writer.was_written(stored)
                ids = {"record": stored.name, "version": stored.version}
                return [Log("status", "status_written", "status written", ids)]
            case CallFailed(reason=reason):
                self._backoff = self._backoff.failed(random_share)
                self._writer.failed(now_s, self._backoff.wait_s)
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

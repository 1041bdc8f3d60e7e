"""Service records in force at an instance."""

from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure, Success

from endivepick.core.chart import load_chart
from endivepick.records.cache import Change
from endivepick.records.model import ServiceRecord
from endivepick.records.objects import SERVICE_KIND, StoredObject
from endivepick.records.peer_messages import RefusedRecord
from endivepick.records.schema import parse_service

__all__ = [
    "ActiveRecords",
    "ServiceChange",
    "ServiceChanged",
    "ServiceRefused",
    "ServiceRemoved",
]


@dataclass(frozen=True)
class ServiceChanged:
    """A version of a record came into force.

    Attributes
    ----------
    before : ServiceRecord or None
        Version that was in force before.
    record : ServiceRecord
        Version that is in force now.
    """

    before: ServiceRecord | None
    record: ServiceRecord


@dataclass(frozen=True)
class ServiceRemoved:
    """A record was deleted; ``before`` was in force."""

    before: ServiceRecord


@dataclass(frozen=True)
class ServiceRefused:
    """A version was refused; the last valid version stays in force.

    Attributes
    ----------
    refused : RefusedRecord
        Refused version, version in force and reason.
    """

    refused: RefusedRecord


ServiceChange = ServiceChanged | ServiceRemoved | ServiceRefused


class ActiveRecords:
    """Validates accepted changes and puts their records in force.

    If this program cannot parse a version, because it is invalid or has a newer
    schema, the last valid version stays in force.  The states of a record follow
    the state chart ``record``.

    Examples
    --------
    >>> active = ActiveRecords()
    >>> stored = StoredObject("service", "notes", 3, {"schema_version": 9})
    >>> [change.refused.in_force for change in active.apply([Change(None, stored)])]
    [0]
    """

    def __init__(self) -> None:
        self._chart = load_chart("record")
        self._states: dict[str, str] = {}
        self._in_force: dict[str, ServiceRecord] = {}
        self._refused: dict[str, RefusedRecord] = {}

    @property
    def refused(self) -> tuple[RefusedRecord, ...]:
        """Newest versions that were refused, ordered by name."""
        return tuple(self._refused[name] for name in sorted(self._refused))

    def get(self, name: str) -> ServiceRecord | None:
        """Return the record in force, or None."""
        return self._in_force.get(name)

    def records(self) -> tuple[ServiceRecord, ...]:
        """Return all records in force, ordered by name."""
        return tuple(self._in_force[name] for name in sorted(self._in_force))

    def state(self, name: str) -> str:
        """Return the state of a record in the state chart."""
        return self._states.get(name, self._chart.initial)

    def apply(self, changes: Iterable[Change]) -> list[ServiceChange]:
        """Apply changes of the cache.

        Parameters
        ----------
        changes : iterable of Change
            Changes of objects of any kind; kinds other than services are ignored.

        Returns
        -------
        list of ServiceChange
            Changes of the records in force, and refusals.
        """
        services = (
            change.after for change in changes if change.after.kind == SERVICE_KIND
        )
        applied = (self._apply(stored) for stored in services)
        return [change for change in applied if change is not None]

    def _apply(self, stored: StoredObject) -> ServiceChange | None:
        if stored.body is None:
            return self._remove(stored.name)
        match parse_service(stored.name, stored.version, stored.body):
            case Success(record):
                return self._put_in_force(record)
            case Failure(error):
                return self._refuse(stored, str(error))
        return None

    def _put_in_force(self, record: ServiceRecord) -> ServiceChanged:
        self._step(record.name, "accept")
        self._refused.pop(record.name, None)
        before = self._in_force.get(record.name)
        self._in_force[record.name] = record
        self._step(record.name, "apply")
        return ServiceChanged(before, record)

    def _refuse(self, stored: StoredObject, reason: str) -> ServiceRefused:
        self._step(stored.name, "refuse")
        in_force = self._in_force.get(stored.name)
        version = in_force.version if in_force else 0
        refused = RefusedRecord(stored.name, stored.version, version, reason)
        self._refused[stored.name] = refused
        return ServiceRefused(refused)

    def _remove(self, name: str) -> ServiceRemoved | None:
        if self.state(name) != "deleted":
            self._step(name, "delete")
        self._refused.pop(name, None)
        before = self._in_force.pop(name, None)
        return ServiceRemoved(before) if before else None

    def _step(self, name: str, event: str) -> None:
        self._states[name] = self._chart.step(self.state(name), event)

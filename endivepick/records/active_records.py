"""Service records in force at one instance."""

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
    """A record is to be put in force.

    Attributes
    ----------
    before : ServiceRecord or None
        What was in force.
    record : ServiceRecord
        What is in force from now on.
    """

    before: ServiceRecord | None
    record: ServiceRecord


@dataclass(frozen=True)
class ServiceRemoved:
    """A record was deleted; ``before`` was in force."""

    before: ServiceRecord


@dataclass(frozen=True)
class ServiceRefused:
    """A version cannot be used; the last valid one stays in force.

    Attributes
    ----------
    refused : RefusedRecord
        Version, what stays in force, and the reason.
    """

    refused: RefusedRecord


ServiceChange = ServiceChanged | ServiceRemoved | ServiceRefused


class ActiveRecords:
    """Turns accepted changes into records in force.

    A version that this program cannot read, because it is invalid or its schema
    is newer, leaves the last valid version in force.  The states of a record
    follow the chart ``record``.

    Examples
    --------
    >>> book = ActiveRecords()
    >>> stored = StoredObject("service", "notes", 3, {"schema_version": 9})
    >>> [change.refused.in_force for change in book.apply([Change(None, stored)])]
    [0]
    """

    def __init__(self) -> None:
        self._chart = load_chart("record")
        self._states: dict[str, str] = {}
        self._in_force: dict[str, ServiceRecord] = {}
        self._refused: dict[str, RefusedRecord] = {}

    @property
    def refused(self) -> tuple[RefusedRecord, ...]:
        """Newest versions that are not in force, by name."""
        return tuple(self._refused[name] for name in sorted(self._refused))

    def get(self, name: str) -> ServiceRecord | None:
        """Return the record in force, or None."""
        return self._in_force.get(name)

    def records(self) -> tuple[ServiceRecord, ...]:
        """Return all records in force, by name."""
        return tuple(self._in_force[name] for name in sorted(self._in_force))

    def state(self, name: str) -> str:
        """Return the state of a record, as in the chart."""
        return self._states.get(name, self._chart.initial)

    def apply(self, changes: Iterable[Change]) -> list[ServiceChange]:
        """Put changes of the cache in force.

        Parameters
        ----------
        changes : iterable of Change
            Changes of any kind of object; only services matter here.

        Returns
        -------
        list of ServiceChange
            What the rest of the instance has to act on.
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

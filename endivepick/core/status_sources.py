"""What an instance tells about itself, its targets and its zone."""

from collections.abc import Mapping, Set

from endivepick.core.catalog import Catalog
from endivepick.core.executor import RequestExecutor
from endivepick.core.lifecycle import Lifecycle
from endivepick.core.roles import ServiceRoles
from endivepick.membership import InstanceView, Membership
from endivepick.records.dissemination import Dissemination
from endivepick.records.peer_messages import InstanceStatus, TargetStatus
from endivepick.records.schema import SCHEMA_VERSIONS
from endivepick.records.status import StatusView

__all__ = ["InstanceSources", "RotationView"]


class InstanceSources:
    """Collects the status from the parts of the core.

    Parameters
    ----------
    incarnation : int
        Incarnation of this instance.
    started_at_s : float
        Its start, in seconds since the epoch.
    membership : Membership
        States of the instances.
    dissemination : Dissemination
        Role of this instance, and what the zone reports.
    catalog : Catalog
        Records in force.
    roles : ServiceRoles
        Services whose owner this instance is.
    executor : RequestExecutor
        Their dispatchers.
    lifecycle : Lifecycle
        State of this instance.
    """

    def __init__(
        self,
        incarnation: int,
        started_at_s: float,
        membership: Membership,
        dissemination: Dissemination,
        catalog: Catalog,
        roles: ServiceRoles,
        executor: RequestExecutor,
        lifecycle: Lifecycle,
    ) -> None:
        self._incarnation = incarnation
        self._started_at_s = started_at_s
        self._membership = membership
        self._dissemination = dissemination
        self._catalog = catalog
        self._roles = roles
        self._executor = executor
        self._lifecycle = lifecycle

    @property
    def status_writer(self) -> str | None:
        """Instance that writes the status of the zone.

        None until this instance holds a whole configuration: written by one that
        does not, the status would lose records.
        """
        if not self._dissemination.ready:
            return None
        return self._dissemination.roles.status_writer

    def own_part(self) -> InstanceStatus:
        """Return the state of this instance and of the targets that it owns."""
        targets = [t for name in self._roles.owned for t in self._targets(name)]
        return InstanceStatus(
            state=self._lifecycle.state,
            started_at_s=self._started_at_s,
            schema_versions=SCHEMA_VERSIONS,
            targets=tuple(targets),
            incarnation=self._incarnation,
            keyring_version=self._catalog.keys.version,
        )

    def _targets(self, service: str) -> list[TargetStatus]:
        snapshot = self._executor.dispatchers[service].snapshot()
        return [
            TargetStatus(
                service=service,
                target=target.name,
                state=target.state,
                in_progress=target.in_flight,
                waiting=target.waiting,
                slots=target.slots,
            )
            for target in snapshot.targets
        ]

    def view(self) -> StatusView:
        """Return what is in force and who is there, in the own zone."""
        known = self._membership.view()
        members = [n for n in self._dissemination.zone_members() if n in known]
        return StatusView(
            records=self._catalog.book.records(),
            report=self._dissemination.zone_report,
            members=members,
            states={name: known[name].state.value for name in members},
        )


class RotationView:
    """What the rotation of keys is decided on.

    Parameters
    ----------
    name : str
        Name of this instance.
    membership : Membership
        States of the instances.
    sources : InstanceSources
        Role of this instance.

    Attributes
    ----------
    listed : set of str or None
        Names on the platform's list; None if it was not read yet.
    """

    def __init__(
        self, name: str, membership: Membership, sources: InstanceSources
    ) -> None:
        self._name = name
        self._membership = membership
        self._sources = sources
        self.listed: Set[str] | None = None

    @property
    def is_status_writer(self) -> bool:
        """Whether this instance writes the status of its zone."""
        return self._sources.status_writer == self._name

    @property
    def view(self) -> Mapping[str, InstanceView]:
        """All known instances by name."""
        return self._membership.view()

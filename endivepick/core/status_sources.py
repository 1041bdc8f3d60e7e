"""Inputs for the status of an instance, its targets and its zone."""

from collections.abc import Iterable, Mapping, Set

from endivepick.core.catalog import Catalog
from endivepick.core.executor import RequestExecutor
from endivepick.core.lifecycle import Lifecycle
from endivepick.core.roles import ServiceRoles
from endivepick.membership import InstanceView, Membership
from endivepick.records.dissemination import Dissemination
from endivepick.records.peer_messages import InstanceStatus, TargetStatus
from endivepick.records.roles import ZoneRoles
from endivepick.records.schema import SCHEMA_VERSIONS
from endivepick.records.settings import StatusSettings
from endivepick.records.status import READY_STATE, StatusView
from endivepick.records.status_groups import StatusGroup, find_status_group, select_rows

__all__ = ["InstanceStatusSources", "RotationView"]

MAX_REPORTED_TARGETS = 64
"""Maximum number of targets in the status of one instance.

Targets that are not ready come first; the remaining targets are only counted.
"""


class InstanceStatusSources:
    """Collects status information from the components of the core.

    Parameters
    ----------
    settings : StatusSettings
        Settings of the zone status, including the group size.
    name, zone : str
        Name and availability zone of this instance.
    incarnation : int
        Random number that identifies this process.
    started_at_s : float
        Start time of this instance, in seconds since the epoch.
    membership : Membership
        State of each instance.
    dissemination : Dissemination
        Roles in the zone and its configuration report.
    catalog : Catalog
        Records and keys in force.
    roles : ServiceRoles
        Services that this instance owns.
    executor : RequestExecutor
        Dispatchers of these services.
    lifecycle : Lifecycle
        Lifecycle state of this instance.
    """

    def __init__(
        self,
        settings: StatusSettings,
        name: str,
        zone: str,
        incarnation: int,
        started_at_s: float,
        membership: Membership,
        dissemination: Dissemination,
        catalog: Catalog,
        roles: ServiceRoles,
        executor: RequestExecutor,
        lifecycle: Lifecycle,
    ) -> None:
        self._settings = settings
        self._name = name
        self._zone = zone
        self._incarnation = incarnation
        self._started_at_s = started_at_s
        self._membership = membership
        self._dissemination = dissemination
        self._catalog = catalog
        self._roles = roles
        self._executor = executor
        self._lifecycle = lifecycle
        self._cached_group: tuple[ZoneRoles | None, StatusGroup | None] = (None, None)

    @property
    def status_writer(self) -> str | None:
        """Name of the instance that writes the status of the zone.

        None until this instance has the complete configuration.  A writer with an
        incomplete configuration would omit records from the status.
        """
        if not self._dissemination.ready:
            return None
        return self._dissemination.roles.status_writer

    def build_own_status(self) -> InstanceStatus:
        """Return the status of this instance and the targets of its services."""
        targets = [
            t for name in self._roles.owned for t in self._build_target_statuses(name)
        ]
        if len(targets) > MAX_REPORTED_TARGETS:
            targets.sort(key=lambda target: target.state == READY_STATE)
        return InstanceStatus(
            state=self._lifecycle.state,
            started_at_s=self._started_at_s,
            schema_versions=SCHEMA_VERSIONS,
            targets=tuple(targets[:MAX_REPORTED_TARGETS]),
            incarnation=self._incarnation,
            keyring_version=self._catalog.keys.version,
            more_targets=max(0, len(targets) - MAX_REPORTED_TARGETS),
        )

    def _build_target_statuses(self, service: str) -> list[TargetStatus]:
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

    @property
    def group(self) -> StatusGroup | None:
        """Status group of this instance; None if the zone is not split into groups."""
        roles = self._dissemination.roles
        if self._cached_group[0] is not roles:
            size = self._settings.group_instances
            group = find_status_group(self._name, self._zone, roles, size)
            self._cached_group = (roles, group)
        return self._cached_group[1]

    def view(self) -> StatusView:
        """Return the records in force and the members of this instance's zone."""
        return self._build_view(of_group=False)

    def group_view(self) -> StatusView:
        """Return the members for the status rows of this instance's group."""
        return self._build_view(of_group=True)

    def _build_view(self, of_group: bool) -> StatusView:
        states = self._member_states(self._dissemination.zone_members())
        writes_zone = self.status_writer == self._name
        return StatusView(
            records=() if of_group else self._catalog.service_records.records(),
            report=self._dissemination.zone_report,
            members=states.keys(),
            states=states,
            shown=select_rows(self._name, states, self.group, writes_zone, of_group),
            all_refusals=self._dissemination.names_all_refusals,
        )

    def _member_states(self, names: Iterable[str]) -> dict[str, str]:
        known = self._membership.view()
        return {name: known[name].state.value for name in names if name in known}


class RotationView:
    """Inputs for the decisions of key rotation.

    Parameters
    ----------
    name : str
        Name of this instance.
    membership : Membership
        State of each instance.
    sources : InstanceStatusSources
        Identifies the status writer of the zone.

    Attributes
    ----------
    listed : set of str or None
        Names on the platform's list of instances; None until it has been read.
    """

    def __init__(
        self, name: str, membership: Membership, sources: InstanceStatusSources
    ) -> None:
        self._name = name
        self._membership = membership
        self._sources = sources
        self.listed: Set[str] | None = None

    @property
    def is_status_writer(self) -> bool:
        """Whether this instance is the status writer of its zone."""
        return self._sources.status_writer == self._name

    @property
    def view(self) -> Mapping[str, InstanceView]:
        """All known instances by name."""
        return self._membership.view()

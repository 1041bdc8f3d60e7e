"""What an instance tells about itself, its targets and its zone."""

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

TARGETS_TOLD = 64
"""Targets in one part, first those not ready; the others are counted."""


class InstanceStatusSources:
    """Collects the status from the parts of the core.

    Parameters
    ----------
    settings : StatusSettings
        Size of groups.
    name, zone : str
        Name and availability zone of this instance.
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
        self._grouped: tuple[ZoneRoles | None, StatusGroup | None] = (None, None)

    @property
    def status_writer(self) -> str | None:
        """Instance that writes the status of the zone.

        None until this instance holds a whole configuration: written by one that
        does not, the status would lose records.
        """
        if not self._dissemination.ready:
            return None
        return self._dissemination.roles.status_writer

    def build_own_status(self) -> InstanceStatus:
        """Return the state of this instance and of the targets that it owns."""
        targets = [t for name in self._roles.owned for t in self._targets(name)]
        if len(targets) > TARGETS_TOLD:
            targets.sort(key=lambda target: target.state == READY_STATE)
        return InstanceStatus(
            state=self._lifecycle.state,
            started_at_s=self._started_at_s,
            schema_versions=SCHEMA_VERSIONS,
            targets=tuple(targets[:TARGETS_TOLD]),
            incarnation=self._incarnation,
            keyring_version=self._catalog.keys.version,
            more_targets=max(0, len(targets) - TARGETS_TOLD),
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

    @property
    def group(self) -> StatusGroup | None:
        """Group of this instance; None in a zone that needs no groups."""
        roles = self._dissemination.roles
        if self._grouped[0] is not roles:
            size = self._settings.group_instances
            group = find_status_group(self._name, self._zone, roles, size)
            self._grouped = (roles, group)
        return self._grouped[1]

    def view(self) -> StatusView:
        """Return what is in force and who is there, in the own zone."""
        return self._view(of_group=False)

    def group_view(self) -> StatusView:
        """Return who is there, for the rows of the own group."""
        return self._view(of_group=True)

    def _view(self, of_group: bool) -> StatusView:
        states = self._states(self._dissemination.zone_members())
        writes_zone = self.status_writer == self._name
        return StatusView(
            records=() if of_group else self._catalog.service_records.records(),
            report=self._dissemination.zone_report,
            members=states.keys(),
            states=states,
            shown=select_rows(self._name, states, self.group, writes_zone, of_group),
            all_refusals=self._dissemination.names_all_refusals,
        )

    def _states(self, names: Iterable[str]) -> dict[str, str]:
        known = self._membership.view()
        return {name: known[name].state.value for name in names if name in known}


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
        self, name: str, membership: Membership, sources: InstanceStatusSources
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

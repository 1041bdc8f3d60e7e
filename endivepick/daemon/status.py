"""What an instance shows of itself to operators."""

from dataclasses import dataclass

from endivepick.core.dispatch import DispatchSnapshot
from endivepick.core.instance import InstanceCore
from endivepick.daemon.metrics import RoleGauges
from endivepick.membership import InstanceView, PeerState
from endivepick.records.peer_messages import RefusedRecord

__all__ = ["InstanceStatus", "instance_status", "role_gauges"]


@dataclass(frozen=True)
class InstanceStatus:
    """Snapshot of one instance.

    Attributes
    ----------
    name : str
        Name of the instance.
    incarnation : str
        Its incarnation, in hexadecimal.
    state : str
        State of its life cycle.
    at_s : float
        Time of the snapshot, in seconds since the epoch.
    flows : int
        Flows held.
    records : dict
        Version in force of each record.
    refused : tuple of RefusedRecord
        Newest versions that are not in force, with the reason.
    peers : list of InstanceView
        What it believes about the others.
    services : list of DispatchSnapshot
        Services with a dispatcher here.
    """

    name: str
    incarnation: str
    state: str
    at_s: float
    flows: int
    records: dict[str, int]
    refused: tuple[RefusedRecord, ...]
    peers: list[InstanceView]
    services: list[DispatchSnapshot]


def instance_status(core: InstanceCore, now_s: float) -> InstanceStatus:
    """Take a snapshot."""
    dispatchers = core.executor.dispatchers
    return InstanceStatus(
        name=core.me.name,
        incarnation=f"{core.me.incarnation:016x}",
        state=core.lifecycle.state,
        at_s=now_s,
        flows=len(core.table),
        records=dict(core.catalog.versions()),
        refused=core.catalog.book.refused,
        peers=list(core.membership.view().values()),
        services=[dispatcher.snapshot() for dispatcher in dispatchers.values()],
    )


def role_gauges(core: InstanceCore) -> RoleGauges:
    """Count what the instance holds."""
    snapshots = [one.snapshot() for one in core.executor.dispatchers.values()]
    peers: dict[PeerState, int] = {}
    for view in core.membership.view().values():
        if view.name != core.me.name:
            peers[view.state] = peers.get(view.state, 0) + 1
    return RoleGauges(
        services_owned=len(snapshots),
        flows_held=len(core.table),
        requests_in_progress=sum(
            target.in_flight for one in snapshots for target in one.targets
        ),
        requests_waiting=sum(one.waiting for one in snapshots),
        peers=peers,
        records_revision=core.configuration.cache.revision,
        record_versions={one.service: one.record_version for one in snapshots},
    )

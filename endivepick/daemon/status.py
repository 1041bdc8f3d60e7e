"""What an instance shows of itself to operators."""

from dataclasses import dataclass

from endivepick.core.catalog import ActiveKeyring
from endivepick.core.dispatch import DispatchSnapshot
from endivepick.core.instance import InstanceCore
from endivepick.daemon.metrics import RoleGauges
from endivepick.membership import InstanceView, PeerState
from endivepick.records.peer_messages import RefusedRecord

__all__ = [
    "InstanceStatus",
    "KeyringStatus",
    "build_instance_status",
    "compute_role_gauges",
]


@dataclass(frozen=True)
class KeyringStatus:
    """Keys of an instance, without secrets.

    Attributes
    ----------
    version : int
        Version of the keyring; 0 if the instance holds none.
    current : int
        Number of the key that signs.
    keys : list of int
        Numbers of all keys; those above ``current`` are pending.
    """

    version: int
    current: int
    keys: list[int]


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
    keyring : KeyringStatus
        Keys for flow tokens.
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
    keyring: KeyringStatus
    refused: tuple[RefusedRecord, ...]
    peers: list[InstanceView]
    services: list[DispatchSnapshot]


def build_instance_status(core: InstanceCore, now_s: float) -> InstanceStatus:
    """Take a snapshot."""
    dispatchers = core.executor.dispatchers
    return InstanceStatus(
        name=core.me.name,
        incarnation=f"{core.me.incarnation:016x}",
        state=core.lifecycle.state,
        at_s=now_s,
        flows=len(core.table),
        records=dict(core.catalog.versions()),
        keyring=_keyring_status(core.catalog.keys),
        refused=core.catalog.service_records.refused,
        peers=list(core.membership.view().values()),
        services=[dispatcher.snapshot() for dispatcher in dispatchers.values()],
    )


def _keyring_status(keys: ActiveKeyring) -> KeyringStatus:
    if keys.keyring is None:
        return KeyringStatus(0, 0, [])
    return KeyringStatus(keys.version, keys.keyring.current, sorted(keys.keyring.keys))


def compute_role_gauges(core: InstanceCore) -> RoleGauges:
    """Count what the instance holds, and what it relayed since the last call."""
    snapshots = [one.snapshot() for one in core.executor.dispatchers.values()]
    peers: dict[PeerState, int] = {}
    for view in core.membership.view().values():
        if view.name != core.me.name:
            peers[view.state] = peers.get(view.state, 0) + 1
    return RoleGauges(
        services_owned=len(core.roles.owned),
        flows_held=len(core.table),
        flows_relayed=round(core.relay.flows_relayed.take()),
        requests_in_progress=sum(
            target.in_flight for one in snapshots for target in one.targets
        ),
        requests_waiting=sum(one.waiting for one in snapshots),
        peers=peers,
        records_revision=core.configuration.cache.revision,
        record_versions={one.service: one.record_version for one in snapshots},
    )

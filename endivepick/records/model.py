"""Internal form of a service record, whatever schema it was written in."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Affinity", "ServiceRecord", "TargetRecord"]


class Affinity(Enum):
    """Which requests of a flow have to run on the same target."""

    FLOW = "flow"
    """All requests of a flow run on one target while it serves."""
    REQUEST = "request"
    """Each request may run on any target of the service."""


@dataclass(frozen=True)
class TargetRecord:
    """One backend server of a service.

    Attributes
    ----------
    name : str
        Unique within the service.
    zone : str
        Availability zone that it stands in.
    address : str
        ``host:port`` of its HTTP endpoint.
    slots : int
        Requests that it runs at once.
    connections : int
        Connections that it holds at once, streams included.
    draining : bool
        It gets no new work.
    """

    name: str
    zone: str
    address: str
    slots: int
    connections: int
    draining: bool = False


@dataclass(frozen=True)
class ServiceRecord:
    """What an operator wants of one service.

    Attributes
    ----------
    name : str
        Name that callers use.
    version : int
        Version of the stored object; only grows.
    schema_version : int
        Schema that the record was written in.
    write_id : str
        Id of the write, by which a writer finds out whether a write took effect.
    affinity : Affinity
        Which requests of a flow share a target.
    targets : tuple of TargetRecord
        Backend servers, sorted by name.
    waiting_per_slot : int
        Longest queue, in requests for each slot in service.
    request_timeout_s : float
        Longest time that a request may take, waiting included, in seconds.
    spill_share : float
        Largest share of requests that leaves its zone while the zone has a free
        slot, from 0 to 1.
    """

    name: str
    version: int
    schema_version: int
    write_id: str
    affinity: Affinity
    targets: tuple[TargetRecord, ...]
    waiting_per_slot: int = 8
    request_timeout_s: float = 30.0
    spill_share: float = 1.0

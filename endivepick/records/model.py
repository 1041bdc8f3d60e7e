"""Internal representation of service records, independent of their schema."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Affinity", "ServiceRecord", "TargetRecord"]


class Affinity(Enum):
    """Which requests must run on the same target."""

    FLOW = "flow"
    """All requests of a flow run on one target while it is in service."""
    REQUEST = "request"
    """Each request may run on any target of the service."""


@dataclass(frozen=True)
class TargetRecord:
    """Backend server of a service.

    Attributes
    ----------
    name : str
        Name, unique within the service.
    zone : str
        Availability zone of the server.
    address : str
        ``host:port`` of its HTTP endpoint.
    slots : int
        Maximum concurrent requests.
    connections : int
        Maximum concurrent connections, including streams.
    draining : bool
        Whether it gets no new work.
    """

    name: str
    zone: str
    address: str
    slots: int
    connections: int
    draining: bool = False


@dataclass(frozen=True)
class ServiceRecord:
    """Configuration of a service as written by an operator.

    Attributes
    ----------
    name : str
        Name by which callers address the service.
    version : int
        Version of the stored object; monotonically increasing.
    schema_version : int
        Schema version in which the record was written.
    write_id : str
        Identifier of the write, by which a writer checks whether it took effect.
    affinity : Affinity
        Which requests must run on the same target.
    targets : tuple of TargetRecord
        Backend servers, sorted by name.
    waiting_per_slot : int
        Maximum queue length, in requests per slot in service.
    request_timeout_s : float
        Maximum duration of a request, including waiting, in seconds.
    spill_share : float
        Maximum share of requests that leave their zone while it has a free slot,
        from 0 to 1.
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

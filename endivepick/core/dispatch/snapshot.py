"""Snapshot of the state of a dispatcher, for status and metrics."""

from dataclasses import dataclass

from endivepick.core.dispatch.target import TargetState

__all__ = ["DispatchSnapshot", "TargetSnapshot", "snapshot_target"]


@dataclass(frozen=True)
class TargetSnapshot:
    """State of one target.

    Attributes
    ----------
    name : str
        Name of the target.
    state : str
        State in the target state chart.
    incarnation : int
        Incarnation of the target; 0 if unknown.
    healthy : bool
        Whether its last probe succeeded.
    slots : int
        Number of slots in its record.
    in_flight : int
        Number of requests of this owner that use a slot.
    streams : int
        Number of event streams of this owner.
    waiting : int
        Number of waiting requests that are pinned to it.
    flows : int
        Number of flows that are pinned to it.
    blocked_until_s : float
        End of its backoff or ejection, in seconds.
    """

    name: str
    state: str
    incarnation: int
    healthy: bool
    slots: int
    in_flight: int
    streams: int
    waiting: int
    flows: int
    blocked_until_s: float


@dataclass(frozen=True)
class DispatchSnapshot:
    """State of a service at its owner.

    Attributes
    ----------
    service : str
        Name of the service.
    record_version : int
        Version of the current service record.
    waiting : int
        Number of waiting requests.
    waiting_unpinned : int
        Number of waiting requests that any target may run.
    retry_tokens : float
        Number of retries that are available now.
    short_service_time_s, long_service_time_s : float
        Estimated service times, in seconds.
    targets : tuple of TargetSnapshot
        Targets sorted by name.
    """

    service: str
    record_version: int
    waiting: int
    waiting_unpinned: int
    retry_tokens: float
    short_service_time_s: float
    long_service_time_s: float
    targets: tuple[TargetSnapshot, ...]


def snapshot_target(target: TargetState) -> TargetSnapshot:
    """Return the current state of one target."""
    return TargetSnapshot(
        name=target.name,
        state=target.state,
        incarnation=target.incarnation,
        healthy=target.healthy,
        slots=target.record.slots,
        in_flight=len(target.running),
        streams=len(target.streams),
        waiting=len(target.queue),
        flows=target.flows,
        blocked_until_s=target.blocked_until_s(),
    )

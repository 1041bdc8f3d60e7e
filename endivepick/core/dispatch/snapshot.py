"""Present state of a dispatcher, for status and metrics."""

from dataclasses import dataclass

from endivepick.core.dispatch.target import TargetState

__all__ = ["DispatchSnapshot", "TargetSnapshot", "snapshot_target"]


@dataclass(frozen=True)
class TargetSnapshot:
    """Present state of one target.

    Attributes
    ----------
    name : str
        Name of the target.
    state : str
        State in its chart.
    incarnation : int
        Its incarnation; 0 if unknown.
    healthy : bool
        Its last probe succeeded.
    slots : int
        Slots of its record.
    in_flight : int
        Requests of this owner that hold a slot.
    streams : int
        Event streams of this owner.
    waiting : int
        Requests that wait for this very target.
    flows : int
        Flows that are pinned to it.
    blocked_until_s : float
        End of its back-off or ejection, in seconds.
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
    """Present state of a service at its owner.

    Attributes
    ----------
    service : str
        Name of the service.
    record_version : int
        Version of the record in force.
    waiting : int
        Requests that wait.
    waiting_unpinned : int
        Those of them that any target may take.
    retry_tokens : float
        Retries that are allowed at once.
    short_service_time_s, long_service_time_s : float
        Usual service times, in seconds.
    targets : tuple of TargetSnapshot
        Targets in order of their names.
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
    """Return the present state of one target."""
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

"""Actions that the decision core returns to its host process."""

from dataclasses import dataclass, field
from typing import Any

from endivepick.core.messages import CallerAddress, InstancePacket, RequestHead
from endivepick.core.platform_calls import CallPurpose, PlatformCall

__all__ = [
    "Action",
    "CallPlatform",
    "CancelAttempt",
    "Count",
    "Log",
    "Observe",
    "Probe",
    "ReadinessChange",
    "RequestId",
    "SendToAddress",
    "SendToCaller",
    "SendToPeer",
    "StartAttempt",
    "StopFinished",
    "StopPlatformWatch",
    "WatchPlatform",
]

RequestId = tuple[int, int, int]
"""Binding, request number and submission count of the request."""


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send one datagram to a caller through the fabric."""

    caller: CallerAddress
    packet: InstancePacket


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send one message to another instance; delivery is not guaranteed."""

    name: str
    message: Any


@dataclass(frozen=True, slots=True)
class SendToAddress:
    """Send one message to an instance of which only the address is known."""

    peer_address: str
    message: Any


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a target.

    Attributes
    ----------
    request_id : tuple of int
        Binding, request number and submission count of the request.
    attempt : int
        Number of this attempt; events about the attempt carry it.
    service : str
        Service that the target must confirm.
    target : str
        Name of the target.
    target_incarnation : int
        Incarnation that the target must confirm.
    address : str
        ``host:port`` of the target.
    head : RequestHead
        Request to send.
    idempotency_key : str
        Key that all attempts of a request share.
    idempotent : bool
        Whether the request may run more than once.
    timeout_s : float
        Time until the deadline, in seconds.
    last_event_id : str
        Event after which a stream resumes; empty at its start.
    """

    request_id: RequestId
    attempt: int
    service: str
    target: str
    target_incarnation: int
    address: str
    head: RequestHead
    idempotency_key: str
    idempotent: bool
    timeout_s: float
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt by closing its connection to the target.

    Attributes
    ----------
    request_id : tuple of int
        Binding, request number and submission count of the request.
    attempt : int
        Number of the attempt.
    by_key : bool
        Whether to also cancel the request at the target by its idempotency key.
        All attempts share that key, so it is used only for a request that never
        runs again.
    """

    request_id: RequestId
    attempt: int
    by_key: bool = True


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe the health and load of a target."""

    service: str
    target: str
    address: str


@dataclass(frozen=True, slots=True)
class Count:
    """Increment a counter, by name and label."""

    name: str
    label: str = ""
    amount: int = 1


@dataclass(frozen=True, slots=True)
class Observe:
    """Add one value to a histogram, by name and label."""

    name: str
    label: str
    value: float


@dataclass(frozen=True, slots=True)
class Log:
    """Write one event to the log."""

    part: str
    name: str
    message: str
    ids: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReadinessChange:
    """Report that the instance became ready, or the reason why it is not ready."""

    ready: bool
    reason: str


@dataclass(frozen=True, slots=True)
class WatchPlatform:
    """Watch the platform from a revision; 0 means to list all objects first."""

    after: int


@dataclass(frozen=True, slots=True)
class StopPlatformWatch:
    """Stop watching the platform, because peers deliver the configuration."""


@dataclass(frozen=True, slots=True)
class CallPlatform:
    """Call the platform; the result is reported as ``PlatformAnswered``.

    Attributes
    ----------
    purpose : CallPurpose
        Component of the core that awaits the answer.
    call : PlatformCall
        Call to make.
    """

    purpose: CallPurpose
    call: PlatformCall


@dataclass(frozen=True, slots=True)
class StopFinished:
    """Report that the planned stop is complete and the process may exit."""

    open_flows: int


Action = (
    SendToCaller
    | SendToPeer
    | SendToAddress
    | StartAttempt
    | CallPlatform
    | CancelAttempt
    | Count
    | Probe
    | ReadinessChange
    | Log
    | Observe
    | StopFinished
    | StopPlatformWatch
    | WatchPlatform
)

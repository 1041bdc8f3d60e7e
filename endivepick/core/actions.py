"""What the decision core asks its surroundings to do."""

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
"""Binding, request number, and how often the request was submitted."""


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send one datagram to a caller through the fabric."""

    caller: CallerAddress
    packet: InstancePacket


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send one message to another instance, without a promise of arrival."""

    name: str
    message: Any


@dataclass(frozen=True, slots=True)
class SendToAddress:
    """Send one message to the instance at an address, whose name is not known."""

    peer_address: str
    message: Any


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a target.

    Attributes
    ----------
    request_id : tuple of int
        Binding, request number, and how often the request was submitted.
    attempt : int
        Counts the attempts of this request; events about it carry the number.
    service : str
        Service that the target has to confirm.
    target : str
        Name of the target.
    target_incarnation : int
        Incarnation that the target has to confirm.
    address : str
        ``host:port`` of the target.
    head : RequestHead
        The request.
    idempotency_key : str
        The same for all attempts of a request.
    idempotent : bool
        Whether the request may run more than once.
    timeout_s : float
        Time left, in seconds.
    last_event_id : str
        Where a stream goes on; empty at its start.
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
    """Close the connection of an attempt, by which the target gives it up.

    Attributes
    ----------
    request_id : tuple
        The request.
    attempt : int
        Number of the attempt.
    by_key : bool
        Also cancel the request at the target by its idempotency key.  All attempts
        share that key, so only a request that never runs again is cancelled by it.
    """

    request_id: RequestId
    attempt: int
    by_key: bool = True


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a target for its health and load."""

    service: str
    target: str
    address: str


@dataclass(frozen=True, slots=True)
class Count:
    """Count something, by name and label."""

    name: str
    label: str = ""
    amount: int = 1


@dataclass(frozen=True, slots=True)
class Observe:
    """Add one value to a distribution, by name and label."""

    name: str
    label: str
    value: float


@dataclass(frozen=True, slots=True)
class Log:
    """Write one event into the log."""

    part: str
    name: str
    message: str
    ids: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReadinessChange:
    """The instance can serve from now on, or can't, and why not."""

    ready: bool
    reason: str


@dataclass(frozen=True, slots=True)
class WatchPlatform:
    """Watch the platform after a revision; list all objects first if it is 0."""

    after: int


@dataclass(frozen=True, slots=True)
class StopPlatformWatch:
    """Stop watching the platform: peers bring the configuration."""


@dataclass(frozen=True, slots=True)
class CallPlatform:
    """Call the platform; what comes of it is told as ``PlatformAnswered``.

    Attributes
    ----------
    purpose : CallPurpose
        Part of the core that waits for the answer.
    call : PlatformCall
        The call.
    """

    purpose: CallPurpose
    call: PlatformCall


@dataclass(frozen=True, slots=True)
class StopFinished:
    """The planned stop is complete; the process may end."""

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

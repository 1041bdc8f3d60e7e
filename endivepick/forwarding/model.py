"""What the forwarding path speaks of: flows, packets, targets, configuration."""

from enum import Enum
from socket import inet_ntoa

from msgspec import Struct, field

__all__ = [
    "Configuration",
    "FlowKey",
    "Packet",
    "Route",
    "RouteKind",
    "ServiceShare",
    "Target",
    "TargetPhase",
]


class FlowKey(Struct, frozen=True):
    """Addresses that identify a flow.

    Attributes
    ----------
    caller_host, service_host : int
        IPv4 numbers of both ends.
    caller_port, service_port : int
        Their ports.

    Examples
    --------
    >>> str(FlowKey(0x64400007, 40001, 0xC6120001, 443))
    '100.64.0.7:40001>198.18.0.1:443'
    """

    caller_host: int
    caller_port: int
    service_host: int
    service_port: int

    @property
    def caller_address(self) -> str:
        """Address of the caller, with dots."""
        return inet_ntoa(self.caller_host.to_bytes(4, "big"))

    def __str__(self) -> str:
        service_address = inet_ntoa(self.service_host.to_bytes(4, "big"))
        caller = f"{self.caller_address}:{self.caller_port}"
        return f"{caller}>{service_address}:{self.service_port}"


class Packet(Struct, frozen=True):
    """Head of one packet that a caller sent.

    Attributes
    ----------
    flow : FlowKey
        Flow that it belongs to.
    opening : bool
        It opens the flow (SYN).
    closing : bool
        It is the caller's last one (FIN or RST).
    cookie : int
        Cookie of the flow's target, 0 before the flow has one.
    sequence : int
        Number of its first byte.
    acknowledged : int
        Bytes of the target that the caller has; for an opening packet the number
        of copies sent before it.
    data_bytes : int
        Length of its data.
    """

    flow: FlowKey
    opening: bool
    closing: bool
    cookie: int
    sequence: int
    acknowledged: int
    data_bytes: int


class TargetPhase(Enum):
    """What a target says of itself in the registry."""

    READY = "ready"
    DRAINING = "draining"


class Target(Struct, frozen=True, array_like=True):
    """Registry entry of one incarnation of a backend server.

    Name and time of start identify the incarnation: a server may start again under
    its name, and then knows nothing of the flows that it had.

    Instances tell each other of entries as arrays, which halves what a feeder sends: it
    passes each change on to all whom it feeds.  New fields come last, so that instances
    of another build read the rest.

    Attributes
    ----------
    name : str
        Name of the entry.
    number : int
        64-bit number of the name that packets carry, so that no other server takes
        them.
    service : str
        Service that it serves.
    host, port : str, int
        Where it takes datagrams, and probes over TCP.
    zone : str
        Availability zone that it stands in.
    slots : int
        Requests that it works on at a time.
    phase : TargetPhase
        Ready or draining.
    cold_s : float
        How much longer it is slow after its start, in seconds.
    created, revision : int
        Revisions of the store that created and last wrote this entry.
    born_ms : int
        When the server started, by its own clock, in Unix milliseconds; 0 if its entry
        does not say.
    """

    name: str
    number: int
    service: str
    host: str
    port: int
    zone: str
    slots: int
    phase: TargetPhase = TargetPhase.READY
    cold_s: float = 0.0
    created: int = 0
    revision: int = 0
    born_ms: int = 0

    def is_other_incarnation(self, other: "Target") -> bool:
        """Whether this is another incarnation than an entry known before.

        An entry without a time of start tells nothing of it.
        """
        known = self.born_ms and other.born_ms
        return bool(known) and self.born_ms != other.born_ms


class RouteKind(Enum):
    """How callers may repeat requests of a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


class ServiceShare(Struct, frozen=True):
    """Share of a route's new flows that goes to a service."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """Where new flows to one address and port go.

    Attributes
    ----------
    name : str
        Name of the route.
    host, port : int
        IPv4 number and port that callers name.
    shares : tuple of ServiceShare
        Services by weight.
    kind : RouteKind
        Whether its requests may be repeated.
    """

    name: str
    host: int
    port: int
    shares: tuple[ServiceShare, ...]
    kind: RouteKind


class Configuration(Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
        Version that the operator gave it.
    revision : int
        Revision of the store that wrote it.
    routes : tuple of Route
        All routes.
    health_paths : dict of str to str
        Path of the health check, by service.
    idle_timeout_s : float
        A flow without packets for longer may be forgotten, in seconds.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    health_paths: dict[str, str] = field(default_factory=dict)
    idle_timeout_s: float = 60.0

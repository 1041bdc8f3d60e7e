"""Data types of the forwarding path: flows, packets, targets and configuration."""

from enum import Enum
from socket import inet_ntoa

from msgspec import Struct, field

from endivepick.forwarding.message_fields import Revision

__all__ = [
    "ColdStart",
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
        IPv4 addresses of both ends, as numbers.
    caller_port, service_port : int
        Ports of both ends.

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
        """Address of the caller, in dotted notation."""
        return inet_ntoa(self.caller_host.to_bytes(4, "big"))

    @property
    def route_address(self) -> str:
        """Address and port of the flow's route, in dotted notation."""
        service_address = inet_ntoa(self.service_host.to_bytes(4, "big"))
        return f"{service_address}:{self.service_port}"

    def __str__(self) -> str:
        caller = f"{self.caller_address}:{self.caller_port}"
        return f"{caller}>{self.route_address}"


class Packet(Struct, frozen=True):
    """Header of one packet from a caller.

    Attributes
    ----------
    flow : FlowKey
        Flow of the packet.
    opening : bool
        It opens the flow (SYN).
    closing : bool
        It is the caller's last packet (FIN or RST).
    cookie : int
        Cookie of the flow's target, 0 before the flow has one.
    sequence : int
        Sequence number of its first byte.
    acknowledged : int
        For an opening packet, the number of copies sent before it.  For others, the
        acknowledgement number: bytes of the target that the caller has received.
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
    """Phase that a target reports in its registry entry."""

    READY = "ready"
    DRAINING = "draining"


class Target(Struct, frozen=True, array_like=True):
    """Registry entry of one incarnation of a backend server.

    Name and start time identify the incarnation: a server may restart under its name,
    and then has no record of its former flows.

    Instances send each other entries as arrays, which halves the traffic of a feeder:
    it passes each change on to all instances that it feeds.  New fields are appended
    at the end, so that instances of another build can read the others.

    Attributes
    ----------
    name : str
        Name of the entry.
    number : int
        64-bit number of the name.  Packets carry it, so that no other server accepts
        them.
    service : str
        Service of the server.
    host, port : str, int
        Address for datagrams, and for probes over TCP.
    zone : str
        Availability zone of the server.
    slots : int
        Number of requests that it processes concurrently.
    phase : TargetPhase
        Ready or draining.
    cold_s : float
        Remaining time in which it is slow after its start, in seconds.
    created, revision : int
        Store revisions at which this entry was created and last written.
    born_ms : int
        When the server started, by its own clock, in Unix milliseconds; 0 if the entry
        has no start time.
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
        """Whether this is another incarnation than that of a known entry.

        An entry without a start time says nothing about its incarnation.
        """
        known = self.born_ms and other.born_ms
        return bool(known) and self.born_ms != other.born_ms


class RouteKind(Enum):
    """Whether callers may repeat requests of a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


class ServiceShare(Struct, frozen=True):
    """Share of a route's new flows that goes to a service."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """Services for new flows to one address and port.

    Attributes
    ----------
    name : str
        Name of the route.
    host, port : int
        IPv4 address (as a number) and port that callers connect to.
    shares : tuple of ServiceShare
        Services and their weights.
    kind : RouteKind
        Whether its requests may be repeated.
    regions : tuple of str
        Regions whose targets may take its flows; empty for all regions.
    priority : int
        Priority of its requests; 0 is the highest.
    timeout_s : float
        Time after which callers give up a request, in seconds; 0 if it is unknown.
    aim_s : float
        Time within which requests should be answered, in seconds; 0 if it is unknown.
    """

    name: str
    host: int
    port: int
    shares: tuple[ServiceShare, ...]
    kind: RouteKind
    regions: tuple[str, ...] = ()
    priority: int = 0
    timeout_s: float = 0.0
    aim_s: float = 0.0


class ColdStart(Struct, frozen=True):
    """What the targets of a service bear after a start.

    Attributes
    ----------
    duration_s : float
        How long a target is cold, in seconds.
    requests_per_s : float
        Requests per second that a cold target bears from all instances; 0 if no rate
        is given.
    """

    duration_s: float = 0.0
    requests_per_s: float = 0.0


class Configuration(Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
        Version number assigned by the operator.
    revision : int
        Store revision at which it was written.
    routes : tuple of Route
        All routes.
    health_paths : dict of str to str
        Path of the health check, by service.
    idle_timeout_s : float
        Flows without packets for longer than this may be removed, in seconds.
    cold_starts : dict of str to ColdStart
        Cold start of the targets, by service.
    """

    version: int
    revision: Revision
    routes: tuple[Route, ...]
    health_paths: dict[str, str] = field(default_factory=dict)
    idle_timeout_s: float = 60.0
    cold_starts: dict[str, ColdStart] = field(default_factory=dict)

"""Workload shapes of two installations and their open-loop arrival processes."""

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random

from endivepick.core.dispatch import FlowActivity
from endivepick.records.model import Affinity, ServiceRecord, TargetRecord

__all__ = [
    "SHAPES",
    "FlowCloseEvent",
    "Event",
    "Flow",
    "FlowOpenEvent",
    "Request",
    "RequestEvent",
    "Shape",
    "generate_events",
    "make_record",
]

_PACE_LOG_SIGMA = 0.7


@dataclass(frozen=True)
class Shape:
    """Parameters of one service, its instances and its traffic.

    Attributes
    ----------
    name : str
        Name of the shape.
    zones : tuple of str
        Availability zones.
    target_zones : tuple of int
        Index into ``zones`` for each target.
    slots : int
        Concurrency slots per target.
    instances : int
        Number of instances, assigned to the zones in turn.
    zone_delay_s : float
        One-way delay between two zones, in seconds.
    short_service_s : float
        Mean service time of a short request, in seconds.
    long_service_s : float
        Mean service time of a long request, in seconds.
    long_share : float
        Fraction of requests that are long.
    flow_lifetime_s : float
        Mean lifetime of a flow, in seconds.
    think_time_s : float
        Mean time between consecutive requests of a flow, in seconds.
    timeout_s : float
        Timeout of a request at its caller, in seconds.
    idempotent_share : float
        Fraction of requests that are idempotent.
    send_work_s, place_work_s : float
        Processor time to send a request to its target, and to choose its target
        for another instance to send, in seconds.
    """

    name: str
    zones: tuple[str, ...]
    target_zones: tuple[int, ...]
    slots: int
    instances: int
    zone_delay_s: float
    short_service_s: float
    long_service_s: float
    long_share: float
    flow_lifetime_s: float
    think_time_s: float
    timeout_s: float
    idempotent_share: float
    send_work_s: float = 0.0
    place_work_s: float = 0.0

    @property
    def service_time_s(self) -> float:
        """Mean service time over all requests, in seconds."""
        short_s = (1.0 - self.long_share) * self.short_service_s
        return short_s + self.long_share * self.long_service_s

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all slots together can serve."""
        return len(self.target_zones) * self.slots / self.service_time_s

    def zone_of_instance(self, instance: int) -> str:
        """Return the zone of an instance."""
        return self.zones[instance % len(self.zones)]

    def zone_of_target(self, target: int) -> str:
        """Return the zone of a target."""
        return self.zones[self.target_zones[target]]


_HARADA = Shape(
    name="harada",
    zones=("fukuoka", "kumamoto", "kagoshima"),
    target_zones=(0, 0, 0, 1, 1, 2, 2),
    slots=2,
    instances=8,
    zone_delay_s=0.0005,
    short_service_s=0.2,
    long_service_s=0.2,
    long_share=0.0,
    flow_lifetime_s=60.0,
    think_time_s=4.0,
    timeout_s=10.0,
    idempotent_share=0.5,
)
_LEAVE_DESK = Shape(
    name="leave-desk",
    zones=("thamel", "baneshwor", "lalitpur", "bhaktapur"),
    target_zones=(0, 0, 1, 1, 2, 2, 3),
    slots=3,
    instances=9,
    zone_delay_s=0.0015,
    short_service_s=0.15,
    long_service_s=0.15,
    long_share=0.0,
    flow_lifetime_s=20.0,
    think_time_s=2.0,
    timeout_s=10.0,
    idempotent_share=0.3,
)
SHAPES = {
    shape.name: shape
    for shape in (
        _HARADA,
        _LEAVE_DESK,
        dataclasses.replace(
            _HARADA,
            name="harada-packs",
            target_zones=(0, 1, 2),
            long_service_s=2.0,
            long_share=0.3,
            timeout_s=30.0,
        ),
        dataclasses.replace(
            _LEAVE_DESK,
            name="leave-desk-exports",
            target_zones=(0, 1, 2, 3),
            long_service_s=1.5,
            long_share=0.2,
            timeout_s=30.0,
        ),
        # At a load of 0.9, a single sender would need 1.26 s of processor time per
        # second. Placing takes 0.3 times the processor time of sending.
        dataclasses.replace(
            _HARADA,
            name="harada-hot",
            target_zones=(0, 0, 0, 1, 1, 2, 2) * 4,
            send_work_s=0.005,
            place_work_s=0.0015,
        ),
    )
}


@dataclass(eq=False)
class Flow:
    """Flow of a caller.

    Attributes
    ----------
    number : int
        Unique number.
    instance : int
        Instance that received the opening of the flow.
    pace_per_s : float
        Mean request rate. Only the perfect scheduler may read it.
    target : str
        Target named in the token of the flow, or an empty string.
    owner : int
        Number of the owner, or -1 in policies without owners.
    requests : int
        Requests submitted so far.
    activity : FlowActivity
        Request rate as observed by the owner, in policies with owners.
    """

    number: int
    instance: int
    pace_per_s: float
    target: str = ""
    owner: int = -1
    requests: int = 0
    activity: FlowActivity = field(default_factory=FlowActivity)


@dataclass(eq=False)
class Request:
    """Request whose random properties are drawn in advance.

    Attributes
    ----------
    number : int
        Unique number.
    flow : Flow
        Flow of the request.
    arrival_s : float
        Time at which the caller sends the request, in seconds.
    service_s : float
        Service time, in seconds.
    deadline_at_s : float
        Time at which the caller gives up, in seconds.
    idempotent : bool
        Whether the request may run more than once.
    instance : int
        Instance that receives the request.
    long : bool
        Whether the request belongs to the long cost class.
    established : bool
        Whether its flow has sent a request before.
    attempts : int
        Number of attempts at targets so far.
    started_s : float
        Start time of the answered attempt, in seconds.
    outcome : str
        Outcome, or an empty string while the request is pending.
    """

    number: int
    flow: Flow
    arrival_s: float
    service_s: float
    deadline_at_s: float
    idempotent: bool
    instance: int
    long: bool
    established: bool = True
    attempts: int = 0
    started_s: float = 0.0
    outcome: str = ""


@dataclass(frozen=True)
class FlowOpenEvent:
    """Event of a caller that opens a flow."""

    flow: Flow


@dataclass(frozen=True)
class RequestEvent:
    """Event of a caller that sends a request."""

    request: Request


@dataclass(frozen=True)
class FlowCloseEvent:
    """Event of a caller that closes its flow."""

    flow: Flow


Event = FlowOpenEvent | RequestEvent | FlowCloseEvent


def make_record(
    shape: Shape, affinity: Affinity, spill_share: float = 1.0, version: int = 1
) -> ServiceRecord:
    """Return the service record of a shape."""
    targets = tuple(
        TargetRecord(
            f"target{index}",
            shape.zone_of_target(index),
            f"127.0.0.1:{index}",
            shape.slots,
            2000,
        )
        for index in range(len(shape.target_zones))
    )
    return ServiceRecord(
        name=shape.name,
        version=version,
        schema_version=2,
        write_id="",
        affinity=affinity,
        targets=targets,
        request_timeout_s=shape.timeout_s,
        spill_share=spill_share,
    )


def generate_events(
    shape: Shape, load: float, duration_s: float, seed: int
) -> Iterator[tuple[float, Event]]:
    """Yield the events of all flows in order of time.

    Flows open as a Poisson process; the run starts with the mean number of open
    flows at this load. The requests of a flow form a Poisson process too. Arrivals
    are open-loop: they do not wait for earlier answers, so that a slow system
    receives no less work.

    Parameters
    ----------
    shape : Shape
        Workload shape.
    load : float
        Ratio of offered work to capacity.
    duration_s : float
        Duration, in seconds.
    seed : int
        Seed of the random number generator.

    Yields
    ------
    tuple of float and Event
        Time of the event, in seconds, and the event.
    """
    random = Random(f"{shape.name} {load} {seed}")
    mean_flows = load * shape.capacity_per_s * shape.think_time_s
    events: list[tuple[float, int, Event]] = []
    numbers = count()
    for opened_s in _generate_opening_times(shape, mean_flows, duration_s, random):
        pace_per_s = _draw_pace_per_s(shape, random)
        instance = random.randrange(shape.instances)
        flow = Flow(next(numbers), instance, pace_per_s)
        closed_s = opened_s + random.expovariate(1.0 / shape.flow_lifetime_s)
        events.append((opened_s, next(numbers), FlowOpenEvent(flow)))
        events.append((closed_s, next(numbers), FlowCloseEvent(flow)))
        at_s = opened_s + random.expovariate(pace_per_s)
        while at_s < min(closed_s, duration_s):
            request = _draw_request(shape, flow, at_s, next(numbers), random)
            events.append((at_s, request.number, RequestEvent(request)))
            at_s += random.expovariate(pace_per_s)
    for at_s, _, event in sorted(events, key=lambda event: event[:2]):
        if at_s < duration_s:
            yield at_s, event


def _draw_pace_per_s(shape: Shape, random: Random) -> float:
    """Draw the request rate of a flow from a log-normal distribution.

    Some callers send requests much more often than others.
    """
    pace = random.lognormvariate(-(_PACE_LOG_SIGMA**2) / 2, _PACE_LOG_SIGMA)
    return pace / shape.think_time_s


def _generate_opening_times(
    shape: Shape, mean_flows: float, duration_s: float, random: Random
) -> Iterator[float]:
    for _ in range(round(mean_flows)):
        yield 0.0
    at_s = 0.0
    while True:
        at_s += random.expovariate(mean_flows / shape.flow_lifetime_s)
        if at_s >= duration_s:
            return
        yield at_s


def _draw_request(
    shape: Shape, flow: Flow, at_s: float, number: int, random: Random
) -> Request:
    long = random.random() < shape.long_share
    mean_s = shape.long_service_s if long else shape.short_service_s
    return Request(
        number=number,
        flow=flow,
        arrival_s=at_s,
        service_s=random.expovariate(1.0 / mean_s),
        long=long,
        deadline_at_s=at_s + shape.timeout_s,
        idempotent=random.random() < shape.idempotent_share,
        instance=random.randrange(shape.instances),
    )

"""The two users' shapes and their open-loop arrivals."""

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random

from endivepick.core.dispatch import FlowActivity
from endivepick.records.model import Affinity, ServiceRecord, TargetRecord

__all__ = [
    "SHAPES",
    "Closed",
    "Event",
    "Flow",
    "Opened",
    "Request",
    "Requested",
    "Shape",
    "generate_events",
    "make_record",
]

_PACE_SIGMA = 0.7


@dataclass(frozen=True)
class Shape:
    """Sizes of one service and of the instances in front of it.

    Attributes
    ----------
    name : str
        Name of the shape.
    zones : tuple of str
        Availability zones.
    target_zones : tuple of int
        Index of the zone of each target.
    slots : int
        Slots of each target.
    instances : int
        Entry instances, spread evenly over the zones.
    zone_delay_s : float
        One way between two zones, in seconds.
    short_service_s : float
        Mean time for which a short request holds its slot, in seconds.
    long_service_s : float
        The same for a long request, in seconds.
    long_share : float
        Share of requests that are long.
    flow_lifetime_s : float
        Mean lifetime of a flow, in seconds.
    think_time_s : float
        Mean time between two requests of a flow, in seconds.
    timeout_s : float
        Time that a caller waits for its answer, in seconds.
    idempotent_share : float
        Share of requests that may run more than once.
    send_work_s, place_work_s : float
        Processor time of the instance that sends a request to its target, and of
        the one that places it for another to send, in seconds.
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
        """Mean time for which a request holds its slot, in seconds."""
        short_s = (1.0 - self.long_share) * self.short_service_s
        return short_s + self.long_share * self.long_service_s

    @property
    def capacity_per_s(self) -> float:
        """Requests that all slots together can run in a second."""
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
        # Hot: at a load of 0.9 one sender's processor would have to do 1.26 s of
        # work in a second.  Placing takes 0.3 of the work of sending, as measured.
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
    """A caller's flow.

    Attributes
    ----------
    number : int
        Unique number.
    instance : int
        Instance that the fabric handed its opening to.
    pace_per_s : float
        Mean rate of its requests, which only a perfect scheduler knows.
    target : str
        Target that its token names; empty for none.
    owner : int
        Number of its owner; for policies that have one.
    requests : int
        Requests submitted so far.
    activity : FlowActivity
        What its owner learns of its pace; for policies that have one.
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
    """One request, with all its random properties drawn beforehand.

    Attributes
    ----------
    number : int
        Unique number.
    flow : Flow
        Its flow.
    arrival_s : float
        When its caller sends it, in seconds.
    service_s : float
        Time for which it holds a slot, in seconds.
    deadline_at_s : float
        When its caller gives up, in seconds.
    idempotent : bool
        Whether it may run more than once.
    instance : int
        Instance that the fabric hands it to.
    long : bool
        It is known to be of the long class.
    established : bool
        Its flow has had a request before.
    attempts : int
        Attempts at targets so far.
    started_s : float
        Start of the attempt that was answered, in seconds.
    outcome : str
        How it ended; empty while it has not.
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
class Opened:
    """A caller opens a flow."""

    flow: Flow


@dataclass(frozen=True)
class Requested:
    """A caller sends a request."""

    request: Request


@dataclass(frozen=True)
class Closed:
    """A caller closes its flow."""

    flow: Flow


Event = Opened | Requested | Closed


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
    """Yield the events of all flows, in order of time.

    Flows open as a Poisson process, and start with the number that is usual at
    this load.  A flow's requests are a Poisson process too, whether or not
    earlier ones have been answered: a slow system gets no less work.

    Parameters
    ----------
    shape : Shape
        Sizes.
    load : float
        Offered work over capacity.
    duration_s : float
        Length, in seconds.
    seed : int
        Seed of all random properties.

    Yields
    ------
    tuple of float and Event
        Time in seconds and event.
    """
    random = Random(f"{shape.name} {load} {seed}")
    flows_usual = load * shape.capacity_per_s * shape.think_time_s
    events: list[tuple[float, int, Event]] = []
    numbers = count()
    for opened_s in _openings(shape, flows_usual, duration_s, random):
        pace_per_s = _draw_pace_per_s(shape, random)
        instance = random.randrange(shape.instances)
        flow = Flow(next(numbers), instance, pace_per_s)
        closes_s = opened_s + random.expovariate(1.0 / shape.flow_lifetime_s)
        events.append((opened_s, next(numbers), Opened(flow)))
        events.append((closes_s, next(numbers), Closed(flow)))
        at_s = opened_s + random.expovariate(pace_per_s)
        while at_s < min(closes_s, duration_s):
            request = _draw_request(shape, flow, at_s, next(numbers), random)
            events.append((at_s, request.number, Requested(request)))
            at_s += random.expovariate(pace_per_s)
    for at_s, _, event in sorted(events, key=lambda event: event[:2]):
        if at_s < duration_s:
            yield at_s, event


def _draw_pace_per_s(shape: Shape, random: Random) -> float:
    """Draw a flow's pace: some callers ask much more often than others."""
    pace = random.lognormvariate(-(_PACE_SIGMA**2) / 2, _PACE_SIGMA)
    return pace / shape.think_time_s


def _openings(
    shape: Shape, flows_usual: float, duration_s: float, random: Random
) -> Iterator[float]:
    for _ in range(round(flows_usual)):
        yield 0.0
    at_s = 0.0
    while True:
        at_s += random.expovariate(flows_usual / shape.flow_lifetime_s)
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

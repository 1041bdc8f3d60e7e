"""What the compared placement policies have in common."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from endivepick.bench.backend import VirtualTarget
from endivepick.bench.virtual_time import VirtualLoop
from endivepick.bench.workload import Flow, Request, Shape
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["Policy", "World"]


@dataclass(frozen=True)
class World:
    """What a policy acts on.

    Attributes
    ----------
    loop : VirtualLoop
        Virtual clock.
    shape : Shape
        Sizes.
    record : ServiceRecord
        Record at the start.
    targets : dict
        Backend servers by name.
    random : Random
        Seeded random numbers.
    finish : callable
        Takes a request and its outcome, once for each request.
    cut_zones : set of str
        Zones that are cut off; each reaches itself only.
    busy_until_s : dict
        When each instance's processor has done what it has taken in, in seconds.
    """

    loop: VirtualLoop
    shape: Shape
    record: ServiceRecord
    targets: dict[str, VirtualTarget]
    random: Random
    finish: Callable[[Request, str], None]
    cut_zones: set[str]
    busy_until_s: dict[int, float] = field(default_factory=dict)

    @property
    def affinity(self) -> Affinity:
        """Which requests of a flow share a target."""
        return self.record.affinity

    def delay_s(self, zone: str, other: str) -> float:
        """Return the one-way delay between two zones, in seconds."""
        return 0.0 if zone == other else self.shape.zone_delay_s

    def connected(self, zone: str, other: str) -> bool:
        """Tell whether two zones reach each other."""
        if zone == other:
            return True
        return zone not in self.cut_zones and other not in self.cut_zones

    def work(
        self, instance: int, work_s: float, request: Request, done: Callable[[], None]
    ) -> None:
        """Let an instance's processor work on a request, one after another.

        A request whose deadline has passed when its turn comes costs nothing.

        Parameters
        ----------
        instance : int
            The instance.
        work_s : float
            Processor time that the request needs, in seconds; with 0 the work is
            done at once.
        request : Request
            The request.
        done : callable
            Called at the end.
        """
        if work_s == 0.0:
            done()
            return
        free_s = max(self.loop.now_s, self.busy_until_s.get(instance, 0.0))
        if free_s >= request.deadline_at_s:
            self.loop.call_at(request.deadline_at_s, done)
            return
        self.busy_until_s[instance] = free_s + work_s
        self.loop.call_at(free_s + work_s, done)


class Policy(ABC):
    """Places flows and requests on targets.

    Parameters
    ----------
    world : World
        What it acts on.

    Attributes
    ----------
    hops : int
        Times that a request went from one instance to another.
    zone_crossings : int
        Starts at a target outside the zone of the instance that was reached.
    control_bytes : int
        Bytes of control messages between instances, and of probes.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.hops = 0
        self.zone_crossings = 0
        self.control_bytes = 0

    @abstractmethod
    def open_flow(self, flow: Flow) -> None:
        """Place a new flow."""

    @abstractmethod
    def submit(self, request: Request) -> None:
        """Take a request at the instance that the fabric handed it to."""

    @abstractmethod
    def close_flow(self, flow: Flow) -> None:
        """Forget a flow that its caller closed."""

    @abstractmethod
    def update_record(self, record: ServiceRecord) -> None:
        """Take in a newer record, as fast as the policy learns of it."""

    def waiting(self) -> dict[str, float]:
        """Return requests that wait outside the targets, by target's name.

        Requests that wait for any target are spread over all by slots.
        """
        return {}

    @abstractmethod
    def kill_instance(self) -> None:
        """Kill one instance; policies with owners lose the service's owner."""

    @abstractmethod
    def replace_instance(self) -> None:
        """Stop one instance as planned, its successor being ready."""

    @abstractmethod
    def cut(self, zone: str) -> None:
        """Learn, in the way of the policy, that a zone has been cut off."""

    @abstractmethod
    def heal(self, zone: str) -> None:
        """Learn that a cut zone is reachable again."""

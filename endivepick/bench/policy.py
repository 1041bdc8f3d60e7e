"""Base class of the simulated placement policies, and the state they act on."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from endivepick.bench.backend import VirtualTarget
from endivepick.bench.virtual_time import VirtualLoop
from endivepick.bench.workload import Flow, Request, Shape
from endivepick.records.model import Affinity, ServiceRecord

__all__ = ["Policy", "SimulationContext"]


@dataclass(frozen=True)
class SimulationContext:
    """Simulated environment that a policy acts on.

    Attributes
    ----------
    loop : VirtualLoop
        Virtual-time event loop.
    shape : Shape
        Workload shape.
    record : ServiceRecord
        Service record at the start of the run.
    targets : dict
        Backend servers by name.
    random : Random
        Seeded random number generator.
    finish : callable
        Called once per request, with the request and its outcome.
    cut_zones : set of str
        Zones partitioned from all other zones.
    busy_until_s : dict
        Virtual time at which each instance's processor becomes idle, in seconds.
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
        """Affinity of the service."""
        return self.record.affinity

    def get_delay_s(self, zone: str, other: str) -> float:
        """Return the one-way delay between two zones, in seconds."""
        return 0.0 if zone == other else self.shape.zone_delay_s

    def is_connected(self, zone: str, other: str) -> bool:
        """Return whether two zones can reach each other."""
        if zone == other:
            return True
        return zone not in self.cut_zones and other not in self.cut_zones

    def schedule_work(
        self, instance: int, work_s: float, request: Request, done: Callable[[], None]
    ) -> None:
        """Schedule work on a request at an instance's processor, in FIFO order.

        A request whose deadline has passed before its work starts costs nothing.

        Parameters
        ----------
        instance : int
            Number of the instance.
        work_s : float
            Processor time of the request, in seconds. With 0, ``done`` is called
            immediately.
        request : Request
            Request to process.
        done : callable
            Called when the work is complete.
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
    """Base class of policies that place flows and requests on targets.

    Parameters
    ----------
    world : World
        Simulated environment.

    Attributes
    ----------
    hops : int
        Number of relays of a request between instances.
    zone_crossings : int
        Number of relays and attempts that crossed a zone boundary.
    control_bytes : int
        Bytes of control messages between instances and of health probes.
    """

    def __init__(self, context: SimulationContext) -> None:
        self.context = context
        self.hops = 0
        self.zone_crossings = 0
        self.control_bytes = 0

    @abstractmethod
    def open_flow(self, flow: Flow) -> None:
        """Place a new flow."""

    @abstractmethod
    def submit(self, request: Request) -> None:
        """Handle a request at the instance that the fabric delivered it to."""

    @abstractmethod
    def close_flow(self, flow: Flow) -> None:
        """Remove a flow that its caller has closed."""

    @abstractmethod
    def update_record(self, record: ServiceRecord) -> None:
        """Apply a newer record, with the propagation delay of the policy."""

    def count_waiting(self) -> dict[str, float]:
        """Return the number of requests queued outside the targets, by target name.

        Requests that any target may serve are divided over all targets.
        """
        return {}

    @abstractmethod
    def kill_instance(self) -> None:
        """Kill one instance. Policies with owners lose the owner of the service."""

    @abstractmethod
    def replace_instance(self) -> None:
        """Stop one instance gracefully while its successor is ready."""

    @abstractmethod
    def on_zone_cut(self, zone: str) -> None:
        """React to the partition of a zone from the other zones."""

    @abstractmethod
    def on_zone_healed(self, zone: str) -> None:
        """React to the end of the partition of a zone."""

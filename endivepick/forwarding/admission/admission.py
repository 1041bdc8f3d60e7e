"""Decides whether an opening is admitted, by the priority of its route.

Each instance decides for itself.  All instances of a zone read nearly the same load, so
their shares agree closely without a further exchange.

A rejection tells the caller that nothing has run.  This holds for the first copy of an
opening only: an earlier copy may have opened the flow at a target.
"""

from collections.abc import Callable

from endivepick.forwarding.actions import OverloadChanged
from endivepick.forwarding.admission.decisions import Admitted, Rejected
from endivepick.forwarding.admission.limits import find_priorities
from endivepick.forwarding.admission.room import RoomReader
from endivepick.forwarding.admission.service_admission import ServiceAdmission
from endivepick.forwarding.admission.signals import OverloadSignals
from endivepick.forwarding.model import Configuration, Route
from endivepick.forwarding.placement_filter import PlacementFilter
from endivepick.forwarding.routes import RouteTable

__all__ = ["OpeningAdmission"]

_ADMITTED = Admitted()


class OpeningAdmission:
    """Admits or rejects openings.

    Parameters
    ----------
    routes : RouteTable
        Priorities of the routes.
    placement_filter : PlacementFilter
        Targets that may take new flows.

    Attributes
    ----------
    signals : OverloadSignals or None
        Load of the services; None if it is not known, and then all is admitted.
    """

    def __init__(self, routes: RouteTable, placement_filter: PlacementFilter) -> None:
        self.signals: OverloadSignals | None = None
        self._routes = routes
        self._room = RoomReader(placement_filter)
        self._configuration: Configuration | None = None
        self._services: dict[str, ServiceAdmission] = {}

    def admits(
        self,
        packet_copy_number: int,
        has_earlier_copy: bool,
        route: Route,
        service: str,
        random_share: Callable[[], float],
        now_s: float,
    ) -> Admitted | Rejected:
        """Decide whether an opening is admitted.

        Parameters
        ----------
        packet_copy_number : int
            Number of copies of the opening that the caller sent before.
        has_earlier_copy : bool
            This instance has already forwarded an opening of the flow.
        route : Route
            Route of the flow.
        service : str
            Service of the flow.
        random_share : callable
            Returns random numbers from 0 to 1; called only if the priority is limited.
        now_s : float
            Current time, in seconds.
        """
        if packet_copy_number > 0 or has_earlier_copy:
            return _ADMITTED
        admission = self._services.get(service)
        if admission is None:
            return _ADMITTED
        admission.record_opening(route.priority, now_s)
        share = self.get_admitted_share(service, route.priority, now_s)
        if share >= 1.0 or random_share() < share:
            return _ADMITTED
        admission.rejected[route.priority] += 1
        tracker = admission.tracker
        return Rejected(
            service,
            route.priority,
            share,
            tracker.reading.short_share,
            tracker.reading.busy_per_slot,
            now_s - tracker.known_s,
        )

    def spares_reserved(
        self,
        service: str,
        priority: int,
        random_share: Callable[[], float],
        now_s: float,
    ) -> bool:
        """Whether an admitted opening is kept off the targets reserved for urgent ones.

        The more openings of its priority are rejected, the fewer of the others go
        there.  ``random_share`` is called only if the priority is limited.
        """
        share = self.get_admitted_share(service, priority, now_s)
        return share < 1.0 and random_share() >= share

    def get_service(self, service: str) -> ServiceAdmission | None:
        """Return the admission of a service, None if no route uses it."""
        return self._services.get(service)

    def tick(self, now_s: float) -> list[OverloadChanged]:
        """Read the load of all services and adjust the admitted shares."""
        if self.signals is None:
            return []
        self._apply_configuration()
        changes = []
        for service, admission in self._services.items():
            reading = self._room.read(self.signals, service, now_s)
            if admission.update(reading, now_s):
                changes.append(_describe_change(service, admission, now_s))
        return changes

    def get_admitted_share(self, service: str, priority: int, now_s: float) -> float:
        """Return the share of a priority's openings that is admitted now."""
        admission = self._services.get(service)
        if admission is None or not admission.tracker.is_known(now_s):
            return 1.0
        return admission.limits.get_share(priority)

    def _apply_configuration(self) -> None:
        """Take over the priorities of a new configuration."""
        configuration = self._routes.configuration
        if configuration is None or configuration is self._configuration:
            return
        self._configuration = configuration
        known = self._services
        self._services = {}
        for service, priorities in find_priorities(configuration).items():
            admission = known.get(service) or ServiceAdmission()
            admission.limits.set_priorities(priorities)
            self._services[service] = admission


def _describe_change(
    service: str, admission: ServiceAdmission, now_s: float
) -> OverloadChanged:
    tracker = admission.tracker
    return OverloadChanged(
        service,
        tracker.state,
        tracker.reading.short_share,
        tracker.reading.busy_per_slot,
        now_s - tracker.known_s,
    )

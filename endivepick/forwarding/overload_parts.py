"""Sets up the parts for services with more load than slots, as the settings ask.

Their modules are loaded only then, since a start waits for each import.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from msgspec import Struct

from endivepick.forwarding.flows import FlowTable
from endivepick.forwarding.placement_filter import PlacementFilter
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.routes import RouteTable
from endivepick.forwarding.settings import ForwardingSettings

if TYPE_CHECKING:
    from endivepick.forwarding.admission.admission import OpeningAdmission
    from endivepick.forwarding.load.load_placement import LoadPlacer
    from endivepick.forwarding.load.shared_load import SharedLoad

__all__ = ["OverloadParts", "set_up_overload_parts"]


class OverloadParts(Struct, frozen=True):
    """Parts that the settings enable; None for those that they do not.

    Attributes
    ----------
    load : SharedLoad or None
        Load shared with other instances.
    placer : LoadPlacer or None
        Placement by shared load.
    admission : OpeningAdmission or None
        Admission by priority; it needs shared load.
    """

    load: SharedLoad | None = None
    placer: LoadPlacer | None = None
    admission: OpeningAdmission | None = None


def set_up_overload_parts(
    settings: ForwardingSettings,
    routes: RouteTable,
    flows: FlowTable,
    registry: TargetRegistry,
    placement_filter: PlacementFilter,
    random_share: Callable[[], float],
) -> OverloadParts:
    """Set up the parts that the settings enable.

    Parameters
    ----------
    settings : ForwardingSettings
        Enabled parts, zone and weights.
    routes : RouteTable
        Priorities of routes and cold starts of services.
    flows : FlowTable
        Flows of this instance.
    registry : TargetRegistry
        All known targets.
    placement_filter : PlacementFilter
        Targets that may take new flows.
    random_share : callable
        Returns random numbers from 0 to 1.
    """
    if not settings.shares_load:
        return OverloadParts()
    from endivepick.forwarding.load.load_placement import LoadPlacer
    from endivepick.forwarding.load.shared_load import SharedLoad

    load = SharedLoad(settings.zone, flows, registry)
    placer = LoadPlacer(settings, routes, load.view, random_share)
    if not settings.limits_overload:
        return OverloadParts(load, placer)
    from endivepick.forwarding.admission.admission import OpeningAdmission

    admission = OpeningAdmission(routes, placement_filter)
    admission.signals = load.view
    return OverloadParts(load, placer, admission)

"""Opening that is to be placed."""

from collections.abc import Sequence

from msgspec import Struct

from endivepick.forwarding.model import Route

__all__ = ["PlacementRequest"]


class PlacementRequest(Struct, frozen=True):
    """Opening that is to be placed.

    Attributes
    ----------
    service : str
        Service of the flow.
    route : Route
        Route of the flow.
    tried : sequence of str
        Targets that got earlier copies of the opening packet.
    spares_reserved : bool
        The flow is less urgent and such openings are limited, so targets reserved for
        urgent flows do not take it.
    """

    service: str
    route: Route
    tried: Sequence[str] = ()
    spares_reserved: bool = False

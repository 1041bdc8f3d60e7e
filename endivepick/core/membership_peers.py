"""View of the membership that the relay uses."""

from endivepick.core.flow_table import Identity
from endivepick.membership import Membership, PeerState

__all__ = ["MembershipPeers"]


class MembershipPeers:
    """State of the other instances according to the membership.

    Parameters
    ----------
    membership : Membership
        Membership of this instance.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def eligible_names(self) -> tuple[str, ...]:
        """Return the names of the instances that may be assigned roles.

        These are ready, and alive or suspect.
        """
        return self._membership.live_names()

    def zone_of(self, name: str) -> str:
        """Return the availability zone of an instance, empty if unknown."""
        view = self._membership.view().get(name)
        return view.zone if view else ""

    def is_suspected(self, name: str) -> bool:
        """Tell whether an instance is suspected and not yet declared dead."""
        view = self._membership.view().get(name)
        return view is not None and view.state is PeerState.SUSPECT

    def is_incarnation_dead(self, name: str, incarnation: int) -> bool:
        """Tell whether an incarnation is known to be dead."""
        return self._membership.is_incarnation_dead(name, incarnation)

    def find_successor(self, incarnation: int, service: str) -> Identity | None:
        """Return the successor of an incarnation for a service's flows, or None."""
        successor = self._membership.find_successor(incarnation, service)
        return Identity(*successor) if successor else None

    def incarnation_of(self, name: str) -> int:
        """Return the known incarnation of an instance, or 0 if unknown."""
        view = self._membership.view().get(name)
        return view.incarnation if view else 0

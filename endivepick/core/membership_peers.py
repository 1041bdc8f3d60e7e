"""What the relay asks of the membership."""

from endivepick.core.flow_table import Identity
from endivepick.membership import Membership, PeerState

__all__ = ["MembershipPeers"]


class MembershipPeers:
    """Answers the relay's questions from the membership.

    Parameters
    ----------
    membership : Membership
        Beliefs about the other instances.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def eligible_names(self) -> tuple[str, ...]:
        """Return the names that may take a role."""
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
        """Tell whether an incarnation is known to be gone."""
        return self._membership.is_incarnation_dead(name, incarnation)

    def find_successor(self, incarnation: int, service: str) -> Identity | None:
        """Return who took over a service's flows from an incarnation."""
        found = self._membership.find_successor(incarnation, service)
        return Identity(*found) if found else None

    def incarnation_of(self, name: str) -> int:
        """Return the known incarnation of an instance, or 0."""
        view = self._membership.view().get(name)
        return view.incarnation if view else 0

"""Status that this instance announces about itself."""

from endivepick.membership._member import hash_status
from endivepick.membership.peer_messages import Liveness, MemberUpdate, Phase
from endivepick.membership.view import InstanceView, PeerState


class OwnStatus:
    """Entry of this instance, written only by this instance.

    Parameters
    ----------
    me : InstanceView
        Name, zone, address and incarnation.
    generation : int
        Start time in milliseconds; orders the incarnations of one name.
    """

    def __init__(self, me: InstanceView, generation: int) -> None:
        self._me = me
        self.name = me.name
        self.incarnation = me.incarnation
        self.generation = generation
        self.phase = Phase.READY if me.ready else Phase.JOINING
        self.refutation = 0
        self.joined = False
        self.superseded_by = 0

    def to_update(self) -> MemberUpdate:
        """Return the update that describes this instance."""
        return MemberUpdate(
            self.name,
            self._me.zone,
            self._me.peer_address,
            self.incarnation,
            self.generation,
            self.phase,
            self.refutation,
            Liveness.ALIVE,
        )

    @property
    def digest(self) -> int:
        """Hash of the status, computed in the same way by peers."""
        state = self.incarnation, self.generation, self.phase, self.refutation
        return hash_status(self.name, *state)

    def to_view(self) -> InstanceView:
        """Return the public view of this instance."""
        leaving = self.phase >= Phase.LEAVING or self.superseded_by != 0
        return InstanceView(
            self.name,
            self._me.zone,
            self.incarnation,
            self._me.peer_address,
            PeerState.LEAVING if leaving else PeerState.ALIVE,
            self.phase is Phase.READY,
        )

    @property
    def is_eligible_for_roles(self) -> bool:
        """Whether this instance may be assigned roles."""
        return self.phase is Phase.READY and self.superseded_by == 0

    def set_phase(self, phase: Phase) -> bool:
        """Enter a phase; return whether it is later than the current one."""
        if phase <= self.phase:
            return False
        self.phase = phase
        self.refutation += 1
        return True

    def refute(self, update: MemberUpdate) -> bool:
        """Refute a suspicion or death of this incarnation; return if refuted."""
        if update.liveness is Liveness.ALIVE or update.refutation < self.refutation:
            return False
        self.refutation = update.refutation + 1
        return True

    def resolve_name_conflict(self, update: MemberUpdate) -> bool:
        """Handle an update about another incarnation of this name.

        While this instance is joining, or if the other incarnation has ended, it
        raises its generation above the other one.  Otherwise it is superseded by a
        newer incarnation.

        Returns
        -------
        bool
            Whether the generation was raised; if not, and the other incarnation is
            newer, ``superseded_by`` is set.
        """
        if (update.generation, update.incarnation) < (
            self.generation,
            self.incarnation,
        ):
            return False
        has_ended = update.liveness is Liveness.DEAD or update.phase is Phase.STOPPED
        if self.joined and not has_ended:
            self.superseded_by = update.incarnation
            return False
        self.generation = update.generation + 1
        self.refutation += 1
        return True

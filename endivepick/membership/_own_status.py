"""What this instance says about itself."""

from endivepick.membership._member import lasting_digest
from endivepick.membership.peer_messages import Liveness, MemberUpdate, Phase
from endivepick.membership.view import InstanceView, PeerState


class OwnStatus:
    """Entry of this instance itself, which alone writes it.

    Parameters
    ----------
    me : InstanceView
        Name, zone, address and incarnation.
    generation : int
        Start time in milliseconds; orders the incarnations of a name.
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
        """Return the entry as it goes over the wire."""
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
        """Hash of what lasts, as peers compute it."""
        state = self.incarnation, self.generation, self.phase, self.refutation
        return lasting_digest(self.name, *state)

    def to_view(self) -> InstanceView:
        """Return the entry as the library shows it."""
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
    def takes_roles(self) -> bool:
        """Tell whether this instance may get roles."""
        return self.phase is Phase.READY and self.superseded_by == 0

    def set_phase(self, phase: Phase) -> bool:
        """Enter a later phase; return whether it is one."""
        if phase <= self.phase:
            return False
        self.phase = phase
        self.refutation += 1
        return True

    def refute(self, update: MemberUpdate) -> bool:
        """Answer news about this incarnation; return whether there is an answer."""
        if update.liveness is Liveness.ALIVE or update.refutation < self.refutation:
            return False
        self.refutation = update.refutation + 1
        return True

    def meet_namesake(self, update: MemberUpdate) -> bool:
        """Answer news about another incarnation of this name.

        Returns
        -------
        bool
            Whether this incarnation now stands above the other; if not, and the
            other one is younger, ``superseded_by`` is set.
        """
        if (update.generation, update.incarnation) < (
            self.generation,
            self.incarnation,
        ):
            return False
        gone = update.liveness is Liveness.DEAD or update.phase is Phase.STOPPED
        if self.joined and not gone:
            self.superseded_by = update.incarnation
            return False
        self.generation = update.generation + 1
        self.refutation += 1
        return True

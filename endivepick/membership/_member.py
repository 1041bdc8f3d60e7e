"""Membership entry of one peer."""

from dataclasses import dataclass, field

from xxhash import xxh32_intdigest

from endivepick.core.chart import load_chart
from endivepick.membership.peer_messages import (
    Liveness,
    MemberUpdate,
    Phase,
    ShortUpdate,
)
from endivepick.membership.view import InstanceView, ListedInstance, PeerState

BUCKET_COUNT = 256
_CHART = load_chart("peer")


def compute_bucket(key: str) -> int:
    """Return the anti-entropy bucket of a key."""
    return xxh32_intdigest(key.encode()) % BUCKET_COUNT


def hash_status(
    name: str, incarnation: int, generation: int, phase: Phase, refutation: int
) -> int:
    """Hash the status that an instance announces about itself."""
    text = f"{name}:{incarnation}:{generation}:{phase:d}:{refutation}"
    return xxh32_intdigest(text.encode())


@dataclass(slots=True)
class Member:
    """State of one peer.

    ``state`` is a state of the chart ``peer``.  ``phase`` and ``refutation`` are
    announced by the peer itself; ``liveness`` is determined by other instances.
    """

    name: str
    zone: str
    peer_address: str
    incarnation: int = 0
    generation: int = 0
    phase: Phase = Phase.JOINING
    refutation: int = 0
    liveness: Liveness = Liveness.ALIVE
    accuser: str = ""
    state: str = _CHART.initial
    is_listed: bool = False
    is_listed_leaving: bool = False
    was_listed: bool = False
    known_since_s: float = 0.0
    last_ack_s: float = float("-inf")
    died_s: float = 0.0
    acknowledged_refutation: int = -1
    """Refutation of this instance's own status that the peer acknowledged."""
    view: InstanceView | None = field(default=None, repr=False)
    _digested_state: int = field(default=0, repr=False)
    _digest: int = field(default=0, repr=False)

    @property
    def is_identified(self) -> bool:
        """Whether the incarnation is known."""
        return self.incarnation != 0

    @property
    def has_answered(self) -> bool:
        """Whether the incarnation has answered a probe of this instance."""
        return self.last_ack_s > float("-inf")

    @property
    def is_reported_down(self) -> bool:
        """Whether the incarnation is reported suspect or dead; it may refute this."""
        return self.is_identified and self.liveness is not Liveness.ALIVE

    @property
    def incarnation_order(self) -> tuple[int, int]:
        """Sort key of the incarnations of one name."""
        return self.generation, self.incarnation

    @property
    def digest(self) -> int:
        """Hash of the persistent status; the transient suspicion is excluded."""
        state = self.incarnation, self.generation, self.phase, self.refutation
        state_hash = hash(state)
        if state_hash != self._digested_state:
            self._digested_state = state_hash
            self._digest = hash_status(self.name, *state)
        return self._digest

    def to_update(self) -> MemberUpdate:
        """Return the update that describes this peer."""
        return MemberUpdate(
            self.name,
            self.zone,
            self.peer_address,
            self.incarnation,
            self.generation,
            self.phase,
            self.refutation,
            self.liveness,
            self.accuser,
        )

    def to_short_update(self) -> ShortUpdate:
        """Return the fields that change within an incarnation."""
        return ShortUpdate(self.incarnation, self.phase, self.refutation, self.liveness)

    def to_view(self) -> InstanceView:
        """Return the public view of this peer."""
        return InstanceView(
            self.name,
            self.zone,
            self.incarnation,
            self.peer_address,
            PeerState(self.state),
            self.phase is Phase.READY,
        )

    def reset_to_incarnation(self, update: MemberUpdate, now_s: float) -> None:
        """Reset the entry to the incarnation of an update."""
        self.incarnation = update.incarnation
        self.generation = update.generation
        self.phase = Phase.JOINING
        self.refutation = update.refutation
        self.liveness = Liveness.ALIVE
        self.accuser = ""
        self.state = _CHART.initial
        self.is_listed_leaving = False
        self.known_since_s = now_s
        self.last_ack_s = float("-inf")
        self.acknowledged_refutation = -1
        self.set_zone_and_address(update)

    def set_zone_and_address(self, source: MemberUpdate | ListedInstance) -> None:
        """Set zone and address from an update or a list entry."""
        self.zone = source.zone
        self.peer_address = source.peer_address

    def advance_phase(self, phase: Phase) -> None:
        """Advance to a phase announced by the peer; a phase never decreases."""
        self.phase = max(self.phase, phase)
        if self.phase >= Phase.LEAVING:
            self._step("leave")

    def set_liveness(self, liveness: Liveness) -> None:
        """Set the liveness and apply the resulting chart events."""
        if liveness is not Liveness.DEAD:
            self._step("refute")
        if liveness is Liveness.SUSPECT:
            self._step("suspect")
        if liveness is Liveness.DEAD:
            self._step("declare_dead")
        self.liveness = liveness
        if self.phase >= Phase.LEAVING or self.is_listed_leaving:
            self._step("leave")

    def set_listed_leaving(self, leaving: bool) -> bool:
        """Set whether the platform lists the peer as leaving; return if changed."""
        if leaving == self.is_listed_leaving:
            return False
        self.is_listed_leaving = leaving
        if leaving:
            self._step("leave")
        elif self.phase < Phase.LEAVING:
            self._step("stay")
            self.set_liveness(self.liveness)
        return True

    def _step(self, event: str) -> None:
        if _CHART.allows(self.state, event):
            self.state = _CHART.step(self.state, event)

"""One peer's entry and the order of the news about it."""

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


def bucket_of(key: str) -> int:
    """Return the bucket in which two views of an entry are compared."""
    return xxh32_intdigest(key.encode()) % BUCKET_COUNT


def lasting_digest(
    name: str, incarnation: int, generation: int, phase: Phase, refutation: int
) -> int:
    """Hash what an instance says of itself."""
    text = f"{name}:{incarnation}:{generation}:{phase:d}:{refutation}"
    return xxh32_intdigest(text.encode())


@dataclass(slots=True)
class Member:
    """What is known of one peer.

    ``state`` steps through the chart ``peer``; the other fields are what the
    peer said (``phase``, ``refutation``) and what others found (``liveness``).
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
    listed: bool = False
    listed_leaving: bool = False
    was_listed: bool = False
    heard_since_s: float = 0.0
    last_ack_s: float = float("-inf")
    died_s: float = 0.0
    introduced_refutation: int = -1
    """Refutation of this instance's own status that the peer confirmed."""
    view: InstanceView | None = field(default=None, repr=False)
    _digested: int = field(default=0, repr=False)
    _digest: int = field(default=0, repr=False)

    @property
    def heard(self) -> bool:
        """The incarnation is known."""
        return self.incarnation != 0

    @property
    def has_answered(self) -> bool:
        """Whether the incarnation has answered a probe of this instance."""
        return self.last_ack_s > float("-inf")

    @property
    def accused(self) -> bool:
        """Others found the incarnation suspect or dead, which it may refute."""
        return self.heard and self.liveness is not Liveness.ALIVE

    @property
    def age_key(self) -> tuple[int, int]:
        """Order of the incarnations of one name."""
        return self.generation, self.incarnation

    @property
    def digest(self) -> int:
        """Hash of what lasts; suspicion passes by itself and is left out."""
        state = self.incarnation, self.generation, self.phase, self.refutation
        digested = hash(state)
        if digested != self._digested:
            self._digested = digested
            self._digest = lasting_digest(self.name, *state)
        return self._digest

    def to_update(self) -> MemberUpdate:
        """Return the news about this peer as they go over the wire."""
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
        """Return what changes within an incarnation."""
        return ShortUpdate(self.incarnation, self.phase, self.refutation, self.liveness)

    def to_view(self) -> InstanceView:
        """Return what the library shows of this peer."""
        return InstanceView(
            self.name,
            self.zone,
            self.incarnation,
            self.peer_address,
            PeerState(self.state),
            self.phase is Phase.READY,
        )

    def adopt(self, update: MemberUpdate, now_s: float) -> None:
        """Start anew as the incarnation of the update."""
        self.incarnation = update.incarnation
        self.generation = update.generation
        self.phase = Phase.JOINING
        self.refutation = update.refutation
        self.liveness = Liveness.ALIVE
        self.accuser = ""
        self.state = _CHART.initial
        self.listed_leaving = False
        self.heard_since_s = now_s
        self.last_ack_s = float("-inf")
        self.introduced_refutation = -1
        self.describe(update)

    def describe(self, source: MemberUpdate | ListedInstance) -> None:
        """Take over zone and address."""
        self.zone = source.zone
        self.peer_address = source.peer_address

    def advance_phase(self, phase: Phase) -> None:
        """Take over what the peer says of itself; never goes back."""
        self.phase = max(self.phase, phase)
        if self.phase >= Phase.LEAVING:
            self._step("leave")

    def set_liveness(self, liveness: Liveness) -> None:
        """Take over what was found, and step through the chart."""
        if liveness is not Liveness.DEAD:
            self._step("refute")
        if liveness is Liveness.SUSPECT:
            self._step("suspect")
        if liveness is Liveness.DEAD:
            self._step("declare_dead")
        self.liveness = liveness
        if self.phase >= Phase.LEAVING or self.listed_leaving:
            self._step("leave")

    def set_listed_leaving(self, leaving: bool) -> bool:
        """Take over what the platform's list says; return whether it is new."""
        if leaving == self.listed_leaving:
            return False
        self.listed_leaving = leaving
        if leaving:
            self._step("leave")
        elif self.phase < Phase.LEAVING:
            self._step("stay")
            self.set_liveness(self.liveness)
        return True

    def _step(self, event: str) -> None:
        if _CHART.allows(self.state, event):
            self.state = _CHART.step(self.state, event)

"""What the surroundings of an instance decide, as explicit choices.

The check tries every choice, so that it covers every membership view and every
placement that the real parts could come to.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from endivepick.core.dispatch import (
    Decision,
    FinishKind,
    FlowActivity,
    Queued,
    RefusalReason,
    Refuse,
    RequestIntent,
    Start,
)
from endivepick.core.flow_table import Identity

__all__ = [
    "AllServices",
    "ChoiceDispatcher",
    "ChoicePeers",
    "Placement",
    "View",
    "ZONE",
]

REQUEST_TIMEOUT_S = 30.0
ZONE = "zone"


class Placement(Enum):
    """What the dispatcher does with a request."""

    START = "start"
    QUEUE = "queue"
    REFUSE = "refuse"


@dataclass(frozen=True)
class View:
    """What an instance believes while it handles one packet.

    Attributes
    ----------
    suspected, dead : bool
        Whether the holder is suspected or given up, rightly or not.
    successor : Identity or None
        Who took the flows of the token's owner over, as far as it was heard.
    opener : Identity or None
        Instance that opens flows at present; itself if None.
    """

    suspected: bool = False
    dead: bool = False
    successor: Identity | None = None
    opener: Identity | None = None


@dataclass
class ChoicePeers:
    """Membership whose answers are set from outside.

    Attributes
    ----------
    me : Identity
        This instance.
    view : View
        Present belief.
    asked : bool
        Whether the belief was used since it was set.
    """

    me: Identity
    view: View = View()
    asked: bool = False

    def believe(self, view: View) -> None:
        """Set the belief for the next event."""
        self.view = view
        self.asked = False

    def ready_names(self) -> tuple[str, ...]:
        """Return the name of the instance that opens flows."""
        return ((self.view.opener or self.me).name,)

    def zone_of(self, name: str) -> str:
        """Return the one zone of the model."""
        return ZONE

    def is_suspected(self, name: str) -> bool:
        """Tell whether the holder is suspected."""
        self.asked = True
        return self.view.suspected

    def is_incarnation_dead(self, name: str, incarnation: int) -> bool:
        """Tell whether the holder was given up."""
        self.asked = True
        return self.view.dead

    def find_successor(self, incarnation: int, service: str) -> Identity | None:
        """Return who took over, as far as it was heard."""
        self.asked = True
        return self.view.successor

    def incarnation_of(self, name: str) -> int:
        """Return the incarnation of the instance that opens flows."""
        return (self.view.opener or self.me).incarnation


class AllServices:
    """Roles of an instance that may serve everything."""

    def activate(self, service: str, now_s: float) -> bool:
        """Say that the service has a dispatcher here."""
        return True


@dataclass(frozen=True)
class _Record:
    name: str = "notes"
    request_timeout_s: float = REQUEST_TIMEOUT_S


@dataclass
class _Pending:
    idempotent: bool
    queued: bool = False


@dataclass
class ChoiceDispatcher:
    """Dispatcher of one service whose placements are set from outside.

    It refuses also what may have run: the executor has to know better.

    Attributes
    ----------
    placement : Placement
        What to do with the next request.
    asked : bool
        Whether the placement was used since it was set.
    record : object
        What the owner asks of the record.
    pending : dict
        Requests that wait or run.
    """

    placement: Placement = Placement.START
    asked: bool = False
    record: Any = field(default_factory=_Record)
    pending: dict[Hashable, "_Pending"] = field(default_factory=dict)

    @property
    def queued(self) -> list[Hashable]:
        """Requests that wait for their turn."""
        return [key for key, one in self.pending.items() if one.queued]

    def choose(self, placement: Placement) -> None:
        """Set the placement for the next event."""
        self.placement = placement
        self.asked = False

    def place_flow(self, flow: FlowActivity, now_s: float, random_number: float) -> str:
        """Pin a new flow to no target."""
        return ""

    def adopt_flow(self, target: str, flow: FlowActivity, now_s: float) -> None:
        """Count nothing: placement is set from outside."""

    def close_flow(self, target: str, flow: FlowActivity, now_s: float) -> None:
        """Count nothing: placement is set from outside."""

    def submit(
        self, intent: RequestIntent, now_s: float, random_number: float
    ) -> list[Decision]:
        """Place a new request."""
        self.pending[intent.request_id] = _Pending(intent.idempotent)
        return self._place(intent.request_id)

    def turn(self, request_id: Hashable) -> list[Decision]:
        """Place a request that waited."""
        return self._place(request_id)

    def finished(
        self,
        request_id: Hashable,
        now_s: float,
        kind: FinishKind,
        duration_s: float,
        retry_after_s: float = 0.0,
    ) -> list[Decision]:
        """Decide about a request whose attempt ended."""
        pending = self.pending.get(request_id)
        if pending is None:
            return []
        if kind in (FinishKind.OK, FinishKind.CANCELLED):
            del self.pending[request_id]
            return []
        may_have_run = kind in (FinishKind.BROKEN, FinishKind.LATE)
        if may_have_run and not pending.idempotent:
            return [self._refuse(request_id)]
        return self._place(request_id)

    def cancel(self, request_id: Hashable, now_s: float) -> list[Decision]:
        """Forget a request."""
        self.pending.pop(request_id, None)
        return []

    def _place(self, request_id: Hashable) -> list[Decision]:
        self.asked = True
        self.pending[request_id].queued = self.placement is Placement.QUEUE
        match self.placement:
            case Placement.START:
                return [Start(request_id, "t", 1, "127.0.0.1:1", REQUEST_TIMEOUT_S)]
            case Placement.QUEUE:
                return [Queued(request_id)]
            case Placement.REFUSE:
                return [self._refuse(request_id)]

    def _refuse(self, request_id: Hashable) -> Decision:
        del self.pending[request_id]
        return Refuse(request_id, RefusalReason.QUEUE_FULL, 0)

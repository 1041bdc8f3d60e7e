"""Stand-ins for the environment of an instance, controlled by the model checker.

The checker tries every choice, so it covers every membership view and every
placement that the production components can produce.
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
    """Decision of the dispatcher about a request."""

    START = "start"
    QUEUE = "queue"
    REFUSE = "refuse"


@dataclass(frozen=True)
class View:
    """Membership view of an instance while it handles one packet.

    Attributes
    ----------
    suspected, dead : bool
        Whether the holder is suspected or declared dead, rightly or wrongly.
    successor : Identity or None
        Known successor for the flows of the token's owner.
    opener : Identity or None
        Instance that currently opens flows; the instance itself if None.
    """

    suspected: bool = False
    dead: bool = False
    successor: Identity | None = None
    opener: Identity | None = None


@dataclass
class ChoicePeers:
    """Membership stand-in that returns a preset view.

    Attributes
    ----------
    me : Identity
        This instance.
    view : View
        Current view.
    was_consulted : bool
        Whether the view was used since it was set.
    """

    me: Identity
    view: View = View()
    was_consulted: bool = False

    def set_view(self, view: View) -> None:
        """Set the view for the next event."""
        self.view = view
        self.was_consulted = False

    def eligible_names(self) -> tuple[str, ...]:
        """Return the name of the instance that opens flows."""
        return ((self.view.opener or self.me).name,)

    def zone_of(self, name: str) -> str:
        """Return the only zone of the model."""
        return ZONE

    def is_suspected(self, name: str) -> bool:
        """Tell whether the holder is suspected."""
        self.was_consulted = True
        return self.view.suspected

    def is_incarnation_dead(self, name: str, incarnation: int) -> bool:
        """Tell whether the holder was declared dead."""
        self.was_consulted = True
        return self.view.dead

    def find_successor(self, incarnation: int, service: str) -> Identity | None:
        """Return the known successor, if any."""
        self.was_consulted = True
        return self.view.successor

    def incarnation_of(self, name: str) -> int:
        """Return the incarnation of the instance that opens flows."""
        return (self.view.opener or self.me).incarnation


class AllServices:
    """Roles stand-in of an instance that may serve every service."""

    def activate(self, service: str, now_s: float) -> bool:
        """Report that the service has a dispatcher at this instance."""
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
    """Dispatcher stand-in for one service that returns preset placements.

    It also refuses requests that may have run; the executor must not pass such a
    refusal on as "not run".

    Attributes
    ----------
    placement : Placement
        Decision about the next request.
    was_consulted : bool
        Whether the placement was used since it was set.
    record : object
        Fields of the service record that the owner reads.
    pending : dict
        Requests that are queued or running.
    """

    placement: Placement = Placement.START
    was_consulted: bool = False
    record: Any = field(default_factory=_Record)
    pending: dict[Hashable, "_Pending"] = field(default_factory=dict)

    @property
    def queued(self) -> list[Hashable]:
        """Requests in the queue."""
        return [key for key, one in self.pending.items() if one.queued]

    def set_placement(self, placement: Placement) -> None:
        """Set the placement for the next event."""
        self.placement = placement
        self.was_consulted = False

    def place_flow(self, flow: FlowActivity, now_s: float, random_number: float) -> str:
        """Return no target: flows are not pinned."""
        return ""

    def adopt_flow(self, target: str, flow: FlowActivity, now_s: float) -> None:
        """Do nothing: placements do not depend on flow counts."""

    def close_flow(self, target: str, flow: FlowActivity, now_s: float) -> None:
        """Do nothing: placements do not depend on flow counts."""

    def submit(
        self, intent: RequestIntent, now_s: float, random_number: float
    ) -> list[Decision]:
        """Place a new request."""
        self.pending[intent.request_id] = _Pending(intent.idempotent)
        return self._place(intent.request_id)

    def place_queued(self, request_id: Hashable) -> list[Decision]:
        """Place a queued request."""
        return self._place(request_id)

    def finished(
        self,
        request_id: Hashable,
        now_s: float,
        kind: FinishKind,
        duration_s: float,
        retry_after_s: float = 0.0,
    ) -> list[Decision]:
        """Decide what happens to a request after an attempt ended."""
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
        """Remove a request."""
        self.pending.pop(request_id, None)
        return []

    def _place(self, request_id: Hashable) -> list[Decision]:
        self.was_consulted = True
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

"""Takes the messages about hand-overs, whichever way they come."""

from collections.abc import Callable

from endivepick.core.actions import Action, SendToPeer
from endivepick.core.flow_owner import FlowOwner
from endivepick.core.flow_table import Identity
from endivepick.core.handover_destination import HandOverDestination
from endivepick.core.handover_source import HandOverSource
from endivepick.core.peer_messages import (
    Forwarded,
    HandOver,
    HandOverAccepted,
    HandOverMessage,
    HandOverPiece,
    HandOverPieceTaken,
    HandOverRefused,
)
from endivepick.core.roles import ServiceRoles

__all__ = ["HandOverExchange"]


class HandOverExchange:
    """Leads each message to the giving or the taking side.

    Parameters
    ----------
    me : Identity
        This instance.
    giver : HandOverGiver
        Giving side.
    taker : HandOverTaker
        Taking side.
    owner : FlowOwner
        Tells callers of flows that were taken.
    roles : ServiceRoles
        Makes the dispatchers of their services.
    is_leaving : callable
        Tells whether this instance is in a planned stop.
    """

    def __init__(
        self,
        me: Identity,
        giver: HandOverSource,
        taker: HandOverDestination,
        owner: FlowOwner,
        roles: ServiceRoles,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._me = me
        self._giver = giver
        self._taker = taker
        self._owner = owner
        self._roles = roles
        self._is_leaving = is_leaving

    def on_message(
        self, sender: Identity, message: HandOverMessage | Forwarded, now_s: float
    ) -> list[Action]:
        """Take a message.

        Parameters
        ----------
        sender : Identity
            Who sent it.
        message : HandOverMessage or Forwarded
            The message.
        now_s : float
            Present time, in seconds.
        """
        match message:
            case HandOver():
                return self._take(sender, message, now_s)
            case HandOverPiece():
                return self._take_piece(sender, message, now_s)
            case HandOverPieceTaken(transfer_id=transfer_id, index=index):
                return self._giver.piece_taken(sender, transfer_id, index)
            case HandOverAccepted(transfer_id=transfer_id):
                return self._giver.accepted(sender, transfer_id)
            case HandOverRefused(transfer_id=transfer_id):
                return self._giver.refused(sender, transfer_id, now_s)
            case Forwarded():
                return self._forwarded(sender, message, now_s)

    def _take(self, sender: Identity, message: HandOver, now_s: float) -> list[Action]:
        probes: list[Action] = []
        for service in sorted({flow.service for flow in message.flows}):
            probes += self._roles.activate_for_takeover(service, now_s)
        flows, actions = self._taker.receive_transfer(
            sender, message, self._is_leaving(), now_s
        )
        # Callers learn their new owner before they miss the old one.
        actions += [self._owner.reissue(flow, now_s) for flow in flows]
        return probes + actions

    def _take_piece(
        self, sender: Identity, piece: HandOverPiece, now_s: float
    ) -> list[Action]:
        leaving = self._is_leaving()
        message, actions = self._taker.take_piece(sender, piece, leaving, now_s)
        if message is not None:
            actions += self._take(sender, message, now_s)
        return actions

    def _forwarded(
        self, helper: Identity, message: Forwarded, now_s: float
    ) -> list[Action]:
        """Pass a message on, or take it and answer the way that it came."""
        if message.to_name != self._me.name:
            return [SendToPeer(message.to_name, message)]
        sender = Identity(message.sender, message.incarnation)
        return [
            self._back(action, sender.name, helper.name)
            for action in self.on_message(sender, message.message, now_s)
        ]

    def _back(self, action: Action, to_name: str, helper: str) -> Action:
        match action:
            case SendToPeer(name=name, message=message) if name == to_name:
                me = self._me
                wrapped = Forwarded(me.name, me.incarnation, to_name, message)
                return SendToPeer(helper, wrapped)
            case _:
                return action

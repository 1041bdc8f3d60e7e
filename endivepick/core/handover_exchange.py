"""Dispatch of handover messages, received directly or through a third instance."""

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
    """Passes each handover message to the source or the destination side.

    Parameters
    ----------
    me : Identity
        This instance.
    source : HandOverSource
        Source side of handovers.
    destination : HandOverDestination
        Destination side of handovers.
    owner : FlowOwner
        Issues new tokens to the callers of restored flows.
    roles : ServiceRoles
        Creates the dispatchers of the restored flows' services.
    is_leaving : callable
        Tells whether this instance is in a planned stop.
    """

    def __init__(
        self,
        me: Identity,
        source: HandOverSource,
        destination: HandOverDestination,
        owner: FlowOwner,
        roles: ServiceRoles,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._me = me
        self._source = source
        self._destination = destination
        self._owner = owner
        self._roles = roles
        self._is_leaving = is_leaving

    def on_message(
        self, sender: Identity, message: HandOverMessage | Forwarded, now_s: float
    ) -> list[Action]:
        """Handle a handover message.

        Parameters
        ----------
        sender : Identity
            Instance that sent the message.
        message : HandOverMessage or Forwarded
            Received message.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        list of Action
            Actions to carry out.
        """
        match message:
            case HandOver():
                return self._on_hand_over(sender, message, now_s)
            case HandOverPiece():
                return self._on_piece(sender, message, now_s)
            case HandOverPieceTaken(transfer_id=transfer_id, index=index):
                return self._source.piece_taken(sender, transfer_id, index)
            case HandOverAccepted(transfer_id=transfer_id):
                return self._source.accepted(sender, transfer_id)
            case HandOverRefused(transfer_id=transfer_id):
                return self._source.refused(sender, transfer_id, now_s)
            case Forwarded():
                return self._on_forwarded(sender, message, now_s)

    def _on_hand_over(
        self, sender: Identity, message: HandOver, now_s: float
    ) -> list[Action]:
        probes: list[Action] = []
        for service in sorted({flow.service for flow in message.flows}):
            probes += self._roles.activate_for_takeover(service, now_s)
        flows, actions = self._destination.receive_transfer(
            sender, message, self._is_leaving(), now_s
        )
        # New tokens are sent at once, so that callers learn the new owner before they
        # find that the old one does not answer.
        actions += [self._owner.reissue(flow, now_s) for flow in flows]
        return probes + actions

    def _on_piece(
        self, sender: Identity, piece: HandOverPiece, now_s: float
    ) -> list[Action]:
        leaving = self._is_leaving()
        message, actions = self._destination.receive_piece(
            sender, piece, leaving, now_s
        )
        if message is not None:
            actions += self._on_hand_over(sender, message, now_s)
        return actions

    def _on_forwarded(
        self, intermediary: Identity, message: Forwarded, now_s: float
    ) -> list[Action]:
        """Forward a message, or handle it and answer through the same instance."""
        if message.to_name != self._me.name:
            return [SendToPeer(message.to_name, message)]
        sender = Identity(message.sender, message.incarnation)
        return [
            self._wrap_reply(action, sender.name, intermediary.name)
            for action in self.on_message(sender, message.message, now_s)
        ]

    def _wrap_reply(self, action: Action, to_name: str, intermediary: str) -> Action:
        match action:
            case SendToPeer(name=name, message=message) if name == to_name:
                me = self._me
                wrapped = Forwarded(me.name, me.incarnation, to_name, message)
                return SendToPeer(intermediary, wrapped)
            case _:
                return action

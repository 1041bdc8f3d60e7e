"""Destination side of a handover of flows."""

from dataclasses import dataclass, field

from endivepick.core.actions import Action, Log, SendToPeer
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow
from endivepick.core.flow_snapshot import restore_flow
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.handover_pieces import PieceAssembler
from endivepick.core.peer_messages import (
    HandOver,
    HandOverAccepted,
    HandOverPiece,
    HandOverPieceTaken,
    HandOverRefused,
)
from endivepick.core.settings import FlowSettings

__all__ = ["HandOverDestination"]


@dataclass(slots=True)
class HandOverDestination:
    """Restores handed-over flows; a transfer that is repeated has no further effect.

    Attributes
    ----------
    settings : FlowSettings
        Limits and timeouts.
    table : FlowTable
        Flows of this instance.
    executor : RequestExecutor
        Runs the unfinished requests of the flows.
    """

    settings: FlowSettings
    table: FlowTable
    executor: RequestExecutor
    _accepted: set[int] = field(default_factory=set)
    _pieces: PieceAssembler = field(default_factory=PieceAssembler)

    def receive_piece(
        self, sender: Identity, piece: HandOverPiece, leaving: bool, now_s: float
    ) -> tuple[HandOver | None, list[Action]]:
        """Receive a piece of a large transfer.

        Parameters
        ----------
        sender : Identity
            Source of the transfer.
        piece : HandOverPiece
            Received piece.
        leaving : bool
            Whether this instance is in a planned stop and refuses new transfers.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        HandOver or None, list of Action
            The message to pass to `receive_transfer` once all its pieces have
            arrived, and the actions to carry out.
        """
        transfer_id = piece.transfer_id
        if piece.successor_incarnation != self.table.me.incarnation:
            return None, []
        if transfer_id in self._accepted:
            return None, [SendToPeer(sender.name, HandOverAccepted(transfer_id))]
        if leaving:
            return None, [SendToPeer(sender.name, HandOverRefused(transfer_id))]
        if not self._pieces.add(sender, piece, now_s):
            return None, []
        taken = HandOverPieceTaken(transfer_id, piece.index)
        message = self._pieces.assemble(sender, transfer_id)
        return message, [SendToPeer(sender.name, taken)]

    def receive_transfer(
        self, sender: Identity, message: HandOver, leaving: bool, now_s: float
    ) -> tuple[list[OwnedFlow], list[Action]]:
        """Restore the flows of a transfer, or refuse them if this instance is leaving.

        A refusal is permanent.  A transfer with an unknown service gets no reply, so
        that the source retransmits it until the service record is known.

        Parameters
        ----------
        sender : Identity
            Source of the transfer.
        message : HandOver
            Message with the flows.
        leaving : bool
            Whether this instance is in a planned stop and refuses new transfers.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        list of OwnedFlow, list of Action
            Flows that were added, and the actions to carry out.
        """
        if message.successor_incarnation != self.table.me.incarnation:
            # Addressed to an earlier process of this name, which may have run some
            # of the requests: no other process may run them.
            return [], []
        if message.transfer_id in self._accepted:
            accepted = HandOverAccepted(message.transfer_id)
            return [], [SendToPeer(sender.name, accepted)]
        if leaving or not self._has_dispatchers(message):
            # A refused transfer must never be accepted later.  Leaving is final,
            # whereas a service that is unknown now may become known.
            return [], self._refuse(sender, message, leaving)
        self._accepted.add(message.transfer_id)
        self._pieces.drop(sender, message.transfer_id)
        flows = self._restore(message, now_s)
        actions: list[Action] = [
            Log(
                "handover",
                "transfer_taken",
                "flows taken over",
                {
                    "peer": sender.name,
                    "flows": len(flows),
                    "transfer": message.transfer_id,
                },
            ),
            SendToPeer(sender.name, HandOverAccepted(message.transfer_id)),
        ]
        for flow in flows:
            actions += self._resume_requests(flow, now_s)
        return flows, actions

    def _has_dispatchers(self, message: HandOver) -> bool:
        return all(flow.service in self.executor.dispatchers for flow in message.flows)

    def _refuse(
        self, sender: Identity, message: HandOver, leaving: bool
    ) -> list[Action]:
        if not leaving:
            return []
        return [SendToPeer(sender.name, HandOverRefused(message.transfer_id))]

    def _restore(self, message: HandOver, now_s: float) -> list[OwnedFlow]:
        flows = []
        for snapshot in message.flows:
            if snapshot.closed:
                # Earlier builds also send closed flows, whose requests must not run.
                continue
            flow = restore_flow(snapshot, self.settings.window_size, now_s)
            if self.table.restore(flow):
                self.executor.register_flow(flow, now_s)
                flows.append(flow)
        return flows

    def _resume_requests(self, flow: OwnedFlow, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for request in list(flow.requests.values()):
            if request.state == "waiting":
                actions += self.executor.submit(flow, request, now_s)
            elif request.state == "suspended":
                actions += self.executor.resume_stream(flow, request, now_s)
        return actions

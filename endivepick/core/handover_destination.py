"""Taking side of a hand-over of flows."""

from dataclasses import dataclass, field

from endivepick.core.actions import Action, Log, SendToPeer
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow
from endivepick.core.flow_snapshot import restore_flow
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.handover_pieces import PieceCollector
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
    """Taking side: restores flows once, whatever arrives how often.

    Attributes
    ----------
    settings : FlowSettings
        Limits and times.
    table : FlowTable
        Flows of this instance.
    executor : RequestExecutor
        Runs what the flows bring along.
    """

    settings: FlowSettings
    table: FlowTable
    executor: RequestExecutor
    _accepted: set[int] = field(default_factory=set)
    _pieces: PieceCollector = field(default_factory=PieceCollector)

    def take_piece(
        self, sender: Identity, piece: HandOverPiece, leaving: bool, now_s: float
    ) -> tuple[HandOver | None, list[Action]]:
        """Take a piece of a large hand-over.

        Parameters
        ----------
        sender : Identity
            The giver.
        piece : HandOverPiece
            The piece.
        leaving : bool
            This instance is in a planned stop and takes nothing new.
        now_s : float
            Present time, in seconds.

        Returns
        -------
        HandOver or None, list of Action
            The whole message for `take` once all its pieces are there.
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
        message = self._pieces.message(sender, transfer_id)
        return message, [SendToPeer(sender.name, taken)]

    def take(
        self, sender: Identity, message: HandOver, leaving: bool, now_s: float
    ) -> tuple[list[OwnedFlow], list[Action]]:
        """Take flows in, or refuse them for good.

        Parameters
        ----------
        sender : Identity
            The giver.
        message : HandOver
            The flows.
        leaving : bool
            This instance is in a planned stop and takes nothing new.
        now_s : float
            Present time, in seconds.

        Returns
        -------
        list of OwnedFlow, list of Action
            Flows that were new here, and what to do.
        """
        if message.successor_incarnation != self.table.me.incarnation:
            # Meant for a process that had this name before and may have run
            # some of it: nobody else ever may.
            return [], []
        if message.transfer_id in self._accepted:
            accepted = HandOverAccepted(message.transfer_id)
            return [], [SendToPeer(sender.name, accepted)]
        if leaving or not self._knows_services(message):
            # A refusal must never be followed by an acceptance of the same
            # transfer: leaving is final, but an unknown service is not.
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
            actions += self._go_on(flow, now_s)
        return flows, actions

    def _knows_services(self, message: HandOver) -> bool:
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
                # Earlier builds send these too; nothing of them may run here.
                continue
            flow = restore_flow(snapshot, self.settings.window_size, now_s)
            if self.table.restore(flow):
                self.executor.register_flow(flow, now_s)
                flows.append(flow)
        return flows

    def _go_on(self, flow: OwnedFlow, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for request in list(flow.requests.values()):
            if request.state == "waiting":
                actions += self.executor.submit(flow, request, now_s)
            elif request.state == "suspended":
                actions += self.executor.resume(flow, request, now_s)
        return actions

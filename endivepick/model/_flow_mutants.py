"""Parts of the decision core with one rule taken out of each."""

from dataclasses import dataclass

import msgspec

from endivepick.core.actions import Action, SendToCaller
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.handover_destination import HandOverDestination
from endivepick.core.handover_source import HandOverSource
from endivepick.core.messages import CallerAddress, Refused
from endivepick.core.peer_messages import HandOver
from endivepick.core.relay import FlowLocation, Holder, Relay
from endivepick.core.replay_window import ReplayWindow, WindowSnapshot
from endivepick.core.router import PacketRouter
from endivepick.core.token import FlowToken
from endivepick.model._eager_expiry_table import ForgetfulTable

__all__ = [
    "AnyIncarnationTaker",
    "BlindExecutor",
    "EmptyWindowTaker",
    "ForgetfulExecutor",
    "ForgetfulReadoptingTable",
    "ImpatientGiver",
    "NameOnlyRelay",
    "NameOnlyRouter",
    "ReadoptingTable",
    "RefusingRelay",
    "RepeatingTaker",
    "ReusingRelay",
    "SecondSuccessorGiver",
    "ThawingGiver",
]


class RefusingRelay(Relay):
    """A relay that says "not run" when it cannot reach the owner."""

    def reply_unreachable(
        self, token: FlowToken, holder: Identity, seq: int, caller: CallerAddress
    ) -> list[Action]:
        """Refuse in the owner's place."""
        refused = Refused(token.flow_id, token.binding, seq, "unreachable", 0)
        return [SendToCaller(caller, refused)]


class NameOnlyRelay(Relay):
    """A relay that knows owners by name and not by incarnation."""

    def locate(self, token: FlowToken) -> FlowLocation:
        """Take every token with this instance's name for its own."""
        if token.owner == self._me.name:
            return Holder(self._me)
        return super().locate(token)


class NameOnlyRouter(PacketRouter):
    """A router that does not compare incarnations."""

    def _handle_as_holder(self, token, packet, caller, now_s):  # type: ignore[no-untyped-def]
        return self._handle_here(token, packet, caller, now_s)


class ReusingRelay(Relay):
    """A relay that keeps the binding when it re-issues a token."""

    def reissue_after_loss(
        self, token: FlowToken, caller: CallerAddress, now_s: float
    ) -> list[Action]:
        """Issue a token with the old binding and an empty window."""
        new_id = self._new_id
        self._new_id = lambda: token.binding
        actions = super().reissue_after_loss(token, caller, now_s)
        self._new_id = new_id
        return actions


class ForgetfulExecutor(RequestExecutor):
    """An executor that does not remember its refusals."""

    def _refuse(self, held, reason, retry_after_ms):  # type: ignore[no-untyped-def]
        actions = super()._refuse(held, reason, retry_after_ms)
        flow, seq = held.flow, held.request.seq
        del flow.requests[seq]
        flow.window = ReplayWindow(size=flow.window.size, floor=seq)
        return actions


class BlindExecutor(RequestExecutor):
    """An executor that forgets that an earlier attempt may have run."""

    def _refuse(self, held, reason, retry_after_ms):  # type: ignore[no-untyped-def]
        held.request.may_have_run = False
        return super()._refuse(held, reason, retry_after_ms)


class ReadoptingTable(FlowTable):
    """A table that adopts whatever names its instance, as if it never forgot."""

    def may_adopt(self, token: FlowToken) -> bool:
        """Take any binding that is not here for a new one."""
        return True


class ForgetfulReadoptingTable(ForgetfulTable):
    """A forgetful table that adopts what a relay drew again and again."""

    def may_adopt(self, token: FlowToken) -> bool:
        """Do not ask whether it was adopted before."""
        return token.drawn_by_relay


@dataclass(slots=True)
class ThawingGiver(HandOverSource):
    """A giver that once goes on with flows whose hand-over has no answer."""

    thawed: bool = False

    def tick(self, now_s: float) -> list[Action]:
        """Give up the transfers that are open and run their requests."""
        frozen = [flow for flow in self.table if flow.frozen]
        if self.thawed or not frozen:
            return HandOverSource.tick(self, now_s)
        self.thawed = True
        self._transfers.clear()
        actions: list[Action] = []
        for flow in frozen:
            flow.frozen = False
            actions += self._go_on(flow, now_s)
        return actions

    def _go_on(self, flow: OwnedFlow, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for request in flow.requests.values():
            if request.state == "waiting":
                actions += self.executor.submit(flow, request, now_s)
        return actions


class SecondSuccessorGiver(HandOverSource):
    """A giver that tries another successor when the first does not answer."""

    def _retransmit_unanswered(self, now_s: float) -> list[Action]:
        transfers = list(self._transfers.values())
        if len(transfers) != 1:
            return []
        flows = transfers[0].message.flows
        successor = self.choose_successor(flows[0].service)
        if successor is None or successor == transfers[0].successor:
            return []
        return self._send(flows, successor, now_s)


class ImpatientGiver(HandOverSource):
    """A giver that does not wait for requests in progress."""

    def _send_service_flows(self, service: str, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for flow in self.table:
            for request in list(flow.requests.values()):
                if request.in_progress:
                    actions += self.executor.cancel(flow, request, now_s)
        return actions + super()._send_service_flows(service, now_s)


class EmptyWindowTaker(HandOverDestination):
    """A taker that restores flows without their windows."""

    def _restore(self, message: HandOver, now_s: float) -> list[OwnedFlow]:
        flows = [
            msgspec.structs.replace(flow, window=WindowSnapshot(1, []), requests=[])
            for flow in message.flows
        ]
        emptied = msgspec.structs.replace(message, flows=flows)
        return super()._restore(emptied, now_s)


class RepeatingTaker(HandOverDestination):
    """A taker that takes a copy of a hand-over in once more."""

    def receive_transfer(
        self, sender: Identity, message: HandOver, leaving: bool, now_s: float
    ) -> tuple[list[OwnedFlow], list[Action]]:
        """Drop what is here and take the copy."""
        self._accepted.clear()
        for flow in message.flows:
            self.table._flows.pop(flow.binding, None)
            self.table._successors.pop(flow.binding, None)
        return super().receive_transfer(sender, message, leaving, now_s)


class AnyIncarnationTaker(HandOverDestination):
    """A taker that takes flows meant for an earlier process of its name."""

    def receive_transfer(
        self, sender: Identity, message: HandOver, leaving: bool, now_s: float
    ) -> tuple[list[OwnedFlow], list[Action]]:
        """Take any flows."""
        mine = msgspec.structs.replace(
            message, successor_incarnation=self.table.me.incarnation
        )
        return super().receive_transfer(sender, mine, leaving, now_s)

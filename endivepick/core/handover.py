"""Hand-over of flows from a leaving owner to a successor.

The giver freezes a flow once no request of it runs, and never runs anything of
it again.  A flow goes to one successor only: until that one refuses, a second
successor could run what the first has already run.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from endivepick.core.actions import Action, Count, Log, SendToPeer
from endivepick.core.codec import encode_struct
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.peer_messages import (
    FlowSnapshot,
    HandOver,
    HandOverAccepted,
    HandOverRefused,
)
from endivepick.core.settings import FlowSettings
from endivepick.core.snapshot import restore_flow, snapshot_flow

__all__ = ["HandOverGiver", "HandOverTaker"]

FLOWS_PER_MESSAGE_MAX = 256


@dataclass(slots=True)
class _Transfer:
    successor: Identity
    message: HandOver
    sent_at_s: float


@dataclass(slots=True)
class HandOverGiver:
    """Giving side: freezes flows, sends them and waits for the answer.

    Attributes
    ----------
    settings : FlowSettings
        Limits and times.
    table : FlowTable
        Flows of this instance.
    executor : RequestExecutor
        Holds the requests that wait or run.
    new_id : callable
        Returns a random 64-bit number.
    choose_successor : callable
        Returns the instance that takes a service's flows, or None.
    is_dead : callable
        Tells whether an instance is known to be gone.
    successors : dict
        Last successor of each service, by service name.
    """

    settings: FlowSettings
    table: FlowTable
    executor: RequestExecutor
    new_id: Callable[[], int]
    choose_successor: Callable[[str], Identity | None]
    is_dead: Callable[[Identity], bool]
    successors: dict[str, Identity] = field(default_factory=dict)
    _transfers: dict[int, _Transfer] = field(default_factory=dict)
    _lost: int = 0

    @property
    def open_flows(self) -> int:
        """Flows that no successor has taken yet."""
        return len(self.table)

    @property
    def idle(self) -> bool:
        """Whether nothing is left that a longer wait could save."""
        if self._transfers:
            return False
        return not any(
            flow.in_progress or self.choose_successor(flow.service)
            for flow in self.table
        )

    @property
    def open_transfers(self) -> int:
        """Transfers without an answer."""
        return len(self._transfers)

    def finished_services(self) -> dict[str, Identity]:
        """Return the successor of each service with no flow left here."""
        remaining = self.table.services
        return {
            service: successor
            for service, successor in self.successors.items()
            if service not in remaining
        }

    def tick(self, now_s: float) -> list[Action]:
        """Freeze what is idle, send it, and send again what has no answer."""
        self._drop_lost_transfers()
        actions = self._send_again(now_s)
        for service in sorted(self.table.services):
            actions += self._give_service(service, now_s)
        return actions

    def _give_service(self, service: str, now_s: float) -> list[Action]:
        successor = self.choose_successor(service)
        if successor is None:
            return []
        actions: list[Action] = []
        batch: list[OwnedFlow] = []
        for flow in self.table:
            if flow.service != service or flow.frozen or flow.in_progress:
                continue
            actions += self._freeze(flow, now_s)
            batch.append(flow)
        if batch:
            self.successors[service] = successor
            actions += self._send_batches(batch, successor, now_s)
        return actions

    def _freeze(self, flow: OwnedFlow, now_s: float) -> list[Action]:
        flow.frozen = True
        actions: list[Action] = []
        for request in list(flow.requests.values()):
            actions += self._detach(flow, request, now_s)
        return actions

    def _detach(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        if request.state == "receiving":
            # Never claimed: the caller sends it again, to the successor.
            del flow.requests[request.seq]
            return []
        if request.state == "running":
            return self.executor.suspend(flow, request)
        if request.state == "waiting":
            return self.executor.withdraw(flow, request, now_s)
        return []

    def _send_batches(
        self, flows: list[OwnedFlow], successor: Identity, now_s: float
    ) -> list[Action]:
        actions: list[Action] = []
        batch: list[FlowSnapshot] = []
        size_bytes = 0
        for flow in flows:
            snapshot = snapshot_flow(flow, now_s)
            batch.append(snapshot)
            size_bytes += len(encode_struct(snapshot))
            full = size_bytes >= self.settings.hand_over_bytes
            if full or len(batch) >= FLOWS_PER_MESSAGE_MAX:
                actions += self._send(batch, successor, now_s)
                batch, size_bytes = [], 0
        if batch:
            actions += self._send(batch, successor, now_s)
        return actions

    def _send(
        self, batch: list[FlowSnapshot], successor: Identity, now_s: float
    ) -> list[Action]:
        message = HandOver(self.new_id(), successor.incarnation, list(batch))
        self._transfers[message.transfer_id] = _Transfer(successor, message, now_s)
        ids = {"peer": successor.name, "incarnation": successor.incarnation}
        return [
            SendToPeer(successor.name, message),
            Log(
                "handover",
                "transfer_sent",
                "flows sent to successor",
                {**ids, "flows": len(batch), "transfer": message.transfer_id},
            ),
        ]

    def _send_again(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for transfer in self._transfers.values():
            if now_s - transfer.sent_at_s >= self.settings.hand_over_retry_s:
                transfer.sent_at_s = now_s
                actions.append(SendToPeer(transfer.successor.name, transfer.message))
        return actions

    def _drop_lost_transfers(self) -> None:
        """Give up flows whose successor died before it answered.

        Nobody else may get them: the dead successor may have run requests.
        Relays then treat the flows as those of a lost owner.
        """
        for transfer_id, transfer in list(self._transfers.items()):
            if self.is_dead(transfer.successor):
                self._settle(transfer_id, transfer)

    def _settle(self, transfer_id: int, transfer: _Transfer) -> None:
        del self._transfers[transfer_id]
        for snapshot in transfer.message.flows:
            self.table.release(snapshot.binding, transfer.successor)

    def accepted(self, sender: Identity, transfer_id: int) -> list[Action]:
        """Take the successor's word that it holds the flows."""
        transfer = self._transfers.get(transfer_id)
        if transfer is None or transfer.successor != sender:
            return []
        self._settle(transfer_id, transfer)
        services = Counter(flow.service for flow in transfer.message.flows)
        counts = [Count("flows_handed_over", *item) for item in services.items()]
        return [
            *counts,
            Log(
                "handover",
                "transfer_accepted",
                "successor holds the flows",
                {"peer": sender.name, "transfer": transfer_id},
            ),
        ]

    def refused(self, sender: Identity, transfer_id: int, now_s: float) -> list[Action]:
        """Choose another successor: the first holds nothing and never will."""
        transfer = self._transfers.get(transfer_id)
        if transfer is None or transfer.successor != sender:
            return []
        service = transfer.message.flows[0].service
        successor = self.choose_successor(service)
        if successor is None or successor == sender:
            return []
        del self._transfers[transfer_id]
        self.successors[service] = successor
        return self._send(transfer.message.flows, successor, now_s)


@dataclass(slots=True)
class HandOverTaker:
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
        flows = self._restore(message, now_s)
        actions: list[Action] = [
            SendToPeer(sender.name, HandOverAccepted(message.transfer_id)),
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
            flow = restore_flow(snapshot, self.settings.window_size, now_s)
            if self.table.restore(flow):
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

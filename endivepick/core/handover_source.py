"""Source side of a handover of flows from a leaving owner to a successor.

The source freezes a flow once none of its requests runs, and starts no request of
that flow afterwards.  A flow is sent to a single successor: until that successor
refuses, a second one could run requests that the first has already run.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from endivepick.core.actions import Action, Count, Log, SendToPeer
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.flow_snapshot import snapshot_flow
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.handover_destination import HandOverDestination
from endivepick.core.handover_pieces import PieceSender, split_into_pieces
from endivepick.core.handover_transfer import Transfer
from endivepick.core.packet_codec import encode_struct
from endivepick.core.peer_messages import (
    FlowSnapshot,
    Forwarded,
    HandOver,
    HandOverMessage,
)
from endivepick.core.settings import FlowSettings

__all__ = ["HandOverSource", "HandOverDestination"]

FLOWS_PER_MESSAGE_MAX = 256
INDIRECT_AFTER_S = 0.5
"""Retransmission interval from which messages also go through a third instance."""
OPEN_TRANSFERS_MAX = 8
"""Limit on unanswered transfers; flows that are not yet sent continue to serve."""


@dataclass(slots=True)
class HandOverSource:
    """Freezes flows, sends them to a successor and retransmits until answered.

    Attributes
    ----------
    settings : FlowSettings
        Limits and timeouts.
    table : FlowTable
        Flows of this instance.
    executor : RequestExecutor
        Executor of the waiting and running requests.
    new_id : callable
        Returns a random 64-bit number.
    choose_successor : callable
        Returns the successor for a service's flows, or None.
    is_dead : callable
        Tells whether an incarnation is known to be dead.
    is_valid_successor : callable
        Tells whether a successor that was chosen earlier can still receive flows.
    is_instance_joining : callable
        Tells whether an instance is joining, which may become a successor.
    list_intermediaries : callable
        Returns the names of instances that can forward a message.
    successors : dict
        Last successor of each service, by service name.
    """

    settings: FlowSettings
    table: FlowTable
    executor: RequestExecutor
    new_id: Callable[[], int]
    choose_successor: Callable[[str], Identity | None]
    is_dead: Callable[[Identity], bool]
    is_valid_successor: Callable[[Identity], bool] = lambda identity: False
    is_instance_joining: Callable[[], bool] = lambda: False
    list_intermediaries: Callable[[], Sequence[str]] = tuple
    successors: dict[str, Identity] = field(default_factory=dict)
    _transfers: dict[int, Transfer] = field(default_factory=dict)
    _now_s: float = 0.0
    _intermediary_index: int = 0

    @property
    def open_flows(self) -> int:
        """Number of flows that no successor has accepted yet."""
        return len(self.table)

    @property
    def is_idle(self) -> bool:
        """Whether waiting longer cannot hand over any further flow."""
        if self._transfers:
            return False
        joining = self.is_instance_joining()
        return not any(
            joining or flow.in_progress or self.choose_successor(flow.service)
            for flow in self.table
        )

    @property
    def open_transfers(self) -> int:
        """Number of unanswered transfers."""
        return len(self._transfers)

    def handed_over_services(self) -> dict[str, Identity]:
        """Return the successor of each service whose flows were all handed over."""
        remaining = self.table.services
        return {
            service: successor
            for service, successor in self.successors.items()
            if service not in remaining
        }

    def tick(self, now_s: float) -> list[Action]:
        """Freeze and send idle flows, and retransmit unanswered transfers."""
        self._now_s = now_s
        self.table.remove_closed_flows()
        self._drop_lost_transfers()
        return self._retransmit_unanswered(now_s) + self._send_services(now_s)

    def abort_running(self) -> list[Action]:
        """Abort the running attempts so that their flows can be handed over."""
        actions: list[Action] = []
        for flow in self.table:
            if not flow.in_progress or self._successor(flow.service) is None:
                continue
            for request in list(flow.requests.values()):
                if request.in_progress:
                    actions += self.executor.abort_running(flow, request)
        return actions

    def _send_services(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for service in sorted(self.table.services):
            actions += self._send_service_flows(service, now_s)
        return actions

    @property
    def _is_full(self) -> bool:
        return len(self._transfers) >= OPEN_TRANSFERS_MAX

    def _send_service_flows(self, service: str, now_s: float) -> list[Action]:
        """Freeze and send flows up to the transfer limit; the others keep serving."""
        successor = self._successor(service)
        if successor is None:
            return []
        actions: list[Action] = []
        batch: list[FlowSnapshot] = []
        size_bytes = 0
        for flow in self.table:
            if self._is_full:
                break
            if flow.service != service or flow.frozen or flow.in_progress:
                continue
            if flow.closed:
                continue
            actions += self._freeze_flow(flow, now_s)
            batch.append(snapshot_flow(flow, now_s))
            size_bytes += len(encode_struct(batch[-1]))
            full = size_bytes >= self.settings.hand_over_bytes
            if full or len(batch) >= FLOWS_PER_MESSAGE_MAX:
                actions += self._send(batch, successor, now_s)
                batch, size_bytes = [], 0
        if batch:
            actions += self._send(batch, successor, now_s)
        return actions

    def _successor(self, service: str) -> Identity | None:
        """Return the service's current successor while it is valid, else a new one.

        Only one successor of a service can be announced.
        """
        current = self.successors.get(service)
        if current is not None and self.is_valid_successor(current):
            return current
        return self.choose_successor(service)

    def _freeze_flow(self, flow: OwnedFlow, now_s: float) -> list[Action]:
        flow.frozen = True
        actions: list[Action] = []
        for request in list(flow.requests.values()):
            actions += self._detach_request(flow, request, now_s)
        return actions

    def _detach_request(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        if request.state == "receiving":
            # Not claimed in the replay window yet: the caller retransmits it to the
            # successor.
            del flow.requests[request.seq]
            return []
        if request.state == "running":
            return self.executor.suspend_running_stream(flow, request)
        if request.state == "waiting":
            return self.executor.remove_waiting_request(flow, request, now_s)
        return []

    def _send(
        self, batch: list[FlowSnapshot], successor: Identity, now_s: float
    ) -> list[Action]:
        message = HandOver(self.new_id(), successor.incarnation, list(batch))
        size_bytes = len(encode_struct(message))
        interval_s = self.settings.hand_over_retry_s
        transfer = Transfer(successor, message, now_s + interval_s, interval_s)
        self._transfers[message.transfer_id] = transfer
        self.successors[batch[0].service] = successor
        ids = {
            "peer": successor.name,
            "incarnation": successor.incarnation,
            "flows": len(batch),
            "size_bytes": size_bytes,
            "transfer": message.transfer_id,
        }
        log = Log("handover", "transfer_sent", "flows sent to successor", ids)
        return [log, *self._send_first(transfer, size_bytes)]

    def _send_first(self, transfer: Transfer, size_bytes: int) -> list[Action]:
        limit_bytes = self.settings.hand_over_bytes
        if size_bytes <= 2 * limit_bytes:
            return [SendToPeer(transfer.successor.name, transfer.message)]
        pieces = split_into_pieces(transfer.message, limit_bytes)
        transfer.pieces = PieceSender(pieces)
        return transfer.send(transfer.pieces.take_unsent())

    def _retransmit_unanswered(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for transfer in self._transfers.values():
            if now_s >= transfer.retry_at_s:
                transfer.schedule_retry(now_s)
                messages = transfer.unanswered_messages()
                actions += transfer.send(messages)
                actions += self._send_indirectly(transfer, messages)
        return actions

    def _send_indirectly(
        self, transfer: Transfer, messages: Iterable[HandOverMessage]
    ) -> list[Action]:
        """Send messages through a third instance if the direct link seems cut."""
        successor, me = transfer.successor, self.table.me
        names = [name for name in self.list_intermediaries() if name != successor.name]
        if not names or transfer.interval_s < INDIRECT_AFTER_S:
            return []
        self._intermediary_index = (self._intermediary_index + 1) % len(names)
        return [
            SendToPeer(
                names[self._intermediary_index],
                Forwarded(me.name, me.incarnation, successor.name, message),
            )
            for message in messages
        ]

    def _drop_lost_transfers(self) -> None:
        """Release flows whose successor died before it answered.

        They are not sent to another successor, because the dead one may have run
        their requests.  Relays treat these flows as those of a lost owner.
        """
        for transfer_id, transfer in list(self._transfers.items()):
            if self.is_dead(transfer.successor):
                self._release_flows(transfer_id, transfer)

    def _release_flows(self, transfer_id: int, transfer: Transfer) -> None:
        del self._transfers[transfer_id]
        for snapshot in transfer.message.flows:
            flow = self.table.get(snapshot.binding)
            if flow is not None:
                self.executor.unregister_flow(flow, self._now_s)
            self.table.release(snapshot.binding, transfer.successor)

    def accepted(self, sender: Identity, transfer_id: int) -> list[Action]:
        """Release the flows of a transfer that the successor has accepted."""
        transfer = self._transfers.get(transfer_id)
        if transfer is None or transfer.successor != sender:
            return []
        self._release_flows(transfer_id, transfer)
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
            *self._send_services(self._now_s),
        ]

    def piece_taken(
        self, sender: Identity, transfer_id: int, index: int
    ) -> list[Action]:
        """Record the receipt of a piece and send the next ones."""
        transfer = self._transfers.get(transfer_id)
        if transfer is None or transfer.successor != sender or not transfer.pieces:
            return []
        if not transfer.pieces.acknowledge(index):
            return []
        transfer.interval_s = self.settings.hand_over_retry_s
        transfer.retry_at_s = self._now_s + transfer.interval_s
        return transfer.send(transfer.pieces.take_unsent())

    def refused(self, sender: Identity, transfer_id: int, now_s: float) -> list[Action]:
        """Send a refused transfer to another successor.

        A refusal is final: the first successor holds none of the flows and never
        will.
        """
        transfer = self._transfers.get(transfer_id)
        if transfer is None or transfer.successor != sender:
            return []
        service = transfer.message.flows[0].service
        successor = self.choose_successor(service)
        if successor is None or successor == sender:
            return []
        del self._transfers[transfer_id]
        return self._send(transfer.message.flows, successor, now_s)

"""Hand-over of flows from a leaving owner to a successor.

The giver freezes a flow once no request of it runs, and never runs anything of
it again.  A flow goes to one successor only: until that one refuses, a second
successor could run what the first has already run.
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
from endivepick.core.handover_pieces import PieceSender, cut_into_pieces
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
AROUND_AFTER_S = 0.5
"""Time between two sendings from which a third instance is tried, in seconds."""
OPEN_TRANSFERS_MAX = 8
"""Transfers without an answer; flows that wait for their turn still serve."""


@dataclass(slots=True)
class HandOverSource:
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
    takes_flows : callable
        Tells whether an instance, once chosen, still takes flows.
    successor_may_come : callable
        Tells whether an instance is about to join.
    helpers : callable
        Returns the names of instances over which a message can go.
    successors : dict
        Last successor of each service, by service name.
    """

    settings: FlowSettings
    table: FlowTable
    executor: RequestExecutor
    new_id: Callable[[], int]
    choose_successor: Callable[[str], Identity | None]
    is_dead: Callable[[Identity], bool]
    takes_flows: Callable[[Identity], bool] = lambda identity: False
    successor_may_come: Callable[[], bool] = lambda: False
    helpers: Callable[[], Sequence[str]] = tuple
    successors: dict[str, Identity] = field(default_factory=dict)
    _transfers: dict[int, Transfer] = field(default_factory=dict)
    _now_s: float = 0.0
    _turn: int = 0

    @property
    def open_flows(self) -> int:
        """Flows that no successor has taken yet."""
        return len(self.table)

    @property
    def idle(self) -> bool:
        """Whether nothing is left that a longer wait could save."""
        if self._transfers:
            return False
        waits = self.successor_may_come()
        return not any(
            waits or flow.in_progress or self.choose_successor(flow.service)
            for flow in self.table
        )

    @property
    def open_transfers(self) -> int:
        """Transfers without an answer."""
        return len(self._transfers)

    def handed_over_services(self) -> dict[str, Identity]:
        """Return the successor of each service with no flow left here."""
        remaining = self.table.services
        return {
            service: successor
            for service, successor in self.successors.items()
            if service not in remaining
        }

    def tick(self, now_s: float) -> list[Action]:
        """Freeze what is idle, send it, and send again what has no answer."""
        self._now_s = now_s
        self.table.drop_closed()
        self._drop_lost_transfers()
        return self._retransmit_unanswered(now_s) + self._give(now_s)

    def cut(self) -> list[Action]:
        """Give up the attempts that still run, so that their flows can be given."""
        actions: list[Action] = []
        for flow in self.table:
            if not flow.in_progress or self._successor(flow.service) is None:
                continue
            for request in list(flow.requests.values()):
                if request.in_progress:
                    actions += self.executor.cut(flow, request)
        return actions

    def _give(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for service in sorted(self.table.services):
            actions += self._send_service_flows(service, now_s)
        return actions

    @property
    def _full(self) -> bool:
        return len(self._transfers) >= OPEN_TRANSFERS_MAX

    def _send_service_flows(self, service: str, now_s: float) -> list[Action]:
        """Freeze and send as many flows as may be under way; the others go on."""
        successor = self._successor(service)
        if successor is None:
            return []
        actions: list[Action] = []
        batch: list[FlowSnapshot] = []
        size_bytes = 0
        for flow in self.table:
            if self._full:
                break
            if flow.service != service or flow.frozen or flow.in_progress:
                continue
            if flow.closed:
                continue
            actions += self._freeze(flow, now_s)
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
        """Stay with one successor of a service: only one can be announced."""
        known = self.successors.get(service)
        if known is not None and self.takes_flows(known):
            return known
        return self.choose_successor(service)

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
        return [log, *self._first_sending(transfer, size_bytes)]

    def _first_sending(self, transfer: Transfer, size_bytes: int) -> list[Action]:
        limit_bytes = self.settings.hand_over_bytes
        if size_bytes <= 2 * limit_bytes:
            return [SendToPeer(transfer.successor.name, transfer.message)]
        pieces = cut_into_pieces(transfer.message, limit_bytes)
        transfer.pieces = PieceSender(pieces)
        return transfer.send(transfer.pieces.take_new())

    def _retransmit_unanswered(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for transfer in self._transfers.values():
            if now_s >= transfer.due_at_s:
                transfer.postpone(now_s)
                messages = transfer.unanswered()
                actions += transfer.send(messages)
                actions += self._send_around(transfer, messages)
        return actions

    def _send_around(
        self, transfer: Transfer, messages: Iterable[HandOverMessage]
    ) -> list[Action]:
        """Send messages over a third instance if the direct way seems to be cut."""
        successor, me = transfer.successor, self.table.me
        helpers = [name for name in self.helpers() if name != successor.name]
        if not helpers or transfer.interval_s < AROUND_AFTER_S:
            return []
        self._turn = (self._turn + 1) % len(helpers)
        return [
            SendToPeer(
                helpers[self._turn],
                Forwarded(me.name, me.incarnation, successor.name, message),
            )
            for message in messages
        ]

    def _drop_lost_transfers(self) -> None:
        """Give up flows whose successor died before it answered.

        Nobody else may get them: the dead successor may have run requests.
        Relays then treat the flows as those of a lost owner.
        """
        for transfer_id, transfer in list(self._transfers.items()):
            if self.is_dead(transfer.successor):
                self._settle(transfer_id, transfer)

    def _settle(self, transfer_id: int, transfer: Transfer) -> None:
        del self._transfers[transfer_id]
        for snapshot in transfer.message.flows:
            flow = self.table.get(snapshot.binding)
            if flow is not None:
                self.executor.unregister_flow(flow, self._now_s)
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
            *self._give(self._now_s),
        ]

    def piece_taken(
        self, sender: Identity, transfer_id: int, index: int
    ) -> list[Action]:
        """Send the next pieces of a large transfer."""
        transfer = self._transfers.get(transfer_id)
        if transfer is None or transfer.successor != sender or not transfer.pieces:
            return []
        if not transfer.pieces.taken(index):
            return []
        transfer.interval_s = self.settings.hand_over_retry_s
        transfer.due_at_s = self._now_s + transfer.interval_s
        return transfer.send(transfer.pieces.take_new())

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
        return self._send(transfer.message.flows, successor, now_s)

"""Protocol core of a caller: openings, flows and packet dispatch."""

from collections import Counter

from endivepick.client._core.actions import (
    Action,
    Completed,
    FlowOpened,
    OpenFailed,
    Outbox,
    RequestCall,
)
from endivepick.client._core.flow import FlowState, RequestPacket
from endivepick.client._core.flow_context import FlowContext, RepeatedPacket
from endivepick.client._core.opening import Opening
from endivepick.client._core.request import RequestState
from endivepick.client._core.timing import RoundTrip, Timers
from endivepick.client.errors import NotRun, OpenRefused
from endivepick.client.settings import CallerSettings
from endivepick.core.messages import (
    FlowClosed,
    InstancePacket,
    Open,
    Opened,
    Reissued,
)
from endivepick.core.messages import OpenRefused as OpenRefusedPacket
from endivepick.core.packet_codec import decode_instance_packet
from endivepick.errors import PacketInvalidError

__all__ = ["CallerCore"]

MAX_REMEMBERED_OPENINGS = 4096
NOT_OPENED = 0


class CallerCore:
    """Protocol core of a caller.

    Each call returns the actions that it causes. Times are seconds on any
    monotonic clock.

    Parameters
    ----------
    settings : CallerSettings
        Settings of the caller.

    Examples
    --------
    >>> core = CallerCore(CallerSettings(fabric_address="127.0.0.1:7000"))
    >>> core.open(7, "notes", deadline_at_s=5.0, now_s=0.0)  # doctest: +ELLIPSIS
    [SendDatagram(datagram=...)]
    """

    def __init__(self, settings: CallerSettings) -> None:
        self._settings = settings
        self._outbox = Outbox()
        self._timers = Timers()
        self._openings: dict[int, Opening] = {}
        self._flow_ids_by_open_id: dict[int, int] = {}
        self._flows: dict[int, FlowState] = {}
        self._requests: dict[int, tuple[FlowState, RequestState]] = {}

    @property
    def counts(self) -> Counter[str]:
        """Protocol counters, by name.

        They cover dropped, duplicate and retransmitted packets, polls and socket
        errors.
        """
        return self._outbox.counts

    @property
    def next_tick_at_s(self) -> float:
        """Time at which `tick` is due next; infinite if no timer is set."""
        return self._timers.next_at_s

    def open(
        self, open_id: int, service: str, deadline_at_s: float, now_s: float
    ) -> list[Action]:
        """Open a flow; ``open_id`` is a random 64-bit number."""
        packet = Open(open_id, service)
        opening = Opening(packet, deadline_at_s, self._outbox, now_s)
        self._openings[open_id] = opening
        self._timers.update(opening)
        return self.tick(now_s)

    def abandon(self, open_id: int, now_s: float) -> list[Action]:
        """Abandon an opening; close its flow if it was opened, or is opened later."""
        opening = self._openings.get(open_id)
        if opening is not None:
            opening.end()
            self._timers.cancel(opening)
            self._finish_opening(open_id, NOT_OPENED)
            return []
        return self.close(self._flow_ids_by_open_id.get(open_id, NOT_OPENED), now_s)

    def request(self, call: RequestCall, now_s: float) -> list[Action]:
        """Send a request on an open flow."""
        flow = self._flows.get(call.flow_id)
        if flow is None:
            error = NotRun("the flow is closed")
            self._outbox.emit(Completed(call.request_id, error))
            return self._take_actions()
        request = flow.request(call, now_s)
        if request is not None:
            self._requests[call.request_id] = (flow, request)
        return self._take_actions()

    def cancel(self, request_id: int, now_s: float) -> list[Action]:
        """Cancel a request; a request that has ended is ignored."""
        flow, request = self._requests.get(request_id, (None, None))
        if flow is not None and request is not None and not request.ended:
            request.cancel(now_s)
            flow.start_requests(now_s)
        return self._take_actions()

    def close(self, flow_id: int, now_s: float) -> list[Action]:
        """Close a flow and cancel its requests."""
        flow = self._flows.pop(flow_id, None)
        if flow is not None:
            flow.close(now_s)
        return self._take_actions()

    def tick(self, now_s: float) -> list[Action]:
        """Run the timers that are due."""
        while (item := self._timers.pop_due(now_s)) is not None:
            item.on_due(now_s)
            self._timers.update(item)
            self._finish_due(item, now_s)
        return self._take_actions()

    def _finish_due(self, item: object, now_s: float) -> None:
        match item:
            case RequestState() if item.ended:
                flow, _ = self._requests[item.call.request_id]
                flow.start_requests(now_s)
            case Opening() if item.ended:
                self._finish_opening(item.open_id, NOT_OPENED)

    def datagram(self, datagram: bytes, now_s: float) -> list[Action]:
        """Process a datagram; an invalid one is counted and dropped."""
        try:
            packet = decode_instance_packet(datagram)
        except PacketInvalidError as error:
            self.counts[f"invalid_{error.reason}"] += 1
            return []
        self._on_packet(packet, now_s)
        return self._take_actions()

    def _on_packet(self, packet: InstancePacket, now_s: float) -> None:
        match packet:
            case Opened():
                self._on_opened(packet, now_s)
            case OpenRefusedPacket():
                self._on_open_refused(packet)
            case _:
                self._on_flow_packet(packet, now_s)

    def _on_flow_packet(self, packet: RequestPacket | Reissued, now_s: float) -> None:
        flow = self._flows.get(packet.flow_id)
        if flow is None:
            self.counts["unknown_flow"] += 1
        elif isinstance(packet, Reissued):
            flow.on_reissued(packet, now_s)
        else:
            flow.on_packet(packet, now_s)

    def _on_opened(self, packet: Opened, now_s: float) -> None:
        opening = self._openings.get(packet.open_id)
        if opening is None:
            self._on_duplicate_opened(packet, now_s)
            return
        opening.end()
        self._timers.cancel(opening)
        self._finish_opening(packet.open_id, packet.flow_id)
        context = FlowContext(
            settings=self._settings,
            outbox=self._outbox,
            timers=self._timers,
            round_trip=RoundTrip(self._settings),
            flow_id=packet.flow_id,
            token=packet.token,
            binding=packet.binding,
        )
        flow = FlowState(packet, context, packet.open_id, now_s)
        self._flows[packet.flow_id] = flow
        self._outbox.emit(FlowOpened(packet.open_id, packet.flow_id))

    def _on_duplicate_opened(self, packet: Opened, now_s: float) -> None:
        self.counts["opened_again"] += 1
        known_flow_id = self._flow_ids_by_open_id.get(packet.open_id)
        if known_flow_id is None or known_flow_id == packet.flow_id:
            return
        # A second instance opened another flow, or the opening has ended without a
        # flow, for instance because it was abandoned: close this flow.
        repeated = RepeatedPacket(FlowClosed(packet.token), self._outbox, now_s)
        self._timers.update(repeated)

    def _on_open_refused(self, packet: OpenRefusedPacket) -> None:
        opening = self._openings.get(packet.open_id)
        if opening is None:
            self.counts["unknown_open"] += 1
            return
        opening.end()
        self._timers.cancel(opening)
        self._finish_opening(packet.open_id, NOT_OPENED)
        error = OpenRefused(packet.reason, max(0, packet.retry_after_ms))
        self._outbox.emit(OpenFailed(packet.open_id, error))

    def _finish_opening(self, open_id: int, flow_id: int) -> None:
        self._openings.pop(open_id, None)
        self._flow_ids_by_open_id[open_id] = flow_id
        if len(self._flow_ids_by_open_id) > MAX_REMEMBERED_OPENINGS:
            del self._flow_ids_by_open_id[next(iter(self._flow_ids_by_open_id))]

    def _take_actions(self) -> list[Action]:
        actions = self._outbox.take_actions()
        for action in actions:
            if isinstance(action, Completed):
                self._requests.pop(action.request_id, None)
        return actions

"""Owner of flows: the one place where their requests are accepted."""

from collections.abc import Callable

from endivepick.core.actions import Action, Count, Log, SendToCaller
from endivepick.core.codec import decode_struct
from endivepick.core.executor import RequestExecutor, send_unsent_parts
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.flow_table import FlowTable
from endivepick.core.messages import (
    PART_SIZE_BYTES,
    Accepted,
    Acknowledge,
    CallerAddress,
    Cancel,
    FlowClosed,
    Opened,
    Outcome,
    Refused,
    Reissued,
    Renew,
    RequestHead,
    RequestPart,
    RequestProgress,
    Unreachable,
)
from endivepick.core.settings import FlowSettings
from endivepick.core.token import FlowToken, TokenCodec
from endivepick.core.window import SeqState
from endivepick.errors import PacketInvalidError

__all__ = ["FlowOwner", "TokenPacket"]

FROZEN_RETRY_MS = 100
"""When to come back to a flow that is being handed over, in milliseconds."""
PUT_OFF_S = 1.0
"""How long a leaving owner puts requests off, and then takes them, in seconds."""
PARTS_PER_PROGRESS = 8
"""Request parts after which the owner reports what it has."""
MISSING_PARTS_MAX = 64
"""Missing request parts that one message names."""

TokenPacket = RequestPart | Acknowledge | Cancel | Renew | FlowClosed


class FlowOwner:
    """Handles the packets of flows whose window this instance holds.

    Parameters
    ----------
    settings : FlowSettings
        Limits and times.
    table : FlowTable
        Flows of this instance.
    codec : TokenCodec
        Signs tokens.
    executor : RequestExecutor
        Runs complete requests.
    random_number : callable
        Returns a float from 0 up to 1.
    """

    def __init__(
        self,
        settings: FlowSettings,
        table: FlowTable,
        codec: TokenCodec,
        executor: RequestExecutor,
        random_number: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._table = table
        self._codec = codec
        self._executor = executor
        self._random_number = random_number
        self._next_sweep_s = 0.0
        self.leaving = False
        self._leaving_since_s = 0.0
        self._last_deadline_s = 0.0

    def begin_leaving(self, now_s: float, last_deadline_s: float) -> None:
        """Take no new flow, and requests only of flows that cannot go yet.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        last_deadline_s : float
            Requests that may run longer are left to the successor, in seconds.
        """
        self.leaving = True
        self._leaving_since_s = now_s
        self._last_deadline_s = last_deadline_s

    @property
    def renew_after_s(self) -> float:
        """When a caller should ask for a new token, in seconds after the last."""
        return self._settings.token_lifetime_s * self._settings.renew_share

    def open_flow(
        self, service: str, open_id: int, caller: CallerAddress, now_s: float
    ) -> list[Action]:
        """Open a flow to a service whose dispatcher is here."""
        dispatcher = self._executor.dispatchers[service]
        target = dispatcher.place_flow(now_s, self._random_number())
        # All flows share the record's text, not each the one of its packet.
        flow = self._table.open(dispatcher.record.name, target, caller, now_s)
        sealed = self._codec.seal(self._table.token(flow, now_s))
        return [
            Count("flows_opened", service),
            Log(
                "owner",
                "flow_opened",
                "flow opened",
                {
                    "flow": flow.flow_id,
                    "binding": flow.binding,
                    "service": service,
                    "target": target,
                },
            ),
            SendToCaller(
                caller,
                Opened(open_id, flow.flow_id, sealed, self.renew_after_s, flow.binding),
            ),
        ]

    def find_flow(
        self, token: FlowToken, caller: CallerAddress, now_s: float
    ) -> OwnedFlow:
        """Return the flow of a token that names this incarnation as its owner."""
        flow = self._table.get(token.binding)
        if flow is None:
            flow = self._table.adopt(token, caller, now_s)
            self._executor.flow_added(flow, now_s)
        return flow

    def handle(
        self,
        flow: OwnedFlow,
        packet: TokenPacket,
        caller: CallerAddress,
        now_s: float,
    ) -> list[Action]:
        """Handle a packet of a flow that is held here."""
        if flow.frozen:
            return [_come_back(flow, packet, caller)]
        flow.caller = caller
        flow.heard_at_s = now_s
        match packet:
            case RequestPart():
                return self._request_part(flow, packet, now_s)
            case Acknowledge():
                return self._acknowledge(flow, packet, now_s)
            case Cancel(seq=seq):
                return self._cancel(flow, seq, now_s)
            case Renew():
                return [self.reissue(flow, now_s)]
            case FlowClosed():
                return self._close(flow, now_s)

    def reissue(self, flow: OwnedFlow, now_s: float) -> Action:
        """Send a new token that names this instance and the same binding."""
        sealed = self._codec.seal(self._table.token(flow, now_s))
        packet = Reissued(
            flow.flow_id, flow.binding, sealed, flow.binding, True, self.renew_after_s
        )
        return SendToCaller(flow.caller, packet)

    def _request_part(
        self, flow: OwnedFlow, packet: RequestPart, now_s: float
    ) -> list[Action]:
        request = flow.requests.get(packet.seq)
        if request is None:
            return self._new_request(flow, packet, now_s)
        request.heard_at_s = now_s
        if request.state == "receiving":
            return self._receive(flow, request, packet, now_s)
        return self._repeat_state(flow, request)

    def _new_request(
        self, flow: OwnedFlow, packet: RequestPart, now_s: float
    ) -> list[Action]:
        match flow.window.state(packet.seq):
            case SeqState.CLAIMED:
                return [_forgotten(flow, packet.seq)]
            case SeqState.OUT_OF_RANGE:
                # A flow that is older than its binding, or a number never sent.
                # The caller has no request so far below this one, so that to
                # raise the floor blocks no number that is still in use.
                flow.window.skip_below(
                    packet.seq - self._settings.outstanding_requests_max
                )
                return self._admit(flow, packet, now_s)
            case SeqState.FRESH:
                return self._admit(flow, packet, now_s)

    def _admit(
        self, flow: OwnedFlow, packet: RequestPart, now_s: float
    ) -> list[Action]:
        if self.leaving and not self._admits_while_leaving(flow, packet, now_s):
            return [_come_back(flow, packet, flow.caller)]
        if len(flow.requests) >= self._settings.outstanding_requests_max:
            return [Count("packets_dropped", "too_many_requests")]
        request = OwnedRequest(
            seq=packet.seq,
            idempotent=packet.idempotent,
            deadline_at_s=now_s + max(packet.deadline_ms, 0) / 1000,
            heard_at_s=now_s,
            part_count=packet.count,
        )
        flow.requests[packet.seq] = request
        self._table.note_request(flow)
        if flow.closed:
            return self._refuse_unclaimed(flow, request, "flow_closed")
        if packet.count * PART_SIZE_BYTES > self._settings.request_bytes_max:
            return self._refuse_unclaimed(flow, request, "request_too_large")
        return self._receive(flow, request, packet, now_s)

    def _admits_while_leaving(
        self, flow: OwnedFlow, packet: RequestPart, now_s: float
    ) -> bool:
        """Tell whether a flow takes a request although it is to be handed over.

        In every other period it does not, so that a flow whose requests overlap can
        end them; in between, a request does not have to wait for a long one.
        """
        deadline_at_s = now_s + self._time_left_s(flow, packet)
        if not flow.in_progress or deadline_at_s > self._last_deadline_s:
            return False
        periods = int((now_s - self._leaving_since_s) / PUT_OFF_S)
        return periods % 2 == 1

    def _time_left_s(self, flow: OwnedFlow, packet: RequestPart) -> float:
        left_s = max(packet.deadline_ms, 0) / 1000
        dispatcher = self._executor.dispatchers.get(flow.service)
        if dispatcher is None:
            return left_s
        return min(left_s, dispatcher.record.request_timeout_s)

    def _limit_deadline(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> None:
        """Hold a request to the time that the record allows; streams live longer."""
        dispatcher = self._executor.dispatchers.get(flow.service)
        if dispatcher is None or request.is_stream:
            return
        latest_s = now_s + dispatcher.record.request_timeout_s
        request.deadline_at_s = min(request.deadline_at_s, latest_s)

    def _receive(
        self,
        flow: OwnedFlow,
        request: OwnedRequest,
        packet: RequestPart,
        now_s: float,
    ) -> list[Action]:
        if packet.count != request.part_count or not 0 <= packet.index < packet.count:
            return [Count("packets_dropped", "part_out_of_range")]
        request.parts[packet.index] = packet.data
        if len(request.parts) == request.part_count:
            return self._complete(flow, request, now_s)
        if len(request.parts) % PARTS_PER_PROGRESS:
            return []
        return [_progress(flow, request)]

    def _complete(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        data = b"".join(request.parts[index] for index in range(request.part_count))
        request.parts = {}
        try:
            request.head = decode_struct(data, RequestHead)
        except PacketInvalidError:
            return self._refuse_unclaimed(flow, request, "malformed_request")
        if request.head.stream and not request.idempotent:
            # To resume a stream is to run its request again.
            return self._refuse_unclaimed(flow, request, "stream_not_idempotent")
        self._limit_deadline(flow, request, now_s)
        if not flow.window.claim(request.seq):
            # The floor has passed this number since its first part came.
            del flow.requests[request.seq]
            return [_forgotten(flow, request.seq)]
        request.step("complete")
        request.accepted_at_s = now_s
        actions: list[Action] = [
            Log(
                "owner",
                "request_accepted",
                "request is complete",
                {
                    "flow": flow.flow_id,
                    "binding": flow.binding,
                    "seq": request.seq,
                    "service": flow.service,
                },
            ),
            SendToCaller(
                flow.caller, Accepted(flow.flow_id, flow.binding, request.seq)
            ),
        ]
        return actions + self._executor.submit(flow, request, now_s)

    def _refuse_unclaimed(
        self, flow: OwnedFlow, request: OwnedRequest, reason: str
    ) -> list[Action]:
        # Claim first: no later copy of a refused request may run.
        flow.window.claim(request.seq)
        request.step("refuse")
        request.verdict = Refused(flow.flow_id, flow.binding, request.seq, reason, 0)
        ids = {"flow": flow.flow_id, "binding": flow.binding, "seq": request.seq}
        text = "request refused before any run"
        return [
            Log("owner", "request_refused", text, {**ids, "reason": reason}),
            Count("refused", reason),
            SendToCaller(flow.caller, request.verdict),
        ]

    def _repeat_state(self, flow: OwnedFlow, request: OwnedRequest) -> list[Action]:
        """Answer a copy of a request, or a question about it."""
        if request.verdict is not None:
            return [SendToCaller(flow.caller, request.verdict)]
        answer = request.answer
        if answer is not None and answer.base_index < answer.sent_index:
            packet = answer.packet(
                flow.flow_id, flow.binding, request.seq, answer.base_index
            )
            return [SendToCaller(flow.caller, packet)]
        if request.state == "cancelled":
            return []
        accepted = Accepted(flow.flow_id, flow.binding, request.seq)
        return [SendToCaller(flow.caller, accepted)]

    def _acknowledge(
        self, flow: OwnedFlow, packet: Acknowledge, now_s: float
    ) -> list[Action]:
        request = flow.requests.get(packet.seq)
        if request is None:
            return self._acknowledge_unknown(flow, packet)
        request.heard_at_s = now_s
        if packet.done:
            return self._done(flow, request, now_s)
        if request.state == "receiving":
            return [_progress(flow, request)]
        if request.answer is None:
            actions = self._repeat_state(flow, request)
        else:
            actions = self._continue_answer(flow, request, packet)
        if request.state == "suspended":
            actions += self._resume_if_drained(flow, request, now_s)
        return actions

    def _acknowledge_unknown(
        self, flow: OwnedFlow, packet: Acknowledge
    ) -> list[Action]:
        if packet.done:
            return []
        if flow.window.state(packet.seq) is SeqState.CLAIMED:
            return [_forgotten(flow, packet.seq)]
        missing_all = RequestProgress(flow.flow_id, flow.binding, packet.seq, 0, [])
        return [SendToCaller(flow.caller, missing_all)]

    def _continue_answer(
        self,
        flow: OwnedFlow,
        request: OwnedRequest,
        packet: Acknowledge,
    ) -> list[Action]:
        answer = request.answer
        assert answer is not None
        repeats = answer.acknowledge(packet.next_index, packet.missing, packet.window)
        actions: list[Action] = [
            SendToCaller(
                flow.caller,
                answer.packet(flow.flow_id, flow.binding, request.seq, index),
            )
            for index in repeats
        ]
        actions += send_unsent_parts(flow, request)
        if not actions:
            # The caller learns that its stream or request is still known.
            accepted = Accepted(flow.flow_id, flow.binding, request.seq)
            actions.append(SendToCaller(flow.caller, accepted))
        return actions

    def _resume_if_drained(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        buffered_bytes = request.answer.size_bytes if request.answer else 0
        if buffered_bytes > self._settings.stream_buffer_bytes // 2:
            return []
        return self._executor.resume(flow, request, now_s)

    def _done(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        if request.state == "receiving":
            return []
        actions: list[Action] = []
        if not request.allows("acknowledge"):
            actions = self._executor.cancel(flow, request, now_s)
        flow.requests.pop(request.seq, None)
        if not flow.requests:
            # A dictionary keeps its room; most flows are idle most of the time.
            flow.requests = {}
        return actions

    def _cancel(self, flow: OwnedFlow, seq: int, now_s: float) -> list[Action]:
        request = flow.requests.get(seq)
        # A cancellation that overtakes its request must stop the later parts.
        flow.window.claim(seq)
        if request is None:
            return []
        return self._executor.cancel(flow, request, now_s)

    def _close(self, flow: OwnedFlow, now_s: float) -> list[Action]:
        self._executor.flow_removed(flow, now_s)
        flow.closed = True
        actions: list[Action] = []
        for request in list(flow.requests.values()):
            flow.window.claim(request.seq)
            actions += self._executor.cancel(flow, request, now_s)
        flow.requests.clear()
        return actions

    def tick(self, now_s: float) -> list[Action]:
        """Forget answers that nobody fetched and cancel requests nobody awaits."""
        if now_s < self._next_sweep_s:
            return []
        self._next_sweep_s = now_s + self._settings.sweep_every_s
        actions: list[Action] = []
        for flow in self._table.with_requests():
            if not flow.frozen:
                actions += self._sweep(flow, now_s)
        return actions

    def _sweep(self, flow: OwnedFlow, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for request in list(flow.requests.values()):
            silent_s = now_s - request.heard_at_s
            if request.state == "receiving":
                if now_s >= request.deadline_at_s:
                    del flow.requests[request.seq]
            elif request.at_dispatcher or request.state == "suspended":
                if silent_s > self._settings.caller_silence_s:
                    actions += self._executor.cancel(flow, request, now_s)
            elif silent_s > self._settings.unacknowledged_s:
                del flow.requests[request.seq]
        return actions


def _progress(flow: OwnedFlow, request: OwnedRequest) -> Action:
    next_index = 0
    while next_index in request.parts:
        next_index += 1
    highest = max(request.parts, default=-1)
    missing = [
        index for index in range(next_index, highest) if index not in request.parts
    ]
    packet = RequestProgress(
        flow.flow_id,
        flow.binding,
        request.seq,
        next_index,
        missing[:MISSING_PARTS_MAX],
    )
    return SendToCaller(flow.caller, packet)


def _forgotten(flow: OwnedFlow, seq: int) -> Action:
    packet = Outcome(flow.flow_id, flow.binding, seq, "answer_forgotten", 0)
    return SendToCaller(flow.caller, packet)


def _come_back(flow: OwnedFlow, packet: TokenPacket, caller: CallerAddress) -> Action:
    seq = getattr(packet, "seq", 0)
    return SendToCaller(
        caller, Unreachable(flow.flow_id, flow.binding, seq, FROZEN_RETRY_MS)
    )

"""Intake of requests: parts in, one complete request to the dispatcher."""

from endivepick.core.actions import Action, Count, Log, SendToCaller
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.flow_table import FlowTable
from endivepick.core.messages import (
    PART_SIZE_BYTES,
    Refused,
    RequestHead,
    RequestPart,
)
from endivepick.core.packet_codec import decode_struct
from endivepick.core.replay_window import SeqState
from endivepick.core.replies import (
    accepted,
    come_back,
    forgotten,
    progress,
    repeat_state,
)
from endivepick.core.settings import FlowSettings
from endivepick.errors import PacketInvalidError

__all__ = ["RequestIntake"]

PUT_OFF_S = 1.0
"""How long a leaving owner puts requests off, and then takes them, in seconds."""
PARTS_PER_PROGRESS = 8
"""Request parts after which the owner reports what it has."""


class RequestIntake:
    """Accepts each request number once.

    Parameters
    ----------
    settings : FlowSettings
        Limits and times.
    table : FlowTable
        Flows of this instance.
    executor : RequestExecutor
        Runs complete requests.
    """

    def __init__(
        self, settings: FlowSettings, table: FlowTable, executor: RequestExecutor
    ) -> None:
        self._settings = settings
        self._table = table
        self._executor = executor
        self.leaving = False
        self._leaving_since_s = 0.0
        self._last_deadline_s = 0.0

    def begin_leaving(self, now_s: float, last_deadline_s: float) -> None:
        """Take requests only of flows that cannot be handed over yet.

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

    def take(self, flow: OwnedFlow, packet: RequestPart, now_s: float) -> list[Action]:
        """Take one part of a request of a flow that is held here."""
        request = flow.requests.get(packet.seq)
        if request is None:
            return self._new_request(flow, packet, now_s)
        request.heard_at_s = now_s
        if request.state == "receiving":
            return self._receive(flow, request, packet, now_s)
        return repeat_state(flow, request)

    def _new_request(
        self, flow: OwnedFlow, packet: RequestPart, now_s: float
    ) -> list[Action]:
        match flow.window.state(packet.seq):
            case SeqState.CLAIMED:
                return [forgotten(flow, packet.seq)]
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
            return [come_back(flow, packet.seq, flow.caller)]
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
        if packet.index in request.parts:
            # A part that is repeated asks what is missing.
            return [progress(flow, request)]
        request.parts[packet.index] = packet.data
        if len(request.parts) == request.part_count:
            return self._complete(flow, request, now_s)
        if len(request.parts) % PARTS_PER_PROGRESS:
            return []
        return [progress(flow, request)]

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
            return [forgotten(flow, request.seq)]
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
            accepted(flow, request.seq),
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

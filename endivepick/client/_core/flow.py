"""One flow: its token, its request numbers and its requests."""

from collections import deque

from endivepick.client._core.actions import Completed, RequestCall
from endivepick.client._core.flow_context import FlowContext, RepeatedPacket
from endivepick.client._core.request import RequestState
from endivepick.client._core.timing import NEVER_S, Backoff, compute_jitter
from endivepick.client.errors import NotRun
from endivepick.core.messages import (
    Accepted,
    Acknowledge,
    AnswerPart,
    FlowClosed,
    Opened,
    Outcome,
    Refused,
    Reissued,
    Renew,
    RequestProgress,
    Unreachable,
)

__all__ = ["FlowState", "RequestPacket"]

RequestPacket = (
    Accepted | RequestProgress | AnswerPart | Refused | Outcome | Unreachable
)

RENEW_RESEND_S = 0.2
RENEW_RESEND_MAX_S = 30.0
MIN_RENEW_S = 0.1
MAX_RENEW_S = 86_400.0
MAX_SEQ_SPAN = 64
"""No request starts with a number this far above the lowest unconfirmed one.

An owner may therefore discard all numbers 64 and more below one that arrives."""
LATE_REPLY_INTERVAL_S = 0.02
MAX_REMEMBERED_TOKENS = 8


class FlowState:
    """State of one open flow.

    Parameters
    ----------
    opened : Opened
        Packet with which the instance opened the flow.
    context : FlowContext
        State shared by the requests of the flow.
    seed : int
        Seed of the jitter of the flow's intervals.
    now_s : float
        Current time, in seconds.
    """

    def __init__(
        self, opened: Opened, context: FlowContext, seed: int, now_s: float
    ) -> None:
        self.flow_id = opened.flow_id
        self.due_at_s = NEVER_S
        self.queued_at_s = NEVER_S
        self._context = context
        self._seed = seed
        self._last_seq = 0
        self._active: dict[int, RequestState] = {}
        self._waiting: deque[RequestState] = deque()
        self._tokens: deque[bytes] = deque([opened.token], maxlen=MAX_REMEMBERED_TOKENS)
        self._renewal_count = 0
        self._renew_backoff = Backoff(seed, RENEW_RESEND_MAX_S)
        self._last_late_reply_at_s: dict[int, float] = {}
        self._schedule_renewal(opened.renew_after_s, now_s)
        context.log("flow_opened", "flow opened")

    def request(self, call: RequestCall, now_s: float) -> RequestState | None:
        """Send a request, or queue it until the limits allow it.

        Returns
        -------
        RequestState or None
            The request; None if it is too long and ended at once.
        """
        request = RequestState(call, self._context, self._seed ^ call.request_id)
        if request.payload_bytes > self._context.settings.max_request_bytes:
            error = NotRun("request is longer than max_request_bytes")
            self._context.outbox.emit(Completed(call.request_id, error))
            self._context.timers.cancel(request)
            return None
        self._waiting.append(request)
        self.start_requests(now_s)
        return request

    def close(self, now_s: float) -> None:
        """Cancel all requests and notify the owner."""
        for request in [*self._active.values(), *self._waiting]:
            request.cancel(now_s)
        self.start_requests(now_s)
        self.due_at_s = NEVER_S
        self._context.timers.cancel(self)
        self._context.log("flow_closed", "flow closed")
        packet = FlowClosed(self._context.token)
        self._context.timers.update(RepeatedPacket(packet, self._context.outbox, now_s))

    def on_due(self, now_s: float) -> None:
        """Request the next token."""
        self._context.outbox.send(Renew(self._context.token))
        self.due_at_s = now_s + self._renew_backoff.next_s(RENEW_RESEND_S)

    def start_requests(self, now_s: float) -> None:
        """Remove ended requests and start queued ones within the limits."""
        ended = [seq for seq, request in self._active.items() if request.ended]
        for seq in ended:
            del self._active[seq]
        while self._waiting and (self._waiting[0].ended or self._may_start()):
            request = self._waiting.popleft()
            if request.ended:
                continue
            if now_s >= request.call.deadline_at_s:
                request.on_due(now_s)
            else:
                self._start(request, now_s)

    def _may_start(self) -> bool:
        if len(self._active) >= self._context.settings.requests_per_flow:
            return False
        oldest = next(
            (seq for seq, request in self._active.items() if request.is_unconfirmed),
            self._last_seq,
        )
        return self._last_seq + 1 - oldest < MAX_SEQ_SPAN

    def _start(self, request: RequestState, now_s: float) -> None:
        self._last_seq += 1
        self._active[self._last_seq] = request
        request.start(self._last_seq, now_s)

    def on_packet(self, packet: RequestPacket, now_s: float) -> None:
        """Deliver a packet to its request if the binding and number are valid."""
        if not 0 < packet.seq <= self._last_seq:
            self._context.outbox.counts["unknown_request"] += 1
            return
        if packet.binding != self._context.binding:
            self._context.outbox.counts["other_binding"] += 1
            return
        request = self._active.get(packet.seq)
        if request is None:
            self._on_late_packet(packet, now_s)
            return
        self._deliver(request, packet, now_s)
        if request.ended:
            self.start_requests(now_s)

    def _deliver(
        self, request: RequestState, packet: RequestPacket, now_s: float
    ) -> None:
        match packet:
            case AnswerPart():
                request.on_part(packet, now_s)
            case Accepted():
                request.on_accepted(now_s)
                self.start_requests(now_s)
            case RequestProgress():
                request.on_progress(packet, now_s)
            case Refused():
                request.on_refused(packet)
            case Outcome():
                request.on_outcome(packet)
            case Unreachable():
                request.on_unreachable(packet, now_s)

    def _on_late_packet(self, packet: RequestPacket, now_s: float) -> None:
        self._context.outbox.counts["late"] += 1
        if not isinstance(packet, AnswerPart | Refused | Outcome):
            return
        replied_at_s = self._last_late_reply_at_s.get(
            packet.seq, -LATE_REPLY_INTERVAL_S
        )
        if now_s - replied_at_s < LATE_REPLY_INTERVAL_S:
            return
        self._last_late_reply_at_s = {packet.seq: now_s}
        token = self._context.token
        done = Acknowledge(token, packet.seq, 0, [], window=1, done=True)
        self._context.outbox.send(done)

    def on_reissued(self, packet: Reissued, now_s: float) -> None:
        """Use a new token.

        It is dropped if it was already used, or was issued for a binding other than
        the current one.
        """
        if packet.old_binding != self._context.binding or packet.token in self._tokens:
            self._context.outbox.counts["token_dropped"] += 1
            return
        if packet.continues != (packet.binding == packet.old_binding):
            self._context.outbox.counts["token_inconsistent"] += 1
            return
        self._context.token = packet.token
        self._tokens.append(packet.token)
        self._schedule_renewal(packet.renew_after_s, now_s)
        self._context.log("token_replaced", "token replaced")
        if packet.continues:
            self._continue_requests(now_s)
        else:
            self._replace_binding(packet.binding, now_s)

    def _continue_requests(self, now_s: float) -> None:
        for request in self._active.values():
            request.on_continued(now_s)

    def _replace_binding(self, binding: int, now_s: float) -> None:
        self._context.binding = binding
        self._context.log(
            "owner_lost", "owner lost; the flow continues with a new binding"
        )
        requests = list(self._active.values())
        self._active = {}
        for request in requests:
            if request.call.idempotent:
                self._last_seq += 1
                self._active[self._last_seq] = request
            request.on_owner_lost(self._last_seq, now_s)
        self.start_requests(now_s)

    def _schedule_renewal(self, renew_after_s: float, now_s: float) -> None:
        if not MIN_RENEW_S <= renew_after_s <= MAX_RENEW_S:
            renew_after_s = MAX_RENEW_S if renew_after_s > 1 else MIN_RENEW_S
        self._renewal_count += 1
        self._renew_backoff.reset()
        early_share = 0.1 * compute_jitter(self._seed, self._renewal_count)
        self.due_at_s = now_s + renew_after_s * (1 - early_share)
        self._context.timers.update(self)

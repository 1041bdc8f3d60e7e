"""One flow: its token, its request numbers and its requests."""

from collections import deque

from endivepick.client._core.actions import Completed, RequestCall
from endivepick.client._core.flow_context import FlowContext, Repeat
from endivepick.client._core.request import RequestState
from endivepick.client._core.timing import NEVER_S, Backoff, spread
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
SHORTEST_RENEW_S = 0.1
LONGEST_RENEW_S = 86_400.0
SEQ_SPAN = 64
"""No request starts this far above one that the owner may not know yet."""
LATE_REPLY_EVERY_S = 0.02
REMEMBERED_TOKENS = 8


class FlowState:
    """Drives one flow.

    Parameters
    ----------
    opened : Opened
        The instance's answer.
    context : FlowContext
        What the flow's requests share.
    seed : int
        Seed of the spread of its intervals.
    now_s : float
        Time, in seconds.
    """

    def __init__(
        self, opened: Opened, context: FlowContext, seed: int, now_s: float
    ) -> None:
        self.flow_id = opened.flow_id
        self.due_at_s = NEVER_S
        self.listed_at_s = NEVER_S
        self._context = context
        self._seed = seed
        self._last_seq = 0
        self._active: dict[int, RequestState] = {}
        self._waiting: deque[RequestState] = deque()
        self._tokens: deque[bytes] = deque([opened.token], maxlen=REMEMBERED_TOKENS)
        self._renewals = 0
        self._renew_backoff = Backoff(seed, RENEW_RESEND_MAX_S)
        self._late_reply_at_s: dict[int, float] = {}
        self._schedule_renewal(opened.renew_after_s, now_s)
        context.log("flow_opened", "flow opened")

    # Calls of the program and the clock

    def request(self, call: RequestCall, now_s: float) -> RequestState | None:
        """Send a request, or keep it until the limits allow it.

        Returns
        -------
        RequestState or None
            None if it is too long and has ended.
        """
        request = RequestState(call, self._context, self._seed ^ call.request_id)
        if request.payload_bytes > self._context.settings.max_request_bytes:
            error = NotRun("request is longer than max_request_bytes")
            self._context.outbox.emit(Completed(call.request_id, error))
            self._context.timers.cancel(request)
            return None
        self._waiting.append(request)
        self.settle(now_s)
        return request

    def close(self, now_s: float) -> None:
        """Cancel what is under way and tell the owner."""
        for request in [*self._active.values(), *self._waiting]:
            request.cancel(now_s)
        self.settle(now_s)
        self.due_at_s = NEVER_S
        self._context.timers.cancel(self)
        self._context.log("flow_closed", "flow closed")
        packet = FlowClosed(self._context.token)
        self._context.timers.update(Repeat(packet, self._context.outbox, now_s))

    def on_due(self, now_s: float) -> None:
        """Ask for the next token."""
        self._context.outbox.send(Renew(self._context.token))
        self.due_at_s = now_s + self._renew_backoff.next_s(RENEW_RESEND_S)

    def settle(self, now_s: float) -> None:
        """Forget what has ended and start what waits."""
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
            (seq for seq, request in self._active.items() if request.unconfirmed),
            self._last_seq,
        )
        return self._last_seq + 1 - oldest < SEQ_SPAN

    def _start(self, request: RequestState, now_s: float) -> None:
        self._last_seq += 1
        self._active[self._last_seq] = request
        request.start(self._last_seq, now_s)

    # Packets

    def on_packet(self, packet: RequestPacket, now_s: float) -> None:
        """Hand a packet to its request, if binding and number are right."""
        if not 0 < packet.seq <= self._last_seq:
            self._context.outbox.counts["unknown_request"] += 1
            return
        if packet.binding != self._context.binding:
            self._context.outbox.counts["other_binding"] += 1
            return
        request = self._active.get(packet.seq)
        if request is None:
            self._on_late(packet, now_s)
            return
        self._hand_over(request, packet, now_s)
        if request.ended:
            self.settle(now_s)

    def _hand_over(
        self, request: RequestState, packet: RequestPacket, now_s: float
    ) -> None:
        match packet:
            case AnswerPart():
                request.on_part(packet, now_s)
            case Accepted():
                request.on_accepted(now_s)
                self.settle(now_s)
            case RequestProgress():
                request.on_progress(packet, now_s)
            case Refused():
                request.on_refused(packet)
            case Outcome():
                request.on_outcome(packet)
            case Unreachable():
                request.on_unreachable(packet, now_s)

    def _on_late(self, packet: RequestPacket, now_s: float) -> None:
        self._context.outbox.counts["late"] += 1
        if not isinstance(packet, AnswerPart | Refused | Outcome):
            return
        replied_at_s = self._late_reply_at_s.get(packet.seq, -LATE_REPLY_EVERY_S)
        if now_s - replied_at_s < LATE_REPLY_EVERY_S:
            return
        self._late_reply_at_s = {packet.seq: now_s}
        token = self._context.token
        done = Acknowledge(token, packet.seq, 0, [], window=1, done=True)
        self._context.outbox.send(done)

    # New tokens

    def on_reissued(self, packet: Reissued, now_s: float) -> None:
        """Use a new token, unless it replaces one that was replaced already."""
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
        self._context.log("owner_lost", "owner lost, new binding in use")
        requests = list(self._active.values())
        self._active = {}
        for request in requests:
            if request.call.idempotent:
                self._last_seq += 1
                self._active[self._last_seq] = request
            request.on_owner_lost(self._last_seq, now_s)
        self.settle(now_s)

    def _schedule_renewal(self, renew_after_s: float, now_s: float) -> None:
        if not SHORTEST_RENEW_S <= renew_after_s <= LONGEST_RENEW_S:
            renew_after_s = LONGEST_RENEW_S if renew_after_s > 1 else SHORTEST_RENEW_S
        self._renewals += 1
        self._renew_backoff.reset()
        early = 0.1 * spread(self._seed, self._renewals)
        self.due_at_s = now_s + renew_after_s * (1 - early)
        self._context.timers.update(self)

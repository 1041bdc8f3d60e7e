"""State of one request, from its first part to its result."""

from endivepick.client._core.actions import Completed, RequestCall
from endivepick.client._core.attempt import Attempt
from endivepick.client._core.collector import (
    AnswerUnusableError,
    BodyCollector,
    Collector,
    StreamCollector,
)
from endivepick.client._core.flow_context import FlowContext
from endivepick.client._core.timing import (
    NEVER_S,
    Backoff,
    clamp_retry_s,
    compute_jitter,
)
from endivepick.client.errors import GaveUp, NotRun, OutcomeUnknown, RequestError
from endivepick.client.model import Answer
from endivepick.core.chart import load_chart
from endivepick.core.messages import (
    AnswerPart,
    Outcome,
    Refused,
    RequestProgress,
    Unreachable,
)

__all__ = ["RequestState"]

_CHART = load_chart("request")
REISSUE_JITTER_S = 0.01
PAIRS_FROM_S = 0.2
"""Shortest wait after which a part or poll is repeated twice, in seconds.

The fabric continues to send a share of all datagrams to an instance that was just
killed. Without the second repetition, the loss of one would cost the whole next
wait.
"""


class RequestState:
    """State of one request; follows the state chart ``request``.

    Parameters
    ----------
    call : RequestCall
        Request of the program.
    context : FlowContext
        State shared by the requests of the flow.
    seed : int
        Seed of the jitter of the request's intervals.

    Attributes
    ----------
    state : str
        Current state of the chart.
    due_at_s : float
        Time at which `on_due` is called next.
    """

    def __init__(self, call: RequestCall, context: FlowContext, seed: int) -> None:
        self.call = call
        self.state = _CHART.initial
        self.due_at_s = call.deadline_at_s
        self.queued_at_s = NEVER_S
        self._context = context
        self._seed = seed
        self._may_have_run = False
        self._backoff = self._resend_backoff()
        self._collector = self._new_collector()
        self._attempt = Attempt(call, call.head, context)
        context.timers.update(self)

    def _new_collector(self) -> Collector:
        if self.call.head.stream:
            return StreamCollector(self.call.request_id, self._context.outbox)
        return BodyCollector(self._context.settings.max_answer_bytes)

    @property
    def ended(self) -> bool:
        """Whether the request has ended."""
        return self.state in _CHART.final

    @property
    def is_unconfirmed(self) -> bool:
        """Whether the owner may not have received the whole request yet."""
        return self.state == "sending"

    @property
    def payload_bytes(self) -> int:
        """Size of the encoded request."""
        return self._attempt.payload_bytes

    def start(self, seq: int, now_s: float) -> None:
        """Send the first parts under the request number ``seq``."""
        self._attempt.seq = seq
        self._step("send")
        self._begin_sending(now_s)

    def cancel(self, now_s: float) -> None:
        """Cancel the request on behalf of the program."""
        self._abandon("cancel", now_s, OutcomeUnknown("cancelled"), "cancelled")

    def on_due(self, now_s: float) -> None:
        """Retransmit or poll, or abandon the request at the deadline."""
        if now_s >= self.call.deadline_at_s:
            self._abandon(
                "expire", now_s, GaveUp(), "deadline passed before it was sent"
            )
        elif self.state == "sending":
            self._context.outbox.counts["resend"] += 1
            self._attempt.resend(now_s)
            self._schedule_resend(now_s)
        elif self.state in ("accepted", "receiving"):
            self._poll(now_s)
        else:
            self.due_at_s = self.call.deadline_at_s

    def _abandon(
        self, event: str, now_s: float, error: RequestError, unsent_reason: str
    ) -> None:
        if self._attempt.seq == 0:
            self._end(event, NotRun(unsent_reason))
            return
        self._log("request_given_up", "request cancelled or deadline passed")
        self._attempt.cancel(now_s)
        self._end(event, error)

    def on_accepted(self, now_s: float) -> None:
        """Stop sending parts and wait for the answer."""
        if self.state != "sending":
            self._end_poll_pair(now_s)
            return
        self._attempt.on_accepted(now_s)
        self._step("accept")
        limit_s = self._context.settings.poll_max_s
        self._backoff = Backoff(self._seed, limit_s, PAIRS_FROM_S)
        self._schedule(now_s + self._context.settings.poll_min_s)

    def _end_poll_pair(self, now_s: float) -> None:
        """Skip the second poll of a pair, because the owner has answered."""
        if self._backoff.end_pair():
            self._schedule(now_s + self._backoff.next_s(self._poll_base_s))

    def on_progress(self, packet: RequestProgress, now_s: float) -> None:
        """Send the parts that the owner lacks."""
        if self.state == "sending":
            self._step("progress")
            if self._attempt.on_progress(packet, now_s):
                self._backoff.reset()
                self._schedule(now_s + self._context.round_trip.resend_s)
        elif packet.next_index == 0 and not packet.missing:
            # The owner has no state for this request: send it again from the first
            # part.
            self._step("forget")
            self._begin_sending(now_s)
        else:
            self._context.outbox.counts["stale_progress"] += 1

    def on_part(self, packet: AnswerPart, now_s: float) -> None:
        """Process a part of the answer."""
        receiver = self._attempt.receiver
        reported_at_s = receiver.missing_parts.reported_once_at_s(packet.index)
        if not receiver.accept(packet.index, packet.final, packet.data, now_s):
            self._context.outbox.counts["duplicate_part"] += 1
            return
        self._step("part")
        if reported_at_s is not None:
            self._context.round_trip.add_sample(now_s - reported_at_s)
        if self._collect_ready_parts():
            self._continue_receiving(now_s)

    def _collect_ready_parts(self) -> bool:
        try:
            for index, data in self._attempt.receiver.take_ready():
                self._collector.add(index, data)
        except AnswerUnusableError as error:
            self._attempt.acknowledge_end()
            self._end("fail", OutcomeUnknown(str(error)))
            return False
        return True

    def _continue_receiving(self, now_s: float) -> None:
        receiver = self._attempt.receiver
        if receiver.complete:
            self._log("answer_received", "complete answer received")
            self._attempt.acknowledge_end()
            self._end("complete", self._collector.finish())
            return
        missing = receiver.report_if_due(now_s, self._context.round_trip.repeat_s)
        if missing is not None:
            self._attempt.acknowledge(missing)
        self._backoff.reset()
        self._schedule(now_s + self._poll_base_s)

    def on_refused(self, packet: Refused) -> None:
        """End with `NotRun`, unless an earlier attempt may have run."""
        if not _CHART.allows(self.state, "refuse"):
            self._context.outbox.counts["refused_after_answer"] += 1
            return
        self._log("request_refused", "request refused")
        self._attempt.acknowledge_end()
        if self._may_have_run:
            reason = f"{packet.reason}, and an earlier attempt may have run"
            self._end("fail", OutcomeUnknown(reason, packet.retry_after_ms))
        else:
            self._end("refuse", NotRun(packet.reason, packet.retry_after_ms))

    def on_outcome(self, packet: Outcome) -> None:
        """End with `OutcomeUnknown`."""
        self._log("outcome_unknown", "outcome unknown")
        self._attempt.acknowledge_end()
        self._end("fail", OutcomeUnknown(packet.reason, packet.retry_after_ms))

    def on_unreachable(self, packet: Unreachable, now_s: float) -> None:
        """Wait as long as the relay requests, then repeat under the same number."""
        wait_s = clamp_retry_s(packet.retry_after_ms)
        wait_s = max(wait_s, self._context.settings.resend_min_s)
        self._backoff.reset()
        self._attempt.invalidate_round_trip()
        self._schedule(now_s + wait_s * (1 + self._compute_jitter() / 4))

    def on_continued(self, now_s: float) -> None:
        """Continue under a new token of the same binding."""
        self._backoff.reset()
        self._attempt.invalidate_round_trip()
        if self.state == "sending":
            # A new owner has none of the parts that the previous owner confirmed.
            self._attempt.reset_confirmations()
        self._schedule(now_s + REISSUE_JITTER_S * self._compute_jitter())

    def on_owner_lost(self, seq: int, now_s: float) -> None:
        """Start again under a new binding if idempotent; otherwise end."""
        if not self.call.idempotent:
            self._end("fail", OutcomeUnknown("the owner of the flow was lost"))
            return
        self._may_have_run = True
        self._step("reissue")
        self._collector.restart()
        head = self._collector.build_resumed_request(self.call.head)
        self._attempt = Attempt(self.call, head, self._context)
        self._attempt.seq = seq
        self._begin_sending(now_s)

    def _begin_sending(self, now_s: float) -> None:
        self._log("request_sent", "request sent")
        self._attempt.send_all(now_s)
        self._backoff = self._resend_backoff()
        self._schedule_resend(now_s)

    def _resend_backoff(self) -> Backoff:
        limit_s = self._context.settings.resend_max_s
        return Backoff(self._seed, limit_s, PAIRS_FROM_S)

    def _schedule_resend(self, now_s: float) -> None:
        resend_s = self._context.round_trip.resend_s
        self._schedule(now_s + self._backoff.next_s(resend_s))

    def _poll(self, now_s: float) -> None:
        self._context.outbox.counts["poll"] += 1
        self._attempt.acknowledge(self._attempt.receiver.collect_parts_for_poll(now_s))
        self._schedule(now_s + self._backoff.next_s(self._poll_base_s))

    @property
    def _poll_base_s(self) -> float:
        if self._attempt.receiver.missing_parts:
            return self._context.round_trip.repeat_s
        if self.state == "accepted" or self.call.head.stream:
            return self._context.settings.poll_min_s
        return self._context.round_trip.resend_s

    def _schedule(self, at_s: float) -> None:
        self.due_at_s = min(at_s, self.call.deadline_at_s)
        self._context.timers.update(self)

    def _compute_jitter(self) -> float:
        return compute_jitter(self._seed, self._attempt.seq)

    def _log(self, name: str, message: str) -> None:
        self._context.log(name, message, self._attempt.seq)

    def _step(self, event: str) -> None:
        self.state = _CHART.step(self.state, event)

    def _end(self, event: str, result: Answer | RequestError) -> None:
        self._step(event)
        self.due_at_s = NEVER_S
        self._context.timers.cancel(self)
        self._context.outbox.emit(Completed(self.call.request_id, result))

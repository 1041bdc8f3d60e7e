"""One request, from its first part to its end."""

from endivepick.client._core.actions import Completed, RequestCall
from endivepick.client._core.attempt import Attempt
from endivepick.client._core.collector import (
    AnswerUnusableError,
    BodyCollector,
    Collector,
    StreamCollector,
)
from endivepick.client._core.flow_context import FlowContext
from endivepick.client._core.timing import NEVER_S, Backoff, clamp_retry_s, spread
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
REISSUE_SPREAD_S = 0.01
PAIRS_FROM_S = 0.2
"""Wait from which a part or poll is repeated twice, in seconds.

The fabric goes on to send a share of all datagrams to an instance that was just
killed; the loss of one repetition would cost the whole next wait.
"""


class RequestState:
    """Drives one request; follows the chart ``request``.

    Parameters
    ----------
    call : RequestCall
        What to send.
    context : FlowContext
        What the flow's requests share.
    seed : int
        Seed of the spread of its intervals.

    Attributes
    ----------
    state : str
        State of the chart.
    due_at_s : float
        When `on_due` has to be called.
    """

    def __init__(self, call: RequestCall, context: FlowContext, seed: int) -> None:
        self.call = call
        self.state = _CHART.initial
        self.due_at_s = call.deadline_at_s
        self.listed_at_s = NEVER_S
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
        """Whether nothing more happens."""
        return self.state in _CHART.final

    @property
    def unconfirmed(self) -> bool:
        """Whether the owner may not know the request yet."""
        return self.state == "sending"

    @property
    def payload_bytes(self) -> int:
        """Size of the encoded request."""
        return self._attempt.payload_bytes

    # Calls of the program and the clock

    def start(self, seq: int, now_s: float) -> None:
        """Send the first parts under a number."""
        self._attempt.seq = seq
        self._step("send")
        self._begin_sending(now_s)

    def cancel(self, now_s: float) -> None:
        """Give up because the program wants it."""
        self._give_up("cancel", now_s, OutcomeUnknown("cancelled"), "cancelled")

    def on_due(self, now_s: float) -> None:
        """Repeat what was not answered, or give up at the deadline."""
        if now_s >= self.call.deadline_at_s:
            self._give_up(
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

    def _give_up(
        self, event: str, now_s: float, error: RequestError, unsent_reason: str
    ) -> None:
        if self._attempt.seq == 0:
            self._end(event, NotRun(unsent_reason))
            return
        self._log("request_given_up", "request given up")
        self._attempt.cancel(now_s)
        self._end(event, error)

    # Packets

    def on_accepted(self, now_s: float) -> None:
        """Stop sending parts and begin to wait, or go on to wait."""
        if self.state != "sending":
            self._skip_second_poll(now_s)
            return
        self._attempt.on_accepted(now_s)
        self._step("accept")
        limit_s = self._context.settings.poll_max_s
        self._backoff = Backoff(self._seed, limit_s, PAIRS_FROM_S)
        self._schedule(now_s + self._context.settings.poll_min_s)

    def _skip_second_poll(self, now_s: float) -> None:
        """Poll at the usual pace: the owner has answered."""
        if self._backoff.skip_second():
            self._schedule(now_s + self._backoff.next_s(self._poll_base_s))

    def on_progress(self, packet: RequestProgress, now_s: float) -> None:
        """Send the parts that the owner misses."""
        if self.state == "sending":
            self._step("progress")
            if self._attempt.on_progress(packet, now_s):
                self._backoff.reset()
                self._schedule(now_s + self._context.round_trip.resend_s)
        elif packet.next_index == 0 and not packet.missing:
            self._step("forget")
            self._begin_sending(now_s)
        else:
            self._context.outbox.counts["stale_progress"] += 1

    def on_part(self, packet: AnswerPart, now_s: float) -> None:
        """Take a part of the answer."""
        receiver = self._attempt.receiver
        asked_at_s = receiver.holes.asked_once_at_s(packet.index)
        if not receiver.accept(packet.index, packet.final, packet.data, now_s):
            self._context.outbox.counts["duplicate_part"] += 1
            return
        self._step("part")
        if asked_at_s is not None:
            self._context.round_trip.sample(now_s - asked_at_s)
        if self._hand_on():
            self._go_on_receiving(now_s)

    def _hand_on(self) -> bool:
        try:
            for index, data in self._attempt.receiver.take_ready():
                self._collector.add(index, data)
        except AnswerUnusableError as error:
            self._attempt.acknowledge_end()
            self._end("fail", OutcomeUnknown(str(error)))
            return False
        return True

    def _go_on_receiving(self, now_s: float) -> None:
        receiver = self._attempt.receiver
        if receiver.complete:
            self._log("answer_received", "whole answer received")
            self._attempt.acknowledge_end()
            self._end("complete", self._collector.finish())
            return
        missing = receiver.report_if_due(now_s, self._context.round_trip.repeat_s)
        if missing is not None:
            self._attempt.acknowledge(missing)
        self._backoff.reset()
        self._schedule(now_s + self._poll_base_s)

    def on_refused(self, packet: Refused) -> None:
        """End as not run, unless an earlier attempt may have run."""
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
        """End with an unknown outcome."""
        self._log("outcome_unknown", "outcome unknown")
        self._attempt.acknowledge_end()
        self._end("fail", OutcomeUnknown(packet.reason, packet.retry_after_ms))

    def on_unreachable(self, packet: Unreachable, now_s: float) -> None:
        """Wait as long as the relay says, then repeat under the same number."""
        wait_s = clamp_retry_s(packet.retry_after_ms)
        wait_s = max(wait_s, self._context.settings.resend_min_s)
        self._backoff.reset()
        self._attempt.spoil_round_trip()
        self._schedule(now_s + wait_s * (1 + self._spread() / 4))

    # New tokens

    def on_continued(self, now_s: float) -> None:
        """Go on under a new token of the same binding."""
        self._backoff.reset()
        self._attempt.spoil_round_trip()
        if self.state == "sending":
            # A new owner has none of the parts that the last one confirmed.
            self._attempt.forget_confirmed()
        self._schedule(now_s + REISSUE_SPREAD_S * self._spread())

    def on_owner_lost(self, seq: int, now_s: float) -> None:
        """Begin again under a new binding if idempotent, else end."""
        if not self.call.idempotent:
            self._end("fail", OutcomeUnknown("the owner of the flow was lost"))
            return
        self._may_have_run = True
        self._step("reissue")
        self._collector.restart()
        head = self._collector.resumed(self.call.head)
        self._attempt = Attempt(self.call, head, self._context)
        self._attempt.seq = seq
        self._begin_sending(now_s)

    # Timing

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
        self._attempt.acknowledge(self._attempt.receiver.probe(now_s))
        self._schedule(now_s + self._backoff.next_s(self._poll_base_s))

    @property
    def _poll_base_s(self) -> float:
        if self._attempt.receiver.holes:
            return self._context.round_trip.repeat_s
        if self.state == "accepted" or self.call.head.stream:
            return self._context.settings.poll_min_s
        return self._context.round_trip.resend_s

    def _schedule(self, at_s: float) -> None:
        self.due_at_s = min(at_s, self.call.deadline_at_s)
        self._context.timers.update(self)

    def _spread(self) -> float:
        return spread(self._seed, self._attempt.seq)

    # State

    def _log(self, name: str, message: str) -> None:
        self._context.log(name, message, self._attempt.seq)

    def _step(self, event: str) -> None:
        self.state = _CHART.step(self.state, event)

    def _end(self, event: str, result: Answer | RequestError) -> None:
        self._step(event)
        self.due_at_s = NEVER_S
        self._context.timers.cancel(self)
        self._context.outbox.emit(Completed(self.call.request_id, result))

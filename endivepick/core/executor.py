"""Runs requests at targets: from a complete request to its final word."""

from collections.abc import Callable, Hashable

from endivepick.core.actions import (
    Action,
    CancelAttempt,
    Count,
    Log,
    Observe,
    RequestId,
    SendToCaller,
    StartAttempt,
)
from endivepick.core.answer_buffer import AnswerBuffer
from endivepick.core.dispatch import (
    CancelRunning,
    Decision,
    Fail,
    FinishKind,
    Queued,
    Refuse,
    Repin,
    ServiceDispatcher,
    Start,
)
from endivepick.core.events import (
    AttemptAnswered,
    AttemptFailed,
    StreamData,
    StreamEnded,
    StreamOpened,
)
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.flow_request import HeldRequest, send_unsent_parts
from endivepick.core.flow_table import FlowTable
from endivepick.core.messages import AnswerHead, Outcome, Refused
from endivepick.core.settings import FlowSettings

__all__ = ["RequestExecutor"]

UNKNOWN_SERVICE_RETRY_MS = 1000
NO_RETRY_MS = 0
INSTANCE_STOPPED = "instance_stopped"
"""Why a request was cut: its instance had no more time to wait for it."""
_MAY_HAVE_RUN = frozenset({FinishKind.BROKEN, FinishKind.LATE})


class RequestExecutor:
    """Carries complete requests through the dispatcher of their service.

    Parameters
    ----------
    settings : FlowSettings
        Limits and times.
    table : FlowTable
        Flows of this instance.
    random_number : callable
        Returns a float from 0 up to 1.
    """

    def __init__(
        self,
        settings: FlowSettings,
        table: FlowTable,
        random_number: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._table = table
        self._random_number = random_number
        self.dispatchers: dict[str, ServiceDispatcher] = {}
        self._at_target: dict[RequestId, str] = {}

    def register_flow(self, flow: OwnedFlow, now_s: float) -> None:
        """Count a flow that came with its target from another owner."""
        dispatcher = self.dispatchers.get(flow.service)
        if dispatcher is not None:
            dispatcher.adopt_flow(flow.target, flow.activity, now_s)

    def unregister_flow(self, flow: OwnedFlow, now_s: float) -> None:
        """Count a flow out of its target that was closed, dropped or given away."""
        dispatcher = self.dispatchers.get(flow.service)
        if dispatcher is not None and not flow.closed:
            dispatcher.close_flow(flow.target, flow.activity, now_s)

    def submit(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Hand a complete request to the dispatcher."""
        request.submissions += 1
        held = HeldRequest(flow, request)
        dispatcher = self.dispatchers.get(flow.service)
        if dispatcher is None:
            return self._refuse(held, "unknown_service", UNKNOWN_SERVICE_RETRY_MS)
        intent = held.intent()
        decisions = dispatcher.submit(intent, now_s, self._random_number())
        return self.apply_decisions(decisions, now_s)

    def apply_decisions(self, decisions: list[Decision], now_s: float) -> list[Action]:
        """Turn the dispatcher's decisions into actions."""
        actions: list[Action] = []
        for decision in decisions:
            actions += self._carry_out_one(decision, now_s)
        return actions

    def _carry_out_one(self, decision: Decision, now_s: float) -> list[Action]:
        held = self._find(decision.request_id)
        if held is None:
            return []
        match decision:
            case Start():
                return self._start(held, decision)
            case Refuse() | Fail() if held.request.can_resume:
                return self._put_off(held, decision.reason.value)
            case Refuse(reason=reason, retry_after_ms=retry_after_ms):
                return self._refuse(held, reason.value, retry_after_ms)
            case Fail(reason=reason, retry_after_ms=retry_after_ms):
                return self._fail(held, reason.value, retry_after_ms)
            case CancelRunning():
                return [CancelAttempt(held.request_id, held.request.attempt)]
            case Repin(new_target=new_target):
                held.flow.target = new_target
                return []
            case Queued():
                return []

    def _find(self, request_id: Hashable) -> HeldRequest | None:
        assert isinstance(request_id, tuple)
        binding, seq, submission = request_id
        flow = self._table.get(binding)
        request = flow.requests.get(seq) if flow else None
        if flow is None or request is None or request.submissions != submission:
            return None
        return HeldRequest(flow, request)

    def _start(self, held: HeldRequest, start: Start) -> list[Action]:
        flow, request = held.flow, held.request
        assert request.head is not None
        request.step("start")
        request.attempt += 1
        self._at_target[held.request_id] = flow.service
        retries: list[Action] = []
        if request.last_failure:
            retries.append(Count("attempts_retried", request.last_failure))
        return [
            *retries,
            Log(
                "owner",
                "attempt_started",
                "request sent to target",
                held.ids(target=start.target, attempt=request.attempt),
            ),
            StartAttempt(
                request_id=held.request_id,
                attempt=request.attempt,
                service=flow.service,
                target=start.target,
                target_incarnation=start.target_incarnation,
                address=start.address,
                head=request.head,
                idempotency_key=held.idempotency_key,
                idempotent=request.idempotent,
                timeout_s=start.timeout_s,
                last_event_id=request.last_event_id,
            ),
        ]

    def _put_off(self, held: HeldRequest, reason: str) -> list[Action]:
        """Keep a stream that no target takes now; its caller's next word resumes it."""
        held.request.step("freeze")
        ids = held.ids(reason=reason)
        return [Log("owner", "stream_put_off", "no target for the stream yet", ids)]

    def _refuse(
        self, held: HeldRequest, reason: str, retry_after_ms: int
    ) -> list[Action]:
        flow, request = held.flow, held.request
        if request.may_have_run:
            return self._fail(held, reason, retry_after_ms)
        request.step("refuse")
        request.verdict = Refused(
            flow.flow_id, flow.binding, request.seq, reason, retry_after_ms
        )
        return [
            Log(
                "owner",
                "request_refused",
                "request refused before any run",
                held.ids(reason=reason),
            ),
            SendToCaller(flow.caller, request.verdict),
            Count("refused", reason),
        ]

    def _fail(
        self, held: HeldRequest, reason: str, retry_after_ms: int = NO_RETRY_MS
    ) -> list[Action]:
        flow, request = held.flow, held.request
        request.step("fail")
        request.answer = None
        request.verdict = Outcome(
            flow.flow_id, flow.binding, request.seq, reason, retry_after_ms
        )
        return [
            Log(
                "owner",
                "outcome_unknown",
                "request may have run",
                held.ids(reason=reason),
            ),
            SendToCaller(flow.caller, request.verdict),
            Count("outcome_unknown", reason),
        ]

    def _running(self, request_id: RequestId, attempt: int) -> HeldRequest | None:
        """Find the request of an attempt; None if the attempt is an old one."""
        held = self._find(request_id)
        if held is None or held.request.attempt != attempt:
            return None
        if held.request.state != "running":
            return None
        return held

    def answered(self, event: AttemptAnswered, now_s: float) -> list[Action]:
        """Take a target's whole answer."""
        held = self._running(event.request_id, event.attempt)
        if held is None:
            return self._free_slot(event.request_id, now_s)
        request = held.request
        request.step("finish")
        request.answer = AnswerBuffer()
        request.answer.begin(AnswerHead(event.status, event.headers))
        request.answer.extend(event.body)
        request.answer.finish()
        waited_s = now_s - request.accepted_at_s
        actions: list[Action] = [
            Log(
                "owner",
                "request_answered",
                "answer is complete",
                held.ids(status=event.status),
            ),
            Observe("time_to_answer_s", held.flow.service, waited_s),
        ]
        actions += send_unsent_parts(held.flow, request)
        actions += self._finished(held, FinishKind.OK, event.duration_s, now_s)
        return actions

    def failed(self, event: AttemptFailed, now_s: float) -> list[Action]:
        """Take the end of an attempt that has no answer."""
        held = self._running(event.request_id, event.attempt)
        if held is None:
            return self._free_slot(event.request_id, now_s)
        if event.kind in _MAY_HAVE_RUN:
            held.request.may_have_run = True
        held.request.last_failure = event.kind.value
        held.request.step("requeue")
        actions: list[Action] = [
            Log(
                "owner",
                "attempt_failed",
                "attempt ended without an answer",
                held.ids(reason=event.kind.value),
            )
        ]
        actions += self._finished(
            held, event.kind, event.duration_s, now_s, event.retry_after_s
        )
        return actions

    def _free_slot(self, request_id: RequestId, now_s: float) -> list[Action]:
        """Take the end of an attempt that nobody waits for any more."""
        service = self._at_target.pop(request_id, "")
        dispatcher = self.dispatchers.get(service)
        if dispatcher is None:
            return []
        decisions = dispatcher.finished(request_id, now_s, FinishKind.CANCELLED, 0.0)
        return self.apply_decisions(decisions, now_s)

    def _finished(
        self,
        held: HeldRequest,
        kind: FinishKind,
        duration_s: float,
        now_s: float,
        retry_after_s: float = 0.0,
    ) -> list[Action]:
        self._at_target.pop(held.request_id, None)
        dispatcher = self.dispatchers.get(held.flow.service)
        if dispatcher is None:
            return [] if kind is FinishKind.OK else self._fail(held, "unknown_service")
        decisions = dispatcher.finished(
            held.request_id, now_s, kind, duration_s, retry_after_s
        )
        return self.apply_decisions(decisions, now_s)

    def stream_opened(self, event: StreamOpened) -> list[Action]:
        """Take the head of a stream; a resumed stream goes on under its first."""
        held = self._running(event.request_id, event.attempt)
        if held is None or held.request.answer is not None:
            return []
        held.request.answer = AnswerBuffer()
        held.request.answer.begin(AnswerHead(event.status, event.headers))
        return send_unsent_parts(held.flow, held.request)

    def stream_data(self, event: StreamData, now_s: float) -> list[Action]:
        """Take one event of a stream."""
        held = self._running(event.request_id, event.attempt)
        if held is None or held.request.answer is None:
            return []
        request = held.request
        assert request.answer is not None
        request.answer.extend(event.data)
        request.last_event_id = event.event_id or request.last_event_id
        actions = send_unsent_parts(held.flow, request)
        if request.answer.size_bytes > self._settings.stream_buffer_bytes:
            actions += self.suspend_stream(held.flow, request)
        return actions

    def stream_ended(self, event: StreamEnded, now_s: float) -> list[Action]:
        """Take the end of a stream."""
        held = self._running(event.request_id, event.attempt)
        if held is None:
            return self._free_slot(event.request_id, now_s)
        held.request.step("finish")
        if held.request.answer is None:
            held.request.answer = AnswerBuffer()
        held.request.answer.finish()
        actions = send_unsent_parts(held.flow, held.request)
        actions += self._finished(held, FinishKind.OK, 0.0, now_s)
        return actions

    def suspend_stream(self, flow: OwnedFlow, request: OwnedRequest) -> list[Action]:
        """Close a stream at its target; it can be resumed after its last event."""
        # Its next attempt may reach the target before a cancellation of this one.
        actions = self._leave_target(flow, request, by_key=False)
        request.may_have_run = True
        request.step("freeze")
        return actions

    def pause(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Let a stream rest, whether it runs or waits, until it is resumed."""
        if request.state == "running":
            return self.suspend_stream(flow, request)
        actions = self.withdraw_request(flow, request, now_s)
        request.step("freeze")
        return actions

    def abort_running(self, flow: OwnedFlow, request: OwnedRequest) -> list[Action]:
        """Give up an attempt because this instance has to end.

        An idempotent request waits for its next attempt, at the successor; the
        outcome of any other is unknown.
        """
        actions = self._leave_target(flow, request, by_key=not request.idempotent)
        if not request.idempotent:
            return actions + self._fail(HeldRequest(flow, request), INSTANCE_STOPPED)
        request.may_have_run = True
        request.step("requeue")
        return actions

    def resume_stream(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Open a suspended stream again after its last event."""
        request.step("resume")
        return self.submit(flow, request, now_s)

    def withdraw_request(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Take a request that waits back from the dispatcher."""
        return self._leave_dispatcher(flow, request, now_s)

    def cancel(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Give a request up, at its target too if it runs."""
        if not request.allows("cancel"):
            return []
        actions: list[Action] = []
        if request.state == "running":
            actions += self._leave_target(flow, request)
        elif request.state == "waiting":
            actions += self._leave_dispatcher(flow, request, now_s)
        request.step("cancel")
        request.answer = None
        actions.append(
            Log(
                "owner",
                "request_cancelled",
                "request cancelled",
                HeldRequest(flow, request).ids(),
            )
        )
        return actions

    def _leave_target(
        self, flow: OwnedFlow, request: OwnedRequest, by_key: bool = True
    ) -> list[Action]:
        # The slot stays taken until the attempt has reported its end.
        request_id = HeldRequest(flow, request).request_id
        return [CancelAttempt(request_id, request.attempt, by_key)]

    def _leave_dispatcher(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        dispatcher = self.dispatchers.get(flow.service)
        if dispatcher is None:
            return []
        request_id = HeldRequest(flow, request).request_id
        decisions = dispatcher.cancel(request_id, now_s)
        others = [
            decision for decision in decisions if decision.request_id != request_id
        ]
        return self.apply_decisions(others, now_s)

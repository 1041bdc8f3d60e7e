"""Execution of complete requests at targets."""

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
from endivepick.core.flow_request import FlowRequest, send_unsent_parts
from endivepick.core.flow_table import FlowTable
from endivepick.core.messages import AnswerHead, Outcome, Refused
from endivepick.core.settings import FlowSettings

__all__ = ["RequestExecutor"]

UNKNOWN_SERVICE_RETRY_MS = 1000
NO_RETRY_MS = 0
INSTANCE_STOPPED = "instance_stopped"
"""Reason of an attempt that was aborted because its instance had to stop."""
_MAY_HAVE_RUN = frozenset({FinishKind.BROKEN, FinishKind.LATE})


class RequestExecutor:
    """Runs complete requests through the dispatcher of their service.

    Parameters
    ----------
    settings : FlowSettings
        Limits and timeouts.
    table : FlowTable
        Flows of this instance.
    random_number : callable
        Returns a float in the interval [0, 1).

    Attributes
    ----------
    dispatchers : dict
        Dispatchers by service name.
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
        self._attempt_services: dict[RequestId, str] = {}

    def register_flow(self, flow: OwnedFlow, now_s: float) -> None:
        """Register a flow from another owner at its target."""
        dispatcher = self.dispatchers.get(flow.service)
        if dispatcher is not None:
            dispatcher.adopt_flow(flow.target, flow.activity, now_s)

    def unregister_flow(self, flow: OwnedFlow, now_s: float) -> None:
        """Unregister a closing, expired or handed-over flow from its target.

        This has no effect on a flow already marked closed, which was unregistered
        when it closed.
        """
        dispatcher = self.dispatchers.get(flow.service)
        if dispatcher is not None and not flow.closed:
            dispatcher.close_flow(flow.target, flow.activity, now_s)

    def submit(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Submit a complete request to the dispatcher."""
        request.submissions += 1
        flow_request = FlowRequest(flow, request)
        dispatcher = self.dispatchers.get(flow.service)
        if dispatcher is None:
            return self._refuse(
                flow_request, "unknown_service", UNKNOWN_SERVICE_RETRY_MS
            )
        intent = flow_request.intent()
        decisions = dispatcher.submit(intent, now_s, self._random_number())
        return self.apply_decisions(decisions, now_s)

    def apply_decisions(self, decisions: list[Decision], now_s: float) -> list[Action]:
        """Convert the dispatcher's decisions into actions."""
        actions: list[Action] = []
        for decision in decisions:
            actions += self._apply_decision(decision, now_s)
        return actions

    def _apply_decision(self, decision: Decision, now_s: float) -> list[Action]:
        flow_request = self._find_request(decision.request_id)
        if flow_request is None:
            return []
        match decision:
            case Start():
                return self._start(flow_request, decision)
            case Refuse() | Fail() if flow_request.request.can_resume:
                return self._suspend_unplaced_stream(
                    flow_request, decision.reason.value
                )
            case Refuse(reason=reason, retry_after_ms=retry_after_ms):
                return self._refuse(flow_request, reason.value, retry_after_ms)
            case Fail(reason=reason, retry_after_ms=retry_after_ms):
                return self._fail(flow_request, reason.value, retry_after_ms)
            case CancelRunning():
                return [
                    CancelAttempt(flow_request.request_id, flow_request.request.attempt)
                ]
            case Repin(new_target=new_target):
                flow_request.flow.target = new_target
                return []
            case Queued():
                return []

    def _find_request(self, request_id: Hashable) -> FlowRequest | None:
        assert isinstance(request_id, tuple)
        binding, seq, submission = request_id
        flow = self._table.get(binding)
        request = flow.requests.get(seq) if flow else None
        if flow is None or request is None or request.submissions != submission:
            return None
        return FlowRequest(flow, request)

    def _start(self, flow_request: FlowRequest, start: Start) -> list[Action]:
        flow, request = flow_request.flow, flow_request.request
        assert request.head is not None
        request.step("start")
        request.attempt += 1
        self._attempt_services[flow_request.request_id] = flow.service
        retries: list[Action] = []
        if request.last_failure:
            retries.append(Count("attempts_retried", request.last_failure))
        return [
            *retries,
            Log(
                "owner",
                "attempt_started",
                "request sent to target",
                flow_request.ids(target=start.target, attempt=request.attempt),
            ),
            StartAttempt(
                request_id=flow_request.request_id,
                attempt=request.attempt,
                service=flow.service,
                target=start.target,
                target_incarnation=start.target_incarnation,
                address=start.address,
                head=request.head,
                idempotency_key=flow_request.idempotency_key,
                idempotent=request.idempotent,
                timeout_s=start.timeout_s,
                last_event_id=request.last_event_id,
            ),
        ]

    def _suspend_unplaced_stream(
        self, flow_request: FlowRequest, reason: str
    ) -> list[Action]:
        """Suspend a stream without a target until its caller's next packet."""
        flow_request.request.step("freeze")
        ids = flow_request.ids(reason=reason)
        return [
            Log(
                "owner",
                "stream_put_off",
                "no target accepts stream; suspended until the caller's next packet",
                ids,
            )
        ]

    def _refuse(
        self, flow_request: FlowRequest, reason: str, retry_after_ms: int
    ) -> list[Action]:
        flow, request = flow_request.flow, flow_request.request
        if request.may_have_run:
            return self._fail(flow_request, reason, retry_after_ms)
        request.step("refuse")
        request.verdict = Refused(
            flow.flow_id, flow.binding, request.seq, reason, retry_after_ms
        )
        return [
            Log(
                "owner",
                "request_refused",
                "request refused without being run",
                flow_request.ids(reason=reason),
            ),
            SendToCaller(flow.caller, request.verdict),
            Count("refused", reason),
        ]

    def _fail(
        self, flow_request: FlowRequest, reason: str, retry_after_ms: int = NO_RETRY_MS
    ) -> list[Action]:
        flow, request = flow_request.flow, flow_request.request
        request.step("fail")
        request.answer = None
        request.verdict = Outcome(
            flow.flow_id, flow.binding, request.seq, reason, retry_after_ms
        )
        return [
            Log(
                "owner",
                "outcome_unknown",
                "request ended with an unknown outcome; it may have run",
                flow_request.ids(reason=reason),
            ),
            SendToCaller(flow.caller, request.verdict),
            Count("outcome_unknown", reason),
        ]

    def _find_running(self, request_id: RequestId, attempt: int) -> FlowRequest | None:
        """Return the running request of an attempt, or None if it is outdated."""
        flow_request = self._find_request(request_id)
        if flow_request is None or flow_request.request.attempt != attempt:
            return None
        if flow_request.request.state != "running":
            return None
        return flow_request

    def answered(self, event: AttemptAnswered, now_s: float) -> list[Action]:
        """Process the complete answer of a target."""
        flow_request = self._find_running(event.request_id, event.attempt)
        if flow_request is None:
            return self._release_slot(event.request_id, now_s)
        request = flow_request.request
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
                "complete answer received from target",
                flow_request.ids(status=event.status),
            ),
            Observe("time_to_answer_s", flow_request.flow.service, waited_s),
        ]
        actions += send_unsent_parts(flow_request.flow, request)
        actions += self._report_finished(
            flow_request, FinishKind.OK, event.duration_s, now_s
        )
        return actions

    def failed(self, event: AttemptFailed, now_s: float) -> list[Action]:
        """Process the failure of an attempt."""
        flow_request = self._find_running(event.request_id, event.attempt)
        if flow_request is None:
            return self._release_slot(event.request_id, now_s)
        if event.kind in _MAY_HAVE_RUN:
            flow_request.request.may_have_run = True
        flow_request.request.last_failure = event.kind.value
        flow_request.request.step("requeue")
        actions: list[Action] = [
            Log(
                "owner",
                "attempt_failed",
                "attempt failed without an answer",
                flow_request.ids(reason=event.kind.value),
            )
        ]
        actions += self._report_finished(
            flow_request, event.kind, event.duration_s, now_s, event.retry_after_s
        )
        return actions

    def _release_slot(self, request_id: RequestId, now_s: float) -> list[Action]:
        """Release the slot of an attempt whose result is no longer needed."""
        service = self._attempt_services.pop(request_id, "")
        dispatcher = self.dispatchers.get(service)
        if dispatcher is None:
            return []
        decisions = dispatcher.finished(request_id, now_s, FinishKind.CANCELLED, 0.0)
        return self.apply_decisions(decisions, now_s)

    def _report_finished(
        self,
        flow_request: FlowRequest,
        kind: FinishKind,
        duration_s: float,
        now_s: float,
        retry_after_s: float = 0.0,
    ) -> list[Action]:
        self._attempt_services.pop(flow_request.request_id, None)
        dispatcher = self.dispatchers.get(flow_request.flow.service)
        if dispatcher is None:
            return (
                []
                if kind is FinishKind.OK
                else self._fail(flow_request, "unknown_service")
            )
        decisions = dispatcher.finished(
            flow_request.request_id, now_s, kind, duration_s, retry_after_s
        )
        return self.apply_decisions(decisions, now_s)

    def stream_opened(self, event: StreamOpened) -> list[Action]:
        """Process the head of a stream; a resumed stream keeps its first head."""
        flow_request = self._find_running(event.request_id, event.attempt)
        if flow_request is None or flow_request.request.answer is not None:
            return []
        flow_request.request.answer = AnswerBuffer()
        flow_request.request.answer.begin(AnswerHead(event.status, event.headers))
        return send_unsent_parts(flow_request.flow, flow_request.request)

    def stream_data(self, event: StreamData, now_s: float) -> list[Action]:
        """Process one event of a stream."""
        flow_request = self._find_running(event.request_id, event.attempt)
        if flow_request is None or flow_request.request.answer is None:
            return []
        request = flow_request.request
        assert request.answer is not None
        request.answer.extend(event.data)
        request.last_event_id = event.event_id or request.last_event_id
        actions = send_unsent_parts(flow_request.flow, request)
        if request.answer.size_bytes > self._settings.stream_buffer_bytes:
            actions += self.suspend_running_stream(flow_request.flow, request)
        return actions

    def stream_ended(self, event: StreamEnded, now_s: float) -> list[Action]:
        """Process the end of a stream."""
        flow_request = self._find_running(event.request_id, event.attempt)
        if flow_request is None:
            return self._release_slot(event.request_id, now_s)
        flow_request.request.step("finish")
        if flow_request.request.answer is None:
            flow_request.request.answer = AnswerBuffer()
        flow_request.request.answer.finish()
        actions = send_unsent_parts(flow_request.flow, flow_request.request)
        actions += self._report_finished(flow_request, FinishKind.OK, 0.0, now_s)
        return actions

    def suspend_running_stream(
        self, flow: OwnedFlow, request: OwnedRequest
    ) -> list[Action]:
        """Close a stream at its target; it can be resumed after its last event."""
        # A cancellation by key could hit the next attempt if that arrives first.
        actions = self._cancel_attempt(flow, request, by_key=False)
        request.may_have_run = True
        request.step("freeze")
        return actions

    def suspend_active_stream(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Suspend a running or waiting stream until it is resumed."""
        if request.state == "running":
            return self.suspend_running_stream(flow, request)
        actions = self.remove_waiting_request(flow, request, now_s)
        request.step("freeze")
        return actions

    def abort_running(self, flow: OwnedFlow, request: OwnedRequest) -> list[Action]:
        """Abort a running attempt because this instance has to stop.

        An idempotent request waits for its next attempt, at the successor.  Any
        other request ends with an unknown outcome.
        """
        actions = self._cancel_attempt(flow, request, by_key=not request.idempotent)
        if not request.idempotent:
            return actions + self._fail(FlowRequest(flow, request), INSTANCE_STOPPED)
        request.may_have_run = True
        request.step("requeue")
        return actions

    def resume_stream(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Reopen a suspended stream after its last event."""
        request.step("resume")
        return self.submit(flow, request, now_s)

    def remove_waiting_request(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Remove a waiting request from the dispatcher."""
        return self._cancel_at_dispatcher(flow, request, now_s)

    def cancel(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        """Cancel a request, also at its target if it is running."""
        if not request.allows("cancel"):
            return []
        actions: list[Action] = []
        if request.state == "running":
            actions += self._cancel_attempt(flow, request)
        elif request.state == "waiting":
            actions += self._cancel_at_dispatcher(flow, request, now_s)
        request.step("cancel")
        request.answer = None
        actions.append(
            Log(
                "owner",
                "request_cancelled",
                "request cancelled",
                FlowRequest(flow, request).ids(),
            )
        )
        return actions

    def _cancel_attempt(
        self, flow: OwnedFlow, request: OwnedRequest, by_key: bool = True
    ) -> list[Action]:
        # The slot stays occupied until the end of the attempt is reported.
        request_id = FlowRequest(flow, request).request_id
        return [CancelAttempt(request_id, request.attempt, by_key)]

    def _cancel_at_dispatcher(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        dispatcher = self.dispatchers.get(flow.service)
        if dispatcher is None:
            return []
        request_id = FlowRequest(flow, request).request_id
        decisions = dispatcher.cancel(request_id, now_s)
        # The cancelled request's own refusal is not sent: the caller of this method
        # cancels, suspends or hands over the request.
        others = [
            decision for decision in decisions if decision.request_id != request_id
        ]
        return self.apply_decisions(others, now_s)

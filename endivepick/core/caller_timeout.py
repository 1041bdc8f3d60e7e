"""Timeouts for requests whose callers have become silent."""

from endivepick.core.actions import Action, Count
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.flow_table import FlowTable
from endivepick.core.messages import Outcome, Refused
from endivepick.core.settings import FlowSettings

__all__ = ["CALLER_SILENT", "CallerTimeoutMonitor"]

CALLER_SILENT = "caller_silent"
"""Reason of a request that ended because its caller was silent."""


class CallerTimeoutMonitor:
    """Cancels requests and drops answers of silent callers.

    When a caller returns, its stream resumes after the last event.  For any other
    request the caller is told immediately that it has ended and whether it ran.

    Parameters
    ----------
    settings : FlowSettings
        Timeouts.
    table : FlowTable
        Flows of this instance.
    executor : RequestExecutor
        Executor of waiting and running requests.
    """

    def __init__(
        self, settings: FlowSettings, table: FlowTable, executor: RequestExecutor
    ) -> None:
        self._settings = settings
        self._table = table
        self._executor = executor
        self._next_sweep_s = 0.0

    def tick(self, now_s: float) -> list[Action]:
        """Check all requests when the sweep period has passed."""
        if now_s < self._next_sweep_s:
            return []
        self._next_sweep_s = now_s + self._settings.sweep_every_s
        actions: list[Action] = []
        for flow in self._table.list_active_flows():
            if flow.frozen:
                continue
            for request in list(flow.requests.values()):
                actions += self._check_request(flow, request, now_s)
        return actions

    def _check_request(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        silent_s = now_s - request.heard_at_s
        if request.state == "receiving":
            if now_s >= request.deadline_at_s:
                del flow.requests[request.seq]
        elif request.is_at_dispatcher:
            if silent_s > self._settings.caller_silence_s:
                return self._stop_request(flow, request, now_s)
        elif silent_s > self._settings.unacknowledged_s:
            del flow.requests[request.seq]
        return []

    def _stop_request(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        if request.is_stream:
            return self._executor.suspend_active_stream(flow, request, now_s)
        ran = request.state == "running" or request.may_have_run
        actions = self._executor.cancel(flow, request, now_s)
        reply_type = Outcome if ran else Refused
        request.verdict = reply_type(
            flow.flow_id, flow.binding, request.seq, CALLER_SILENT, retry_after_ms=0
        )
        if ran:
            return [*actions, Count("outcome_unknown", CALLER_SILENT)]
        return [*actions, Count("refused", CALLER_SILENT)]

"""What an owner does with the requests of callers that fall silent."""

from endivepick.core.actions import Action, Count
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.flow_table import FlowTable
from endivepick.core.messages import Outcome, Refused
from endivepick.core.settings import FlowSettings

__all__ = ["CALLER_SILENT", "SilenceWatch"]

CALLER_SILENT = "caller_silent"
"""Why a request ended: nobody asked for its answer."""


class SilenceWatch:
    """Stops work that nobody awaits and forgets answers that nobody fetches.

    A caller may come back: a stream then goes on after its last event, and of any
    other request it learns at once that it has ended, and whether it ran.

    Parameters
    ----------
    settings : FlowSettings
        How long callers may be silent.
    table : FlowTable
        Flows of this instance.
    executor : RequestExecutor
        Holds the requests that wait or run.
    """

    def __init__(
        self, settings: FlowSettings, table: FlowTable, executor: RequestExecutor
    ) -> None:
        self._settings = settings
        self._table = table
        self._executor = executor
        self._next_sweep_s = 0.0

    def tick(self, now_s: float) -> list[Action]:
        """Look at all requests, now and then."""
        if now_s < self._next_sweep_s:
            return []
        self._next_sweep_s = now_s + self._settings.sweep_every_s
        actions: list[Action] = []
        for flow in self._table.with_requests():
            if flow.frozen:
                continue
            for request in list(flow.requests.values()):
                actions += self._look_at(flow, request, now_s)
        return actions

    def _look_at(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        silent_s = now_s - request.heard_at_s
        if request.state == "receiving":
            if now_s >= request.deadline_at_s:
                del flow.requests[request.seq]
        elif request.is_at_dispatcher:
            if silent_s > self._settings.caller_silence_s:
                return self._stop(flow, request, now_s)
        elif silent_s > self._settings.unacknowledged_s:
            del flow.requests[request.seq]
        return []

    def _stop(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        if request.is_stream:
            return self._executor.pause(flow, request, now_s)
        ran = request.state == "running" or request.may_have_run
        actions = self._executor.cancel(flow, request, now_s)
        word = Outcome if ran else Refused
        request.verdict = word(
            flow.flow_id, flow.binding, request.seq, CALLER_SILENT, retry_after_ms=0
        )
        if ran:
            return [*actions, Count("outcome_unknown", CALLER_SILENT)]
        return [*actions, Count("refused", CALLER_SILENT)]

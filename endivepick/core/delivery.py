"""Delivery of answers: the caller reports what it has and gets what is missing."""

from endivepick.core.actions import Action, SendToCaller
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.flow_request import send_unsent_parts
from endivepick.core.messages import Acknowledge, RequestProgress
from endivepick.core.replay_window import SeqState
from endivepick.core.replies import accepted, forgotten, progress, repeat_state
from endivepick.core.settings import FlowSettings

__all__ = ["AnswerDelivery"]


class AnswerDelivery:
    """Answers acknowledgements; it has no timers, the caller asks again.

    Parameters
    ----------
    settings : FlowSettings
        Limits.
    executor : RequestExecutor
        Resumes streams and cancels what is not wanted any more.
    """

    def __init__(self, settings: FlowSettings, executor: RequestExecutor) -> None:
        self._settings = settings
        self._executor = executor

    def acknowledged(
        self, flow: OwnedFlow, packet: Acknowledge, now_s: float
    ) -> list[Action]:
        """Take a caller's report of a flow that is held here."""
        request = flow.requests.get(packet.seq)
        if request is None:
            return self._acknowledge_unknown(flow, packet)
        request.heard_at_s = now_s
        if packet.done:
            return self._done(flow, request, now_s)
        if request.state == "receiving":
            return [progress(flow, request)]
        if request.answer is None:
            actions = repeat_state(flow, request)
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
            return [forgotten(flow, packet.seq)]
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
            actions.append(accepted(flow, request.seq))
        return actions

    def _resume_if_drained(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        buffered_bytes = request.answer.size_bytes if request.answer else 0
        if buffered_bytes > self._settings.stream_buffer_bytes // 2:
            return []
        return self._executor.resume_stream(flow, request, now_s)

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

"""Delivery of answers, with retransmission driven by caller acknowledgements."""

from endivepick.core.actions import Action, SendToCaller
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.flow_request import send_unsent_parts
from endivepick.core.messages import Acknowledge, RequestProgress
from endivepick.core.replay_window import SeqState
from endivepick.core.replies import (
    reply_accepted,
    reply_answer_forgotten,
    reply_current_state,
    reply_progress,
)
from endivepick.core.settings import FlowSettings

__all__ = ["AnswerDelivery"]


class AnswerDelivery:
    """Handles acknowledgements.

    It has no timers: the caller repeats an acknowledgement that gets no reply.

    Parameters
    ----------
    settings : FlowSettings
        Limits.
    executor : RequestExecutor
        Executor that resumes streams and cancels requests.
    """

    def __init__(self, settings: FlowSettings, executor: RequestExecutor) -> None:
        self._settings = settings
        self._executor = executor

    def handle_acknowledge(
        self, flow: OwnedFlow, packet: Acknowledge, now_s: float
    ) -> list[Action]:
        """Handle an acknowledgement of a flow in the table."""
        request = flow.requests.get(packet.seq)
        if request is None:
            return self._reply_unknown_request(flow, packet)
        request.heard_at_s = now_s
        if packet.done:
            return self._finish_request(flow, request, now_s)
        if request.state == "receiving":
            return [reply_progress(flow, request)]
        if request.answer is None:
            actions = reply_current_state(flow, request)
        else:
            actions = self._continue_answer(flow, request, packet)
        if request.state == "suspended":
            actions += self._resume_if_drained(flow, request, now_s)
        return actions

    def _reply_unknown_request(
        self, flow: OwnedFlow, packet: Acknowledge
    ) -> list[Action]:
        if packet.done:
            return []
        if flow.window.state(packet.seq) is SeqState.CLAIMED:
            return [reply_answer_forgotten(flow, packet.seq)]
        none_received = RequestProgress(flow.flow_id, flow.binding, packet.seq, 0, [])
        return [SendToCaller(flow.caller, none_received)]

    def _continue_answer(
        self,
        flow: OwnedFlow,
        request: OwnedRequest,
        packet: Acknowledge,
    ) -> list[Action]:
        answer = request.answer
        assert answer is not None
        retransmissions = answer.acknowledge(
            packet.next_index, packet.missing, packet.window
        )
        actions: list[Action] = [
            SendToCaller(
                flow.caller,
                answer.packet(flow.flow_id, flow.binding, request.seq, index),
            )
            for index in retransmissions
        ]
        actions += send_unsent_parts(flow, request)
        if not actions:
            # Confirms to the caller that its request or stream is still known.
            actions.append(reply_accepted(flow, request.seq))
        return actions

    def _resume_if_drained(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        buffered_bytes = request.answer.size_bytes if request.answer else 0
        if buffered_bytes > self._settings.stream_buffer_bytes // 2:
            return []
        return self._executor.resume_stream(flow, request, now_s)

    def _finish_request(
        self, flow: OwnedFlow, request: OwnedRequest, now_s: float
    ) -> list[Action]:
        if request.state == "receiving":
            return []
        actions: list[Action] = []
        if not request.allows("acknowledge"):
            # `done` before the final reply means that the caller gave up.
            actions = self._executor.cancel(flow, request, now_s)
        flow.requests.pop(request.seq, None)
        if not flow.requests:
            # An emptied dictionary keeps its memory, and most flows are idle.
            flow.requests = {}
        return actions

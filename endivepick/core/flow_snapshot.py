"""Conversion between held flows and what a hand-over carries."""

from endivepick.core.answer_buffer import AnswerBuffer
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.peer_messages import (
    AnswerSnapshot,
    FlowSnapshot,
    RequestSnapshot,
)
from endivepick.core.replay_window import ReplayWindow

__all__ = ["restore_flow", "snapshot_flow"]

_NOT_CARRIED = frozenset({"receiving", "cancelled", "done"})
"""States that the window alone remembers."""


def snapshot_flow(flow: OwnedFlow, now_s: float) -> FlowSnapshot:
    """Copy a frozen flow for its successor."""
    return FlowSnapshot(
        flow_id=flow.flow_id,
        binding=flow.binding,
        service=flow.service,
        target=flow.target,
        closed=flow.closed,
        caller=flow.caller,
        window=flow.window.snapshot(),
        requests=[
            _snapshot_request(request, now_s)
            for request in flow.requests.values()
            if request.state not in _NOT_CARRIED
        ],
    )


def _snapshot_request(request: OwnedRequest, now_s: float) -> RequestSnapshot:
    time_left_s = max(0.0, request.deadline_at_s - now_s)
    return RequestSnapshot(
        seq=request.seq,
        idempotent=request.idempotent,
        time_left_ms=int(time_left_s * 1000),
        state=request.state,
        attempt=request.attempt,
        may_have_run=request.may_have_run,
        last_event_id=request.last_event_id,
        head=request.head,
        answer=_snapshot_answer(request.answer),
        verdict=request.verdict,
    )


def _snapshot_answer(answer: AnswerBuffer | None) -> AnswerSnapshot | None:
    if answer is None:
        return None
    return AnswerSnapshot(answer.base_index, answer.final, answer.parts)


def restore_flow(snapshot: FlowSnapshot, window_size: int, now_s: float) -> OwnedFlow:
    """Build the flow that a snapshot describes."""
    flow = OwnedFlow(
        flow_id=snapshot.flow_id,
        binding=snapshot.binding,
        service=snapshot.service,
        target=snapshot.target,
        window=ReplayWindow.restore(snapshot.window, window_size),
        caller=snapshot.caller,
        heard_at_s=now_s,
        closed=snapshot.closed,
    )
    for request in snapshot.requests:
        flow.requests[request.seq] = _restore_request(request, now_s)
    return flow


def _restore_request(snapshot: RequestSnapshot, now_s: float) -> OwnedRequest:
    return OwnedRequest(
        seq=snapshot.seq,
        idempotent=snapshot.idempotent,
        deadline_at_s=now_s + snapshot.time_left_ms / 1000,
        heard_at_s=now_s,
        state=snapshot.state,
        head=snapshot.head,
        answer=_restore_answer(snapshot.answer),
        verdict=snapshot.verdict,
        attempt=snapshot.attempt,
        may_have_run=snapshot.may_have_run,
        last_event_id=snapshot.last_event_id,
        # The time to answer counts from here: the giver's clock is another one.
        accepted_at_s=now_s,
    )


def _restore_answer(snapshot: AnswerSnapshot | None) -> AnswerBuffer | None:
    if snapshot is None:
        return None
    # Nothing counts as sent: what the caller already has, it drops.
    return AnswerBuffer(
        base_index=snapshot.base_index,
        sent_index=snapshot.base_index,
        final=snapshot.final,
        size_bytes=sum(len(part) for part in snapshot.parts),
        parts=list(snapshot.parts),
    )

"""Reply packets about the state of a request."""

from endivepick.core.actions import Action, SendToCaller
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.messages import (
    Accepted,
    CallerAddress,
    Outcome,
    RequestProgress,
    Unreachable,
)

__all__ = [
    "reply_accepted",
    "reply_retry_later",
    "reply_answer_forgotten",
    "reply_progress",
    "reply_current_state",
]

FROZEN_RETRY_MS = 100
"""Retry delay for a flow that is being handed over, in milliseconds."""
MISSING_PARTS_MAX = 64
"""Limit of missing request parts named in one packet."""


def reply_accepted(flow: OwnedFlow, seq: int) -> Action:
    """Tell the caller that all parts of its request have arrived."""
    return SendToCaller(flow.caller, Accepted(flow.flow_id, flow.binding, seq))


def reply_progress(flow: OwnedFlow, request: OwnedRequest) -> Action:
    """Tell the caller which parts of its request are missing."""
    next_index = 0
    while next_index in request.parts:
        next_index += 1
    highest = max(request.parts, default=-1)
    missing = [
        index for index in range(next_index, highest) if index not in request.parts
    ]
    packet = RequestProgress(
        flow.flow_id,
        flow.binding,
        request.seq,
        next_index,
        missing[:MISSING_PARTS_MAX],
    )
    return SendToCaller(flow.caller, packet)


def reply_answer_forgotten(flow: OwnedFlow, seq: int) -> Action:
    """Tell the caller that the request is claimed and its answer is not kept."""
    packet = Outcome(flow.flow_id, flow.binding, seq, "answer_forgotten", 0)
    return SendToCaller(flow.caller, packet)


def reply_retry_later(flow: OwnedFlow, seq: int, caller: CallerAddress) -> Action:
    """Tell the caller to retry soon, without stating whether the request ran."""
    return SendToCaller(
        caller, Unreachable(flow.flow_id, flow.binding, seq, FROZEN_RETRY_MS)
    )


def reply_current_state(flow: OwnedFlow, request: OwnedRequest) -> list[Action]:
    """Reply to a duplicate of a request, or to an acknowledgement before its answer."""
    if request.verdict is not None:
        return [SendToCaller(flow.caller, request.verdict)]
    answer = request.answer
    if answer is not None and answer.base_index < answer.sent_index:
        packet = answer.packet(
            flow.flow_id, flow.binding, request.seq, answer.base_index
        )
        return [SendToCaller(flow.caller, packet)]
    if request.state == "cancelled":
        return []
    return [reply_accepted(flow, request.seq)]

"""Packets by which an owner answers questions about a request."""

from endivepick.core.actions import Action, SendToCaller
from endivepick.core.flow import OwnedFlow, OwnedRequest
from endivepick.core.messages import (
    Accepted,
    CallerAddress,
    Outcome,
    RequestProgress,
    Unreachable,
)

__all__ = ["accepted", "come_back", "forgotten", "progress", "repeat_state"]

FROZEN_RETRY_MS = 100
"""When to come back to a flow that is being handed over, in milliseconds."""
MISSING_PARTS_MAX = 64
"""Missing request parts that one message names."""


def accepted(flow: OwnedFlow, seq: int) -> Action:
    """Tell the caller that the whole request is known here."""
    return SendToCaller(flow.caller, Accepted(flow.flow_id, flow.binding, seq))


def progress(flow: OwnedFlow, request: OwnedRequest) -> Action:
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


def forgotten(flow: OwnedFlow, seq: int) -> Action:
    """Tell the caller that the number was used and its answer is not held."""
    packet = Outcome(flow.flow_id, flow.binding, seq, "answer_forgotten", 0)
    return SendToCaller(flow.caller, packet)


def come_back(flow: OwnedFlow, seq: int, caller: CallerAddress) -> Action:
    """Tell the caller to send again soon; promises nothing about a run."""
    return SendToCaller(
        caller, Unreachable(flow.flow_id, flow.binding, seq, FROZEN_RETRY_MS)
    )


def repeat_state(flow: OwnedFlow, request: OwnedRequest) -> list[Action]:
    """Answer a copy of a request, or a question about it."""
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
    return [accepted(flow, request.seq)]

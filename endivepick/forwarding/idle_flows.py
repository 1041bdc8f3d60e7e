"""Tells flows that are idle from flows that only look so at this instance.

An instance sees only the packets that the fabric sends to it.  While an answer arrives,
its caller acknowledges one part after the other.  After a restart of another instance,
flows return to that one, and their next requests pass it unseen here.
"""

from endivepick.forwarding.flows import ObservedFlow
from endivepick.forwarding.model import RouteKind

__all__ = ["is_surely_idle"]

ANSWER_GAP_S = 0.25
"""Time without packets after which an answer is complete; a lost part of it is sent
again after 0.2 s."""
PRESENCE_S = 1.0
"""Time since its last packet for which a flow is presumed to be at this instance."""


def is_surely_idle(flow: ObservedFlow, now_s: float) -> bool:
    """Whether a reset of a flow interrupts no request.

    A request that may be repeated may be interrupted at another instance: its caller
    repeats it at another target.

    Parameters
    ----------
    flow : ObservedFlow
        The flow.
    now_s : float
        Present time, in seconds.
    """
    if flow.busy_since_s is not None or not flow.opened:
        return False
    quiet_s = now_s - flow.seen_s
    if quiet_s < ANSWER_GAP_S and not _has_as_many_parts_as_before(flow):
        return False
    return flow.kind is RouteKind.IDEMPOTENT or quiet_s <= PRESENCE_S


def _has_as_many_parts_as_before(flow: ObservedFlow) -> bool:
    """Whether an answer is as long as the earlier ones; some callers never pause."""
    return flow.answer_parts >= flow.longest_answer_parts > 0

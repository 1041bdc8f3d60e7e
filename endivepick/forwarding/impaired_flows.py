"""Resets of the flows of an ejected target whose fault is confirmed."""

from endivepick.forwarding.actions import Effect, Reset, ResetReason
from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.fault_confirmation import ConfirmedFault
from endivepick.forwarding.flows import FlowTable, ObservedFlow
from endivepick.forwarding.idle_flows import is_surely_idle
from endivepick.forwarding.model import RouteKind
from endivepick.forwarding.resets import reset_flow

__all__ = ["ImpairedFlows"]


class ImpairedFlows:
    """Resets flows so that their callers open others at other targets.

    Parameters
    ----------
    flows : FlowTable
        Flows of this instance; those that are reset are removed.
    """

    def __init__(self, flows: FlowTable) -> None:
        self._flows = flows

    def reset_flows(
        self, belief: TargetBelief, fault: ConfirmedFault, now_s: float
    ) -> list[Effect]:
        """Reset the flows of a target that its fault allows.

        A slow target still answers the requests that it has begun, so only its idle
        flows are reset.
        """
        effects: list[Effect] = []
        for flow in self._flows.of_target(belief):
            if is_surely_idle(flow, now_s):
                effects.append(self._reset(flow, now_s))
            elif flow.overdue and fault is ConfirmedFault.FAILING:
                effects += self.reset_overdue(flow, now_s)
        return effects

    def reset_overdue(self, flow: ObservedFlow, now_s: float) -> list[Effect]:
        """Reset a flow with an overdue request if the request is idempotent."""
        if flow.kind is not RouteKind.IDEMPOTENT:
            return []
        return [self._reset(flow, now_s)]

    def _reset(self, flow: ObservedFlow, now_s: float) -> Reset:
        reason, since_s = ResetReason.TARGET_IMPAIRED, flow.belief.fitness_since_s
        return reset_flow(self._flows, flow, reason, since_s, now_s)

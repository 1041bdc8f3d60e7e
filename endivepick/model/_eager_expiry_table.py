"""Flow table that expires more flows than the production table."""

from endivepick.core.flow import OwnedFlow
from endivepick.core.flow_table import FlowTable

__all__ = ["EagerExpiryTable"]


class EagerExpiryTable(FlowTable):
    """A table that also expires open flows, whatever their request state.

    No guarantee may depend on the stored state of a flow that is not frozen and has
    no running or queued request.
    """

    def expire(self, now_s: float) -> list[OwnedFlow]:
        """Remove every flow that may be removed."""
        dropped = [
            flow
            for flow in self
            if not flow.frozen
            and not any(one.is_at_dispatcher for one in flow.requests.values())
        ]
        for flow in dropped:
            self._remove(flow.binding)
        return dropped

"""A flow table that forgets more than the real one."""

from endivepick.core.flow import OwnedFlow
from endivepick.core.flow_table import FlowTable

__all__ = ["ForgetfulTable"]


class ForgetfulTable(FlowTable):
    """A table that forgets open flows too, whatever is known of their requests.

    No promise may depend on what is remembered of a flow that is not frozen and of
    which nothing runs or waits.
    """

    def expire(self, now_s: float) -> list[OwnedFlow]:
        """Forget all that can be forgotten."""
        dropped = [
            flow
            for flow in self
            if not flow.frozen
            and not any(one.is_at_dispatcher for one in flow.requests.values())
        ]
        for flow in dropped:
            self._remove(flow.binding)
        return dropped

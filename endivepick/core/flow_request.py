"""A request together with the flow that it belongs to."""

from dataclasses import dataclass

from endivepick.core.actions import Action, RequestId, SendToCaller
from endivepick.core.dispatch import CostClass, RequestIntent
from endivepick.core.flow import OwnedFlow, OwnedRequest

__all__ = ["HeldRequest", "send_unsent_parts"]

COST_CLASS_HEADER = "endivepick-cost"
"""Header by which a caller says that its request takes long."""


@dataclass(frozen=True, slots=True)
class HeldRequest:
    """One request of a flow that is held here.

    Attributes
    ----------
    flow : OwnedFlow
        The flow.
    request : OwnedRequest
        The request.
    """

    flow: OwnedFlow
    request: OwnedRequest

    @property
    def request_id(self) -> RequestId:
        """Name of this submission in events and decisions."""
        return (self.flow.binding, self.request.seq, self.request.submissions)

    @property
    def idempotency_key(self) -> str:
        """Key that all attempts of the request carry."""
        return f"{self.flow.flow_id:016x}-{self.flow.binding:016x}-{self.request.seq}"

    def ids(self, **more: object) -> dict[str, object]:
        """Return what log events about the request name."""
        return {
            "flow": self.flow.flow_id,
            "binding": self.flow.binding,
            "seq": self.request.seq,
            "key": self.idempotency_key,
            "service": self.flow.service,
            **more,
        }

    def intent(self) -> RequestIntent:
        """Describe the request to the dispatcher."""
        flow, request = self.flow, self.request
        others = [
            other
            for other in flow.requests.values()
            if other is not request and other.is_at_dispatcher
        ]
        return RequestIntent(
            request_id=self.request_id,
            pinned_target=flow.target,
            deadline_at_s=request.deadline_at_s,
            idempotent=request.idempotent,
            stream=request.is_stream,
            established=request.seq > 1,
            cost_class=_cost_class(request),
            movable=not others,
            may_have_run=request.may_have_run,
            activity=flow.activity,
        )


def _cost_class(request: OwnedRequest) -> CostClass:
    assert request.head is not None
    for name, value in request.head.headers:
        if name.lower() == COST_CLASS_HEADER and value == CostClass.LONG.value:
            return CostClass.LONG
    return CostClass.SHORT


def send_unsent_parts(flow: OwnedFlow, request: OwnedRequest) -> list[Action]:
    """Send the parts of an answer that the caller's window allows."""
    answer = request.answer
    assert answer is not None
    return [
        SendToCaller(
            flow.caller, answer.packet(flow.flow_id, flow.binding, request.seq, index)
        )
        for index in answer.unsent()
    ]

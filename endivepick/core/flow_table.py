"""Table of the flows that one instance owns or has handed over."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from endivepick.core.flow import OwnedFlow
from endivepick.core.messages import CallerAddress
from endivepick.core.settings import FlowSettings
from endivepick.core.token import FlowToken
from endivepick.core.window import ReplayWindow

__all__ = ["FlowTable", "Identity"]

CLOCK_SKEW_MARGIN_S = 600.0
"""How far the clock of a token's issuer may run ahead, in seconds."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Name and incarnation of an instance."""

    name: str
    incarnation: int


class FlowTable:
    """Flows by binding.

    A binding that claimed a request is kept until its token has expired, so that
    no copy of a request can find an empty window.

    Parameters
    ----------
    settings : FlowSettings
        Limits and times.
    me : Identity
        This instance.
    new_id : callable
        Returns a random 64-bit number.
    """

    def __init__(
        self, settings: FlowSettings, me: Identity, new_id: Callable[[], int]
    ) -> None:
        self._settings = settings
        self.me = me
        self._new_id = new_id
        self._flows: dict[int, OwnedFlow] = {}
        self._counts: Counter[str] = Counter()
        self._successors: dict[int, Identity] = {}
        self._with_requests: dict[int, OwnedFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[OwnedFlow]:
        return iter(list(self._flows.values()))

    def _add(self, flow: OwnedFlow) -> None:
        self._flows[flow.binding] = flow
        self._counts[flow.service] += 1
        if flow.requests:
            self.note_request(flow)

    def _remove(self, binding: int) -> None:
        flow = self._flows.pop(binding, None)
        if flow is not None:
            self._counts[flow.service] -= 1

    @property
    def services(self) -> set[str]:
        """Services of which a flow is held."""
        return {service for service, count in self._counts.items() if count}

    def note_request(self, flow: OwnedFlow) -> None:
        """Take note that a flow holds a request."""
        self._with_requests[flow.binding] = flow

    def with_requests(self) -> list[OwnedFlow]:
        """Return the flows that hold a request; few of those that are held."""
        self._with_requests = {
            binding: flow
            for binding, flow in self._with_requests.items()
            if flow.requests and binding in self._flows
        }
        return list(self._with_requests.values())

    def get(self, binding: int) -> OwnedFlow | None:
        """Return the flow that holds a binding, if this instance does."""
        return self._flows.get(binding)

    def successor(self, binding: int) -> Identity | None:
        """Return who took a binding over from this instance."""
        return self._successors.get(binding)

    def open(
        self, service: str, target: str, caller: CallerAddress, now_s: float
    ) -> OwnedFlow:
        """Create a flow with a new id and binding."""
        flow = OwnedFlow(
            flow_id=self._new_id(),
            binding=self._new_id(),
            service=service,
            target=target,
            window=ReplayWindow(self._settings.window_size),
            caller=caller,
            heard_at_s=now_s,
        )
        self._add(flow)
        return flow

    def adopt(self, token: FlowToken, caller: CallerAddress, now_s: float) -> OwnedFlow:
        """Create the flow of a token that a relay issued in this owner's name.

        An empty window is right: the binding was drawn for this incarnation, and
        a binding that has claimed a request is never forgotten here.
        """
        flow = OwnedFlow(
            flow_id=token.flow_id,
            binding=token.binding,
            service=token.service,
            target=token.target,
            window=ReplayWindow(self._settings.window_size),
            caller=caller,
            heard_at_s=now_s,
        )
        self._add(flow)
        return flow

    def restore(self, flow: OwnedFlow) -> bool:
        """Take a handed-over flow in; False if the binding is here already."""
        if flow.binding in self._flows or flow.binding in self._successors:
            return False
        self._add(flow)
        return True

    def release(self, binding: int, successor: Identity) -> None:
        """Forget a flow that a successor holds, and remember the successor."""
        self._remove(binding)
        self._successors[binding] = successor

    def token(self, flow: OwnedFlow, now_s: float) -> FlowToken:
        """Build a token that names this instance as the flow's owner."""
        return FlowToken(
            service=flow.service,
            flow_id=flow.flow_id,
            binding=flow.binding,
            owner=self.me.name,
            owner_incarnation=self.me.incarnation,
            target=flow.target,
            issued_at_s=int(now_s),
        )

    def expire(self, now_s: float) -> list[OwnedFlow]:
        """Drop flows whose tokens have expired and flows never used.

        Returns
        -------
        list of OwnedFlow
            What was dropped.
        """
        dropped = [flow for flow in self._flows.values() if self._expired(flow, now_s)]
        for flow in dropped:
            self._remove(flow.binding)
        return dropped

    def _expired(self, flow: OwnedFlow, now_s: float) -> bool:
        if flow.frozen:
            # Its successor may hold it already: an empty window would be a second.
            return False
        silent_s = now_s - flow.heard_at_s
        if flow.is_unused:
            return silent_s > self._settings.unacknowledged_s
        return silent_s > self._settings.token_lifetime_s + CLOCK_SKEW_MARGIN_S

"""Table of the flows that one instance owns or has handed over."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import islice
from math import ceil

from endivepick.core.adopted_bindings import AdoptedBindings
from endivepick.core.flow import OwnedFlow
from endivepick.core.messages import CallerAddress
from endivepick.core.replay_window import ReplayWindow
from endivepick.core.settings import FlowSettings
from endivepick.core.token import FlowToken

__all__ = ["FlowTable", "Identity"]

CLOCK_SKEW_MARGIN_S = 600.0
"""How far the clock of a token's issuer may run ahead, in seconds."""
UNUSED_FLOWS_MAX = 65_536
"""Flows without a request that are kept; a flood of openings cannot hold more."""
EXPIRY_SCAN_PERIOD_S = 3600.0
"""Time in which expiry looks at each flow once, in seconds."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Name and incarnation of an instance."""

    name: str
    incarnation: int


class FlowTable:
    """Flows by binding.

    A binding gets its empty window once: when this instance draws it, or when it
    adopts what a relay drew.  A binding that is not here and cannot be adopted was
    forgotten, and nothing of it ever runs again; so closed flows need not be kept.
    An open flow is kept until its token has expired, so that its caller may be idle.

    Parameters
    ----------
    settings : FlowSettings
        Limits and times.
    me : Identity
        This instance.
    new_id : callable
        Returns a random 64-bit number.
    unused_max : int
        Flows without a request that are kept however long their callers wait.
    """

    def __init__(
        self,
        settings: FlowSettings,
        me: Identity,
        new_id: Callable[[], int],
        unused_max: int = UNUSED_FLOWS_MAX,
    ) -> None:
        self._settings = settings
        self.me = me
        self._new_id = new_id
        self._flows: dict[int, OwnedFlow] = {}
        self._counts: Counter[str] = Counter()
        self._successors: dict[int, Identity] = {}
        self._with_requests: dict[int, OwnedFlow] = {}
        self._unused_max = unused_max
        self._token_kept_s = settings.token_lifetime_s + CLOCK_SKEW_MARGIN_S
        self._adopted = AdoptedBindings(self._token_kept_s)
        # Both in the order of time, the oldest first.
        self._unused: dict[int, OwnedFlow] = {}
        self._closed_at_s: dict[int, float] = {}
        self._to_look_at: list[int] = []
        self._round_size = 0
        self._looked_at_s: float | None = None

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[OwnedFlow]:
        return iter(list(self._flows.values()))

    def _add(self, flow: OwnedFlow) -> None:
        self._flows[flow.binding] = flow
        self._counts[flow.service] += 1
        if flow.requests:
            self.note_request(flow)
        elif flow.is_unused:
            self._unused[flow.binding] = flow

    def _remove(self, binding: int) -> None:
        flow = self._flows.pop(binding, None)
        for others in (self._with_requests, self._unused, self._closed_at_s):
            others.pop(binding, None)
        if flow is not None:
            self._counts[flow.service] -= 1

    @property
    def services(self) -> set[str]:
        """Services of which a flow is held."""
        return {service for service, count in self._counts.items() if count}

    def note_request(self, flow: OwnedFlow) -> None:
        """Take note that a flow holds a request."""
        self._unused.pop(flow.binding, None)
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

    def may_adopt(self, token: FlowToken) -> bool:
        """Tell whether a binding that names this incarnation was never held here.

        Only a relay draws bindings of which their owner does not know.  All others
        that are not here were forgotten.
        """
        return token.drawn_by_relay and token.binding not in self._adopted

    def adopt(self, token: FlowToken, caller: CallerAddress, now_s: float) -> OwnedFlow:
        """Create the flow of a token that a relay issued in this owner's name.

        An empty window is right: the binding was drawn for this incarnation, and
        it is adopted once only (see `may_adopt`).
        """
        self._adopted.add(token.binding)
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

    def note_closed(self, flow: OwnedFlow, now_s: float) -> None:
        """Take note that its caller has closed a flow."""
        flow.closed = True
        self._unused.pop(flow.binding, None)
        self._closed_at_s.setdefault(flow.binding, now_s)

    def remove_closed_flows(self) -> None:
        """Forget all flows that are closed: no successor has to know of them."""
        for binding in list(self._closed_at_s):
            self._remove(binding)

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
        """Drop flows that were closed, unused beyond the limit, or whose token expired.

        Returns
        -------
        list of OwnedFlow
            What was dropped.
        """
        self._adopted.expire(now_s)
        dropped: list[OwnedFlow] = []
        for find in (self._closed_long_ago, self._unused_beyond_limit, self._expired):
            found = find(now_s)
            for flow in found:
                self._remove(flow.binding)
            dropped += found
        return dropped

    def _closed_long_ago(self, now_s: float) -> list[OwnedFlow]:
        """Return closed flows of which hardly any packet is under way."""
        found = []
        for binding, closed_at_s in self._closed_at_s.items():
            if now_s - closed_at_s <= self._settings.unacknowledged_s:
                break
            found.append(self._flows[binding])
        return found

    def _unused_beyond_limit(self, now_s: float) -> list[OwnedFlow]:
        excess = max(0, len(self._unused) - self._unused_max)
        found = []
        for flow in list(islice(self._unused.values(), excess)):
            if not flow.is_unused:
                # Its request was cancelled before it came.
                del self._unused[flow.binding]
            elif self._is_silent(flow, now_s, self._settings.unacknowledged_s):
                found.append(flow)
        return found

    def _expired(self, now_s: float) -> list[OwnedFlow]:
        """Look at the next share of all flows for those whose token has expired."""
        share = 1.0
        if self._looked_at_s is not None:
            share = min(1.0, (now_s - self._looked_at_s) / EXPIRY_SCAN_PERIOD_S)
        self._looked_at_s = now_s
        if not share:
            return []
        if not self._to_look_at:
            self._to_look_at = list(self._flows)
            self._round_size = len(self._to_look_at)
        rest = max(0, len(self._to_look_at) - ceil(self._round_size * share))
        look_at = self._to_look_at[rest:]
        del self._to_look_at[rest:]
        flows = [self._flows[one] for one in look_at if one in self._flows]
        return [
            flow for flow in flows if self._is_silent(flow, now_s, self._token_kept_s)
        ]

    def _is_silent(self, flow: OwnedFlow, now_s: float, limit_s: float) -> bool:
        # The successor of a frozen flow may hold it already: it stays known as
        # frozen until the successor has answered.
        return not flow.frozen and now_s - flow.heard_at_s > limit_s

"""Table of the flows that an instance owns or has handed over."""

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
"""Tolerated clock lead of a token's issuer, in seconds."""
UNUSED_FLOWS_MAX = 65_536
"""Limit of flows without a request; bounds their memory in a flood of opens."""
EXPIRY_SCAN_PERIOD_S = 3600.0
"""Period in which the expiry scan visits each flow once, in seconds."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Name and incarnation of an instance."""

    name: str
    incarnation: int


class FlowTable:
    """Flows of this instance by binding.

    An empty replay window forgets claimed requests, so a binding must never get a
    second one.  A binding gets an empty window exactly once: when this instance
    creates it, or when this instance adopts a binding that a relay created.  A
    binding that is neither in the table nor adoptable was removed earlier, and none
    of its requests runs again; closed flows therefore need not be kept.  An open
    flow is kept until its token has expired, so that its caller may be idle.

    Parameters
    ----------
    settings : FlowSettings
        Limits and timeouts.
    me : Identity
        This instance.
    new_id : callable
        Returns a random 64-bit number.
    unused_max : int
        Number of flows without a request that are kept regardless of their idle
        time.
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
        self._active: dict[int, OwnedFlow] = {}
        self._unused_max = unused_max
        self._token_kept_s = settings.token_lifetime_s + CLOCK_SKEW_MARGIN_S
        self._adopted = AdoptedBindings(self._token_kept_s)
        # Both are ordered by time, oldest first.
        self._unused: dict[int, OwnedFlow] = {}
        self._closed_at_s: dict[int, float] = {}
        self._scan_queue: list[int] = []
        self._scan_size = 0
        self._scanned_at_s: float | None = None

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[OwnedFlow]:
        return iter(list(self._flows.values()))

    def _add(self, flow: OwnedFlow) -> None:
        self._flows[flow.binding] = flow
        self._counts[flow.service] += 1
        if flow.requests:
            self.mark_active(flow)
        elif flow.is_unused:
            self._unused[flow.binding] = flow

    def _remove(self, binding: int) -> None:
        flow = self._flows.pop(binding, None)
        for others in (self._active, self._unused, self._closed_at_s):
            others.pop(binding, None)
        if flow is not None:
            self._counts[flow.service] -= 1

    @property
    def services(self) -> set[str]:
        """Names of the services with a flow in the table."""
        return {service for service, count in self._counts.items() if count}

    def mark_active(self, flow: OwnedFlow) -> None:
        """Mark a flow as having a request."""
        self._unused.pop(flow.binding, None)
        self._active[flow.binding] = flow

    def list_active_flows(self) -> list[OwnedFlow]:
        """Return the flows with a request, which are few of all flows."""
        self._active = {
            binding: flow
            for binding, flow in self._active.items()
            if flow.requests and binding in self._flows
        }
        return list(self._active.values())

    def get(self, binding: int) -> OwnedFlow | None:
        """Return the flow of a binding, or None if it is not in the table."""
        return self._flows.get(binding)

    def successor(self, binding: int) -> Identity | None:
        """Return the instance that a binding was handed over to, if any."""
        return self._successors.get(binding)

    def open(
        self, service: str, target: str, caller: CallerAddress, now_s: float
    ) -> OwnedFlow:
        """Create a flow with a new ID and binding."""
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
        """Return whether a binding that names this incarnation is new here.

        Only a relay creates bindings that their owner does not know.  Any other
        binding that is not in the table was removed earlier.
        """
        return token.drawn_by_relay and token.binding not in self._adopted

    def adopt(self, token: FlowToken, caller: CallerAddress, now_s: float) -> OwnedFlow:
        """Create the flow of a token that a relay issued on behalf of this owner.

        The empty window is correct because the binding was created for this
        incarnation and is adopted only once (see `may_adopt`).
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
        """Add a flow of a handover; return False if its binding is known already."""
        if flow.binding in self._flows or flow.binding in self._successors:
            return False
        self._add(flow)
        return True

    def mark_closed(self, flow: OwnedFlow, now_s: float) -> None:
        """Mark a flow as closed by its caller."""
        flow.closed = True
        self._unused.pop(flow.binding, None)
        self._closed_at_s.setdefault(flow.binding, now_s)

    def remove_closed_flows(self) -> None:
        """Remove all closed flows, which are not handed over to a successor."""
        for binding in list(self._closed_at_s):
            self._remove(binding)

    def release(self, binding: int, successor: Identity) -> None:
        """Remove a flow that a successor has taken, and record the successor."""
        self._remove(binding)
        self._successors[binding] = successor

    def token(self, flow: OwnedFlow, now_s: float) -> FlowToken:
        """Return a token that names this instance as the flow's owner."""
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
        """Remove closed flows, excess unused flows and flows with an expired token.

        Returns
        -------
        list of OwnedFlow
            Removed flows.
        """
        self._adopted.expire(now_s)
        dropped: list[OwnedFlow] = []
        for find in (self._find_closed, self._find_excess_unused, self._find_expired):
            found = find(now_s)
            for flow in found:
                self._remove(flow.binding)
            dropped += found
        return dropped

    def _find_closed(self, now_s: float) -> list[OwnedFlow]:
        """Return flows closed long enough ago that late packets are unlikely."""
        found = []
        for binding, closed_at_s in self._closed_at_s.items():
            if now_s - closed_at_s <= self._settings.unacknowledged_s:
                break
            found.append(self._flows[binding])
        return found

    def _find_excess_unused(self, now_s: float) -> list[OwnedFlow]:
        excess = max(0, len(self._unused) - self._unused_max)
        found = []
        for flow in list(islice(self._unused.values(), excess)):
            if not flow.is_unused:
                # A cancellation that overtook its request has claimed a number.
                del self._unused[flow.binding]
            elif self._is_inactive(flow, now_s, self._settings.unacknowledged_s):
                found.append(flow)
        return found

    def _find_expired(self, now_s: float) -> list[OwnedFlow]:
        """Scan the next share of all flows for expired tokens."""
        share = 1.0
        if self._scanned_at_s is not None:
            share = min(1.0, (now_s - self._scanned_at_s) / EXPIRY_SCAN_PERIOD_S)
        self._scanned_at_s = now_s
        if not share:
            return []
        if not self._scan_queue:
            self._scan_queue = list(self._flows)
            self._scan_size = len(self._scan_queue)
        remaining = max(0, len(self._scan_queue) - ceil(self._scan_size * share))
        scanned = self._scan_queue[remaining:]
        del self._scan_queue[remaining:]
        flows = [self._flows[one] for one in scanned if one in self._flows]
        return [
            flow for flow in flows if self._is_inactive(flow, now_s, self._token_kept_s)
        ]

    def _is_inactive(self, flow: OwnedFlow, now_s: float, limit_s: float) -> bool:
        # A successor may already have taken a frozen flow.  The flow stays in the
        # table as frozen until the successor has replied.
        return not flow.frozen and now_s - flow.heard_at_s > limit_s

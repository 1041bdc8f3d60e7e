"""Estimates of how fast flows send requests, for each flow and for each target."""

import math
from dataclasses import dataclass

__all__ = ["FlowActivity", "TargetActivity"]


@dataclass(slots=True)
class FlowActivity:
    """How fast one flow has sent of late; its holder keeps it.

    Attributes
    ----------
    rate_per_s : float
        Rate at the time of the last update, in requests per second.
    updated_s : float
        When it was updated, in seconds.
    """

    rate_per_s: float = 0.0
    updated_s: float = 0.0


class TargetActivity:
    """Sums over the flows that are pinned to a target, where older news weigh less.

    A flow that stays silent weighs less and less, both in the rate and in the
    number of flows that the rate stands for: flows whose callers are gone, or sleep
    for hours, say nothing about what the next flow will send.

    Parameters
    ----------
    memory_s : float
        Age at which an arrival has lost about two thirds of its weight, in
        seconds.

    Examples
    --------
    >>> target, flow = TargetActivity(memory_s=10.0), FlowActivity()
    >>> target.join(flow, rate_per_s=1.0, now_s=0.0)
    >>> round(target.rate_per_s(now_s=10.0), 2)
    0.37
    >>> target.leave(flow, now_s=10.0)
    >>> target.rate_per_s(now_s=10.0)
    0.0
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._rate_per_s = 0.0
        self._active_flows = 0.0
        self._updated_s = 0.0

    def rate_per_s(self, now_s: float) -> float:
        """Return the expected rate of all flows, in requests per second."""
        return self._rate_per_s * self._weight(self._updated_s, now_s)

    def active_flows(self, now_s: float) -> float:
        """Return the number of flows, each with the weight of its last request."""
        return self._active_flows * self._weight(self._updated_s, now_s)

    def join(self, flow: FlowActivity, rate_per_s: float, now_s: float) -> None:
        """Count a flow in that is expected to send at this rate."""
        flow.rate_per_s = rate_per_s
        flow.updated_s = now_s
        self._add(rate_per_s, 1.0, now_s)

    def leave(self, flow: FlowActivity, now_s: float) -> None:
        """Count a flow out, with what it still weighs."""
        weight = self._weight(flow.updated_s, now_s)
        self._add(-flow.rate_per_s * weight, -weight, now_s)

    def on_request(self, flow: FlowActivity, now_s: float) -> None:
        """Take in a request of a flow that was counted in."""
        weight = self._weight(flow.updated_s, now_s)
        flow.rate_per_s = flow.rate_per_s * weight + 1.0 / self._memory_s
        flow.updated_s = now_s
        self._add(1.0 / self._memory_s, 1.0 - weight, now_s)

    def set_totals(self, rate_per_s: float, flows: float, now_s: float) -> None:
        """Believe what another instance counted of all flows."""
        self._rate_per_s = rate_per_s
        self._active_flows = flows
        self._updated_s = now_s

    def _add(self, rate_per_s: float, flows: float, now_s: float) -> None:
        self._rate_per_s = max(0.0, self.rate_per_s(now_s) + rate_per_s)
        self._active_flows = max(0.0, self.active_flows(now_s) + flows)
        self._updated_s = now_s

    def _weight(self, since_s: float, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - since_s) / self._memory_s)

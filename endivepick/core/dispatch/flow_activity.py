"""Request rate estimates of flows and of targets, with exponential decay."""

import math
from dataclasses import dataclass

__all__ = ["FlowActivity", "TargetActivity"]


@dataclass(slots=True)
class FlowActivity:
    """Recent request rate of one flow, stored by the holder of the flow.

    Attributes
    ----------
    rate_per_s : float
        Rate at the time of the last update, in requests per second.
    updated_s : float
        Time of the last update, in seconds.
    """

    rate_per_s: float = 0.0
    updated_s: float = 0.0


class TargetActivity:
    """Request rate and number of active flows pinned to a target.

    Both decay exponentially.  The contribution of a silent flow to the rate and
    to the number of flows decreases with time, since flows whose callers are gone
    or inactive for hours do not predict the rate of the next flow.

    Parameters
    ----------
    time_constant_s : float
        Time constant of the decay, after which the weight of a request is
        ``1 / e`` (about one third), in seconds.

    Examples
    --------
    >>> target, flow = TargetActivity(time_constant_s=10.0), FlowActivity()
    >>> target.join(flow, rate_per_s=1.0, now_s=0.0)
    >>> round(target.rate_per_s(now_s=10.0), 2)
    0.37
    >>> target.leave(flow, now_s=10.0)
    >>> target.rate_per_s(now_s=10.0)
    0.0
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._rate_per_s = 0.0
        self._active_flows = 0.0
        self._updated_s = 0.0

    def rate_per_s(self, now_s: float) -> float:
        """Return the expected rate of all flows, in requests per second."""
        return self._rate_per_s * self._decay(self._updated_s, now_s)

    def active_flows(self, now_s: float) -> float:
        """Return the number of flows, each weighted by the age of its last request."""
        return self._active_flows * self._decay(self._updated_s, now_s)

    def join(self, flow: FlowActivity, rate_per_s: float, now_s: float) -> None:
        """Add a flow with its expected rate, in requests per second."""
        flow.rate_per_s = rate_per_s
        flow.updated_s = now_s
        self._add(rate_per_s, 1.0, now_s)

    def leave(self, flow: FlowActivity, now_s: float) -> None:
        """Remove a flow and its remaining contribution."""
        weight = self._decay(flow.updated_s, now_s)
        self._add(-flow.rate_per_s * weight, -weight, now_s)

    def on_request(self, flow: FlowActivity, now_s: float) -> None:
        """Record a request of a flow that was added before."""
        weight = self._decay(flow.updated_s, now_s)
        flow.rate_per_s = flow.rate_per_s * weight + 1.0 / self._time_constant_s
        flow.updated_s = now_s
        self._add(1.0 / self._time_constant_s, 1.0 - weight, now_s)

    def set_totals(self, rate_per_s: float, flows: float, now_s: float) -> None:
        """Replace the totals by those that another instance reports."""
        self._rate_per_s = rate_per_s
        self._active_flows = flows
        self._updated_s = now_s

    def _add(self, rate_per_s: float, flows: float, now_s: float) -> None:
        self._rate_per_s = max(0.0, self.rate_per_s(now_s) + rate_per_s)
        self._active_flows = max(0.0, self.active_flows(now_s) + flows)
        self._updated_s = now_s

    def _decay(self, since_s: float, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - since_s) / self._time_constant_s)

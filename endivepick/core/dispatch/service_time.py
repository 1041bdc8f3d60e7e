"""Estimate of the service times of requests."""

from endivepick.core.dispatch.messages import CostClass
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["ServiceTimeEstimate"]

_SLOW_FACTOR = 3.0


class ServiceTimeEstimate:
    """Exponential moving average of service times for each cost class.

    Parameters
    ----------
    settings : DispatchSettings
        Initial estimates and weight of the newest request.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._weight = settings.service_time_weight
        self._initial_s = {
            CostClass.SHORT: settings.initial_service_time_s,
            CostClass.LONG: settings.initial_long_service_time_s,
        }
        self._mean_s: dict[CostClass, float] = {}

    def add(self, cost_class: CostClass, duration_s: float) -> None:
        """Update the average with a completed request, in seconds."""
        mean_s = self._mean_s.get(cost_class, duration_s)
        self._mean_s[cost_class] = mean_s + self._weight * (duration_s - mean_s)

    def add_unfinished(self, cost_class: CostClass, duration_s: float) -> None:
        """Update the average with a request that ended without an answer.

        Its duration is a lower bound of its service time, so it only raises the
        average.  It is limited to twice the average, so that a target without any
        answers does not distort the estimate for the others.
        """
        mean_s = self.mean_s(cost_class)
        if duration_s > mean_s:
            self._mean_s.setdefault(cost_class, mean_s)
            self.add(cost_class, min(duration_s, 2.0 * mean_s))

    def is_slow(self, cost_class: CostClass, duration_s: float) -> bool:
        """Return whether a duration is far above the average."""
        return duration_s >= _SLOW_FACTOR * self.mean_s(cost_class)

    def mean_s(self, cost_class: CostClass) -> float:
        """Return the expected service time, in seconds."""
        return self._mean_s.get(cost_class, self._initial_s[cost_class])

"""Estimate of how long requests hold a slot."""

from endivepick.core.dispatch.messages import CostClass
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["ServiceTimeEstimate"]

_SLOW_FACTOR = 3.0


class ServiceTimeEstimate:
    """Moving average of service times for each cost class.

    Parameters
    ----------
    settings : DispatchSettings
        First guess and weight of the newest request.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._weight = settings.service_time_weight
        self._initial_s = {
            CostClass.SHORT: settings.initial_service_time_s,
            CostClass.LONG: settings.initial_long_service_time_s,
        }
        self._mean_s: dict[CostClass, float] = {}

    def add(self, cost_class: CostClass, duration_s: float) -> None:
        """Take in the duration of a finished request, in seconds."""
        mean_s = self._mean_s.get(cost_class, duration_s)
        self._mean_s[cost_class] = mean_s + self._weight * (duration_s - mean_s)

    def add_unfinished(self, cost_class: CostClass, duration_s: float) -> None:
        """Take in a request that was given up; it would have taken longer.

        It counts at most as twice the average, so that a target that answers
        nothing does not spoil the estimate for those that do.
        """
        mean_s = self.mean_s(cost_class)
        if duration_s > mean_s:
            self._mean_s.setdefault(cost_class, mean_s)
            self.add(cost_class, min(duration_s, 2.0 * mean_s))

    def is_slow(self, cost_class: CostClass, duration_s: float) -> bool:
        """Tell whether a request takes much longer than usual."""
        return duration_s >= _SLOW_FACTOR * self.mean_s(cost_class)

    def mean_s(self, cost_class: CostClass) -> float:
        """Return the expected duration, in seconds."""
        return self._mean_s.get(cost_class, self._initial_s[cost_class])

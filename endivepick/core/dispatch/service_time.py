"""Estimate of how long requests hold a slot."""

from endivepick.core.dispatch.messages import CostClass
from endivepick.core.dispatch.settings import DispatchSettings

__all__ = ["ServiceTimeEstimate"]


class ServiceTimeEstimate:
    """Moving average of service times for each cost class.

    Parameters
    ----------
    settings : DispatchSettings
        First guess and weight of the newest request.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._weight = settings.service_time_weight
        self._initial_s = settings.initial_service_time_s
        self._mean_s: dict[CostClass, float] = {}

    def add(self, cost_class: CostClass, duration_s: float) -> None:
        """Take in the duration of a finished request, in seconds."""
        mean_s = self._mean_s.get(cost_class, duration_s)
        self._mean_s[cost_class] = mean_s + self._weight * (duration_s - mean_s)

    def mean_s(self, cost_class: CostClass) -> float:
        """Return the expected duration, in seconds."""
        return self._mean_s.get(cost_class, self._initial_s)

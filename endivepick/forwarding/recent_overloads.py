"""Services that are overloaded or were shortly before.

Load pattern: demand exceeds the slots of a service.  All its targets have full queues
and shed requests.  When the demand falls, the queues empty at different moments, so for
some seconds targets differ in overdue requests although all of them serve.
"""

from collections.abc import Iterable

from endivepick.forwarding.comparison import ServiceSample

__all__ = ["RecentOverloads"]

OVERLOAD_MEMORY_S = 4.0
"""Time after an overload in which it still explains late and shed requests: their
counts fade with a time constant of 2 s."""


class RecentOverloads:
    """Remembers when each service was last overloaded."""

    def __init__(self) -> None:
        self._last_s: dict[str, float] = {}

    def is_overloaded(
        self, service: str, samples: Iterable[ServiceSample | None], now_s: float
    ) -> bool:
        """Return whether a service is overloaded or was in the last seconds.

        Parameters
        ----------
        service : str
            Name of the service.
        samples : iterable of ServiceSample or None
            Current requests of the service, as observed here and in the zone.
        now_s : float
            Current time, in seconds.
        """
        if any(sample is not None and sample.overloaded for sample in samples):
            self._last_s[service] = now_s
        last_s = self._last_s.get(service, float("-inf"))
        return now_s - last_s <= OVERLOAD_MEMORY_S

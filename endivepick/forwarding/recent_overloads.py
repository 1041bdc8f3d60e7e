"""Services that are overloaded or were shortly before.

Load pattern: demand exceeds the slots of a service.  All its targets have full queues
and shed requests.  When the demand falls, the queues empty at different moments, so for
some seconds targets differ in overdue requests although all of them serve.
"""

from collections.abc import Iterable

from msgspec import Struct

from endivepick.forwarding.comparison import ServiceSample

__all__ = ["RecentOverloads"]

OVERLOAD_MEMORY_S = 4.0
"""Time after an overload in which it still explains late and shed requests: their
counts fade with a time constant of 2 s."""


class _Overload(Struct):
    start_s: float
    last_s: float


class RecentOverloads:
    """Remembers the latest overload of each service."""

    def __init__(self) -> None:
        self._latest: dict[str, _Overload] = {}

    def update(
        self, service: str, samples: Iterable[ServiceSample | None], now_s: float
    ) -> float | None:
        """Return the start of an overload that lasts or ended in the last seconds.

        Parameters
        ----------
        service : str
            Name of the service.
        samples : iterable of ServiceSample or None
            Current requests of the service, as observed here and in the zone.
        now_s : float
            Current time, in seconds.

        Returns
        -------
        float or None
            When the overload was first observed, in seconds; None without one.
        """
        latest = self._latest.get(service)
        if latest is not None and now_s - latest.last_s > OVERLOAD_MEMORY_S:
            del self._latest[service]
            latest = None
        if any(sample is not None and sample.overloaded for sample in samples):
            if latest is None:
                latest = self._latest[service] = _Overload(now_s, now_s)
            latest.last_s = now_s
        return None if latest is None else latest.start_s

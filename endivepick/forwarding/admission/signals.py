"""What admission needs to know of the load of a service."""

from typing import Protocol

__all__ = ["OverloadSignals"]


class OverloadSignals(Protocol):
    """Load of services, summed over the callers of all instances that are known."""

    def short_share(self, service: str, now_s: float) -> float | None:
        """Return the share of short answers among all answers of a service.

        Targets that shed load send short answers.  None if the share is unknown, too
        old, or of too few answers.
        """
        ...

    def zone_busy(self, service: str, target_zone: str, now_s: float) -> float | None:
        """Return the requests in progress at a service's targets in a zone.

        Requests that wait at a target count.  None if the number is unknown.
        """
        ...

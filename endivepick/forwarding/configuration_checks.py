"""Validation of configurations, from whatever source.

Other writers may have written the configuration, and an instance of another build may
pass on one that this build refuses.  Each number is checked against its use: JSON has
integers that no float can hold, and rates so small that their inverse is infinite.
"""

from math import isfinite

from endivepick.forwarding.model import ColdStart, Configuration, Route

__all__ = ["check_configuration"]

MAX_INTEGER = 1 << 53
"""Largest version or priority; every JSON library reads integers up to it exactly."""
MAX_WEIGHT = 1e9
"""Largest weight of a service; the sum over a route must be finite."""
MIN_COLD_RATE_PER_S = 1e-6
"""Smallest rate of openings at a cold target, one in eleven days."""


def check_configuration(configuration: Configuration) -> None:
    """Refuse a configuration with a value that cannot be used.

    Parameters
    ----------
    configuration : Configuration
        The configuration; its types are already validated.

    Raises
    ------
    ValueError
        If a value is out of range; the message names the allowed range.

    Examples
    --------
    >>> check_configuration(Configuration(1, 5, (), idle_timeout_s=0.0))
    Traceback (most recent call last):
    ...
    ValueError: idle_timeout_ms is not greater than 0
    """
    if abs(configuration.version) > MAX_INTEGER:
        raise ValueError(f"version is not between -{MAX_INTEGER} and {MAX_INTEGER}")
    if not configuration.idle_timeout_s > 0:
        raise ValueError("idle_timeout_ms is not greater than 0")
    for route in configuration.routes:
        _check_shares(route)
        _check_urgency(route)
    for service, cold_start in configuration.cold_starts.items():
        _check_cold_start(service, cold_start)


def _check_shares(route: Route) -> None:
    for share in route.shares:
        if not 0 <= share.weight <= MAX_WEIGHT:
            raise ValueError(
                f"service {share.service} has a weight that is not from 0 to "
                f"{MAX_WEIGHT:.0f}"
            )
    if not any(share.weight for share in route.shares):
        raise ValueError(f"route {route.name} has no service with a weight above 0")


def _check_urgency(route: Route) -> None:
    times_s = (route.timeout_s, route.aim_s)
    are_usable = all(isfinite(each_s) and each_s >= 0 for each_s in times_s)
    if not (are_usable and 0 <= route.priority <= MAX_INTEGER):
        raise ValueError(
            f"route {route.name} has a priority, timeout_ms or aim_ms that is negative "
            f"or not finite, or a priority above {MAX_INTEGER}"
        )


def _check_cold_start(service: str, cold_start: ColdStart) -> None:
    duration_s, rate_per_s = cold_start.duration_s, cold_start.requests_per_s
    if not (isfinite(duration_s) and duration_s >= 0):
        raise ValueError(
            f"service {service} has a cold_start_s that is negative or not finite"
        )
    has_rate = isfinite(rate_per_s) and rate_per_s >= MIN_COLD_RATE_PER_S
    if not (has_rate or rate_per_s == 0):
        raise ValueError(
            f"service {service} has a cold_per_s that is not finite, or neither 0 nor "
            f"at least {MIN_COLD_RATE_PER_S:g}"
        )

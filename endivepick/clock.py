"""Monotonic clock used by forwarders and store connections."""

import time

__all__ = ["steady_now_s"]


def steady_now_s() -> float:
    """Return monotonic time that also advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""The clock that the times of forwarders and store connections are read from."""

import time

__all__ = ["steady_now_s"]


def steady_now_s() -> float:
    """Return a time that never goes back and counts while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
